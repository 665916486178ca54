// Package route holds the configuration of forwarded traffic: routes by host
// and path, the services behind them with their backend servers' engines, and
// the workspaces whose keys callers show. A Table answers which route and which
// workspace a request belongs to. All values are immutable once built.
package route

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Kind says what may be done with a request that may have run already.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may not be sent again once they may have run.
	AtMostOnce Kind = "at_most_once"
	// Stream answers are events with increasing ids.
	Stream Kind = "stream"
)

// Target is one of the services that a route's requests are split over.
type Target struct {
	Service string
	// Weight is the share of requests relative to the other targets.
	Weight int
}

// Route is one rule of forwarding.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout is how long a request may be kept waiting for its whole answer;
	// zero is no bound.
	Timeout time.Duration
	// TargetLatency is when the answer, or a stream's first event, is due.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events of a stream that is
	// still on time.
	MaxPause time.Duration
	// MaxAttempts is the most runners that one request is sent to.
	MaxAttempts int
	// Priority ranks requests; zero is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another runner after any whole event.
	Resumable bool
}

// Repeatable tells whether a request may run again from its beginning.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a pool of runners.
type Service struct {
	Name string
	// HealthPath answers 200 while a runner takes work.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil where the number of runners is not the system's to order.
	Scaling *Scaling
}

// Engine describes a service's model engines.
type Engine struct {
	// Slots is the size of a batch.
	Slots int
	// KVTokens is the room of the KV cache.
	KVTokens int
	// CacheFetchRate is the tokens a second that a runner copies from another one's
	// cache; zero means that it can't.
	CacheFetchRate float64
}

// Scaling bounds and prices the runners that can be ordered.
type Scaling struct {
	// Min and Max bound the runners of a failure domain.
	Min, Max int
	// BootTime is from the order until the runner serves.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable runner as a part of the
	// failure domain's price; zero means that there are none.
	ReclaimablePriceRatio float64
	// Prices are per runner and unit of time.
	Prices map[ident.FailureDomain]float64
}

// Quota bounds a workspace's use over all daemons together.
type Quota struct {
	// PerSecond and Burst are in tokens where InTokens, else in requests; zero
	// PerSecond is no limit.
	PerSecond float64
	Burst     float64
	InTokens  bool
	// PlainTokens is what a request without a prompt counts as.
	PlainTokens float64
}

// Workspace is one customer.
type Workspace struct {
	Name ident.Workspace
	Keys []string
	// Priority goes before the route's if HasPriority.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the arrival of a request's headers, IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the whole configuration.
type Config struct {
	// Version grows with each change and says which one is newer.
	Version    ident.Generation
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
