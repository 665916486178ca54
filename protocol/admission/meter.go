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

// meter measures a rate with exponential forgetting.
type meter struct {
	halfLife time.Duration
	sum      float64
	at       time.Time
}

func (m *meter) age(now time.Time) {
	if now.After(m.at) {
		m.sum *= math.Exp2(-now.Sub(m.at).Seconds() / m.halfLife.Seconds())
		m.at = now
	}
}

func (m *meter) add(now time.Time, cost float64) {
	m.age(now)
	m.sum += cost
}

func (m *meter) perSecond(now time.Time) float64 {
	m.age(now)
	return m.sum * math.Ln2 / m.halfLife.Seconds()
}

// bucket is a token bucket that may be overdrawn by the last taker.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(cost float64) { b.tokens -= cost }

// empty refills the bucket and returns how long until it has tokens again.
func (b *bucket) empty(now time.Time, perSecond float64, burst time.Duration) time.Duration {
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

// rateWindow is how long finished cost is gathered for one measurement.
const rateWindow = 500 * time.Millisecond

// rateGain is the weight of the latest measurement.
const rateGain = 0.3

// rate measures the cost per second that runners finish while work waits.
type rate struct {
	perSecond float64
	hinted    float64
	finished  int
	total     float64
	window    float64
	began     time.Time
	saturated bool
}

// hint sets the rate, or moves a measured one in proportion.
func (r *rate) hint(perSecond float64) {
	switch {
	case perSecond <= 0:
		return
	case r.hinted == 0:
		r.perSecond = perSecond
	default:
		r.perSecond *= perSecond / r.hinted
	}
	r.hinted = perSecond
}

func (r *rate) finish(now time.Time, cost float64, waits bool) {
	r.finished++
	r.total += cost
	if r.began.IsZero() || !waits && r.saturated {
		r.restart(now, waits)
		return
	}
	r.saturated = waits
	r.window += cost
	passed := now.Sub(r.began)
	if passed < rateWindow {
		return
	}
	if measured := r.window / passed.Seconds(); waits {
		r.perSecond += rateGain * (measured - r.perSecond)
	}
	r.restart(now, waits)
}

func (r *rate) restart(now time.Time, saturated bool) {
	r.began, r.window, r.saturated = now, 0, saturated
}
