// Package reachability decides whether a daemon has lost its paths to all runners of a service,
// although the runners may work and other daemons may reach them.
//
// Such a daemon sees the same as with runners that all fail: connections are refused, reset or
// silent. One runner that answers anything proves that it is not cut off. Failures at several
// runners with no sign of life from any runner in between are taken for the loss of the paths.
// Whether the runners work is for the other daemons to tell.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock that keeps
// running while the VM is suspended.
package reachability

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// failedRunners is the number of runners that must fail in a row, or all of them if there
	// are fewer. Two may be lost together with a failure domain.
	failedRunners = 3
	// quietTime is how long no runner must have shown a sign of life. A runner that answers
	// sends data many times a second.
	quietTime = 300 * time.Millisecond
)

// Tracker tracks whether a daemon reaches the runners of one service. The zero value has reached
// none and counts them as reachable. It is not safe for concurrent use.
type Tracker struct {
	reachedAt   time.Duration
	failed      map[ident.RunnerID]bool
	unreachable bool
	// since is when the first of the failures in a row occurred.
	since time.Duration
}

// Reached records a sign of life from a runner. It reports whether the runners count as
// reachable again by it.
func (t *Tracker) Reached(now time.Duration) bool {
	t.reachedAt = now
	clear(t.failed)
	regained := t.unreachable
	t.unreachable = false
	return regained
}

// Failed records that no connection to a runner could be opened, or that one broke or went
// silent. runners is the number of the service's runners. Failed reports whether the runners
// count as unreachable from now on.
func (t *Tracker) Failed(now time.Duration, runner ident.RunnerID, runners int) bool {
	if t.failed == nil {
		t.failed = map[ident.RunnerID]bool{}
	}
	if len(t.failed) == 0 {
		t.since = now
	}
	t.failed[runner] = true
	if t.unreachable || len(t.failed) < min(failedRunners, max(1, runners)) || now-t.reachedAt < quietTime {
		return false
	}
	t.unreachable = true
	return true
}

// Unreachable reports whether the runners count as unreachable.
func (t *Tracker) Unreachable() bool { return t.unreachable }

// Suspected reports whether runners have failed since the last sign of life of any of them.
func (t *Tracker) Suspected() bool { return len(t.failed) > 0 }

// Failures returns how many runners have failed since the last sign of life of any of them, and
// since when.
func (t *Tracker) Failures() (runners int, since time.Duration) { return len(t.failed), t.since }
