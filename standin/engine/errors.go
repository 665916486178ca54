package engine

import "fmt"

// DeadError reports that the engine's VM has terminated.
type DeadError struct{}

func (*DeadError) Error() string { return "engine is gone" }

// LeavingError reports that the engine refuses new attempts because its VM
// will be reclaimed.
type LeavingError struct{}

func (*LeavingError) Error() string { return "engine is leaving" }

// NotLoadedError reports that the model or adapter is not loaded.
type NotLoadedError struct{ Model, Adapter string }

func (e *NotLoadedError) Error() string {
	return fmt.Sprintf("model %q with adapter %q is not loaded", e.Model, e.Adapter)
}

// DuplicateAttemptError reports that an attempt with the same ID is active.
type DuplicateAttemptError struct{ AttemptID string }

func (e *DuplicateAttemptError) Error() string {
	return fmt.Sprintf("attempt %q runs already", e.AttemptID)
}

// QueueFullError reports that the queue has reached Config.MaxQueue.
type QueueFullError struct{ Waiting int }

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d attempts wait already", e.Waiting)
}

// TooLongError reports that a prompt and its output do not fit into the
// engine's memory.
type TooLongError struct{ Tokens, Limit int }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("%d tokens are over the limit of %d", e.Tokens, e.Limit)
}

// UnknownAttemptError reports that no active attempt has this ID.
type UnknownAttemptError struct{ AttemptID string }

func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("no attempt %q", e.AttemptID)
}

// UnknownHandleError reports that no exported cache has this handle.
type UnknownHandleError struct{ Handle string }

func (e *UnknownHandleError) Error() string {
	return fmt.Sprintf("no exported cache %q", e.Handle)
}

// StaleFencingError reports that an order's fencing number is lower than
// Seen, the highest number seen.
type StaleFencingError struct{ Seen uint64 }

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("fencing number is older than %d", e.Seen)
}

// UnknownOrderError reports that package engineapi does not define the
// order's kind.
type UnknownOrderError struct{ Kind string }

func (e *UnknownOrderError) Error() string { return fmt.Sprintf("unknown order %q", e.Kind) }

// InjectedError reports a failure that was injected through Faults.
type InjectedError struct{ Fault string }

func (e *InjectedError) Error() string { return fmt.Sprintf("injected fault: %s", e.Fault) }

// TransferError reports that an exported cache could not be downloaded
// completely.
type TransferError struct {
	Source string
	Err    error
}

func (e *TransferError) Error() string {
	return fmt.Sprintf("transfer from %s: %v", e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *TransferError) Unwrap() error { return e.Err }
