package actions

import (
	"sync/atomic"
	"time"
)

// clock is an owner's clock: it never goes back and never stops.
//
// Go's monotonic time stands still while a VM is suspended, and the wall clock
// can be set back. An owner that woke after a day with its clock of yesterday
// would take keys for good whose callers were told "not executed" long ago.
// This clock is the monotonic one, moved ahead whenever the wall clock is.
type clock struct {
	start  time.Time
	offset atomic.Int64
}

func newClock() *clock { return &clock{start: time.Now()} }

func (c *clock) now() time.Time {
	t := time.Now()
	monotonic := c.start.Round(0).Add(t.Sub(c.start))
	wallOffset := int64(t.Round(0).Sub(monotonic))
	for {
		current := c.offset.Load()
		if wallOffset <= current {
			return monotonic.Add(time.Duration(current))
		}
		if c.offset.CompareAndSwap(current, wallOffset) {
			return monotonic.Add(time.Duration(wallOffset))
		}
	}
}
