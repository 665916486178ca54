package config

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// StoreSource names the key-value service as the place to fetch from; every
// other source is a peer's address.
const StoreSource = ""

const (
	// fetchTimeout is when a fetch counts as unanswered.
	fetchTimeout = 2 * time.Second
	// fetchRetry is when the next source is asked after one that answered
	// without the sections.
	fetchRetry = 200 * time.Millisecond
	// startGrace is how long a daemon that has nothing in force, and no answer
	// from the key-value service, goes on listening to peers before it brings
	// the highest generation that they have into force.
	startGrace = time.Second
	// maxSources bounds the peers remembered as having the wanted generation.
	maxSources = 8
)

// Effect is what the driver of a Follower has to carry out: *Fetch, *Enforce
// or *Reject.
type Effect interface{ effect() }

// Fetch asks for sections by hash. Answer with Supply, or not at all: Tick
// asks the next source.
type Fetch struct {
	Source string
	Hashes []manifest.Hash
}

// Activate says that a higher generation is in force from now on.
type Activate struct {
	Head     Accepted
	Manifest *manifest.Manifest
}

// Reject says that an accepted configuration can't be read by this program; a
// lower generation stays in force.
type Reject struct {
	Head Accepted
	Err  error
}

func (*Fetch) effect()    {}
func (*Activate) effect() {}
func (*Reject) effect()   {}

// Follower is one daemon's side of the register. The generation in force only
// grows for the life of the process; a new process takes the highest that the
// key-value service or any peer has. It is not safe for concurrent use.
type Follower struct {
	inForce  Accepted
	manifest *manifest.Manifest
	wanted   Accepted
	rejected ident.Generation
	sections map[manifest.Hash][]byte

	sources     []string
	sourceIndex int
	fetchedAt   time.Time
	// lastFetchFromStore tells whether the last fetch went to the key-value service.
	lastFetchFromStore bool

	// firstHeadAt is when the first head came; storeHeard tells whether one came
	// from the key-value service.
	firstHeadAt   time.Time
	storeHeadSeen bool
}

// NewFollower returns one that has nothing in force.
func NewFollower() *Follower {
	return &Follower{sections: map[manifest.Hash][]byte{}}
}

// InForce returns the configuration in force; nil and a zero generation until
// there is one.
func (f *Follower) InForce() (Accepted, *manifest.Manifest) { return f.inForce, f.manifest }

// Learn takes in an accepted configuration heard of from the key-value service
// or a peer. Guards against reverting: a delayed answer, a peer that was
// paused or a service restored from an older state names a lower generation;
// such heads are ignored, so the order of arrival cannot matter.
func (f *Follower) Learn(now time.Time, head Accepted, source string) []Effect {
	f.recordHead(now, head, source)
	if head.Generation <= f.inForce.Generation || head.Generation <= f.rejected {
		return nil
	}
	switch {
	case head.Generation < f.wanted.Generation:
		return nil
	case head.Generation == f.wanted.Generation:
		f.addSource(source)
		if f.lastFetchFromStore && source != StoreSource {
			return f.fetch(now, source)
		}
		return f.Tick(now)
	}
	f.setWanted(head)
	f.addSource(source)
	return f.advance(now)
}

func (f *Follower) recordHead(now time.Time, head Accepted, source string) {
	if head.Generation == 0 {
		return
	}
	f.storeHeadSeen = f.storeHeadSeen || source == StoreSource
	if f.firstHeadAt.IsZero() {
		f.firstHeadAt = now
	}
}

// starting tells whether a higher generation may yet be heard of. Guards against
// a restart in an outage of the key-value service: the first peer to answer may
// be one that the newest generation has not reached, and a daemon that had that
// generation before its restart would bring an older one into force.
func (f *Follower) starting(now time.Time) bool {
	return f.manifest == nil && !f.storeHeadSeen && now.Sub(f.firstHeadAt) < startGrace
}

func (f *Follower) setWanted(head Accepted) {
	f.wanted = head
	f.sources = nil
	f.sourceIndex = 0
	f.fetchedAt = time.Time{}
	f.lastFetchFromStore = false
}

