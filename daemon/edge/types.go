// Package edge implements the daemon of an entry VM. It accepts callers' requests and forwards
// them unchanged to runners by the operator's routes. Runners are separate servers that
// register themselves in the key-value service.
//
// Persistent state lies in the key-value service: the operator's configuration, the runners'
// entries, the lease of the duties, the last usage report and the usage counted for the next
// reports. The duties are the calls to the cloud provider (usage reports and orders of runners)
// and the decisions about trials of new software versions; one daemon at a time, the duty
// holder, performs them under a lease. A daemon reads this state when it starts and then
// watches for changes. A daemon that loses the connection to the service continues with the
// state that it has, refuses requests with keys once it can no longer show that its
// configuration is recent, and performs no duties.
//
// State that changes quickly (quota use, load of the runners, usage counts, runners that are
// leaving) is exchanged between daemons in UDP datagrams. Each datagram carries the sender's
// whole state, so losing one does no harm, and the counts of a daemon that has died remain
// known to the others. In a large fleet a few daemons act as relays: every other daemon, a
// follower, reports to some of them, the first of which is its primary, and the relays exchange
// what they have received.
//
// A request is handled by one daemon only. If that daemon dies, the caller must retry at
// another one.
//
// Further terms of this package:
//
//   - Each daemon elects the relays of every failure domain from the daemons that it knows.
//     "Elects" refers to this local result: daemons that know different parts of the fleet may
//     elect different relays, and a daemon may consider itself a relay that no other one elects.
//   - A share is the part of a workspace's quota that one relay may grant without asking others.
//   - A recommended runner is the one that a relay names in its grant of quota to a follower.
//     The follower sends it the request if the runner still accepts work.
//   - A placement is the fact that the shared parts of a prompt were sent to a runner, which
//     therefore has them cached. The home of a prompt is the runner that a hash of its shared
//     parts selects; daemons that don't know placements yet expect the parts to be cached there.
//   - An order to the cloud (type Order) states how many runners of one kind there should be in
//     total. An operator's order (type canary.Order) moves a service to another software
//     version, which is on trial until its success or failure is decided.
//   - Offered tokens are the uncached prompt tokens of the requests that callers brought to a
//     daemon. Work is these tokens together with the load of requests in progress at runners.
//   - A round is a period of gossipInterval; messages are sent in every round or every few.
//
// The packages under protocol and coordination make the decisions; this package holds the
// goroutines, locks and calls around them. The interfaces in this file are its dependencies.
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
	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
	"geraniumstack.org/geraniumstack/coordination/spillover"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/state/segment"
)

// Settings are the parameters that a daemon is started with.
type Settings struct {
	ID            ident.DaemonID
	FailureDomain ident.FailureDomain
	CallerAddress string
	// PeerAddress is the address at which this daemon receives the other daemons' datagrams.
	PeerAddress string
	// Seeds are peer addresses of other daemons; they may be out of date.
	Seeds []string
	// FleetNeverServed claims that no daemon of this fleet has ever served a request, so that no
	// quota has been used and no runner has any prompt cached. The key-value service has to confirm it, since a
	// process may be started again with the settings of the first start.
	FleetNeverServed bool
	Bounds           Bounds
	Policy           Policy
	// Spillover is the waiting time that a megabyte of traffic between failure domains is worth.
	// Zero means that nothing is known about its price. All daemons of a fleet must use the same.
	Spillover spillover.Price
}

// Bounds are the operator's limits on the daemon's behavior.
type Bounds struct {
	// Grace is the time between the signal to stop and the kill of the process.
	Grace time.Duration
	// ConfigWithin is the time within which a change of the operator's configuration must be in
	// force.
	ConfigWithin time.Duration
	// DrainWithin is how long daemons may still send requests to a runner after it has announced
	// in the key-value service that it is leaving.
	DrainWithin time.Duration
	// RevokeWithin is how long a key may still work after its removal. With StrictRevocation
	// this also binds a daemon that can't reach the key-value service.
	RevokeWithin     time.Duration
	StrictRevocation bool
	// RetryRatio and RetrySlack bound the retries of all daemons together: in any RetryWindow
	// there may be RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow is the time span over which the workspaces' quotas are enforced.
	QuotaWindow    time.Duration
	QuotaTolerance quota.Tolerance
	// LeaseTTL is the lifetime of the lease whose holder performs the duties. MaxHolderPause is
	// how long the holder's process may be paused between its decision on a call to the cloud
	// and the start of that call. A new holder makes no call until such a call of its
	// predecessor must have arrived.
	LeaseTTL       time.Duration
	MaxHolderPause time.Duration
	// UsageWindow is the time span of a usage report. UsageDue is the time after its end at
	// which the report is due.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// Trials limits what a new software version is sent before it is known to be good.
	Trials canary.Bounds
}

