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
	start time.Time
	ahead atomic.Int64
}

func newClock() *clock { return &clock{start: time.Now()} }

func (c *clock) now() time.Time {
	t := time.Now()
	steady := c.start.Round(0).Add(t.Sub(c.start))
	lead := int64(t.Round(0).Sub(steady))
	for {
		ahead := c.ahead.Load()
		if lead <= ahead {
			return steady.Add(time.Duration(ahead))
		}
		if c.ahead.CompareAndSwap(ahead, lead) {
			return steady.Add(time.Duration(lead))
		}
	}
}
