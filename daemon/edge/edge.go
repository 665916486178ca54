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

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/coordination/feed"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/walltime"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Deps are the dependencies of an Edge.
type Deps struct {
	Store   kv.Store
	Codec   Codec
	Runners RunnerClient
	// Cloud may be nil; the daemon then never becomes the duty holder.
	Cloud Cloud
	// Datagrams is the socket bound to Settings.PeerAddress.
	Datagrams net.PacketConn
	// Delegation sends calls to other daemons, by HTTP/2 without TLS; nil if no requests are
	// delegated to them.
	Delegation connect.HTTPClient
	// Requests limits the bytes that the calls of other daemons hold together with the callers' requests; nil for no limit.
	Requests *callerlimit.Requests
	// Steady returns the time since a fixed moment, by a clock that never jumps and keeps
	// running while the VM is suspended.
	Steady func() time.Duration
	Log    *decisions.Log
}

// Edge is the daemon of an entry VM.
type Edge struct {
	settings Settings
	deps     Deps
	log      *decisions.Log
	self     ident.Incarnation
	// startedAt is the steady time of the daemon's start.
	startedAt time.Duration

	// table holds the routes; it is nil until the configuration has been read.
	table atomic.Pointer[route.Table]
	// drainingSince is the steady time of the call of Drain, zero before it.
	drainingSince atomic.Int64
	inFlight      atomic.Int64

	// mu guards the fields from here to lastFollowerSent: the state that the daemons exchange,
	// and the record of when the configuration was confirmed to be the newest one.
	mu sync.Mutex
	// fresh tracks when the active configuration was last proved to be the newest one. stamps
	// holds the latest time stamp received from each daemon, which is echoed to it for such
	// proofs.
	fresh     *freshness.Tracker
	peers     *peers.Table
	stamps    map[ident.Incarnation]freshness.Stamp
	wallClock *walltime.Estimate
	// usageLedger counts requests for the usage reports. tickedAt is when checkSentReports last ran. seq is
	// the number of the latest message that this daemon has sent.
	usageLedger *accounting.Ledger
	tickedAt    time.Duration
	limiter     *quota.Limiter
	seq         uint64
	// alive are the other daemons that are alive, as of the last check. relayPlan is derived
	// from them and says which daemons are relays and to which ones this daemon sends.
	// relayConfirmation tracks whether the other relays elect this daemon, too: relayPlan may
	// wrongly name it a relay while it knows only a part of the fleet. granterConfirmation is the
	// same for the relays that share the quotas. followers are the daemons that follow this one.
	alive               []peers.Member
	relayPlan           relays.Plan
	relayConfirmation   relays.Confirmation
	granterConfirmation relays.Confirmation
	// relaysChanged says that this daemon follows new relays and has not sent them a message
	// yet.
	relaysChanged bool
	followers     map[ident.Incarnation]follower
	// fedRelays are the other relays to which this daemon passes on the changes of the key-value
	// service, with what each of them has.
	fedRelays map[ident.Incarnation]feedRequest
	// fallback is the watcher of another failure domain that this relay asks for changes.
	fallback feed.Fallback
	// configs holds the latest versions of the operator's configuration as they were read.
	configs feed.ConfigHistory
	// configBehindSince is when another daemon was first found to have a newer configuration;
	// zero if none has.
	configBehindSince time.Duration
	// coverage records when each daemon's usage counts were last received. The keys of
	// requestedCountsByRelay are relays that lack a daemon's usage counts and have asked this
	// daemon for them; the value is the daemon whose counts are asked for.
	coverage               accounting.Coverage
	requestedCountsByRelay map[ident.Incarnation]ident.Incarnation
	// demotionRecipients are the daemons that must be told that this daemon no longer is a relay,
	// or that the fleet no longer is direct, in demotionSendsLeft more messages.
	demotionRecipients []peers.Member
	demotionSendsLeft  int
	// cutOffUntil holds the services of which other daemons have stated that they reach no
	// runner, with the time until which they are believed.
	cutOffUntil map[ident.Incarnation]map[string]time.Duration
	// helperCalls are the calls to helpers in progress.
	helperCalls helperCalls
	// rosterRequesters are the addresses of daemons that have asked for the relays' addresses,
	// or that wrongly consider themselves relays.
	rosterRequesters map[ident.Incarnation]string
	// rosterHash is a hash of the alive daemons and their phases at the latest change of these.
	// After such a change, rosters (lists of daemons) are sent in rosterSendsLeft more rounds.
	rosterHash      uint64
	rosterSendsLeft int
	// configShown is what the key-value service last showed of the configuration.
	configShown shownConfig
	// lastEndedSent is the ended daemon whose usage counts this daemon sent last, lastFollowerSent
	// the follower whose counts it sent last. The next message continues with the daemons after
	// these in the order of incarnations.
	lastEndedSent, lastFollowerSent ident.Incarnation

	// poolsMu guards the map pools; each pool has a lock of its own.
	poolsMu sync.RWMutex
	pools   map[string]*pool

	// retained is the list of runners by which idle connections were last closed.
	retained struct {
		mu     sync.Mutex
		number publication
	}

	// dir is this daemon's copy of the key-value service; it has a lock of its own.
	// snapshotPatience is how long it waits for the next part of it from relays. fleetFound is
	// closed when the size of the fleet has been looked up.
	dir              directory
	snapshotPatience time.Duration
	fleetFound       chan struct{}

	// directMode, relayMode and allWatch copy fields of relayPlan for code that can't wait for
	// mu.
	directMode, relayMode, allWatch atomic.Bool

	trials trials
	// reported holds the load at the runners that the other daemons have reported. recommended
	// holds the prompts for which this relay has recommended a runner to a follower; each counts
	// as load until the runner should have read it or the follower reports it.
	reported          peerLoadTable
	placements        placements
	grantRequests     pendingGrants
	recommended       recommendations
	runnerLimits      runnerLimits
	runnerSpeeds      runnerSpeeds
	streams           streamVersions
	versionReads      versionReads
	failureCauses     failureCauses
	causeSaver        causeSaver
	rests             rests
	fair              fairShare
	spill             edgeSpillover
	resolvedAddresses udpAddresses
	configCheck       configChecker
	duties            duties
	// restarted are the incarnations in whose place another one has answered, mayHaveEnded those to which a
	// connection has failed.
	restarted, mayHaveEnded recentRunners
	// probing ends with Run, and with it the probes of runners and what waits for acknowledgements;
	// stopProbes ends it.
	probing    context.Context
	stopProbes context.CancelFunc
	// ending ends when the requests in progress must end; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc
	// healthCheckedAt is when the runners' health was last checked; only tickLoop uses it.
	healthCheckedAt time.Duration
	// retryDaemons is the number of daemons that divide the retry budgets; only tickLoop uses it.
	retryDaemons peers.LargestSize
	// firstStart says that the fleet has never served, by the settings and by the key-value service. nothingSpent says
	// that no process at this daemon's address has spent any retries before this one.
	firstStart, nothingSpent atomic.Bool
}

