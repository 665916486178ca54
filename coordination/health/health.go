// Package health decides which runners are ejected from routing because calls
// to them fail, and when they are tried again. It is pure: input is an outcome
// or a tick with a time, output a list of effects.
package health

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Kind is what an effect asks for.
type Kind string

// Kinds of effects.
const (
	// Eject takes the runner out of routing.
	Eject Kind = "eject"
	// Probe asks for one probe on a connection that was not used before.
	Probe Kind = "probe"
	// Readmit takes the runner back into routing.
	Readmit Kind = "readmit"
)

// Effect is one thing for the driver to do.
type Effect struct {
	Kind   Kind
	Runner ident.RunnerID
}

// Outcome is how a call ended, as far as it tells something of the runner.
type Outcome string

// Outcomes.
const (
	// Success is any answer, a refusal for want of room included.
	Success Outcome = "success"
	// Failure is a failure of the runner: no connection, or its own error.
	Failure Outcome = "failure"
	// SilentConnection is a connection without any sign of life. Something
	// between the two ends may have lost track of it while the runner is well,
	// so it leads to a probe on a new connection and counts for nothing else.
	SilentConnection Outcome = "silent_connection"
)

// Config sets when runners are ejected.
type Config struct {
	// Consecutive failures in a row eject.
	Consecutive int
	// Ratio of failures among at least MinCalls calls within Window ejects.
	Ratio    float64
	MinCalls int
	Window   time.Duration
	// Ejection is the first time out; it doubles up to MaxEjection while
	// probes fail.
	Ejection    time.Duration
	MaxEjection time.Duration
	// MaxShare of the runners, and one of two or more, may be out at once. When more fail, the cause is
	// wider than these runners and an empty table would answer nobody.
	MaxShare float64
	// ProbeTimeout is when an unanswered probe has failed.
	ProbeTimeout time.Duration
}

// Default returns the policy in use; docs/design/retries.md gives the reasons.
func Default() Config {
	return Config{
		Consecutive:  3,
		Ratio:        0.5,
		MinCalls:     10,
		Window:       10 * time.Second,
		Ejection:     2 * time.Second,
		MaxEjection:  time.Minute,
		MaxShare:     0.34,
		ProbeTimeout: time.Second,
	}
}

type phase uint8

const (
	phaseIn phase = iota
	phaseOut
	phaseProbing
	// phaseChecking ones are in routing while a probe checks them.
	phaseChecking
)

type runner struct {
	phase       phase
	consecutive int
	calls       int
	failures    int
	windowEnds  time.Time
	until       time.Time
	ejection    time.Duration
}

// Tracker follows one service's runners. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	runners map[ident.RunnerID]*runner
	out     int
}

// New returns a tracker without runners.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, runners: map[ident.RunnerID]*runner{}}
}

// SetRunners replaces the set of runners; new ones start out well.
func (t *Tracker) SetRunners(ids []ident.RunnerID) {
	next := make(map[ident.RunnerID]*runner, len(ids))
	t.out = 0
	for _, id := range ids {
		r, ok := t.runners[id]
		if !ok {
			r = &runner{}
		}
		next[id] = r
		if r.isOut() {
			t.out++
		}
	}
	t.runners = next
}

func (r *runner) isOut() bool { return r.phase == phaseOut || r.phase == phaseProbing }

// Out is the number of ejected runners.
func (t *Tracker) Out() int { return t.out }

// Observe takes in how a call ended and appends what follows to dst.
func (t *Tracker) Observe(now time.Time, id ident.RunnerID, o Outcome, dst []Effect) []Effect {
	r, ok := t.runners[id]
	if !ok || r.isOut() {
		return dst
	}
	if o == SilentConnection {
		return t.check(now, id, r, dst)
	}
	r.count(now, t.cfg.Window, o == Failure)
	if !t.fails(r) || !t.mayEject() {
		return dst
	}
	t.eject(now, r)
	return append(dst, Effect{Eject, id})
}

func (t *Tracker) check(now time.Time, id ident.RunnerID, r *runner, dst []Effect) []Effect {
	if r.phase == phaseChecking {
		return dst
	}
	r.phase = phaseChecking
	r.until = now.Add(t.cfg.ProbeTimeout)
	return append(dst, Effect{Probe, id})
}

func (r *runner) count(now time.Time, window time.Duration, failed bool) {
	if !now.Before(r.windowEnds) {
		r.calls, r.failures = 0, 0
		r.windowEnds = now.Add(window)
	}
	r.calls++
	if !failed {
		r.consecutive = 0
		return
	}
	r.failures++
	r.consecutive++
}

func (t *Tracker) fails(r *runner) bool {
	if r.consecutive >= t.cfg.Consecutive {
		return true
	}
	return r.calls >= t.cfg.MinCalls && float64(r.failures) >= t.cfg.Ratio*float64(r.calls)
}

func (t *Tracker) mayEject() bool {
	allowed := int(t.cfg.MaxShare * float64(len(t.runners)))
	if len(t.runners) > 1 {
		allowed = max(1, allowed)
	}
	return t.out < allowed
}

func (t *Tracker) eject(now time.Time, r *runner) {
	if !r.isOut() {
		t.out++
	}
	r.ejection = min(max(2*r.ejection, t.cfg.Ejection), t.cfg.MaxEjection)
	r.phase = phaseOut
	r.until = now.Add(r.ejection)
	r.consecutive, r.calls, r.failures = 0, 0, 0
}

// Probed takes in how a probe ended.
func (t *Tracker) Probed(now time.Time, id ident.RunnerID, ok bool, dst []Effect) []Effect {
	r, known := t.runners[id]
	if !known {
		return dst
	}
	switch {
	case r.phase == phaseProbing && ok:
		t.out--
		r.phase = phaseIn
		// One more failure ejects again: the probe is a small call and proves
		// less than a real one.
		r.consecutive = t.cfg.Consecutive - 1
		return append(dst, Effect{Readmit, id})
	case r.phase == phaseProbing:
		t.eject(now, r)
	case r.phase == phaseChecking && ok:
		r.phase = phaseIn
	case r.phase == phaseChecking:
		r.phase = phaseIn
		if t.mayEject() {
			t.eject(now, r)
			return append(dst, Effect{Eject, id})
		}
	}
	return dst
}

// Tick appends the probes that are due and treats unanswered ones as failed.
func (t *Tracker) Tick(now time.Time, dst []Effect) []Effect {
	before := len(dst)
	for id, r := range t.runners {
		if r.phase == phaseIn || now.Before(r.until) {
			continue
		}
		if r.phase != phaseOut {
			dst = t.Probed(now, id, false, dst)
			continue
		}
		r.phase = phaseProbing
		r.until = now.Add(t.cfg.ProbeTimeout)
		dst = append(dst, Effect{Probe, id})
	}
	slices.SortFunc(dst[before:], func(a, b Effect) int { return cmp.Compare(a.Runner, b.Runner) })
	return dst
}
