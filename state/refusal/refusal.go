// Package refusal defines the typed results that callers receive if a request
// is not answered in full. Every refusal states whether the request was
// executed.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Executed states whether a refused request was executed by a runner.
type Executed string

// Execution states of refused requests.
const (
	// ExecutedNo guarantees that the request was not executed: no byte of it
	// can have reached a runner, or the runner reported that it did not execute
	// it.
	ExecutedNo Executed = "no"
	// ExecutedYes means that the request was executed and its result is known.
	ExecutedYes Executed = "yes"
	// ExecutedUnknown means that the request may have been executed. It is used
	// wherever ExecutedNo can't be guaranteed.
	ExecutedUnknown Executed = "unknown"
)

// Reason is the machine-readable cause of a refusal. Each reason has its own
// counter in the metrics.
type Reason string

// Reasons for refusing requests of any kind.
const (
	BadRequest   Reason = "bad_request"
	BodyTooLarge Reason = "body_too_large"
	// BodyIncomplete means that the body was cut off, or had not arrived when the time for the request was over.
	BodyIncomplete    Reason = "body_incomplete"
	UnsupportedMethod Reason = "unsupported_method"
	UnknownModel      Reason = "unknown_model"
	UnknownService    Reason = "unknown_service"
	UnknownRoute      Reason = "unknown_route"
	UnknownRequest    Reason = "unknown_request"
	Unauthenticated   Reason = "unauthenticated"
	// NotReady means that the daemon has no configuration yet, or that no other
	// daemon can be reached to keep a copy of the request's record.
	NotReady            Reason = "not_ready"
	Draining            Reason = "draining"
	Overloaded          Reason = "overloaded"
	WorkspaceLimit      Reason = "workspace_limit"
	DeadlineUnreachable Reason = "deadline_unreachable"
	DeadlineExceeded    Reason = "deadline_exceeded"
	NoRunner            Reason = "no_runner"
	// RunnersLimited means that all suitable runners limit the load that they bear, and that the
	// daemons have used up these limits.
	RunnersLimited Reason = "runners_limited"
	// RunnersResting means that all suitable runners have asked this daemon for rest.
	RunnersResting Reason = "runners_resting"
	// StreamUnknown means that a stream can't be resumed because no daemon that answers knows
	// which software version began it.
	StreamUnknown Reason = "stream_unknown"
	// VersionUnavailable means that a stream can't be resumed because no runner of the software
	// version that began it is available.
	VersionUnavailable Reason = "version_unavailable"
	// FailingPart means that a part of the prompt makes runners fail, FailingRequest that the request
	// itself does.
	FailingPart          Reason = "failing_prompt_part"
	FailingRequest       Reason = "failing_request"
	RunnerFailed         Reason = "runner_failed"
	RunnerRefused        Reason = "runner_refused"
	RetryBudgetExhausted Reason = "retry_budget_exhausted"
	Cancelled            Reason = "cancelled"
	// StaleConfiguration means that the daemon can't prove that its
	// configuration is recent enough to base a decision on it.
	StaleConfiguration Reason = "stale_configuration"
	// QuotaUnknown means that none of the daemons that distribute the
	// workspace's quota answered.
	QuotaUnknown Reason = "quota_unknown"
	Internal     Reason = "internal"
)

// Reasons for refusing actions, which are calls that run at most once.
const (
	KeyRequired        Reason = "idempotency_key_required"
	KeyMalformed       Reason = "idempotency_key_malformed"
	KeyExpired         Reason = "idempotency_key_expired"
	KeyReused          Reason = "idempotency_key_reused"
	OwnerUnreachable   Reason = "owner_unreachable"
	OwnerGone          Reason = "owner_gone"
	OutcomeUnknown     Reason = "outcome_unknown"
	ActionTableFull    Reason = "action_table_full"
	JournalUnavailable Reason = "journal_unavailable"
	ClaimUnavailable   Reason = "claim_unavailable"
	AnswerNotKept      Reason = "answer_not_kept"
)

// Refusal is the typed final result of a request that is not answered in full.
type Refusal struct {
	Reason   Reason
	Executed Executed
	// Detail is a description for humans. It never contains data of another
	// caller.
	Detail string
	// RetryAfter is the delay after which the caller may try again. Zero means
	// that the same request would be refused again.
	RetryAfter time.Duration
}

// New returns a refusal of a request that was not executed.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Executed: ExecutedNo, Detail: fmt.Sprintf(format, args...)}
}

// After sets the retry delay and returns the refusal.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Unknown sets Executed to ExecutedUnknown and returns the refusal.
func (r *Refusal) Unknown() *Refusal {
	r.Executed = ExecutedUnknown
	return r
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (executed: %s): %s", r.Reason, r.Executed, r.Detail)
}

// From returns the refusal in an error chain. Any other error becomes an
// Internal refusal with ExecutedUnknown, since such an error proves nothing
// about the runner.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(Internal, "%v", err).Unknown()
}
