package edge

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/walltime"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Deps are what an edge calls and is called by.
type Deps struct {
	Store   kv.Store
	Codec   Codec
	Runners RunnerClient
	// Cloud may be nil: then no duty is stood for.
	Cloud Cloud
	// Datagrams is the socket at Settings.PeerAddress.
	Datagrams net.PacketConn
	// Steady gives offsets of a clock that never jumps and runs on while the VM
	// is suspended.
	Steady func() time.Duration
	Log    *decisions.Log
}

// Edge is the daemon of one entry VM.
type Edge struct {
	set  Settings
	deps Deps
	log  *decisions.Log
	self ident.Incarnation
	// began is the steady time of the start.
	began time.Duration

	// table is nil until the configuration has been read.
	table atomic.Pointer[route.Table]
	// drainingSince is the steady time of the order to stop, zero before.
	drainingSince atomic.Int64
	inFlight      atomic.Int64

	// mu guards what the daemons tell each other and the proof of the
	// configuration.
	mu      sync.Mutex
	fresh   *freshness.Tracker
	peers   *peers.Table
	stamps  map[ident.Incarnation]freshness.Stamp
	wall    *walltime.Estimate
	book    *accounting.Ledger
	limiter *quota.Limiter
	seq     uint64
	// alive are the other daemons as they were looked at last, plan is whom this daemon
	// tells by that, standing what other relays say of it as one, followers those that
	// follow it.
	alive    []peers.Member
	plan     relays.Plan
	standing relays.Confirmation
	// followsAnew says that the relays that this daemon follows now were not told yet.
	followsAnew bool
	followers   map[ident.Incarnation]follower
	// feeding are the other relays that this daemon watches for, with the revision up to
	// which they know the key-value service.
	feeding map[ident.Incarnation]uint64
	// coverage is when whose counts of usage were told, lacked those that other
	// relays ask for.
	coverage accounting.Coverage
	lacked   map[ident.Incarnation]ident.Incarnation
	// formerRelays are the relays to tell, so many times more, that this daemon is none any more.
	formerRelays  []peers.Member
	demotionsLeft int
	// joining are the addresses of daemons that ask who the relays are, or are mistaken.
	joining map[ident.Incarnation]string
	// rosterVersion is of the daemons that were told last, rosterLeft in how many more
	// messages.
	rosterVersion uint64
	rosterLeft    int
	// unreadable says that the newest configuration could not be read.
	unreadable bool
	// lastEnded is the daemon whose counts were told last after its end, lastFollower the
	// follower whose counts were.
	lastEnded, lastFollower ident.Incarnation

	// poolsMu guards the set of pools; each has a lock of its own.
	poolsMu sync.RWMutex
	pools   map[string]*pool

	// dir is what was read of the service; it has a lock of its own.
	dir directory

	// direct and relaying are the plan's, for those who can't wait for mu.
	direct, relaying, allWatch atomic.Bool

	trials     trials
	told       toldLoads
	placements placements
	asks       pendingGrants
	advised    advice
	resolved   udpAddresses
	confirms   confirmer
	duties     duties
	// healthAt is when the runners were looked at last; only tickLoop uses it.
	healthAt time.Duration
}

const incarnationBytes = 6

// New returns a daemon that does nothing until Run.
func New(set Settings, deps Deps) *Edge {
	var random [incarnationBytes]byte
	// crypto/rand.Read ends the process instead of failing.
	_, _ = rand.Read(random[:])
	now := deps.Steady()
	self := ident.NewIncarnation(set.ID, random[:])
	e := &Edge{
		set:   set,
		deps:  deps,
		log:   deps.Log,
		self:  self,
		began: now,
		fresh: freshness.New(),
		peers: peers.New(peers.Member{
			ID: set.ID, Incarnation: self, FailureDomain: set.FailureDomain,
			CallerAddress: set.CallerAddress, PeerAddress: set.PeerAddress, Phase: peers.Starting,
			Started: time.Now().UnixMilli(),
		}),
		followers: map[ident.Incarnation]follower{},
		feeding:   map[ident.Incarnation]uint64{},
		joining:   map[ident.Incarnation]string{},
		lacked:    map[ident.Incarnation]ident.Incarnation{},
		stamps:    map[ident.Incarnation]freshness.Stamp{},
		wall:      walltime.New(time.Now(), now),
		book: accounting.NewLedger(self, accounting.Timing{
			Length: set.Bounds.UsageWindow, Due: set.Bounds.UsageDue, Settle: accounting.SettleAfter,
		}),
		limiter: quota.New(now, set.Bounds.QuotaWindow, set.Bounds.QuotaTolerance, set.FirstStart),
		// Each daemon begins at its own name, so that together they tell of all
		// that have ended within a few messages.
		lastEnded: self,
		pools:     map[string]*pool{},
	}
	e.dir.init()
	e.trials.init()
	e.told.init()
	e.asks.init()
	e.duties.init(e)
	// Until it hears of others a daemon is alone.
	e.plan = relays.Elect(relays.View{Self: e.peers.Self(), DirectFleet: set.Policy.DirectFleet()})
	e.standing.Start(now)
	e.direct.Store(e.plan.Direct)
	e.allWatch.Store(e.plan.AllWatch)
	e.relaying.Store(e.plan.Relay)
	for _, seed := range set.Seeds {
		e.peers.Learn(now, seed)
	}
	return e
}

