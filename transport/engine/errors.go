package engine

import (
	"errors"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// StartError is an error of Generate that says whether the engine can have
// started the attempt.
type StartError interface {
	error
	// MayHaveStarted is false only where no work can have been done.
	MayHaveStarted() bool
}

// MayHaveStarted reports whether the attempt that ended with err can have
// started. It is true where the error does not tell.
func MayHaveStarted(err error) bool {
	var start StartError
	if errors.As(err, &start) {
		return start.MayHaveStarted()
	}
	return true
}

// RefusedError says that the engine answered with an error in place of a
// stream or result; a refused attempt has not started.
type RefusedError struct {
	Status int
	Body   engineapi.ErrorBody
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d (%s): %s", e.Status, e.Body.Code, e.Body.Error)
}

// MayHaveStarted implements StartError.
func (*RefusedError) MayHaveStarted() bool { return false }

// ConnectError says that no connection came about, so that no byte was sent.
type ConnectError struct{ Err error }

func (e *ConnectError) Error() string { return fmt.Sprintf("connect to engine: %v", e.Err) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// MayHaveStarted implements StartError.
func (*ConnectError) MayHaveStarted() bool { return false }

// BrokenError says that a connection ended before the answer was whole.
type BrokenError struct{ Err error }

func (e *BrokenError) Error() string { return fmt.Sprintf("answer of engine broken off: %v", e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// MayHaveStarted implements StartError.
func (*BrokenError) MayHaveStarted() bool { return true }

// TruncatedError says that a stream ended in good order without its last line.
type TruncatedError struct{}

func (*TruncatedError) Error() string { return "stream ended before its last line" }

// MayHaveStarted implements StartError.
func (*TruncatedError) MayHaveStarted() bool { return true }

// SilentError says that no line came for as long as After. The connection is
// dead; the engine need not be.
type SilentError struct{ After time.Duration }

func (e *SilentError) Error() string { return fmt.Sprintf("no line from engine for %s", e.After) }

// MayHaveStarted implements StartError.
func (*SilentError) MayHaveStarted() bool { return true }

// MalformedError says that an answer is not of the protocol.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed answer of engine: %v", e.Err) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// MayHaveStarted implements StartError.
func (*MalformedError) MayHaveStarted() bool { return true }

// FailedError says that the engine gave an attempt up after it had started.
type FailedError struct{ Reason string }

func (e *FailedError) Error() string { return fmt.Sprintf("engine failed: %s", e.Reason) }

// MayHaveStarted implements StartError.
func (*FailedError) MayHaveStarted() bool { return true }
