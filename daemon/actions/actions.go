// Package actions executes calls with idempotency keys at most once.
//
// Each key contains a token that names its owner, the daemon incarnation that
// records and dispatches the call. A daemon that receives a call forwards it to
// the owner. The owner writes journal entries to the key-value service and
// sends the call to a runner. When an owner has ended, any daemon can seal the
// owner's log, which is the sequence of its journal entries, and answer from it.
package actions

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/coordination/owners"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Dispatcher sends a call to one runner, once.
type Dispatcher interface {
	Send(ctx context.Context, address string, id actionkey.ID, c call.ServiceCall) action.Result
}

// Config holds the dependencies and settings of a Service.
type Config struct {
	Self       ident.Incarnation
	Directory  view.Directory
	Config     view.Config
	Store      kv.Store
	Dispatcher Dispatcher
	// Peers is the HTTP client for calls to other daemons. If it is nil, the
	// service creates a client that connects over TCP.
	Peers   *http.Client
	Metrics metrics.Registry
	// Owner returns the limits of an owner; nil means action.DefaultConfig.
	Owner func(ident.Incarnation) action.Config
	// Times is replaced by DefaultTimes if all of its fields are zero.
	Times Times
	// RequireToken makes the service refuse keys without a token. Otherwise a
	// claim in the key-value service assigns an owner to such a key.
	RequireToken bool
	// MaxTokenOwners is the maximum number of daemons that issue tokens. The
	// other daemons hand out tokens that they fetch from these. Zero means
	// owners.DefaultMax.
	MaxTokenOwners int
}

// Times holds the timeouts and intervals of a Service.
type Times struct {
	// Store is the timeout of a call to the key-value service.
	Store time.Duration
	// Dispatch is the timeout for sending an action to runners, including
	// attempts at further runners.
	Dispatch time.Duration
	// Poll is how long an owner may hold a forwarded call before it answers
	// that the action is still in progress.
	Poll time.Duration
	// PollGrace is added to Poll to get the timeout of a forwarded call.
	PollGrace time.Duration
	// Call is the timeout of calls that have no deadline.
	Call time.Duration
	// StartupGrace is how long after its start a daemon doesn't treat an owner
	// that is missing from the directory as ended: the directory may still be
	// incomplete.
	StartupGrace time.Duration
	// Seal is how long a drain waits at most until the owners' logs are sealed.
	// After that, the owners end without seals. It is also the pause before a
	// failed attempt to seal the log of an adopted owner is repeated.
	Seal time.Duration
	// RetryPause is the pause before a failed call to another daemon is
	// repeated.
	RetryPause time.Duration
	// TokenCheckInterval is the mean interval between checks of which daemons
	// issue tokens.
	TokenCheckInterval time.Duration
	// TokenRefresh is the longest time until a fetched token is replaced by a
	// newly fetched one.
	TokenRefresh time.Duration
	// TokenFetch is the timeout for fetching a token from one owner.
	TokenFetch time.Duration
}

// DefaultTimes returns values for failure domains with a network latency of a
// few milliseconds between them.
func DefaultTimes() Times {
	return Times{
		Store:              time.Second,
		Dispatch:           30 * time.Second,
		Poll:               time.Second,
		PollGrace:          500 * time.Millisecond,
		Call:               30 * time.Second,
		StartupGrace:       5 * time.Second,
		Seal:               2 * time.Second,
		RetryPause:         200 * time.Millisecond,
		TokenCheckInterval: 400 * time.Millisecond,
		TokenRefresh:       2 * time.Second,
		TokenFetch:         400 * time.Millisecond,
	}
}

// Service implements call.Actions.
type Service struct {
	cfg         Config
	start       time.Time
	clock       *clock
	counters    *counters
	logs        logCache
	sealGroup   singleflight.Group
	leaseGroup  singleflight.Group
	sealLimiter *rate.Limiter
	lease       sharedLease
	draining    drainOnce
	tokens      tokenState

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
	wake  chan struct{}

	mu         sync.Mutex
	current    *action.Owner
	epoch      int
	owners     map[ident.Incarnation]*action.Owner
	adopted    map[ident.Incarnation]*action.AdoptedTable
	waiters    map[action.Waiter]chan action.Result
	nextWaiter action.Waiter
	closed     bool
}