// Learn takes in other daemons' peer addresses.
func (e *Edge) Learn(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range addresses {
		e.peers.Learn(e.deps.Steady(), a)
	}
}

// Incarnation names this run of the daemon.
func (e *Edge) Incarnation() ident.Incarnation { return e.self }

// Run works until the context ends. Draining is begun by Drain before that.
func (e *Edge) Run(ctx context.Context) error {
	e.log.Note("start", decisions.F("daemon", e.set.ID), decisions.F("incarnation", e.self),
		decisions.F("failure_domain", e.set.FailureDomain), decisions.F("first_start", e.set.FirstStart), decisions.F("without", e.set.Policy), decisions.F("direct_fleet", e.set.Policy.DirectFleet()))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.receiveDatagrams(ctx) })
	group.Go(func() error { e.tickLoop(ctx); return nil })
	group.Go(func() error { e.follow(ctx); return nil })
	group.Go(func() error { e.keepRegistered(ctx); return nil })
	if e.deps.Cloud != nil {
		group.Go(func() error { e.runDuties(ctx); return nil })
	}
	err := group.Wait()
	e.log.Note("stop", decisions.F("daemon", e.set.ID), decisions.F("in_flight", e.inFlight.Load()))
	if err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// Drain begins a graceful shutdown: no caller is sent here from now on, and the
// connections that are kept end with their next answer.
func (e *Edge) Drain() {
	now := e.deps.Steady()
	if !e.drainingSince.CompareAndSwap(0, max(1, int64(now))) {
		return
	}
	e.mu.Lock()
	e.peers.SetPhase(peers.Draining)
	e.mu.Unlock()
	e.log.Note("drain", decisions.F("in_flight", e.inFlight.Load()))
	e.sendRound(0)
}

// drainedFor is how long ago Drain was called; false if it was not.
func (e *Edge) drainedFor() (time.Duration, bool) {
	since := e.drainingSince.Load()
	if since == 0 {
		return 0, false
	}
	return e.deps.Steady() - time.Duration(since), true
}

// InFlight is the number of requests that are being served.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// Ready tells whether callers should be sent here.
func (e *Edge) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Self().Phase == peers.Ready
}

// refreshPhase moves between starting and ready: a daemon without a
// configuration, or with one that may be too old to admit keyed requests by,
// only refuses. Called with mu held.
func (e *Edge) refreshPhase(now time.Duration) {
	phase := peers.Starting
	if e.table.Load() != nil && e.fresh.Age(now) <= e.keyLimit() {
		phase = peers.Ready
	}
	before := e.peers.Self().Phase
	if before == phase || before == peers.Draining {
		return
	}
	e.peers.SetPhase(phase)
	e.log.Note("phase", decisions.F("ready", phase == peers.Ready), decisions.F("config_age", e.fresh.Age(now)))
}

// Directory lists the daemons that a caller in a failure domain should use.
func (e *Edge) Directory(domain ident.FailureDomain) []membership.Gateway {
	now := e.deps.Steady()
	e.mu.Lock()
	daemons := e.peers.Directory(now)
	e.mu.Unlock()
	return membership.Gateways(daemons, domain, mathrand.Uint64())
}

// Limits bounds what callers may send; the zero value until the configuration is
// known.
func (e *Edge) Limits() route.Limits {
	t := e.table.Load()
	if t == nil {
		return route.Limits{}
	}
	return t.Config().Limits
}
