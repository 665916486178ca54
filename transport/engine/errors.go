package engine

import (
	"errors"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// AttemptError is an error of Generate that says whether the engine can have
// started the attempt.
type AttemptError interface {
	error
	// MayHaveStarted is false only where no work can have been done.
	MayHaveStarted() bool
}

// MayHaveStarted reports whether the attempt that ended with err can have
// started. It is true where the error does not tell.
func MayHaveStarted(err error) bool {
	var attemptErr AttemptError
	if errors.As(err, &attemptErr) {
		return attemptErr.MayHaveStarted()
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

// ConnectionLostError says that a connection ended before the answer was whole.
type ConnectionLostError struct{ Err error }

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("answer of engine broken off: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Err }

// MayHaveStarted implements StartError.
func (*ConnectionLostError) MayHaveStarted() bool { return true }

// TruncatedStreamError says that a stream ended in good order without its last line.
type TruncatedStreamError struct{}

func (*TruncatedStreamError) Error() string { return "stream ended before its last line" }

// MayHaveStarted implements StartError.
func (*TruncatedStreamError) MayHaveStarted() bool { return true }

// StreamIdleError says that no line came for as long as After. The connection is
// dead; the engine need not be.
type StreamIdleError struct{ After time.Duration }

func (e *StreamIdleError) Error() string { return fmt.Sprintf("no line from engine for %s", e.After) }

// MayHaveStarted implements StartError.
func (*StreamIdleError) MayHaveStarted() bool { return true }

// MalformedAnswerError says that an answer is not of the protocol.
type MalformedAnswerError struct{ Err error }

func (e *MalformedAnswerError) Error() string {
	return fmt.Sprintf("malformed answer of engine: %v", e.Err)
}

// Unwrap returns the cause.
func (e *MalformedAnswerError) Unwrap() error { return e.Err }

// MayHaveStarted implements StartError.
func (*MalformedAnswerError) MayHaveStarted() bool { return true }

// AttemptFailedError says that the engine gave an attempt up after it had started.
type AttemptFailedError struct{ Reason string }

func (e *AttemptFailedError) Error() string { return fmt.Sprintf("engine failed: %s", e.Reason) }

// MayHaveStarted implements StartError.
func (*AttemptFailedError) MayHaveStarted() bool { return true }
