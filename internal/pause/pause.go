// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx ends, and reports whether ctx is still active.
// It does not sleep if d is zero or negative.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
