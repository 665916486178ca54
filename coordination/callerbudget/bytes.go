package callerbudget

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// SmallBytes is up to where a request is a small one, for which a part of the budget is kept.
	SmallBytes = 64 << 10
	// largeFraction is the part of the budget that the bytes beyond SmallBytes of all requests may take,
	// workspaceFraction that of one workspace's requests.
	largeFraction     = 0.75
	workspaceFraction = 0.5
	// leastAge is the age that the youngest requests count as having, so that their bytes tell them apart.
	leastAge = 10 * time.Millisecond
)

// Bytes is the budget of the bytes of requests.
type Bytes struct {
	requests map[ID]*request
	// all has the bytes of all requests, large those beyond SmallBytes of each, ofWorkspace these of each workspace.
	all, large     pool
	ofWorkspace    map[ident.Workspace]*pool
	workspaceLimit int64
}

// pool is a part of the budget: its size, what requests hold of it, and what of that is held by requests that have been
// chosen to be ended; in bytes.
type pool struct{ limit, used, ending int64 }

// short reports whether the pool lacks room for n more bytes once all requests have ended that have been chosen.
func (p *pool) short(n int64) bool { return n > 0 && p.used-p.ending+n > p.limit }

func (p *pool) add(n int64, ending bool) {
	p.used += n
	if ending {
		p.ending += n
	}
}

func (p *pool) fits(n int64) bool { return n <= 0 || p.used+n <= p.limit }

// request is what one request holds.
type request struct {
	id        ID
	held      int64
	began     time.Duration
	workspace ident.Workspace
	// whole says that the request has been read, ending that it has been chosen to be ended.
	whole, ending bool
	// answer is the part of held that is a piece of the answer, which its caller has been sent since the time writing.
	answer  int64
	writing time.Duration
}

// unread reports whether the caller doesn't read its answer.
func (r *request) unread(now time.Duration) bool { return r.answer > 0 && now-r.writing >= patience }

// endable reports whether the request may be ended for others.
func (r *request) endable(now time.Duration) bool { return !r.ending && (!r.whole || r.unread(now)) }

// weight says how much a request has held for how long.
func (r *request) weight(now time.Duration) float64 {
	since := r.began
	if r.answer > 0 {
		since = r.writing
	}
	return float64(r.held) * (now - since + leastAge).Seconds()
}

func largeOf(held int64) int64 { return max(0, held-SmallBytes) }

// NewBytes returns a budget of a number of bytes.
func NewBytes(limit int64) *Bytes {
	return &Bytes{
		requests:       map[ID]*request{},
		all:            pool{limit: limit},
		large:          pool{limit: int64(largeFraction * float64(limit))},
		ofWorkspace:    map[ident.Workspace]*pool{},
		workspaceLimit: int64(workspaceFraction * float64(limit)),
	}
}

// Limit returns the size of the budget in bytes.
func (b *Bytes) Limit() int64 { return b.all.limit }

// Used returns the number of bytes that are held.
func (b *Bytes) Used() int64 { return b.all.used }

// Held returns how many bytes a request holds, and since when.
func (b *Bytes) Held(id ID) (held int64, since time.Duration) {
	if r := b.requests[id]; r != nil {
		return r.held, r.began
	}
	return 0, 0
}

// Begin adds a request that holds nothing yet.
func (b *Bytes) Begin(now time.Duration, id ID) { b.requests[id] = &request{id: id, began: now} }

// Identify records whose request it is. Until then it belongs to no workspace.
func (b *Bytes) Identify(id ID, workspace ident.Workspace) {
	r := b.requests[id]
	if r == nil {
		return
	}
	held := r.held
	b.add(r, -held)
	r.workspace = workspace
	b.add(r, held)
}

// Whole records that a request has been read whole, so that it must be answered.
func (b *Bytes) Whole(id ID) {
	if r := b.requests[id]; r != nil {
		r.whole = true
	}
}

// Release removes a request and gives back what it holds.
func (b *Bytes) Release(id ID) {
	if r := b.requests[id]; r != nil {
		b.add(r, -r.held)
		delete(b.requests, id)
	}
}

// Shrink takes n bytes back from a request.
func (b *Bytes) Shrink(id ID, n int64) {
	if r := b.requests[id]; r != nil {
		b.add(r, -min(n, r.held))
	}
}

