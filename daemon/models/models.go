// Package models serves model requests: it drives each request's state machine
// with engine streams and timers, serves readers here and at other gateways,
// keeps records of other daemons' requests, and carries requests over the
// reclaim of runners and of this VM.
package models

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/handoff"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	recordLimit          = 50_000
	overloadedRetryAfter = time.Second
	drainingRetryAfter   = time.Second
	notReadyRetryAfter   = time.Second
	putTimeout           = 500 * time.Millisecond
	housekeepingInterval = 500 * time.Millisecond
)

// Models implements call.Models. It is safe for concurrent use.
type Models struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// spawnMu orders the start of goroutines before the wait for their end.
	spawnMu sync.Mutex

	mu       sync.Mutex
	requests map[ident.RequestID]*localRequest
	ended    []*localRequest // oldest first
	keeper   *handoff.Keeper
	outbox   *handoff.Outbox
	drain    *handoff.Drain
	// renewing has the keepers that a renewal is under way to.
	renewing    map[ident.Incarnation]bool
	lastRenewal time.Time
}

var _ call.Models = (*Models)(nil)

// New returns Models; requests can be submitted at once, but reclaims and
// records are only looked after while Run runs.
func New(c Config) *Models {
	c.Limits = c.Limits.withDefaults()
	c.Transfer = c.Transfer.withDefaults()
	if c.Picker == nil {
		c.Picker = &RoundRobin{Directory: c.Directory}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Models{
		cfg:      c,
		ctx:      ctx,
		cancel:   cancel,
		requests: map[ident.RequestID]*localRequest{},
		keeper:   handoff.NewKeeper(recordLimit),
		outbox:   handoff.NewOutbox(),

		renewing: map[ident.Incarnation]bool{},
	}
}

// Run watches the directory, renews records and adopts those whose owner is
// gone, until ctx is done. Then it ends all that it started.
func (m *Models) Run(ctx context.Context) error {
	defer m.shutdown()
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	for {
		changed := m.cfg.Directory.Changed()
		m.planReclaims()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
			m.housekeep()
		}
	}
}

// spawn runs f unless Models has ended: timers may still fire then.
func (m *Models) spawn(f func()) {
	m.spawnMu.Lock()
	defer m.spawnMu.Unlock()
	if m.ctx.Err() == nil {
		m.wg.Go(f)
	}
}

func (m *Models) shutdown() {
	m.spawnMu.Lock()
	m.cancel()
	m.spawnMu.Unlock()
	m.wg.Wait()
}

func (m *Models) count(name string) {
	metrics.GetOrRegisterCounter(name, m.cfg.Metrics).Inc(1)
}

// Submit implements call.Models. Submitting the same ID again is accepted and
// changes nothing, so that a caller whose answer was lost may repeat it.
func (m *Models) Submit(ctx context.Context, r call.ModelRequest) error {
	l, err := m.prepare(r)
	if err != nil {
		return m.countRefusal(err)
	}
	if existing := m.find(r.ID); existing != nil {
		return m.handleDuplicate(existing, r)
	}
	if !l.spec.Deferrable {
		if l.release, err = m.cfg.Picker.Acquire(ctx, l.req); err != nil {
			return m.countRefusal(err)
		}
	}
	if err := m.accept(ctx, l); err != nil {
		l.releaseCapacity()
		return m.countRefusal(err)
	}
	m.count("requests.accepted." + l.req.Class)
	m.start(l)
	return nil
}

func (m *Models) countRefusal(err error) error {
	m.count("requests.refused." + string(refusal.From(err).Reason))
	return err
}

func (m *Models) handleDuplicate(l *localRequest, r call.ModelRequest) error {
	if l.req.Workspace != r.Workspace {
		return m.countRefusal(refusal.New(refusal.BadRequest, "request ID is in use"))
	}
	return nil
}

// prepare checks the request against the configuration in force.
func (m *Models) prepare(r call.ModelRequest) (*localRequest, error) {
	if !m.accepting() {
		return nil, refusal.New(refusal.Draining, "this gateway is leaving").After(drainingRetryAfter)
	}
	conf, _ := m.cfg.Config.Current()
	if conf == nil {
		return nil, refusal.New(refusal.NotReady, "no configuration in force yet").After(notReadyRetryAfter)
	}
	if r.ID == "" {
		return nil, refusal.New(refusal.BadRequest, "request without ID")
	}
	model, ok := findModel(conf, r.Model)
	if !ok {
		return nil, refusal.New(refusal.UnknownModel, "no model %q", r.Model)
	}
	class, ok := findClass(conf, r.Class)
	if !ok {
		return nil, refusal.New(refusal.BadRequest, "no class %q", r.Class)
	}
	if r.MaxTokens <= 0 || r.MaxTokens > m.cfg.Limits.MaxTokens {
		r.MaxTokens = m.cfg.Limits.MaxTokens
	}
	if r.Deadline.IsZero() && class.DeadlineMillis > 0 {
		r.Deadline = time.Now().Add(time.Duration(class.DeadlineMillis) * time.Millisecond)
	}
	return m.newLocalRequest(r, model.Service, class), nil
}

func findModel(conf *manifest.Manifest, name string) (manifest.Model, bool) {
	for _, model := range conf.Models {
		if model.Name == name {
			return model, true
		}
	}
	return manifest.Model{}, false
}

func findClass(conf *manifest.Manifest, name string) (manifest.Class, bool) {
	for _, class := range conf.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return manifest.Class{}, false
}

func (m *Models) find(id ident.RequestID) *localRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requests[id]
}

// accept enters the request, and its record at a second daemon if it is of a
// long class: from then on no single process that dies takes it along.
func (m *Models) accept(ctx context.Context, l *localRequest) error {
	m.mu.Lock()
	if len(m.requests)-len(m.ended) >= m.cfg.Limits.MaxInProgress {
		m.mu.Unlock()
		return refusal.New(refusal.Overloaded, "too many requests in progress").After(overloadedRetryAfter)
	}
	m.requests[l.req.ID] = l
	if l.recorded {
		m.outbox.Track(l.req.ID)
		m.keeper.Claim(l.req.ID, handoff.Claim{Owner: m.cfg.Self, Epoch: l.spec.Epoch})
	}
	m.mu.Unlock()
	if !l.recorded {
		return nil
	}
	if err := m.storeFirstRecord(ctx, l); err != nil {
		m.remove(l)
		return err
	}
	return nil
}

func (m *Models) remove(l *localRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.requests[l.req.ID] == l {
		delete(m.requests, l.req.ID)
		m.keeper.ReleaseClaim(l.req.ID, m.cfg.Self)
	}
	m.outbox.Untrack(l.req.ID)
}
