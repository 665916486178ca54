package edge

import (
	"slices"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// maxLimitsPerMessage bounds the runners' limits in one message. In a large fleet, many
	// runners may state one at the same time.
	maxLimitsPerMessage = 32
	// expireLimitsInterval is the least time between two searches for limits to forget.
	expireLimitsInterval = time.Second
)

// runnerLimits holds the limits that runners state, and the permits of this daemon.
type runnerLimits struct {
	mu    sync.Mutex
	table *runnerlimit.Table
	// denied holds, for limited runners, until when this daemon asks for no permit.
	denied map[ident.RunnerID]denial
	// asks holds the unanswered requests for permits.
	asks      asks[*peersv1.Permit]
	expiredAt time.Duration
	news      news[ident.RunnerID]
}

// denial says until when a daemon that was denied a permit doesn't ask again. busy says that the
// runner had no place, rather than that its rate was used up.
type denial struct {
	until time.Duration
	busy  bool
}

func (l *runnerLimits) init() {
	l.table = runnerlimit.New()
	l.denied = map[ident.RunnerID]denial{}
	l.asks.init()
	l.news = news[ident.RunnerID]{}
}

// limited reports whether a runner states limits.
func (l *runnerLimits) limited(runner ident.RunnerID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Limits(runner) != (runnerlimit.Limits{})
}

// observeLimits records the limits that a runner's answer states.
func (a *attempt) observeLimits(answer *Answer) {
	e := a.s.edge
	now := e.deps.Steady()
	sent := now - time.Since(a.sent)
	limits := answer.Limits
	e.runnerLimits.mu.Lock()
	before := e.runnerLimits.table.Limits(a.choice.Runner)
	changed := e.runnerLimits.table.Observe(now, sent, a.choice.Runner, limits)
	e.runnerLimits.mu.Unlock()
	if changed {
		a.s.note("runner_limit", decisions.F("runner", a.choice.Runner), decisions.F("per_second", limits.Rate), decisions.F("brittle", limits.Brittle), decisions.F("max_rejections", limits.MaxRejections),
			decisions.F("before", before.Rate), decisions.F("brittle_before", before.Brittle), decisions.F("sent", time.Since(a.sent)))
		e.spreadLimit(a.choice.Runner, false)
	}
	if limits != (runnerlimit.Limits{}) {
		e.log.Count("limited_answers")
	}
}

// statements returns a part of what this daemon knows of the runners' limits, for the message
// with the number seq.
func (l *runnerLimits) statements(now time.Duration, seq uint64) []*peersv1.RunnerLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*peersv1.RunnerLimit
	for _, s := range rotatingSubset(l.table.Statements(), seq, maxLimitsPerMessage) {
		list = append(list, encodeRunnerLimit(now, s))
	}
	return list
}

func encodeRunnerLimit(now time.Duration, s runnerlimit.Statement) *peersv1.RunnerLimit {
	return &peersv1.RunnerLimit{Runner: string(s.Runner), Rate: encodeTerm(now, s.Rate), Rejections: encodeTerm(now, s.Rejections)}
}

func encodeTerm(now time.Duration, t runnerlimit.Term) *peersv1.Term {
	if !t.Stated {
		return nil
	}
	m := &peersv1.Term{Value: t.Value, Stated: true, StatedAgeNs: int64(now - t.StatedAt), Lifted: t.Lifted}
	if t.Lifted {
		m.LiftedAgeNs = int64(now - t.LiftedAt)
	}
	return m
}

func decodeRunnerLimit(now time.Duration, m *peersv1.RunnerLimit) runnerlimit.Statement {
	return runnerlimit.Statement{Runner: ident.RunnerID(m.Runner), Rate: decodeTerm(now, m.Rate), Rejections: decodeTerm(now, m.Rejections)}
}

func decodeTerm(now time.Duration, m *peersv1.Term) runnerlimit.Term {
	return runnerlimit.Term{
		Value: m.GetValue(), Stated: m.GetStated(), StatedAt: now - time.Duration(m.GetStatedAgeNs()),
		Lifted: m.GetLifted(), LiftedAt: now - time.Duration(m.GetLiftedAgeNs()),
	}
}

