package admission

import (
	"math"
	"time"
)

// Half-lives of what is measured: rates of a class, and the use that decides
// whether a workspace is over its share.
const (
	rateHalfLife = time.Second
	useHalfLife  = 10 * time.Second
)

// decayingRate measures a rate with exponential forgetting.
type decayingRate struct {
	halfLife time.Duration
	sum      float64
	at       time.Time
}

func (m *decayingRate) decay(now time.Time) {
	if now.After(m.at) {
		m.sum *= math.Exp2(-now.Sub(m.at).Seconds() / m.halfLife.Seconds())
		m.at = now
	}
}

func (m *decayingRate) add(now time.Time, cost float64) {
	m.decay(now)
	m.sum += cost
}

func (m *decayingRate) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.sum * math.Ln2 / m.halfLife.Seconds()
}

// bucket is a token bucket that may be overdrawn by the last taker.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) spend(cost float64) { b.tokens -= cost }

// timeUntilTokens refills the bucket and returns how long until it has tokens again.
func (b *bucket) timeUntilTokens(now time.Time, perSecond float64, burst time.Duration) time.Duration {
	if perSecond <= 0 {
		b.tokens, b.at = 0, now
		return 0
	}
	most := perSecond * burst.Seconds()
	if b.at.IsZero() {
		b.tokens = most
	} else if now.After(b.at) {
		b.tokens = min(most, b.tokens+perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens > 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// throughputWindow is how long finished cost is gathered for one measurement.
const throughputWindow = 500 * time.Millisecond

// throughputGain is the weight of the latest measurement.
const throughputGain = 0.3

// throughput measures the cost per second that runners finish while work waits.
type throughput struct {
	perSecond     float64
	hintPerSecond float64
	finishedCount int
	finishedCost  float64
	windowCost    float64
	windowStart   time.Time
	saturated     bool
}

// setHint sets the rate, or moves a measured one in proportion.
func (r *throughput) setHint(perSecond float64) {
	switch {
	case perSecond <= 0:
		return
	case r.hintPerSecond == 0:
		r.perSecond = perSecond
	default:
		r.perSecond *= perSecond / r.hintPerSecond
	}
	r.hintPerSecond = perSecond
}

func (r *throughput) finish(now time.Time, cost float64, workWaits bool) {
	r.finishedCount++
	r.finishedCost += cost
	if r.windowStart.IsZero() || !workWaits && r.saturated {
		r.startWindow(now, workWaits)
		return
	}
	r.saturated = workWaits
	r.windowCost += cost
	passed := now.Sub(r.windowStart)
	if passed < throughputWindow {
		return
	}
	if measured := r.windowCost / passed.Seconds(); workWaits {
		r.perSecond += throughputGain * (measured - r.perSecond)
	}
	r.startWindow(now, workWaits)
}

func (r *throughput) startWindow(now time.Time, saturated bool) {
	r.windowStart, r.windowCost, r.saturated = now, 0, saturated
}