var _ call.Actions = (*Service)(nil)

// New returns a service with a first owner. Actions make progress only while
// Run is running.
func New(cfg Config) *Service {
	if cfg.Times == (Times{}) {
		cfg.Times = DefaultTimes()
	}
	if cfg.Owner == nil {
		cfg.Owner = action.DefaultConfig
	}
	if cfg.MaxTokenOwners == 0 {
		cfg.MaxTokenOwners = owners.DefaultMax
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Peers == nil {
		cfg.Peers = &http.Client{Transport: httpanswer.NewTransport(&http.Transport{IdleConnTimeout: time.Minute})}
	}
	s := &Service{
		cfg:         cfg,
		start:       time.Now(),
		clock:       newClock(),
		counters:    &counters{registry: cfg.Metrics},
		sealLimiter: rate.NewLimiter(sealsPerSecond, sealBurst),
		wake:        make(chan struct{}, 1),
		owners:      map[ident.Incarnation]*action.Owner{},
		adopted:     map[ident.Incarnation]*action.AdoptedTable{},
		waiters:     map[action.Waiter]chan action.Result{},
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.startOwner()
	return s
}

func (s *Service) now() time.Time { return s.clock.now() }

// startOwner creates the next owner of this daemon. The first owner has the
// name of the daemon's incarnation. If another daemon has sealed the log of the
// current owner by mistake, the next owner gets a new name, because nothing can
// be appended to a sealed log.
func (s *Service) startOwner() {
	name := s.cfg.Self
	if s.epoch > 0 {
		name = ident.Incarnation(fmt.Sprintf("%s%s%d", s.cfg.Self, epochSeparator, s.epoch))
	}
	s.epoch++
	s.current = action.NewOwner(s.now(), s.cfg.Owner(name))
	s.owners[name] = s.current
}

const epochSeparator = "+"

// Run drives the owners until ctx ends, then waits for the tasks it started.
func (s *Service) Run(ctx context.Context) error {
	defer s.tasks.Wait()
	defer s.stop()
	s.tasks.Go(func() { s.collectEndedLogs(ctx) })
	s.tasks.Go(func() { s.maintainToken(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stopSpawning()
			return nil
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.tick())
	}
}

// stopSpawning keeps spawn from starting tasks while Run waits for them to end.
func (s *Service) stopSpawning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// spawn starts a task that Run waits for. The caller must hold s.mu.
func (s *Service) spawn(task func()) {
	if !s.closed {
		s.tasks.Go(task)
	}
}

const (
	idleTick = 10 * time.Second
	minTick  = time.Millisecond
)

// tick processes what is due in all owners and returns how long to wait until
// the next tick.
func (s *Service) tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	wait := idleTick
	for name, o := range s.owners {
		s.performEffects(o, o.Tick(now))
		if o.Ended() && o.Len() == 0 && o != s.current {
			delete(s.owners, name)
			continue
		}
		if due := o.NextDue(now); !due.IsZero() {
			wait = min(wait, max(minTick, due.Sub(now)))
		}
	}
	for name, a := range s.adopted {
		if a.AllKeysExpired(now, s.cfg.Owner(name).TokenLifetime) {
			delete(s.adopted, name)
		}
	}
	return wait
}

func (s *Service) requestTick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// applyEffects performs effects and requests a tick, because the effects may
// have changed when the next one is due. The caller must hold s.mu.
func (s *Service) applyEffects(o *action.Owner, effects []action.Effect) {
	s.performEffects(o, effects)
	s.requestTick()
}

func (s *Service) performEffects(o *action.Owner, effects []action.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *action.Reply:
			s.deliverReply(e)
		case *action.Dispatch:
			s.countDispatch(e)
			s.spawn(func() { s.dispatchAction(o, e) })
		case *action.Write:
			s.spawn(func() { s.writeEntry(o, e.Write) })
		case *action.Collect:
			s.spawn(func() { s.collectEntry(o, e.Collect) })
		case *action.Ended:
			s.onOwnerEnded(o)
		}
	}
}

