// Package control drives the pure machines of coordination in a daemon: it
// follows the configuration register through the key-value service and peers,
// exchanges heartbeats, registers the daemon and reads the platform's list and
// notices. It implements view.Config and view.Directory.
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
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Config says what a Control works with.
type Config struct {
	// Self is this daemon; State, Heard and Generation are ignored.
	Self view.Daemon
	// VM is the platform's name of the machine; empty if it was not told.
	VM string
	// Seeds are peer addresses to try, from the settings.
	Seeds []string
	Store kv.Store
	// Lister and Cloud may be nil: no list, no notices.
	Lister cloudapi.Lister
	Cloud  cloudapi.Cloud
	// HTTPClient reaches the peers; nil is http.DefaultClient.
	HTTPClient connect.HTTPClient
	// Scheme of the peers' listeners; empty is "http".
	Scheme string
	// Metrics is where the counters are; nil is a registry of its own.
	Metrics metrics.Registry
}

// Control is the control side of one daemon. It is safe for concurrent use.
type Control struct {
	cfg      Config
	counters counters
	jitter   *jitter

	mu       sync.Mutex
	follower *config.Follower
	table    *membership.Table
	strategy *spread.Neighbours
	links    map[ident.Incarnation]*link
	// newest is the newest head known with its past; zero if read from peers.
	newest config.Head
	// activatedAt is when the configuration in force came into force here.
	activatedAt time.Time
	// lastStoreResponse is when the key-value service last answered.
	lastStoreResponse time.Time
	// publishedRevision is the revision of the table that was last acted on.
	publishedRevision membership.Revision
	publishedDigest   uint64

	// collectionDue holds at most one note for collectLoop.
	collectionDue chan struct{}

	configChanged    chan struct{}
	directoryChanged chan struct{}
	members          cached[[]membership.Member]
	daemons          cached[[]view.Daemon]
	vms              cached[map[string][]view.Runner]

	// runCtx is the context of Run; work started by handlers ends with it.
	runCtx context.Context
	tasks  sync.WaitGroup
}

// cached is a value with the revision of the table that it was made from.
type cached[T any] struct {
	revision uint64
	value    T
}

var (
	_ view.Config    = (*Control)(nil)
	_ view.Directory = (*Control)(nil)
)

const tickInterval = time.Second

// New returns a Control that knows its own daemon only; Run makes it work.
func New(cfg Config) *Control {
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = http.DefaultClient
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

// Run works until the context ends. It then gives up the registration and
// tells the linked peers that this incarnation is over.
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

// waitForTasks waits for spawned work. Once the lock has been held after the
// context's end, no more can be spawned.
func (c *Control) waitForTasks() {
	c.mu.Lock()
	//lint:ignore SA2001 whoever saw the context alive has added its task by now
	c.mu.Unlock()
	c.tasks.Wait()
}

// Handler serves the peers' calls.
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

// configView gives Control's two Changed methods apart: the one of
// view.Directory is its own, the one of view.Config is this type's.
type configView struct{ *Control }

// Changed implements view.Config.
func (c configView) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configChanged
}

// ConfigView returns the configuration alone, with its own Changed: it is not
// woken by changes of the directory.
func (c *Control) ConfigView() view.Config { return configView{c} }

// Changed implements view.Directory; it is closed at changes of the
// configuration in force too.
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

// Members lists the daemons with what decides between reports, by ID.
func (c *Control) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membersLocked()
}

// MembersNow is Members with the times they were last heard as of now. Members
// keeps its list until a state or generation changes, and with it times that
// may be long past.
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

// activationTime is when the configuration in force came into force here.
func (c *Control) activationTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activatedAt
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
	if c.vms.revision != revision || c.vms.value == nil {
		c.vms = cached[map[string][]view.Runner]{revision, map[string][]view.Runner{}}
	}
	runners, ok := c.vms.value[service]
	if !ok {
		runners = c.table.Runners(service)
		c.vms.value[service] = runners
	}
	return runners
}

// NoteLeaving implements view.Directory.
func (c *Control) NoteLeaving(address string, left time.Duration) {
	c.applyNotices([]membership.Notice{{Address: address, Left: left}})
}

// Drain makes this daemon leaving for good and tells the others at once. The
// time is when it ends; zero if not known.
func (c *Control) Drain(leavesAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Drain(time.Now(), leavesAt)
	c.publishChangesLocked()
}

// DrainTarget makes a daemon or the runner of a VM leaving for good, wherever it
// is. The error is an *UnknownTargetError.
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

// UnknownTargetError says that there is no such daemon or runner.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("no daemon or runner %q is known", e.Target)
}

// InForce returns the highest generation in force in each failure domain, as
// far as this daemon has heard.
func (c *Control) InForce() map[ident.FailureDomain]ident.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.InForce()
}

// StoreUp tells whether the key-value service answered lately.
func (c *Control) StoreUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastStoreResponse) < storeUpWindow
}

// publishChangesLocked acts on what changed in the table: it rebuilds the links, wakes
// readers and pushes news.
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

func (c *Control) tick() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Tick(now)
	c.executeEffectsLocked(c.follower.Tick(now))
	c.publishChangesLocked()
}

// spawn runs work that ends with Run; it is dropped before Run and after.
// The lock must be held.
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
