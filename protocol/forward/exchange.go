// Package forward decides the life of one forwarded request: whether a failed
// attempt is followed by another, and what its caller is told in the end.
//
// Two promises rest on it. A request that may not be repeated reaches a runner a
// second time only if the first runner is known not to have run it. And a caller
// is told "not run" only if that is known of every attempt. Both follow from one
// bit of each attempt, MayHaveRun, which is true unless nothing was sent or the
// runner itself said that it did not run the request.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package forward

import (
	"time"

	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Terms are what an exchange goes by.
type Terms struct {
	// Repeatable requests may run again from their beginning.
	Repeatable bool
	// Resumable ones may go on at another runner after a part of their answer
	// has gone to the caller.
	Resumable bool
	// MaxAttempts is the most runners that the request is sent to.
	MaxAttempts int
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
}

// FailedAttempt is how one attempt failed.
type FailedAttempt struct {
	Reason retry.Reason
	// MayHaveRun is true unless nothing was sent or the runner said that it did
	// not run the request.
	MayHaveRun bool
	// Sent is false if nothing arrived at any runner.
	Sent bool
	// RetryAfter is what the runner asked for.
	RetryAfter time.Duration
}

// Exchange is one request's life. Begun is set once a part of an answer has gone
// to the caller.
type Exchange struct {
	Terms       Terms
	AnswerBegun bool

	sent       int
	mayHaveRun bool
}

// MayHaveRun tells whether any attempt may have run the request.
func (x *Exchange) MayHaveRun() bool { return x.mayHaveRun }

// Sent is how many runners the request was sent to.
func (x *Exchange) Sent() int { return x.sent }

// HandleFailure answers a failed attempt: either another one after a wait, or the final
// refusal. Retries are charged to the policy's budget except where nothing
// arrived at a runner, since the next attempt is then the first.
func (x *Exchange) HandleFailure(now time.Time, policy *retry.Policy, a FailedAttempt) (time.Duration, *refusal.Refusal) {
	x.mayHaveRun = x.mayHaveRun || a.MayHaveRun
	if a.Sent {
		x.sent++
	}
	if x.AnswerBegun && !x.Terms.Resumable {
		return 0, x.finalRefusal(refusal.RunnerFailed, "answer broke off: %s", a.Reason)
	}
	decision := policy.Decide(now, retry.Failure{
		Reason:       a.Reason,
		MayHaveRun:   x.mayHaveRun,
		Repeatable:   x.Terms.Repeatable,
		Attempts:     max(1, x.sent),
		MaxAttempts:  x.Terms.MaxAttempts,
		NeverArrived: !a.Sent,
		RetryAfter:   a.RetryAfter,
		Deadline:     x.Terms.Deadline,
	})
	switch decision.Verdict {
	case retry.Again:
		return decision.Wait, nil
	case retry.StopDeadline:
		return 0, x.finalRefusal(refusal.DeadlineExceeded, "no time left after %s", a.Reason)
	case retry.StopBudget:
		return 0, x.finalRefusal(refusal.RetryBudgetExhausted, "no budget for another attempt after %s", a.Reason)
	}
	if !x.mayHaveRun {
		return 0, x.finalRefusal(refusal.RunnerRefused, "last attempt of %d: %s", x.sent, a.Reason)
	}
	return 0, x.finalRefusal(refusal.RunnerFailed, "last attempt of %d: %s", x.sent, a.Reason)
}

// DeadlineRefusal is the final answer where the deadline passes.
func (x *Exchange) DeadlineRefusal() *refusal.Refusal {
	return x.finalRefusal(refusal.DeadlineExceeded, "no answer in time")
}

// RecordInterrupted notes an attempt that is cut from our side after it was sent.
func (x *Exchange) RecordInterrupted() {
	x.sent++
	x.mayHaveRun = true
}

func (x *Exchange) finalRefusal(reason refusal.Reason, format string, args ...any) *refusal.Refusal {
	r := refusal.New(reason, format, args...)
	if x.mayHaveRun {
		return r.Unknown()
	}
	return r
}
