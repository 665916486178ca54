package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// A request is sent to a runner that states a limit only with a permit of the runner's owner,
// one of the daemons that share the quotas. A daemon that is denied one doesn't choose the
// runner for as long as the owner said.

const (
	// permitTimeout is the time that the owner has to answer. It answers within a millisecond
	// or two unless its VM is paused.
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
)

// firstAskID returns a random number, so that a Permit for a former process at this address
// matches no request of this one.
func firstAskID() uint64 { return rand.Uint64() }

// choosePermitted chooses a runner to which the request may be sent now. If all suitable runners
// state limits that are used up, it returns a refusal with the time until there is a permit.
func (s *requestHandler) choosePermitted(ctx context.Context, now time.Time) (routing.Choice, *refusal.Refusal) {
	for range maxPermitAsks {
		soonest := s.excludeDenied()
		choice, err := s.pick(ctx, now)
		s.recommended = ""
		if err != nil && soonest > 0 {
			return routing.Choice{}, s.refuseLimited(soonest)
		}
		if err != nil {
			return routing.Choice{}, s.refuseWithoutRunner(err)
		}
		if late := choice.Estimate - s.maxFirstTokenWait(now); late > 0 && s.edge.settings.Policy.Uses(RefuseEarly) {
			return routing.Choice{}, s.refuseTooLate(late, choice)
		}
		if s.edge.takePermit(ctx, choice.Runner) {
			return choice, nil
		}
	}
	return routing.Choice{}, s.refuseLimited(max(s.excludeDenied(), unknownOwnerWait))
}

// excludeDenied excludes the runners for which this daemon was denied a permit, and returns the
// time until it may ask for the first of them again; zero if there are none.
func (s *requestHandler) excludeDenied() time.Duration {
	denied, soonest := s.edge.deniedRunners(s.pool)
	s.deniedRunners = s.pool.exclusionOf(denied...)
	s.routingRequest.Exclude = s.excludedRunners()
	return soonest
}

// excludedRunners returns the runners that must not be chosen for the request's next attempt.
func (s *requestHandler) excludedRunners() prefix.Set { return s.failedRunners.Or(s.deniedRunners) }

func (s *requestHandler) refuseLimited(wait time.Duration) *refusal.Refusal {
	r := refusal.New(refusal.RunnersLimited, "the runners accept no more requests now").After(wait)
	if s.exchange.MayHaveRun() {
		return r.Unknown()
	}
	return r
}

// deniedRunners returns the runners of a service for which this daemon was denied a permit, and
// the time until it may ask for the first of them again.
func (e *Edge) deniedRunners(p *pool) ([]ident.RunnerID, time.Duration) {
	now := e.deps.Steady()
	l := &e.runnerLimits
	l.mu.Lock()
	var candidates []ident.RunnerID
	for runner, until := range l.deniedUntil {
		if until > now && l.table.PerSecond(runner) > 0 {
			candidates = append(candidates, runner)
		}
	}
	l.mu.Unlock()
	var denied []ident.RunnerID
	soonest := time.Duration(0)
	for _, runner := range candidates {
		if !p.hasRunner(runner) {
			continue
		}
		denied = append(denied, runner)
		if wait := e.deniedFor(now, runner); soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	return denied, soonest
}

// deniedFor returns for how long this daemon must not ask for a permit for a runner.
func (e *Edge) deniedFor(now time.Duration, runner ident.RunnerID) time.Duration {
	e.runnerLimits.mu.Lock()
	defer e.runnerLimits.mu.Unlock()
	return max(time.Millisecond, e.runnerLimits.deniedUntil[runner]-now)
}

// takePermit reports whether a request may be sent to a runner now.
func (e *Edge) takePermit(ctx context.Context, runner ident.RunnerID) bool {
	if e.runnerLimits.perSecond(runner) == 0 {
		return true
	}
	start := e.deps.Steady()
	wait, granted := e.askForPermit(ctx, start, runner)
	now := e.deps.Steady()
	if granted && now-start > permitValidity {
		e.log.Count("permit.too_late")
		wait, granted = 0, false
	}
	if granted {
		e.log.Count("permit.granted")
		return true
	}
	e.log.Count("permit.denied")
	e.runnerLimits.mu.Lock()
	e.runnerLimits.deniedUntil[runner] = now + max(time.Millisecond, wait)
	e.runnerLimits.mu.Unlock()
	return false
}

// askForPermit asks the runner's owner for a permit. Without one it returns the time after which
// to ask again.
func (e *Edge) askForPermit(ctx context.Context, now time.Duration, runner ident.RunnerID) (time.Duration, bool) {
	owner, self := e.permitOwner(now, runner)
	if self {
		return e.grantPermit(now, runner)
	}
	if owner == "" {
		e.log.Count("permit.no_owner")
		return unknownOwnerWait, false
	}
	answers := make(chan *peersv1.Permit, 1)
	id, limit := e.runnerLimits.addAsk(now, runner, answers)
	defer e.runnerLimits.removeAsk(id)
	e.sendTo(owner, &peersv1.Datagram{PermitRequest: &peersv1.PermitRequest{Id: id, PeerAddress: e.settings.PeerAddress, Limit: limit}})
	timeout := time.NewTimer(permitTimeout)
	defer timeout.Stop()
	select {
	case p := <-answers:
		return time.Duration(p.WaitNs), p.Granted
	case <-timeout.C:
		e.log.Count("permit.unanswered")
	case <-ctx.Done():
	}
	return unknownOwnerWait, false
}

func (l *runnerLimits) addAsk(now time.Duration, runner ident.RunnerID, answers chan<- *peersv1.Permit) (uint64, *peersv1.RunnerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAsk++
	l.asks[l.lastAsk] = answers
	return l.lastAsk, encodeRunnerLimit(now, l.table.Statement(runner))
}

func (l *runnerLimits) removeAsk(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asks, id)
}

// grantPermit grants a permit as the runner's owner.
func (e *Edge) grantPermit(now time.Duration, runner ident.RunnerID) (time.Duration, bool) {
	e.runnerLimits.mu.Lock()
	defer e.runnerLimits.mu.Unlock()
	return e.runnerLimits.table.Take(now, runner)
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
	answer := &peersv1.Permit{Id: r.Id, WaitNs: int64(unknownOwnerWait)}
	switch {
	case self:
		wait, granted := e.grantPermit(now, runner)
		answer.Granted, answer.WaitNs = granted, int64(wait)
	case owner != "" && !r.Forwarded:
		r.Forwarded = true
		e.sendTo(owner, &peersv1.Datagram{PermitRequest: r})
		return
	}
	e.sendTo(r.PeerAddress, &peersv1.Datagram{Permit: answer})
}

// handlePermit passes an answer to the request that waits for it. A permit that comes too late
// is lost.
func (e *Edge) handlePermit(p *peersv1.Permit) {
	e.runnerLimits.mu.Lock()
	answers, ok := e.runnerLimits.asks[p.Id]
	delete(e.runnerLimits.asks, p.Id)
	e.runnerLimits.mu.Unlock()
	if !ok {
		e.log.Count("permit.unknown")
		return
	}
	answers <- p
}
