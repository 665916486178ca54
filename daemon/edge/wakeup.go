package edge

import "context"

// wakeup starts a run of periodic work in a goroutine of its own. tickLoop gives it, so that all periodic work shares a timer.
type wakeup chan struct{}

func newWakeup() wakeup { return make(wakeup, 1) }

// wake starts a run, unless one is already pending.
func (w wakeup) wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// wait waits for the next run. It returns false when the context ends.
func (w wakeup) wait(ctx context.Context) bool {
	select {
	case <-w:
		return true
	case <-ctx.Done():
		return false
	}
}
