package action_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/internal/actionhistory"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// guard names what a history breaks on purpose; the empty one breaks nothing.
type guard string

const (
	guardSeal           guard = "speak for an owner without a seal"
	guardTransportRetry guard = "transport retries"
	guardPartialTable   guard = "absence from a partial table is no"
)

// options choose a history and which guard is broken in it.
type options struct {
	seed  uint64
	fault action.Fault
	guard guard
}

const (
	second      = time.Second
	lifetime    = 8 * second
	historyEnd  = 40 * second
	storeAnswer = second
)

// event is something that happens at a time. One that belongs to an
// incarnation is lost with it and waits while it is paused.
type event struct {
	at  time.Time
	seq int
	of  *node
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// span is a stretch of time in which something fails.
type span struct{ from, to time.Time }

func (s span) has(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// world runs the pure machines of a few daemons against small fakes of the
// key-value service, the network and the runners, in one order by one seed.
type world struct {
	options
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	seq     int
	places  []*node // the incarnation that is at each place now
	nodes   map[ident.Incarnation]*node
	entries map[string][]byte
	order   []string // keys of entries, as created
	outages []span
	silent  map[[2]int]span
	history actionhistory.History
	reached reached
	lossy   float64
	doubt   float64
	small   bool
}

// reached counts what a history came to, to show that the faults do their work.
type reached struct {
	unjournaled, collected, sealed, reopened, adopted int
}

func (r *reached) add(o reached) {
	r.unjournaled += o.unjournaled
	r.collected += o.collected
	r.sealed += o.sealed
	r.reopened += o.reopened
	r.adopted += o.adopted
}

func (r reached) all() bool {
	return min(r.unjournaled, r.collected, r.sealed, r.reopened, r.adopted) > 0
}

// node is one incarnation of a daemon.
type node struct {
	w         *world
	place     int
	name      ident.Incarnation
	offset    time.Duration // of its clock
	dead      bool
	pausedTil time.Time
	current   *action.Owner
	owners    map[ident.Incarnation]*action.Owner
	adopted   map[ident.Incarnation]*action.Adopted
	logs      map[ident.Incarnation]*journal.Log
	waiting   map[action.Waiter]func(action.Result)
	waiters   action.Waiter
	wakes     map[*action.Owner]time.Time
	epoch     int
	draining  bool
	cutOff    span // from the key-value service
	mistaken  map[ident.Incarnation]span
}

func newWorld(o options) *world {
	w := &world{
		options: o,
		rng:     rand.New(rand.NewPCG(o.seed, 7)),
		now:     time.Unix(1_700_000_000, 0),
		nodes:   map[ident.Incarnation]*node{},
		entries: map[string][]byte{},
		silent:  map[[2]int]span{},
	}
	w.small = w.chance(0.2)
	for place := range 3 + w.rng.IntN(2) {
		w.places = append(w.places, nil)
		w.boot(place)
	}
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

func (w *world) boot(place int) *node {
	random := []byte{byte(w.rng.Uint32()), byte(w.rng.Uint32()), byte(w.rng.Uint32()), byte(place)}
	n := &node{
		w:        w,
		place:    place,
		name:     ident.NewIncarnation(ident.DaemonID(fmt.Sprintf("entry-%d", place)), random),
		offset:   w.upTo(10*second) - 5*second,
		owners:   map[ident.Incarnation]*action.Owner{},
		adopted:  map[ident.Incarnation]*action.Adopted{},
		logs:     map[ident.Incarnation]*journal.Log{},
		waiting:  map[action.Waiter]func(action.Result){},
		wakes:    map[*action.Owner]time.Time{},
		mistaken: map[ident.Incarnation]span{},
	}
	n.open()
	w.places[place] = n
	w.nodes[n.name] = n
	return n
}

func (n *node) clock() time.Time { return n.w.now.Add(n.offset) }

func (n *node) open() {
	name := n.name
	if n.epoch > 0 {
		name = ident.Incarnation(fmt.Sprintf("%s+%d", n.name, n.epoch))
	}
	n.epoch++
	cfg := action.DefaultConfig(name)
	cfg.TokenLifetime = lifetime
	cfg.Grace = second
	cfg.Journal.Grace = second
	cfg.Fault = n.w.fault
	if n.w.small {
		cfg.MaxRecords = 3
		cfg.MaxTombstones = 2
	}
	n.current = action.NewOwner(n.clock(), cfg)
	n.owners[name] = n.current
}

// after schedules an event; of is nil for what no daemon does.
func (w *world) after(d time.Duration, of *node, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, of: of, do: do})
}

func (w *world) run() {
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.of != nil && e.of.dead {
			continue
		}
		if e.of != nil && w.now.Before(e.of.pausedTil) {
			w.after(e.of.pausedTil.Sub(w.now), e.of, e.do)
			continue
		}
		e.do()
	}
}

// step is how long a daemon takes between deciding and doing: time in which it
// can crash or be paused.
func (w *world) step() time.Duration { return w.upTo(2 * time.Millisecond) }

