package orders_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/orders"
	standin "geraniumstack.org/geraniumstack/standin/cloudapi"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
	"geraniumstack.org/geraniumstack/transport/engineapi"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	service   = "chat"
	stopGrace = 30 * time.Second
	startTime = 5 * time.Second
	listLag   = 3 * time.Second
	// longLag is a delay until the cloud's list shows a started VM. A new holder
	// that needn't wait for orders of the previous holder takes over in less
	// time, so that VMs started by the previous holder aren't listed yet.
	longLag  = 30 * time.Second
	loadTime = 10 * time.Second
)

// cluster holds a simulated cloud, key-value service and weight store, simulated
// engines, and daemons that run a Driver.
type cluster struct {
	*is.I
	store   *kvserver.Store
	cloud   *standin.Cloud
	weights *standin.Weights
	timing  lease.Timing
	metrics metrics.Registry
	daemons []*process

	mu         sync.Mutex
	manifest   manifest.Manifest
	generation ident.Generation
	engines    map[string]*engine.Engine
	announced  map[string]time.Time
	removed    map[string]time.Time
	delivered  []delivered
	reports    int
}

// delivered is an order that was delivered to a runner.
type delivered struct {
	at      time.Time
	daemon  ident.DaemonID
	address string
	order   engineapi.Order
}

func baseManifest(runners int, checksFencing bool) manifest.Manifest {
	return manifest.Manifest{
		Models:   []manifest.Model{{Name: "m", Version: "1", Service: service}},
		Services: []manifest.Service{{Name: service, Kind: manifest.KindModel, Runners: runners, ChecksFencing: checksFencing}},
		Fleet: manifest.Fleet{
			FailureDomains: []ident.FailureDomain{"a", "b"},
			VMClasses: []manifest.VMClass{
				{Name: "spot", Reclaimable: true, PricePerHour: 1}, {Name: "on-demand", PricePerHour: 3},
			},
		},
	}
}

// withCluster runs a test with three daemons in virtual time. The cloud's list of
// VMs lags by listLag.
func withCluster(t *testing.T, m manifest.Manifest, timing lease.Timing, test func(c *cluster)) {
	withClusterAndListLag(t, m, timing, listLag, test)
}

func withClusterAndListLag(t *testing.T, m manifest.Manifest, timing lease.Timing, lag time.Duration, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, m, timing, lag)
		defer c.close()
		for i := range 3 {
			c.daemons = append(c.daemons, c.process(ident.DaemonID(fmt.Sprintf("d%d", i))))
		}
		for _, d := range c.daemons {
			d.start()
		}
		test(c)
	})
}

func newCluster(t *testing.T, m manifest.Manifest, timing lease.Timing, lag time.Duration) *cluster {
	c := &cluster{
		I: is.New(t), store: kvserver.New(), timing: timing, metrics: metrics.NewRegistry(), manifest: m, generation: 1,
		engines: map[string]*engine.Engine{}, announced: map[string]time.Time{}, removed: map[string]time.Time{},
	}
	c.cloud = standin.New(standin.Settings{
		FailureDomains: m.Fleet.FailureDomains,
		Classes:        []standin.Class{{Name: "spot", Reclaimable: true, PricePerHour: 1}, {Name: "on-demand", PricePerHour: 3}},
		StartTime:      startTime, ListLag: lag, RefuseAfterReclaim: 10 * time.Minute,
		Hooks: standin.Hooks{Launch: c.launch, Noticed: c.notifyLeaving, Removed: c.recordRemoval},
	})
	c.weights = standin.NewWeights(100, 100)
	for _, version := range []string{"1", "2", "3"} {
		c.weights.Add(cloudapi.Weight{Name: "m", Version: version})
	}
	return c
}

func (c *cluster) launch(vm cloudapi.VM) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := engine.DefaultConfig(vm.ID, "m", "1")
	cfg.Models = nil
	cfg.LoadTime = loadTime
	cfg.ChecksFencing = c.manifest.Services[0].ChecksFencing
	c.engines[vm.ID] = engine.New(cfg)
	return vm.ID, nil
}

// notifyLeaving passes a reclaim notice to the engine and to the directory. In a
// real fleet the membership protocol informs the directory.
func (c *cluster) notifyLeaving(vm cloudapi.VM, left time.Duration) {
	c.engine(vm.ID).Notice(left)
	directory{c.daemons[0]}.NoteRunnerLeaving(vm.Address, left)
}

