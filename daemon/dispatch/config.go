// Package dispatch drives the decisions on model requests of one daemon: which
// are admitted (protocol/admission), where they go (coordination/routing),
// whether they are tried again (protocol/retry) and which runners are left out
// (coordination/health). It feeds them with the directory, the configuration in
// force, polled load reports and cache events, and with what it hears of the
// daemon's own attempts. It implements models.Picker.
package dispatch

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/polling"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/admission"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Engines reads what engines publish.
type Engines interface {
	Load(ctx context.Context, address string) (engineapi.Load, error)
	CacheEvents(ctx context.Context, address string, from uint64, limit int) (engineapi.CacheEvents, error)
}

// Prober makes a small call to an engine on a connection of its own.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// Config is what a Dispatcher works with.
type Config struct {
	Directory view.Directory
	Config    view.Config
	Engines   Engines
	// Prober tells a runner's failure from that of a connection, so it must
	// not reuse one.
	Prober  Prober
	Metrics metrics.Registry
	Policy  Policy
	Timing  Timing
	Seed    uint64
}

// Policy holds the settings of the decisions.
type Policy struct {
	// Routing is applied to the default policy; nil keeps it.
	Routing   func(*routing.Config)
	Admission admission.Config
	Retry     retry.Config
	Health    health.Config
}

// retryBurst is the retries that a model service saves up: about as many as
// one gateway has streams in a failure domain that goes without a word. Each of
// them is made once more, not each call again and again.
const retryBurst = 32

// DefaultPolicy is the policy in use.
func DefaultPolicy() Policy {
	p := Policy{
		Admission: admission.Default(),
		Retry:     retry.Default(),
		Health:    health.Default(),
	}
	p.Retry.Burst = retryBurst
	return p
}

// Timing says how often things are looked at.
type Timing struct {
	// TickInterval is the precision of waits in the queue and of ejections.
	TickInterval time.Duration
	// IdleTickInterval is the time between two looks while nobody waits and no runner
	// is left out.
	IdleTickInterval time.Duration
	// Polling says how reads of load reports and cache events are spread;
	// PollTimeout bounds one read.
	Polling     polling.Config
	PollTimeout time.Duration
	// FleetBytesPerSecond is the bytes a second, both directions and headers included,
	// that the reads of all daemons together may take, and MostReadBytes those
	// of one daemon. Their bound does not grow with services and runners.
	FleetBytesPerSecond  float64
	DaemonBytesPerSecond float64
	// EventLimit bounds the cache events of one read.
	EventLimit int
	// RefreshInterval is the least time between two looks at a changed directory.
	RefreshInterval time.Duration
}

// DefaultTiming is the timing in use.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:         20 * time.Millisecond,
		IdleTickInterval:     500 * time.Millisecond,
		Polling:              polling.Default(),
		PollTimeout:          time.Second,
		FleetBytesPerSecond:  4_320_000, // 2.4 KB/s each with 1,800 daemons
		DaemonBytesPerSecond: 256_000,
		EventLimit:           512,
		RefreshInterval:      50 * time.Millisecond,
	}
}

// pollBudget is the bytes a second of one of so many daemons.
func (t Timing) pollBudget(daemons int) float64 {
	return min(t.DaemonBytesPerSecond, t.FleetBytesPerSecond/float64(daemons))
}
