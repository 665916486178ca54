package models

import (
	"context"
	"fmt"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/protocol/stream"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

var cancelInput = request.Cancel{}

const (
	cancelTimeout = 2 * time.Second
	// finishCancelled is the finish reason that engines send for a cancelled
	// attempt.
	finishCancelled = "cancelled"
)

// attempt is one try to answer a request at a runner, from the call to the
// runner's engine until the stream of that call is closed.
type attempt struct {
	cancel       context.CancelFunc
	choice       Choice
	startOffset  int
	cachedTokens int
	started      time.Time
}

// requestState is the state of a request that this daemon runs, or that has
// ended and is kept for late readers.
type requestState struct {
	m        *Models
	req      call.ModelRequest
	spec     request.Spec
	service  string
	priority int
	// needsRecord is true if a record of the request must be stored at a second
	// daemon: the request is deferrable or asynchronous, or was adopted.
	needsRecord bool
	ctx         context.Context
	cancel      context.CancelFunc

	mu       sync.Mutex
	machine  *request.Machine
	changed  chan struct{}
	timer    *time.Timer
	timerAt  time.Time // when timer fires; zero if the timer is not running
	attempts map[ident.AttemptID]*attempt
	choices  map[ident.RunnerID]Choice
	release  func()
	// movedTo is the daemon that now runs the request; it is empty while this
	// daemon runs the request.
	movedTo ident.Incarnation
	ended   time.Time
	// plan is the decision for the current attempt when its runner is
	// reclaimed; planTimer carries the decision out.
	plan      reclaimPlan
	planTimer *time.Timer
}

func (m *Models) newRequestState(r call.ModelRequest, service string, class manifest.Class) *requestState {
	ctx, cancel := context.WithCancel(m.ctx)
	rs := &requestState{
		m:           m,
		req:         r,
		service:     service,
		priority:    class.Priority,
		needsRecord: class.Deferrable || r.Async,
		ctx:         ctx,
		cancel:      cancel,
		changed:     make(chan struct{}),
		attempts:    map[ident.AttemptID]*attempt{},
		choices:     map[ident.RunnerID]Choice{},
		spec: request.Spec{
			ID:         r.ID,
			Epoch:      1,
			MaxTokens:  r.MaxTokens,
			Deadline:   r.Deadline,
			Deferrable: class.Deferrable,
		},
	}
	rs.machine = request.New(rs.spec, m.c.Limits.Request)
	return rs
}

func (m *Models) start(rs *requestState) {
	if !rs.spec.Deferrable || rs.release != nil {
		rs.step(request.Start{})
		return
	}
	m.spawn(func() { rs.acquireAndStart() })
}

// acquireAndStart acquires capacity for an accepted deferrable request and
// starts it. It retries with backoff until it succeeds, because an accepted
// deferrable request must not be refused for lack of capacity.
func (rs *requestState) acquireAndStart() {
	backoff := rs.m.c.Limits.Request.BackoffMin
	rs.step(request.Tick{}) // schedules the timer for the deadline, which ends the wait
	for {
		release, err := rs.m.c.Picker.Acquire(rs.ctx, rs.req)
		if err == nil {
			rs.mu.Lock()
			rs.release = release
			rs.mu.Unlock()
			rs.step(request.Start{})
			return
		}
		select {
		case <-rs.ctx.Done():
			return
		case <-time.After(backoff):
			backoff = min(2*backoff, rs.m.c.Limits.Request.BackoffMax)
		}
	}
}

func (rs *requestState) releaseCapacity() {
	rs.mu.Lock()
	release := rs.release
	rs.release = nil
	rs.mu.Unlock()
	if release != nil {
		release()
	}
}

// step passes an input to the state machine and applies the resulting effects.
// None of the effects blocks.
func (rs *requestState) step(in request.Input) {
	if rs.m.ctx.Err() != nil {
		return
	}
	rs.mu.Lock()
	for _, e := range rs.machine.Step(time.Now(), in) {
		rs.applyEffect(e)
	}
	justEnded := rs.machine.Ended() && rs.ended.IsZero()
	if justEnded {
		rs.ended = time.Now()
		rs.stopTimers()
		rs.cancel()
	}
	rs.mu.Unlock()
	if justEnded {
		rs.releaseCapacity()
		rs.m.retain(rs)
	}
}

func (rs *requestState) stopTimers() {
	for _, t := range []*time.Timer{rs.timer, rs.planTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

// applyEffect executes an effect of the state machine. The caller holds rs.mu.
func (rs *requestState) applyEffect(e request.Effect) {
	switch e := e.(type) {
	case request.Pick:
		pickJob := rs.pickJob(e)
		rs.m.spawn(func() { rs.pick(pickJob) })
	case request.Generate:
		rs.generate(e)
	case request.AbandonAttempt:
		rs.abandon(e)
	case request.ExportCache:
		rs.m.spawn(func() { rs.exportCache(e) })
	case request.Emitted:
		rs.notifyReaders()
	case request.Dropped:
		rs.m.count("stream.dropped." + string(e.Reason))
	case request.Answered:
		rs.m.count("requests.answered." + rs.req.Class)
		rs.endAttempt(rs.answeredAttempt(), true, "")
		rs.notifyReaders()
	case request.Failed:
		rs.m.count("requests.given_up." + string(e.Refusal.Reason))
		rs.notifyReaders()
	case request.Yielded:
		rs.m.count("requests.yielded")
		rs.notifyReaders()
	case request.WakeAt:
		rs.scheduleTick(e.Time)
	}
}

func (rs *requestState) notifyReaders() {
	close(rs.changed)
	rs.changed = make(chan struct{})
}

// scheduleTick makes sure that the state machine gets a tick at time t at the
// latest. A timer that fires earlier is left running: the machine accepts a
// tick at any time, and stopping the timer for every token, each of which moves
// t a little later, would be wasted work.
func (rs *requestState) scheduleTick(t time.Time) {
	if !rs.timerAt.IsZero() && !rs.timerAt.After(t) {
		return
	}
	if rs.timer != nil {
		rs.timer.Stop()
	}
	rs.timerAt = t
	rs.timer = time.AfterFunc(time.Until(t), rs.tick)
}

func (rs *requestState) tick() {
	rs.mu.Lock()
	rs.timerAt = time.Time{}
	rs.mu.Unlock()
	rs.step(request.Tick{})
}

// pickJob returns the input of the Picker. The caller holds rs.mu.
func (rs *requestState) pickJob(p request.Pick) Job {
	return Job{
		Request: rs.req,
		Service: rs.service,
		Offset:  rs.machine.Answer().Offset(),
		Emitted: rs.machine.Answer().TokensFrom(0),
		Exclude: p.Exclude,
		After:   p.After,
	}
}

func (rs *requestState) pick(j Job) {
	if j.After != "" {
		rs.m.count("requests.retry." + string(j.After))
	}
	choice, err := rs.m.c.Picker.Pick(rs.ctx, j)
	if err != nil {
		rs.step(request.PickRefused{Refusal: refusal.From(err)})
		return
	}
	rs.mu.Lock()
	rs.choices[choice.Runner] = choice
	rs.mu.Unlock()
	rs.step(request.Picked{Runner: choice.Runner})
}

func (rs *requestState) generate(g request.Generate) {
	ctx, cancel := context.WithCancel(rs.ctx)
	choice := rs.choice(g.Runner)
	answer := rs.machine.Answer()
	rs.attempts[g.Attempt] = &attempt{cancel: cancel, choice: choice, startOffset: answer.Offset(), started: time.Now()}
	req := engineapi.GenerateRequest{
		RequestID:      string(rs.req.ID),
		AttemptID:      string(g.Attempt),
		Model:          rs.req.Model,
		Adapter:        rs.req.Adapter,
		Prompt:         rs.req.Prompt,
		Emitted:        answer.TokensFrom(0),
		MaxTokens:      rs.req.MaxTokens,
		Priority:       rs.priority,
		ImportedHandle: g.Handle,
	}
	rs.m.c.Picker.Started(rs.pickJob(request.Pick{}), choice)
	rs.m.spawn(func() { rs.runAttempt(ctx, g.Attempt, choice, req) })
}

// choice returns the runner with its address. The address is empty if the
// runner is no longer known.
func (rs *requestState) choice(id ident.RunnerID) Choice {
	if c, ok := rs.choices[id]; ok {
		return c
	}
	for _, r := range rs.m.c.Directory.Runners(rs.service) {
		if r.ID == id {
			return Choice{Runner: id, Address: r.Address}
		}
	}
	return Choice{Runner: id}
}

// EngineFailedError is a failure of an attempt that the engine itself reported
// in its stream.
type EngineFailedError struct{ Detail string }

func (e *EngineFailedError) Error() string { return "engine reported a failure: " + e.Detail }

// UnknownAddressError is returned when a runner is no longer in the directory.
type UnknownAddressError struct{ Runner ident.RunnerID }

func (e *UnknownAddressError) Error() string {
	return fmt.Sprintf("no address known for runner %q", e.Runner)
}

// MayHaveStarted returns false: no request was sent to the runner.
func (e *UnknownAddressError) MayHaveStarted() bool { return false }

func (rs *requestState) runAttempt(ctx context.Context, id ident.AttemptID, choice Choice, req engineapi.GenerateRequest) {
	err := error(&UnknownAddressError{Runner: choice.Runner})
	if choice.Address != "" {
		err = rs.m.c.Engines.Generate(ctx, choice.Address, req, func(e engineapi.GenerateEvent) error {
			return rs.handleEvent(id, e)
		})
	}
	if ctx.Err() != nil {
		return
	}
	if refusedAsLeaving(err) {
		rs.m.c.Directory.NoteRunnerLeaving(choice.Address, 0)
	}
	in := request.StreamClosed{Attempt: id, Cause: closeCause(err), NotStarted: notStarted(err)}
	rs.mu.Lock()
	rs.endAttempt(id, false, in.Cause)
	rs.mu.Unlock()
	rs.step(in)
}

func (rs *requestState) handleEvent(id ident.AttemptID, e engineapi.GenerateEvent) error {
	if e.Error != "" {
		return &EngineFailedError{Detail: e.Error}
	}
	if e.Done && e.FinishReason == finishCancelled {
		// A runner that cancels an attempt on its own ends the stream without
		// an error. Without this check the partial answer would count as
		// complete.
		return &EngineFailedError{Detail: "attempt cancelled"}
	}
	if e.CachedTokens > 0 {
		rs.mu.Lock()
		if a := rs.attempts[id]; a != nil {
			a.cachedTokens = e.CachedTokens
		}
		rs.mu.Unlock()
	}
	rs.step(request.EventArrived{Event: stream.Event{
		Request:      ident.RequestID(e.RequestID),
		Attempt:      ident.AttemptID(e.AttemptID),
		Offset:       e.Offset,
		Token:        e.Token,
		Heartbeat:    e.Heartbeat,
		Done:         e.Done,
		FinishReason: e.FinishReason,
	}})
	return nil
}

func (rs *requestState) answeredAttempt() ident.AttemptID {
	return rs.machine.Answer().Attempt()
}

// endAttempt removes the attempt, closes its stream and reports its end to the
// Picker. The caller holds rs.mu.
func (rs *requestState) endAttempt(id ident.AttemptID, answered bool, cause request.Cause) {
	a, ok := rs.attempts[id]
	if !ok {
		return
	}
	delete(rs.attempts, id)
	a.cancel()
	rs.m.c.Picker.Ended(rs.pickJob(request.Pick{}), AttemptResult{
		Runner:       a.choice.Runner,
		Address:      a.choice.Address,
		Answered:     answered,
		Cause:        cause,
		Tokens:       rs.machine.Answer().Offset() - a.startOffset,
		CachedTokens: a.cachedTokens,
	})
}

// abandon closes the attempt's connection and cancels the attempt at the
// runner, which would otherwise go on computing tokens that nobody reads.
func (rs *requestState) abandon(e request.AbandonAttempt) {
	if e.Cause != "" {
		rs.m.count("attempts.abandoned." + string(e.Cause))
	}
	choice := rs.choice(e.Runner)
	rs.endAttempt(e.Attempt, false, e.Cause)
	if choice.Address == "" {
		return
	}
	rs.m.spawn(func() {
		ctx, cancel := context.WithTimeout(rs.m.ctx, cancelTimeout)
		defer cancel()
		err := rs.m.c.Engines.Cancel(ctx, choice.Address, engineapi.CancelRequest{AttemptID: string(e.Attempt)})
		if err != nil {
			rs.m.count("attempts.cancel_failed")
		}
	})
}

func (rs *requestState) exportCache(e request.ExportCache) {
	handle, err := rs.transferCache(e)
	if err != nil {
		rs.m.count("attempts.export_failed")
	}
	rs.step(request.CacheExported{Attempt: e.Attempt, Target: e.To, Handle: handle})
}

func (rs *requestState) transferCache(e request.ExportCache) (string, error) {
	rs.mu.Lock()
	from, to := rs.choice(e.From), rs.choice(e.To)
	rs.mu.Unlock()
	exported, err := rs.m.c.Engines.Export(rs.ctx, from.Address, engineapi.ExportRequest{AttemptID: string(e.Attempt)})
	if err != nil {
		return "", fmt.Errorf("export KV cache from runner %s: %w", e.From, err)
	}
	imported, err := rs.m.c.Engines.Import(rs.ctx, to.Address, engineapi.ImportRequest{Source: from.Address, Handle: exported.Handle})
	if err != nil {
		return "", fmt.Errorf("import KV cache at runner %s: %w", e.To, err)
	}
	return imported.Handle, nil
}
