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
	grace     = 30 * time.Second
	startTime = 5 * time.Second
	listLag   = 3 * time.Second
	// longLag is longer than a takeover by a holder that need not wait.
	longLag  = 30 * time.Second
	loadTime = 10 * time.Second
)

// world is the platform, the engines and some daemons that give orders.
type world struct {
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
	given      []given
	reports    int
}

// given is an order that reached a runner.
type given struct {
	at      time.Time
	daemon  ident.DaemonID
	address string
	order   engineapi.Order
}

func base(runners int, checks bool) manifest.Manifest {
	return manifest.Manifest{
		Models:   []manifest.Model{{Name: "m", Version: "1", Service: service}},
		Services: []manifest.Service{{Name: service, Kind: manifest.KindModel, Runners: runners, ChecksFencing: checks}},
		Fleet: manifest.Fleet{
			FailureDomains: []ident.FailureDomain{"a", "b"},
			VMClasses: []manifest.VMClass{
				{Name: "spot", Reclaimable: true, PricePerHour: 1}, {Name: "on-demand", PricePerHour: 3},
			},
		},
	}
}

// bubble runs a test with three daemons in virtual time.
func bubble(t *testing.T, m manifest.Manifest, timing lease.Timing, test func(w *world)) {
	laggingBubble(t, m, timing, listLag, test)
}

func laggingBubble(t *testing.T, m manifest.Manifest, timing lease.Timing, lag time.Duration, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, m, timing, lag)
		defer w.close()
		for i := range 3 {
			w.daemons = append(w.daemons, w.process(ident.DaemonID(fmt.Sprintf("d%d", i))))
		}
		for _, d := range w.daemons {
			d.start()
		}
		test(w)
	})
}

func newWorld(t *testing.T, m manifest.Manifest, timing lease.Timing, lag time.Duration) *world {
	w := &world{
		I: is.New(t), store: kvserver.New(), timing: timing, metrics: metrics.NewRegistry(), manifest: m, generation: 1,
		engines: map[string]*engine.Engine{}, announced: map[string]time.Time{}, removed: map[string]time.Time{},
	}
	w.cloud = standin.New(standin.Settings{
		FailureDomains: m.Fleet.FailureDomains,
		Classes:        []standin.Class{{Name: "spot", Reclaimable: true, PricePerHour: 1}, {Name: "on-demand", PricePerHour: 3}},
		StartTime:      startTime, ListLag: lag, RefuseAfterReclaim: 10 * time.Minute,
		Hooks: standin.Hooks{Launch: w.launch, Noticed: w.noticed, Removed: w.remove},
	})
	w.weights = standin.NewWeights(100, 100)
	for _, version := range []string{"1", "2", "3"} {
		w.weights.Add(cloudapi.Weight{Name: "m", Version: version})
	}
	return w
}

func (w *world) launch(vm cloudapi.VM) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cfg := engine.DefaultConfig(vm.ID, "m", "1")
	cfg.Models = nil
	cfg.OrderTime = loadTime
	cfg.ChecksFencing = w.manifest.Services[0].ChecksFencing
	w.engines[vm.ID] = engine.New(cfg)
	return vm.ID, nil
}

// noticed tells the engine, and the directory as the membership would.
func (w *world) noticed(vm cloudapi.VM, left time.Duration) {
	w.engine(vm.ID).Notice(left)
	directory{w.daemons[0]}.NoteLeaving(vm.Address, left)
}

func (w *world) remove(vm cloudapi.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed[vm.ID] = time.Now()
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.stop()
	}
	w.cloud.Close()
	w.store.Close()
	for _, e := range w.engines {
		e.Close()
	}
}

func (w *world) engine(address string) *engine.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[address]
}

// apply puts a changed manifest in force.
func (w *world) apply(change func(m *manifest.Manifest)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.manifest
	m.Models = slices.Clone(m.Models)
	m.Services = slices.Clone(m.Services)
	change(&m)
	w.manifest = m
	w.generation++
}

func (w *world) version(v string) {
	w.apply(func(m *manifest.Manifest) { m.Models[0].Version = v })
}

// running lists the VMs that are there without a notice.
func (w *world) running() []cloudapi.VM {
	return slices.DeleteFunc(w.cloud.VMs(), func(vm cloudapi.VM) bool {
		return vm.State == cloudapi.VMLeaving || vm.Address == ""
	})
}

// serving counts the running VMs that hold a version, loaded.
func (w *world) serving(version string) int {
	n := 0
	for _, vm := range w.running() {
		if holds(w.engine(vm.Address).Load(), version) {
			n++
		}
	}
	return n
}

func holds(l engineapi.Load, version string) bool {
	return slices.ContainsFunc(l.Models, func(m engineapi.LoadedModel) bool { return m.Version == version && !m.Loading })
}

func (w *world) orders() []given {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.given)
}

// staleOrders counts the orders with an old token that runners carried out.
func (w *world) staleOrders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.engines {
		n += e.Counters().StaleOrders
	}
	return n
}

func (w *world) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, w.metrics).Count()
}

