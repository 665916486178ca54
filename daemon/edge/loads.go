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

// rememberedMessages is the number of its own latest messages whose loads a follower remembers.
// The latest message that its primary relay's total includes may be any of these.
const rememberedMessages = 16

// minMessageAge is subtracted from the time at which a message is received, since the message
// may have been composed that much earlier.
const minMessageAge = 10 * time.Millisecond

// workSummary is the load of one or more daemons at the runners, with the work that callers
// brought to these daemons.
type workSummary struct {
	loads []routing.OwnLoad
	// offeredTokens counts, by service, the uncached prompt tokens that callers brought to each
	// of these daemons since that daemon started.
	offeredTokens map[string]float64
	placed        []*peersv1.Placed
}

// workSummaries holds the three summaries that messages can carry: this daemon's own work, the
// work of this daemon and its followers, and the work of all daemons. roster says that the list
// of daemons is to be sent in this round of gossipInterval, too.
type workSummaries struct {
	own, ownAndFollowers, all workSummary
	roster                    bool
}

// peerLoadTable holds the other daemons' load at the runners.
type peerLoadTable struct {
	mu sync.Mutex
	// byDaemon holds the loads reported by followers and other relays. primaryTotal is the load
	// of all daemons, this one included, as reported by the primary relay.
	byDaemon     map[ident.Incarnation]peerLoad
	primaryTotal peerLoad
	// sent holds the loads of this daemon's own requests as reported in its latest messages, by the
	// sequence number of the message.
	sent map[uint64][]routing.OwnLoad
	// offeredTokens counts the uncached prompt tokens that callers brought to other daemons, by
	// service.
	offeredTokens map[string]*offeredTally
	changed       bool
	// mostRelaysReportedSince is the time since when at least half of the other relays have
	// reported their work; zero if they haven't.
	mostRelaysReportedSince time.Duration
}

// peerLoad is the load that another daemon has reported.
type peerLoad struct {
	receivedAt  time.Duration
	runnerLoads []routing.OwnLoad
	// follower says that the load is reported by a follower, so that no other relay includes
	// it.
	follower bool
	// includedOwnSeq is set in the total reported by the primary relay. It is the sequence number
	// of the latest of this daemon's messages whose loads are part of that total, so these loads
	// are subtracted to get the load of the other daemons.
	includedOwnSeq uint64
	// domain is the failure domain of the reporting daemon. A relay's followers are in its own one.
	domain ident.FailureDomain
}

// offeredTally counts the uncached prompt tokens of one service that callers brought to this
// daemon's followers, and to all other daemons.
type offeredTally struct{ followers, all fleet.Tally }

func (t *peerLoadTable) init() {
	t.byDaemon = map[ident.Incarnation]peerLoad{}
	t.sent = map[uint64][]routing.OwnLoad{}
	t.offeredTokens = map[string]*offeredTally{}
}

// primaryTotalID returns the key under which the tallies of offered tokens count the total of the
// fleet that a primary relay reports. It differs from the key for that relay's own work.
func primaryTotalID(id ident.Incarnation) ident.Incarnation { return id + "/all" }

// receiveWork stores the work that a daemon reports. The pools get it with the next call of
// applyPeerLoads: summing it up for each message would take a large fleet's daemon more time
// than its requests.
func (e *Edge) receiveWork(id ident.Incarnation, h *peersv1.Hello, from workSource) {
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
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	e.reported.changed = true
	if from == sourceFollower {
		e.recommended.reported(h.PeerAddress, now-minMessageAge)
	}
	load := peerLoad{receivedAt: now, runnerLoads: loads, follower: from == sourceFollower, includedOwnSeq: h.IncludedSeq, domain: ident.FailureDomain(h.FailureDomain)}
	for _, o := range h.Offered {
		e.reported.receiveOffered(now, id, o, from, !e.directMode.Load())
	}
	if e.settings.decidesSpillover() {
		e.spill.receiveWork(now, id, h, from, !e.directMode.Load())
	}
	if from == sourcePrimary {
		e.reported.primaryTotal = load
		return
	}
	e.reported.byDaemon[id] = load
}

func (t *peerLoadTable) receiveOffered(now time.Duration, id ident.Incarnation, o *peersv1.Offered, from workSource, relayed bool) {
	counts, ok := t.offeredTokens[o.Service]
	if !ok {
		counts = &offeredTally{}
		t.offeredTokens[o.Service] = counts
	}
	counts.followers.SetViaRelays(relayed)
	counts.all.SetViaRelays(relayed)
	switch from {
	case sourceFollower:
		counts.followers.Receive(now, id, o.PromptTokens)
		counts.all.Receive(now, id, o.PromptTokens)
	case sourceRelay:
		counts.all.Receive(now, id, o.PromptTokens)
	case sourcePrimary:
		counts.all.Receive(now, primaryTotalID(id), o.PromptTokens)
	}
}

// rememberSent stores this daemon's own loads as sent in one message.
func (t *peerLoadTable) rememberSent(seq uint64, loads []routing.OwnLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[seq] = loads
	for s := range t.sent {
		if s+rememberedMessages*followerRounds < seq {
			delete(t.sent, s)
		}
	}
}

