package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
	"geraniumstack.org/geraniumstack/coordination/runnerrest"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// A request is sent to a runner that states limits only with a permit of the runner's owner, one
// of the daemons that share the quotas. A daemon that is denied one doesn't choose the runner for
// as long as the owner said.

const (
	// permitTimeout is the time that the owner has to answer, longer than a message takes to
	// another failure domain and back.
	permitTimeout = 40 * time.Millisecond
	// permitValidity is how long after it was asked for a permit may be used. A daemon whose VM
	// was paused must not use the permits that it had asked for before.
	permitValidity = 250 * time.Millisecond
	// unknownOwnerWait is the time after which a daemon asks again if the owner has not
	// answered, or if the daemon that it asked isn't the owner. By then all daemons know which
	// ones have ended.
	unknownOwnerWait = 200 * time.Millisecond
	// maxPermitAsks bounds the limited runners that are asked for for one attempt. Each may take
	// a message to another failure domain and back.
	maxPermitAsks = 6
	// minPlaceWait is how long a request may wait for a place at a runner if its route's target
	// latency is short or unknown.
	minPlaceWait = 100 * time.Millisecond
)

// choosePermitted chooses a runner to which the request may be sent now. If all suitable runners
// have used up the rates that they state, or have asked for rest, it returns a refusal with the time until
// one takes requests, unless the request may wait.
func (s *requestHandler) choosePermitted(ctx context.Context) (routing.Choice, permit, *refusal.Refusal) {
	for asks := 0; asks < maxPermitAsks; {
		soonest := s.excludeHeld()
		now := time.Now()
		choice, err := s.pick(ctx, now)
		s.recommended = ""
		switch {
		case err != nil && soonest.until > 0 && s.mayWait(now, soonest):
			if !pause.For(ctx, soonest.until+rand.N(soonest.spread)) {
				return routing.Choice{}, permit{}, forward.DeadlineRefusal().After(notReadyRetryAfter)
			}
			if r := s.checkCauses(ctx); r != nil {
				return routing.Choice{}, permit{}, r
			}
			asks = 0
			continue
		case err != nil && soonest.until > 0:
			return routing.Choice{}, permit{}, s.refuseHeld(soonest)
		case err != nil:
			return routing.Choice{}, permit{}, s.refuseWithoutRunner(err)
		}
		if late := s.judgeShare(choice) - s.acceptableWait(now); late > 0 && s.edge.settings.Policy.Uses(RefuseEarly) {
			return routing.Choice{}, permit{}, s.refuseTooLate(late, choice)
		}
		p, granted := s.pool.takePermit(ctx, choice.Runner, s.deadline.Sub(now))
		if granted {
			return choice, p, nil
		}
		asks++
	}
	held := s.excludeHeld()
	held.until = max(held.until, unknownOwnerWait)
	return routing.Choice{}, permit{}, s.refuseHeld(held)
}

// mayWait reports whether the request may wait for a runner: for a place at one, or the end of a rest, within
// half of the route's target latency, so that the answer can still be in time. A stream that has begun
// would break off otherwise, so it waits while its caller does.
func (s *requestHandler) mayWait(now time.Time, soonest hold) bool {
	longest := soonest.until + soonest.spread
	if s.exchange.AnswerBegun {
		return now.Add(longest).Before(s.deadline)
	}
	return soonest.mayWait && now.Sub(s.req.Received)+longest < max(minPlaceWait, s.route.TargetLatency/2)
}

// excludeHeld excludes the runners for which this daemon was denied a permit, and those that have asked it
// for rest, and returns the hold until the first of them may be used.
func (s *requestHandler) excludeHeld() hold {
	held, soonest := s.edge.deniedRunners(s.pool)
	resting, rested := s.edge.restingRunners(s.pool)
	s.heldRunners = s.pool.exclusionOf(append(held, resting...)...)
	s.routingRequest.Exclude = s.excludedRunners()
	return soonest.or(rested)
}

// excludedRunners returns the runners that must not be chosen for the request's next attempt.
func (s *requestHandler) excludedRunners() prefix.Set {
	excluded := s.failedRunners.Or(s.heldRunners).Or(s.otherVersions())
	if s.patient() {
		excluded = excluded.Or(s.pool.exclusionOf(append(s.pool.silentRunnerIDs(), s.hedge.keptRunners()...)...))
	}
	return excluded
}

func (s *requestHandler) refuseHeld(h hold) *refusal.Refusal {
	reason := refusal.RunnersLimited
	if h.resting {
		reason = refusal.RunnersResting
	}
	return refusal.New(reason, "the runners accept no more requests now").After(h.retryAfter())
}

