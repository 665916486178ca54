// Package runnerlimit keeps all daemons together within the request rates that runners state.
//
// A runner in need states in its answers how many requests per second it accepts from all
// daemons together, for as long as it says so. The daemons tell each other of such limits. Each
// limited runner has one owner among the daemons, which grants the permits for it: one permit
// for each request, from a token bucket that is refilled at the stated rate. A daemon sends a
// limited runner nothing without a permit. Shares of a limit that each daemon uses on its own
// would not do: a limit of 0.2 requests per second divided among a hundred daemons leaves each
// of them one request every eight minutes, and the one that has a request has no share.
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
	// liftMargin is how much later than the last statement of a limit a request must have been
	// sent for its answer to lift the limit. It covers the inaccuracy of ages in messages.
	liftMargin = 200 * time.Millisecond
	// liftMemory is how long a lifted limit is remembered, so that messages that are under way
	// don't bring it back.
	liftMemory = 5 * time.Second
	// unknownRunnerMemory is how long a limit is kept for a runner that this daemon doesn't
	// know. Messages of other daemons may arrive before the runner's entry.
	unknownRunnerMemory = 10 * time.Second
	// burstPeriod is the time whose permits a bucket holds at most, but at least minBurst. With
	// room for one only, a permit is lost whenever no request comes at the right moment.
	burstPeriod = 500 * time.Millisecond
	minBurst    = 2
	// maxQueueWait bounds how much later than the next permit a daemon that gets none is told
	// to ask again.
	maxQueueWait = 200 * time.Millisecond
)

// Statement is what a daemon knows of a runner's limit, as it tells the others. Statements of
// the same runner can be merged in any order.
type Statement struct {
	Runner    ident.RunnerID
	PerSecond float64
	// StatedAt is when the newest answer that states the limit was received.
	StatedAt time.Duration
	// Lifted is set if a later answer states no limit; its request was sent at LiftedAt.
	Lifted   bool
	LiftedAt time.Duration
}

// limit is what is known about one runner's limit, and the bucket of permits for the runner.
type limit struct {
	perSecond float64
	statedAt  time.Duration
	liftedAt  time.Duration
	// receivedAt is when an answer or a message last said something about the limit.
	receivedAt time.Duration
	// level is the number of permits in the bucket as of refilledAt. nextFree is the time for
	// which the next daemon that gets no permit is told to ask again.
	level      float64
	refilledAt time.Duration
	nextFree   time.Duration
}

func (l *limit) binds() bool { return l.liftedAt <= l.statedAt+liftMargin }

// Table holds the limits that runners state, and the permits for them.
type Table struct {
	limits map[ident.RunnerID]*limit
}

// New returns a table without limits.
func New() *Table { return &Table{limits: map[ident.RunnerID]*limit{}} }

// Observe records a runner's answer, received now, to a request that was sent at the time sent.
// perSecond is zero if the answer states no limit. Observe reports whether the limit changed.
//
// Answers may overtake each other. An answer without a limit lifts the limit only if its request
// was sent after the last answer that states one was received.
func (t *Table) Observe(now, sent time.Duration, runner ident.RunnerID, perSecond float64) bool {
	if perSecond > 0 {
		return t.Merge(now, Statement{Runner: runner, PerSecond: perSecond, StatedAt: now})
	}
	if _, known := t.limits[runner]; !known {
		return false
	}
	return t.Merge(now, Statement{Runner: runner, StatedAt: never, Lifted: true, LiftedAt: sent})
}

// never is before any time at which a limit can be stated or lifted.
const never = -1 << 62

// Merge records what another daemon knows of a limit. It reports whether the limit changed.
func (t *Table) Merge(now time.Duration, s Statement) bool {
	before := t.PerSecond(s.Runner)
	l, known := t.limits[s.Runner]
	if !known {
		l = &limit{statedAt: never, liftedAt: never, refilledAt: now}
		t.limits[s.Runner] = l
	}
	l.receivedAt = now
	if s.PerSecond > 0 && s.StatedAt > l.statedAt {
		l.refill(now)
		l.statedAt, l.perSecond = s.StatedAt, s.PerSecond
	}
	if s.Lifted {
		l.liftedAt = max(l.liftedAt, s.LiftedAt)
	}
	return t.PerSecond(s.Runner) != before
}

// PerSecond returns the requests per second that a runner accepts; zero if it states no limit.
func (t *Table) PerSecond(runner ident.RunnerID) float64 {
	if l, known := t.limits[runner]; known && l.binds() {
		return l.perSecond
	}
	return 0
}

// Limited returns the runners that state a limit, in no particular order.
func (t *Table) Limited() []ident.RunnerID {
	var limited []ident.RunnerID
	for runner, l := range t.limits {
		if l.binds() {
			limited = append(limited, runner)
		}
	}
	return limited
}

// Statement returns what is known of one runner's limit.
func (t *Table) Statement(runner ident.RunnerID) Statement {
	l, known := t.limits[runner]
	if !known {
		return Statement{Runner: runner}
	}
	return Statement{Runner: runner, PerSecond: l.perSecond, StatedAt: l.statedAt, Lifted: l.liftedAt != never, LiftedAt: l.liftedAt}
}

// Statements returns what is known of all limits, in the order of the runners.
func (t *Table) Statements() []Statement {
	list := make([]Statement, 0, len(t.limits))
	for runner := range t.limits {
		list = append(list, t.Statement(runner))
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Runner, b.Runner) })
	return list
}

// Take takes the permit for one request to a runner. Only the runner's owner may call it. Without
// a permit, Take returns the time after which to ask again; each caller is told another time.
func (t *Table) Take(now time.Duration, runner ident.RunnerID) (time.Duration, bool) {
	l, known := t.limits[runner]
	if !known || !l.binds() {
		return 0, true
	}
	l.refill(now)
	if l.level >= 1 {
		l.level--
		return 0, true
	}
	perPermit := time.Duration(float64(time.Second) / l.perSecond)
	available := now + time.Duration((1-l.level)*float64(perPermit))
	l.nextFree = min(max(l.nextFree, available), available+maxQueueWait)
	wait := l.nextFree - now
	l.nextFree += perPermit
	return wait, false
}

// refill adds the permits that the bucket gained since the last refill.
func (l *limit) refill(now time.Duration) {
	gained := l.perSecond * (now - l.refilledAt).Seconds()
	l.level = min(max(minBurst, l.perSecond*burstPeriod.Seconds()), l.level+max(0, gained))
	l.refilledAt = now
}

// Expire forgets limits that were lifted a while ago, and those of runners that are not known
// and that nothing has been heard of for a while.
func (t *Table) Expire(now time.Duration, isKnown func(ident.RunnerID) bool) {
	for runner, l := range t.limits {
		age := now - l.receivedAt
		if !l.binds() && now-l.liftedAt > liftMemory || age > unknownRunnerMemory && !isKnown(runner) {
			delete(t.limits, runner)
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
