package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// DefaultHeartbeat is the interval between two heartbeat lines of a stream.
const DefaultHeartbeat = 500 * time.Millisecond

// Option configures an Engine.
type Option func(*Engine)

// WithTokenCounter makes the engine add its work to a counter that several
// engines share.
func WithTokenCounter(l *TokenCounter) Option { return func(e *Engine) { e.tokenCounter = l } }

// WithClient sets the HTTP client that downloads exported caches from other
// engines.
func WithClient(c *http.Client) Option { return func(e *Engine) { e.client = c } }

// Engine runs a Core in real time and serves it over HTTP. It is safe for
// concurrent use and works inside a testing/synctest bubble; its goroutine
// ends when the engine terminates.
type Engine struct {
	client       *http.Client
	tokenCounter *TokenCounter
	wake         chan struct{}
	died         chan struct{}
	done         chan struct{}

	mu      sync.Mutex
	core    *Core
	streams map[string]*stream
	faults  Faults
}

// stream passes an attempt's lines from the core to its HTTP handler.
type stream struct {
	attemptID string
	wake      chan struct{}
	// The fields below are guarded by Engine.mu.
	lines []engineapi.GenerateEvent
	last  engineapi.GenerateEvent
	// lateLines is how many token lines the stream still sends after a
	// cancellation, or notCancelled.
	lateLines int
}

// New starts an engine.
func New(cfg Config, options ...Option) *Engine {
	e := &Engine{
		client:       http.DefaultClient,
		tokenCounter: NewTokenCounter(),
		wake:         make(chan struct{}, 1),
		died:         make(chan struct{}),
		done:         make(chan struct{}),
		core:         NewCore(cfg, time.Now()),
		streams:      map[string]*stream{},
	}
	for _, option := range options {
		option(e)
	}
	go e.run()
	return e
}

// Close terminates the engine and waits until its goroutine has ended.
func (e *Engine) Close() {
	e.Die()
	<-e.done
}

func (e *Engine) isDead() bool {
	select {
	case <-e.died:
		return true
	default:
		return false
	}
}

func (e *Engine) run() {
	defer close(e.done)
	for {
		wait, ok := e.step()
		if e.isDead() {
			return
		}
		var timer <-chan time.Time
		if ok {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-e.wake:
		case <-e.died:
			return
		}
	}
}

func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	r := e.core.Step(now)
	e.tokenCounter.Add(r.Work)
	for _, line := range r.Lines {
		e.deliver(line.Event)
	}
	if e.core.Dead() {
		e.closeDied()
	}
	next, ok := e.core.Next()
	return next.Sub(now), ok
}

func (e *Engine) deliver(event engineapi.GenerateEvent) {
	s := e.streams[event.AttemptID]
	if s == nil {
		return
	}
	s.lines = append(s.lines, event)
	s.last = event
	if event.Done {
		delete(e.streams, event.AttemptID)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) closeDied() {
	if !e.isDead() {
		close(e.died)
	}
}

// wakeUp makes the engine's goroutine call Step, because a call may have
// added work.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) submit(r engineapi.GenerateRequest) (*stream, error) {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse {
		return nil, &InjectedError{Fault: "refuse"}
	}
	if err := e.core.Submit(time.Now(), NewAttempt(r)); err != nil {
		return nil, err
	}
	s := &stream{attemptID: r.AttemptID, wake: make(chan struct{}, 1), lateLines: notCancelled}
	s.last = engineapi.GenerateEvent{RequestID: r.RequestID, AttemptID: r.AttemptID, Offset: len(r.Emitted)}
	e.streams[r.AttemptID] = s
	return s, nil
}

// Cancel ends an attempt and reports whether it existed. With
// Faults.LateLines set, the stream continues for that many lines.
func (e *Engine) Cancel(attemptID string) bool {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[attemptID]; s != nil && e.faults.LateLines > 0 {
		if s.lateLines == notCancelled {
			s.lateLines = e.faults.LateLines
		}
		return true
	}
	return e.core.Cancel(time.Now(), attemptID)
}

// abandon cancels an attempt whose caller has disconnected.
func (e *Engine) abandon(s *stream) {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.attemptID] == s {
		e.core.Cancel(time.Now(), s.attemptID)
	}
}

// Notice announces that the VM will be reclaimed. The engine terminates after
// remaining.
func (e *Engine) Notice(remaining time.Duration) {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.core.Notice(now, now.Add(remaining))
}

// Die terminates the engine at once. Open connections are aborted, and so is
// every new one.
func (e *Engine) Die() {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Die(time.Now())
	e.closeDied()
}

// Died returns a channel that is closed when the engine has terminated.
func (e *Engine) Died() <-chan struct{} { return e.died }

// Counters returns the core's totals.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Counters()
}

// TokenCounter returns the counter to which the engine adds its work.
func (e *Engine) TokenCounter() *TokenCounter { return e.tokenCounter }

// Load returns the last published load report.
func (e *Engine) Load() engineapi.Load {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Load(time.Now())
}

// Order carries out an order or refuses it; see Core.Order.
func (e *Engine) Order(o engineapi.Order) error {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Order(time.Now(), o)
}

func (e *Engine) cacheEvents(from uint64, limit int) engineapi.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.CacheEvents(time.Now(), from, limit)
}

func (e *Engine) export(attemptID string) (engineapi.ExportResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Export(time.Now(), attemptID)
}

// transfer returns an exported cache after the time that its transfer over
// the engine's link takes.
func (e *Engine) transfer(ctx context.Context, name string) (ExportedCache, error) {
	e.mu.Lock()
	now := time.Now()
	exported, end, err := e.core.StartTransfer(now, name)
	injectFailure := err == nil && e.faults.FailExports > 0
	if injectFailure {
		e.faults.FailExports--
	}
	e.mu.Unlock()
	if err != nil {
		return ExportedCache{}, err
	}
	wait := end.Sub(now)
	if injectFailure {
		wait /= 2
	}
	if err := e.sleep(ctx, wait); err != nil {
		return ExportedCache{}, err
	}
	if injectFailure {
		return ExportedCache{}, &InjectedError{Fault: "fail_exports"}
	}
	return exported, nil
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-e.died:
		return &DeadError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) importCache(exported ExportedCache) engineapi.ImportResponse {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Import(time.Now(), exported)
}
