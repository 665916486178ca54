package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Sizes of a load report and of a full page of cache events on the network, as
// used in bench/overload.
const (
	loadReportBytes = 650
	eventPageBytes  = 30_000
)

// largeFleet is a fake environment with many daemons and runners, of the size
// that is planned for two years ahead.
type largeFleet struct {
	*fakeEnvironment
	daemons []view.Daemon
}

func (fleet *largeFleet) Daemons() []view.Daemon { return fleet.daemons }

func (fleet *largeFleet) Load(ctx context.Context, address string) (engineapi.Load, error) {
	engine.TrafficFromContext(ctx).Add(loadReportBytes)
	return fleet.fakeEnvironment.Load(ctx, address)
}

// CacheEvents returns a full page on each call. Between two calls, more events
// occur than fit into one page.
func (fleet *largeFleet) CacheEvents(ctx context.Context, _ string, from uint64, limit int) (engineapi.CacheEvents, error) {
	engine.TrafficFromContext(ctx).Add(eventPageBytes)
	first := from + 10_000
	return engineapi.CacheEvents{First: first, Next: first + uint64(limit)}, nil
}

func newLargeFleet(daemons, services, runners int) (*largeFleet, *manifest.Manifest) {
	fleet := &largeFleet{fakeEnvironment: &fakeEnvironment{changed: make(chan struct{}), metrics: metrics.NewRegistry()}}
	for i := range daemons {
		fleet.daemons = append(fleet.daemons, view.Daemon{ID: ident.DaemonID(fmt.Sprint("g", i)), State: view.Live})
	}
	for i := range runners {
		fleet.runners = append(fleet.runners, view.Runner{
			ID: ident.RunnerID(fmt.Sprint("r", i)), Address: fmt.Sprint("a", i),
			FailureDomain: ident.FailureDomain(fmt.Sprint("d", i%8)), State: view.Live,
		})
	}
	m := testManifest
	m.Services = nil
	for i := range services {
		m.Services = append(m.Services, manifest.Service{Name: fmt.Sprint("llm", i), Kind: manifest.KindModel})
	}
	return fleet, &m
}

// Guards against polls that use up the share of the network that each daemon
// has for control traffic, so that notices of leaving VMs arrive late, in a
// fleet of 1,800 daemons and 10,000 runners.
func TestReadBytesAtTheTwoYearSize(t *testing.T) {
	for _, services := range []int{1, 8} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet, m := newLargeFleet(1800, services, 10_000)
			d := New(Config{
				Directory: fleet, Config: newFakeConfig(m), Engines: fleet, Prober: fleet, Metrics: fleet.metrics,
				Policy: DefaultPolicy(), Timing: DefaultTiming(), Seed: 1,
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- d.Run(ctx) }()
			const duration = 10 * time.Minute
			time.Sleep(duration)
			cancel()
			<-done
			loads, events := int64(0), int64(0)
			for _, s := range m.Services {
				loads += metrics.GetOrRegisterCounter("dispatch."+s.Name+".polls.load_bytes", fleet.metrics).Count()
				events += metrics.GetOrRegisterCounter("dispatch."+s.Name+".polls.event_bytes", fleet.metrics).Count()
			}
			bytesPerSecond := float64(loads+events) / duration.Seconds()
			t.Logf("%d services of 64 runners each: %.0f bytes/s in total, of which %.0f bytes/s for cache events",
				services, bytesPerSecond, float64(events)/duration.Seconds())
			is.True(bytesPerSecond <= 2400*1.02) // 2% tolerance for the budget that is saved up at the start
			is.True(loads > 0)
		})
	}
}
