package runnerlimit

import "time"

// liftMargin is how much later than the last statement of a value a request must have been sent
// for its answer to lift it. It covers the inaccuracy of ages in messages.
const liftMargin = 200 * time.Millisecond

// Term is one value that a runner states in its answers, for as long as it does. Terms of the same
// runner that several daemons know can be merged in any order.
type Term struct {
	Value float64
	// Stated says that an answer has stated the value; the newest such answer was received at
	// StatedAt.
	Stated   bool
	StatedAt time.Duration
	// Lifted says that an answer did not state it; its request was sent at LiftedAt.
	Lifted   bool
	LiftedAt time.Duration
}

// Binds reports whether the runner states the value, as far as is known.
func (t *Term) Binds() bool {
	return t.Stated && (!t.Lifted || t.LiftedAt <= t.StatedAt+liftMargin)
}

func (t *Term) merge(other Term) {
	if other.Stated && (!t.Stated || other.StatedAt > t.StatedAt) {
		t.Stated, t.StatedAt, t.Value = true, other.StatedAt, other.Value
	}
	if other.Lifted && (!t.Lifted || other.LiftedAt > t.LiftedAt) {
		t.Lifted, t.LiftedAt = true, other.LiftedAt
	}
}

// observed returns the term that an answer shows, received now to a request that was sent at the
// time sent. stated says that the answer states the value.
//
// Answers may overtake each other: one that doesn't state the value lifts it only if its request
// was sent after the last answer that does was received.
func observed(now, sent time.Duration, value float64, stated bool) Term {
	if stated {
		return Term{Value: value, Stated: true, StatedAt: now}
	}
	return Term{Lifted: true, LiftedAt: sent}
}
