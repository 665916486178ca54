package models

import (
	"errors"

	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// notStarted reports whether err proves that the engine did no work for the
// attempt.
func notStarted(err error) bool { return err != nil && !engine.MayHaveStarted(err) }

// closeCause returns the reason why an attempt's stream ended.
func closeCause(err error) request.Cause {
	var failed *engine.AttemptFailedError
	var reported *EngineFailedError
	var refused *engine.RefusedError
	var connect *engine.ConnectError
	var silent *engine.StreamIdleError
	var malformed *engine.MalformedAnswerError
	switch {
	case errors.As(err, &failed), errors.As(err, &reported):
		return request.EngineError
	case errors.As(err, &refused):
		return request.Refused
	case errors.As(err, &connect), notStarted(err):
		return request.Unreachable
	case errors.As(err, &silent):
		return request.Silent
	case errors.As(err, &malformed):
		return request.Malformed
	}
	return request.Truncated
}

// refusedAsLeaving reports whether the engine refused the attempt because its
// VM is being reclaimed.
func refusedAsLeaving(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused) && refused.Body.Code == engineapi.CodeLeaving
}