// until waits for a condition and returns how long it took.
func (w *world) until(bound time.Duration, what string, reached func() bool) time.Duration {
	began := time.Now()
	for !reached() {
		if time.Since(began) > bound {
			w.Equal("not reached within its bound", what)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// settled waits until n runners serve a version, and a while more.
func (w *world) settled(n int, version string) {
	w.until(10*time.Minute, "runners serve version "+version, func() bool { return w.serving(version) == n })
	time.Sleep(time.Minute)
}

// holder is the daemon that holds the responsibility.
func (w *world) holder(name string) *process {
	entry, err := w.store.Get(context.Background(), "lease/"+name)
	w.NoErr(err)
	for _, d := range w.daemons {
		if string(d.incarnation) == string(entry.Value) {
			return d
		}
	}
	return nil
}

// process is one daemon. A paused one's calls go out when it wakes, whatever
// their deadlines; a dead one's never do.
type process struct {
	world       *world
	id          ident.DaemonID
	incarnation ident.Incarnation
	cancel      context.CancelFunc
	done        chan error

	mu sync.Mutex
	// wake is closed at the end of a pause; nil is no pause.
	wake chan struct{}
	dead bool
	// trap runs at the next call of a kind, before it goes out.
	trap map[string]func()
}

func (w *world) process(id ident.DaemonID) *process {
	return &process{
		world: w, id: id, incarnation: ident.NewIncarnation(id, []byte{1}),
		done: make(chan error, 1), trap: map[string]func(){},
	}
}

func (p *process) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	w := p.world
	d := orders.New(orders.Config{
		Self: p.incarnation, Configuration: p, Directory: directory{p}, Store: store{w.store, p}, Cloud: cloud{w.cloud, p},
		Lister: w.cloud, Weights: w.weights, Engines: p, Timing: w.timing, Metrics: w.metrics, Every: time.Second, StopGrace: grace,
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

func (p *process) at(call string, do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trap[call] = do
}

// pass lets a call go out.
func (p *process) pass(call string) error {
	p.mu.Lock()
	trap := p.trap[call]
	delete(p.trap, call)
	p.mu.Unlock()
	if trap != nil {
		trap()
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
	if err := p.pass("report"); err != nil {
		return engineapi.Load{}, err
	}
	p.world.mu.Lock()
	p.world.reports++
	p.world.mu.Unlock()
	return p.world.engine(address).Load(), nil
}

// Order implements orders.Engines.
func (p *process) Order(_ context.Context, address string, o engineapi.Order) error {
	if err := p.pass("order"); err != nil {
		return err
	}
	w := p.world
	w.mu.Lock()
	w.given = append(w.given, given{at: time.Now(), daemon: p.id, address: address, order: o})
	w.mu.Unlock()
	return w.engine(address).Order(o)
}

// Current implements view.Config.
func (p *process) Current() (*manifest.Manifest, ident.Generation) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	m := p.world.manifest
	return &m, p.world.generation
}

// Changed implements view.Config.
func (p *process) Changed() <-chan struct{} { return nil }

// directory sees what the cloud has, and the announcements at once.
type directory struct{ p *process }

func (d directory) Self() view.Daemon { return view.Daemon{ID: d.p.id, State: view.Live} }

func (d directory) Daemons() []view.Daemon {
	var out []view.Daemon
	for _, other := range d.p.world.daemons {
		out = append(out, view.Daemon{ID: other.id, State: view.Live})
	}
	return out
}

func (d directory) Runners(string) []view.Runner {
	w := d.p.world
	vms := w.cloud.VMs()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []view.Runner
	for _, vm := range vms {
		if vm.Address == "" {
			continue
		}
		r := view.Runner{ID: ident.RunnerID(vm.ID), Address: vm.Address, Service: vm.Service, State: view.Live}
		if _, leaving := w.announced[vm.Address]; leaving {
			r.State = view.Leaving
		}
		out = append(out, r)
	}
	return out
}

func (d directory) Changed() <-chan struct{} { return nil }

func (d directory) NoteLeaving(address string, _ time.Duration) {
	w := d.p.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.announced[address]; !ok {
		w.announced[address] = time.Now()
	}
}

type store struct {
	*kvserver.Store
	p *process
}

func (s store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.p.pass("get"); err != nil {
		return kv.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s store) CompareAndSwap(ctx context.Context, key string, expected kv.Revision, value []byte, id kv.LeaseID) (kv.Revision, error) {
	if err := s.p.pass("swap"); err != nil {
		return 0, err
	}
	revision, err := s.Store.CompareAndSwap(ctx, key, expected, value, id)
	if lost := s.p.pass("swapped"); lost != nil {
		return 0, lost
	}
	return revision, err
}

func (s store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.p.pass("grant"); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := s.p.pass("renew"); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s store) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.p.pass("revoke"); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, id)
}

type cloud struct {
	*standin.Cloud
	p *process
}

func (c cloud) Start(ctx context.Context, r cloudapi.StartRequest) (cloudapi.VM, error) {
	if err := c.p.pass("start"); err != nil {
		return cloudapi.VM{}, err
	}
	vm, err := c.Cloud.Start(ctx, r)
	if lost := c.p.pass("started"); lost != nil {
		return cloudapi.VM{}, lost
	}
	return vm, err
}

func (c cloud) Stop(ctx context.Context, id string, fencing uint64) error {
	if err := c.p.pass("stop"); err != nil {
		return err
	}
	return c.Cloud.Stop(ctx, id, fencing)
}

// leases lists the responsibilities that anybody holds.
func (w *world) leases() []string {
	entries, err := w.store.List(context.Background(), "lease/", "", 0)
	w.NoErr(err)
	held := map[string]bool{}
	for _, e := range entries {
		held[e.Key] = true
	}
	return slices.Sorted(maps.Keys(held))
}
