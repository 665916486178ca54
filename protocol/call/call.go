// Package call defines the requests and answers of callers, independent of
// HTTP, and the interfaces through which the callers' listener uses the
// daemon. Every error that these interfaces return is a *refusal.Refusal or
// wraps one.
package call

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// ModelRequest asks a model to generate output for a prompt.
type ModelRequest struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Class     string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Deadline is the time after which the answer is useless to the caller. The
	// zero time means that there is none.
	Deadline time.Time
	// Async requests continue even if no caller reads the output.
	Async bool
}

// Event is one event of a request's output as the caller sees it. Each token
// offset appears once, in order.
type Event struct {
	Offset int
	Token  string
	// Heartbeat shows that the stream is alive. Such an event carries no token.
	Heartbeat bool
	// Done marks the end of the stream. Offset is then the total number of
	// tokens.
	Done         bool
	FinishReason string
}

// Models serves model requests.
type Models interface {
	// Submit accepts or refuses the request. An accepted request is answered in
	// full, or refused with a statement whether it was executed, even if its
	// caller disconnects and reads the output at another gateway.
	Submit(ctx context.Context, r ModelRequest) error
	// Read passes the output from an offset on to sink until the output is
	// complete, sink returns an error, or the request is refused. Any gateway
	// can read any request.
	Read(ctx context.Context, ws ident.Workspace, id ident.RequestID, offset int, sink func(Event) error) error
	// Cancel ends a request that its caller no longer wants.
	Cancel(ctx context.Context, ws ident.Workspace, id ident.RequestID) error
}

// Header is one HTTP header field.
type Header struct{ Name, Value string }

// ServiceCall is one call of a service other than a model.
type ServiceCall struct {
	Workspace ident.Workspace
	Service   string
	// Key is the caller's idempotency key, or empty.
	Key     string
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// Deadline is when the caller stops waiting. The zero time means never.
	Deadline time.Time
}

// Answer is a runner's answer to a service call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Actions serves calls that must run at most once.
type Actions interface {
	// Execute runs the call at most once for its workspace and key.
	Execute(ctx context.Context, c ServiceCall) (Answer, error)
	// Outcome returns what is known about an earlier call without running it.
	// If pending is true, the call is still in progress.
	Outcome(ctx context.Context, ws ident.Workspace, key string) (a Answer, pending bool, err error)
	// Token returns a token from which callers make idempotency keys for this
	// daemon, and the time for which the token is valid.
	Token() (token string, lifetime time.Duration)
}

// Services serves repeatable calls of services other than models.
type Services interface {
	Call(ctx context.Context, c ServiceCall) (Answer, error)
}
