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
	// finishCancelled is the engines' finish reason of a cancelled attempt.
	finishCancelled = "cancelled"
)

// attempt is one open engine stream.
type attempt struct {
	cancel  context.CancelFunc
	choice  Choice
	from    int
	cached  int
	started time.Time
}

// live is one request at this daemon, in progress or kept for late readers.
type live struct {
	m        *Models
	req      call.ModelRequest
	spec     request.Spec
	service  string
	priority int
	// recorded requests have a record at a second daemon.
	recorded bool
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	machine  *request.Machine
	changed  chan struct{}
	timer    *time.Timer
	wakes    time.Time // when timer fires; zero if it is not pending
	attempts map[ident.AttemptID]*attempt
	choices  map[ident.RunnerID]Choice
	release  func()
	// movedTo runs the request instead of this daemon.
	movedTo ident.Incarnation
	ended   time.Time
	// plan is what a reclaim's plan decided, follows the timer to do it.
	plan    planned
	follows *time.Timer
}

func (m *Models) newLive(r call.ModelRequest, service string, class manifest.Class) *live {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &live{
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

func (m *Models) start(l *live) {
	if !l.spec.Deferrable || l.release != nil {
		l.step(request.Start{})
		return
	}
	m.spawn(func() { l.acquireAndStart() })
}

// acquireAndStart waits for the request's share of the capacity: accepted
// deferrable work is not refused for a lack of it.
func (l *live) acquireAndStart() {
	backoff := l.m.c.Limits.Request.BackoffMin
	l.step(request.Tick{}) // so that its deadline ends the wait
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

func (l *live) free() {
	l.mu.Lock()
	release := l.release
	l.release = nil
	l.mu.Unlock()
	if release != nil {
		release()
	}
}

// step feeds the machine and carries out its effects, none of which blocks.
func (l *live) step(in request.Input) {
	if l.m.ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	for _, e := range l.machine.Step(time.Now(), in) {
		l.carryOut(e)
	}
	over := l.machine.Ended() && l.ended.IsZero()
	if over {
		l.ended = time.Now()
		l.stopTimers()
		l.cancel()
	}
	l.mu.Unlock()
	if over {
		l.free()
		l.m.retire(l)
	}
}

func (l *live) stopTimers() {
	for _, t := range []*time.Timer{l.timer, l.follows} {
		if t != nil {
			t.Stop()
		}
	}
}

// carryOut runs with l.mu held.
func (l *live) carryOut(e request.Effect) {
	switch e := e.(type) {
	case request.Pick:
		job := l.job(e)
		l.m.spawn(func() { l.pick(job) })
	case request.Generate:
		l.generate(e)
	case request.AbandonAttempt:
		l.abandon(e)
	case request.ExportCache:
		l.m.spawn(func() { l.export(e) })
	case request.Emitted:
		l.wakeReaders()
	case request.Dropped:
		l.m.count("stream.dropped." + string(e.Reason))
	case request.Answered:
		l.m.count("requests.answered." + l.req.Class)
		l.endAttempt(l.answeredAttempt(), true, "")
		l.wakeReaders()
	case request.Failed:
		l.m.count("requests.given_up." + string(e.Refusal.Reason))
		l.wakeReaders()
	case request.Yielded:
		l.m.count("requests.yielded")
		l.wakeReaders()
	case request.WakeAt:
		l.wakeAt(e.Time)
	}
}

func (l *live) wakeReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// wakeAt lets a timer that fires earlier be: the machine takes a tick at any
// time, and every token moves the wish a little further away.
func (l *live) wakeAt(t time.Time) {
	if !l.wakes.IsZero() && !l.wakes.After(t) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.wakes = t
	l.timer = time.AfterFunc(time.Until(t), l.wake)
}

func (l *live) wake() {
	l.mu.Lock()
	l.wakes = time.Time{}
	l.mu.Unlock()
	l.step(request.Tick{})
}

func (l *live) job(p request.Pick) Job {
	return Job{
		Request: l.req,
		Service: l.service,
		Offset:  l.machine.Answer().Offset(),
		Emitted: l.machine.Answer().TokensFrom(0),
		Exclude: p.Exclude,
		After:   p.After,
	}
}

func (l *live) pick(j Job) {
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

func (l *live) generate(g request.Generate) {
	ctx, cancel := context.WithCancel(l.ctx)
	choice := l.choice(g.Runner)
	answer := l.machine.Answer()
	l.attempts[g.Attempt] = &attempt{cancel: cancel, choice: choice, from: answer.Offset(), started: time.Now()}
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
	l.m.c.Picker.Started(l.job(request.Pick{}), choice)
	l.m.spawn(func() { l.run(ctx, g.Attempt, choice, req) })
}

// choice finds a runner's address; it is empty for a runner that is gone.
func (l *live) choice(id ident.RunnerID) Choice {
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

// EngineFailedError is an engine's own word that an attempt failed.
type EngineFailedError struct{ Detail string }

func (e *EngineFailedError) Error() string { return "engine: " + e.Detail }

// UnknownAddressError says that a runner is no longer listed.
type UnknownAddressError struct{ Runner ident.RunnerID }

func (e *UnknownAddressError) Error() string { return fmt.Sprintf("no address of runner %q", e.Runner) }

// MayHaveStarted tells that nothing was sent.
func (e *UnknownAddressError) MayHaveStarted() bool { return false }

func (l *live) run(ctx context.Context, id ident.AttemptID, choice Choice, req engineapi.GenerateRequest) {
	err := error(&UnknownAddressError{Runner: choice.Runner})
	if choice.Address != "" {
		err = l.m.c.Engines.Generate(ctx, choice.Address, req, func(e engineapi.GenerateEvent) error {
			return l.take(id, e)
		})
	}
	if ctx.Err() != nil {
		return
	}
	if leaving(err) {
		l.m.c.Directory.NoteLeaving(choice.Address, 0)
	}
	in := request.StreamClosed{Attempt: id, Cause: closedBy(err), NotStarted: notStarted(err)}
	l.mu.Lock()
	l.endAttempt(id, false, in.Cause)
	l.mu.Unlock()
	l.step(in)
}

func (l *live) take(id ident.AttemptID, e engineapi.GenerateEvent) error {
	if e.Error != "" {
		return &EngineFailedError{Detail: e.Error}
	}
	if e.Done && e.FinishReason == finishCancelled {
		// A runner that cancels an attempt by itself ends its stream in good
		// order; the answer up to there would pass for a whole one.
		return &EngineFailedError{Detail: "attempt cancelled"}
	}
	if e.CachedTokens > 0 {
		l.mu.Lock()
		if a := l.attempts[id]; a != nil {
			a.cached = e.CachedTokens
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

func (l *live) answeredAttempt() ident.AttemptID {
	return l.machine.Answer().Attempt()
}

// endAttempt runs with l.mu held.
func (l *live) endAttempt(id ident.AttemptID, answered bool, cause request.Cause) {
	a, ok := l.attempts[id]
	if !ok {
		return
	}
	delete(l.attempts, id)
	a.cancel()
	l.m.c.Picker.Ended(l.job(request.Pick{}), Attempt{
		Runner:       a.choice.Runner,
		Address:      a.choice.Address,
		Answered:     answered,
		Cause:        cause,
		Tokens:       l.machine.Answer().Offset() - a.from,
		CachedTokens: a.cached,
	})
}

// abandon closes the attempt's connection and tells the runner, which would
// otherwise go on computing for no one.
func (l *live) abandon(e request.AbandonAttempt) {
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

func (l *live) export(e request.ExportCache) {
	handle, err := l.moveCache(e)
	if err != nil {
		l.m.count("attempts.export_failed")
	}
	l.step(request.CacheExported{Attempt: e.Attempt, Target: e.To, Handle: handle})
}

func (l *live) moveCache(e request.ExportCache) (string, error) {
	l.mu.Lock()
	from, to := l.choice(e.From), l.choice(e.To)
	l.mu.Unlock()
	exported, err := l.m.c.Engines.Export(l.ctx, from.Address, engineapi.ExportRequest{AttemptID: string(e.Attempt)})
	if err != nil {
		return "", fmt.Errorf("export from %s: %w", e.From, err)
	}
	imported, err := l.m.c.Engines.Import(l.ctx, to.Address, engineapi.ImportRequest{Source: from.Address, Handle: exported.Handle})
	if err != nil {
		return "", fmt.Errorf("import at %s: %w", e.To, err)
	}
	return imported.Handle, nil
}
