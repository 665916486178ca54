package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/polling"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// defaultRetryAfter is the retry delay that is sent to callers when there is no
// configuration or no suitable runner, or when a retry was refused.
const defaultRetryAfter = time.Second

// Dispatcher makes the scheduling decisions for all model services of a daemon.
// It is safe for concurrent use.
type Dispatcher struct {
	cfg Config

	// gateways is the number of live daemons, at least one.
	gateways atomic.Int64

	mu       sync.Mutex
	manifest *manifest.Manifest
	services map[string]*service

	// pollMu guards planner. It is the last lock to be acquired when several
	// are held.
	pollMu  sync.Mutex
	planner *polling.Planner
	// pollWakeup wakes the polling loop before its timer fires.
	pollWakeup chan struct{}

	// tickWakeup wakes the tick loop when a request is queued.
	tickWakeup chan struct{}

	// ctx stops the goroutines of the dispatcher; Run sets it.
	ctx context.Context
	wg  sync.WaitGroup

	// refreshMu serializes the refreshes of Run and refreshIfStale.
	refreshMu sync.Mutex
}

// New returns a Dispatcher. It refuses requests until Run has seen a
// configuration.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, services: map[string]*service{},
		planner: polling.New(cfg.Timing.Polling), pollWakeup: make(chan struct{}, 1),
	}
}

// Run processes changes of the directory and the configuration and polls the
// runners until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.wg.Wait()
	defer cancel()
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.wg.Go(func() { d.runTicks(ctx) })
	d.wg.Go(func() { d.runPolls(ctx) })
	for {
		directoryChanged, configChanged := d.cfg.Directory.Changed(), d.cfg.Config.Changed()
		d.refresh(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-directoryChanged:
		case <-configChanged:
		}
		if !pause.For(ctx, d.cfg.Timing.RefreshInterval) {
			return ctx.Err()
		}
	}
}

// refreshIfStale applies a configuration that Run has not seen yet. Without it,
// a request that arrives right after the operator was told that a new
// configuration is in force could be refused as not ready, or served with the
// previous configuration, until RefreshInterval has passed.
func (d *Dispatcher) refreshIfStale() {
	current, _ := d.cfg.Config.Current()
	d.mu.Lock()
	stale := d.ctx != nil && current != nil && d.manifest != current
	d.mu.Unlock()
	if stale {
		d.refresh(time.Now())
	}
}

// refresh updates the services and their runners from the configuration and the
// directory.
func (d *Dispatcher) refresh(now time.Time) {
	d.refreshMu.Lock()
	defer d.refreshMu.Unlock()
	current, _ := d.cfg.Config.Current()
	if current == nil {
		return
	}
	d.mu.Lock()
	configChanged := d.manifest != current
	d.manifest = current
	if configChanged {
		d.setServices()
	}
	services := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, s)
	}
	d.mu.Unlock()
	gateways := d.countGateways()
	for _, s := range services {
		if configChanged {
			s.configure(current)
		}
		s.setRunners(now, d.cfg.Directory.Runners(s.name), gateways)
		d.updatePolling(s)
	}
}

// setServices adds and removes services according to the configuration. The
// caller holds d.mu. Requests that are in progress at a removed service still
// finish.
func (d *Dispatcher) setServices() {
	listed := map[string]bool{}
	for _, s := range d.manifest.Services {
		if s.Kind != manifest.KindModel {
			continue
		}
		listed[s.Name] = true
		if d.services[s.Name] == nil {
			d.services[s.Name] = newService(d.cfg, s.Name)
		}
	}
	for name, s := range d.services {
		if !listed[name] {
			d.stopPolling(s)
			delete(d.services, name)
		}
	}
}

func (d *Dispatcher) countGateways() int {
	n := 0
	for _, other := range d.cfg.Directory.Daemons() {
		if other.State == view.Live {
			n++
		}
	}
	n = max(1, n)
	d.gateways.Store(int64(n))
	return n
}

func (d *Dispatcher) service(name string) *service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[name]
}