// deniedRunners returns the runners of a service for which this daemon was denied a permit, and the hold until
// it may ask for the first of them again.
func (e *Edge) deniedRunners(p *pool) (denied []ident.RunnerID, soonest hold) {
	now := e.deps.Steady()
	l := &e.runnerLimits
	l.mu.Lock()
	var waits map[ident.RunnerID]denial
	for runner, d := range l.denied {
		if d.until <= now || l.table.Limits(runner) == (runnerlimit.Limits{}) {
			continue
		}
		if waits == nil {
			waits = map[ident.RunnerID]denial{}
		}
		waits[runner] = denial{until: d.until - now, busy: d.busy}
	}
	l.mu.Unlock()
	for runner, d := range waits {
		if !p.hasRunner(runner) {
			continue
		}
		denied = append(denied, runner)
		soonest = soonest.or(hold{until: d.until, spread: d.until, mayWait: d.busy})
	}
	return denied, soonest
}

// permit is the permission to send one request to a runner. The place that it takes at a brittle
// runner is given back with returnPermit; lease is zero if it takes none, and owner is empty if
// this daemon granted it. rested is the ticket for a runner that has just rested, and accepted says that
// the runner has begun to answer.
type permit struct {
	runner   ident.RunnerID
	owner    string
	lease    uint64
	rested   runnerrest.Ticket
	accepted bool
}

// permitDemand describes a request that may occupy a runner for some time.
func (p *pool) permitDemand(id ident.RunnerID, hold time.Duration) runnerlimit.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := p.peerLoads[id].Requests
	if act, ok := p.activities[id]; ok {
		present += len(act.attempts)
	}
	return runnerlimit.Demand{Hold: hold, Slots: p.slotsOf(id), Present: present}
}

// takePermit takes the permit for a request that may occupy a runner for the time hold. It returns
// false if the request must not be sent there now.
func (p *pool) takePermit(ctx context.Context, runner ident.RunnerID, hold time.Duration) (permit, bool) {
	e := p.edge
	start := e.deps.Steady()
	rested, free := e.rests.take(start, runner)
	if !free {
		e.log.Count("permit.at_rest")
		return permit{}, false
	}
	if !e.runnerLimits.limited(runner) {
		return permit{rested: rested}, true
	}
	decision, taken := e.askForPermit(ctx, start, runner, p.permitDemand(runner, hold))
	now := e.deps.Steady()
	if decision.Granted && now-start > permitValidity {
		e.log.Count("permit.too_late")
		e.returnPermit(taken, false)
		decision = runnerlimit.Permit{}
	}
	if decision.Granted {
		e.log.Count("permit.granted")
		taken.rested = rested
		return taken, true
	}
	e.rests.release(rested, false)
	e.log.Count("permit.denied")
	e.runnerLimits.mu.Lock()
	e.runnerLimits.denied[runner] = denial{until: now + max(time.Millisecond, decision.Wait), busy: decision.Busy}
	e.runnerLimits.mu.Unlock()
	return permit{}, false
}

// askForPermit asks the runner's owner for a permit.
func (e *Edge) askForPermit(ctx context.Context, now time.Duration, runner ident.RunnerID, d runnerlimit.Demand) (runnerlimit.Permit, permit) {
	unanswered := runnerlimit.Permit{Wait: unknownOwnerWait}
	owner, self := e.permitOwner(now, runner)
	if self {
		granted := e.grantPermit(now, runner, d)
		return granted, permit{runner: runner, lease: granted.Lease}
	}
	if owner == "" {
		e.log.Count("permit.no_owner")
		return unanswered, permit{}
	}
	id, answers := e.runnerLimits.asks.add()
	defer e.runnerLimits.asks.remove(id)
	limit := e.runnerLimits.statement(now, runner)
	e.sendTo(owner, &peersv1.Datagram{PermitRequest: &peersv1.PermitRequest{Id: id, PeerAddress: e.settings.PeerAddress, Limit: limit, HoldNs: int64(d.Hold)}})
	p, ok := awaitAnswer(ctx, answers, permitTimeout)
	if !ok {
		if ctx.Err() == nil {
			e.log.Count("permit.unanswered")
		}
		return unanswered, permit{}
	}
	return runnerlimit.Permit{Granted: p.Granted, Wait: time.Duration(p.WaitNs), Busy: p.Busy, Lease: p.Lease}, permit{runner: runner, owner: p.PeerAddress, lease: p.Lease}
}

