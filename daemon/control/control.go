// Package control runs a daemon's control plane. It performs the I/O for the
// state machines in package coordination: it follows the configuration register
// through the key-value service and through peers, exchanges heartbeats with
// peers, registers the daemon, and reads the platform's VM list and termination
// notices. Control implements view.Config and view.Directory.
package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/spread"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/gen/geranium/mesh/v1/meshv1connect"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Config holds the dependencies and settings of a Control.
type Config struct {
	// Self describes this daemon. Its State, LastHeard and Generation are
	// ignored.
	Self view.Daemon
	// VM is the platform's ID of the VM this daemon runs on. It is empty if the
	// daemon does not know it.
	VM string
	// Seeds lists peer addresses from the settings, used to find the first
	// peers.
	Seeds []string
	Store kv.Store
	// Lister reads the VM list and Cloud the termination notices. Either may be
	// nil, which disables that source.
	Lister cloudapi.VMLister
	Cloud  cloudapi.Cloud
	// HTTPClient sends requests to peers; nil means a client over TCP.
	HTTPClient connect.HTTPClient
	// Scheme is the URL scheme of the peers' listeners; empty means "http".
	Scheme string
	// Metrics receives the counters; nil means a private registry.
	Metrics metrics.Registry
}

// Control runs the control plane of one daemon: configuration, membership and
// registration. It is safe for concurrent use.
type Control struct {
	cfg      Config
	counters counters
	jitter   *jitter

	mu       sync.Mutex
	follower *config.Follower
	table    *membership.Table
	strategy *spread.Neighbours
	links    map[ident.Incarnation]*link
	// newestHead is the newest head read from the key-value service, with its
	// history. It is zero if the configuration came only from peers.
	newestHead config.Head
	// activated is when this daemon activated the configuration now in force.
	activated time.Time
	// lastStoreResponse is when the key-value service last responded.
	lastStoreResponse time.Time
	// publishedRevision is the table revision that publishChangesLocked last
	// handled, and publishedDigest the digest of that revision.
	publishedRevision membership.Revision
	publishedDigest   uint64

	// collectionDue signals collectLoop that a collection is due. Its buffer
	// holds one signal.
	collectionDue chan struct{}

	configChanged    chan struct{}
	directoryChanged chan struct{}
	members          cached[[]membership.Member]
	daemons          cached[[]view.Daemon]
	runnersByService cached[map[string][]view.Runner]

	// runCtx is the context of Run. Work that handlers start ends with it.
	runCtx context.Context
	tasks  sync.WaitGroup
}

// cached is a value together with the table revision from which it was
// computed.
type cached[T any] struct {
	revision uint64
	value    T
}

var (
	_ view.Config    = (*Control)(nil)
	_ view.Directory = (*Control)(nil)
)

const tickInterval = time.Second

// New returns a Control that knows only its own daemon. Call Run to start it.
func New(cfg Config) *Control {
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = httpanswer.NewClient()
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	cfg.Self.Generation = 0
	cfg.Self.State = view.Live
	self := membership.Member{Daemon: cfg.Self, VM: cfg.VM}
	return &Control{
		cfg:              cfg,
		counters:         newCounters(cfg.Metrics),
		jitter:           newJitter(cfg.Self.Incarnation),
		follower:         config.NewFollower(),
		table:            membership.New(time.Now(), self),
		strategy:         spread.NewNeighbours(string(cfg.Self.Incarnation)),
		links:            map[ident.Incarnation]*link{},
		collectionDue:    make(chan struct{}, 1),
		configChanged:    make(chan struct{}),
		directoryChanged: make(chan struct{}),
	}
}

// Run runs the control plane until ctx ends. It then revokes the registration
// and tells the linked peers that this incarnation has ended.
func (c *Control) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	c.start(ctx)
	loops := []func(context.Context){
		c.tickLoop, c.seedLoop, c.watchLoop, c.rereadLoop, c.registerLoop, c.readRegistrationsLoop, c.collectLoop,
	}
	if c.cfg.Lister != nil {
		loops = append(loops, c.listLoop)
	}
	if c.cfg.Cloud != nil {
		loops = append(loops, c.noticeLoop)
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := group.Wait()
	c.waitForTasks()
	c.announceDeparture()
	return err
}

func (c *Control) start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runCtx = ctx
	c.relinkLocked()
}

// waitForTasks waits for the goroutines that spawnLocked started. spawnLocked
// checks the context under the lock, so once the lock has been acquired after
// the end of the context, no further goroutine can start.
func (c *Control) waitForTasks() {
	c.mu.Lock()
	//lint:ignore SA2001 a spawnLocked call that saw a live context has added its task by now
	c.mu.Unlock()
	c.tasks.Wait()
}

// Handler returns the path and the HTTP handler for calls from peers.
func (c *Control) Handler() (string, http.Handler) {
	return meshv1connect.NewMeshServiceHandler((*meshService)(c),
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressAbove))
}

// Current implements view.Config.
func (c *Control) Current() (*manifest.Manifest, ident.Generation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, m := c.follower.InForce()
	return m, head.Generation
}

// configView implements view.Config. It exists because view.Config and
// view.Directory both have a Changed method: Control's own method reports
// directory changes, and this type's method reports only configuration changes.
type configView struct{ *Control }