func (s *Service) deliverReply(r *action.Reply) {
	ch, ok := s.waiters[r.Waiter]
	if !ok {
		return
	}
	delete(s.waiters, r.Waiter)
	ch <- r.Result // never blocks: the capacity is one and each waiter gets one reply
}

func (s *Service) countDispatch(d *action.Dispatch) {
	if d.Journaled {
		s.counters.inc(dispatchedJournaled)
		return
	}
	s.counters.inc(dispatchedUnjournaled)
}

func (s *Service) onOwnerEnded(o *action.Owner) {
	s.counters.inc(ownerSealed)
	if o == s.current && !s.draining.started() {
		s.startOwner()
	}
}

// dispatchAction sends an action to a runner and reports the result to the owner.
func (s *Service) dispatchAction(o *action.Owner, d *action.Dispatch) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Times.Dispatch)
	defer cancel()
	result := s.sendToRunners(ctx, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEffects(o, o.Finished(s.now(), d.ID, result))
}

// writeEntry creates a journal entry. After an error other than a conflict it is
// unknown whether the entry was created; the journal writer then repeats the
// write at the same index.
func (s *Service) writeEntry(o *action.Owner, w journal.Write) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Times.Store)
	defer cancel()
	key := journal.EntryKey(o.Incarnation(), w.Index)
	s.counters.inc(journalWrites)
	revision, err := s.cfg.Store.CompareAndSwap(ctx, key, 0, w.Value, 0)
	written := journal.Written{Index: w.Index, Revision: uint64(revision)}
	if err != nil {
		written = s.classifyWriteError(w, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEffects(o, o.Written(s.now(), written))
}

func (s *Service) collectEntry(o *action.Owner, c journal.Collect) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Times.Store)
	defer cancel()
	s.counters.inc(journalDeletes)
	key := journal.EntryKey(o.Incarnation(), c.Index)
	if err := s.cfg.Store.Delete(ctx, key, kv.Revision(c.Revision)); err != nil {
		s.counters.inc(journalDeleteFailed)
	}
	s.requestTick()
}

// Execute runs the call at most once for its workspace and key. A repeated call
// gets the answer of the first one.
func (s *Service) Execute(ctx context.Context, c call.ServiceCall) (call.Answer, error) {
	ctx, cancel := s.withDeadline(ctx, c.Deadline)
	defer cancel()
	result := s.execute(ctx, c)
	s.counters.result(result)
	if result.Refusal != nil {
		return call.Answer{}, result.Refusal
	}
	return result.Answer, nil
}

func (s *Service) withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithTimeout(ctx, s.cfg.Times.Call)
	}
	return context.WithDeadline(ctx, deadline)
}

func (s *Service) execute(ctx context.Context, c call.ServiceCall) action.Result {
	if c.Key == "" {
		return refused(refusal.New(refusal.KeyRequired,
			"send an Idempotency-Key made of a token from /v1/gateways and a suffix of your own"))
	}
	key, refusedKey := s.resolveKey(ctx, c.Workspace, c.Key)
	if refusedKey != nil {
		return refused(refusedKey)
	}
	c.Key = key
	parsed, err := actionkey.Parse(key)
	if err != nil {
		return refused(refusal.New(refusal.KeyMalformed, "%v", err))
	}
	id := actionkey.ID{Workspace: c.Workspace, Key: key}
	if s.owns(parsed.Owner) {
		result, _ := s.submitAndWait(ctx, parsed.Owner, id, c, 0)
		return result
	}
	return s.forward(ctx, parsed.Owner, id, c)
}

func refused(r *refusal.Refusal) action.Result { return action.Result{Refusal: r} }

func (s *Service) owns(owner ident.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.owners[owner]
	return ok
}