// returnPermit gives back the place that a request took at a runner. rejected says that the
// runner rejected the request for lack of room.
func (e *Edge) returnPermit(p permit, rejected bool) {
	e.rests.release(p.rested, p.accepted)
	switch {
	case p.lease == 0:
	case p.owner != "":
		e.sendTo(p.owner, &peersv1.Datagram{PermitReturn: &peersv1.PermitReturn{Runner: string(p.runner), Lease: p.lease, Rejected: rejected}})
	default:
		e.runnerLimits.mu.Lock()
		defer e.runnerLimits.mu.Unlock()
		e.runnerLimits.table.Return(e.deps.Steady(), p.runner, p.lease, rejected)
	}
}

// handlePermitReturn takes back the place that another daemon's request took.
func (e *Edge) handlePermitReturn(r *peersv1.PermitReturn) {
	e.returnPermit(permit{runner: ident.RunnerID(r.Runner), lease: r.Lease}, r.Rejected)
}

// statement returns what this daemon knows of a runner's limits.
func (l *runnerLimits) statement(now time.Duration, runner ident.RunnerID) *peersv1.RunnerLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return encodeRunnerLimit(now, l.table.Statement(runner))
}

// grantPermit decides about a permit as the runner's owner.
func (e *Edge) grantPermit(now time.Duration, runner ident.RunnerID, d runnerlimit.Demand) runnerlimit.Permit {
	e.runnerLimits.mu.Lock()
	defer e.runnerLimits.mu.Unlock()
	return e.runnerLimits.table.Take(now, runner, d)
}

// permitOwner returns the address of the daemon to ask for permits for a runner, or self if this
// daemon grants them. A daemon that follows relays knows only some of the daemons that may be
// the owner, so it asks its primary relay, which forwards the question.
func (e *Edge) permitOwner(now time.Duration, runner ident.RunnerID) (address string, self bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.relayPlan.Followed) > 0 {
		return e.relayPlan.Followed[0].PeerAddress, false
	}
	var members []peers.Member
	if e.grantsQuota(now) && e.peers.Self().Phase != peers.Draining {
		members = append(members, e.peers.Self())
	}
	for _, m := range e.relayPlan.OtherGranters {
		if m.Phase != peers.Draining {
			members = append(members, m)
		}
	}
	incarnations := make([]ident.Incarnation, 0, len(members))
	for _, m := range members {
		incarnations = append(incarnations, m.Incarnation)
	}
	owner := runnerlimit.Owner(runner, incarnations)
	if owner < 0 {
		return "", false
	}
	return members[owner].PeerAddress, members[owner].Incarnation == e.self
}

// handlePermitRequest answers a daemon that asks for a permit, or forwards the request to the
// runner's owner.
func (e *Edge) handlePermitRequest(r *peersv1.PermitRequest) {
	if r.Limit == nil {
		e.log.Note("message_ignored", decisions.F("reason", "permit for no runner"))
		return
	}
	now := e.deps.Steady()
	e.receiveRunnerLimits(r.PeerAddress, []*peersv1.RunnerLimit{r.Limit})
	runner := ident.RunnerID(r.Limit.Runner)
	owner, self := e.permitOwner(now, runner)
	answer := &peersv1.Permit{Id: r.Id, Runner: r.Limit.Runner, PeerAddress: e.settings.PeerAddress, WaitNs: int64(unknownOwnerWait)}
	switch {
	case self:
		p := e.grantPermit(now, runner, e.permitDemand(runner, time.Duration(r.HoldNs)))
		answer.Granted, answer.WaitNs, answer.Busy, answer.Lease = p.Granted, int64(p.Wait), p.Busy, p.Lease
	case owner != "" && !r.Forwarded:
		r.Forwarded = true
		e.sendTo(owner, &peersv1.Datagram{PermitRequest: r})
		return
	}
	e.sendTo(r.PeerAddress, &peersv1.Datagram{Permit: answer})
}

// permitDemand describes a request of any service to a runner.
func (e *Edge) permitDemand(runner ident.RunnerID, hold time.Duration) runnerlimit.Demand {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		if p.hasRunner(runner) {
			return p.permitDemand(runner, hold)
		}
	}
	return runnerlimit.Demand{Hold: hold, Slots: defaultSlots}
}

// handlePermit passes an answer to the request that waits for it. A permit that comes too late
// is lost, but for the place that it takes.
func (e *Edge) handlePermit(p *peersv1.Permit) {
	if e.runnerLimits.asks.answer(p.Id, p) {
		return
	}
	e.log.Count("permit.unknown")
	e.returnPermit(permit{runner: ident.RunnerID(p.Runner), owner: p.PeerAddress, lease: p.Lease}, false)
}
