package kvserver

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"geraniumstack.org/geraniumstack/transport/kv"
)

// Limits are the rate limits of the service in calls per second; zero means
// no limit. Calls above the limit wait.
type Limits struct {
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
}

// Peak is the highest number of calls within one second.
type Peak struct {
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
}

// callMeter counts the calls of the current second.
type callMeter struct {
	second int64
	now    Peak
	peak   Peak
}

func (m *callMeter) count(kind CallKind, now time.Time) {
	if second := now.Unix(); second != m.second {
		m.second, m.now = second, Peak{}
	}
	if kind.isWrite() {
		m.now.Writes++
	} else {
		m.now.Reads++
	}
	m.peak.Writes = max(m.peak.Writes, m.now.Writes)
	m.peak.Reads = max(m.peak.Reads, m.now.Reads)
}

// isWrite reports whether the call changes the store.
func (k CallKind) isWrite() bool {
	switch k {
	case CallGet, CallList, CallWatch:
		return false
	default:
		return true
	}
}

// SetLimits replaces the limits. The calls of a tenth of a second can be made
// at once as a burst.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimiter, s.readLimiter = limiter(l.WritesPerSecond), limiter(l.ReadsPerSecond)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Peak returns the highest number of calls within one second of the clock.
func (s *Store) Peak() Peak {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callMeter.peak
}

// waitForLimit blocks until the limiter admits the call.
func (s *Store) waitForLimit(ctx context.Context, l *rate.Limiter) error {
	if l == nil {
		return nil
	}
	if err := l.Wait(ctx); err != nil {
		return &kv.UnavailableError{Err: err}
	}
	return s.checkOutage()
}
