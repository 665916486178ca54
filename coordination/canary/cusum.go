package canary

import (
	"math"
	"time"
)

const (
	// evidenceThreshold is the log likelihood ratio at which a difference is believed.
	evidenceThreshold = 7.5
	// failureShift and moreSlow are the shares of answers, beyond the old version's, that are
	// taken for a bad version's. What lies under half of them is taken for chance.
	failureShift = 0.2
	slowShift    = 0.3
	// minBaselineShare stands in for a smaller share of the old version's, so that no single
	// answer decides.
	minBaselineShare = 0.04
	// usualSlowShare of the old version's answers take longer than usual, and slowBuckets beyond
	// that they are slow.
	usualSlowShare = 0.1
	slowBuckets    = 2
	// excessThreshold, in standard deviations, is the difference of all failures at which one is
	// believed, if there are at least fewestCompared answers of both, and fewestFailed of the
	// new one's failed. leastExcess stands in for a smaller share of failures.
	excessThreshold = 4.0
	minCompared     = 15
	minFailed       = 4
	minFailureShare = 0.01
	// baselineHalfLife is the time in which the old version's answers lose half of their weight:
	// what makes both versions fail for a while must not count against the new one.
	baselineHalfLife = 4 * time.Second
)

// Comparison tells from the answers of two versions whether the new one is bad.
type Comparison interface {
	// Add takes in the answers of a series that came since the last call.
	Add(s Series, old, fresh *Counts)
	// Decay lets older answers of the old version count less.
	Decay(now time.Duration)
	// Bad tells which series shows that the new version is bad, and how; false is none.
	Bad() (Series, Reason, bool)
}

// CUSUM compares the answers of two versions as they come, series by series. It keeps a
// cumulative sum of the log likelihood ratio of "bad" against "as the old version" that never
// falls below zero (CUSUM), so that a version that turns bad late is found as soon as one that
// is bad at once: what it did well before doesn't speak for it.
type CUSUM struct {
	series    map[Series]*evidence
	decayedAt time.Duration
}

type evidence struct {
	// answers of the old version, with older ones counting less.
	answers, failed float64
	times           [timeBuckets]float64
	// failing and slow are the sums.
	failing, slow float64
	// allOld and allNew are all answers, old ones at their full weight.
	allOld, allNew outcomes
}

// outcomes is a number of answers and of those that failed.
type outcomes struct{ answers, failed float64 }

func (t *outcomes) add(c *Counts) {
	t.answers += float64(c.Answers)
	t.failed += float64(c.Failed)
}

// NewCUSUM returns a judge that has seen nothing.
func NewCUSUM() *CUSUM { return &CUSUM{series: map[Series]*evidence{}} }

// Add implements Comparison.
func (j *CUSUM) Add(s Series, old, fresh *Counts) {
	e, ok := j.series[s]
	if !ok {
		e = &evidence{}
		j.series[s] = e
	}
	e.allOld.add(old)
	e.allNew.add(fresh)
	e.answers += float64(old.Answers)
	e.failed += float64(old.Failed)
	for i, n := range old.Times {
		e.times[i] += float64(n)
	}
	if fresh.Answers == 0 {
		return
	}
	e.failing = cusum(e.failing, e.failed/max(1, e.answers), failureShift, fresh.Failed, fresh.Answers)
	limit, share := e.slowLimit()
	slow := 0
	for _, n := range fresh.Times[limit:] {
		slow += n
	}
	e.slow = cusum(e.slow, share, slowShift, slow, fresh.Answers-fresh.Failed)
}

// slowLimit is the first bucket of slow answers, and the share of the old version's there.
func (e *evidence) slowLimit() (int, float64) {
	total := e.answers - e.failed
	if total < 1 {
		return timeBuckets, 0
	}
	above, i := 0.0, timeBuckets
	for i > 0 && above+e.times[i-1] <= usualSlowShare*total {
		i--
		above += e.times[i]
	}
	i = min(timeBuckets, i+slowBuckets)
	above = 0
	for _, n := range e.times[i:] {
		above += n
	}
	return i, above / total
}

// cusum adds the evidence of some answers, of which hits speak against the version. The order
// of those that come together isn't known; they are spread evenly.
func cusum(sum, share, shift float64, hits, answers int) float64 {
	share = min(max(share, minBaselineShare), 1-shift-minBaselineShare)
	against := math.Log((share + shift) / share)
	inFavour := math.Log((1 - share - shift) / (1 - share))
	for i := range answers {
		// Evenly: as many hits up to here as their part of all.
		if (i+1)*hits/answers > i*hits/answers {
			sum += against
		} else {
			sum = max(0, sum+inFavour)
		}
		if sum >= evidenceThreshold {
			return sum
		}
	}
	return sum
}

// Decay implements Comparison.
func (j *CUSUM) Decay(now time.Duration) {
	decay := math.Exp2(-float64(now-j.decayedAt) / float64(baselineHalfLife))
	j.decayedAt = now
	for _, e := range j.series {
		e.answers *= decay
		e.failed *= decay
		for i := range e.times {
			e.times[i] *= decay
		}
	}
}

// excess is by how many standard deviations more of the new version's answers failed, over
// all that there were: a small part that fails all the while never adds up in the sums.
func (e *evidence) excess() float64 {
	n, m := e.allNew.answers, e.allOld.answers
	if n < minCompared || m < minCompared || e.allNew.failed < minFailed {
		return 0
	}
	both := (e.allNew.failed + e.allOld.failed) / (n + m)
	both = min(max(both, minFailureShare), 1-minFailureShare)
	return (e.allNew.failed/n - e.allOld.failed/m) / math.Sqrt(both*(1-both)*(1/n+1/m))
}

// Bad implements Comparison.
func (j *CUSUM) Bad() (Series, Reason, bool) {
	for s, e := range j.series {
		switch {
		case e.failing >= evidenceThreshold || e.excess() >= excessThreshold:
			return s, MoreFailures, true
		case e.slow >= evidenceThreshold:
			return s, Slower, true
		}
	}
	return Series{}, "", false
}
