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

// Sizes on the network of a load report and of a full page of cache events, as
// bench/overload has them.
const (
	loadReportBytes = 650
	eventPageBytes  = 30_000
)

// largeFleet is a fleet of the two-year size.
type largeFleet struct {
	*fakeEnvironment
	daemons []view.Daemon
}

func (fleet *largeFleet) Daemons() []view.Daemon { return fleet.daemons }

func (fleet *largeFleet) Load(ctx context.Context, address string) (engineapi.Load, error) {
	engine.TrafficOf(ctx).Add(loadReportBytes)
	return fleet.fakeEnvironment.Load(ctx, address)
}

// CacheEvents has a full page each time, and more events than one page between
// two of them.
func (fleet *largeFleet) CacheEvents(ctx context.Context, _ string, from uint64, limit int) (engineapi.CacheEvents, error) {
	engine.TrafficOf(ctx).Add(eventPageBytes)
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

// The fleet grows to 1,800 daemons and 10,000 runners. Each daemon's reads of
// runners would use up what its share of the network has for control, and
// notices of leaving VMs would come late.
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
			perSecond := float64(loads+events) / duration.Seconds()
			t.Logf("%d services of 64 runners: %.0f bytes/s, of it %.0f for cache events",
				services, perSecond, float64(events)/duration.Seconds())
			is.True(perSecond <= 2400*1.02) // the savings at the beginning
			is.True(loads > 0)
		})
	}
}
