package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// DefaultHeartbeat is the time between two heartbeat lines of a stream.
const DefaultHeartbeat = 500 * time.Millisecond

// Option changes an Engine.
type Option func(*Engine)

// WithTokenCounter enters the engine's work in a ledger that others share.
func WithTokenCounter(l *TokenCounter) Option { return func(e *Engine) { e.tokenCounter = l } }

// WithClient is used to fetch exported caches from other engines.
func WithClient(c *http.Client) Option { return func(e *Engine) { e.client = c } }

// Engine runs a Core on the time package and serves it over HTTP. It is safe
// for concurrent use and works inside a testing/synctest bubble; its goroutine
// ends when it dies.
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

// stream carries an attempt's lines from the core to its HTTP handler.
type stream struct {
	attemptID string
	wake      chan struct{}
	// Guarded by Engine.mu:
	lines []engineapi.GenerateEvent
	last  engineapi.GenerateEvent
	// lateLines counts the lines that still come after a cancel; minus one is no
	// cancel yet.
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

// Close ends the engine as Die does and waits for its goroutine.
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

// wakeUp makes the engine look for work that a call has brought.
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

// Cancel ends an attempt and reports whether it was there.
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

// abandon ends an attempt whose caller has gone.
func (e *Engine) abandon(s *stream) {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.attemptID] == s {
		e.core.Cancel(time.Now(), s.attemptID)
	}
}

// Notice tells that the VM goes after left; the engine dies then.
func (e *Engine) Notice(remaining time.Duration) {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.core.Notice(now, now.Add(remaining))
}

// Die ends the engine at once: open connections break, new ones too.
func (e *Engine) Die() {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Die(time.Now())
	e.closeDied()
}

// Died is closed when the engine has died.
func (e *Engine) Died() <-chan struct{} { return e.died }

// Counters returns the core's totals.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Counters()
}

// TokenCounter returns the ledger that the engine's work is entered in.
func (e *Engine) TokenCounter() *TokenCounter { return e.tokenCounter }

// Load returns the last published load report.
func (e *Engine) Load() engineapi.Load {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Load(time.Now())
}

// Order carries out an order.
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

// transfer waits as long as an exported cache takes over the engine's link.
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
