package demo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/rollout"
	"geraniumstack.org/geraniumstack/daemon"
	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/standin/fleet"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// Sizes and speeds of the stand-ins, and addresses to listen on.
const (
	gateways       = 5
	startMillis    = 2000
	listLagMillis  = 1000
	orderMillis    = 1000
	stepMillis     = 20
	engineBlocks   = 4096
	engineBatch    = 32
	exportRate     = 200e6
	bytesPerToken  = 100_000
	prefillRate    = 8000
	weightRate     = 50
	weightBytes    = 1 << 30
	priceSpread    = 0.2
	shutdownMillis = 8000
	anyPort        = "127.0.0.1:0"
	loopback       = "127.0.0.1"
	entryClass     = "entry"
)

// env holds the stand-ins and the gateways of a run.
type env struct {
	fleet    *Fleet
	network  daemon.Network
	standins *fleet.Fleet

	mu      sync.Mutex
	daemons []*gatewayProcess
}

// gatewayProcess is the daemon of one gateway, which runs in this process.
type gatewayProcess struct {
	*daemon.Daemon
	vm   string
	stop context.CancelFunc
	done chan error
	// reclaimed is set when the gateway's VM has got its notice or has been killed.
	reclaimed atomic.Bool
}

func newEnv(f *Fleet, n daemon.Network, seed uint64) (*env, error) {
	e := &env{fleet: f, network: n}
	standins, err := fleet.Start(standinSettings(f, seed), fleet.Options{Network: n, EntryRemoved: e.stopRemovedGateway})
	if err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	e.standins = standins
	return e, nil
}

// standinSettings derives the settings of the stand-ins from a fleet's manifest.
func standinSettings(f *Fleet, seed uint64) fleet.Settings {
	m := f.Manifest
	s := fleet.Settings{
		Listen:         fleet.Listen{KeyValue: anyPort, Cloud: anyPort, Weights: anyPort, RunnerHost: loopback},
		FailureDomains: m.Fleet.FailureDomains,
		Engine: fleet.Engine{
			PrefillTokensPerSecond: prefillRate, DecodeStepMillis: stepMillis, MaxBatch: engineBatch,
			KVBlocks: engineBlocks, KVBytesPerToken: bytesPerToken, ExportBytesPerSecond: exportRate,
			OrderMillis: orderMillis, RefuseAttemptsWhenLeaving: true,
		},
		Cloud:   fleet.Cloud{Seed: seed, PriceSpread: priceSpread, StartMillis: startMillis, ListLagMillis: listLagMillis},
		Weights: fleet.Weights{CallsPerSecond: weightRate, Burst: weightRate},
	}
	for _, c := range m.Fleet.VMClasses {
		s.VMClasses = append(s.VMClasses, fleet.VMClass{Name: c.Name, Reclaimable: c.Reclaimable, PricePerHour: c.PricePerHour})
	}
	for i := range m.Services {
		s.Services = append(s.Services, standinService(f, &m.Services[i]))
	}
	return s
}

func standinService(f *Fleet, s *manifest.Service) fleet.Service {
	out := fleet.Service{
		Name: s.Name, Kind: s.Kind, Runners: s.Runners,
		VMClass: f.className(s.Name, true), ChecksFencing: s.ChecksFencing,
	}
	for _, m := range f.Manifest.Models {
		if m.Service != s.Name {
			continue
		}
		model := fleet.Model{Name: m.Name, Version: m.Version, Bytes: weightBytes}
		for _, a := range m.Adapters {
			model.Adapters = append(model.Adapters, rollout.AdapterID(a))
		}
		out.Models = append(out.Models, model)
	}
	return out
}

// storeWeights adds the models and adapters of the manifest to the weight store.
func (e *env) storeWeights() {
	for _, m := range e.fleet.Manifest.Models {
		e.standins.Weights.Add(cloudapi.Weight{Name: m.Name, Version: m.Version, Bytes: weightBytes})
		if m.Canary != nil {
			e.standins.Weights.Add(cloudapi.Weight{Name: m.Name, Version: m.Canary.Version, Bytes: weightBytes})
		}
		for _, a := range m.Adapters {
			e.standins.Weights.Add(cloudapi.Weight{Name: a.Name, Version: a.Version, Bytes: weightBytes / 100})
		}
	}
}

// stopRemovedGateway stops the daemon of a VM that the platform has removed.
func (e *env) stopRemovedGateway(vm cloudapi.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range e.daemons {
		if d.vm == vm.ID {
			d.stop()
		}
	}
}

func (e *env) startGateways(ctx context.Context) error {
	e.storeWeights()
	for i := range gateways {
		if err := e.startGateway(ctx, e.settings(i)); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) settings(i int) *settings.Settings {
	a := e.standins.Addresses()
	s := &settings.Settings{
		ID:            ident.DaemonID(fmt.Sprintf("gateway-%d", i+1)),
		FailureDomain: e.fleet.gatewayDomain(i),
		Listen:        settings.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort},
		Platform:      settings.Platform{KeyValue: a.KeyValue, VMList: a.VMList, Cloud: a.Cloud, Weights: a.Weights},
		Shutdown:      settings.Shutdown{GraceMillis: shutdownMillis},
		Admin:         settings.Admin{Credentials: []settings.Credential{operatorCredential()}},
	}
	for _, d := range e.daemons {
		s.Seeds = append(s.Seeds, d.Self().PeerAddress)
	}
	s.FillDefaults()
	return s
}

func (e *env) startGateway(ctx context.Context, s *settings.Settings) error {
	d, err := daemon.New(s, e.network)
	if err != nil {
		return fmt.Errorf("gateway %s: %w", s.ID, err)
	}
	ctx, stop := context.WithCancel(ctx)
	r := &gatewayProcess{Daemon: d, vm: string(s.ID), stop: stop, done: make(chan error, 1)}
	go func() { r.done <- d.Run(ctx) }()
	e.standins.Cloud.Register(cloudapi.VM{
		ID: r.vm, Address: d.Self().CallerAddress, FailureDomain: s.FailureDomain,
		Class: entryClass, Reclaimable: true, State: cloudapi.VMLive,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.daemons = append(e.daemons, r)
	return nil
}

const stopTimeout = 2 * shutdownMillis * time.Millisecond

// stop shuts the gateways down gracefully and then closes the stand-ins.
func (e *env) stop() {
	for _, d := range e.daemons {
		d.stop()
	}
	timeout := time.After(stopTimeout)
	for _, d := range e.daemons {
		select {
		case <-d.done:
		case <-timeout:
		}
	}
	e.standins.Close()
}
