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
	// MaxConsecutive failures in a row eject.
	MaxConsecutive int
	// FailureRatio of failures among at least MinCalls calls within Window ejects.
	FailureRatio float64
	MinCalls     int
	Window       time.Duration
	// FirstEjection is the first time out; it doubles up to MaxEjection while
	// probes fail.
	FirstEjection time.Duration
	MaxEjection   time.Duration
	// MaxEjectedShare of the runners, and one of two or more, may be out at once. When more fail, the cause is
	// wider than these runners and an empty table would answer nobody.
	MaxEjectedShare float64
	// ProbeTimeout is when an unanswered probe has failed.
	ProbeTimeout time.Duration
}

// Default returns the policy in use; docs/design/retries.md gives the reasons.
func Default() Config {
	return Config{
		MaxConsecutive:  3,
		FailureRatio:    0.5,
		MinCalls:        10,
		Window:          10 * time.Second,
		FirstEjection:   2 * time.Second,
		MaxEjection:     time.Minute,
		MaxEjectedShare: 0.34,
		ProbeTimeout:    time.Second,
	}
}

type phase uint8

const (
	phaseHealthy phase = iota
	phaseEjected
	phaseProbing
	// phaseVerifying ones are in routing while a probe checks them.
	phaseVerifying
)

type runner struct {
	phase       phase
	consecutive int
	calls       int
	failures    int
	windowEnd   time.Time
	phaseEnd    time.Time
	ejection    time.Duration
}

// Tracker follows one service's runners. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	runners map[ident.RunnerID]*runner
	ejected int
}

// New returns a tracker without runners.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, runners: map[ident.RunnerID]*runner{}}
}

// SetRunners replaces the set of runners; new ones start out well.
func (t *Tracker) SetRunners(ids []ident.RunnerID) {
	next := make(map[ident.RunnerID]*runner, len(ids))
	t.ejected = 0
	for _, id := range ids {
		r, ok := t.runners[id]
		if !ok {
			r = &runner{}
		}
		next[id] = r
		if r.isEjected() {
			t.ejected++
		}
	}
	t.runners = next
}

func (r *runner) isEjected() bool { return r.phase == phaseEjected || r.phase == phaseProbing }

// Ejected is the number of ejected runners.
func (t *Tracker) Ejected() int { return t.ejected }

// HandleOutcome takes in how a call ended and appends what follows to dst.
func (t *Tracker) HandleOutcome(now time.Time, id ident.RunnerID, o Outcome, dst []Effect) []Effect {
	r, ok := t.runners[id]
	if !ok || r.isEjected() {
		return dst
	}
	if o == SilentConnection {
		return t.startVerification(now, id, r, dst)
	}
	r.count(now, t.cfg.Window, o == Failure)
	if !t.exceedsThreshold(r) || !t.mayEject() {
		return dst
	}
	t.eject(now, r)
	return append(dst, Effect{Eject, id})
}

func (t *Tracker) startVerification(now time.Time, id ident.RunnerID, r *runner, dst []Effect) []Effect {
	if r.phase == phaseVerifying {
		return dst
	}
	r.phase = phaseVerifying
	r.phaseEnd = now.Add(t.cfg.ProbeTimeout)
	return append(dst, Effect{Probe, id})
}

func (r *runner) count(now time.Time, window time.Duration, failed bool) {
	if !now.Before(r.windowEnd) {
		r.calls, r.failures = 0, 0
		r.windowEnd = now.Add(window)
	}
	r.calls++
	if !failed {
		r.consecutive = 0
		return
	}
	r.failures++
	r.consecutive++
}

func (t *Tracker) exceedsThreshold(r *runner) bool {
	if r.consecutive >= t.cfg.MaxConsecutive {
		return true
	}
	return r.calls >= t.cfg.MinCalls && float64(r.failures) >= t.cfg.FailureRatio*float64(r.calls)
}

func (t *Tracker) mayEject() bool {
	limit := int(t.cfg.MaxEjectedShare * float64(len(t.runners)))
	if len(t.runners) > 1 {
		limit = max(1, limit)
	}
	return t.ejected < limit
}

func (t *Tracker) eject(now time.Time, r *runner) {
	if !r.isEjected() {
		t.ejected++
	}
	r.ejection = min(max(2*r.ejection, t.cfg.FirstEjection), t.cfg.MaxEjection)
	r.phase = phaseEjected
	r.phaseEnd = now.Add(r.ejection)
	r.consecutive, r.calls, r.failures = 0, 0, 0
}

// HandleProbe takes in how a probe ended.
func (t *Tracker) HandleProbe(now time.Time, id ident.RunnerID, ok bool, dst []Effect) []Effect {
	r, known := t.runners[id]
	if !known {
		return dst
	}
	switch {
	case r.phase == phaseProbing && ok:
		t.ejected--
		r.phase = phaseHealthy
		// One more failure ejects again: the probe is a small call and proves
		// less than a real one.
		r.consecutive = t.cfg.MaxConsecutive - 1
		return append(dst, Effect{Readmit, id})
	case r.phase == phaseProbing:
		t.eject(now, r)
	case r.phase == phaseVerifying && ok:
		r.phase = phaseHealthy
	case r.phase == phaseVerifying:
		r.phase = phaseHealthy
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
		if r.phase == phaseHealthy || now.Before(r.phaseEnd) {
			continue
		}
		if r.phase != phaseEjected {
			dst = t.HandleProbe(now, id, false, dst)
			continue
		}
		r.phase = phaseProbing
		r.phaseEnd = now.Add(t.cfg.ProbeTimeout)
		dst = append(dst, Effect{Probe, id})
	}
	slices.SortFunc(dst[before:], func(a, b Effect) int { return cmp.Compare(a.Runner, b.Runner) })
	return dst
}
