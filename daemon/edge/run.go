package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

// lookAgainInterval is the time after which a request that can't go on anywhere at the moment, and that
// isn't given up for that, looks again.
const lookAgainInterval = 100 * time.Millisecond

// openAnswer is an answer that has begun, with its attempt.
type openAnswer struct {
	attempt *attempt
	answer  *Answer
}

// close ends the attempt.
func (o *openAnswer) close() {
	o.answer.Body.Close()
	o.attempt.release()
}

// failedAttempt is an attempt without a whole answer. attempt is nil if it was a call to a helper.
type failedAttempt struct {
	forward.FailedAttempt
	attempt *attempt
	// err is the error with which it has ended; nil if there was none.
	err error
}

// run makes attempts until one succeeds, no further attempt is allowed or the caller
// disconnects.
func (s *requestHandler) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	defer s.refundRetry()
	for {
		open, failed, end := s.open(ctx)
		if open != nil {
			if failed = s.passOn(ctx, open); failed == nil {
				return
			}
		}
		if s.endIfCanceled(ctx) {
			return
		}
		if end == nil {
			end = s.prepareRetry(ctx, failed)
		}
		if end != nil {
			s.end(end)
			return
		}
		if s.endIfCanceled(ctx) {
			return
		}
	}
}

// open makes one attempt until its answer begins, and waits before it as long as the request can go on
// nowhere but isn't given up. Without an answer it returns what is known about the failure, or the refusal if no
// attempt could be made; neither if the context has ended meanwhile.
func (s *requestHandler) open(ctx context.Context) (*openAnswer, *failedAttempt, *refusal.Refusal) {
	for {
		open, failed, end := s.openOnce(ctx)
		if end == nil || !s.patient() || !isPassing(end) {
			return open, failed, end
		}
		s.edge.log.Count("looks_again." + string(end.Reason))
		if !pause.For(ctx, lookAgainInterval) || !s.goesOnLooking(ctx) {
			return nil, nil, nil
		}
		// A runner that has failed the request once may serve it now.
		s.failedRunners = prefix.Set{}
	}
}

// patient reports whether the request goes on looking for a runner although there is none for it now: a part
// of its answer has reached its caller, or its first runner may still answer.
func (s *requestHandler) patient() bool {
	return s.exchange.AnswerBegun || s.hedge != nil && !s.hedge.alone.Load()
}

// isPassing reports whether the reason of a refusal may be gone a moment later.
func isPassing(r *refusal.Refusal) bool {
	switch r.Reason {
	case refusal.NoRunner, refusal.VersionUnavailable, refusal.RunnersLimited, refusal.RunnersResting, refusal.DeadlineUnreachable,
		refusal.RetryBudgetExhausted, refusal.Draining, refusal.NotReady, refusal.StaleConfiguration, refusal.QuotaUnknown,
		refusal.WorkspaceLimit:
		return true
	}
	return false
}

// openOnce makes one attempt until its answer begins: at a runner or, if this daemon reaches none, at another
// daemon. It returns the answer, what is known about the failure, or the refusal if no attempt could be made.
func (s *requestHandler) openOnce(ctx context.Context) (*openAnswer, *failedAttempt, *refusal.Refusal) {
	if r := s.checkCauses(ctx); r != nil {
		return nil, nil, r
	}
	if r := s.askToSend(ctx); r != nil {
		return nil, nil, r
	}
	if s.delegates() {
		if open, failed, r := s.delegate(ctx); open != nil || failed != nil || r != nil {
			return open, failed, r
		}
	}
	if s.patient() && s.pool.paths.lost.Load() {
		return nil, nil, s.refuseWithoutRunner(&PathsLostError{s.pool.name})
	}
	r := s.prepare(ctx)
	var a *attempt
	if r == nil {
		a, r = s.chooseRunner(ctx)
	}
	if r != nil && r.Reason == refusal.NoRunner && !s.delegated && s.pool.paths.doubtful.Load() {
		if open, failed, refused := s.delegate(ctx); open != nil || failed != nil || refused != nil {
			return open, failed, refused
		}
	}
	if r != nil {
		return nil, nil, r
	}
	open, failure := a.open(ctx)
	if failure == nil || failure.Sent {
		a.useRetry()
	} else {
		a.returnRetry()
	}
	if failure == nil {
		return open, nil, nil
	}
	if !failure.Sent && failure.Reason != retry.Withdrawn && ctx.Err() == nil {
		s.connectFailures++
	}
	return nil, a.failed(failure), nil
}

// passOn passes an answer on to the caller, and those of the attempts that take it over. It returns nil if the caller
// has received the final answer, otherwise what is known about the failure.
func (s *requestHandler) passOn(ctx context.Context, open *openAnswer) *failedAttempt {
	for {
		a := open.attempt
		if a.helper != "" {
			// The helper has charged the request.
			s.returnCharge()
		}
		failure := a.passOn(ctx, open.answer)
		open.close()
		if open = a.takenOver; open != nil {
			continue
		}
		if failure == nil {
			return nil
		}
		return a.failed(failure)
	}
}

