package edge

import (
	"context"
	"errors"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
)

// This file says what becomes of an attempt without an answer that the caller may get, and what that says of its runner.

// rejectAnswer fails an attempt whose answer can't be passed on.
func (a *attempt) rejectAnswer() *forward.FailedAttempt {
	a.finish()
	a.s.pool.observe(a.choice.Runner, health.Failure)
	a.recordFailure()
	return &forward.FailedAttempt{Reason: retry.Broken, Sent: true}
}

func (a *attempt) handleSendError(ctx context.Context, err error) *forward.FailedAttempt {
	failure := &forward.FailedAttempt{Reason: retry.Broken, Sent: true}
	a.broke = err
	var send *SendError
	heard := false
	if errors.As(err, &send) {
		heard = send.Heard
		failure.Reason, failure.Sent = send.Reason, send.Sent
	}
	if ctx.Err() != nil {
		a.endInterrupted(failure.Sent)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.recordFailure()
			a.s.pool.recordNoAnswer(a.choice.Runner, heard)
		}
		return failure
	}
	if a.abandoned.Load() {
		failure.Reason = retry.Silent
	}
	if failure.Sent {
		a.countStarted()
		a.finish()
		a.recordFailure()
	} else {
		a.s.pool.recordNotStarted(&a.ticket, &a.s.routingRequest)
	}
	if failure.Reason == retry.Silent && !failure.Sent {
		a.s.pool.observe(a.choice.Runner, health.NoConnection)
	}
	if failure.Reason == retry.Withdrawn || failure.Reason == retry.Silent {
		// This daemon has ended the attempt itself, which doesn't prove that the runner is faulty.
		return failure
	}
	a.s.pool.observe(a.choice.Runner, health.Failure)
	a.s.pool.recordNoAnswer(a.choice.Runner, heard)
	a.recordMayHaveEnded()
	return failure
}

// endInterrupted ends an attempt because the caller has disconnected or the deadline has passed.
func (a *attempt) endInterrupted(sent bool) {
	if sent {
		a.recordInterrupted()
	}
	a.finish()
}

// endTakenOver ends an attempt in whose place another one goes on.
func (a *attempt) endTakenOver() {
	a.finish()
	a.recordFailure()
}

// recordInterrupted counts an attempt that this side cut off after the request was sent.
func (a *attempt) recordInterrupted() {
	if !a.counted {
		a.s.exchange.RecordSent(1)
		a.counted = true
	}
}

func (a *attempt) finish() { a.s.pool.recordFinished(&a.ticket, 0) }

// handleNotRun handles a runner's statement that it did not run the request.
func (a *attempt) handleNotRun(answer *Answer) *forward.FailedAttempt {
	a.handover.ProveNotRun()
	a.s.pool.recordNotStarted(&a.ticket, &a.s.routingRequest)
	failure := &forward.FailedAttempt{Reason: retry.Busy, Sent: true, RetryAfter: 0}
	if answer.Misdirected {
		failure.Reason = retry.NotLoaded
		a.s.pool.observe(a.choice.Runner, health.Failure)
		return failure
	}
	a.rejected = true
	if answer.Leaving {
		failure.Reason = retry.Leaving
	}
	a.s.pool.observe(a.choice.Runner, health.Rejection)
	return failure
}
