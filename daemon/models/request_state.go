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

// attempt is an open engine stream.
type attempt struct {
	cancel       context.CancelFunc
	choice       Choice
	startOffset  int
	cachedTokens int
	started      time.Time
}

// requestState is a request that this daemon runs, or that has ended and is
// kept for late readers.
type requestState struct {
	m        *Models
	req      call.ModelRequest
	spec     request.Spec
	service  string
	priority int
	// recorded is true if a second daemon stores a record of the request.
	recorded bool
	ctx      context.Context
	cancel   context.CancelFunc

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
	l := &requestState{
		m:        m,
		req:      r,
		service:  service,
		priority: class.Priority,
		recorded: class.Deferrable || r.Async,
		ctx:      ctx,
		cancel:   cancel,
		changed:  make(chan struct{}),
		attempts: map[ident.AttemptID]*attempt{},
		choices:  map[ident.RunnerID]Choice{},
		spec: request.Spec{
			ID:         r.ID,
			Epoch:      1,
			MaxTokens:  r.MaxTokens,
			Deadline:   r.Deadline,
			Deferrable: class.Deferrable,
		},
	}
	l.machine = request.New(l.spec, m.c.Limits.Request)
	return l
}

func (m *Models) start(l *requestState) {
	if !l.spec.Deferrable || l.release != nil {
		l.step(request.Start{})
		return
	}
	m.spawn(func() { l.acquireAndStart() })
}

// acquireAndStart acquires capacity for an accepted deferrable request and
// starts it. It retries with backoff until it succeeds, because an accepted
// deferrable request must not be refused for lack of capacity.
func (l *requestState) acquireAndStart() {
	backoff := l.m.c.Limits.Request.BackoffMin
	l.step(request.Tick{}) // schedules the timer for the deadline, which ends the wait
	for {
		release, err := l.m.c.Picker.Acquire(l.ctx, l.req)
		if err == nil {
			l.mu.Lock()
			l.release = release
			l.mu.Unlock()
			l.step(request.Start{})
			return
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(backoff):
			backoff = min(2*backoff, l.m.c.Limits.Request.BackoffMax)
		}
	}
}

func (l *requestState) releaseCapacity() {
	l.mu.Lock()
	release := l.release
	l.release = nil
	l.mu.Unlock()
	if release != nil {
		release()
	}
}

// step passes an input to the state machine and applies the resulting effects.
// None of the effects blocks.
func (l *requestState) step(in request.Input) {
	if l.m.ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	for _, e := range l.machine.Step(time.Now(), in) {
		l.applyEffect(e)
	}
	justEnded := l.machine.Ended() && l.ended.IsZero()
	if justEnded {
		l.ended = time.Now()
		l.stopTimers()
		l.cancel()
	}
	l.mu.Unlock()
	if justEnded {
		l.releaseCapacity()
		l.m.retain(l)
	}
}

