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

// brokenGuard names a safety rule of the gateways that a history violates on
// purpose. The empty value violates none.
type brokenGuard string

const (
	guardSealBeforeAnswer brokenGuard = "answer for an owner without sealing its journal"
	guardNoTransportRetry brokenGuard = "transport retries"
	guardCompleteTable    brokenGuard = "absence from an incomplete table counts as not executed"
)

// options selects the random seed of a history and the safety check that is
// disabled in it.
type options struct {
	seed        uint64
	fault       action.Fault
	brokenGuard brokenGuard
}

const (
	second        = time.Second
	tokenLifetime = 8 * second
	historyLength = 40 * second
	storeTimeout  = second
)

// event is a function to run at a simulated time. If it has an owner, it is
// discarded when that incarnation has crashed and delayed while it is paused.
type event struct {
	at    time.Time
	seq   int
	owner *node
	do    func()
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

// interval is a half-open time interval in which a fault is active.
type interval struct{ from, to time.Time }

func (s interval) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// simulation runs the action state machines of a few daemons against fakes of
// the key-value service, the network and the runners. The seed determines the
// order of all events.
type simulation struct {
	options
	rng                       *rand.Rand
	now                       time.Time
	queue                     eventQueue
	seq                       int
	currentNodes              []*node // the current incarnation of each daemon, by index
	nodes                     map[ident.Incarnation]*node
	entries                   map[string][]byte
	entryOrder                []string // keys of the journal entries in the order of their creation
	outages                   []interval
	partitions                map[[2]int]interval
	history                   actionhistory.History
	eventCounts               eventCounts
	lossProbability           float64
	unknownOutcomeProbability float64
	smallTables               bool
}

// eventCounts counts the rare events of a history, to show that the injected
// faults cause them.
type eventCounts struct {
	unjournaled, collected, sealed, reopened, adopted int
}

func (r *eventCounts) add(o eventCounts) {
	r.unjournaled += o.unjournaled
	r.collected += o.collected
	r.sealed += o.sealed
	r.reopened += o.reopened
	r.adopted += o.adopted
}

func (r eventCounts) all() bool {
	return min(r.unjournaled, r.collected, r.sealed, r.reopened, r.adopted) > 0
}

// node is one incarnation of a simulated daemon.
type node struct {
	sim            *simulation
	index          int
	name           ident.Incarnation
	clockOffset    time.Duration // difference between the daemon's clock and the simulated time
	dead           bool
	pausedUntil    time.Time
	current        *action.Owner
	owners         map[ident.Incarnation]*action.Owner
	adopted        map[ident.Incarnation]*action.AdoptedTable
	logs           map[ident.Incarnation]*journal.Log
	replyHandlers  map[action.Waiter]func(action.Result)
	lastWaiter     action.Waiter
	scheduledTicks map[*action.Owner]time.Time
	openedOwners   int
	draining       bool
	cutOff         interval // when the daemon can't reach the key-value service
	mistakenlyDown map[ident.Incarnation]interval
}

func newSimulation(o options) *simulation {
	sim := &simulation{
		options:    o,
		rng:        rand.New(rand.NewPCG(o.seed, 7)),
		now:        time.Unix(1_700_000_000, 0),
		nodes:      map[ident.Incarnation]*node{},
		entries:    map[string][]byte{},
		partitions: map[[2]int]interval{},
	}
	sim.smallTables = sim.chance(0.2)
	for index := range 3 + sim.rng.IntN(2) {
		sim.currentNodes = append(sim.currentNodes, nil)
		sim.boot(index)
	}
	return sim
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// randomDuration returns a random duration between zero and d.
func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

// boot starts a new incarnation of the daemon with the index.
func (sim *simulation) boot(index int) *node {
	random := []byte{byte(sim.rng.Uint32()), byte(sim.rng.Uint32()), byte(sim.rng.Uint32()), byte(index)}
	n := &node{
		sim:            sim,
		index:          index,
		name:           ident.NewIncarnation(ident.DaemonID(fmt.Sprintf("entry-%d", index)), random),
		clockOffset:    sim.randomDuration(10*second) - 5*second,
		owners:         map[ident.Incarnation]*action.Owner{},
		adopted:        map[ident.Incarnation]*action.AdoptedTable{},
		logs:           map[ident.Incarnation]*journal.Log{},
		replyHandlers:  map[action.Waiter]func(action.Result){},
		scheduledTicks: map[*action.Owner]time.Time{},
		mistakenlyDown: map[ident.Incarnation]interval{},
	}
	n.openOwner()
	sim.currentNodes[index] = n
	sim.nodes[n.name] = n
	return n
}

func (n *node) clock() time.Time { return n.sim.now.Add(n.clockOffset) }

// openOwner gives the node a new owner. The first one is named after the
// incarnation of the node; later ones have a sequence number appended.
func (n *node) openOwner() {
	name := n.name
	if n.openedOwners > 0 {
		name = ident.Incarnation(fmt.Sprintf("%s+%d", n.name, n.openedOwners))
	}
	n.openedOwners++
	cfg := action.DefaultConfig(name)
	cfg.TokenLifetime = tokenLifetime
	cfg.KeyRetention = second
	cfg.Journal.KeyRetention = second
	cfg.Fault = n.sim.fault
	if n.sim.smallTables {
		cfg.MaxRecords = 3
		cfg.MaxTombstones = 2
	}
	n.current = action.NewOwner(n.clock(), cfg)
	n.owners[name] = n.current
}

// after schedules do to run when d has passed. The owner is nil if the event does
// not depend on any daemon.
func (sim *simulation) after(d time.Duration, owner *node, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, owner: owner, do: do})
}

