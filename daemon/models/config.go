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

// Engines reaches model engines by their address.
type Engines interface {
	// Generate runs an attempt until its stream ends, passing each line on. An
	// error with a method MayHaveStarted() bool returning false promises that
	// the attempt did not start.
	Generate(ctx context.Context, address string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error
	Cancel(ctx context.Context, address string, r engineapi.CancelRequest) error
	Export(ctx context.Context, address string, r engineapi.ExportRequest) (engineapi.ExportResponse, error)
	Import(ctx context.Context, address string, r engineapi.ImportRequest) (engineapi.ImportResponse, error)
}

// Peers reaches other daemons by their peer address.
type Peers interface {
	Requests(address string) requestv1connect.RequestServiceClient
}

// Job is what a runner is to be picked for.
type Job struct {
	Request call.ModelRequest
	Service string
	// Offset is the number of tokens emitted so far.
	Offset int
	// Emitted are these tokens; shared, not to be changed.
	Emitted []string
	Exclude []ident.RunnerID
	// PreviousCause is why an earlier attempt ended; empty for the first.
	PreviousCause request.Cause
}

// Choice is a picked runner.
type Choice struct {
	Runner  ident.RunnerID
	Address string
}

// AttemptResult is one attempt's end as the picker learns it.
type AttemptResult struct {
	Runner  ident.RunnerID
	Address string
	// Answered attempts ended with the whole answer.
	Answered bool
	// Cause is why it ended otherwise; empty if nothing is wrong with the
	// runner.
	Cause request.Cause
	// Tokens were emitted by this attempt; CachedTokens of the prompt were
	// not computed anew.
	Tokens, CachedTokens int
}

// Picker admits requests and picks runners. Errors are or wrap
// *refusal.Refusal.
type Picker interface {
	// Acquire admits a request, or refuses it; release ends its share.
	Acquire(ctx context.Context, r call.ModelRequest) (release func(), err error)
	// Pick chooses a runner for an attempt.
	Pick(ctx context.Context, j Job) (Choice, error)
	// Started and Ended tell of each attempt.
	Started(j Job, c Choice)
	Ended(j Job, a AttemptResult)
}

// Config is what Models works with.
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
	// Transfer is what moving KV caches costs.
	Transfer Transfer
}

// Limits bound what Models keeps and waits for; zero fields get defaults.
type Limits struct {
	Request request.Limits
	// MaxInProgress bounds the requests in progress.
	MaxInProgress int
	// MaxFinished bounds the ended requests kept for late readers, Retention
	// for how long.
	MaxFinished int
	Retention   time.Duration
	// MaxTokens applies where a request names no limit of its own.
	MaxTokens int
	// HeartbeatInterval is how often an idle stream shows that it is alive; SilenceTimeout
	// is how long a peer's stream may carry nothing.
	HeartbeatInterval, SilenceTimeout time.Duration
	// RenewInterval is how often progress of recorded requests goes to their keepers.
	RenewInterval time.Duration
	// OwnerTimeout is how long an owner must be missing from the directory,
	// and must not have renewed its records, before they are adopted.
	OwnerTimeout time.Duration
	// LookupTimeout bounds the search for a request's owner.
	LookupTimeout time.Duration
	// DrainAcceptPeriod is how long after a notice new requests are still taken.
	DrainAcceptPeriod time.Duration
	// ReclaimMargin is kept free before a runner's VM goes.
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
	setDefault(&l.HeartbeatInterval, time.Second)
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

// HTTPPeers reaches peers over plain HTTP.
type HTTPPeers struct{ Client *http.Client }

// Requests returns a client for the daemon at the address (host:port).
func (p HTTPPeers) Requests(address string) requestv1connect.RequestServiceClient {
	return requestv1connect.NewRequestServiceClient(p.Client, "http://"+address)
}
