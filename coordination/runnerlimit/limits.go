// Package runnerlimit keeps the daemons together within the request rates that runners state.
//
// A runner in need states in its answers how many requests per second it accepts from all
// daemons together, for as long as it says so. Known remembers which runners do. It does no I/O
// and reads no clock: times are offsets of a monotonic clock that keeps running while the VM is
// suspended. Its types are not safe for concurrent use.
package runnerlimit

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// limit is what is known about one runner's limit.
type limit struct {
	perSecond float64
	// statedAt is when the newest answer that states the limit was received.
	statedAt time.Duration
}

// Known holds the limits that runners state.
type Known struct {
	limits map[ident.RunnerID]*limit
}

// NewKnown returns a Known without limits.
func NewKnown() *Known { return &Known{limits: map[ident.RunnerID]*limit{}} }

// Observe records a runner's answer, received now, to a request that was sent at the time sent.
// perSecond is zero if the answer states no limit. Observe reports whether the known limit
// changed.
//
// Answers may overtake each other. An answer without a limit lifts the limit only if its request
// was sent after the last answer that states one was received.
func (k *Known) Observe(now, sent time.Duration, runner ident.RunnerID, perSecond float64) bool {
	l, limited := k.limits[runner]
	switch {
	case perSecond > 0 && !limited:
		k.limits[runner] = &limit{perSecond: perSecond, statedAt: now}
		return true
	case perSecond > 0:
		changed := l.perSecond != perSecond
		l.perSecond, l.statedAt = perSecond, now
		return changed
	case limited && sent > l.statedAt:
		delete(k.limits, runner)
		return true
	}
	return false
}

// PerSecond returns the requests per second that a runner accepts; zero if it states no limit.
func (k *Known) PerSecond(runner ident.RunnerID) float64 {
	if l, limited := k.limits[runner]; limited {
		return l.perSecond
	}
	return 0
}
