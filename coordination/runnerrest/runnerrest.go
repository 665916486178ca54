// Package runnerrest keeps a daemon from runners that have asked it for rest.
//
// A runner that turns a request away may name a time for which it wants nothing more from that daemon.
// Each daemon keeps the rests that it was asked for itself: a runner that sheds one daemon's share of its
// load may serve the others'.
//
// All daemons are often told at nearly the same moment, and requests wait for the end of the rest. If all
// came back at once, the runner would turn most of them away again. So after its rest a runner first gets
// returnWindow requests at a time from each daemon, and twice as many with each one that it accepts.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock that keeps running
// while the VM is suspended. Its types are not safe for concurrent use.
package runnerrest

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// returnWindow is the number of requests that a runner gets at a time right after its rest.
	returnWindow = 2
	// openWindow is the number of requests at a time from which a runner has room again.
	openWindow = 32
	// returnMemory is the time after a rest for which the runner counts as just rested.
	returnMemory = 10 * time.Second
	// fullWindowWait is the time after which to ask again while the window is used up: about as long as a
	// plain runner needs for an answer.
	fullWindowWait = 20 * time.Millisecond
	// unknownRunnerMemory is how long the rest of a runner without an entry is kept. An entry that has
	// lapsed comes back within seconds.
	unknownRunnerMemory = 10 * time.Minute
)

// rest is the rest of one runner and the return to it.
type rest struct {
	until time.Duration
	// knownAt is when the runner's entry was last known.
	knownAt time.Duration
	// window is the number of requests that the runner may have at a time after the rest, inFlight the
	// number of those that it has not answered. epoch changes with each new rest.
	window, inFlight int
	epoch            uint64
}

// Ticket stands for a request to a runner that has just rested. The zero value stands for one to a runner
// that hasn't.
type Ticket struct {
	runner ident.RunnerID
	epoch  uint64
}

// Table holds the rests of the runners.
type Table struct {
	rests map[ident.RunnerID]*rest
	epoch uint64
}

// New returns a table without rests.
func New() *Table { return &Table{rests: map[ident.RunnerID]*rest{}} }

// Rest records that a runner wants no requests for a while. A shorter rest doesn't end a longer one.
func (t *Table) Rest(now time.Duration, runner ident.RunnerID, duration time.Duration) {
	r, known := t.rests[runner]
	if !known {
		r = &rest{}
		t.rests[runner] = r
	}
	t.epoch++
	r.until, r.knownAt = max(r.until, now+duration), now
	r.window, r.inFlight, r.epoch = returnWindow, 0, t.epoch
}

// Wait returns the time until a runner may get the next request; zero if it may get one now.
func (t *Table) Wait(now time.Duration, runner ident.RunnerID) time.Duration {
	r, known := t.rests[runner]
	switch {
	case !known || now >= r.until+returnMemory:
		return 0
	case now < r.until:
		return r.until - now
	case r.inFlight >= r.window:
		return fullWindowWait
	}
	return 0
}

// Resting reports whether a runner rests, rather than just having rested.
func (t *Table) Resting(now time.Duration, runner ident.RunnerID) bool {
	r, known := t.rests[runner]
	return known && now < r.until
}

// Waits returns the time until it may get the next request for each runner that may get none now.
func (t *Table) Waits(now time.Duration) map[ident.RunnerID]time.Duration {
	var waits map[ident.RunnerID]time.Duration
	for runner := range t.rests {
		wait := t.Wait(now, runner)
		if wait == 0 {
			continue
		}
		if waits == nil {
			waits = map[ident.RunnerID]time.Duration{}
		}
		waits[runner] = wait
	}
	return waits
}

// Take reports whether a runner may get a request now. Each ticket must be given to Release.
func (t *Table) Take(now time.Duration, runner ident.RunnerID) (Ticket, bool) {
	if t.Wait(now, runner) > 0 {
		return Ticket{}, false
	}
	r, known := t.rests[runner]
	if !known || now >= r.until+returnMemory {
		return Ticket{}, true
	}
	r.inFlight++
	return Ticket{runner, r.epoch}, true
}

// Release ends a request to a runner that has just rested. accepted says that the runner has begun to answer
// it; it may then get twice as many at a time.
func (t *Table) Release(k Ticket, accepted bool) {
	r, known := t.rests[k.runner]
	if !known || r.epoch != k.epoch {
		return
	}
	r.inFlight--
	if !accepted {
		return
	}
	if r.window *= 2; r.window >= openWindow {
		delete(t.rests, k.runner)
	}
}

// Expire forgets rests that are over, and those of runners that have long been gone.
func (t *Table) Expire(now time.Duration, isKnown func(ident.RunnerID) bool) {
	for runner, r := range t.rests {
		if isKnown(runner) {
			r.knownAt = now
		}
		if now >= r.until+returnMemory || now >= r.knownAt+unknownRunnerMemory {
			delete(t.rests, runner)
		}
	}
}
