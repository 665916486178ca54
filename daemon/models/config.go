package models

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/gen/geranium/request/v1/requestv1connect"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Engines calls model engines by their network address.
type Engines interface {
	// Generate runs an attempt until its stream ends and passes each event to
	// sink. If the error has a method MayHaveStarted() bool that returns false,
	// the engine did not start the attempt.
	Generate(ctx context.Context, address string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error
	Cancel(ctx context.Context, address string, r engineapi.CancelRequest) error
	Export(ctx context.Context, address string, r engineapi.ExportRequest) (engineapi.ExportResponse, error)
	Import(ctx context.Context, address string, r engineapi.ImportRequest) (engineapi.ImportResponse, error)
}

// Peers returns clients for other daemons by their peer address.
type Peers interface {
	Requests(address string) requestv1connect.RequestServiceClient
}

// Job describes the work for which a Picker selects a runner.
type Job struct {
	Request call.ModelRequest
	Service string
	// Offset is the number of tokens emitted so far.
	Offset int
	// Emitted holds the tokens emitted so far. The slice is shared and must not
	// be modified.
	Emitted []string
	Exclude []ident.RunnerID
	// After is the reason why the previous attempt ended; it is empty for the
	// first attempt.
	After request.Cause
}

// Choice identifies the runner that a Picker selected.
type Choice struct {
	Runner  ident.RunnerID
	Address string
}

// AttemptResult reports to the Picker how an attempt ended.
type AttemptResult struct {
	Runner  ident.RunnerID
	Address string
	// Answered is true if the attempt ended with a complete answer.
	Answered bool
	// Cause is the reason why the attempt ended without a complete answer. It
	// is empty if the runner is not at fault.
	Cause request.Cause
	// Tokens is the number of tokens that the attempt emitted. CachedTokens is
	// the number of prompt tokens that the engine took from its cache instead
	// of computing them.
	Tokens, CachedTokens int
}

// Picker admits requests and selects runners for them. Every error that it
// returns is or wraps a *refusal.Refusal.
type Picker interface {
	// Acquire admits the request or returns a refusal. The caller calls release
	// when the request no longer needs its share of the capacity.
	Acquire(ctx context.Context, r call.ModelRequest) (release func(), err error)
	// Pick selects a runner for an attempt.
	Pick(ctx context.Context, j Job) (Choice, error)
	// Started and Ended report the start and the end of each attempt.
	Started(j Job, c Choice)
	Ended(j Job, a AttemptResult)
}

// Config holds the dependencies and settings of Models.
type Config struct {
	Self      ident.Incarnation
	Directory view.Directory
	Config    view.Config
	Engines   Engines
	Peers     Peers
	// Picker defaults to RoundRobin over Directory.
	Picker  Picker
	Metrics metrics.Registry
	Limits  Limits
	// Transfer describes the cost of moving KV caches between runners.
	Transfer Transfer
}

// Limits bounds the resources and the waiting times of Models. Zero fields get
// defaults.
type Limits struct {
	Request request.Limits
	// MaxInProgress bounds the number of requests that this daemon runs and that
	// have not ended. A new request beyond it is refused as overloaded. Requests
	// adopted from other daemons count, but are never refused for it.
	MaxInProgress int
	// MaxFinished bounds the number of ended requests that are kept for late
	// readers; Retention is how long each of them is kept.
	MaxFinished int
	Retention   time.Duration
	// MaxTokens is the limit on output tokens for requests that set none or a
	// higher one.
	MaxTokens int
	// Heartbeat is the time between heartbeats on an idle stream.
	// SilenceTimeout is how long the stream from a peer may carry no message
	// before it counts as broken, and the time limit for each write to a peer.
	Heartbeat, SilenceTimeout time.Duration
	// RenewInterval is the time between two updates of the records of this
	// daemon's requests at their keepers.
	RenewInterval time.Duration
	// OwnerTimeout is how long an owner must have been missing from the
	// directory, without renewing its records, before its requests are adopted.
	OwnerTimeout time.Duration
	// LookupTimeout bounds the search for the daemon that runs a request.
	LookupTimeout time.Duration
	// DrainAcceptPeriod is how long new requests are still accepted after Drain
	// was called, because callers go on using their list of gateways for a
	// while.
	DrainAcceptPeriod time.Duration
	// ReclaimMargin is the safety margin before a runner's VM ends: reclaim
	// plans must be complete that much earlier.
	ReclaimMargin time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.Request == (request.Limits{}) {
		l.Request = request.DefaultLimits()
	}
	setDefault(&l.MaxInProgress, 10_000)
	setDefault(&l.MaxFinished, 10_000)
	setDefault(&l.MaxTokens, 4096)
	setDefault(&l.Retention, 10*time.Minute)
	setDefault(&l.Heartbeat, time.Second)
	setDefault(&l.SilenceTimeout, 3*time.Second)
	setDefault(&l.RenewInterval, 2*time.Second)
	setDefault(&l.OwnerTimeout, 5*time.Second)
	setDefault(&l.LookupTimeout, 30*time.Second)
	setDefault(&l.DrainAcceptPeriod, 2*time.Second)
	setDefault(&l.ReclaimMargin, 2*time.Second)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// HTTPPeers implements Peers over unencrypted HTTP.
type HTTPPeers struct{ Client *http.Client }

// Requests returns a client for the daemon at address, which has the form
// host:port.
func (p HTTPPeers) Requests(address string) requestv1connect.RequestServiceClient {
	return requestv1connect.NewRequestServiceClient(p.Client, "http://"+address)
}
