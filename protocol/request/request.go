// Package request implements the lifecycle of an accepted model request as a
// deterministic state machine. It covers attempts at runners, silent
// connections, resumption at the current token offset, moves off leaving
// runners, retries, and the single final answer or refusal. The machine
// performs no I/O and reads no clock: each input carries the current time, and
// the returned effects are carried out by the caller.
package request

import (
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/protocol/stream"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Limits holds the timeouts and the retry limits of a request.
type Limits struct {
	// SilenceTimeout is how long the connection to an engine may carry no data.
	// Engines send a heartbeat every second.
	SilenceTimeout time.Duration
	// MaxReopens is how often the connection to the same runner is reopened
	// before another runner is used. The count starts anew once a connection
	// has delivered tokens for as long as SilenceTimeout.
	MaxReopens int
	// MaxFailures is the number of failures that ends a request: failed runners
	// and refused requests for a runner, counted since the last emitted token. A
	// deferrable request waits and tries again instead, unless as many runners
	// have failed while they ran it: it may be the cause.
	MaxFailures int
	// BackoffMin and BackoffMax limit the wait between two requests for a
	// runner while no runner is available.
	BackoffMin, BackoffMax time.Duration
	// RetryAfter is the retry delay that callers of failed requests are given
	// if the refusal has no delay of its own and a later attempt could succeed.
	RetryAfter time.Duration
}

// DefaultLimits returns limits for engines that send a heartbeat every second.
func DefaultLimits() Limits {
	return Limits{
		SilenceTimeout: 3 * time.Second,
		MaxReopens:     2,
		MaxFailures:    4,
		BackoffMin:     100 * time.Millisecond,
		BackoffMax:     5 * time.Second,
		RetryAfter:     2 * time.Second,
	}
}

// Spec describes a request to the state machine.
type Spec struct {
	ID        ident.RequestID
	Epoch     uint64
	MaxTokens int
	// Deadline is the time after which the answer is useless to the caller. The
	// zero time means that there is none.
	Deadline time.Time
	// Deferrable requests wait for capacity until their deadline.
	Deferrable bool
	// Emitted holds the tokens that an earlier owner is known to have emitted.
	Emitted []string
	// MayHaveRun is set if an earlier owner may have started the request at a
	// runner.
	MayHaveRun bool
	// Runner is the runner at which an earlier owner ran the request and where
	// its KV cache may still be.
	Runner ident.RunnerID
}

// phase is the stage of a request's lifecycle.
type phase int

const (
	notStarted phase = iota
	picking
	running
	waiting
	suspended
	ended
)

// Machine is the state machine of one request. It is not safe for concurrent
// use.
type Machine struct {
	spec   Spec
	limits Limits
	answer *stream.SplicedAnswer
	phase  phase

	// attemptNumber is the number of attempts started by this machine. It is
	// part of the ID of each attempt.
	attemptNumber int
	attempt       ident.AttemptID
	runner        ident.RunnerID
	lastActivity  time.Time
	// attemptStarted is the start time of the current attempt.
	attemptStarted time.Time
	// possiblyRunAttempts counts the attempts of this machine that may have
	// reached a runner, plus one if an earlier owner may have started one.
	possiblyRunAttempts int
	reopens             int
	failures            int
	// failedRuns counts the failures of runners that had begun the request,
	// since the last emitted token.
	failedRuns int
	excluded   []ident.RunnerID
	leaving    map[ident.RunnerID]bool
	// moveTarget is the runner to which the KV cache of the current attempt is
	// being moved.
	moveTarget ident.RunnerID
	retryAt    time.Time
	backoff    time.Duration
	failure    *refusal.Refusal

	effects []Effect
}

// New returns a machine that waits for the Start input.
func New(spec Spec, limits Limits) *Machine {
	m := &Machine{
		spec:    spec,
		limits:  limits,
		answer:  stream.Restore(spec.ID, spec.MaxTokens, spec.Emitted),
		leaving: map[ident.RunnerID]bool{},
	}
	if spec.MayHaveRun {
		m.possiblyRunAttempts = 1
	}
	return m
}

// NewFinished returns the machine of a request whose complete answer is known.
// The answer consists of spec.Emitted.
func NewFinished(spec Spec, finishReason string) *Machine {
	m := New(spec, Limits{})
	m.answer.Finish(finishReason)
	m.phase = ended
	return m
}

// Answer returns the output so far.
func (m *Machine) Answer() *stream.SplicedAnswer { return m.answer }

// Ended reports whether the request has its final answer or refusal, or has
// been taken over by another daemon.
func (m *Machine) Ended() bool { return m.phase == ended }

// Refusal returns the refusal with which the request ended, or nil.
func (m *Machine) Refusal() *refusal.Refusal { return m.failure }

// Runner returns the runner of the current attempt, or an empty ID if there is
// none.
func (m *Machine) Runner() ident.RunnerID {
	if m.phase != running {
		return ""
	}
	return m.runner
}

// Attempt returns the current attempt, or an empty ID if there is none.
func (m *Machine) Attempt() ident.AttemptID {
	if m.phase != running {
		return ""
	}
	return m.attempt
}

// LastRunner returns the runner of the latest attempt, or an empty ID if there
// was none.
func (m *Machine) LastRunner() ident.RunnerID {
	if m.runner == "" {
		return m.spec.Runner
	}
	return m.runner
}

// MayHaveRun reports whether any attempt may have reached a runner.
func (m *Machine) MayHaveRun() bool { return m.possiblyRunAttempts > 0 }

// MoveTarget returns the runner to which the KV cache is being moved, or an
// empty ID if no move is in progress.
func (m *Machine) MoveTarget() ident.RunnerID { return m.moveTarget }

// Step processes one input and returns the resulting effects. The slice is
// valid until the next call. Inputs after the end of the request have no
// effect.
func (m *Machine) Step(now time.Time, in Input) []Effect {
	m.effects = m.effects[:0]
	if m.phase == ended {
		return nil
	}
	switch in := in.(type) {
	case Start:
		m.start(now)
	case Picked:
		m.handlePicked(now, in.Runner)
	case PickRefused:
		m.handlePickRefused(now, in.Refusal)
	case EventArrived:
		m.handleEvent(now, in.Event)
	case StreamClosed:
		m.handleClosed(now, in)
	case Relocate:
		m.relocate(now, in)
	case Evict:
		m.evict(in)
	case CacheExported:
		m.handleExported(now, in)
	case RunnerLeaving:
		m.leaving[in.Runner] = true
	case Tick:
		m.tick(now)
	case Cancel:
		m.fail(refusal.New(refusal.Cancelled, "cancelled by the caller"))
	case Suspend:
		m.suspend()
	case Resume:
		m.resume(now)
	case Superseded:
		m.end()
		m.emit(Yielded{})
	}
	if m.phase != ended {
		m.emit(WakeAt{m.nextWake(now)})
	}
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) nextWake(now time.Time) time.Time {
	next := now.Add(time.Minute)
	switch m.phase {
	case running:
		next = m.lastActivity.Add(m.limits.SilenceTimeout)
	case waiting:
		next = m.retryAt
	}
	if d := m.spec.Deadline; !d.IsZero() && d.Before(next) {
		return d
	}
	return next
}

// requestRunner asks the router for a runner other than those that failed or
// are leaving.
func (m *Machine) requestRunner(after Cause) {
	m.phase = picking
	m.moveTarget = ""
	m.emit(Pick{Exclude: m.excludedRunners(), After: after})
}

// start uses the runner of an earlier owner first, since that runner may still
// hold the KV cache of the request.
func (m *Machine) start(now time.Time) {
	if m.phase != notStarted {
		return
	}
	if m.spec.Runner != "" {
		m.generate(now, m.spec.Runner, "")
		return
	}
	m.requestRunner("")
}

// suspend abandons the current attempt. No other attempt starts until resume.
func (m *Machine) suspend() {
	if m.phase == running {
		m.emit(AbandonAttempt{Attempt: m.attempt, Runner: m.runner})
	}
	m.answer.EndAttempt()
	m.moveTarget = ""
	m.phase = suspended
}

func (m *Machine) resume(now time.Time) {
	if m.phase != suspended {
		return
	}
	if m.runner != "" && !m.leaving[m.runner] {
		m.generate(now, m.runner, "")
		return
	}
	m.requestRunner("")
}

func (m *Machine) excludedRunners() []ident.RunnerID {
	excludedRunners := append([]ident.RunnerID(nil), m.excluded...)
	for r := range m.leaving {
		excludedRunners = append(excludedRunners, r)
	}
	return excludedRunners
}

func (m *Machine) handlePicked(now time.Time, runner ident.RunnerID) {
	if m.phase != picking {
		return
	}
	m.generate(now, runner, "")
}

// generate starts a new attempt at a runner. handle identifies a KV cache that
// was exported there, if any.
func (m *Machine) generate(now time.Time, runner ident.RunnerID, handle string) {
	m.attemptNumber++
	m.attempt = ident.AttemptID(fmt.Sprintf("%s.%d.%d", m.spec.ID, m.spec.Epoch, m.attemptNumber))
	m.runner = runner
	m.moveTarget = ""
	m.lastActivity, m.attemptStarted = now, now
	m.phase = running
	m.possiblyRunAttempts++
	m.answer.BeginAttempt(m.attempt)
	m.emit(Generate{Attempt: m.attempt, Runner: runner, Handle: handle})
}

// permanentRefusal reports whether waiting can't change the refusal.
func permanentRefusal(r refusal.Reason) bool {
	switch r {
	case refusal.BadRequest, refusal.UnknownModel, refusal.Unauthenticated, refusal.Cancelled:
		return true
	}
	return false
}

// handlePickRefused waits for capacity or ends the request. An accepted
// deferrable request waits until its deadline even if reclaims have left no
// runners, since its caller was promised an answer. Any other request is
// refused at once if it has no output yet, so that its caller can go
// elsewhere.
func (m *Machine) handlePickRefused(now time.Time, r *refusal.Refusal) {
	if m.phase != picking {
		return
	}
	m.failures++
	if permanentRefusal(r.Reason) || (!m.spec.Deferrable && m.retriesExhausted()) {
		m.fail(r)
		return
	}
	m.waitForCapacity(now, r.RetryAfter)
}

// retriesExhausted reports whether a request that can't wait must end. Without
// any output, it ends at the first lack of capacity.
func (m *Machine) retriesExhausted() bool {
	return m.answer.Offset() == 0 || m.failures >= m.limits.MaxFailures
}

// waitForCapacity delays the next request for a runner with exponential
// backoff, at least by the given time if BackoffMax allows it.
func (m *Machine) waitForCapacity(now time.Time, atLeast time.Duration) {
	m.backoff = min(max(m.backoff*2, m.limits.BackoffMin), m.limits.BackoffMax)
	m.phase = waiting
	m.retryAt = now.Add(min(max(m.backoff, atLeast), m.limits.BackoffMax))
	// A runner that failed before the wait may work again afterwards.
	m.excluded = nil
}

func (m *Machine) handleEvent(now time.Time, e stream.Event) {
	v := m.answer.Apply(e)
	if v.Dropped != "" {
		m.emit(Dropped{v.Dropped})
	}
	if v.Alive {
		m.lastActivity = now
	}
	if v.Emitted {
		m.failures, m.failedRuns, m.backoff = 0, 0, 0
		// A connection that delivers a few tokens and then falls silent is not
		// enough progress to allow further reopens.
		if now.Sub(m.attemptStarted) >= m.limits.SilenceTimeout {
			m.reopens = 0
		}
		m.emit(Emitted{})
	}
	if v.Ended {
		m.phase = ended
		m.emit(Answered{})
	}
	if v.Broken {
		m.handleAttemptFailure(now, Malformed)
	}
}

func (m *Machine) handleClosed(now time.Time, in StreamClosed) {
	if m.phase != running || in.Attempt != m.attempt {
		return
	}
	if !in.NotStarted {
		if in.Cause == Truncated && !m.leaving[m.runner] && m.reopens == 0 {
			// Reopened connections to the same runner are the same failure.
			m.failedRuns++
		}
		m.handleAttemptFailure(now, in.Cause)
		return
	}
	m.possiblyRunAttempts--
	m.answer.EndAttempt()
	m.handleRunnerFailure(now, in.Cause)
}

// handleAttemptFailure reopens the connection to the same runner up to
// MaxReopens times. A connection can be lost between the two ends while the
// runner works and still holds the KV cache of the request. Another runner
// would have to recompute that cache.
func (m *Machine) handleAttemptFailure(now time.Time, cause Cause) {
	m.emit(AbandonAttempt{Attempt: m.attempt, Runner: m.runner, Cause: cause})
	m.answer.EndAttempt()
	if m.moveTarget != "" {
		m.generate(now, m.moveTarget, "")
		return
	}
	if m.reopens < m.limits.MaxReopens && !m.leaving[m.runner] && cause != EngineError {
		m.reopens++
		m.generate(now, m.runner, "")
		return
	}
	m.handleRunnerFailure(now, cause)
}

// handleRunnerFailure excludes the current runner and continues at another
// one, waits, or ends the request once MaxFailures is reached.
func (m *Machine) handleRunnerFailure(now time.Time, cause Cause) {
	m.reopens = 0
	m.excluded = append(m.excluded, m.runner)
	if m.moveTarget != "" {
		m.generate(now, m.moveTarget, "")
		return
	}
	if cause != Preempted && !m.leaving[m.runner] {
		m.failures++
	}
	if m.failures < m.limits.MaxFailures {
		m.requestRunner(cause)
		return
	}
	if m.spec.Deferrable && m.failedRuns < m.limits.MaxFailures {
		m.waitForCapacity(now, 0)
		return
	}
	m.fail(refusal.New(refusal.RunnerFailed, "%d runners failed, the last one: %s", m.failures, cause))
}

func (m *Machine) relocate(now time.Time, in Relocate) {
	if m.phase != running || in.Attempt != m.attempt || in.Target == m.runner {
		return
	}
	m.leaving[m.runner] = true
	delete(m.leaving, in.Target)
	if in.Export {
		m.moveTarget = in.Target
		m.emit(ExportCache{Attempt: m.attempt, From: m.runner, To: in.Target})
		return
	}
	m.switchTo(now, in.Target, "", Preempted)
}

func (m *Machine) evict(in Evict) {
	if m.phase != running || in.Attempt != m.attempt {
		return
	}
	m.emit(AbandonAttempt{Attempt: m.attempt, Runner: m.runner, Cause: Preempted})
	m.answer.EndAttempt()
	m.leaving[m.runner] = true
	m.requestRunner(Preempted)
}

// handleExported switches to the target with the exported KV cache, or without
// it if the export failed. It ignores results of exports that a later
// relocation replaced or whose attempt has ended.
func (m *Machine) handleExported(now time.Time, in CacheExported) {
	if m.phase != running || in.Attempt != m.attempt || in.Target != m.moveTarget {
		return
	}
	cause := Preempted
	if in.Handle == "" {
		cause = ExportFailed
	}
	m.switchTo(now, in.Target, in.Handle, cause)
}

// switchTo abandons the current attempt and starts another one at the target.
func (m *Machine) switchTo(now time.Time, target ident.RunnerID, handle string, cause Cause) {
	m.emit(AbandonAttempt{Attempt: m.attempt, Runner: m.runner, Cause: cause})
	m.reopens = 0
	m.generate(now, target, handle)
}

func (m *Machine) tick(now time.Time) {
	if d := m.spec.Deadline; !d.IsZero() && !now.Before(d) {
		m.fail(refusal.New(refusal.DeadlineExceeded, "not answered by its deadline"))
		return
	}
	switch {
	case m.phase == waiting && !now.Before(m.retryAt):
		m.requestRunner(NoCapacity)
	case m.phase == running && !now.Before(m.lastActivity.Add(m.limits.SilenceTimeout)):
		m.handleAttemptFailure(now, Silent)
	}
}

// fail ends the request with a refusal in the same step, since a delayed
// refusal would leave the caller waiting for nothing. The refusal says "not
// executed" only if no attempt can have reached a runner.
func (m *Machine) fail(r *refusal.Refusal) {
	failure := *r
	if m.possiblyRunAttempts > 0 {
		failure.Executed = refusal.ExecutedUnknown
	}
	if failure.RetryAfter == 0 && !permanentRefusal(failure.Reason) {
		failure.RetryAfter = m.limits.RetryAfter
	}
	m.end()
	m.failure = &failure
	m.emit(Failed{&failure})
}

func (m *Machine) end() {
	if m.phase == running {
		m.emit(AbandonAttempt{Attempt: m.attempt, Runner: m.runner})
	}
	m.answer.EndAttempt()
	m.phase = ended
}
