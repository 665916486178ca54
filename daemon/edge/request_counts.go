package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/retry"
)

// lateRetry is how long after its charge to the budget a retry is logged that reaches its runner only then.
const lateRetry = time.Second

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

// The retry budget is charged for an attempt when it is decided on, and each charge is used by one arrival at a runner. A
// charge whose attempt reaches none is left to the request's next one, and given back when there is none.

// chargeRetry records that the budget was charged for the request's next attempt.
func (s *requestHandler) chargeRetry() {
	s.retryCharged, s.retryChargedAt = true, time.Now()
	s.edge.log.Count("retry.charged")
}

// useRetry makes the attempt the one that the retry budget was charged for, if it was charged for one.
func (a *attempt) useRetry() {
	s := a.s
	if s.retryCharged {
		age := time.Since(s.retryChargedAt)
		s.edge.log.Time("retry.charge_age", age)
		if age >= lateRetry {
			s.note("retry_late", decisions.F("runner", a.runner()), decisions.F("helper", a.helper), decisions.F("charged_before", age))
		}
	}
	a.isRetry, s.retryCharged = s.retryCharged, false
}

// returnRetry leaves what the attempt was charged for to the request's next one, since it has not reached a runner.
func (a *attempt) returnRetry() {
	a.s.retryCharged = a.s.retryCharged || a.isRetry
	a.isRetry = false
}

// refundRetry returns what the budget was charged for a retry that has not reached a runner.
func (s *requestHandler) refundRetry() {
	if !s.retryCharged {
		return
	}
	s.retryCharged = false
	s.pool.withRetryPolicy(func(p *retry.Policy) { p.Refund() })
	s.edge.log.Count("retry.refunded")
	s.note("retry_refunded", decisions.F("attempts", s.exchange.Sent()))
}
