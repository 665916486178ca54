package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// A daemon that has lost its paths to the runners of a service lets other daemons serve its
// callers' requests. The helper treats such a request like one of its own callers': it checks the
// key, charges the quota and counts the usage, so this daemon does none of that for it. The
// helper never delegates the request again.

const (
	// maxHelpers is the number of daemons that are asked to serve one request, one after the
	// other. With a whole failure domain cut off, several of them may be cut off, too.
	maxHelpers = 3
	// maxConnectFailures is the number of runners to which a request finds no connection before
	// it is delegated, although the runners count as reachable: a path that refuses new
	// connections may keep the open ones alive.
	maxConnectFailures = 2
	// cutOffMemory is how long a daemon's statement that it reaches no runner of a service is
	// believed.
	cutOffMemory = peers.RelayedAliveFor
)

// unreachableServices lists the services of which this daemon reaches no runner.
func (e *Edge) unreachableServices() []string {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	var names []string
	for name, p := range e.pools {
		if p.paths.lost.Load() {
			names = append(names, name)
		}
	}
	return names
}

// helpers returns ready daemons that aren't silent and have not stated that they reach no runner of the service, in
// random order but the first ones each of another failure domain: a whole one may be cut off.
func (e *Edge) helpers(service string) []peers.Member {
	if e.deps.Delegation == nil {
		return nil
	}
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	var candidates []peers.Member
	for _, m := range e.alive {
		if m.Phase == peers.Ready && now >= e.cutOffUntil[m.Incarnation][service] && !e.helperCalls.isSilent(m.Incarnation) {
			candidates = append(candidates, m)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var helpers, others []peers.Member
	seen := map[ident.FailureDomain]bool{}
	for _, m := range candidates {
		if seen[m.FailureDomain] {
			others = append(others, m)
			continue
		}
		seen[m.FailureDomain] = true
		helpers = append(helpers, m)
	}
	helpers = append(helpers, others...)
	return helpers[:min(maxHelpers, len(helpers))]
}

// receiveUnreachable records of which services another daemon reaches no runner. The caller must
// hold e.mu.
func (e *Edge) receiveUnreachable(now time.Duration, id ident.Incarnation, services []string) {
	delete(e.cutOffUntil, id)
	for _, name := range services {
		e.believeCutOff(now, id, name)
	}
}

// believeCutOff records that another daemon reaches no runner of a service. The caller must hold
// e.mu.
func (e *Edge) believeCutOff(now time.Duration, id ident.Incarnation, service string) {
	if e.cutOffUntil[id] == nil {
		e.cutOffUntil[id] = map[string]time.Duration{}
	}
	e.cutOffUntil[id][service] = now + cutOffMemory
}

// avoidHelper remembers that a helper has refused a request because it reaches no runner either.
func (e *Edge) avoidHelper(id ident.Incarnation, service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.believeCutOff(e.deps.Steady(), id, service)
}

// delegates reports whether the request should be delegated rather than sent to a runner.
func (s *requestHandler) delegates() bool {
	return !s.delegated && (s.pool.paths.lost.Load() || s.connectFailures >= maxConnectFailures)
}

// delegate lets another daemon serve the request. It returns the answer that has begun, what is known about the
// failure, or the refusal; nothing if there was no daemon that could be asked.
func (s *requestHandler) delegate(ctx context.Context) (*openAnswer, *failedAttempt, *refusal.Refusal) {
	var refused *refusal.Refusal
	for _, m := range s.edge.helpers(s.pool.name) {
		if s.hedge == nil {
			// The silent attempt of a hedge stays charged.
			s.returnCharge()
		}
		a := &attempt{s: s, sent: time.Now(), helper: m.ID, parent: ctx}
		s.note("delegated", decisions.F("helper", m.ID), decisions.F("attempts", s.exchange.Sent()), decisions.F("may_have_run", s.exchange.MayHaveRun()))
		answer, err := a.call(ctx, &m)
		if next := a.takenOver; next != nil {
			return next, nil, nil
		}
		var refusedBy *helperRefusalError
		var notHandedOver *notHandedOverError
		switch {
		case err == nil:
			open := &openAnswer{a, answer}
			if !answer.Events && s.exchange.AnswerBegun {
				open.close()
				return nil, a.failed(a.callBroke(ctx)), nil
			}
			return open, nil, nil
		case errors.As(err, &refusedBy):
			refused = refusedBy.Refusal
			a.noteHelperRefused(refusedBy)
			failed, final := a.handleRefusal(&m, refusedBy)
			if failed != nil {
				return nil, a.failed(failed), nil
			}
			if final {
				return nil, nil, refused
			}
		case errors.As(err, &notHandedOver):
			a.returnRetry()
		default:
			s.edge.log.Count("delegation_failed")
			return nil, a.failed(a.callBroke(ctx)), nil
		}
		s.edge.log.Count("delegation_unserved")
	}
	if refused == nil {
		return nil, nil, nil
	}
	return nil, nil, refused
}

// noteHelperRefused logs what the attempt's helper says of a request that it refuses, which the caller's daemon may answer
// otherwise.
func (a *attempt) noteHelperRefused(r *helperRefusalError) {
	a.s.note("helper_refused", decisions.F("helper", a.helper), decisions.F("reason", r.Reason), decisions.F("executed", r.Executed),
		decisions.F("attempts", r.attempts), decisions.F("before", a.helperSends.before), decisions.F("after", time.Since(a.sent)))
	a.s.edge.log.Count("helper_refused." + string(r.Executed))
}

// handleRefusal decides whether another daemon may serve a request that the attempt's helper has refused; final says that
// none may. If the helper has sent it to runners, another one may only as after a failure here, which is returned.
func (a *attempt) handleRefusal(helper *peers.Member, r *helperRefusalError) (failed *forward.FailedAttempt, final bool) {
	s := a.s
	s.counts.offered = s.counts.offered || r.counts.offered
	s.counts.dispatched = s.counts.dispatched || r.counts.dispatched
	a.helperSends.settle(uint32(r.attempts))
	a.countHelperSends()
	if !a.counted {
		a.returnRetry()
	}
	if r.Reason == refusal.NoRunner {
		s.edge.avoidHelper(helper.Incarnation, s.pool.name)
	}
	mayServe := mayServeElsewhere(r.Refusal)
	if a.counted && (mayServe || s.patient() && isPassing(r.Refusal)) {
		return &forward.FailedAttempt{Reason: retry.Busy, Sent: true}, false
	}
	return nil, !mayServe
}

// call sends the request to a helper and returns its answer once it begins. If it fails, another attempt may have
// taken over.
func (a *attempt) call(ctx context.Context, helper *peers.Member) (*Answer, error) {
	callCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	a.s.edge.helperCalls.begin(a, helper)
	// A hedge may change the request's state once the wait has begun.
	request := encodeDelegated(a.s, a.helperSends.call)
	a.helperSends.before = request.Attempts
	if !a.beginHandover() {
		a.release()
		return nil, &notHandedOverError{&refusedAlreadyError{}}
	}
	a.useRetry()
	a.beginWait()
	answer, err := a.s.edge.callHelper(callCtx, helper.PeerAddress, request, &a.helperSends)
	a.settleHandover(err)
	var refusedBy *helperRefusalError
	received := err == nil || errors.As(err, &refusedBy)
	if received {
		a.recordHeard()
	}
	a.endWait(received)
	if err != nil || a.takenOver != nil {
		if err == nil {
			answer.Body.Close()
		}
		a.release()
		return nil, err
	}
	a.helperBody, _ = answer.Body.(*helperBody)
	answer.Body = &watchedBody{ReadCloser: answer.Body, attempt: a}
	return answer, nil
}

// helperFailed reports whether a helper has said that its answer breaks off.
func (a *attempt) helperFailed() bool { return a.helperBody != nil && a.helperBody.runnerFailed }

// mayServeElsewhere reports whether another daemon may serve a request that a helper has refused.
func mayServeElsewhere(r *refusal.Refusal) bool {
	if r.Executed != refusal.ExecutedNo {
		return false
	}
	switch r.Reason {
	case refusal.Overloaded, refusal.NoRunner, refusal.RunnersResting, refusal.Draining, refusal.NotReady, refusal.StaleConfiguration, refusal.QuotaUnknown:
		return true
	}
	return false
}

// refusedAlreadyError says that the caller was promised that the request never runs.
type refusedAlreadyError struct{}

func (*refusedAlreadyError) Error() string { return "request was refused already" }

// returnCharge gives the quota back that this daemon has charged for the request.
func (s *requestHandler) returnCharge() {
	if s.cost > 0 {
		s.edge.returnQuota(s.grantingRelay, s.workspace, s.cost)
	}
	s.cost, s.grantingRelay, s.prepared = 0, "", false
}

// passOnHelper passes the answer of a helper on to the caller.
func (a *attempt) passOnHelper(ctx context.Context, answer *Answer) *forward.FailedAttempt {
	failure := a.passOnHelperBody(ctx, answer)
	if a.helperFailed() {
		// The helper has repeated the request if that may be done at all.
		a.s.exchange.Terms.Repeatable, a.s.exchange.Terms.Resumable = false, false
	}
	return failure
}

func (a *attempt) passOnHelperBody(ctx context.Context, answer *Answer) *forward.FailedAttempt {
	s := a.s
	if answer.Events {
		return a.stream(ctx, answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	if a.takenOver != nil {
		return nil
	}
	if err != nil {
		return a.callBroke(ctx)
	}
	if len(body) > maxBufferedBytes {
		return a.streamBody(ctx, answer, body)
	}
	s.sendBuffered(&bufferedAnswer{answer.Status, answer.Header, body, a.choice.Runner})
	return nil
}

// callBroke describes the failure of a call to a helper, which may have sent the request. If the
// deadline has passed or the caller has left, nothing follows, so it is recorded at once.
func (a *attempt) callBroke(ctx context.Context) *forward.FailedAttempt {
	if ctx.Err() == nil {
		return &forward.FailedAttempt{Reason: retry.Broken, Sent: true}
	}
	a.recordInterrupted()
	return &forward.FailedAttempt{Reason: retry.Broken}
}