// applyPeerLoads passes the sums of the other daemons' loads to the pools.
func (e *Edge) applyPeerLoads() {
	now := e.deps.Steady()
	e.reported.mu.Lock()
	if e.reported.removeSilentDaemons(now) || e.reported.changed {
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

// peerOfferedTokens returns the number of uncached prompt tokens of a service that callers brought
// to other daemons. If the primary relay reports the total of all daemons, this daemon's own
// tokens are included.
func (e *Edge) peerOfferedTokens(service string) float64 {
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	if counts, ok := e.reported.offeredTokens[service]; ok {
		return counts.all.Total()
	}
	return 0
}

// removeSilentDaemons drops the loads of daemons from which no message has come for
// peers.RelayedAliveFor, since these have most likely ended together with their requests. It
// reports whether there were any.
func (t *peerLoadTable) removeSilentDaemons(now time.Duration) bool {
	expired := false
	for id, load := range t.byDaemon {
		if now-load.receivedAt <= peers.RelayedAliveFor {
			continue
		}
		expired = true
		delete(t.byDaemon, id)
		for _, counts := range t.offeredTokens {
			counts.followers.PeerEnded(id)
			counts.all.PeerEnded(id)
		}
	}
	return expired
}

// workKnownFor reports whether at least half of the other relays have reported their work for
// minDuration or longer; it is always true in a fleet in which all daemons watch the key-value
// service, since every daemon reports to every other one there. Right after all daemons have
// started, each knows only the work of its own callers.
func (e *Edge) workKnownFor(now, minDuration time.Duration) bool {
	if e.allWatch.Load() {
		return true
	}
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	since := e.reported.mostRelaysReportedSince
	return since != 0 && now-since >= minDuration
}

// updateMostRelaysReported sets mostRelaysReportedSince once at least half of the other relays
// have reported their work, and resets it to zero when fewer have. otherRelays is the number of
// the other relays that this daemon elects.
func (t *peerLoadTable) updateMostRelaysReported(now time.Duration, otherRelays int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reportingRelays := 0
	for _, d := range t.byDaemon {
		if !d.follower {
			reportingRelays++
		}
	}
	switch {
	case 2*reportingRelays < otherRelays:
		t.mostRelaysReportedSince = 0
	case t.mostRelaysReportedSince == 0:
		t.mostRelaysReportedSince = max(1, now)
	}
}

type loadByRunner map[ident.RunnerID]routing.OwnLoad

func (s loadByRunner) add(loads []routing.OwnLoad, sign int) {
	for _, w := range loads {
		sum := s[w.Runner]
		sum.Runner = w.Runner
		sum.Prefill = max(0, sum.Prefill+sign*w.Prefill)
		sum.KV = max(0, sum.KV+sign*w.KV)
		sum.Requests = max(0, sum.Requests+sign*w.Requests)
		s[w.Runner] = sum
	}
}

func (s loadByRunner) list() []routing.OwnLoad {
	list := make([]routing.OwnLoad, 0, len(s))
	for _, l := range s {
		list = append(list, l)
	}
	return list
}

// sumOthers returns the load of all other daemons: the primary's total minus this daemon's own
// part in it, or the sum of the followers' and other relays' loads.
func (t *peerLoadTable) sumOthers(now time.Duration) loadByRunner {
	sums := loadByRunner{}
	if t.primaryTotal.runnerLoads != nil && now-t.primaryTotal.receivedAt <= peers.RelayedAliveFor {
		sums.add(t.primaryTotal.runnerLoads, 1)
		sums.add(t.sent[t.primaryTotal.includedOwnSeq], -1)
		return sums
	}
	for _, load := range t.byDaemon {
		sums.add(load.runnerLoads, 1)
	}
	return sums
}

// followers returns the load of the followers.
func (t *peerLoadTable) followers() loadByRunner {
	sums := loadByRunner{}
	for _, load := range t.byDaemon {
		if load.follower {
			sums.add(load.runnerLoads, 1)
		}
	}
	return sums
}

// summarizeWork collects the work for this daemon's messages.
func (e *Edge) summarizeWork() workSummaries {
	own := workSummary{offeredTokens: map[string]float64{}}
	e.poolsMu.RLock()
	for name, p := range e.pools {
		own.loads = p.loads(own.loads)
		own.offeredTokens[name] = p.ownOfferedTokens()
	}
	e.poolsMu.RUnlock()
	now := e.deps.Steady()
	own.placed = e.placements.recent(now, e.placementSendTime(), originSelf)
	n := workSummaries{own: own}
	e.reported.mu.Lock()
	defer e.reported.mu.Unlock()
	ownAndFollowers, all := e.reported.followers(), e.reported.sumOthers(now)
	recommended := e.recommended.loads(now)
	for _, sums := range []loadByRunner{ownAndFollowers, all} {
		sums.add(own.loads, 1)
		sums.add(recommended, 1)
	}
	n.ownAndFollowers = workSummary{loads: ownAndFollowers.list(), offeredTokens: map[string]float64{}, placed: e.placements.recent(now, e.placementSendTime(), originFollower)}
	n.all = workSummary{loads: all.list(), offeredTokens: map[string]float64{}, placed: e.placements.recent(now, e.placementSendTime(), originAny)}
	for name, tokens := range own.offeredTokens {
		n.ownAndFollowers.offeredTokens[name], n.all.offeredTokens[name] = tokens, tokens
		if counts, ok := e.reported.offeredTokens[name]; ok {
			n.ownAndFollowers.offeredTokens[name] += counts.followers.Total()
			n.all.offeredTokens[name] += counts.all.Total()
		}
	}
	return n
}
