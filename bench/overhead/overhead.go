// Package overhead measures what a gateway adds to a request: the same load
// goes straight to a stand-in engine and through one gateway, over loopback, in
// one run. It runs in real time, so only its ratios mean something elsewhere.
package overhead

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/caller"
	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/daemon"
	"geraniumstack.org/geraniumstack/daemon/control"
	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/examples"
	"geraniumstack.org/geraniumstack/standin/fleet"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
	"geraniumstack.org/geraniumstack/transport/gateway"
)

// The load: short answers from engines that take next to no time.
const (
	workers    = 16
	requests   = 2000
	warmUp     = 200
	tokens     = 8
	longTokens = 136
	stepMillis = 0.1
	prefill    = 1e7
	silence    = 5 * time.Second
	ready      = 500 * time.Millisecond
	anyPort    = "127.0.0.1:0"
	callerKey  = "huaman-key-owners"
	maxMicros  = int64(time.Minute / time.Microsecond)
	digits     = 3
)

const (
	armDirect = "direct"
	armPolicy = "policy"
)

// Experiment implements bench.Experiment.
type Experiment struct{}

// Name of the experiment.
func (Experiment) Name() string { return "overhead" }

// Synopsis for the command's help.
func (Experiment) Synopsis() string {
	return "what a gateway adds to a request, against calling the engine directly (real time)"
}

// Run measures both arms in turn, round by round, so that a disturbance of the
// machine meets both.
func (Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	report := bench.Report{Experiment: "overhead", Seeds: o.Seeds, Notes: []string{
		fmt.Sprintf("%d requests of %d tokens a round, %d at a time, over loopback, one process; CPU and allocations include the caller's and the engine's", requests, tokens, workers),
	}}
	s, err := newSystem(ctx)
	if err != nil {
		return report, err
	}
	defer s.close()
	direct, policy := newFigures(), newFigures()
	directLong, policyLong := newFigures(), newFigures()
	rounds := max(o.Rounds, 1)
	for round := range rounds {
		for _, m := range []struct {
			f  *figures
			do func(context.Context, int) error
			n  int
		}{
			{direct, s.direct, tokens}, {policy, s.throughGateway, tokens},
			{directLong, s.direct, longTokens}, {policyLong, s.throughGateway, longTokens},
		} {
			if err := m.f.measure(ctx, func(ctx context.Context) error { return m.do(ctx, m.n) }); err != nil {
				return report, fmt.Errorf("round %d: %w", round+1, err)
			}
		}
		fmt.Fprintf(o.Progress, "overhead: round %d of %d done\n", round+1, rounds)
	}
	perStream := s.memory(ctx)
	if o.Wants(armDirect) {
		report.Arms = append(report.Arms, bench.Arm{Name: armDirect, Figures: direct.report(nil, directLong)})
	}
	if o.Wants(armPolicy) {
		figures := policy.report(direct, policyLong)
		figures["memory_bytes_per_open_stream"] = perStream
		report.Arms = append(report.Arms, bench.Arm{Name: armPolicy, Figures: figures})
	}
	return report, nil
}

// system is one gateway before one model runner.
type system struct {
	standins *fleet.Fleet
	client   *caller.Client
	engine   *engine.Client
	cancel   context.CancelFunc
	ended    chan error
	next     atomic.Int64
}

func newSystem(ctx context.Context) (*system, error) {
	m, err := smallManifest()
	if err != nil {
		return nil, err
	}
	standins, err := startStandins(m)
	if err != nil {
		return nil, err
	}
	s := &system{standins: standins, ended: make(chan error, 1)}
	for _, r := range standins.Runners() {
		if r.Engine != nil {
			s.engine = engine.New(r.VM.Address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}})
		}
	}
	return s, s.startGateway(ctx, m)
}

// smallManifest is the example with one model runner, so that both arms use
// the same engine.
func smallManifest() (*manifest.Manifest, error) {
	var m manifest.Manifest
	if err := document.Decode(examples.Huaman, &m); err != nil {
		return nil, fmt.Errorf("example: %w", err)
	}
	for i := range m.Services {
		m.Services[i].Runners = 1
	}
	for i := range m.Workspaces {
		m.Workspaces[i].TokensPerSecond = 0
		m.Workspaces[i].MaxConcurrent = 0
	}
	m.Fleet.SurviveDomainLoss = false
	return &m, nil
}

func startStandins(m *manifest.Manifest) (*fleet.Fleet, error) {
	s := fleet.FromManifest(m)
	s.Engine.DecodeStepMillis = stepMillis
	s.Engine.PrefillTokensPerSecond = prefill
	standins, err := fleet.Start(s, fleet.Options{})
	if err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	return standins, nil
}

