// Package pause waits for a while or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits and tells whether the context is still good. It does not wait at all for
// no time or less.
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
