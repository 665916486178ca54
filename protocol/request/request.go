// Package request is the life of one accepted model request as a pure state
// machine: attempts at runners, silence, resumption at the offset, moves off
// leaving runners, retries, and the one final answer. Inputs come with the
// time; effects are for the driver.
package request

import (
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/protocol/stream"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Limits bound how long and how often a request tries.
type Limits struct {
	// SilenceTimeout is how long an engine's connection may carry nothing. Engines
	// send a heartbeat each second.
	SilenceTimeout time.Duration
	// MaxReopens is how often a connection is opened anew to the same runner before the
	// runner is given up on. One that brings tokens for as long as Silence forgives
	// those before.
	MaxReopens int
	// MaxFailures is how many runners may fail a request without progress; a
	// deferrable one is not bound by it.
	MaxFailures int
	// BackoffMin and BackoffMax bound the wait for capacity.
	BackoffMin, BackoffMax time.Duration
	// RetryAfter is told to callers whose request was given up on.
	RetryAfter time.Duration
}

// DefaultLimits fit engines that send a heartbeat each second.
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

// Spec is what the machine must know of a request.
type Spec struct {
	ID        ident.RequestID
	Epoch     uint64
	MaxTokens int
	// Deadline is when the answer is of no more use; zero is never.
	Deadline time.Time
	// Deferrable requests wait for capacity until their deadline.
	Deferrable bool
	// Emitted are the tokens that an earlier owner is known to have emitted.
	Emitted []string
	// MayHaveRun says that an earlier owner may have started it.
	MayHaveRun bool
	// Runner is where an earlier owner ran it: its KV cache may be there.
	Runner ident.RunnerID
}

type phase int

const (
	notStarted phase = iota
	picking
	running
	waiting
	suspended
	over
)

// Machine is one request. It is not safe for concurrent use.
type Machine struct {
	spec   Spec
	limits Limits
	answer *stream.Splice
	phase  phase

	attempts     int
	attempt      ident.AttemptID
	runner       ident.RunnerID
	lastActivity time.Time
	// attemptStarted is when the current attempt did.
	attemptStarted time.Time
	// startedAttempts counts the attempts that may have run.
	startedAttempts int
	reopens         int
	failures        int
	excluded        []ident.RunnerID
	leaving         map[ident.RunnerID]bool
	// moveTarget is where the current attempt's KV cache is being moved.
	moveTarget ident.RunnerID
	retryAt    time.Time
	backoff    time.Duration
	failure    *refusal.Refusal

	effects []Effect
}

// New returns a machine that waits for Start.
func New(spec Spec, limits Limits) *Machine {
	m := &Machine{
		spec:    spec,
		limits:  limits,
		answer:  stream.Restore(spec.ID, spec.MaxTokens, spec.Emitted),
		leaving: map[ident.RunnerID]bool{},
	}
	if spec.MayHaveRun {
		m.startedAttempts = 1
	}
	return m
}

// NewFinished returns the machine of a request whose whole answer is known.
func NewFinished(spec Spec, finishReason string) *Machine {
	m := New(spec, Limits{})
	m.answer.Finish(finishReason)
	m.phase = over
	return m
}

// Answer is the output so far.
func (m *Machine) Answer() *stream.Splice { return m.answer }

// Ended tells whether the request has its final answer or is run elsewhere.
func (m *Machine) Ended() bool { return m.phase == over }

// Refusal is why the request was given up on; nil if it was not.
func (m *Machine) Refusal() *refusal.Refusal { return m.failure }

// Runner is where the current attempt runs; empty if none does.
func (m *Machine) Runner() ident.RunnerID {
	if m.phase != running {
		return ""
	}
	return m.runner
}

// Attempt is the current attempt; empty if there is none.
func (m *Machine) Attempt() ident.AttemptID {
	if m.phase != running {
		return ""
	}
	return m.attempt
}

// LastRunner is where the latest attempt ran; empty if there was none.
func (m *Machine) LastRunner() ident.RunnerID {
	if m.runner == "" {
		return m.spec.Runner
	}
	return m.runner
}

// MayHaveRun tells whether an attempt can have reached a runner.
func (m *Machine) MayHaveRun() bool { return m.startedAttempts > 0 }

// MoveTarget is where the KV cache is being moved; empty if it is not.
func (m *Machine) MoveTarget() ident.RunnerID { return m.moveTarget }

// Step takes one input and returns what is to be done; the slice is good until
// the next call. Inputs after the final answer have no effect.
func (m *Machine) Step(now time.Time, in Input) []Effect {
	m.effects = m.effects[:0]
	if m.phase == over {
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
	if m.phase != over {
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

func (m *Machine) requestRunner(after Cause) {
	m.phase = picking
	m.moveTarget = ""
	m.emit(Pick{Exclude: m.excludedRunners(), After: after})
}

// start goes first to the runner of an earlier owner, which may still hold the
// request's KV cache.
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

func (m *Machine) suspend() {
	if m.phase == running {
		m.emit(AbandonAttempt{Attempt: m.attempt, Runner: m.runner})
	}
	m.answer.Stop()
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

func (m *Machine) generate(now time.Time, runner ident.RunnerID, handle string) {
	m.attempts++
	m.attempt = ident.AttemptID(fmt.Sprintf("%s.%d.%d", m.spec.ID, m.spec.Epoch, m.attempts))
	m.runner = runner
	m.moveTarget = ""
	m.lastActivity, m.attemptStarted = now, now
	m.phase = running
	m.startedAttempts++
	m.answer.Begin(m.attempt)
	m.emit(Generate{Attempt: m.attempt, Runner: runner, Handle: handle})
}

// permanentRefusal refusals stay the same however long the request waits.
func permanentRefusal(r refusal.Reason) bool {
	switch r {
	case refusal.BadRequest, refusal.UnknownModel, refusal.Unauthenticated, refusal.Cancelled:
		return true
	}
	return false
}

// handlePickRefused waits or ends the request. An accepted deferrable request was
// promised its answer: dropping it because a wave of reclaims left no capacity
// would break the promise, so it waits until its deadline. Any other is told
// at once, so that its caller can go elsewhere.
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

// retriesExhausted bounds the tries of requests that don't wait. One without any
// output is told of a lack of capacity at once.
func (m *Machine) retriesExhausted() bool {
	return m.answer.Offset() == 0 || m.failures >= m.limits.MaxFailures
}

func (m *Machine) waitForCapacity(now time.Time, atLeast time.Duration) {
	m.backoff = min(max(m.backoff*2, m.limits.BackoffMin), m.limits.BackoffMax)
	m.phase = waiting
	m.retryAt = now.Add(min(max(m.backoff, atLeast), m.limits.BackoffMax))
	// A runner that failed before the wait may be well after it.
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
		m.failures, m.backoff = 0, 0
		// A few tokens on each connection before it falls silent are no progress that
		// a caller could wait for.
		if now.Sub(m.attemptStarted) >= m.limits.SilenceTimeout {
			m.reopens = 0
		}
		m.emit(Emitted{})
	}
	if v.Ended {
		m.phase = over
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
		m.handleAttemptFailure(now, in.Cause)
		return
	}
	m.startedAttempts--
	m.answer.Stop()
	m.handleRunnerFailure(now, in.Cause)
}

// handleAttemptFailure opens a new connection to the same runner, a bounded number of
// times: something between the two ends can lose track of a connection while
// the runner is well and holds the request's KV cache, and going elsewhere
// would compute it all again.
func (m *Machine) handleAttemptFailure(now time.Time, cause Cause) {
	m.emit(AbandonAttempt{Attempt: m.attempt, Runner: m.runner, Cause: cause})
	m.answer.Stop()
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
	if m.spec.Deferrable {
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
	m.answer.Stop()
	m.leaving[m.runner] = true
	m.requestRunner(Preempted)
}

// handleExported switches to the target, with or without the KV cache. An answer to
// an export that a later plan replaced, or whose attempt is over, is ignored.
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

// fail ends the request now: a refusal that is held back until some later
// step would leave the caller waiting for nothing. It says executed "no" only
// if no attempt can have reached a runner.
func (m *Machine) fail(r *refusal.Refusal) {
	failure := *r
	if m.startedAttempts > 0 {
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
	m.answer.Stop()
	m.phase = over
}