// Adopt is Learn and Supply in one, for the daemon that had the configuration
// accepted and need not fetch it.
func (f *Follower) Adopt(now time.Time, head Accepted, sections map[manifest.Hash][]byte) []Effect {
	f.recordHead(now, head, StoreSource)
	known := max(f.inForce.Generation, f.rejected)
	if head.Generation <= known || head.Generation < f.wanted.Generation {
		return nil
	}
	if head.Generation > f.wanted.Generation {
		f.setWanted(head)
	}
	return f.Supply(now, sections)
}

func (f *Follower) addSource(source string) {
	for _, known := range f.sources {
		if known == source {
			return
		}
	}
	if len(f.sources) < maxSources {
		f.sources = append(f.sources, source)
	}
}

// Supply takes in a fetch's answer, nil where it failed; sections that are not
// wanted or that do not fit their hash are dropped.
func (f *Follower) Supply(now time.Time, fetched map[manifest.Hash][]byte) []Effect {
	for _, hash := range f.wanted.Sections {
		data, ok := fetched[hash]
		if ok && manifest.HashOf(data) == hash {
			f.sections[hash] = data
		}
	}
	f.fetchedAt = now.Add(fetchRetry - fetchTimeout)
	return f.advance(now)
}

// Tick asks the next source when the last one has not answered in time. The
// key-value service has its turn among the peers, so neither an outage of it
// nor the end of a peer stops the fetch.
func (f *Follower) Tick(now time.Time) []Effect {
	if f.wanted.Generation <= f.inForce.Generation {
		return nil
	}
	return f.advance(now)
}

func (f *Follower) advance(now time.Time) []Effect {
	if f.wanted.Generation <= f.inForce.Generation {
		return nil
	}
	missing := manifest.Missing(f.wanted.Sections, f.sections)
	if len(missing) == 0 {
		if f.starting(now) {
			return nil
		}
		return f.activate()
	}
	if now.Sub(f.fetchedAt) < fetchTimeout {
		return nil
	}
	return f.fetch(now, f.nextSource())
}

// fetch fetches what is missing from one source. A peer that names the wanted
// generation while only the key-value service was asked is asked at once: the
// service may be slow, and the peer has the sections.
func (f *Follower) fetch(now time.Time, source string) []Effect {
	f.fetchedAt = now
	f.lastFetchFromStore = source == StoreSource
	return []Effect{&Fetch{Source: source, Hashes: manifest.Missing(f.wanted.Sections, f.sections)}}
}

func (f *Follower) nextSource() string {
	candidates := f.sources
	if f.sourceIndex > 0 || len(candidates) == 0 {
		candidates = append([]string{StoreSource}, f.sources...)
	}
	source := candidates[f.sourceIndex%len(candidates)]
	f.sourceIndex++
	return source
}

func (f *Follower) activate() []Effect {
	head := f.wanted
	m, err := manifest.Join(head.Sections, f.sections)
	if err != nil {
		f.rejected = head.Generation
		f.wanted = Accepted{}
		f.prune()
		return []Effect{&Reject{Head: head, Err: err}}
	}
	f.inForce = head
	f.manifest = m
	f.wanted = Accepted{}
	f.prune()
	return []Effect{&Activate{Head: head, Manifest: m}}
}

// prune forgets the sections of earlier generations.
func (f *Follower) prune() {
	keep := map[manifest.Hash]bool{}
	for _, hash := range f.inForce.Sections {
		keep[hash] = true
	}
	for hash := range f.sections {
		if !keep[hash] {
			delete(f.sections, hash)
		}
	}
}

// Sections returns those of the asked sections that this daemon has, for a
// peer's fetch.
func (f *Follower) Sections(hashes []manifest.Hash) map[manifest.Hash][]byte {
	found := map[manifest.Hash][]byte{}
	for _, hash := range hashes {
		if data, ok := f.sections[hash]; ok {
			found[hash] = data
		}
	}
	return found
}
