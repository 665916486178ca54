package admission

import "time"

// LimiterConfig holds the parameters by which the concurrency limit adapts.
type LimiterConfig struct {
	// Min is the lowest limit.
	Min float64
	// MaxReportedRatio is the highest limit as a multiple of the concurrency that
	// the runners report they can carry.
	MaxReportedRatio float64
	// Window is how long latencies are collected before the limit changes.
	Window time.Duration
	// CongestionThreshold is the fraction of a window's latencies that may
	// exceed their target. Above it the limit is decreased.
	CongestionThreshold float64
	// Decrease is the factor by which the limit is multiplied when it is
	// decreased.
	Decrease float64
	// Increase is the fraction of the limit that is added when it is increased.
	Increase float64
}

// DefaultLimiter returns the parameters used in production;
// docs/design/limits.md gives the reasons for them.
func DefaultLimiter() LimiterConfig {
	return LimiterConfig{
		Min:                 1,
		MaxReportedRatio:    1,
		Window:              500 * time.Millisecond,
		CongestionThreshold: 0.05,
		Decrease:            0.9,
		Increase:            0.04,
	}
}

// Limiter adapts the number of concurrent requests to the capacity of the
// runners. It increases the limit while the limit is reached and latencies
// meet their targets, and decreases the limit by a factor when they don't.
type Limiter struct {
	cfg                 LimiterConfig
	limit               float64
	reportedConcurrency float64
	samples             int
	overTarget          int
	reached             bool
	windowEnd           time.Time
}

// NewLimiter returns a limiter whose limit is the minimum.
func NewLimiter(cfg LimiterConfig) *Limiter { return &Limiter{cfg: cfg, limit: cfg.Min} }

// Limit returns the number of requests that may be in progress at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetReportedConcurrency sets the number of concurrent requests that the known runners report
// they can carry. A changed number scales the limit in proportion, so that the
// loss of a failure domain lowers the limit before latencies rise.
func (l *Limiter) SetReportedConcurrency(reported float64) {
	switch {
	case reported <= 0:
		return
	case l.reportedConcurrency == 0:
		l.limit = reported * l.cfg.MaxReportedRatio
	default:
		l.limit *= reported / l.reportedConcurrency
	}
	l.reportedConcurrency = reported
	l.clamp()
}

// Sample records a latency as a multiple of its target.
func (l *Limiter) Sample(now time.Time, ratio float64) {
	l.samples++
	if ratio > 1 {
		l.overTarget++
	}
	l.adjustAtWindowEnd(now)
}

// MarkReached records that work had to wait because the limit was reached.
func (l *Limiter) MarkReached(now time.Time) {
	l.reached = true
	l.adjustAtWindowEnd(now)
}

// adjustAtWindowEnd changes the limit by the latencies of the window once the
// window has ended, and starts the next window.
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

func (l *Limiter) clamp() {
	l.limit = max(min(l.limit, l.reportedConcurrency*l.cfg.MaxReportedRatio), l.cfg.Min)
}
