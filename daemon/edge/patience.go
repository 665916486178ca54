package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

// This file says how long a request may wait for the beginning of its answer.

// maxFirstTokenWait is how long the first token may take from now for the request to be worth
// sending. Callers abandon a stream that stays silent for longer than abandonAfter, and nobody
// waits past the deadline.
func (s *requestHandler) maxFirstTokenWait(now time.Time) time.Duration {
	left := s.deadline.Sub(now)
	if s.route.Kind != route.Stream || s.streamBegun() {
		return left
	}
	return min(left, abandonAfter(s.route)-now.Sub(s.req.Received))
}

// streamBegun reports whether the caller has a part of the answer, maybe from the daemon that has delegated the
// request: that names a version only of a stream that has begun.
func (s *requestHandler) streamBegun() bool {
	return s.exchange.AnswerBegun || s.delegated && s.bound.known
}

// Callers abandon a silent stream after the longest of minFirstTokenWait, targetLatencyFactor
// times the route's target latency, and maxPauseFactor times its longest allowed pause.
const (
	minFirstTokenWait   = 2 * time.Second
	targetLatencyFactor = 4
	maxPauseFactor      = 8
)

func abandonAfter(r *route.Route) time.Duration {
	return max(minFirstTokenWait, targetLatencyFactor*r.TargetLatency, maxPauseFactor*r.MaxPause)
}

// refuseTooLate refuses a request that would wait too long. The retry time is how long the
// queue will take to become short enough, or the time of the request's place.
func (s *requestHandler) refuseTooLate(late time.Duration, c routing.Choice) *refusal.Refusal {
	return refusal.New(refusal.DeadlineUnreachable, "first token expected in %v", c.Estimate).After(s.returnAfter(late))
}