// Prompt is what a request says about its prompt; the zero value stands for no prompt.
type Prompt struct {
	Model        string
	PromptTokens int
	// OutputTokens is the maximum that may be generated. ExpectedOutput is the caller's
	// estimate or, without one, OutputTokens.
	OutputTokens   int
	ExpectedOutput int
	// Prefix[i] is a hash of the prompt from its start to the end of its part i;
	// PrefixTokens[i] is the number of tokens up to there.
	Prefix       []prefix.Hash
	PrefixTokens []int
	// Parts[i] is a hash of the prompt's part i alone, wherever it stands.
	Parts []uint64
}

// SharedParts returns the parts that other prompts may hold, too: all but the last.
func (p *Prompt) SharedParts() []uint64 {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// Request is a caller's request after it has been read completely.
type Request struct {
	ID     string
	Host   string
	Path   string
	Method string
	// Target is the path and query of the request line, unchanged.
	Target string
	// Header is forwarded to the runner. It contains no headers that this system sets itself.
	Header http.Header
	Body   segment.List
	// Key is the caller's API key; empty if there is none.
	Key string
	// Received is when the request had been read completely. CallerTimeout is how long the
	// caller waits from then on; zero if it is unknown.
	Received      time.Time
	CallerTimeout time.Duration
	// LastEventID is the event after which the caller resumes a stream; empty for a new stream.
	LastEventID string
	// Resumes is the ID of the caller's earlier request that brought the first event of the
	// stream that this request resumes; empty if the caller names none.
	Resumes string
	Prompt  Prompt
}

// Reply sends the answer to one caller. An answer that isn't ended by Finish must not look
// complete to the caller; Abort ensures that.
type Reply interface {
	// Refuse sends the system's own final answer. closing asks the caller to use another
	// connection from now on.
	Refuse(r *refusal.Refusal, closing bool)
	// Start sends a runner's status and header. length is the length of the whole body,
	// negative if it is unknown.
	Start(status int, header http.Header, length int64, closing bool)
	// Write sends a part of the body immediately.
	Write(p []byte) error
	Finish()
	Abort()
}

// Attempt is a single send of a request to a runner.
type Attempt struct {
	Request   *Request
	Runner    ident.RunnerID
	Address   string
	Workspace ident.Workspace
	// Deadline is the end of the caller's or the route's timeout. The runner is told what is left of it at the send.
	Deadline time.Time
	// Priority is the request's priority at a model engine; 0 is the most urgent, a negative
	// value means that none is set.
	Priority int
	// FetchFrom is the address of a runner that has the shared part of the prompt cached; empty
	// if there is none.
	FetchFrom string
	// LastEventID is the event after which a stream is resumed; empty for its beginning.
	LastEventID string
	// Identified, if it isn't nil, is called before Connected with the incarnation that the runner at the other
	// end of the connection says it is; empty if it doesn't say. answered is false if it has given no answer at all.
	Identified func(says ident.RunnerID, answered bool)
	// Connected is called when there is a connection, before the request is sent over it, and reports
	// whether the request may still be sent. If not, Send fails with the reason retry.Withdrawn.
	Connected func() bool
}

// Answer is a runner's response.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body; negative if it is unknown.
	Length int64
	// Body returns an error unless the whole body has arrived. It must be closed. If Unframed is set,
	// the body ends with its connection, so that the end alone doesn't show that it is whole.
	Body     io.ReadCloser
	Unframed bool
	// ConnectionEnd describes, for the log, how the connection stands once an unframed body has ended; nil if
	// nothing is known of it.
	ConnectionEnd func() string
	// NotRun is set if the runner states that it didn't run the request. Misdirected is set if
	// a different runner listens at the address.
	NotRun      bool
	Misdirected bool
	// Leaving is set if the runner says in the answer that it is leaving.
	Leaving bool
	// Events is set if the body is an event stream.
	Events bool
	// RetryAfter is the time for which the runner, which has turned the request away, wants no
	// others from this daemon; zero if it names none.
	RetryAfter time.Duration
	// Limits are what the runner states about the load that it bears.
	Limits runnerlimit.Limits
	// LateAnswers is the number of answers to earlier requests that came first on the connection. PassedOver
	// is the number of unused connections that were not taken because they had carried the request.
	LateAnswers, PassedOver int
}

