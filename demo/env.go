package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/rollout"
	"geraniumstack.org/geraniumstack/daemon"
	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/platform"
	"geraniumstack.org/geraniumstack/standin/service"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"
	wire "geraniumstack.org/geraniumstack/transport/platform"
)

// Sizes and speeds of the stand-ins.
const (
	gateways       = 5
	startTime      = 2 * time.Second
	listLag        = time.Second
	orderTime      = time.Second
	engineStep     = 20 * time.Millisecond
	engineBlocks   = 4096
	exportRate     = 200e6
	bytesPerToken  = 100_000
	prefillRate    = 8000
	engineBatch    = 32
	weightRate     = 50
	weightBytes    = 1 << 30
	shutdownMillis = 8000
	anyPort        = "127.0.0.1:0"
)

// env is the whole system on loopback: stand-ins and gateways.
type env struct {
	fleet   *Fleet
	store   *kvserver.Store
	cloud   *platform.Cloud
	ledger  *engine.Ledger
	actions *service.Log

	mu      sync.Mutex
	engines map[string]*engine.Engine // by VM
	servers map[string]*http.Server   // by VM
	others  []*http.Server
	daemons []*running
}

// running is one gateway's daemon.
type running struct {
	*daemon.Daemon
	vm   string
	stop context.CancelFunc
	done chan error
}

