package canary_test

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
)

// fixedSteps is an alternative Comparison that the tests measure against CUSUM. It judges
// each batch of batchSize answers of the new version per series on its own by thresholds.
type fixedSteps struct {
	batchSize int
	series    map[canary.Series]*seriesBatch
}

type seriesBatch struct {
	old, fresh canary.Counts
	reason     canary.Reason
}

// A batch shows the new version to be bad if its failure rate is more than failureRateThreshold above
// the old version's, or if more than the fraction slowFractionThreshold of its answers are slow.
const (
	failureRateThreshold  = 0.15
	slowFractionThreshold = 0.25
)

func newSteps(size int) *fixedSteps { return &fixedSteps{size, map[canary.Series]*seriesBatch{}} }

func addCounts(to, c *canary.Counts) {
	to.Answers += c.Answers
	to.Failed += c.Failed
	for i, n := range c.Times {
		to.Times[i] += n
	}
}

func (j *fixedSteps) Add(s canary.Series, old, fresh *canary.Counts) {
	e, ok := j.series[s]
	if !ok {
		e = &seriesBatch{}
		j.series[s] = e
	}
	addCounts(&e.old, old)
	addCounts(&e.fresh, fresh)
	if e.fresh.Answers < j.batchSize || e.reason != "" {
		return
	}
	if failureRate(&e.fresh) > failureRate(&e.old)+failureRateThreshold {
		e.reason = canary.MoreFailures
	} else if slowFraction(&e.fresh, &e.old) > slowFractionThreshold {
		e.reason = canary.Slower
	}
	e.fresh = canary.Counts{}
}

func failureRate(c *canary.Counts) float64 { return float64(c.Failed) / float64(max(1, c.Answers)) }

// slowFraction returns the fraction of a version's answers that take more than twice as long as
// the 90th percentile of the old version.
func slowFraction(c, old *canary.Counts) float64 {
	limit, above := len(old.Times), 0
	for limit > 0 && (above+old.Times[limit-1])*10 <= old.Answers {
		limit--
		above += old.Times[limit]
	}
	slow := 0
	for _, n := range c.Times[min(len(c.Times), limit+4):] {
		slow += n
	}
	return float64(slow) / float64(max(1, c.Answers-c.Failed))
}

func (j *fixedSteps) Decay(time.Duration) {}

func (j *fixedSteps) Bad() (canary.Series, canary.Reason, bool) {
	for s, e := range j.series {
		if e.reason != "" {
			return s, e.reason, true
		}
	}
	return canary.Series{}, "", false
}