func (c *cluster) recordRemoval(vm cloudapi.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removed[vm.ID] = time.Now()
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.stop()
	}
	c.cloud.Close()
	c.store.Close()
	for _, e := range c.engines {
		e.Close()
	}
}

func (c *cluster) engine(address string) *engine.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[address]
}

// updateManifest changes the manifest and makes it the current one.
func (c *cluster) updateManifest(change func(m *manifest.Manifest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.manifest
	m.Models = slices.Clone(m.Models)
	m.Services = slices.Clone(m.Services)
	change(&m)
	c.manifest = m
	c.generation++
}

func (c *cluster) setVersion(v string) {
	c.updateManifest(func(m *manifest.Manifest) { m.Models[0].Version = v })
}

// runningVMs returns the started VMs that are not leaving.
func (c *cluster) runningVMs() []cloudapi.VM {
	return slices.DeleteFunc(c.cloud.VMs(), func(vm cloudapi.VM) bool {
		return vm.State == cloudapi.VMLeaving || vm.Address == ""
	})
}

// servingCount returns the number of running VMs that have a version completely
// loaded.
func (c *cluster) servingCount(version string) int {
	n := 0
	for _, vm := range c.runningVMs() {
		if hasLoaded(c.engine(vm.Address).Load(), version) {
			n++
		}
	}
	return n
}

func hasLoaded(l engineapi.Load, version string) bool {
	return slices.ContainsFunc(l.Models, func(m engineapi.LoadedModel) bool { return m.Version == version && !m.Loading })
}

func (c *cluster) deliveredOrders() []delivered {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.delivered)
}

// staleOrders returns the number of orders with an old fencing token that runners
// carried out.
func (c *cluster) staleOrders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.engines {
		n += e.Counters().StaleOrders
	}
	return n
}

func (c *cluster) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, c.metrics).Count()
}

