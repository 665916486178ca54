package orders

import (
	"errors"
	"fmt"

	"geraniumstack.org/geraniumstack/coordination/rollout"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// NotHeldError means that an order was not sent because the responsibility's
// lease doesn't allow it, or not any more.
type NotHeldError struct{ Responsibility string }

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("responsibility %s is not held", e.Responsibility)
}

// RunnerLeavingError means that an order was not sent because its runner is
// leaving.
type RunnerLeavingError struct{ Runner ident.RunnerID }

func (e *RunnerLeavingError) Error() string { return fmt.Sprintf("runner %s is leaving", e.Runner) }

// OrderFailedError means that a runner refused an order, or that it is unknown
// whether the runner carried it out.
type OrderFailedError struct {
	Order rollout.Order
	Err   error
}

func (e *OrderFailedError) Error() string {
	return fmt.Sprintf("order of %s version %s to runner %s: %v", e.Order.Model, e.Order.Version, e.Order.Runner, e.Err)
}

// Unwrap returns the cause.
func (e *OrderFailedError) Unwrap() error { return e.Err }

// failureName returns the last part of the name of the counter for an error.
func failureName(err error) string {
	var notHeld *NotHeldError
	var leaving *RunnerLeavingError
	var refused *OrderFailedError
	var stale *cloudapi.StaleFencingError
	var missing *cloudapi.NotFoundError
	var limited *cloudapi.RateLimitedError
	var lost *LedgerLostError
	switch {
	case errors.As(err, &notHeld):
		return "not_held"
	case errors.As(err, &leaving):
		return "runner_leaving"
	case errors.As(err, &refused):
		return "runner_refused"
	case errors.As(err, &stale):
		return "cloud_stale_fencing"
	case errors.As(err, &missing):
		return "not_found"
	case errors.As(err, &limited):
		return "weights_rate_limited"
	case errors.As(err, &lost):
		return "ledger_lost"
	}
	return "platform"
}