func (n *node) apply(o *action.Owner, effects []action.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *action.Reply:
			n.w.after(n.w.step(), n, func() { n.deliver(e) })
		case *action.Dispatch:
			n.w.after(n.w.step(), n, func() { n.dispatch(o, e) })
		case *action.Write:
			n.w.after(n.w.step(), n, func() { n.write(o, e) })
		case *action.Collect:
			n.w.reached.collected++
			n.w.after(n.w.step(), nil, func() { n.w.remove(journal.EntryKey(o.Incarnation(), e.Index)) })
		case *action.Ended:
			if o == n.current && !n.draining {
				n.w.reached.reopened++
				n.open()
			}
		}
	}
	n.wake(o)
}

// wake ticks the owner when it is due.
func (n *node) wake(o *action.Owner) {
	due := o.Due(n.clock())
	if due.IsZero() {
		return
	}
	d := max(time.Millisecond, due.Sub(n.clock()))
	at := n.w.now.Add(d)
	if planned, ok := n.wakes[o]; ok && planned.After(n.w.now) && !at.Before(planned) {
		return
	}
	n.wakes[o] = at
	if at.Sub(time.Unix(1_700_000_000, 0)) > 2*historyEnd {
		return
	}
	n.w.after(d, n, func() { n.apply(o, o.Tick(n.clock())) })
}

func (n *node) deliver(r *action.Reply) {
	if done, ok := n.waiting[r.Waiter]; ok {
		delete(n.waiting, r.Waiter)
		done(r.Result)
	}
}

// dispatch runs the action at a runner, which may be unreachable, refuse, break
// the connection after it has run the action, or stay silent.
func (n *node) dispatch(o *action.Owner, d *action.Dispatch) {
	w := n.w
	if !d.Journaled {
		w.reached.unjournaled++
	}
	finish := func(after time.Duration, r action.Result) {
		w.after(after, n, func() { n.apply(o, o.Finished(n.clock(), d.ID, r)) })
	}
	switch p := w.rng.Float64(); {
	case p < 0.05:
		finish(w.step(), refusedWith(refusal.New(refusal.NoRunner, "dial")))
	case p < 0.10:
		finish(w.step(), refusedWith(refusal.New(refusal.RunnerRefused, "busy")))
	case p < 0.20:
		w.execute(d)
		if w.guard == guardTransportRetry {
			w.after(w.step(), nil, func() { w.execute(d) })
		}
		finish(w.upTo(second), refusedWith(refusal.New(refusal.RunnerFailed, "broken").Unknown()))
	default:
		delay := w.upTo(50 * time.Millisecond)
		w.after(delay, nil, func() {
			answer := w.execute(d)
			finish(w.upTo(20*time.Millisecond), action.Result{Answer: answer})
		})
	}
}

func refusedWith(r *refusal.Refusal) action.Result { return action.Result{Refusal: r} }

func (w *world) execute(d *action.Dispatch) call.Answer {
	body := fmt.Sprintf("%s#%d", d.Call.Body, w.history.Runs)
	w.history.Ran(w.now, d.ID, string(d.Call.Body), body)
	return call.Answer{Status: 200, Body: []byte(body)}
}

// write creates a journal entry. The request or its answer can be lost, and the
// request can take effect long after the answer has been given up.
func (n *node) write(o *action.Owner, e *action.Write) {
	key := journal.EntryKey(o.Incarnation(), e.Index)
	n.create(key, e.Value, func(status journal.Status, standing []byte) {
		entry, _ := journal.Decode(key, standing)
		n.apply(o, o.Written(n.clock(), journal.Written{Index: e.Index, Status: status, Standing: entry}))
	})
}

func (n *node) create(key string, value []byte, done func(journal.Status, []byte)) {
	w := n.w
	doubtful := func() { w.after(storeAnswer, n, func() { done(journal.Doubtful, nil) }) }
	if n.cutOff.has(w.now) {
		doubtful()
		return
	}
	if w.down() || w.chance(w.doubt) {
		doubtful()
		if w.chance(0.5) {
			w.after(w.upTo(3*second), nil, func() { w.createNow(key, value) })
		}
		return
	}
	w.after(w.upTo(4*time.Millisecond), nil, func() {
		status, standing := w.createNow(key, value)
		w.after(w.upTo(4*time.Millisecond), n, func() { done(status, standing) })
	})
}

func (w *world) down() bool {
	for _, s := range w.outages {
		if s.has(w.now) {
			return true
		}
	}
	return false
}

func (w *world) createNow(key string, value []byte) (journal.Status, []byte) {
	if standing, ok := w.entries[key]; ok {
		return journal.Conflict, standing
	}
	w.entries[key] = value
	w.order = append(w.order, key)
	return journal.Created, nil
}

func (w *world) remove(key string) { delete(w.entries, key) }

// message carries do to another incarnation, unless it is lost on the way.
func (w *world) message(from, to *node, do func()) {
	pair := [2]int{min(from.place, to.place), max(from.place, to.place)}
	if w.silent[pair].has(w.now) || w.chance(w.lossy) {
		return
	}
	delay := w.upTo(3 * time.Millisecond)
	if w.chance(0.02) {
		delay = w.upTo(4 * second) // a copy that arrives very late
	}
	w.after(delay, to, do)
}
