package models

import (
	"errors"

	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// notStarted tells whether no work can have been done for the attempt.
func notStarted(err error) bool { return err != nil && !engine.MayHaveStarted(err) }

// closedBy names the cause for which an attempt's stream ended.
func closedBy(err error) request.Cause {
	var failed *engine.AttemptFailedError
	var own *EngineFailedError
	var refused *engine.RefusedError
	var connect *engine.ConnectError
	var silent *engine.StreamIdleError
	var malformed *engine.MalformedAnswerError
	switch {
	case errors.As(err, &failed), errors.As(err, &own):
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

// leaving tells whether the engine refused because its VM is going.
func leaving(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused) && refused.Body.Code == engineapi.CodeLeaving
}