// submitAndWait submits a call to an owner of this daemon and waits for its
// result. If poll is positive, it waits no longer than poll and returns pending
// if there is no result by then.
func (s *Service) submitAndWait(ctx context.Context, owner ident.Incarnation, id actionkey.ID, c call.ServiceCall,
	poll time.Duration) (r action.Result, pending bool) {
	o, w, ch := s.submit(owner, id, c)
	if o == nil {
		return refused(refusal.New(refusal.OwnerGone, "owner has ended").Unknown()), false
	}
	var polled <-chan time.Time
	if poll > 0 {
		timer := time.NewTimer(poll)
		defer timer.Stop()
		polled = timer.C
	}
	select {
	case r := <-ch:
		return r, false
	case <-polled:
		return s.detach(o, id, w, ch)
	case <-ctx.Done():
		return s.abandon(o, id, w, ch), false
	}
}

func (s *Service) submit(owner ident.Incarnation, id actionkey.ID, c call.ServiceCall) (
	*action.Owner, action.Waiter, chan action.Result) {
	request := action.Request{ID: id, BodyHash: bodyHash(c), Call: c}
	request.Policy, request.Inadmissible = s.findRoute(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[owner]
	if !ok {
		return nil, 0, nil
	}
	s.nextWaiter++
	request.Waiter = s.nextWaiter
	ch := make(chan action.Result, 1)
	s.waiters[request.Waiter] = ch
	s.applyEffects(o, o.Submit(s.now(), request))
	return o, request.Waiter, ch
}

// detach ends the wait of a caller whose poll time is over. The action goes on,
// and the caller asks for its result again. If a result has arrived in the
// meantime, detach returns it; otherwise the boolean is true: the action is still
// pending.
func (s *Service) detach(o *action.Owner, id actionkey.ID, w action.Waiter, ch chan action.Result) (
	action.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-ch:
		return r, false
	default:
	}
	o.DetachWaiter(id, w)
	delete(s.waiters, w)
	return action.Result{}, true
}

// abandon ends the wait of a call whose deadline has passed.
func (s *Service) abandon(o *action.Owner, id actionkey.ID, w action.Waiter, ch chan action.Result) action.Result {
	s.mu.Lock()
	s.applyEffects(o, o.AbandonWait(s.now(), id, w))
	delete(s.waiters, w)
	s.mu.Unlock()
	select {
	case r := <-ch:
		return r
	default:
		return refused(refusal.New(refusal.DeadlineExceeded, "no result in time").Unknown())
	}
}

// Outcome returns the result of an earlier call without running it. The boolean
// is true if the call is still in progress.
func (s *Service) Outcome(ctx context.Context, ws ident.Workspace, key string) (call.Answer, bool, error) {
	ctx, cancel := s.withDeadline(ctx, time.Time{})
	defer cancel()
	result, pending := s.outcome(ctx, ws, key)
	if pending {
		return call.Answer{}, true, nil
	}
	if result.Refusal != nil {
		return call.Answer{}, false, result.Refusal
	}
	return result.Answer, false, nil
}

func (s *Service) outcome(ctx context.Context, ws ident.Workspace, key string) (action.Result, bool) {
	key, refusedKey := s.lookUpKey(ctx, ws, key)
	if refusedKey != nil {
		return refused(refusedKey), false
	}
	parsed, err := actionkey.Parse(key)
	if err != nil {
		return refused(refusal.New(refusal.KeyMalformed, "%v", err)), false
	}
	id := actionkey.ID{Workspace: ws, Key: key}
	if result, pending, ok := s.lookUpLocal(parsed.Owner, id, ""); ok {
		return result, pending
	}
	return s.forwardOutcome(ctx, parsed.Owner, id)
}

// lookUpLocal looks up an action in the owner's table, if this daemon runs the
// owner or has adopted its table. Otherwise ok is false.
func (s *Service) lookUpLocal(owner ident.Incarnation, id actionkey.ID, hash string) (r action.Result, pending, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.owners[owner]; found {
		r, pending = o.Lookup(id)
		return r, pending, true
	}
	if a, found := s.adopted[owner]; found {
		r, ok = a.ResultFor(id, hash)
		return r, false, ok
	}
	return action.Result{}, false, false
}
