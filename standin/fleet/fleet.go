// Package fleet runs a complete set of stand-ins: the key-value service, the
// cloud API with the VM list, the weight store, and runners that start and
// stop with their VMs.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/standin/cloudapi"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/service"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"

	api "geraniumstack.org/geraniumstack/transport/cloudapi"
)

// Network opens listeners and connections. Package pipe has an implementation
// in memory.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Listen opens a TCP listener on an IP address and port.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// UnknownServiceError reports the start of a VM for a service that the
// settings do not define.
type UnknownServiceError struct{ Service string }

func (e *UnknownServiceError) Error() string { return fmt.Sprintf("unknown service %q", e.Service) }

// Options connect a fleet to the test or program that runs it. All fields are
// optional.
type Options struct {
	// Network defaults to TCP{}.
	Network Network
	// EntryNoticed and EntryRemoved are called when an entry VM, which runs a
	// daemon outside of the fleet, gets a reclaim notice or is removed.
	EntryNoticed func(vm api.VM, left time.Duration)
	EntryRemoved func(vm api.VM)
}

// Fleet is a running set of stand-ins.
type Fleet struct {
	// KV, Cloud and Weights are the platform's services.
	KV      *kvserver.Store
	Cloud   *cloudapi.Cloud
	Weights *cloudapi.Weights
	// Executions is shared by all runners of plain services, and TokenCounter
	// by all engines.
	Executions   *service.ExecutionLog
	TokenCounter *engine.TokenCounter

	settings  Settings
	options   Options
	client    *http.Client
	addresses Addresses
	servers   []*http.Server

	mu      sync.Mutex
	runners map[string]*Runner
}

// Addresses are the base URLs of the platform's services. The JSON keys are
// those of a daemon's settings.
type Addresses struct {
	KeyValue string `json:"key_value"`
	VMList   string `json:"vm_list"`
	Cloud    string `json:"cloud"`
	Weights  string `json:"weights"`
}

// Runner is the process of one VM. Either Engine or Service is set.
type Runner struct {
	VM      api.VM
	Engine  *engine.Engine
	Service *service.Service
	server  *http.Server
}

