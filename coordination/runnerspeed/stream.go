package runnerspeed

import (
	"slices"
	"time"
)

const (
	// An observation is the observedRank-th smallest of a stream's first observedIntervals. Neither a slow
	// period nor a prompt that the runner reads meanwhile affects so low a quantile, and the two smallest
	// intervals may be those of events that arrived together late.
	observedIntervals = 10
	observedRank      = 3
)

// Stream measures the times between the events of one stream. The zero value is a stream without events.
type Stream struct {
	begun bool
	// lastAt is the time of the last events. waitingSince is when the wait for the next ones began, which
	// is later if the caller took them slowly.
	lastAt, waitingSince time.Duration
	intervals            []time.Duration
	longestPause         time.Duration
}

// Arrived records that n events have arrived together. With the last of the stream's first intervals it
// returns the observation; false without one.
func (s *Stream) Arrived(now time.Duration, n int) (time.Duration, bool) {
	if n <= 0 {
		return 0, false
	}
	since, waited := now-s.lastAt, now-s.waitingSince
	first := !s.begun
	s.begun, s.lastAt, s.waitingSince = true, now, now
	if first {
		return 0, false
	}
	s.longestPause = max(s.longestPause, waited)
	interval := since / time.Duration(n)
	if len(s.intervals) >= observedIntervals || interval < MinInterval {
		return 0, false
	}
	s.intervals = append(s.intervals, interval)
	if len(s.intervals) < observedIntervals {
		return 0, false
	}
	observed := slices.Sorted(slices.Values(s.intervals))[observedRank-1]
	return observed, Valid(observed)
}

// Waiting records that the caller has taken the events, so that the stream waits for the runner from now on.
func (s *Stream) Waiting(now time.Duration) { s.waitingSince = max(s.waitingSince, now) }

// LongestPause returns the longest wait for the runner between two events.
func (s *Stream) LongestPause() time.Duration { return s.longestPause }