// failed describes the failure of the attempt, and records what it says of the runner.
func (a *attempt) failed(failure *forward.FailedAttempt) *failedAttempt {
	var refused *httpanswer.Error
	if errors.As(a.broke, &refused) {
		a.s.edge.log.Count("answers_refused." + string(refused.Kind))
	}
	if a.helper != "" {
		a.countHelperSends()
		a.record(failure)
		a.s.note("helper_failed", decisions.F("helper", a.helper), decisions.F("reason", failure.Reason), decisions.F("told", a.helperSends.latest()),
			decisions.F("attempts", a.s.exchange.Sent()), decisions.F("after", time.Since(a.sent)))
		return &failedAttempt{FailedAttempt: *failure, err: a.broke}
	}
	a.record(failure)
	if a.s.isEnding() {
		// The connection check could outlast the process.
		return &failedAttempt{*failure, a, a.broke}
	}
	ctx := a.parent
	if a.s.hedge == nil {
		// What became of the runner counts also if the caller leaves meanwhile.
		ctx = context.WithoutCancel(ctx)
	}
	a.recordRunnerFailure(ctx, failure)
	return &failedAttempt{*failure, a, a.broke}
}

// record counts the failed attempt among the request's, unless it counts already.
func (a *attempt) record(failure *forward.FailedAttempt) {
	failure.Counted = a.counted
	a.s.exchange.Record(failure)
	a.counted = failure.Counted
}

// prepareRetry decides whether another attempt follows a failed one, and waits until it is due. It returns the refusal if
// none follows. It returns early if the request isn't to be sent any more.
func (s *requestHandler) prepareRetry(ctx context.Context, failed *failedAttempt) *refusal.Refusal {
	var wait time.Duration
	var end *refusal.Refusal
	s.pool.withRetryPolicy(func(p *retry.Policy) { wait, end = s.exchange.HandleFailure(time.Now(), p, failed.FailedAttempt) })
	a := failed.attempt
	if a != nil {
		a.counted = a.counted || failed.Sent
	}
	note := s.note
	if end != nil {
		note = s.noteLoss
	}
	note("attempt_failed", decisions.F("runner", a.runner()), decisions.F("reason", failed.Reason),
		decisions.F("begun", a != nil && a.begun), decisions.F("events", a.eventCount()), decisions.F("parts", fmt.Sprint(s.parts)),
		causeField(s.content()), decisions.F("may_have_run", s.exchange.MayHaveRun()), decisions.F("attempts", s.exchange.Sent()),
		decisions.F("kept", s.hedge != nil), decisions.F("again", end == nil), decisions.F("charged", end == nil && failed.Sent), decisions.F("wait", wait),
		decisions.F("error", textOf(failed.err)))
	s.edge.log.Count("attempt_failed." + string(failed.Reason))
	waited := false
	for end != nil && end.Reason == refusal.RetryBudgetExhausted && s.patient() {
		waited = true
		s.edge.log.Count("looks_again." + string(end.Reason))
		if !pause.For(ctx, lookAgainInterval) || !s.goesOnLooking(ctx) {
			return nil
		}
		s.pool.withRetryPolicy(func(p *retry.Policy) { wait, end = s.exchange.Decide(time.Now(), p, failed.FailedAttempt) })
	}
	if end != nil {
		return s.withRetryAfter(end)
	}
	if waited {
		s.note("retry_granted", decisions.F("reason", failed.Reason), decisions.F("attempts", s.exchange.Sent()))
	}
	if failed.Sent {
		s.chargeRetry()
	}
	if pause.For(ctx, wait) && (a == nil || !a.rests && !a.foundRestarted) {
		s.failedRunners = s.failedRunners.Or(s.pool.exclusionOf(a.runner()))
	}
	return nil
}

// textOf returns the text of an error, empty for nil.
func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// endIfCanceled ends a request whose caller has disconnected, whose deadline has passed or which this daemon
// ends, and reports whether it did.
func (s *requestHandler) endIfCanceled(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.end(forward.DeadlineRefusal().After(notReadyRetryAfter))
	case s.isEnding():
		s.end(endingRefusal())
	default:
		s.abortForLeftCaller()
	}
	return true
}

// abortForLeftCaller ends a request whose caller has disconnected, or doesn't read the answer until this daemon
// closes the connection.
func (s *requestHandler) abortForLeftCaller() {
	if s.isEnding() {
		s.breakOff(endingRefusal())
		return
	}
	s.noteLoss("caller_left", decisions.F("begun", s.exchange.AnswerBegun), decisions.F("events", s.eventsSent()))
	s.reply.Abort()
}

// withRetryAfter adds a retry time to a refusal that has none.
func (s *requestHandler) withRetryAfter(r *refusal.Refusal) *refusal.Refusal {
	if r.RetryAfter == 0 {
		return r.After(notReadyRetryAfter / 2)
	}
	return r
}

// end gives the final answer: the buffered server error of a runner if there is one, otherwise
// the refusal. If a part of the answer has already been sent, or the daemon that has delegated the request goes on without
// this one, the answer can only be aborted.
func (s *requestHandler) end(r *refusal.Refusal) {
	if s.exchange.AnswerBegun || r.Reason == refusal.Cancelled {
		s.breakOff(r)
		return
	}
	if s.buffered != nil {
		s.sendBuffered(s.buffered)
		return
	}
	s.refuse(r)
}

// breakOff ends an answer that has begun and can't become whole.
func (s *requestHandler) breakOff(r *refusal.Refusal) {
	s.noteLoss("broken_off", decisions.F("reason", r.Reason), decisions.F("detail", r.Detail), decisions.F("events", s.eventsSent()))
	s.edge.log.Count("broken_off." + string(r.Reason))
	s.reply.Abort()
}
