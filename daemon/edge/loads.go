package edge

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/routing"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// remembered is how many of its own messages a daemon keeps the loads of: those that
// its primary may have heard last.
const remembered = 16

// adviceLag is how long before it is heard a message may have been made.
const adviceLag = 10 * time.Millisecond

// work is what some daemons have in progress at the runners, and what callers brought
// them.
type work struct {
	loads []routing.OwnLoad
	// offered is prompt tokens by service since some time.
	offered map[string]float64
	placed  []*peersv1.Placed
}

// news is what the daemons that are told in a turn hear, each one of these: this
// daemon's own work, that of it and its followers, or that of all.
type news struct {
	own, cell, all work
	roster         bool
}

// toldLoads is the work of the other daemons at the runners.
type toldLoads struct {
	mu sync.Mutex
	// daemons are followers and other relays, total all as the primary knows them.
	daemons map[ident.Incarnation]toldLoad
	total   toldLoad
	// sent are this daemon's own loads in its last messages, by their number.
	sent map[uint64][]routing.OwnLoad
	// offered is the prompt tokens that were brought to others, by service.
	offered map[string]*offers
	changed bool
	// completeSince is since when most relays have told of their work; zero is not.
	completeSince time.Duration
}

type toldLoad struct {
	at   time.Duration
	work []routing.OwnLoad
	// follower says that nobody else counts it.
	follower bool
	// included is the own message that is part of a total.
	included uint64
}

// offers are counts of the work that was brought to one service.
type offers struct{ followers, all fleet.Tally }

func (t *toldLoads) init() {
	t.daemons = map[ident.Incarnation]toldLoad{}
	t.sent = map[uint64][]routing.OwnLoad{}
	t.offered = map[string]*offers{}
}

// totalOf names the count of all work that a daemon tells; its own is another one.
func totalOf(id ident.Incarnation) ident.Incarnation { return id + "/all" }

// heardWork takes in a daemon's account of work. The pools hear of it with the next
// applyLoads: to work the sums out for each message would cost a large fleet's
// daemon more than its requests.
func (e *Edge) heardWork(id ident.Incarnation, h *peersv1.Hello, from workSource) {
	if from == sourceIgnored || len(h.Offered) == 0 {
		return
	}
	loads := make([]routing.OwnLoad, 0, len(h.Loads))
	for _, l := range h.Loads {
		loads = append(loads, routing.OwnLoad{
			Runner: ident.RunnerID(l.Runner), Prefill: int(l.PrefillTokens), KV: int(l.KvTokens), Requests: int(l.Requests),
		})
	}
	now := e.deps.Steady()
	e.told.mu.Lock()
	defer e.told.mu.Unlock()
	e.told.changed = true
	if from == sourceFollower {
		e.advised.told(h.PeerAddress, now-adviceLag)
	}
	heard := toldLoad{at: now, work: loads, follower: from == sourceFollower, included: h.IncludedSeq}
	for _, o := range h.Offered {
		e.told.heardOffered(now, id, o, from, !e.direct.Load())
	}
	if from == sourcePrimary {
		e.told.total = heard
		return
	}
	e.told.daemons[id] = heard
}

func (t *toldLoads) heardOffered(now time.Duration, id ident.Incarnation, o *peersv1.Offered, from workSource, relayed bool) {
	counts, ok := t.offered[o.Service]
	if !ok {
		counts = &offers{}
		t.offered[o.Service] = counts
	}
	counts.followers.SetRelayed(relayed)
	counts.all.SetRelayed(relayed)
	switch from {
	case sourceFollower:
		counts.followers.Receive(now, id, o.PromptTokens)
		counts.all.Receive(now, id, o.PromptTokens)
	case sourceRelay:
		counts.all.Receive(now, id, o.PromptTokens)
	case sourcePrimary:
		counts.all.Receive(now, totalOf(id), o.PromptTokens)
	}
}

// remember keeps what was told of this daemon's own loads.
func (t *toldLoads) remember(seq uint64, loads []routing.OwnLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[seq] = loads
	for s := range t.sent {
		if s+remembered*followerRounds < seq {
			delete(t.sent, s)
		}
	}
}

// applyLoads hands the sums of the other daemons' work to the pools.
func (e *Edge) applyLoads() {
	now := e.deps.Steady()
	e.told.mu.Lock()
	if e.told.expire(now) || e.told.changed {
		e.told.changed = false
	} else {
		e.told.mu.Unlock()
		return
	}
	sums := e.told.others(now)
	e.told.mu.Unlock()
	sums.add(e.advised.loads(now), 1)
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		p.setOthers(time.Now(), sums)
	}
}

