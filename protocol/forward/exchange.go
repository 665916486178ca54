// Package forward decides what happens to a forwarded request: whether a
// failed attempt is followed by another one, and which refusal its caller gets
// in the end.
//
// The package guarantees two things. A request that is not repeatable reaches
// a second runner only if the first runner is known not to have run it. And a
// caller is told "not executed" only if no attempt has run the request and none
// will. Both follow from Executions, which records each time that the request is
// handed on, and from Exchange.Final, through which each refusal goes.
//
// The package performs no I/O and reads no clock. But for Executions it is not
// safe for concurrent use.
package forward

import (
	"time"

	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Terms holds the rules by which a request is forwarded.
type Terms struct {
	// Repeatable requests may run again from the beginning.
	Repeatable bool
	// Resumable requests may continue at another runner after a part of their
	// answer has reached the caller.
	Resumable bool
	// MaxAttempts is the maximum number of runners to which the request is
	// sent.
	MaxAttempts int
	// Deadline is when the caller or the route stops waiting.
	Deadline time.Time
}

// FailedAttempt describes an attempt that failed.
type FailedAttempt struct {
	Reason retry.Reason
	// Sent is false if nothing of this attempt reached a runner.
	Sent bool
	// Counted says that the attempt counts as one of those sent already, since another one was made beside it.
	Counted bool
	// RetryAfter is the delay that the runner asked for.
	RetryAfter time.Duration
}

// Exchange is the state of one forwarded request. AnswerBegun must be set once
// a part of the answer has been sent to the caller, and Executions must record
// each attempt before it is made.
type Exchange struct {
	Terms       Terms
	AnswerBegun bool
	Executions  Executions

	sent int
	// ranBefore says that the request may have run before this daemon had it.
	ranBefore bool
}

// Continue takes over an exchange that another daemon has begun: the number of runners to which
// it has sent the request, and whether one of them may have run it.
func (x *Exchange) Continue(sent int, mayHaveRun bool) {
	x.sent, x.ranBefore = sent, mayHaveRun
}

// MayHaveRun reports whether any attempt may have run the request, this daemon's or an earlier one's.
func (x *Exchange) MayHaveRun() bool { return x.ranBefore || x.Executions.MayHaveRun() }

// Sent returns the number of runners to which the request was sent.
func (x *Exchange) Sent() int { return x.sent }

// HandleFailure processes a failed attempt. It returns the delay before the
// next attempt, or the refusal, which Final completes. The next attempt is charged to the
// policy's budget unless nothing of the failed attempt reached a runner: the
// failed attempt then put no load on a runner.
func (x *Exchange) HandleFailure(now time.Time, policy *retry.Policy, a FailedAttempt) (time.Duration, *refusal.Refusal) {
	x.Record(&a)
	return x.Decide(now, policy, a)
}

// Record counts a failed attempt, and says in it that it counts.
func (x *Exchange) Record(a *FailedAttempt) {
	if a.Sent && !a.Counted {
		x.sent++
		a.Counted = true
	}
}

// Decide decides on a failed attempt that HandleFailure has processed, like HandleFailure.
func (x *Exchange) Decide(now time.Time, policy *retry.Policy, a FailedAttempt) (time.Duration, *refusal.Refusal) {
	if x.AnswerBegun && !x.Terms.Resumable {
		return 0, refusal.New(refusal.RunnerFailed, "answer broke off: %s", a.Reason)
	}
	decision := policy.Decide(now, retry.Failure{
		Reason:       a.Reason,
		MayHaveRun:   x.MayHaveRun(),
		Repeatable:   x.Terms.Repeatable,
		Attempts:     max(1, x.sent),
		MaxAttempts:  x.Terms.MaxAttempts,
		NeverArrived: !a.Sent,
		RetryAfter:   a.RetryAfter,
		Deadline:     x.Terms.Deadline,
	})
	switch decision.Verdict {
	case retry.Again:
		return decision.Delay, nil
	case retry.StopDeadline:
		return 0, refusal.New(refusal.DeadlineExceeded, "no time left after %s", a.Reason)
	case retry.StopBudget:
		return 0, refusal.New(refusal.RetryBudgetExhausted, "no budget for another attempt after %s", a.Reason)
	}
	if !x.MayHaveRun() {
		return 0, refusal.New(refusal.RunnerRefused, "last attempt of %d: %s", x.sent, a.Reason)
	}
	return 0, refusal.New(refusal.RunnerFailed, "last attempt of %d: %s", x.sent, a.Reason)
}

// DeadlineRefusal returns the refusal of a request whose deadline has passed.
func DeadlineRefusal() *refusal.Refusal {
	return refusal.New(refusal.DeadlineExceeded, "no answer in time")
}

// RecordSent counts sends to a number of runners beside those of failed attempts: another daemon has made them, or this side
// has cut an attempt off after the request was sent.
func (x *Exchange) RecordSent(runners int) { x.sent += runners }

// Final returns a refusal as it is given. It says that the request was not executed only if that is known of each time that
// this daemon has handed it on, and the request is handed on no more then. A daemon that has delegated the request knows of
// its own attempts.
func (x *Exchange) Final(r *refusal.Refusal) *refusal.Refusal {
	final := *r
	if final.Executed == refusal.ExecutedNo && !x.Executions.promiseNotRun() {
		final.Executed = refusal.ExecutedUnknown
	}
	return &final
}
