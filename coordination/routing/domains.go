package routing

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// healthyIn returns the slots of the live runners in a failure domain that are not ejected.
func (t *Table) healthyIn(domain ident.FailureDomain) prefix.Set {
	healthy := t.live.Minus(t.ejected)
	for i := range healthy.All() {
		if t.slots[i].runner.FailureDomain != domain {
			healthy = healthy.Without(i)
		}
	}
	return healthy
}

// within returns a copy of the request for which only the healthy runners of a failure domain are
// candidates. It returns false if there are none.
func (t *Table) within(domain ident.FailureDomain, r *Request) (Request, bool) {
	q := *r
	healthy := t.healthyIn(domain)
	q.Exclude = q.Exclude.Or(healthy.Not())
	return q, !healthy.Minus(r.Exclude).Empty()
}

// PickIn is Pick among the healthy runners of one failure domain. It returns false if none of them
// can take the request.
func (t *Table) PickIn(now time.Time, domain ident.FailureDomain, r *Request) (Choice, bool) {
	q, ok := t.within(domain, r)
	if !ok {
		return Choice{}, false
	}
	c, err := t.Pick(now, &q)
	return c, err == nil
}

// CandidatesIn is Candidates among the healthy runners of one failure domain.
func (t *Table) CandidatesIn(domain ident.FailureDomain, r *Request, n int) ([]Candidate, error) {
	q, ok := t.within(domain, r)
	if !ok {
		return nil, errNoneLive
	}
	return t.Candidates(&q, n)
}