// isPlainError reports whether the answer is a runner's error of its own.
func (a *Answer) isPlainError() bool { return !a.Events && a.Status >= http.StatusInternalServerError }

// SendError describes an attempt that failed before the runner answered.
type SendError struct {
	Reason retry.Reason
	// Sent is false if no byte of the request was sent.
	Sent bool
	// Heard says that bytes of the runner have arrived, so that it was reached.
	Heard bool
	Err   error
}

func (e *SendError) Error() string { return fmt.Sprintf("%s: %v", e.Reason, e.Err) }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// Health is the result of a health check.
type Health string

// Results of health checks.
const (
	// Healthy runners accept work; Unhealthy ones have answered that they don't, or another
	// runner listens at the address.
	Healthy   Health = "healthy"
	Unhealthy Health = "unhealthy"
	// NoAnswer means that no connection could be opened or that no answer came.
	NoAnswer Health = "no_answer"
)

// HealthAnswer is what came of a health check: the result, and what the runner says of itself in the answer.
type HealthAnswer struct {
	Health Health
	// Heard says that bytes of the runner have arrived, so that it was reached, also without an answer.
	Heard      bool
	Leaving    bool
	RetryAfter time.Duration
}

// RunnerClient sends requests to runners. Send makes one attempt and never retries; its errors
// are *SendError. Canceling the context ends the attempt, including the reading of the body. Both calls end once the
// bytes of the runner are known to be no answer: see MaxHeadBytes, MaxPieceTime, MaxInterimAnswers and MaxSkippedBytes.
type RunnerClient interface {
	Send(ctx context.Context, a *Attempt) (*Answer, error)
	// CheckHealth asks the runner over a new connection whether it accepts work. If path is
	// empty, it only opens the connection.
	CheckHealth(ctx context.Context, address, path string, id ident.RunnerID) HealthAnswer
	// Retain closes the connections to all addresses that aren't in the map.
	Retain(addresses map[string]bool)
}

// Runner is a runner's entry in the key-value service.
type Runner struct {
	view.Runner
	Models []load.Model
	Slots  int
	// Version is the runner's software version.
	Version canary.Version
	// Seq grows with each write of the entry by one incarnation of the runner.
	Seq uint64
	// SaysIncarnation is set if the runner, when it is asked over a connection, says which incarnation it is.
	SaysIncarnation bool
}

// Codec decodes the entries that others write into the key-value service and encodes those that
// they read.
type Codec interface {
	// ConfigKey is the key of the operator's configuration. RunnerPrefix is the prefix of the
	// keys of the runners' entries.
	ConfigKey() string
	RunnerPrefix() string
	Config(value []byte) (route.Config, error)
	// Runner decodes an entry. now converts remaining times in the entry to points in time.
	Runner(key string, value []byte, now time.Time) (Runner, error)
	// OrderPrefix is the prefix of the keys of the operator's orders to move a service to
	// another software version. Order decodes such an order.
	OrderPrefix() string
	Order(key string, value []byte) (canary.Order, error)
	// Status encodes the status of an order that the operator reads, and returns its key.
	Status(service string, target canary.Version, state canary.State) (key string, value []byte, err error)
}

// DutyLease identifies the duty holder on whose behalf the cloud is called.
type DutyLease struct {
	Holder ident.DaemonID
	// Token is a fencing token; it grows with each change of the holder.
	Token uint64
}

// Order tells the cloud how many runners of one service, failure domain and class there should
// be in total, so the cloud starts or stops runners.
type Order struct {
	Service       string
	FailureDomain ident.FailureDomain
	Reclaimable   bool
	Runners       int
}

// NoRunnersAvailableError says that the cloud has no runners of the requested kind at the
// moment.
type NoRunnersAvailableError struct{ Order Order }

func (e *NoRunnersAvailableError) Error() string {
	return fmt.Sprintf("no runner of %s is available in %s", e.Order.Service, e.Order.FailureDomain)
}

// Cloud takes the duty holder's usage reports and orders of runners.
type Cloud interface {
	ReportUsage(ctx context.Context, d DutyLease, w accounting.Window, counts accounting.Counts) error
	// Order fails with *NoRunnersAvailableError if there are no such runners at the moment.
	Order(ctx context.Context, d DutyLease, o Order) error
}
