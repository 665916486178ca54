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
	loadSize = 650
	pageSize = 30_000
)

// bigWorld is a fleet of the two-year size.
type bigWorld struct {
	*world
	daemons []view.Daemon
}

func (w *bigWorld) Daemons() []view.Daemon { return w.daemons }

func (w *bigWorld) Load(ctx context.Context, address string) (engineapi.Load, error) {
	engine.TrafficFromContext(ctx).Add(loadSize)
	return w.world.Load(ctx, address)
}

// CacheEvents has a full page each time, and more events than one page between
// two of them.
func (w *bigWorld) CacheEvents(ctx context.Context, _ string, from uint64, limit int) (engineapi.CacheEvents, error) {
	engine.TrafficFromContext(ctx).Add(pageSize)
	first := from + 10_000
	return engineapi.CacheEvents{First: first, Next: first + uint64(limit)}, nil
}

func newBigWorld(daemons, services, runners int) (*bigWorld, *manifest.Manifest) {
	w := &bigWorld{world: &world{changed: make(chan struct{}), metrics: metrics.NewRegistry()}}
	for i := range daemons {
		w.daemons = append(w.daemons, view.Daemon{ID: ident.DaemonID(fmt.Sprint("g", i)), State: view.Live})
	}
	for i := range runners {
		w.runners = append(w.runners, view.Runner{
			ID: ident.RunnerID(fmt.Sprint("r", i)), Address: fmt.Sprint("a", i),
			FailureDomain: ident.FailureDomain(fmt.Sprint("d", i%8)), State: view.Live,
		})
	}
	m := configured
	m.Services = nil
	for i := range services {
		m.Services = append(m.Services, manifest.Service{Name: fmt.Sprint("llm", i), Kind: manifest.KindModel})
	}
	return w, &m
}

// The fleet grows to 1,800 daemons and 10,000 runners. Each daemon's reads of
// runners would use up what its share of the network has for control, and
// notices of leaving VMs would come late.
func TestReadBytesAtTheTwoYearSize(t *testing.T) {
	for _, services := range []int{1, 8} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w, m := newBigWorld(1800, services, 10_000)
			d := New(Config{
				Directory: w, Config: holding(m), Engines: w, Prober: w, Metrics: w.metrics,
				Policy: DefaultPolicy(), Timing: DefaultTiming(), Seed: 1,
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- d.Run(ctx) }()
			const span = 10 * time.Minute
			time.Sleep(span)
			cancel()
			<-done
			loads, events := int64(0), int64(0)
			for _, s := range m.Services {
				loads += metrics.GetOrRegisterCounter("dispatch."+s.Name+".polls.load_bytes", w.metrics).Count()
				events += metrics.GetOrRegisterCounter("dispatch."+s.Name+".polls.event_bytes", w.metrics).Count()
			}
			perSecond := float64(loads+events) / span.Seconds()
			t.Logf("%d services of 64 runners: %.0f bytes/s, of it %.0f for cache events",
				services, perSecond, float64(events)/span.Seconds())
			is.True(perSecond <= 2400*1.02) // the savings at the beginning
			is.True(loads > 0)
		})
	}
}