// run executes the queued events in the order of their times.
func (sim *simulation) run() {
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		if e.owner != nil && e.owner.dead {
			continue
		}
		if e.owner != nil && sim.now.Before(e.owner.pausedUntil) {
			sim.after(e.owner.pausedUntil.Sub(sim.now), e.owner, e.do)
			continue
		}
		e.do()
	}
}

// processingDelay returns a random delay between the decision of a daemon and
// its execution. The daemon can crash or be paused in between.
func (sim *simulation) processingDelay() time.Duration {
	return sim.randomDuration(2 * time.Millisecond)
}

// apply carries out the effects of an owner.
func (n *node) apply(o *action.Owner, effects []action.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *action.Reply:
			n.sim.after(n.sim.processingDelay(), n, func() { n.deliver(e) })
		case *action.Dispatch:
			n.sim.after(n.sim.processingDelay(), n, func() { n.dispatch(o, e) })
		case *action.Write:
			n.sim.after(n.sim.processingDelay(), n, func() { n.write(o, e) })
		case *action.Collect:
			n.sim.eventCounts.collected++
			n.sim.after(n.sim.processingDelay(), nil, func() { n.sim.remove(journal.EntryKey(o.Incarnation(), e.Index)) })
		case *action.Ended:
			if o == n.current && !n.draining {
				n.sim.eventCounts.reopened++
				n.openOwner()
			}
		}
	}
	n.scheduleTick(o)
}

// scheduleTick schedules a Tick of the owner for the time at which it is due.
func (n *node) scheduleTick(o *action.Owner) {
	due := o.NextDue(n.clock())
	if due.IsZero() {
		return
	}
	d := max(time.Millisecond, due.Sub(n.clock()))
	at := n.sim.now.Add(d)
	if planned, ok := n.scheduledTicks[o]; ok && planned.After(n.sim.now) && !at.Before(planned) {
		return
	}
	n.scheduledTicks[o] = at
	if at.Sub(time.Unix(1_700_000_000, 0)) > 2*historyLength {
		return
	}
	n.sim.after(d, n, func() { n.apply(o, o.Tick(n.clock())) })
}

func (n *node) deliver(r *action.Reply) {
	if done, ok := n.replyHandlers[r.Waiter]; ok {
		delete(n.replyHandlers, r.Waiter)
		done(r.Result)
	}
}