func newEnv(f *Fleet, seed uint64) (*env, error) {
	e := &env{
		fleet: f, store: kvserver.New(), ledger: engine.NewLedger(), actions: service.NewLog(),
		engines: map[string]*engine.Engine{}, servers: map[string]*http.Server{},
	}
	e.cloud = platform.New(platform.Settings{
		FailureDomains: f.Manifest.Fleet.FailureDomains, Classes: classes(f.Manifest), Seed: seed,
		PriceSpread: 0.2, StartTime: startTime, ListLag: listLag,
		Hooks: platform.Hooks{Launch: e.launch, Noticed: e.noticed, Removed: e.removed},
	})
	for _, s := range f.Manifest.Services {
		if err := e.firstSet(s); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func classes(m *manifest.Manifest) []platform.Class {
	var out []platform.Class
	for _, c := range m.Fleet.VMClasses {
		out = append(out, platform.Class{Name: c.Name, Reclaimable: c.Reclaimable, PricePerHour: c.PricePerHour})
	}
	return out
}

// firstSet registers the runners that are there before the system starts, with
// their models loaded.
func (e *env) firstSet(s manifest.Service) error {
	domains := e.fleet.Manifest.Fleet.FailureDomains
	for i := range s.Runners {
		vm := wire.VM{
			ID: fmt.Sprintf("%s-%02d", s.Name, i), FailureDomain: domains[i%len(domains)],
			Class: e.fleet.className(s.Name, true), Reclaimable: true, Service: s.Name, State: wire.VMLive,
		}
		address, err := e.run(vm, true)
		if err != nil {
			return err
		}
		vm.Address = address
		e.cloud.Register(vm)
	}
	return nil
}

// launch runs what a VM started by the system holds.
func (e *env) launch(vm wire.VM) (string, error) { return e.run(vm, false) }

func (e *env) run(vm wire.VM, loaded bool) (string, error) {
	s := e.fleet.Manifest.ServiceNamed(vm.Service)
	if s == nil {
		return "", &UnknownFleetError{Name: vm.Service}
	}
	var handler http.Handler
	if s.Kind == manifest.KindModel {
		eng := engine.New(e.engineConfig(vm, s, loaded), engine.WithLedger(e.ledger))
		handler = eng.Handler()
		e.mu.Lock()
		e.engines[vm.ID] = eng
		e.mu.Unlock()
	} else {
		handler = service.New(vm.ID, e.actions).Handler()
	}
	server, address, err := serve(handler)
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers[vm.ID] = server
	return address, nil
}

func (e *env) engineConfig(vm wire.VM, s *manifest.Service, loaded bool) engine.Config {
	m := e.fleet.Manifest.ModelNamed(e.fleet.model)
	c := engine.DefaultConfig(vm.ID, m.Name, m.Version)
	c.StepTime = engineStep
	c.PrefillRate = prefillRate
	c.MaxBatch = engineBatch
	c.KVBlocks = engineBlocks
	c.BytesPerToken = bytesPerToken
	c.ExportBandwidth = exportRate
	c.OrderTime = orderTime
	c.ChecksFencing = s.ChecksFencing
	c.RefuseWhenLeaving = true
	if !loaded {
		c.Models = nil
		return c
	}
	entry := engineapi.Loaded{Model: m.Name, Version: m.Version}
	for _, a := range m.Adapters {
		entry.Adapters = append(entry.Adapters, rollout.AdapterID(a))
	}
	c.Models = []engineapi.Loaded{entry}
	return c
}

func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() {
		// Serve ends with the error of Close.
		_ = s.Serve(l)
	}()
	return s, l.Addr().String(), nil
}

// noticed tells a runner, or a gateway's daemon through the notices only: the
// system must learn of those by itself.
func (e *env) noticed(vm wire.VM, left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if eng, ok := e.engines[vm.ID]; ok {
		eng.Notice(left)
	}
}

func (e *env) removed(vm wire.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if eng, ok := e.engines[vm.ID]; ok {
		eng.Die()
		delete(e.engines, vm.ID)
	}
	if s, ok := e.servers[vm.ID]; ok {
		// Open connections break, as a VM's do.
		_ = s.Close()
		delete(e.servers, vm.ID)
	}
	for _, d := range e.daemons {
		if d.vm == vm.ID {
			d.stop()
		}
	}
}

// startGateways starts the platform's servers and the daemons.
func (e *env) startGateways(ctx context.Context) error {
	platformURL, err := e.serveOther(e.cloud.Handler())
	if err != nil {
		return err
	}
	kvURL, err := e.serveOther(e.store.Handler())
	if err != nil {
		return err
	}
	weightsURL, err := e.serveOther(platform.NewWeights(weightRate, weightRate, e.weights()...).Handler())
	if err != nil {
		return err
	}
	for i := range gateways {
		s := e.settings(i, settings.Platform{KeyValue: kvURL, VMList: platformURL, Cloud: platformURL, Weights: weightsURL})
		if err := e.startGateway(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) serveOther(h http.Handler) (string, error) {
	s, address, err := serve(h)
	if err != nil {
		return "", err
	}
	e.others = append(e.others, s)
	return "http://" + address, nil
}

func (e *env) weights() []wire.Weight {
	var out []wire.Weight
	for _, m := range e.fleet.Manifest.Models {
		out = append(out, wire.Weight{Name: m.Name, Version: m.Version, Bytes: weightBytes})
		if m.Canary != nil {
			out = append(out, wire.Weight{Name: m.Name, Version: m.Canary.Version, Bytes: weightBytes})
		}
		for _, a := range m.Adapters {
			out = append(out, wire.Weight{Name: a.Name, Version: a.Version, Bytes: weightBytes / 100})
		}
	}
	return out
}

func (e *env) settings(i int, p settings.Platform) *settings.Settings {
	s := &settings.Settings{
		ID:            ident.DaemonID(fmt.Sprintf("gateway-%d", i+1)),
		FailureDomain: e.fleet.gatewayDomain(i),
		Listen:        settings.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort},
		Platform:      p,
		Shutdown:      settings.Shutdown{GraceMillis: shutdownMillis},
		Admin:         settings.Admin{Credentials: []settings.Credential{operator()}},
	}
	for _, d := range e.daemons {
		s.Seeds = append(s.Seeds, d.Self().PeerAddress)
	}
	s.FillDefaults()
	return s
}

func (e *env) startGateway(ctx context.Context, s *settings.Settings) error {
	d, err := daemon.New(s, daemon.TCP{})
	if err != nil {
		return fmt.Errorf("gateway %s: %w", s.ID, err)
	}
	ctx, stop := context.WithCancel(ctx)
	r := &running{Daemon: d, vm: string(s.ID), stop: stop, done: make(chan error, 1)}
	go func() { r.done <- d.Run(ctx) }()
	e.cloud.Register(wire.VM{
		ID: r.vm, Address: d.Self().CallerAddress, FailureDomain: s.FailureDomain,
		Class: "entry", Reclaimable: true, State: wire.VMLive,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.daemons = append(e.daemons, r)
	return nil
}

// stop ends everything in reverse order.
func (e *env) stop() {
	for _, d := range e.daemons {
		d.stop()
	}
	for _, d := range e.daemons {
		// The daemons' errors at their end are in the log.
		<-d.done
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, eng := range e.engines {
		eng.Die()
	}
	for _, s := range e.servers {
		_ = s.Close()
	}
	for _, s := range e.others {
		_ = s.Close()
	}
	e.store.Close()
}