// toldOffered is the prompt tokens that were brought to other daemons; where the
// primary tells of all, those that were brought to this one are among them.
func (e *Edge) toldOffered(service string) float64 {
	e.told.mu.Lock()
	defer e.told.mu.Unlock()
	if counts, ok := e.told.offered[service]; ok {
		return counts.all.Total()
	}
	return 0
}

// expire drops daemons that are not heard any more: they have most likely ended, and
// their work with them. It tells whether there were any.
func (t *toldLoads) expire(now time.Duration) bool {
	expired := false
	for id, told := range t.daemons {
		if now-told.at <= peers.RelayedAliveFor {
			continue
		}
		expired = true
		delete(t.daemons, id)
		for _, counts := range t.offered {
			counts.followers.PeerEnded(id)
			counts.all.PeerEnded(id)
		}
	}
	return expired
}

// complete tells whether the work of most of the fleet has been known for a while. Right
// after a start of all daemons each knows of its own callers only.
func (e *Edge) complete(now, forSoLong time.Duration) bool {
	if e.allWatch.Load() {
		return true
	}
	e.told.mu.Lock()
	defer e.told.mu.Unlock()
	since := e.told.completeSince
	return since != 0 && now-since >= forSoLong
}

// noteComplete looks whether most of so many other relays have told of their work.
func (t *toldLoads) noteComplete(now time.Duration, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := 0
	for _, d := range t.daemons {
		if !d.follower {
			told++
		}
	}
	switch {
	case 2*told < others:
		t.completeSince = 0
	case t.completeSince == 0:
		t.completeSince = max(1, now)
	}
}

type loadSums map[ident.RunnerID]routing.OwnLoad

func (s loadSums) add(loads []routing.OwnLoad, sign int) {
	for _, w := range loads {
		sum := s[w.Runner]
		sum.Runner = w.Runner
		sum.Prefill = max(0, sum.Prefill+sign*w.Prefill)
		sum.KV = max(0, sum.KV+sign*w.KV)
		sum.Requests = max(0, sum.Requests+sign*w.Requests)
		s[w.Runner] = sum
	}
}

func (s loadSums) list() []routing.OwnLoad {
	list := make([]routing.OwnLoad, 0, len(s))
	for _, l := range s {
		list = append(list, l)
	}
	return list
}

// others adds up the work of all other daemons: what the primary tells without the own
// part of it, or what followers and other relays tell.
func (t *toldLoads) others(now time.Duration) loadSums {
	sums := loadSums{}
	if t.total.work != nil && now-t.total.at <= peers.RelayedAliveFor {
		sums.add(t.total.work, 1)
		sums.add(t.sent[t.total.included], -1)
		return sums
	}
	for _, told := range t.daemons {
		sums.add(told.work, 1)
	}
	return sums
}

// followers adds up the work of the followers.
func (t *toldLoads) followers() loadSums {
	sums := loadSums{}
	for _, told := range t.daemons {
		if told.follower {
			sums.add(told.work, 1)
		}
	}
	return sums
}

// whatToTell gathers the work that is told.
func (e *Edge) whatToTell() news {
	own := work{offered: map[string]float64{}}
	e.poolsMu.RLock()
	for name, p := range e.pools {
		own.loads = p.loads(own.loads)
		own.offered[name] = p.ownOffered()
	}
	e.poolsMu.RUnlock()
	now := e.deps.Steady()
	own.placed = e.placements.recent(now, e.tellFor(), ownPlaced)
	n := news{own: own}
	e.told.mu.Lock()
	defer e.told.mu.Unlock()
	cell, all := e.told.followers(), e.told.others(now)
	advised := e.advised.loads(now)
	for _, sums := range []loadSums{cell, all} {
		sums.add(own.loads, 1)
		sums.add(advised, 1)
	}
	n.cell = work{loads: cell.list(), offered: map[string]float64{}, placed: e.placements.recent(now, e.tellFor(), cellPlaced)}
	n.all = work{loads: all.list(), offered: map[string]float64{}, placed: e.placements.recent(now, e.tellFor(), anyPlaced)}
	for name, tokens := range own.offered {
		n.cell.offered[name], n.all.offered[name] = tokens, tokens
		if counts, ok := e.told.offered[name]; ok {
			n.cell.offered[name] += counts.followers.Total()
			n.all.offered[name] += counts.all.Total()
		}
	}
	return n
}