// Decision is what follows from a request's need for more bytes.
type Decision struct {
	// Granted says that the request holds the bytes now. Otherwise, unless it is to be ended itself, it must ask again
	// when another one has been released.
	Granted bool
	// End are the requests to end. Each is named in one decision only.
	End []ID
}

// Grow asks for n more bytes for a request.
func (b *Bytes) Grow(now time.Duration, id ID, n int64) Decision {
	r := b.requests[id]
	if r == nil || r.ending {
		return Decision{}
	}
	large := largeOf(r.held+n) - largeOf(r.held)
	if b.all.fits(n) && b.large.fits(large) && b.workspacePool(r.workspace).fits(large) {
		b.add(r, n)
		return Decision{Granted: true}
	}
	return Decision{End: b.makeRoom(now, r, n)}
}

// Force gives a request n more bytes even if others have to be ended first.
func (b *Bytes) Force(now time.Duration, id ID, n int64) Decision {
	r := b.requests[id]
	if r == nil {
		return Decision{}
	}
	end := b.makeRoom(now, r, n)
	b.add(r, n)
	return Decision{Granted: true, End: end}
}

// makeRoom chooses requests to end so that there will be room for n more bytes of a request, which may be among them.
func (b *Bytes) makeRoom(now time.Duration, r *request, n int64) []ID {
	var end []ID
	large := largeOf(r.held+n) - largeOf(r.held)
	for !r.ending {
		var victim *request
		switch {
		case b.workspacePool(r.workspace).short(large):
			victim = b.heaviest(now, r, func(o *request) bool { return o.workspace == r.workspace && largeOf(o.held) > 0 })
		case b.large.short(large):
			victim = b.heaviest(now, r, func(o *request) bool { return largeOf(o.held) > 0 })
		case b.all.short(n):
			victim = b.heaviest(now, r, func(o *request) bool { return o.held > 0 })
		default:
			return end
		}
		if !victim.endable(now) {
			// The request itself, which needs more although it has been read.
			return end
		}
		b.end(victim)
		end = append(end, victim.id)
	}
	return end
}

// end marks a request as chosen to be ended.
func (b *Bytes) end(r *request) {
	held := r.held
	b.add(r, -held)
	r.ending = true
	b.add(r, held)
}

// BeginAnswer adds n bytes of an answer that the caller of a request is being sent. The requests to end are those of
// callers that don't read their answers, if there is no room: an answer that is ready is delivered.
func (b *Bytes) BeginAnswer(now time.Duration, id ID, n int64) (end []ID) {
	r := b.requests[id]
	if r == nil {
		return nil
	}
	r.answer, r.writing = n, now
	b.add(r, n)
	for b.all.short(1) {
		victim := b.heaviest(now, nil, func(o *request) bool { return o.unread(now) })
		if victim == nil {
			return end
		}
		b.end(victim)
		end = append(end, victim.id)
	}
	return end
}

// EndAnswer gives the bytes back that BeginAnswer has added.
func (b *Bytes) EndAnswer(id ID) {
	if r := b.requests[id]; r != nil {
		b.add(r, -r.answer)
		r.answer = 0
	}
}

// heaviest returns the request with the largest weight among those that may be ended and fulfill a condition; without
// any, fallback.
func (b *Bytes) heaviest(now time.Duration, fallback *request, condition func(*request) bool) *request {
	heaviest := fallback
	most := -1.0
	for _, r := range b.requests {
		if !r.endable(now) || !condition(r) {
			continue
		}
		if w := r.weight(now); w > most || w == most && r.id < heaviest.id {
			heaviest, most = r, w
		}
	}
	return heaviest
}

func (b *Bytes) workspacePool(workspace ident.Workspace) *pool {
	if p := b.ofWorkspace[workspace]; p != nil {
		return p
	}
	return &pool{limit: b.workspaceLimit}
}

// add adds n bytes, which may be negative, to what a request holds.
func (b *Bytes) add(r *request, n int64) {
	large := largeOf(r.held+n) - largeOf(r.held)
	r.held += n
	workspace := b.workspacePool(r.workspace)
	b.all.add(n, r.ending)
	b.large.add(large, r.ending)
	workspace.add(large, r.ending)
	if workspace.used == 0 {
		delete(b.ofWorkspace, r.workspace)
		return
	}
	b.ofWorkspace[r.workspace] = workspace
}
