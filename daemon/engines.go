package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// engines holds a client for each engine address in use.
type engines struct {
	http        *http.Client
	idleTimeout time.Duration
	clients     sync.Map // string -> *engine.Client
}

func newEngines(c *http.Client, idleTimeout time.Duration) *engines {
	return &engines{http: c, idleTimeout: idleTimeout}
}

func (e *engines) clientFor(address string) *engine.Client {
	if c, ok := e.clients.Load(address); ok {
		return c.(*engine.Client)
	}
	c, _ := e.clients.LoadOrStore(address, engine.New(address, e.http))
	return c.(*engine.Client)
}

// notStartedError marks an error after which the engine has certainly not
// started the attempt.
type notStartedError struct{ error }

// NotStarted reports that the engine did not start the attempt.
func (notStartedError) NotStarted() bool { return true }

// Unwrap returns the cause.
func (e notStartedError) Unwrap() error { return e.error }

// Generate implements models.Engines.
func (e *engines) Generate(ctx context.Context, address string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error {
	err := e.clientFor(address).Generate(ctx, r, e.idleTimeout, sink)
	if err != nil && !engine.MayHaveStarted(err) {
		return notStartedError{err}
	}
	return err
}

// Cancel implements models.Engines.
func (e *engines) Cancel(ctx context.Context, address string, r engineapi.CancelRequest) error {
	return e.clientFor(address).Cancel(ctx, r.AttemptID)
}

// Export implements models.Engines.
func (e *engines) Export(ctx context.Context, address string, r engineapi.ExportRequest) (engineapi.ExportResponse, error) {
	return e.clientFor(address).Export(ctx, r.AttemptID)
}

// Import implements models.Engines.
func (e *engines) Import(ctx context.Context, address string, r engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	return e.clientFor(address).Import(ctx, r)
}

// Load implements orders.Engines.
func (e *engines) Load(ctx context.Context, address string) (engineapi.Load, error) {
	return e.clientFor(address).Load(ctx)
}

// Order implements orders.Engines.
func (e *engines) Order(ctx context.Context, address string, o engineapi.Order) error {
	return e.clientFor(address).Order(ctx, o)
}

// CacheEvents reads changes of an engine's prefix cache, starting at a sequence
// number.
func (e *engines) CacheEvents(ctx context.Context, address string, from uint64, limit int) (engineapi.CacheEvents, error) {
	return e.clientFor(address).CacheEvents(ctx, from, limit)
}
