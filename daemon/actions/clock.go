package actions

import (
	"sync/atomic"
	"time"
)

// clock is the clock that owners use. It never goes back and includes the time
// during which the VM is suspended.
//
// Go's monotonic clock stops while a VM is suspended, and the wall clock can be
// set back. An owner that resumed after a day with a clock that had stopped
// would accept expired keys whose callers have long been told "not executed".
// This clock follows the monotonic clock and is moved forward whenever the wall
// clock is ahead of it.
type clock struct {
	start time.Time
	// offset is what is added to the monotonic clock, in nanoseconds.
	offset atomic.Int64
}

func newClock() *clock { return &clock{start: time.Now()} }

func (c *clock) now() time.Time {
	t := time.Now()
	monotonic := c.start.Round(0).Add(t.Sub(c.start))
	wallOffset := int64(t.Round(0).Sub(monotonic))
	for {
		offset := c.offset.Load()
		if wallOffset <= offset {
			return monotonic.Add(time.Duration(offset))
		}
		if c.offset.CompareAndSwap(offset, wallOffset) {
			return monotonic.Add(time.Duration(wallOffset))
		}
	}
}