// dispatch sends the action to a fake runner. The runner answers, is
// unreachable, refuses, or breaks the connection after it has run the action.
func (n *node) dispatch(o *action.Owner, d *action.Dispatch) {
	sim := n.sim
	if !d.Journaled {
		sim.eventCounts.unjournaled++
	}
	finish := func(after time.Duration, r action.Result) {
		sim.after(after, n, func() { n.apply(o, o.Finished(n.clock(), d.ID, r)) })
	}
	switch p := sim.rng.Float64(); {
	case p < 0.05:
		finish(sim.processingDelay(), refusedWith(refusal.New(refusal.NoRunner, "dial")))
	case p < 0.10:
		finish(sim.processingDelay(), refusedWith(refusal.New(refusal.RunnerRefused, "busy")))
	case p < 0.20:
		sim.execute(d)
		if sim.brokenGuard == guardNoTransportRetry {
			sim.after(sim.processingDelay(), nil, func() { sim.execute(d) })
		}
		finish(sim.randomDuration(second), refusedWith(refusal.New(refusal.RunnerFailed, "broken").Unknown()))
	default:
		delay := sim.randomDuration(50 * time.Millisecond)
		sim.after(delay, nil, func() {
			answer := sim.execute(d)
			finish(sim.randomDuration(20*time.Millisecond), action.Result{Answer: answer})
		})
	}
}

func refusedWith(r *refusal.Refusal) action.Result { return action.Result{Refusal: r} }

func (sim *simulation) execute(d *action.Dispatch) call.Answer {
	body := fmt.Sprintf("%s#%d", d.Call.Body, sim.history.Runs)
	sim.history.RecordRun(sim.now, d.ID, string(d.Call.Body), body)
	return call.Answer{Status: 200, Body: []byte(body)}
}

// write creates a journal entry. The request or its answer can be lost, and a
// lost request can still take effect long after the writer has timed out.
func (n *node) write(o *action.Owner, e *action.Write) {
	key := journal.EntryKey(o.Incarnation(), e.Index)
	n.create(key, e.Value, func(status journal.Status, standing []byte) {
		entry, _ := journal.Decode(key, standing)
		n.apply(o, o.Written(n.clock(), journal.Written{Index: e.Index, Status: status, Existing: entry}))
	})
}

func (n *node) create(key string, value []byte, done func(journal.Status, []byte)) {
	sim := n.sim
	doubtful := func() { sim.after(storeTimeout, n, func() { done(journal.Unknown, nil) }) }
	if n.cutOff.contains(sim.now) {
		doubtful()
		return
	}
	if sim.storeDown() || sim.chance(sim.unknownOutcomeProbability) {
		doubtful()
		if sim.chance(0.5) {
			sim.after(sim.randomDuration(3*second), nil, func() { sim.applyCreate(key, value) })
		}
		return
	}
	sim.after(sim.randomDuration(4*time.Millisecond), nil, func() {
		status, standing := sim.applyCreate(key, value)
		sim.after(sim.randomDuration(4*time.Millisecond), n, func() { done(status, standing) })
	})
}

func (sim *simulation) storeDown() bool {
	for _, s := range sim.outages {
		if s.contains(sim.now) {
			return true
		}
	}
	return false
}

// applyCreate creates an entry in the fake key-value service unless the key
// exists.
func (sim *simulation) applyCreate(key string, value []byte) (journal.Status, []byte) {
	if standing, ok := sim.entries[key]; ok {
		return journal.Conflict, standing
	}
	sim.entries[key] = value
	sim.entryOrder = append(sim.entryOrder, key)
	return journal.Created, nil
}

func (sim *simulation) remove(key string) { delete(sim.entries, key) }

// sendMessage runs do at another incarnation after a network delay, unless the
// message is lost.
func (sim *simulation) sendMessage(from, to *node, do func()) {
	pair := [2]int{min(from.index, to.index), max(from.index, to.index)}
	if sim.partitions[pair].contains(sim.now) || sim.chance(sim.lossProbability) {
		return
	}
	delay := sim.randomDuration(3 * time.Millisecond)
	if sim.chance(0.02) {
		delay = sim.randomDuration(4 * second) // a message that arrives very late
	}
	sim.after(delay, to, do)
}
