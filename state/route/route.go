// Package route defines the configuration of forwarded traffic: routes by host
// and path, the services behind them, and the workspaces whose keys callers
// present. A Table finds the route and the workspace of a request. All values
// are immutable once they are built.
package route

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Kind determines how requests may be retried if they may already have run.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests must not be sent again once they may have run.
	AtMostOnce Kind = "at_most_once"
	// Stream answers consist of events with increasing IDs.
	Stream Kind = "stream"
)

// Target is one of the services over which the requests of a route are
// distributed.
type Target struct {
	Service string
	// Weight determines the share of the requests relative to the other
	// targets.
	Weight int
}

// Route is a forwarding rule.
type Route struct {
	Name string
	Host string
	// PathPrefix starts and ends with a slash. A route without one, or without a host, matches no request.
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout is the maximum time until the answer is complete. Zero means no
	// limit.
	Timeout time.Duration
	// TargetLatency is the time within which the answer, or the first event of
	// a stream, should arrive.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events of a stream that meets
	// the target.
	MaxPause time.Duration
	// MaxAttempts is the maximum number of runners to which one request is
	// sent.
	MaxAttempts int
	// Priority ranks requests. Zero is the most urgent, and higher values are
	// less urgent. The priority of a manifest.Class has the opposite order.
	Priority int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue at another runner after any complete
	// event.
	Resumable bool
}

// Repeatable reports whether a request may run again from the beginning.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a pool of runners.
type Service struct {
	Name string
	// HealthPath is a path that returns status 200 while a runner accepts work.
	HealthPath string
	// Engine is nil for services that don't run models.
	Engine *Engine
	// Scaling is nil if the system does not control the number of runners.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// KVTokens is the capacity of the KV cache in tokens.
	KVTokens int
	// CacheFetchRate is the number of tokens per second that a runner can copy
	// from the KV cache of another runner. Zero means that it can't copy.
	CacheFetchRate float64
}

// Scaling holds the limits and prices of the runners that can be ordered.
type Scaling struct {
	// Min and Max limit the number of runners in a failure domain.
	Min, Max int
	// BootTime is the time from the order until the runner serves requests.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable runner as a fraction
	// of the price in Prices. Zero means that reclaimable runners are not
	// available.
	ReclaimablePriceRatio float64
	// Prices holds the price of one runner per hour in each failure domain.
	// Runners can be ordered only in the failure domains that are its keys.
	Prices map[ident.FailureDomain]float64
}

// Quota limits the usage of a workspace over all daemons together.
type Quota struct {
	// PerSecond is the sustained rate and Burst the largest amount that may be
	// used at once. Both count tokens if InTokens is set, and requests
	// otherwise. A PerSecond of zero means no limit.
	PerSecond float64
	Burst     float64
	InTokens  bool
	// PlainTokens is the number of tokens charged for a request without a
	// prompt if InTokens is set.
	PlainTokens float64
}

// Workspace is a customer.
type Workspace struct {
	Name ident.Workspace
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set. Zero
	// is the most urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Limits holds the limits on the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time until the headers of a request have
	// arrived.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time between two requests on a connection.
	IdleTimeout time.Duration
}

// Config is one version of the whole configuration.
type Config struct {
	// Version is the generation of the configuration. It increases with each
	// change, so that the higher of two versions is the newer one.
	Version    ident.Generation
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keyless says that the configuration has no list of workspaces, so that requests need no key. An empty list is one:
	// no key is valid then.
	Keyless bool
	Limits  Limits
}
