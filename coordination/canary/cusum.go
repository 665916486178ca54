package canary

import (
	"math"
	"time"
)

const (
	// evidenceThreshold is the value of a cumulative sum of log likelihood ratios from which on
	// the new version counts as bad.
	evidenceThreshold = 7.5
	// A bad version is defined as one whose fraction of failed answers is higher by
	// failureRateIncrease than the old version's, or whose fraction of slow answers is higher by
	// slowRateIncrease. An increase of less than about half of that adds nothing to the sums in
	// the long run.
	failureRateIncrease = 0.2
	slowRateIncrease    = 0.3
	// minBaselineRate replaces a smaller fraction of failed or of slow answers of the old version.
	// Without it, a single failed answer could decide against the new version if the old one
	// has none.
	minBaselineRate = 0.04
	// An answer counts as slow if its duration lies slowLimitMarginBuckets histogram buckets or
	// more above the bucket limit that at most the fraction usualSlowFraction of the old
	// version's answers exceeds.
	usualSlowFraction      = 0.1
	slowLimitMarginBuckets = 2
	// The new version also counts as bad if its failure rate since the order began exceeds the
	// old version's by excessThreshold standard deviations or more. That is checked only once
	// both versions have at least minCompared answers and the new one at least minFailed
	// failures. For the standard deviation, minFailureRate replaces a smaller failure rate of
	// both versions together.
	excessThreshold = 4.0
	minCompared     = 15
	minFailed       = 4
	minFailureRate  = 0.01
	// baselineHalfLife is the time in which the old version's answers lose half of their
	// weight in the baseline that the cumulative sums use, so that a fault that makes both
	// versions fail for a while does not count against the new one.
	baselineHalfLife = 4 * time.Second
)

// Comparison decides from the answers of two versions whether the new one is bad.
type Comparison interface {
	// Add adds the answers of a series since the last call.
	Add(s Series, old, fresh *Counts)
	// Decay reduces the weight of earlier answers of the old version.
	Decay(now time.Duration)
	// Bad returns the series and the reason that show the new version to be bad; false if
	// there is none.
	Bad() (Series, Reason, bool)
}

// CUSUM compares the answers of two versions as they arrive, separately for each Series (one
// kind of duration on one route). For failed and for slow answers it keeps a cumulative sum of
// the log likelihood ratio of "the new version is bad" to "it is like the old version".
// The sum never falls below zero, so a version that turns bad late is found as quickly as one
// that is bad from the start: its earlier good answers don't count in its favour.
type CUSUM struct {
	series    map[Series]*evidence
	decayedAt time.Duration
}

// evidence holds the counts and the cumulative sums of one series.
type evidence struct {
	// oldAnswers and oldFailed count the old version's answers and the failed ones among them.
	// oldDurations is the histogram of the durations of the others. All three decay with
	// baselineHalfLife.
	oldAnswers, oldFailed float64
	oldDurations          [durationBuckets]float64
	// failing and slow are the cumulative sums of log likelihood ratios for failed and
	// for slow answers of the new version.
	failing, slow float64
	// allOld and allNew count all answers since the order began, without decay.
	allOld, allNew outcomes
}

// outcomes counts answers and how many of them failed.
type outcomes struct{ answers, failed float64 }

func (t *outcomes) add(c *Counts) {
	t.answers += float64(c.Answers)
	t.failed += float64(c.Failed)
}

// NewCUSUM returns a comparison without any answers.
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
	e.oldAnswers += float64(old.Answers)
	e.oldFailed += float64(old.Failed)
	for i, n := range old.Times {
		e.oldDurations[i] += float64(n)
	}
	if fresh.Answers == 0 {
		return
	}
	e.failing = cusum(e.failing, e.oldFailed/max(1, e.oldAnswers), failureRateIncrease, fresh.Failed, fresh.Answers)
	limit, slowRate := e.slowLimit()
	slow := 0
	for _, n := range fresh.Times[limit:] {
		slow += n
	}
	e.slow = cusum(e.slow, slowRate, slowRateIncrease, slow, fresh.Answers-fresh.Failed)
}

// slowLimit returns the first histogram bucket of slow answers and the fraction of the old
// version's complete answers in that bucket and above.
func (e *evidence) slowLimit() (int, float64) {
	total := e.oldAnswers - e.oldFailed
	if total < 1 {
		return durationBuckets, 0
	}
	above, i := 0.0, durationBuckets
	for i > 0 && above+e.oldDurations[i-1] <= usualSlowFraction*total {
		i--
		above += e.oldDurations[i]
	}
	i = min(durationBuckets, i+slowLimitMarginBuckets)
	above = 0
	for _, n := range e.oldDurations[i:] {
		above += n
	}
	return i, above / total
}

// cusum adds a batch of the new version's answers to a cumulative sum and returns the result. hits
// is the number of failed or slow ones among them, baselineRate the old version's fraction of such
// answers. The order of answers within a batch is unknown, so the hits are spread evenly.
func cusum(sum, baselineRate, rateIncrease float64, hits, answers int) float64 {
	baselineRate = min(max(baselineRate, minBaselineRate), 1-rateIncrease-minBaselineRate)
	against := math.Log((baselineRate + rateIncrease) / baselineRate)
	inFavour := math.Log((1 - baselineRate - rateIncrease) / (1 - baselineRate))
	for i := range answers {
		// Counts a hit whenever the proportional number of hits reaches the next integer.
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
		e.oldAnswers *= decay
		e.oldFailed *= decay
		for i := range e.oldDurations {
			e.oldDurations[i] *= decay
		}
	}
}

// excess returns by how many standard deviations the new version's failure rate since the order
// began exceeds the old version's. It detects a small constant increase, which is too small to
// make the cumulative sums grow.
func (e *evidence) excess() float64 {
	n, m := e.allNew.answers, e.allOld.answers
	if n < minCompared || m < minCompared || e.allNew.failed < minFailed {
		return 0
	}
	pooled := (e.allNew.failed + e.allOld.failed) / (n + m)
	pooled = min(max(pooled, minFailureRate), 1-minFailureRate)
	return (e.allNew.failed/n - e.allOld.failed/m) / math.Sqrt(pooled*(1-pooled)*(1/n+1/m))
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