// Start starts a fleet. The caller must close it.
func Start(s Settings, options Options) (*Fleet, error) {
	if options.Network == nil {
		options.Network = TCP{}
	}
	f := &Fleet{
		KV:           kvserver.New(),
		Executions:   service.NewExecutionLog(),
		TokenCounter: engine.NewTokenCounter(),
		settings:     s,
		options:      options,
		client:       &http.Client{Transport: &http.Transport{DialContext: options.Network.Dial}},
		runners:      map[string]*Runner{},
	}
	f.KV.SetLimits(s.KeyValue)
	f.Cloud = cloudapi.New(f.cloudSettings())
	f.Weights = f.newWeightStore()
	if err := f.startPlatform(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.startRunners(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) cloudSettings() cloudapi.Settings {
	c := f.settings.Cloud
	s := cloudapi.Settings{
		FailureDomains: f.settings.FailureDomains,
		Seed:           c.Seed,
		PriceSpread:    c.PriceSpread,
		PricePeriod:    millis(c.PricePeriodMillis),
		StartTime:      millis(c.StartMillis),
		ListLag:        millis(c.ListLagMillis),
		ChecksFencing:  c.ChecksFencing,

		RefuseAfterReclaim: millis(c.RefuseAfterReclaimMillis),

		Hooks: cloudapi.Hooks{Launch: f.launchWithoutModels, Noticed: f.handleNotice, Removed: f.handleRemoval},
	}
	for _, class := range f.settings.VMClasses {
		s.Classes = append(s.Classes, cloudapi.Class{Name: class.Name, Reclaimable: class.Reclaimable, PricePerHour: class.PricePerHour})
	}
	return s
}

func (f *Fleet) newWeightStore() *cloudapi.Weights {
	calls, burst := float64(DefaultWeightCalls), DefaultWeightBurst
	setIfNonZero(&calls, f.settings.Weights.CallsPerSecond)
	setIfNonZero(&burst, f.settings.Weights.Burst)
	w := cloudapi.NewWeights(calls, burst)
	w.LimitTransfers(f.settings.Weights.BytesPerSecond)
	for _, s := range f.settings.Services {
		for _, m := range s.Models {
			w.Add(api.Weight{Name: m.Name, Version: m.Version, Bytes: m.Bytes})
		}
	}
	return w
}

func (f *Fleet) startPlatform() error {
	var err error
	if f.addresses.KeyValue, err = f.servePlatform(f.settings.Listen.KeyValue, f.KV.Handler()); err != nil {
		return err
	}
	if f.addresses.Cloud, err = f.servePlatform(f.settings.Listen.Cloud, f.Cloud.Handler()); err != nil {
		return err
	}
	f.addresses.VMList = f.addresses.Cloud
	f.addresses.Weights, err = f.servePlatform(f.settings.Listen.Weights, f.Weights.Handler())
	return err
}

func (f *Fleet) servePlatform(address string, handler http.Handler) (url string, err error) {
	server, bound, err := f.listen(address, handler)
	if err != nil {
		return "", err
	}
	f.servers = append(f.servers, server)
	return "http://" + bound, nil
}

func (f *Fleet) listen(address string, handler http.Handler) (*http.Server, string, error) {
	l, err := f.options.Network.Listen(address)
	if err != nil {
		return nil, "", fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	return server, l.Addr().String(), nil
}

func (f *Fleet) startRunners() error {
	for _, vm := range f.settings.EntryVMs {
		f.Cloud.Register(f.newVM(vm.ID, "", vm.VMClass, vm.Address, f.domainIndex(vm)))
	}
	for _, s := range f.settings.Services {
		for i := range s.Runners {
			vm := f.newVM(fmt.Sprintf("%s-%02d", s.Name, i+1), s.Name, s.VMClass, "", i)
			address, err := f.launch(vm, s.Models)
			if err != nil {
				return err
			}
			vm.Address = address
			f.Cloud.Register(vm)
		}
	}
	return nil
}

func (f *Fleet) domainIndex(vm EntryVM) int {
	for i, domain := range f.settings.FailureDomains {
		if domain == vm.FailureDomain {
			return i
		}
	}
	return 0
}

func (f *Fleet) newVM(id, serviceName, className, address string, i int) api.VM {
	class := f.settings.class(className)
	domains := f.settings.FailureDomains
	return api.VM{
		ID:            id,
		Address:       address,
		FailureDomain: domains[i%len(domains)],
		Class:         class.Name,
		Reclaimable:   class.Reclaimable,
		PricePerHour:  class.PricePerHour,
		Service:       serviceName,
	}
}

func (f *Fleet) launchWithoutModels(vm api.VM) (string, error) { return f.launch(vm, nil) }

// launch starts the process of a VM with models loaded.
func (f *Fleet) launch(vm api.VM, models []Model) (string, error) {
	s, ok := f.settings.service(vm.Service)
	if !ok {
		return "", &UnknownServiceError{Service: vm.Service}
	}
	r := &Runner{VM: vm}
	var handler http.Handler
	if s.Kind == manifest.KindModel {
		cfg := f.settings.engineConfig(vm.ID, s, models)
		cfg.WeightTransferTime = f.weightTransferTime
		r.Engine = engine.New(cfg, engine.WithTokenCounter(f.TokenCounter), engine.WithClient(f.client))
		handler = r.Engine.Handler()
	} else {
		r.Service = service.New(vm.ID, f.Executions)
		handler = r.Service.Handler()
	}
	server, address, err := f.listen(net.JoinHostPort(f.settings.Listen.RunnerHost, "0"), handler)
	if err != nil {
		r.close()
		return "", err
	}
	r.server = server
	r.VM.Address = address
	f.mu.Lock()
	f.runners[vm.ID] = r
	f.mu.Unlock()
	klog.V(1).InfoS("Runner started", "vm", vm.ID, "service", vm.Service, "failureDomain", vm.FailureDomain, "address", address)
	return address, nil
}

// weightTransferTime returns how long the weights of an order take to arrive.
// Adapters are small, so their transfer takes no time.
func (f *Fleet) weightTransferTime(now time.Time, o engineapi.Order) time.Duration {
	if o.Adapter != "" {
		return 0
	}
	return f.Weights.TransferTime(now, o.Model, o.Version)
}

func (f *Fleet) handleNotice(vm api.VM, remaining time.Duration) {
	klog.InfoS("VM is going to be reclaimed", "vm", vm.ID, "failureDomain", vm.FailureDomain, "left", remaining)
	r := f.Runner(vm.ID)
	switch {
	case r == nil && f.options.EntryNoticed != nil:
		f.options.EntryNoticed(vm, remaining)
	case r == nil:
	case r.Engine != nil:
		r.Engine.Notice(remaining)
	default:
		r.Service.Notice()
	}
}

func (f *Fleet) handleRemoval(vm api.VM) {
	klog.InfoS("VM was removed", "vm", vm.ID, "failureDomain", vm.FailureDomain)
	f.mu.Lock()
	r := f.runners[vm.ID]
	f.mu.Unlock()
	if r != nil {
		r.close()
	} else if f.options.EntryRemoved != nil {
		f.options.EntryRemoved(vm)
	}
}

// close aborts the runner's connections. It may be called more than once.
func (r *Runner) close() {
	if r.Engine != nil {
		r.Engine.Close()
	} else {
		r.Service.Die()
	}
	if r.server != nil {
		r.server.Close()
	}
}

// Runner returns the process of a VM, including a VM that was removed. It
// returns nil for entry VMs and unknown VMs.
func (f *Fleet) Runner(vm string) *Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners[vm]
}

// Runners returns all runners ever started, sorted by VM ID.
func (f *Fleet) Runners() []*Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	runners := make([]*Runner, 0, len(f.runners))
	for _, r := range f.runners {
		runners = append(runners, r)
	}
	sort.Slice(runners, func(i, j int) bool { return runners[i].VM.ID < runners[j].VM.ID })
	return runners
}

// Addresses returns the base URLs of the platform's services.
func (f *Fleet) Addresses() Addresses { return f.addresses }

// Settings returns the settings with which the fleet was started.
func (f *Fleet) Settings() Settings { return f.settings }

// Close stops all stand-ins at once.
func (f *Fleet) Close() {
	for _, r := range f.Runners() {
		r.close()
	}
	for _, server := range f.servers {
		server.Close()
	}
	f.KV.Close()
	f.Cloud.Close()
	f.client.CloseIdleConnections()
}