func (s *system) startGateway(ctx context.Context, m *manifest.Manifest) error {
	a := s.standins.Addresses()
	set := &settings.Settings{
		ID: "gateway", FailureDomain: m.Fleet.FailureDomains[0],
		Listen:   settings.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort},
		Platform: settings.Platform{KeyValue: a.KeyValue, VMList: a.VMList, Cloud: a.Cloud},
	}
	set.FillDefaults()
	d, err := daemon.New(set, daemon.TCP{})
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	ctx, s.cancel = context.WithCancel(ctx)
	go func() { s.ended <- d.Run(ctx) }()
	if _, err := d.Control().Apply(ctx, control.Submission{
		Manifest: m, Author: "bench", ID: "bench", Expected: config.AnyGeneration, Wait: silence,
	}); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	time.Sleep(ready)
	s.client = caller.New(caller.Config{
		Gateways: []string{"http://" + d.Self().CallerAddress}, Key: callerKey,
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}},
	})
	return nil
}

func (s *system) close() {
	s.cancel()
	<-s.ended
	s.standins.Close()
}

func (s *system) prompt() string { return fmt.Sprintf("status of case %d", s.next.Add(1)) }

func (s *system) direct(ctx context.Context, n int) error {
	id := fmt.Sprintf("direct-%d", s.next.Add(1))
	return s.engine.Generate(ctx, engineapi.GenerateRequest{
		RequestID: id, AttemptID: id, Model: "asistente", Prompt: s.prompt(), MaxTokens: n,
	}, silence, func(e engineapi.GenerateEvent) error {
		// The gateway's caller reads JSON events, too.
		_, err := json.Marshal(e)
		return err
	})
}

func (s *system) throughGateway(ctx context.Context, n int) error {
	_, err := s.client.Stream(ctx, gateway.CompletionRequest{
		Model: "asistente", Messages: []gateway.Message{{Role: "user", Content: s.prompt()}},
		MaxTokens: n, ServiceTier: "chat",
	})
	return err
}

// figures adds up the rounds of one arm.
type figures struct {
	latency  *hdrhistogram.Histogram
	requests int
	elapsed  time.Duration
	cpu      time.Duration
	mallocs  uint64
}

func newFigures() *figures {
	return &figures{latency: hdrhistogram.New(1, maxMicros, digits)}
}

func (f *figures) measure(ctx context.Context, do func(context.Context) error) error {
	if err := load(ctx, warmUp, do, func(time.Duration) {}); err != nil {
		return err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, began := cpuTime(), time.Now()
	err := load(ctx, requests, do, func(d time.Duration) {
		// A value over the histogram's bound counts as the bound.
		_ = f.latency.RecordValue(min(d.Microseconds(), maxMicros))
	})
	f.elapsed += time.Since(began)
	f.cpu += cpuTime() - cpu
	runtime.ReadMemStats(&after)
	f.mallocs += after.Mallocs - before.Mallocs
	f.requests += requests
	return err
}

// load runs n requests by the workers.
func load(ctx context.Context, n int, do func(context.Context) error, record func(time.Duration)) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	var taken atomic.Int64
	for range workers {
		wg.Go(func() {
			for taken.Add(1) <= int64(n) {
				began := time.Now()
				err := do(ctx)
				mu.Lock()
				record(time.Since(began))
				if err != nil && first == nil {
					first = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return first
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	// It fails for a wrong argument only.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *figures) quantile(q float64) float64 { return float64(f.latency.ValueAtQuantile(q)) / 1e6 }

func (f *figures) cpuPerRequest() float64 { return f.cpu.Seconds() / float64(f.requests) }

// report takes the slope by tokens from long, the same load with longer answers.
func (f *figures) report(base, long *figures) map[string]float64 {
	n := float64(f.requests)
	out := map[string]float64{
		"latency_p50_seconds":     f.quantile(50),
		"latency_p99_seconds":     f.quantile(99),
		"cpu_seconds_per_request": f.cpuPerRequest(),
		"cpu_seconds_per_token":   (long.cpuPerRequest() - f.cpuPerRequest()) / (longTokens - tokens),
		"allocations_per_request": float64(f.mallocs) / n,
		"requests_per_second":     n / f.elapsed.Seconds(),
	}
	if base == nil {
		return out
	}
	added := f.cpuPerRequest() - base.cpuPerRequest()
	out["added_latency_p50_seconds"] = f.quantile(50) - base.quantile(50)
	out["added_latency_p99_seconds"] = f.quantile(99) - base.quantile(99)
	out["added_cpu_seconds_per_request"] = added
	out["requests_per_second_per_core"] = 1 / added
	out["latency_p50_ratio"] = f.quantile(50) / base.quantile(50)
	return out
}
