package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/protocol/retry"
)

// requestCounts says what a request has been counted for already. A request counts once, however many runners are chosen
// for it, refuse a connection or are denied to it, and however many daemons are asked to serve it.
type requestCounts struct {
	// offered says that its tokens count for the demand, dispatched that it counts as one of the requests that allow
	// retries and of a version trial: here or at the daemon that has delegated it.
	offered, dispatched bool
	// placed says that a version trial has placed it as a new request, and sent that it counts for the share of requests
	// that are answered, both of this daemon alone.
	placed, sent bool
}

// pickOffered chooses a runner by the routing request, and counts the tokens that the request brings.
func (s *requestHandler) pickOffered(now time.Time) (routing.Choice, error) {
	c, err := s.pool.pick(now, &s.routingRequest, s.recommended)
	if err == nil && !s.counts.offered {
		s.counts.offered = true
		s.pool.recordOffered(c.Uncached)
	}
	return c, err
}

// countDispatch counts a request that is being dispatched, and reports whether it does so for the first time.
func (s *requestHandler) countDispatch(now time.Time) bool {
	if s.counts.dispatched {
		return false
	}
	s.counts.dispatched = true
	s.pool.withRetryPolicy(func(p *retry.Policy) { p.CountRequest(now) })
	s.edge.log.Count("retry.paid_in")
	s.countTrialDispatch()
	return true
}
