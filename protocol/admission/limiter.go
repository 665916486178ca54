package admission

import "time"

// LimiterConfig sets how the concurrency limit adapts.
type LimiterConfig struct {
	Min float64
	// MaxHintRatio is the most of what the runners say they can carry.
	MaxHintRatio float64
	// Window is how long latencies are gathered before the limit changes.
	Window time.Duration
	// CongestionThreshold is the share of a window's latencies over their target above
	// which the limit falls.
	CongestionThreshold float64
	// Decrease multiplies the limit, Increase is the share of it that is added.
	Decrease float64
	Increase float64
}

// DefaultLimiter is the policy in use; docs/design/limits.md gives the reasons.
func DefaultLimiter() LimiterConfig {
	return LimiterConfig{
		Min:                 1,
		MaxHintRatio:        1,
		Window:              500 * time.Millisecond,
		CongestionThreshold: 0.05,
		Decrease:            0.9,
		Increase:            0.04,
	}
}

// Limiter adapts the number of requests in progress to what the runners carry:
// additive increase while the limit is reached and latencies keep their
// targets, multiplicative decrease when they don't.
type Limiter struct {
	cfg        LimiterConfig
	limit      float64
	hint       float64
	samples    int
	overTarget int
	reached    bool
	windowEnd  time.Time
}

// NewLimiter returns a limiter at the minimum.
func NewLimiter(cfg LimiterConfig) *Limiter { return &Limiter{cfg: cfg, limit: cfg.Min} }

// Limit is the number of requests that may be in progress.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetHint tells how many requests the runners in the table can carry by their
// own reports. A change moves the limit in proportion, so that the loss of a
// failure domain lowers it before latencies tell.
func (l *Limiter) SetHint(requests float64) {
	switch {
	case requests <= 0:
		return
	case l.hint == 0:
		l.limit = requests * l.cfg.MaxHintRatio
	default:
		l.limit *= requests / l.hint
	}
	l.hint = requests
	l.clamp()
}

// Sample takes in a latency as a multiple of its target.
func (l *Limiter) Sample(now time.Time, ratio float64) {
	l.samples++
	if ratio > 1 {
		l.overTarget++
	}
	l.adjustAtWindowEnd(now)
}

// MarkReached notes that work waited for the limit.
func (l *Limiter) MarkReached(now time.Time) {
	l.reached = true
	l.adjustAtWindowEnd(now)
}

func (l *Limiter) adjustAtWindowEnd(now time.Time) {
	if now.Before(l.windowEnd) {
		return
	}
	switch {
	case float64(l.overTarget) > l.cfg.CongestionThreshold*float64(l.samples):
		l.limit *= l.cfg.Decrease
	case l.reached && l.samples > 0:
		l.limit += max(1, l.cfg.Increase*l.limit)
	}
	l.clamp()
	l.samples, l.overTarget, l.reached = 0, 0, false
	l.windowEnd = now.Add(l.cfg.Window)
}

func (l *Limiter) clamp() { l.limit = max(min(l.limit, l.hint*l.cfg.MaxHintRatio), l.cfg.Min) }