// Changed implements view.Config.
func (c configView) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configChanged
}

// ConfigView returns a view of the configuration whose Changed channel is not
// closed by changes of the directory.
func (c *Control) ConfigView() view.Config { return configView{c} }

// Changed implements view.Directory. The channel is also closed when a
// configuration comes into force.
func (c *Control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directoryChanged
}

// Self implements view.Directory.
func (c *Control) Self() view.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.table.Self().Daemon
	self.LastHeard = time.Now()
	return self
}

// Members returns the known daemons, sorted by ID, with the fields that decide
// which of two conflicting reports wins.
func (c *Control) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membersLocked()
}

// MembersNow is like Members, but its LastHeard times are current. Members
// caches its list until a state or generation changes, so the LastHeard times
// there may be long out of date.
func (c *Control) MembersNow() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := c.table.Members()
	for i := range members {
		if members[i].Incarnation == c.cfg.Self.Incarnation {
			members[i].LastHeard = time.Now()
		}
	}
	return members
}

// activationTime returns when this daemon activated the configuration now in
// force.
func (c *Control) activationTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activated
}

func (c *Control) membersLocked() []membership.Member {
	revision := c.table.Revision().Members
	if c.members.revision != revision {
		c.members = cached[[]membership.Member]{revision, c.table.Members()}
	}
	return c.members.value
}

// Daemons implements view.Directory.
func (c *Control) Daemons() []view.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := c.table.Revision().Members
	if c.daemons.revision == revision {
		return c.daemons.value
	}
	members := c.membersLocked()
	daemons := make([]view.Daemon, 0, len(members))
	for _, m := range members {
		daemons = append(daemons, m.Daemon)
	}
	c.daemons = cached[[]view.Daemon]{revision, daemons}
	return daemons
}

// Runners implements view.Directory.
func (c *Control) Runners(service string) []view.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := c.table.Revision().VMs
	if c.runnersByService.revision != revision || c.runnersByService.value == nil {
		c.runnersByService = cached[map[string][]view.Runner]{revision, map[string][]view.Runner{}}
	}
	runners, ok := c.runnersByService.value[service]
	if !ok {
		runners = c.table.Runners(service)
		c.runnersByService.value[service] = runners
	}
	return runners
}

// NoteRunnerLeaving implements view.Directory.
func (c *Control) NoteRunnerLeaving(address string, left time.Duration) {
	c.applyNotices([]membership.Notice{{Address: address, TimeLeft: left}})
}

// Drain permanently marks this daemon as leaving and tells its peers at once.
// leavesAt is when the daemon will stop; zero means unknown.
func (c *Control) Drain(leavesAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Drain(time.Now(), leavesAt)
	c.publishChangesLocked()
}

// DrainTarget permanently marks as leaving the daemon with the given ID or
// incarnation, or the runner on the given VM, anywhere in the fleet. It returns
// an *UnknownTargetError if the target is not known.
func (c *Control) DrainTarget(target string) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.publishChangesLocked()
	found := c.table.MarkVMLeaving(now, target)
	for _, m := range c.membersLocked() {
		if string(m.ID) == target || string(m.Incarnation) == target {
			found = c.table.MarkLeaving(now, time.Time{}, m.Incarnation) || found
		}
	}
	if !found {
		return &UnknownTargetError{Target: target}
	}
	return nil
}

// UnknownTargetError reports that no known daemon or runner has the given ID.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("no daemon or runner %q is known", e.Target)
}

// InForce returns, for each failure domain, the highest generation known to be
// in force there.
func (c *Control) InForce() map[ident.FailureDomain]ident.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.InForce()
}

// StoreUp reports whether the key-value service has responded within
// storeUpWindow.
func (c *Control) StoreUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastStoreResponse) < storeUpWindow
}

// publishChangesLocked publishes table changes made since the last call: it
// updates the links to peers, wakes readers of Changed, and triggers an
// exchange on every link. It does nothing if the table has not changed.
func (c *Control) publishChangesLocked() {
	revision := c.table.Revision()
	if revision == c.publishedRevision {
		return
	}
	c.publishedRevision = revision
	if digest := c.table.Digest(); digest != c.publishedDigest {
		c.publishedDigest = digest
		c.relinkLocked()
	}
	close(c.directoryChanged)
	c.directoryChanged = make(chan struct{})
	for _, l := range c.links {
		l.wake()
	}
}

// applyNotices applies termination notices to the membership table.
func (c *Control) applyNotices(notices []membership.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range notices {
		c.table.ApplyNotice(time.Now(), n)
	}
	c.publishChangesLocked()
}

func (c *Control) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick()
		}
	}
}

// tick advances the membership table and the follower to the current time.
func (c *Control) tick() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Tick(now)
	c.executeEffectsLocked(c.follower.Tick(now))
	c.publishChangesLocked()
}

// spawnLocked runs work in a goroutine with the context of Run. It drops the
// work if Run has not started or its context has ended. The caller must hold
// c.mu.
func (c *Control) spawnLocked(work func(context.Context)) {
	ctx := c.runCtx
	if ctx == nil || ctx.Err() != nil {
		return
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		work(ctx)
	}()
}
