// Package dispatch schedules the model requests of one daemon. It decides which
// requests are admitted (protocol/admission), to which runner each one is
// routed (coordination/routing), whether a failed attempt is retried
// (protocol/retry), and which runners are ejected because they fail
// (coordination/health). The inputs of these decisions are the directory of
// daemons and runners, the current configuration, the load reports and cache
// events that the daemon polls from the engines, and the results of the
// daemon's own attempts. Dispatcher implements models.Picker.
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

// Engines reads load reports and cache events from engines.
type Engines interface {
	Load(ctx context.Context, address string) (engineapi.Load, error)
	CacheEvents(ctx context.Context, address string, from uint64, limit int) (engineapi.CacheEvents, error)
}

// Prober checks an engine with a small call on a new connection.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	Directory view.Directory
	Config    view.Config
	Engines   Engines
	// Prober must not reuse connections, because it distinguishes the failure
	// of a runner from the failure of a connection.
	Prober  Prober
	Metrics metrics.Registry
	Policy  Policy
	Timing  Timing
	Seed    uint64
}

// Policy holds the settings of routing, admission, retries and health checks.
type Policy struct {
	// Routing modifies the default routing settings; nil keeps the defaults.
	Routing   func(*routing.Config)
	Admission admission.Config
	Retry     retry.Config
	Health    health.Config
}

// retryBurst is the number of retries that the retry budget of a model service
// can accumulate. It is about the number of streams that one gateway has in one
// failure domain, so that each of them can be retried once when the failure
// domain goes down without notice, but no request can be retried over and over.
const retryBurst = 32

// DefaultPolicy returns the policy that daemons use.
func DefaultPolicy() Policy {
	p := Policy{
		Admission: admission.Default(),
		Retry:     retry.Default(),
		Health:    health.Default(),
	}
	p.Retry.Burst = retryBurst
	return p
}

// Timing holds the intervals and limits of periodic work.
type Timing struct {
	// TickInterval is the time between two ticks while a request waits or a
	// runner is ejected. It is the precision of queue deadlines and of ejection
	// times.
	TickInterval time.Duration
	// IdleTickInterval is the time between two ticks while no request waits and
	// no runner is ejected.
	IdleTickInterval time.Duration
	// Polling configures how polls of load reports and cache events are
	// distributed over time; PollTimeout bounds one poll.
	Polling     polling.Config
	PollTimeout time.Duration
	// FleetBytesPerSecond bounds the traffic of the polls of all daemons
	// together, and DaemonBytesPerSecond that of one daemon, in bytes per
	// second including headers and both directions. The bounds do not grow with
	// the number of services and runners.
	FleetBytesPerSecond  float64
	DaemonBytesPerSecond float64
	// EventLimit bounds the number of cache events in one poll.
	EventLimit int
	// RefreshInterval is the minimum time between two refreshes after changes
	// of the directory or the configuration.
	RefreshInterval time.Duration
}

// DefaultTiming returns the timing that daemons use.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:         20 * time.Millisecond,
		IdleTickInterval:     500 * time.Millisecond,
		Polling:              polling.Default(),
		PollTimeout:          time.Second,
		FleetBytesPerSecond:  4_320_000, // 2.4 KB/s per daemon with 1,800 daemons
		DaemonBytesPerSecond: 256_000,
		EventLimit:           512,
		RefreshInterval:      50 * time.Millisecond,
	}
}

// pollBudget returns the polling budget of one daemon in bytes per second,
// given the number of daemons.
func (t Timing) pollBudget(daemons int) float64 {
	return min(t.DaemonBytesPerSecond, t.FleetBytesPerSecond/float64(daemons))
}
