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

// rememberedMessages is how many of its own messages a daemon keeps the loads of: those that
// its primary may have heard last.
const rememberedMessages = 16

// minMessageAge is how long before it is heard a message may have been made.
const minMessageAge = 10 * time.Millisecond

// workSummary is what some daemons have in progress at the runners, and what callers brought
// them.
type workSummary struct {
	loads []routing.OwnLoad
	// offered is prompt tokens by service since some time.
	offered map[string]float64
	placed  []*peersv1.Placed
}

// workSummaries is what the daemons that are told in a turn hear, each one of these: this
// daemon's own work, that of it and its followers, or that of all.
type workSummaries struct {
	own, ownAndFollowers, all workSummary
	roster                    bool
}

// peerLoadTable is the work of the other daemons at the runners.
type peerLoadTable struct {
	mu sync.Mutex
	// byDaemon are followers and other relays, total all as the primary knows them.
	byDaemon map[ident.Incarnation]peerLoad
	total    peerLoad
	// sent are this daemon's own loads in its last messages, by their number.
	sent map[uint64][]routing.OwnLoad
	// offered is the prompt tokens that were brought to others, by service.
	offered map[string]*offeredTally
	changed bool
	// mostKnownSince is since when most relays have told of their work; zero is not.
	mostKnownSince time.Duration
}

type peerLoad struct {
	receivedAt time.Duration
	ownLoads   []routing.OwnLoad
	// follower says that nobody else counts it.
	follower bool
	// includedSeq is the own message that is part of a total.
	includedSeq uint64
}

// offeredTally are counts of the work that was brought to one service.
type offeredTally struct{ followers, all fleet.Tally }

func (t *peerLoadTable) init() {
	t.byDaemon = map[ident.Incarnation]peerLoad{}
	t.sent = map[uint64][]routing.OwnLoad{}
	t.offered = map[string]*offeredTally{}
}

// totalOf names the count of all work that a daemon tells; its own is another one.
func totalOf(id ident.Incarnation) ident.Incarnation { return id + "/all" }

// receiveWork takes in a daemon's account of work. The pools hear of it with the next
// applyLoads: to work the sums out for each message would cost a large fleet's
// daemon more than its requests.
func (e *Edge) receiveWork(id ident.Incarnation, h *peersv1.Hello, from source) {
	if from == fromNobody || len(h.Offered) == 0 {
		return
	}
	loads := make([]routing.OwnLoad, 0, len(h.Loads))
	for _, l := range h.Loads {
		loads = append(loads, routing.OwnLoad{
			Runner: ident.RunnerID(l.Runner), Prefill: int(l.PrefillTokens), KV: int(l.KvTokens), Requests: int(l.Requests),
		})
	}
	now := e.deps.Steady()
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	e.reported.changed = true
	if from == fromFollower {
		e.recommended.reported(h.PeerAddress, now-minMessageAge)
	}
	heard := peerLoad{receivedAt: now, ownLoads: loads, follower: from == fromFollower, includedSeq: h.IncludedSeq}
	for _, o := range h.Offered {
		e.reported.receiveOffered(now, id, o, from, !e.directMode.Load())
	}
	if from == fromPrimary {
		e.reported.total = heard
		return
	}
	e.reported.byDaemon[id] = heard
}

func (t *peerLoadTable) receiveOffered(now time.Duration, id ident.Incarnation, o *peersv1.Offered, from source, relayed bool) {
	counts, ok := t.offered[o.Service]
	if !ok {
		counts = &offeredTally{}
		t.offered[o.Service] = counts
	}
	counts.followers.Relayed(relayed)
	counts.all.Relayed(relayed)
	switch from {
	case fromFollower:
		counts.followers.Heard(now, id, o.PromptTokens)
		counts.all.Heard(now, id, o.PromptTokens)
	case fromRelay:
		counts.all.Heard(now, id, o.PromptTokens)
	case fromPrimary:
		counts.all.Heard(now, totalOf(id), o.PromptTokens)
	}
}

// rememberSent keeps what was told of this daemon's own loads.
func (t *peerLoadTable) rememberSent(seq uint64, loads []routing.OwnLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[seq] = loads
	for s := range t.sent {
		if s+rememberedMessages*followTurns < seq {
			delete(t.sent, s)
		}
	}
}

