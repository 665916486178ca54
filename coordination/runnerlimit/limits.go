// Package runnerlimit keeps all daemons together within the load that runners say they bear.
//
// A runner in need states in its answers how many requests per second it accepts from all
// daemons together, for as long as it says so. One that is brittle states how many requests it
// can reject in a second, for lack of room, without failing. The daemons tell each other of such
// limits. Each limited runner has one owner among the daemons, which grants the permits for it:
// one permit for each request, from a token bucket that is refilled at the stated rate, and of a
// brittle runner only while there is a place for the request. A daemon sends a limited runner
// nothing without a permit. Shares of a limit that each daemon uses on its own would not do: a
// limit of 0.2 requests per second divided among a hundred daemons leaves each of them one request
// every eight minutes, and the one that has a request has no share.
//
// The owner is the daemon with the highest hash of its incarnation and the runner. Daemons that
// know different fleets for a moment may take two daemons for the owner, so the bucket is
// shallow: two owners then grant twice the rate for that moment and no saved-up burst.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock that keeps
// running while the VM is suspended. Its types are not safe for concurrent use.
package runnerlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// liftMemory is how long a lifted limit is remembered, so that messages that are under way
	// don't bring it back.
	liftMemory = 5 * time.Second
	// unknownRunnerMemory is how long a limit is kept for a runner that this daemon doesn't
	// know. Messages of other daemons may arrive before the runner's entry.
	unknownRunnerMemory = 10 * time.Second
)

// Statement is what a daemon knows of a runner's limits, as it tells the others.
type Statement struct {
	Runner ident.RunnerID
	// Rate is the number of requests per second that the runner accepts, Rejections the number
	// of requests per second that it can reject without failing.
	Rate, Rejections Term
}

// Limits are the limits that a runner states; the zero value stands for none.
type Limits struct {
	// Rate is the number of requests per second that the runner accepts from all daemons
	// together; zero if it states none.
	Rate float64
	// Brittle says that the runner states how many requests per second it can reject, for lack
	// of room, without failing; MaxRejections is that number.
	Brittle       bool
	MaxRejections float64
}

// entry is what is known about one runner's limits, and the permits for the runner.
type entry struct {
	rate, rejections Term
	// receivedAt is when an answer or a message last said something about the limits.
	receivedAt time.Duration
	bucket     bucket
	// places is nil until this daemon is first asked for a place at the runner.
	places *places
}

func (e *entry) limits() Limits {
	var l Limits
	if e.rate.Binds() {
		l.Rate = e.rate.Value
	}
	if e.rejections.Binds() {
		l.Brittle, l.MaxRejections = true, e.rejections.Value
	}
	return l
}

// Table holds the limits that runners state, and the permits for them.
type Table struct {
	entries map[ident.RunnerID]*entry
}

// New returns a table without limits.
func New() *Table { return &Table{entries: map[ident.RunnerID]*entry{}} }

// Observe records the limits in a runner's answer, received now, to a request that was sent at the
// time sent. It reports whether the known limits changed.
func (t *Table) Observe(now, sent time.Duration, runner ident.RunnerID, l Limits) bool {
	if _, known := t.entries[runner]; !known && l == (Limits{}) {
		return false
	}
	return t.Merge(now, Statement{
		Runner: runner, Rate: observed(now, sent, l.Rate, l.Rate > 0), Rejections: observed(now, sent, l.MaxRejections, l.Brittle),
	})
}

// Merge records what another daemon knows of a runner's limits. It reports whether they changed.
func (t *Table) Merge(now time.Duration, s Statement) bool {
	before := t.Limits(s.Runner)
	e, known := t.entries[s.Runner]
	if !known {
		e = &entry{bucket: bucket{refilledAt: now}}
		t.entries[s.Runner] = e
	}
	e.receivedAt = now
	e.rate.merge(s.Rate)
	e.rejections.merge(s.Rejections)
	e.bucket.setRate(now, e.rate.Value)
	if !e.rejections.Binds() {
		e.places = nil
	}
	return t.Limits(s.Runner) != before
}

// Limits returns the limits that a runner states.
func (t *Table) Limits(runner ident.RunnerID) Limits {
	if e, known := t.entries[runner]; known {
		return e.limits()
	}
	return Limits{}
}

// Statement returns what is known of one runner's limits.
func (t *Table) Statement(runner ident.RunnerID) Statement {
	e, known := t.entries[runner]
	if !known {
		return Statement{Runner: runner}
	}
	return Statement{Runner: runner, Rate: e.rate, Rejections: e.rejections}
}

// Statements returns what is known of all limits, in the order of the runners.
func (t *Table) Statements() []Statement {
	list := make([]Statement, 0, len(t.entries))
	for runner := range t.entries {
		list = append(list, t.Statement(runner))
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Runner, b.Runner) })
	return list
}

// Permit is the decision on a request for a permit.
type Permit struct {
	Granted bool
	// Wait is the time after which to ask again; each caller is told another time. Busy says
	// that there is no place at the runner, rather than that its rate is used up.
	Wait time.Duration
	Busy bool
	// Lease identifies the place that the request takes; zero if it takes none.
	Lease uint64
}

// Take takes the permit for one request to a runner. Only the runner's owner may call it.
func (t *Table) Take(now time.Duration, runner ident.RunnerID, d Demand) Permit {
	e, known := t.entries[runner]
	if !known {
		return Permit{Granted: true}
	}
	p := Permit{Granted: true}
	if e.rejections.Binds() {
		if e.places == nil {
			e.places = newPlaces(now, d)
		}
		lease, wait := e.places.take(now, d)
		if lease == 0 {
			return Permit{Wait: wait, Busy: true}
		}
		p.Lease = lease
	}
	if !e.rate.Binds() {
		return p
	}
	if wait, ok := e.bucket.take(now); !ok {
		t.Return(now, runner, p.Lease, false)
		return Permit{Wait: wait}
	}
	return p
}

// Return gives back the place of a request that has ended. rejected says that the runner rejected
// it for lack of room.
func (t *Table) Return(now time.Duration, runner ident.RunnerID, leaseID uint64, rejected bool) {
	if e, known := t.entries[runner]; known && e.places != nil {
		e.places.giveBack(now, leaseID, rejected, e.rejections.Value)
	}
}

// Expire forgets limits that were lifted a while ago, and those of runners that are not known
// and that nothing has been heard of for a while.
func (t *Table) Expire(now time.Duration, isKnown func(ident.RunnerID) bool) {
	for runner, e := range t.entries {
		age := now - e.receivedAt
		lifted := max(e.rate.LiftedAt, e.rejections.LiftedAt)
		if e.limits() == (Limits{}) && now-lifted > liftMemory || age > unknownRunnerMemory && !isKnown(runner) {
			delete(t.entries, runner)
		}
	}
}

// Owner returns the index of the daemon that grants the permits for a runner, among the
// incarnations of the daemons that may; -1 if there are none.
func Owner(runner ident.RunnerID, daemons []ident.Incarnation) int {
	owner, highest := -1, uint64(0)
	for i, d := range daemons {
		h := xxhash.Sum64String(string(runner) + "\x00" + string(d))
		if owner < 0 || h > highest || h == highest && d < daemons[owner] {
			owner, highest = i, h
		}
	}
	return owner
}
