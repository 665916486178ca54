package callerlimit

import (
	"sync"
	"time"
)

// lineInterval is the least time between two lines about callers that were ended.
const lineInterval = 100 * time.Millisecond

// Rate limits how many lines about ended callers are logged. The zero value is ready for use.
type Rate struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// Allow reports whether a line may be logged now, and if so, how many have been skipped before it.
func (r *Rate) Allow(now time.Time) (skipped int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last) < lineInterval {
		r.skipped++
		return 0, false
	}
	skipped, r.skipped, r.last = r.skipped, 0, now
	return skipped, true
}