const incarnationBytes = 6

// New returns a daemon that is idle until Run is called.
func New(settings Settings, deps Deps) *Edge {
	var random [incarnationBytes]byte
	// crypto/rand.Read ends the process instead of returning an error.
	_, _ = rand.Read(random[:])
	now := deps.Steady()
	self := ident.NewIncarnation(settings.ID, random[:])
	e := &Edge{
		settings:  settings,
		deps:      deps,
		log:       deps.Log,
		self:      self,
		startedAt: now,
		fresh:     freshness.New(),
		peers: peers.New(peers.Member{
			ID: settings.ID, Incarnation: self, FailureDomain: settings.FailureDomain,
			CallerAddress: settings.CallerAddress, PeerAddress: settings.PeerAddress, Phase: peers.Starting,
			Started: time.Now().UnixMilli(),
		}),
		followers:              map[ident.Incarnation]follower{},
		fedRelays:              map[ident.Incarnation]feedRequest{},
		cutOffUntil:            map[ident.Incarnation]map[string]time.Duration{},
		rosterRequesters:       map[ident.Incarnation]string{},
		requestedCountsByRelay: map[ident.Incarnation]ident.Incarnation{},
		stamps:                 map[ident.Incarnation]freshness.Stamp{},
		wallClock:              walltime.New(time.Now(), now),
		usageLedger: accounting.NewLedger(self, accounting.Timing{
			Length: settings.Bounds.UsageWindow, ReportWithin: settings.Bounds.UsageDue, SettleTime: accounting.SettleAfter,
		}),
		limiter: quota.New(now, settings.Bounds.QuotaWindow, settings.Bounds.QuotaTolerance, false),
		// Each daemon begins to send the usage counts of ended daemons after its own incarnation,
		// so that all daemons together have sent those of all ended daemons within a few messages.
		lastEndedSent:    self,
		pools:            map[string]*pool{},
		snapshotPatience: minSnapshotPatience + mathrand.N(minSnapshotPatience),
		fleetFound:       make(chan struct{}),
	}
	e.probing, e.stopProbes = context.WithCancel(context.Background())
	e.ending, e.endRequests = context.WithCancel(context.Background())
	e.dir.init(self)
	e.trials.init()
	e.reported.init()
	e.grantRequests.init()
	e.runnerLimits.init()
	e.runnerSpeeds.init()
	e.streams.init(now)
	e.failureCauses.init()
	e.rests.init()
	e.fair.init()
	e.spill.init()
	e.duties.init(e)
	// Until it hears from other daemons, a daemon plans as if it were alone.
	e.relayPlan = relays.Elect(relays.View{Self: e.peers.Self(), DirectFleet: settings.directFleet()})
	e.relayConfirmation.Start(now)
	e.granterConfirmation.Start(now)
	e.directMode.Store(e.relayPlan.Direct)
	e.allWatch.Store(e.relayPlan.AllWatch)
	e.relayMode.Store(e.relayPlan.Relay)
	for _, seed := range settings.Seeds {
		e.peers.LearnAddress(now, seed)
	}
	return e
}