func (l *requestState) stopTimers() {
	for _, t := range []*time.Timer{l.timer, l.planTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

// applyEffect executes an effect of the state machine. The caller holds l.mu.
func (l *requestState) applyEffect(e request.Effect) {
	switch e := e.(type) {
	case request.Pick:
		pickJob := l.pickJob(e)
		l.m.spawn(func() { l.pick(pickJob) })
	case request.Generate:
		l.generate(e)
	case request.AbandonAttempt:
		l.abandon(e)
	case request.ExportCache:
		l.m.spawn(func() { l.exportCache(e) })
	case request.Emitted:
		l.notifyReaders()
	case request.Dropped:
		l.m.count("stream.dropped." + string(e.Reason))
	case request.Answered:
		l.m.count("requests.answered." + l.req.Class)
		l.endAttempt(l.answeredAttempt(), true, "")
		l.notifyReaders()
	case request.Failed:
		l.m.count("requests.given_up." + string(e.Refusal.Reason))
		l.notifyReaders()
	case request.Yielded:
		l.m.count("requests.yielded")
		l.notifyReaders()
	case request.WakeAt:
		l.scheduleTick(e.Time)
	}
}

func (l *requestState) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// scheduleTick makes sure that the state machine gets a tick at time t at the
// latest. A timer that fires earlier is left running: the machine accepts a
// tick at any time, and stopping the timer for every token, each of which moves
// t a little later, would be wasted work.
func (l *requestState) scheduleTick(t time.Time) {
	if !l.timerAt.IsZero() && !l.timerAt.After(t) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timerAt = t
	l.timer = time.AfterFunc(time.Until(t), l.tick)
}

func (l *requestState) tick() {
	l.mu.Lock()
	l.timerAt = time.Time{}
	l.mu.Unlock()
	l.step(request.Tick{})
}

func (l *requestState) pickJob(p request.Pick) Job {
	return Job{
		Request: l.req,
		Service: l.service,
		Offset:  l.machine.Answer().Offset(),
		Emitted: l.machine.Answer().TokensFrom(0),
		Exclude: p.Exclude,
		After:   p.After,
	}
}

func (l *requestState) pick(j Job) {
	if j.After != "" {
		l.m.count("requests.retry." + string(j.After))
	}
	choice, err := l.m.c.Picker.Pick(l.ctx, j)
	if err != nil {
		l.step(request.PickRefused{Refusal: refusal.From(err)})
		return
	}
	l.mu.Lock()
	l.choices[choice.Runner] = choice
	l.mu.Unlock()
	l.step(request.Picked{Runner: choice.Runner})
}

func (l *requestState) generate(g request.Generate) {
	ctx, cancel := context.WithCancel(l.ctx)
	choice := l.choice(g.Runner)
	answer := l.machine.Answer()
	l.attempts[g.Attempt] = &attempt{cancel: cancel, choice: choice, startOffset: answer.Offset(), started: time.Now()}
	req := engineapi.GenerateRequest{
		RequestID:      string(l.req.ID),
		AttemptID:      string(g.Attempt),
		Model:          l.req.Model,
		Adapter:        l.req.Adapter,
		Prompt:         l.req.Prompt,
		Emitted:        answer.TokensFrom(0),
		MaxTokens:      l.req.MaxTokens,
		Priority:       l.priority,
		ImportedHandle: g.Handle,
	}
	l.m.c.Picker.Started(l.pickJob(request.Pick{}), choice)
	l.m.spawn(func() { l.runAttempt(ctx, g.Attempt, choice, req) })
}

// choice returns the runner with its address. The address is empty if the
// runner is no longer known.
func (l *requestState) choice(id ident.RunnerID) Choice {
	if c, ok := l.choices[id]; ok {
		return c
	}
	for _, r := range l.m.c.Directory.Runners(l.service) {
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

func (l *requestState) runAttempt(ctx context.Context, id ident.AttemptID, choice Choice, req engineapi.GenerateRequest) {
	err := error(&UnknownAddressError{Runner: choice.Runner})
	if choice.Address != "" {
		err = l.m.c.Engines.Generate(ctx, choice.Address, req, func(e engineapi.GenerateEvent) error {
			return l.handleEvent(id, e)
		})
	}
	if ctx.Err() != nil {
		return
	}
	if refusedAsLeaving(err) {
		l.m.c.Directory.NoteLeaving(choice.Address, 0)
	}
	in := request.StreamClosed{Attempt: id, Cause: closeCause(err), NotStarted: notStarted(err)}
	l.mu.Lock()
	l.endAttempt(id, false, in.Cause)
	l.mu.Unlock()
	l.step(in)
}

func (l *requestState) handleEvent(id ident.AttemptID, e engineapi.GenerateEvent) error {
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
		l.mu.Lock()
		if a := l.attempts[id]; a != nil {
			a.cachedTokens = e.CachedTokens
		}
		l.mu.Unlock()
	}
	l.step(request.EventArrived{Event: stream.Event{
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

func (l *requestState) answeredAttempt() ident.AttemptID {
	return l.machine.Answer().Attempt()
}

// endAttempt removes the attempt, closes its stream and reports its end to the
// Picker. The caller holds l.mu.
func (l *requestState) endAttempt(id ident.AttemptID, answered bool, cause request.Cause) {
	a, ok := l.attempts[id]
	if !ok {
		return
	}
	delete(l.attempts, id)
	a.cancel()
	l.m.c.Picker.Ended(l.pickJob(request.Pick{}), AttemptResult{
		Runner:       a.choice.Runner,
		Address:      a.choice.Address,
		Answered:     answered,
		Cause:        cause,
		Tokens:       l.machine.Answer().Offset() - a.startOffset,
		CachedTokens: a.cachedTokens,
	})
}

// abandon closes the attempt's connection and cancels the attempt at the
// runner, which would otherwise go on computing tokens that nobody reads.
func (l *requestState) abandon(e request.AbandonAttempt) {
	if e.Cause != "" {
		l.m.count("attempts.abandoned." + string(e.Cause))
	}
	choice := l.choice(e.Runner)
	l.endAttempt(e.Attempt, false, e.Cause)
	if choice.Address == "" {
		return
	}
	l.m.spawn(func() {
		ctx, cancel := context.WithTimeout(l.m.ctx, cancelTimeout)
		defer cancel()
		err := l.m.c.Engines.Cancel(ctx, choice.Address, engineapi.CancelRequest{AttemptID: string(e.Attempt)})
		if err != nil {
			l.m.count("attempts.cancel_failed")
		}
	})
}

func (l *requestState) exportCache(e request.ExportCache) {
	handle, err := l.transferCache(e)
	if err != nil {
		l.m.count("attempts.export_failed")
	}
	l.step(request.CacheExported{Attempt: e.Attempt, Target: e.To, Handle: handle})
}

func (l *requestState) transferCache(e request.ExportCache) (string, error) {
	l.mu.Lock()
	from, to := l.choice(e.From), l.choice(e.To)
	l.mu.Unlock()
	exported, err := l.m.c.Engines.Export(l.ctx, from.Address, engineapi.ExportRequest{AttemptID: string(e.Attempt)})
	if err != nil {
		return "", fmt.Errorf("export KV cache from runner %s: %w", e.From, err)
	}
	imported, err := l.m.c.Engines.Import(l.ctx, to.Address, engineapi.ImportRequest{Source: from.Address, Handle: exported.Handle})
	if err != nil {
		return "", fmt.Errorf("import KV cache at runner %s: %w", e.To, err)
	}
	return imported.Handle, nil
}
