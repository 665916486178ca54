// Package health decides which runners are ejected from routing because calls to them fail, and
// when they are probed and readmitted. It does no I/O and reads no clock: callers pass outcomes
// and times, and get a list of effects to carry out.
package health

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Kind is the kind of an effect.
type Kind string

// Kinds of effects.
const (
	// Eject removes the runner from routing.
	Eject Kind = "eject"
	// Probe asks for one probe over a new connection.
	Probe Kind = "probe"
	// Readmit returns the runner to routing.
	Readmit Kind = "readmit"
)

// Effect is one action for the caller of the Tracker to carry out.
type Effect struct {
	Kind   Kind
	Runner ident.RunnerID
}

// Outcome is the result of a call, as far as it indicates the runner's health.
type Outcome string

// Outcomes of calls.
const (
	// Success is an answer.
	Success Outcome = "success"
	// Rejection is a refusal for lack of capacity. The runner is sound, but it hasn't served the request.
	Rejection Outcome = "rejection"
	// NoConnection is a connection that had not opened when it was given up. It doesn't count for ejections, as
	// probes find out why, but the runner hasn't served the request.
	NoConnection Outcome = "no_connection"
	// Failure is a failed connection or an internal error of the runner.
	Failure Outcome = "failure"
	// SilentConnection is a connection on which nothing arrives. A device on the network
	// path may have dropped its state while the runner is healthy. So the outcome leads
	// to a probe over a new connection and does not count as a failure.
	SilentConnection Outcome = "silent_connection"
)

// Config sets when runners are ejected.
type Config struct {
	// MaxConsecutiveFailures is the number of consecutive failures that ejects a runner.
	MaxConsecutiveFailures int
	// A runner is also ejected if at least MinCalls calls to it ended in the current window and at
	// least the fraction FailureRatio of them failed. A window has the length Window; the next one
	// begins with the first call after its end, with counts of zero.
	FailureRatio float64
	MinCalls     int
	Window       time.Duration
	// FirstEjection is the duration of the first ejection. It doubles up to MaxEjection
	// while probes fail.
	FirstEjection time.Duration
	MaxEjection   time.Duration
	// MaxEjectedFraction is the fraction of a service's runners that may be ejected at once. If
	// the service has two or more runners, one may always be ejected. If more runners fail, the
	// cause is not in single runners, and without any runner no request could be served.
	MaxEjectedFraction float64
	// ProbeTimeout is the time after which an unanswered probe counts as failed.
	ProbeTimeout time.Duration
}

// Default returns the policy used in production; docs/design/retries.md gives the reasons.
func Default() Config {
	return Config{
		MaxConsecutiveFailures: 3,
		FailureRatio:           0.5,
		MinCalls:               10,
		Window:                 10 * time.Second,
		FirstEjection:          2 * time.Second,
		MaxEjection:            time.Minute,
		MaxEjectedFraction:     0.34,
		ProbeTimeout:           time.Second,
	}
}

// phase is what the tracker does with a runner at present. phaseEjected runners are out of routing;
// phaseProbing runners are too, while a probe tests whether they can be readmitted.
type phase uint8

const (
	phaseHealthy phase = iota
	phaseEjected
	phaseProbing
	// phaseVerifying runners stay in routing while a probe tests them.
	phaseVerifying
)

// runner is the health of one runner. phaseEnd is when its ejection ends or its probe times out.
// windowCalls and windowFailures count the calls that ended since the current window began.
// ejectionDuration is the length of its latest ejection.
type runner struct {
	phase               phase
	consecutiveFailures int
	windowCalls         int
	windowFailures      int
	windowEnd           time.Time
	phaseEnd            time.Time
	ejectionDuration    time.Duration
	outcomes            outcomes
}

// Tracker tracks the health of one service's runners. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	runners map[ident.RunnerID]*runner
	ejected int
	// triedAtATime is how many unproven runners may be tried at a time, zero for one.
	triedAtATime int
}

// New returns a tracker without runners.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, runners: map[ident.RunnerID]*runner{}}
}

// SetRunners replaces the set of runners. New runners count as healthy.
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

// Tracks reports whether a runner is in the set.
func (t *Tracker) Tracks(id ident.RunnerID) bool {
	_, ok := t.runners[id]
	return ok
}

func (r *runner) isEjected() bool { return r.phase == phaseEjected || r.phase == phaseProbing }

// Ejected returns the number of ejected runners.
func (t *Tracker) Ejected() int { return t.ejected }

// HandleOutcome processes the outcome of a call and appends the resulting effects to dst.
func (t *Tracker) HandleOutcome(now time.Time, id ident.RunnerID, o Outcome, dst []Effect) []Effect {
	r, ok := t.runners[id]
	if !ok {
		return dst
	}
	if o != SilentConnection {
		t.recordOutcome(now, r, o == Success)
	}
	switch {
	case r.isEjected(), o == NoConnection:
		return dst
	case o == SilentConnection:
		return t.startVerification(now, id, r, dst)
	}
	r.count(now, t.cfg.Window, o == Failure)
	if !t.exceedsThreshold(r) || !t.mayEject() {
		return dst
	}
	t.eject(now, r)
	return append(dst, Effect{Eject, id})
}

// startVerification asks for a probe of a runner that stays in routing meanwhile.
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
		r.windowCalls, r.windowFailures = 0, 0
		r.windowEnd = now.Add(window)
	}
	r.windowCalls++
	if !failed {
		r.consecutiveFailures = 0
		return
	}
	r.windowFailures++
	r.consecutiveFailures++
}

func (t *Tracker) exceedsThreshold(r *runner) bool {
	if r.consecutiveFailures >= t.cfg.MaxConsecutiveFailures {
		return true
	}
	return r.windowCalls >= t.cfg.MinCalls && float64(r.windowFailures) >= t.cfg.FailureRatio*float64(r.windowCalls)
}

// mayEject reports whether one more runner may be ejected within MaxEjectedFraction.
func (t *Tracker) mayEject() bool {
	limit := int(t.cfg.MaxEjectedFraction * float64(len(t.runners)))
	if len(t.runners) > 1 {
		limit = max(1, limit)
	}
	return t.ejected < limit
}

func (t *Tracker) eject(now time.Time, r *runner) {
	if !r.isEjected() {
		t.ejected++
	}
	r.ejectionDuration = min(max(2*r.ejectionDuration, t.cfg.FirstEjection), t.cfg.MaxEjection)
	r.phase = phaseEjected
	r.phaseEnd = now.Add(r.ejectionDuration)
	r.consecutiveFailures, r.windowCalls, r.windowFailures = 0, 0, 0
}

// HandleProbe processes the result of a probe and appends the resulting effects to dst.
func (t *Tracker) HandleProbe(now time.Time, id ident.RunnerID, ok bool, dst []Effect) []Effect {
	r, known := t.runners[id]
	if !known {
		return dst
	}
	switch {
	case r.phase == phaseProbing && ok:
		t.ejected--
		r.phase = phaseHealthy
		// One more failure ejects the runner again, because the probe is a small call and
		// proves less than a real one.
		r.consecutiveFailures = t.cfg.MaxConsecutiveFailures - 1
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

// Tick appends the probes that are due to dst and treats unanswered probes as failed.
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
