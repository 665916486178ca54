package models

import (
	"context"
	"errors"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// HTTPEngines reaches engines over HTTP.
type HTTPEngines struct {
	// Client has no timeout of its own.
	Client *http.Client
	// Silence bounds a stream without any line, heartbeats included.
	Silence time.Duration
	// Directory hears of engines that refuse because they are leaving.
	Directory view.Directory
}

// Generate implements Engines.
func (h HTTPEngines) Generate(ctx context.Context, address string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error {
	err := engine.New(address, h.Client).Generate(ctx, r, h.Silence, sink)
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.Body.Code == engineapi.CodeLeaving && h.Directory != nil {
		h.Directory.NoteLeaving(address, 0)
	}
	return err
}

// Cancel implements Engines.
func (h HTTPEngines) Cancel(ctx context.Context, address string, r engineapi.CancelRequest) error {
	return engine.New(address, h.Client).Cancel(ctx, r.AttemptID)
}

// Export implements Engines.
func (h HTTPEngines) Export(ctx context.Context, address string, r engineapi.ExportRequest) (engineapi.ExportResponse, error) {
	return engine.New(address, h.Client).Export(ctx, r.AttemptID)
}

// Import implements Engines.
func (h HTTPEngines) Import(ctx context.Context, address string, r engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	return engine.New(address, h.Client).Import(ctx, r)
}

// notStarted tells whether no work can have been done for the attempt.
func notStarted(err error) bool { return err != nil && !engine.MayHaveStarted(err) }

// closedBy names the cause for which an attempt's stream ended.
func closedBy(err error) request.Cause {
	var failed *engine.FailedError
	var own *EngineFailedError
	var refused *engine.RefusedError
	var connect *engine.ConnectError
	var silent *engine.SilentError
	var malformed *engine.MalformedError
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
