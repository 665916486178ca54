// Package call holds what callers ask for and get, free of HTTP, and the
// interfaces by which the callers' listener reaches the daemon's parts.
// Every error of these interfaces is a *refusal.Refusal or wraps one.
package call

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// ModelRequest asks a model for output.
type ModelRequest struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Class     string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Deadline is when the answer is of no more use; zero is never.
	Deadline time.Time
	// Async requests go on without a caller that reads.
	Async bool
}

// Event is one step of a request's output as the caller sees it: each offset
// once, in order.
type Event struct {
	Offset int
	Token  string
	// Heartbeat shows that the stream is alive; it carries no token.
	Heartbeat bool
	// Done ends the stream; Offset is then the number of tokens.
	Done         bool
	FinishReason string
}

// Models serves model requests.
type Models interface {
	// Submit accepts the request or refuses it. An accepted one is answered in
	// full or truthfully refused, also when its caller goes away and comes
	// back at another gateway.
	Submit(ctx context.Context, r ModelRequest) error
	// Read passes the output from offset on to sink until it is done, sink
	// fails or the request is refused. Any gateway can read any request.
	Read(ctx context.Context, ws ident.Workspace, id ident.RequestID, offset int, sink func(Event) error) error
	// Cancel ends a request that its caller no longer wants.
	Cancel(ctx context.Context, ws ident.Workspace, id ident.RequestID) error
}

// Header is one HTTP header field.
type Header struct{ Name, Value string }

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Workspace ident.Workspace
	Service   string
	// Key is the caller's idempotency key; empty if there is none.
	Key     string
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// Deadline is when the caller stops waiting; zero is never.
	Deadline time.Time
}

// Answer is a runner's answer to a service call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Actions serves calls that may not be repeated.
type Actions interface {
	// Execute runs the call at most once for its workspace and key.
	Execute(ctx context.Context, c ServiceCall) (Answer, error)
	// Outcome tells what is known of an earlier call without running it;
	// pending means that it is still in progress.
	Outcome(ctx context.Context, ws ident.Workspace, key string) (a Answer, pending bool, err error)
	// Token returns a key token of this daemon and how long it is good.
	Token() (token string, lifetime time.Duration)
}

// Services serves repeatable calls of plain services.
type Services interface {
	Call(ctx context.Context, c ServiceCall) (Answer, error)
}
