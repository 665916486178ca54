package daemon

import (
	"context"
	"fmt"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/transport/dispatch"
)

// serviceSender sends repeatable service calls through the sender used for
// actions. That sender opens a new connection for each call, so only the retry
// policy repeats a call, and no call is sent on an idle connection that has
// stalled.
type serviceSender struct{ sender *dispatch.Sender }

// Send implements services.Sender.
func (s serviceSender) Send(ctx context.Context, address string, c call.ServiceCall) (call.Answer, error) {
	result := s.sender.Send(ctx, address, actionkey.ID{Workspace: c.Workspace, Key: c.Key}, c)
	if result.Refusal != nil {
		return call.Answer{}, result.Refusal
	}
	return result.Answer, nil
}

// newDialProbe returns a function that checks whether a runner accepts a new
// connection.
func newDialProbe(n Network) func(context.Context, string) error {
	return func(ctx context.Context, address string) error {
		conn, err := n.Dial(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("connect: %w", err)
		}
		if err := conn.Close(); err != nil {
			return fmt.Errorf("close: %w", err)
		}
		return nil
	}
}
