// Package refusal holds the typed answers that a caller gets when a request is
// not answered in full. A refusal always says whether anything ran.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Executed tells whether the refused request ran at a runner.
type Executed string

const (
	// ExecutedNo is a promise: no byte of the request can have reached a
	// runner, or the runner itself said that it did not run it.
	ExecutedNo Executed = "no"
	// ExecutedYes says that it ran and that its answer is known.
	ExecutedYes Executed = "yes"
	// ExecutedUnknown is said wherever the promise of ExecutedNo can't be kept.
	ExecutedUnknown Executed = "unknown"
)

// Reason is the machine-readable cause of a refusal; each has its own counter.
type Reason string

// Reasons shared by all kinds of requests.
const (
	BadRequest           Reason = "bad_request"
	BodyTooLarge         Reason = "body_too_large"
	UnsupportedMethod    Reason = "unsupported_method"
	UnknownModel         Reason = "unknown_model"
	UnknownService       Reason = "unknown_service"
	UnknownRoute         Reason = "unknown_route"
	UnknownRequest       Reason = "unknown_request"
	Unauthenticated      Reason = "unauthenticated"
	NotReady             Reason = "not_ready"
	Draining             Reason = "draining"
	Overloaded           Reason = "overloaded"
	WorkspaceLimit       Reason = "workspace_limit"
	DeadlineUnreachable  Reason = "deadline_unreachable"
	DeadlineExceeded     Reason = "deadline_exceeded"
	NoRunner             Reason = "no_runner"
	RunnerFailed         Reason = "runner_failed"
	RunnerRefused        Reason = "runner_refused"
	RetryBudgetExhausted Reason = "retry_budget_exhausted"
	Cancelled            Reason = "cancelled"
	// StaleConfiguration means that the daemon can't show that its configuration
	// is recent enough to decide by.
	StaleConfiguration Reason = "stale_configuration"
	// QuotaUnknown means that nobody who shares out the workspace's quota answered.
	QuotaUnknown Reason = "quota_unknown"
	Internal     Reason = "internal"
)

// Reasons of actions (calls that may not be repeated).
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

// Refusal is the typed final answer to a request that is not answered in full.
type Refusal struct {
	Reason   Reason
	Executed Executed
	// Detail is for a person; it never carries another caller's data.
	Detail string
	// RetryAfter is when to come back; zero means that the same request would
	// be refused again.
	RetryAfter time.Duration
}

// New makes a refusal for a request that has not run.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Executed: ExecutedNo, Detail: fmt.Sprintf(format, args...)}
}

// After returns the refusal with the time at which to come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Unknown returns the refusal without the promise that nothing ran.
func (r *Refusal) Unknown() *Refusal {
	r.Executed = ExecutedUnknown
	return r
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (executed: %s): %s", r.Reason, r.Executed, r.Detail)
}

// From finds the refusal in an error chain. Any other error becomes Internal
// with executed "unknown", since its cause proves nothing about the runner.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(Internal, "%v", err).Unknown()
}
