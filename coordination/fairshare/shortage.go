package fairshare

import "time"

const (
	// shortageWindow is the time whose requests decide whether a service is short, and the time for which too few of
	// them must wait until it no longer is.
	shortageWindow = time.Second
	// shortageParts is the number of parts of the window that are counted separately.
	shortageParts = 10
	// shortFraction is the fraction of requests that must wait too long.
	shortFraction = 0.25
	// longWait is the fraction of the target latency from which a wait is too long. Half of the target is left for
	// what the estimate doesn't know.
	longWait = 0.5
)

// Shortage judges by a daemon's own requests whether a service has too little capacity.
type Shortage struct {
	// parts are the counts of the latest parts of the window; the part with number n is at n modulo their number.
	parts  [shortageParts]shortagePart
	short  bool
	manyAt time.Duration
}

type shortagePart struct {
	number             int64
	requests, tooLongs int
}

// Observe records the expected time to the first token of a request and the target latency of its route.
// Requests without a target don't count.
func (s *Shortage) Observe(now, wait, target time.Duration) {
	if target <= 0 {
		return
	}
	number := partAt(now)
	p := &s.parts[number%shortageParts]
	if p.number != number {
		*p = shortagePart{number: number}
	}
	p.requests++
	if float64(wait) > longWait*float64(target) {
		p.tooLongs++
	}
}

func partAt(now time.Duration) int64 { return int64(now / (shortageWindow / shortageParts)) }

// Waiting returns the fraction of the latest second's requests that are expected to wait too long.
func (s *Shortage) Waiting(now time.Duration) float64 {
	requests, tooLongs := 0, 0
	for _, p := range s.parts {
		if p.number > partAt(now)-shortageParts {
			requests += p.requests
			tooLongs += p.tooLongs
		}
	}
	if requests == 0 {
		return 0
	}
	return float64(tooLongs) / float64(requests)
}

// Short reports whether the service is short.
func (s *Shortage) Short(now time.Duration) bool {
	if s.Waiting(now) >= shortFraction {
		s.short, s.manyAt = true, now
	}
	if now-s.manyAt > shortageWindow {
		s.short = false
	}
	return s.short
}
