package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// Candidate is a runner that a request may be sent to.
type Candidate struct {
	Runner ident.RunnerID
	// IdleEstimate is the time to first token to expect if the runner had no other requests, with the
	// costs of its pause risk for the request and of the chance that it doesn't serve it.
	IdleEstimate time.Duration
	// Uncached is the number of prompt tokens that the runner would have to compute.
	Uncached int
}

// Candidates returns the n best runners for a request, best first, so that a caller with
// more recent load information can choose among them. Errors are *NoRunnerError.
func (t *Table) Candidates(r *Request, n int) ([]Candidate, error) {
	eligible, err := t.eligible(r)
	if err != nil {
		return nil, err
	}
	t.matchPrefix(r)
	t.homeSlot = t.home(r, eligible)
	var estimates [MaxRunners]float64
	var slots []int
	for i := range t.withinLoadBound(t.sample(eligible)).All() {
		estimates[i] = t.estimate(i, r)
		slots = append(slots, i)
	}
	slices.SortFunc(slots, func(a, b int) int { return cmp.Compare(estimates[a], estimates[b]) })
	list := make([]Candidate, 0, n)
	for _, i := range slots[:min(n, len(slots))] {
		list = append(list, Candidate{
			Runner:       t.slots[i].runner.ID,
			IdleEstimate: secondsToDuration(t.scores[i].remotePenalty + float64(t.uncached(i, r))*t.scores[i].prefillSecondsPerToken + t.scores[i].failureCost + r.PauseWeight*t.scores[i].pauseRisk),
			Uncached:     max(1, r.PromptTokens-t.cachedTokens(i, r)),
		})
	}
	return list, nil
}

// QueueWait returns the expected time until a runner starts the prefill of a prompt that
// is sent to it now. tokens is the number of prompt tokens queued at the runner that the
// table does not know of. It returns false if the runner accepts no new requests.
func (t *Table) QueueWait(id ident.RunnerID, tokens int) (time.Duration, bool) {
	i, ok := t.byID[id]
	if !ok || !t.live.Minus(t.ejected).Has(i) {
		return 0, false
	}
	s := &t.scores[i]
	return secondsToDuration(s.batchWait + (s.queuedTokens+float64(tokens))*s.prefillSecondsPerToken), true
}

// unlikelyToServe is the chance of a failure from which on a runner isn't taken on another gateway's recommendation.
const unlikelyToServe = 0.5

// maxEstimate caps estimates so that their conversion from seconds to a Duration can't
// overflow.
const maxEstimate = time.Hour

func secondsToDuration(s float64) time.Duration {
	return time.Duration(math.Min(s, maxEstimate.Seconds()) * float64(time.Second))
}

// PickCandidate returns the Choice for a runner that the caller selected among the
// candidates. It returns false if the runner is no longer in the table, is excluded or is likely not to
// serve the request.
func (t *Table) PickCandidate(id ident.RunnerID, r *Request) (Choice, bool) {
	i, ok := t.byID[id]
	if !ok || r.Exclude.Has(i) || !t.live.Has(i) || t.slots[i].failureChance >= unlikelyToServe {
		return Choice{}, false
	}
	t.matchPrefix(r)
	t.homeSlot = t.home(r, prefix.Set{}.With(i))
	return t.choice(i, r), true
}
