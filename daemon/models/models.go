// Package models executes model requests. It drives the state machine of each
// request with engine streams and timers, serves the answer to readers at this
// daemon and at other gateways, and keeps requests going when a runner's VM or
// this daemon's VM is reclaimed.
//
// The daemon that runs a request is its owner. Deferrable and asynchronous
// requests also have a record, which the owner stores at a second daemon, the
// keeper of the record. When the owner is gone, the keeper adopts the request
// and runs it. Each new owner has a higher epoch than the one before, so that
// an owner that comes back learns that it has been replaced.
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
	// recordLimit bounds the records of other daemons' requests that this
	// daemon stores.
	recordLimit          = 50_000
	overloadedRetryAfter = time.Second
	drainingRetryAfter   = time.Second
	notReadyRetryAfter   = time.Second
	putTimeout           = 500 * time.Millisecond
	housekeepingInterval = 500 * time.Millisecond
)

// Models accepts and runs model requests; it implements call.Models. It is safe
// for concurrent use.
type Models struct {
	c      Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// spawnMu makes sure that no goroutine is added to wg after shutdown has
	// begun to wait for it.
	spawnMu sync.Mutex

	mu sync.Mutex
	// requestState holds, by ID, the requests that this daemon runs and those
	// that it keeps for late readers after they ended.
	requestState map[ident.RequestID]*requestState
	ended        []*requestState // oldest first
	// keeper stores the records of other daemons' requests.
	keeper *handoff.Keeper
	// outbox tracks where the records of this daemon's requests are stored.
	outbox *handoff.RecordTracker
	// drain is nil until Drain is called.
	drain *handoff.Drain
	// renewing holds the keepers to which a renewal of records is in progress.
	renewing    map[ident.Incarnation]bool
	lastRenewal time.Time
}

var _ call.Models = (*Models)(nil)

// New returns a Models that accepts requests at once. Reclaim notices are
// handled and records are renewed only while Run is running.
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
		c:            c,
		ctx:          ctx,
		cancel:       cancel,
		requestState: map[ident.RequestID]*requestState{},
		keeper:       handoff.NewKeeper(recordLimit),
		outbox:       handoff.NewRecordTracker(),

		renewing: map[ident.Incarnation]bool{},
	}
}

// Run watches the directory for reclaims, renews the records of this daemon's
// requests and adopts requests whose owner is gone, until ctx is done. It then
// stops every goroutine of Models and waits for them.
func (m *Models) Run(ctx context.Context) error {
	defer m.shutdown()
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	for {
		changed := m.c.Directory.Changed()
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

// spawn runs f in a goroutine. It does nothing after shutdown, because timers
// may still fire then.
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
	metrics.GetOrRegisterCounter(name, m.c.Metrics).Inc(1)
}

// Submit implements call.Models. Submitting an ID again in the same workspace
// succeeds and has no effect, so that a caller that did not receive the
// response may retry.
func (m *Models) Submit(ctx context.Context, r call.ModelRequest) error {
	rs, err := m.prepare(r)
	if err != nil {
		return m.countRefusal(err)
	}
	if existing := m.find(r.ID); existing != nil {
		return m.handleDuplicate(existing, r)
	}
	if !rs.spec.Deferrable {
		if rs.release, err = m.c.Picker.Acquire(ctx, rs.req); err != nil {
			return m.countRefusal(err)
		}
	}
	if err := m.accept(ctx, rs); err != nil {
		rs.releaseCapacity()
		return m.countRefusal(err)
	}
	m.count("requests.accepted." + rs.req.Class)
	m.start(rs)
	return nil
}

func (m *Models) countRefusal(err error) error {
	m.count("requests.refused." + string(refusal.From(err).Reason))
	return err
}

func (m *Models) handleDuplicate(rs *requestState, r call.ModelRequest) error {
	if rs.req.Workspace != r.Workspace {
		return m.countRefusal(refusal.New(refusal.BadRequest, "request ID is in use"))
	}
	return nil
}

// prepare validates the request against the current configuration, applies the
// default limits, and builds its state.
func (m *Models) prepare(r call.ModelRequest) (*requestState, error) {
	if !m.accepting() {
		return nil, refusal.New(refusal.Draining, "this gateway is leaving").After(drainingRetryAfter)
	}
	conf, _ := m.c.Config.Current()
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
	if r.MaxTokens <= 0 || r.MaxTokens > m.c.Limits.MaxTokens {
		r.MaxTokens = m.c.Limits.MaxTokens
	}
	if r.Deadline.IsZero() && class.DeadlineMillis > 0 {
		r.Deadline = time.Now().Add(time.Duration(class.DeadlineMillis) * time.Millisecond)
	}
	return m.newRequestState(r, model.Service, class), nil
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

func (m *Models) find(id ident.RequestID) *requestState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requestState[id]
}

// accept registers the request. If the request is recorded (deferrable or
// asynchronous), accept also stores its record at a second daemon, so that the
// death of a single process cannot lose it.
func (m *Models) accept(ctx context.Context, rs *requestState) error {
	m.mu.Lock()
	if len(m.requestState)-len(m.ended) >= m.c.Limits.MaxInProgress {
		m.mu.Unlock()
		return refusal.New(refusal.Overloaded, "too many requests in progress").After(overloadedRetryAfter)
	}
	m.requestState[rs.req.ID] = rs
	if rs.needsRecord {
		m.outbox.Track(rs.req.ID)
		m.keeper.Claim(rs.req.ID, handoff.Claim{Owner: m.c.Self, Epoch: rs.spec.Epoch})
	}
	m.mu.Unlock()
	if !rs.needsRecord {
		return nil
	}
	if err := m.storeFirstRecord(ctx, rs); err != nil {
		m.remove(rs)
		return err
	}
	return nil
}

func (m *Models) remove(rs *requestState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.requestState[rs.req.ID] == rs {
		delete(m.requestState, rs.req.ID)
		m.keeper.ReleaseClaim(rs.req.ID, m.c.Self)
	}
	m.outbox.Untrack(rs.req.ID)
}