// applyPeerLoads hands the sums of the other daemons' work to the pools.
func (e *Edge) applyPeerLoads() {
	now := e.deps.Steady()
	e.reported.mu.Lock()
	if e.reported.expire(now) || e.reported.changed {
		e.reported.changed = false
	} else {
		e.reported.mu.Unlock()
		return
	}
	sums := e.reported.sumOthers(now)
	e.reported.mu.Unlock()
	sums.add(e.recommended.loads(now), 1)
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		p.setPeerLoads(time.Now(), sums)
	}
}

// peerOfferedTokens is the prompt tokens that were brought to other daemons; where the
// primary tells of all, those that were brought to this one are among them.
func (e *Edge) peerOfferedTokens(service string) float64 {
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	if counts, ok := e.reported.offered[service]; ok {
		return counts.all.Total()
	}
	return 0
}

// expire drops daemons that are not heard any more: they have most likely ended, and
// their work with them. It tells whether there were any.
func (t *peerLoadTable) expire(now time.Duration) bool {
	expired := false
	for id, told := range t.byDaemon {
		if now-told.receivedAt <= peers.RelayedAliveFor {
			continue
		}
		expired = true
		delete(t.byDaemon, id)
		for _, counts := range t.offered {
			counts.followers.Gone(id)
			counts.all.Gone(id)
		}
	}
	return expired
}

// workKnownFor tells whether the work of most of the fleet has been known for a while. Right
// after a start of all daemons each knows of its own callers only.
func (e *Edge) workKnownFor(now, forSoLong time.Duration) bool {
	if e.allWatch.Load() {
		return true
	}
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	since := e.reported.mostKnownSince
	return since != 0 && now-since >= forSoLong
}

// updateMostKnown looks whether most of so many other relays have told of their work.
func (t *peerLoadTable) updateMostKnown(now time.Duration, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := 0
	for _, d := range t.byDaemon {
		if !d.follower {
			told++
		}
	}
	switch {
	case 2*told < others:
		t.mostKnownSince = 0
	case t.mostKnownSince == 0:
		t.mostKnownSince = max(1, now)
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

// sumOthers adds up the work of all other daemons: what the primary tells without the own
// part of it, or what followers and other relays tell.
func (t *peerLoadTable) sumOthers(now time.Duration) loadSums {
	sums := loadSums{}
	if t.total.ownLoads != nil && now-t.total.receivedAt <= peers.RelayedAliveFor {
		sums.add(t.total.ownLoads, 1)
		sums.add(t.sent[t.total.includedSeq], -1)
		return sums
	}
	for _, told := range t.byDaemon {
		sums.add(told.ownLoads, 1)
	}
	return sums
}

// followers adds up the work of the followers.
func (t *peerLoadTable) followers() loadSums {
	sums := loadSums{}
	for _, told := range t.byDaemon {
		if told.follower {
			sums.add(told.ownLoads, 1)
		}
	}
	return sums
}

// summarizeWork gathers the work that is told.
func (e *Edge) summarizeWork() workSummaries {
	own := workSummary{offered: map[string]float64{}}
	e.poolsMu.RLock()
	for name, p := range e.pools {
		own.loads = p.loads(own.loads)
		own.offered[name] = p.ownOffered()
	}
	e.poolsMu.RUnlock()
	now := e.deps.Steady()
	own.placed = e.placements.recent(now, e.placementSendTime(), originSelf)
	n := workSummaries{own: own}
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	ownAndFollowers, all := e.reported.followers(), e.reported.sumOthers(now)
	recommended := e.recommended.loads(now)
	for _, sums := range []loadSums{ownAndFollowers, all} {
		sums.add(own.loads, 1)
		sums.add(recommended, 1)
	}
	n.ownAndFollowers = workSummary{loads: ownAndFollowers.list(), offered: map[string]float64{}, placed: e.placements.recent(now, e.placementSendTime(), originFollower)}
	n.all = workSummary{loads: all.list(), offered: map[string]float64{}, placed: e.placements.recent(now, e.placementSendTime(), originAny)}
	for name, tokens := range own.offered {
		n.ownAndFollowers.offered[name], n.all.offered[name] = tokens, tokens
		if counts, ok := e.reported.offered[name]; ok {
			n.ownAndFollowers.offered[name] += counts.followers.Total()
			n.all.offered[name] += counts.all.Total()
		}
	}
	return n
}