// waitUntil waits for a condition and returns how long that took. It fails the
// test if the condition isn't reached within bound.
func (c *cluster) waitUntil(bound time.Duration, condition string, reached func() bool) time.Duration {
	began := time.Now()
	for !reached() {
		if time.Since(began) > bound {
			c.Equal("not reached in time", condition)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// waitServingAndIdle waits until n runners serve a version, and then another
// minute, so that no work is left in progress.
func (c *cluster) waitServingAndIdle(n int, version string) {
	c.waitUntil(10*time.Minute, "runners serve version "+version, func() bool { return c.servingCount(version) == n })
	time.Sleep(time.Minute)
}

// holder returns the daemon that holds the responsibility, or nil.
func (c *cluster) holder(name string) *process {
	entry, err := c.store.Get(context.Background(), "lease/"+name)
	c.NoErr(err)
	for _, d := range c.daemons {
		if string(d.incarnation) == string(entry.Value) {
			return d
		}
	}
	return nil
}

// process simulates the process of one daemon. While it is paused, its calls
// block, and they are sent when it resumes even if their deadlines have passed.
// After it was killed, its calls fail and are never sent.
type process struct {
	cluster     *cluster
	id          ident.DaemonID
	incarnation ident.Incarnation
	cancel      context.CancelFunc
	done        chan error

	mu sync.Mutex
	// wake is closed at the end of a pause; it is nil if the process isn't paused.
	wake chan struct{}
	dead bool
	// hook holds functions, by the kind of call, that are run once before the
	// next call of that kind is sent.
	hook map[string]func()
}

func (c *cluster) process(id ident.DaemonID) *process {
	return &process{
		cluster: c, id: id, incarnation: ident.NewIncarnation(id, []byte{1}),
		done: make(chan error, 1), hook: map[string]func(){},
	}
}

func (p *process) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c := p.cluster
	d := orders.New(orders.Config{
		Self: p.incarnation, Configuration: p, Directory: directory{p}, Store: store{c.store, p}, Cloud: cloud{c.cloud, p},
		Lister: c.cloud, Weights: c.weights, Engines: p, Timing: c.timing, Metrics: c.metrics, RoundInterval: time.Second, StopGrace: stopGrace,
	})
	go func() { p.done <- d.Run(ctx) }()
}

func (p *process) stop() {
	p.resume()
	p.cancel()
	<-p.done
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake = make(chan struct{})
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wake != nil {
		close(p.wake)
	}
	p.wake = nil
}

func (p *process) beforeNext(call string, do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hook[call] = do
}

// interceptCall runs the hook for a call and waits while the process is paused. It
// returns an error if the process was killed.
func (p *process) interceptCall(call string) error {
	p.mu.Lock()
	hook := p.hook[call]
	delete(p.hook, call)
	p.mu.Unlock()
	if hook != nil {
		hook()
	}
	p.mu.Lock()
	wake := p.wake
	p.mu.Unlock()
	if wake != nil {
		<-wake
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		return &deadError{}
	}
	return nil
}

type deadError struct{}

func (*deadError) Error() string { return "process is dead" }

// Load implements orders.Engines.
func (p *process) Load(_ context.Context, address string) (engineapi.Load, error) {
	if err := p.interceptCall("report"); err != nil {
		return engineapi.Load{}, err
	}
	p.cluster.mu.Lock()
	p.cluster.reports++
	p.cluster.mu.Unlock()
	return p.cluster.engine(address).Load(), nil
}

// Order implements orders.Engines.
func (p *process) Order(_ context.Context, address string, o engineapi.Order) error {
	if err := p.interceptCall("order"); err != nil {
		return err
	}
	c := p.cluster
	c.mu.Lock()
	c.delivered = append(c.delivered, delivered{at: time.Now(), daemon: p.id, address: address, order: o})
	c.mu.Unlock()
	return c.engine(address).Order(o)
}

// Current implements view.Config.
func (p *process) Current() (*manifest.Manifest, ident.Generation) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	m := p.cluster.manifest
	return &m, p.cluster.generation
}

// Changed implements view.Config.
func (p *process) Changed() <-chan struct{} { return nil }

// directory is a view.Directory that returns the cloud's VMs as runners and learns
// of leaving runners without delay.
type directory struct{ p *process }

func (d directory) Self() view.Daemon { return view.Daemon{ID: d.p.id, State: view.Live} }

func (d directory) Daemons() []view.Daemon {
	var out []view.Daemon
	for _, other := range d.p.cluster.daemons {
		out = append(out, view.Daemon{ID: other.id, State: view.Live})
	}
	return out
}

func (d directory) Runners(string) []view.Runner {
	c := d.p.cluster
	vms := c.cloud.VMs()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []view.Runner
	for _, vm := range vms {
		if vm.Address == "" {
			continue
		}
		r := view.Runner{ID: ident.RunnerID(vm.ID), Address: vm.Address, Service: vm.Service, State: view.Live}
		if _, leaving := c.announced[vm.Address]; leaving {
			r.State = view.Leaving
		}
		out = append(out, r)
	}
	return out
}

func (d directory) Changed() <-chan struct{} { return nil }

func (d directory) NoteRunnerLeaving(address string, _ time.Duration) {
	c := d.p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.announced[address]; !ok {
		c.announced[address] = time.Now()
	}
}

type store struct {
	*kvserver.Store
	p *process
}

func (s store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.p.interceptCall("get"); err != nil {
		return kv.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s store) CompareAndSwap(ctx context.Context, key string, expected kv.Revision, value []byte, id kv.LeaseID) (kv.Revision, error) {
	if err := s.p.interceptCall("swap"); err != nil {
		return 0, err
	}
	revision, err := s.Store.CompareAndSwap(ctx, key, expected, value, id)
	if lost := s.p.interceptCall("swapped"); lost != nil {
		return 0, lost
	}
	return revision, err
}

func (s store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.p.interceptCall("grant"); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := s.p.interceptCall("renew"); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s store) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.p.interceptCall("revoke"); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, id)
}

type cloud struct {
	*standin.Cloud
	p *process
}

func (c cloud) Start(ctx context.Context, r cloudapi.StartRequest) (cloudapi.VM, error) {
	if err := c.p.interceptCall("start"); err != nil {
		return cloudapi.VM{}, err
	}
	vm, err := c.Cloud.Start(ctx, r)
	if lost := c.p.interceptCall("started"); lost != nil {
		return cloudapi.VM{}, lost
	}
	return vm, err
}

func (c cloud) Stop(ctx context.Context, id string, fencing uint64) error {
	if err := c.p.interceptCall("stop"); err != nil {
		return err
	}
	return c.Cloud.Stop(ctx, id, fencing)
}

// heldLeases returns the keys of all leases that are held.
func (c *cluster) heldLeases() []string {
	entries, err := c.store.List(context.Background(), "lease/", "", 0)
	c.NoErr(err)
	held := map[string]bool{}
	for _, e := range entries {
		held[e.Key] = true
	}
	return slices.Sorted(maps.Keys(held))
}
