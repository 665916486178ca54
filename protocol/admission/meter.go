package admission

import (
	"math"
	"time"
)

// Half-lives of the exponentially decaying rates: rateHalfLife for the rates
// of a class, and useHalfLife for the recent use that decides whether a
// workspace is over its share.
const (
	rateHalfLife = time.Second
	useHalfLife  = 10 * time.Second
)

// decayingRate measures a rate as an exponentially decaying sum. at is the time
// of the last update.
type decayingRate struct {
	halfLife   time.Duration
	decayedSum float64
	at         time.Time
}

// decay reduces the sum by the time that has passed since the last update.
func (m *decayingRate) decay(now time.Time) {
	if now.After(m.at) {
		m.decayedSum *= math.Exp2(-now.Sub(m.at).Seconds() / m.halfLife.Seconds())
		m.at = now
	}
}

func (m *decayingRate) add(now time.Time, cost float64) {
	m.decay(now)
	m.decayedSum += cost
}

func (m *decayingRate) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.decayedSum * math.Ln2 / m.halfLife.Seconds()
}

// tokenBucket limits a rate of tokens. Its balance may become negative, since an
// item is admitted as soon as the balance is positive.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

func (b *tokenBucket) spend(cost float64) { b.tokens -= cost }

// timeUntilTokens adds the tokens earned since the last call, up to perSecond
// times burst. It returns how long it takes until the bucket has one token, or
// zero if its balance is positive now.
func (b *tokenBucket) timeUntilTokens(now time.Time, perSecond float64, burst time.Duration) time.Duration {
	if perSecond <= 0 {
		b.tokens, b.at = 0, now
		return 0
	}
	capacity := perSecond * burst.Seconds()
	if b.at.IsZero() {
		b.tokens = capacity
	} else if now.After(b.at) {
		b.tokens = min(capacity, b.tokens+perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens > 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// throughputWindow is the length of one throughput measurement.
const throughputWindow = 500 * time.Millisecond

// throughputGain is the weight of the latest measurement in the moving
// average.
const throughputGain = 0.3

// throughput measures the cost per second that the runners complete at full
// load. A window counts only if work is queued when it ends; a window in which
// the queue becomes empty is discarded.
type throughput struct {
	perSecond         float64
	reportedPerSecond float64
	finishedCount     int
	finishedCost      float64
	windowCost        float64
	windowStart       time.Time
	saturated         bool
}

// setReportedRate sets the throughput that the runners report, as cost per
// second. The first report becomes the estimate. Later reports scale the
// measured estimate in proportion, so that the estimate follows a change in the
// number of runners at once.
func (r *throughput) setReportedRate(perSecond float64) {
	switch {
	case perSecond <= 0:
		return
	case r.reportedPerSecond == 0:
		r.perSecond = perSecond
	default:
		r.perSecond *= perSecond / r.reportedPerSecond
	}
	r.reportedPerSecond = perSecond
}

// finish records the cost of a finished request. workQueued states whether
// requests are queued.
func (r *throughput) finish(now time.Time, cost float64, workQueued bool) {
	r.finishedCount++
	r.finishedCost += cost
	if r.windowStart.IsZero() || !workQueued && r.saturated {
		r.startWindow(now, workQueued)
		return
	}
	r.saturated = workQueued
	r.windowCost += cost
	passed := now.Sub(r.windowStart)
	if passed < throughputWindow {
		return
	}
	if measured := r.windowCost / passed.Seconds(); workQueued {
		r.perSecond += throughputGain * (measured - r.perSecond)
	}
	r.startWindow(now, workQueued)
}

func (r *throughput) startWindow(now time.Time, saturated bool) {
	r.windowStart, r.windowCost, r.saturated = now, 0, saturated
}