// Learn adds peer addresses of other daemons.
func (e *Edge) Learn(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range addresses {
		e.peers.LearnAddress(e.deps.Steady(), a)
	}
}

// Incarnation identifies this run of the daemon.
func (e *Edge) Incarnation() ident.Incarnation { return e.self }

// Run runs the daemon until the context ends. For a graceful shutdown, call Drain first.
func (e *Edge) Run(ctx context.Context) error {
	e.log.Note("start", decisions.F("daemon", e.settings.ID), decisions.F("incarnation", e.self),
		decisions.F("failure_domain", e.settings.FailureDomain), decisions.F("first_start", e.settings.FleetNeverServed), decisions.F("without", e.settings.Policy), decisions.F("direct_fleet", e.settings.directFleet()))
	defer e.stopProbes()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.receiveDatagrams(ctx) })
	group.Go(func() error { e.tickLoop(ctx); return nil })
	group.Go(func() error { e.syncStore(ctx); return nil })
	group.Go(func() error { e.keepRegistered(ctx); return nil })
	group.Go(func() error { e.loadSavedStreams(ctx); return nil })
	group.Go(func() error { e.loadSavedCauses(ctx); return nil })
	if e.deps.Cloud != nil {
		group.Go(func() error { e.runDuties(ctx); return nil })
		group.Go(func() error { e.runStreamSaver(ctx); return nil })
	}
	err := group.Wait()
	e.log.Note("stop", decisions.F("daemon", e.settings.ID), decisions.F("in_flight", e.inFlight.Load()))
	if err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// Drain begins a graceful shutdown: callers are no longer directed to this daemon, and kept
// connections end with their next answer.
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

// timeSinceDrain returns the time since Drain was called, and false if it wasn't.
func (e *Edge) timeSinceDrain() (time.Duration, bool) {
	since := e.drainingSince.Load()
	if since == 0 {
		return 0, false
	}
	return e.deps.Steady() - time.Duration(since), true
}

// InFlight returns the number of requests in progress.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// Ready reports whether callers should be directed to this daemon.
func (e *Edge) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Self().Phase == peers.Ready
}

// refreshPhase switches between the phases starting and ready. A daemon is not ready without a
// configuration, or with one that is too old to admit requests with keys, since it would only
// refuse requests. The caller must hold mu.
func (e *Edge) refreshPhase(now time.Duration) {
	phase := peers.Starting
	if e.table.Load() != nil && e.fresh.Age(now) <= e.maxConfigAgeForKeys() {
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

// Limits returns the limits on callers' requests, or the zero value until the configuration is
// known.
func (e *Edge) Limits() route.Limits {
	t := e.table.Load()
	if t == nil {
		return route.Limits{}
	}
	return t.Config().Limits
}
