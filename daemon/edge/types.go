// Package edge runs the daemon of one entry VM in front of runners that it does
// not speak for: requests are forwarded as they are, by the operator's routes.
//
// The failure story. Everything that must last lies in the key-value service: the
// operator's configuration, the runners' entries, who holds the duties, what was
// reported last and what is counted for the next reports. A daemon that starts reads
// it and watches; one that loses the service goes on with what it has, refuses keyed
// requests once its configuration can't be shown to be recent, and gives no orders.
// What changes quickly (use of quotas, load of runners, counts of usage, who is
// draining) the daemons tell each other in datagrams that each hold the sender's
// whole state, so a lost one costs nothing and a dead daemon's counts outlive it. A
// request lives at one daemon: if that dies, its caller asks another.
//
// Decisions are made in protocol and coordination; this package holds the
// goroutines, locks and calls around them. What it calls is behind the
// interfaces of this file.
package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

// Settings are what a daemon knows at its start.
type Settings struct {
	ID            ident.DaemonID
	FailureDomain ident.FailureDomain
	CallerAddress string
	// PeerAddress takes the other daemons' datagrams.
	PeerAddress string
	// Seeds are other daemons' peer addresses; they may be out of date.
	Seeds []string
	// FirstStart says that the fleet has not served before.
	FirstStart bool
	Bounds     Bounds
	Policy     Policy
}

// Bounds are the users' figures for what the daemon owes.
type Bounds struct {
	// Grace is the time from a request to stop until the process is killed.
	Grace time.Duration
	// ConfigWithin is the time in which an operator's change must be in force.
	ConfigWithin time.Duration
	// DrainWithin is how long after its notice a runner may be sent requests.
	DrainWithin time.Duration
	// RevokeWithin is how long after its removal a key may work; StrictRevocation
	// says that this binds a daemon that can't reach the key-value service, too.
	RevokeWithin     time.Duration
	StrictRevocation bool
	// In any RetryWindow, second sends may be RetryRatio of the requests and
	// RetrySlack, over all daemons.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow is the span over which workspaces' quotas bind.
	QuotaWindow    time.Duration
	QuotaTolerance quota.Tolerance
	// LeaseTTL is the lease of duties, FreezeSlack how late a paused holder's
	// last order may come.
	LeaseTTL    time.Duration
	FreezeSlack time.Duration
	// UsageWindow is the span of a usage report, UsageDue its due time after it.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// Trials bound what a new software version gets before it is known to be good.
	Trials canary.Bounds
}

// Prompt is what a request tells of its prompt; the zero value is none.
type Prompt struct {
	Model        string
	PromptTokens int
	// OutputTokens is the most that may be generated, ExpectedOutput the caller's
	// estimate or, without one, the same.
	OutputTokens   int
	ExpectedOutput int
	// Prefix names the whole prompt up to the end of each of its parts, and
	// PrefixTokens is its length there.
	Prefix       []prefix.Hash
	PrefixTokens []int
}

// Request is one caller's request, read whole.
type Request struct {
	ID     string
	Host   string
	Path   string
	Method string
	// Target is the request line's, path and query as they came.
	Target string
	// Header is what goes on to the runner; nothing that is the system's to set
	// is in it.
	Header http.Header
	Body   []byte
	// Key is the caller's; empty is none.
	Key string
	// Received is when the request had been read, Patience how long its caller
	// waits from then on; zero is not told.
	Received      time.Time
	CallerTimeout time.Duration
	// LastEventID is where the caller's stream goes on; empty is the beginning.
	LastEventID string
	Prompt      Prompt
}

// Reply is the way back to one caller. An answer that is not finished by Finish
// must not look complete; Abort sees to that.
type Reply interface {
	// Refuse sends a final answer of the system's own. closing asks the caller
	// to use another connection from now on.
	Refuse(r *refusal.Refusal, closing bool)
	// Start sends a runner's status and header; length is of the whole body,
	// negative if not known.
	Start(status int, header http.Header, length int64, closing bool)
	// Write sends a part of the body at once.
	Write(p []byte) error
	Finish()
	Abort()
}

// Attempt is one send of a request to one runner.
type Attempt struct {
	Request   *Request
	Runner    ident.RunnerID
	Address   string
	Workspace ident.Workspace
	// TimeLeft until the caller or the route gives up.
	TimeLeft time.Duration
	// Priority of the request at an engine, 0 is the most urgent; negative is
	// not set.
	Priority int
	// FetchFrom is the address of a runner that has the prompt's shared part cached;
	// empty is none.
	FetchFrom string
	// LastEventID is where a stream goes on; empty is the beginning.
	LastEventID string
}

// Answer is what a runner sent back.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body; negative if not known.
	Length int64
	// Body fails unless the whole body came. It must be closed.
	Body io.ReadCloser
	// NotRun is the runner's word that it did not run the request; Misdirected
	// says that another runner listens at the address.
	NotRun      bool
	Misdirected bool
	// Leaving says that the runner is closing this connection.
	Leaving bool
	// Events says that the body is an event stream.
	Events     bool
	RetryAfter time.Duration
}

// SendError says how an attempt failed before there was an answer.
type SendError struct {
	Reason retry.Reason
	// Sent is false if no byte of the request went out.
	Sent bool
	Err  error
}

func (e *SendError) Error() string { return fmt.Sprintf("%s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// RunnerClient reaches the runners. Send makes one attempt and repeats nothing;
// errors are *SendError. The context ends the attempt, its body included.
type RunnerClient interface {
	Send(ctx context.Context, a *Attempt) (*Answer, error)
	// Healthy asks on a new connection whether the runner takes work.
	Healthy(ctx context.Context, address, path string, id ident.RunnerID) bool
	// Retain closes the connections to all other addresses.
	Retain(addresses map[string]bool)
}

// Runner is one runner's entry in the directory.
type Runner struct {
	view.Runner
	Models []load.Model
	Slots  int
	// Version of the software.
	Version canary.Version
}

// Codec reads what others write into the key-value service.
type Codec interface {
	// ConfigKey holds the operator's configuration, RunnerPrefix begins the keys
	// of runners' entries.
	ConfigKey() string
	RunnerPrefix() string
	Config(value []byte) (route.Config, error)
	// Runner reads an entry; now is for times that are told as what is left.
	Runner(key string, value []byte, now time.Time) (Runner, error)
	// OrderPrefix begins the keys of the operator's orders to move a service to another
	// software version; Order reads one.
	OrderPrefix() string
	Order(key string, value []byte) (canary.Order, error)
	// Status is what the operator reads of an order, and its key.
	Status(service string, target canary.Version, state canary.State) (key string, value []byte, err error)
}

// DutyLease is on whose behalf a call to the cloud is made.
type DutyLease struct {
	Holder ident.DaemonID
	// Token grows with each change of the holder.
	Token uint64
}

// Order asks for a number of runners of one kind.
type Order struct {
	Service       string
	FailureDomain ident.FailureDomain
	Reclaimable   bool
	Runners       int
}

// NoRunnersAvailableError says that the cloud has no such runner now.
type NoRunnersAvailableError struct{ Order Order }

func (e *NoRunnersAvailableError) Error() string {
	return fmt.Sprintf("no runner of %s to be had in %s", e.Order.Service, e.Order.FailureDomain)
}

// Cloud takes reports and orders of the duties' holder.
type Cloud interface {
	ReportUsage(ctx context.Context, d DutyLease, w accounting.Window, counts accounting.Counts) error
	// Order fails with *NoneAvailableError where there are none.
	Order(ctx context.Context, d DutyLease, o Order) error
}
