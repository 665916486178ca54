package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// Candidate is a runner that a request may go to.
type Candidate struct {
	Runner ident.RunnerID
	// IdleEstimate is the expected time to first token there if it had nothing else to do.
	IdleEstimate time.Duration
	// Uncached is the prompt tokens that are to be computed.
	Uncached int
}

// Candidates returns the n best runners for a request, the best first, so that somebody
// who knows their load better may choose among them. Errors are *NoRunnerError.
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
			IdleEstimate: secondsToDuration(t.scores[i].remotePenalty + float64(t.uncached(i, r))*t.scores[i].perToken),
			Uncached:     max(1, r.PromptTokens-t.cachedTokens(i, r)),
		})
	}
	return list, nil
}

// QueueWait is the expected time until a runner begins to read a prompt that is sent to it
// now, if so many tokens are to be read there beside those that are known; false if it
// takes no new work.
func (t *Table) QueueWait(id ident.RunnerID, tokens int) (time.Duration, bool) {
	i, ok := t.byID[id]
	if !ok || !t.live.Less(t.ejected).Has(i) {
		return 0, false
	}
	s := &t.scores[i]
	return secondsToDuration(s.batchWait + (s.queuedTokens+float64(tokens))*s.perToken), true
}

// maxEstimate bounds a time that is told in seconds.
const maxEstimate = time.Hour

func secondsToDuration(s float64) time.Duration {
	return time.Duration(math.Min(s, maxEstimate.Seconds()) * float64(time.Second))
}

// PickCandidate returns the choice of a runner that was chosen among the candidates; false if
// it is not in the table any more or excluded.
func (t *Table) PickCandidate(id ident.RunnerID, r *Request) (Choice, bool) {
	i, ok := t.byID[id]
	if !ok || r.Exclude.Has(i) || !t.live.Has(i) {
		return Choice{}, false
	}
	t.matchPrefix(r)
	t.homeSlot = t.home(r, prefix.Set{}.With(i))
	return t.choice(i, r), true
}
