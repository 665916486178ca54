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

// streamsBurst is the retries that a model service saves up: about as many as
// one gateway has streams in a failure domain that goes without a word. Each of
// them is made once more, not each call again and again.
const streamsBurst = 32

// DefaultPolicy is the policy in use.
func DefaultPolicy() Policy {
	p := Policy{
		Admission: admission.Default(),
		Retry:     retry.Default(),
		Health:    health.Default(),
	}
	p.Retry.Burst = streamsBurst
	return p
}

// Timing says how often things are looked at.
type Timing struct {
	// Tick is the precision of waits in the queue and of ejections.
	Tick time.Duration
	// Poll is the time between two reads of a runner's load and cache events;
	// PollTimeout bounds one read.
	Poll        time.Duration
	PollTimeout time.Duration
	// PollsPerSecond bounds the reads of all runners of a service together:
	// with more of them each is read more rarely.
	PollsPerSecond float64
	// EventLimit bounds the cache events of one read.
	EventLimit int
	// Refresh is the least time between two looks at a changed directory.
	Refresh time.Duration
}

// DefaultTiming is the timing in use.
func DefaultTiming() Timing {
	return Timing{
		Tick:           20 * time.Millisecond,
		Poll:           500 * time.Millisecond,
		PollTimeout:    time.Second,
		PollsPerSecond: 40,
		EventLimit:     512,
		Refresh:        50 * time.Millisecond,
	}
}