// runTicks advances the time of the services. It ticks every TickInterval while
// a request waits or a runner is ejected, and every IdleTickInterval otherwise:
// the default TickInterval gives 50 ticks per second, which cost an idle daemon
// more CPU time than its heartbeats.
func (d *Dispatcher) runTicks(ctx context.Context) {
	busy := true
	for d.waitForTick(ctx, busy) {
		busy = d.tickServices(time.Now())
	}
}

// waitForTick waits until the next tick is due. It returns false if ctx is
// done.
func (d *Dispatcher) waitForTick(ctx context.Context, busy bool) bool {
	if busy {
		return pause.For(ctx, d.cfg.Timing.TickInterval)
	}
	timer := time.NewTimer(d.cfg.Timing.IdleTickInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-d.tickWakeup:
	}
	return true
}

// tickServices ticks every service and reports whether any of them needs the
// next tick soon.
func (d *Dispatcher) tickServices(now time.Time) bool {
	d.mu.Lock()
	services := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, s)
	}
	d.mu.Unlock()
	needsTick := false
	for _, s := range services {
		d.startProbes(s, s.tick(now))
		needsTick = needsTick || s.needsTick()
	}
	return needsTick
}

// wakeTick ends the wait for an idle tick if the service needs a tick soon.
func (d *Dispatcher) wakeTick(s *service) {
	if !s.needsTick() {
		return
	}
	select {
	case d.tickWakeup <- struct{}{}:
	default:
	}
}

// startProbes starts the probes that the health tracker requested.
func (d *Dispatcher) startProbes(s *service, effects []health.Effect) {
	for _, e := range effects {
		if e.Kind != health.Probe {
			continue
		}
		address := s.address(e.Runner)
		d.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, d.cfg.Policy.Health.ProbeTimeout)
			defer cancel()
			err := d.cfg.Prober.Probe(ctx, address)
			klog.V(1).InfoS("Runner probed", "service", s.name, "runner", e.Runner, "err", err)
			s.handleProbe(time.Now(), e.Runner, err == nil)
		})
	}
}

// spawn runs f in a goroutine, unless Run has not started yet or has ended.
func (d *Dispatcher) spawn(f func(context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.ctx.Err() != nil {
		return
	}
	ctx := d.ctx
	d.wg.Go(func() { f(ctx) })
}

// resolve returns the service of a model and the class with the given names.
func (d *Dispatcher) resolve(model, class string) (*service, *manifest.Class, error) {
	d.refreshIfStale()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.manifest == nil {
		return nil, nil, refusal.New(refusal.NotReady, "no configuration in force yet").After(defaultRetryAfter)
	}
	m := d.manifest.ModelNamed(model)
	if m == nil || d.services[m.Service] == nil {
		return nil, nil, refusal.New(refusal.UnknownModel, "no model %q", model)
	}
	c := d.manifest.ClassNamed(class)
	if c == nil {
		return nil, nil, refusal.New(refusal.BadRequest, "no class %q", class)
	}
	return d.services[m.Service], c, nil
}

// incCounter increments the counter called name of a service.
func (c *Config) incCounter(service, name string) {
	if c.Metrics != nil {
		metrics.GetOrRegisterCounter("dispatch."+service+"."+name, c.Metrics).Inc(1)
	}
}

func (c *Config) addToCounter(service, name string, n int) {
	if c.Metrics != nil {
		metrics.GetOrRegisterCounter("dispatch."+service+"."+name, c.Metrics).Inc(int64(n))
	}
}

func (c *Config) setGauge(service, name string, value float64) {
	if c.Metrics != nil {
		metrics.GetOrRegisterGaugeFloat64("dispatch."+service+"."+name, c.Metrics).Update(value)
	}
}

// WaitingRequests returns the number of requests that wait for admission at a
// service.
func (d *Dispatcher) WaitingRequests(name string) int {
	s := d.service(name)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Queued()
}

// EjectedRunners returns the number of runners of a service that are ejected
// because of failures.
func (d *Dispatcher) EjectedRunners(name string) int {
	s := d.service(name)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.Ejected()
}

// runnerIDs returns the IDs of runners.
func runnerIDs(runners []view.Runner) []ident.RunnerID {
	ids := make([]ident.RunnerID, len(runners))
	for i := range runners {
		ids[i] = runners[i].ID
	}
	return ids
}
