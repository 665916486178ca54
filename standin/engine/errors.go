package engine

import "fmt"

// DeadError says that the engine's VM is gone.
type DeadError struct{}

func (*DeadError) Error() string { return "engine is gone" }

// LeavingError says that the engine takes no new attempts because its VM goes.
type LeavingError struct{}

func (*LeavingError) Error() string { return "engine is leaving" }

// NotLoadedError says that the model or adapter is not loaded.
type NotLoadedError struct{ Model, Adapter string }

func (e *NotLoadedError) Error() string {
	return fmt.Sprintf("model %q with adapter %q is not loaded", e.Model, e.Adapter)
}

// DuplicateAttemptError says that the attempt runs already.
type DuplicateAttemptError struct{ AttemptID string }

func (e *DuplicateAttemptError) Error() string {
	return fmt.Sprintf("attempt %q runs already", e.AttemptID)
}

// QueueFullError says that too many attempts wait.
type QueueFullError struct{ Waiting int }

func (e *QueueFullError) Error() string { return fmt.Sprintf("%d attempts wait already", e.Waiting) }

// TooLongError says that a prompt and its output can never fit the memory.
type TooLongError struct{ Tokens, Limit int }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("%d tokens are over the limit of %d", e.Tokens, e.Limit)
}

// UnknownAttemptError says that no such attempt is there.
type UnknownAttemptError struct{ AttemptID string }

func (e *UnknownAttemptError) Error() string { return fmt.Sprintf("no attempt %q", e.AttemptID) }

// UnknownHandleError says that no such exported cache is kept.
type UnknownHandleError struct{ Handle string }

func (e *UnknownHandleError) Error() string { return fmt.Sprintf("no exported cache %q", e.Handle) }

// StaleFencingError says that an order's fencing number is older than Seen.
type StaleFencingError struct{ Seen uint64 }

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("fencing number is older than %d", e.Seen)
}

// UnknownOrderError says that the order's kind is none of engineapi's.
type UnknownOrderError struct{ Kind string }

func (e *UnknownOrderError) Error() string { return fmt.Sprintf("unknown order %q", e.Kind) }

// InjectedError says that a fault switch asked for this failure.
type InjectedError struct{ Fault string }

func (e *InjectedError) Error() string { return fmt.Sprintf("injected fault: %s", e.Fault) }

// TransferError says that an exported cache did not arrive whole.
type TransferError struct {
	Source string
	Err    error
}

func (e *TransferError) Error() string {
	return fmt.Sprintf("transfer from %s: %v", e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *TransferError) Unwrap() error { return e.Err }
