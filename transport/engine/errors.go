package engine

import (
	"errors"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// AttemptError is an error of Generate that says whether the engine may have started the attempt.
type AttemptError interface {
	error
	// MayHaveStarted is false only if the engine can't have done any work.
	MayHaveStarted() bool
}

// MayHaveStarted reports whether the attempt that ended with err may have started. It returns true
// if the error doesn't say.
func MayHaveStarted(err error) bool {
	var attemptErr AttemptError
	if errors.As(err, &attemptErr) {
		return attemptErr.MayHaveStarted()
	}
	return true
}

// RefusedError says that the engine answered with an error instead of a stream or result. A refused
// attempt hasn't started.
type RefusedError struct {
	Status int
	Body   engineapi.ErrorBody
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d (%s): %s", e.Status, e.Body.Code, e.Body.Error)
}

// MayHaveStarted implements AttemptError.
func (*RefusedError) MayHaveStarted() bool { return false }

// ConnectError says that no connection could be opened, so nothing was sent.
type ConnectError struct{ Err error }

func (e *ConnectError) Error() string { return fmt.Sprintf("connect to engine: %v", e.Err) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// MayHaveStarted implements AttemptError.
func (*ConnectError) MayHaveStarted() bool { return false }

// ConnectionLostError says that the connection ended before the answer was complete.
type ConnectionLostError struct{ Err error }

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("answer of engine broken off: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Err }

// MayHaveStarted implements AttemptError.
func (*ConnectionLostError) MayHaveStarted() bool { return true }

// TruncatedStreamError says that the stream ended regularly but without its final line.
type TruncatedStreamError struct{}

func (*TruncatedStreamError) Error() string { return "stream ended before its last line" }

// MayHaveStarted implements AttemptError.
func (*TruncatedStreamError) MayHaveStarted() bool { return true }

// StreamIdleError says that no line arrived for the duration After. The connection counts as lost,
// but the engine may be healthy.
type StreamIdleError struct{ After time.Duration }

func (e *StreamIdleError) Error() string { return fmt.Sprintf("no line from engine for %s", e.After) }

// MayHaveStarted implements AttemptError.
func (*StreamIdleError) MayHaveStarted() bool { return true }

// MalformedAnswerError says that an answer doesn't follow the protocol.
type MalformedAnswerError struct{ Err error }

func (e *MalformedAnswerError) Error() string {
	return fmt.Sprintf("malformed answer of engine: %v", e.Err)
}

// Unwrap returns the cause.
func (e *MalformedAnswerError) Unwrap() error { return e.Err }

// MayHaveStarted implements AttemptError.
func (*MalformedAnswerError) MayHaveStarted() bool { return true }

// AttemptFailedError says that the engine aborted an attempt after it had started.
type AttemptFailedError struct{ Reason string }

func (e *AttemptFailedError) Error() string { return fmt.Sprintf("engine failed: %s", e.Reason) }

// MayHaveStarted implements AttemptError.
func (*AttemptFailedError) MayHaveStarted() bool { return true }