// spreadLimit tells other daemons of a runner's changed limit, together with the other changes of
// the next moment. byRelay says that a relay told this daemon.
func (e *Edge) spreadLimit(runner ident.RunnerID, byRelay bool) {
	l := &e.runnerLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	l.news.add(runner, byRelay, e.sendLimitNews)
}

// sendLimitNews sends the changed limits on: in a direct fleet to all daemons, otherwise from a
// follower to the relays that it follows, and from a relay to its followers and, unless another
// relay told it, to the other relays.
func (e *Edge) sendLimitNews() {
	now := e.deps.Steady()
	l := &e.runnerLimits
	l.mu.Lock()
	own, relayed := takeNews(l.news, func(runner ident.RunnerID) (*peersv1.RunnerLimit, bool) {
		return encodeRunnerLimit(now, l.table.Statement(runner)), true
	})
	l.mu.Unlock()
	relays, followers, isRelay := e.newsRecipients()
	e.sendLimits(relays, own, isRelay)
	e.sendLimits(followers, relayed, isRelay)
}

// newsRecipients returns the addresses to which this daemon sends news: the relays that it follows or,
// if it is a relay itself, the other relays; and its followers.
func (e *Edge) newsRecipients() (relays, followers []string, isRelay bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	isRelay = e.relayPlan.Relay
	recipients := e.relayPlan.Followed
	if isRelay {
		recipients = e.relayPlan.OtherRelays
	}
	for _, f := range e.followers {
		followers = append(followers, f.address)
	}
	return addressesOf(recipients), followers, isRelay
}

func (e *Edge) sendLimits(addresses []string, limits []*peersv1.RunnerLimit, relayed bool) {
	for part := range slices.Chunk(limits, maxLimitsPerMessage) {
		e.sendToAll(addresses, &peersv1.Datagram{LimitNews: &peersv1.LimitNews{PeerAddress: e.settings.PeerAddress, Limits: part, Relayed: relayed}})
	}
}

// handleLimitNews records changed limits, and a relay passes on what it did not know.
func (e *Edge) handleLimitNews(n *peersv1.LimitNews) {
	for _, runner := range e.receiveRunnerLimits(n.PeerAddress, n.Limits) {
		if e.relayMode.Load() && !e.directMode.Load() {
			e.spreadLimit(runner, n.Relayed)
		}
	}
}

// receiveRunnerLimits records what another daemon knows of the runners' limits, and returns the
// runners whose limits changed by it.
func (e *Edge) receiveRunnerLimits(by string, limits []*peersv1.RunnerLimit) []ident.RunnerID {
	now := e.deps.Steady()
	var changedRunners []ident.RunnerID
	for _, m := range limits {
		e.runnerLimits.mu.Lock()
		changed := e.runnerLimits.table.Merge(now, decodeRunnerLimit(now, m))
		limits := e.runnerLimits.table.Limits(ident.RunnerID(m.Runner))
		e.runnerLimits.mu.Unlock()
		if changed {
			e.log.Note("runner_limit", decisions.F("runner", m.Runner), decisions.F("per_second", limits.Rate), decisions.F("brittle", limits.Brittle), decisions.F("max_rejections", limits.MaxRejections),
				decisions.F("told_by", by), decisions.F("age", time.Duration(max(m.Rate.GetStatedAgeNs(), m.Rejections.GetStatedAgeNs()))))
			changedRunners = append(changedRunners, ident.RunnerID(m.Runner))
		}
	}
	return changedRunners
}

// expireRunnerLimits forgets the limits of runners that are gone.
func (e *Edge) expireRunnerLimits() {
	now := e.deps.Steady()
	l := &e.runnerLimits
	l.mu.Lock()
	due := now-l.expiredAt >= expireLimitsInterval
	statements := l.table.Statements()
	l.mu.Unlock()
	if !due {
		return
	}
	known := map[ident.RunnerID]bool{}
	for _, s := range statements {
		known[s.Runner] = e.knowsRunner(s.Runner)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiredAt = now
	l.table.Expire(now, func(id ident.RunnerID) bool { return known[id] })
	for runner, d := range l.denied {
		if d.until <= now {
			delete(l.denied, runner)
		}
	}
}

// knowsRunner reports whether any service has the runner.
func (e *Edge) knowsRunner(id ident.RunnerID) bool {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		if p.hasRunner(id) {
			return true
		}
	}
	return false
}

func (p *pool) hasRunner(id ident.RunnerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.runners[id]
	return ok
}
