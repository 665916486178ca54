package daemon

import (
	"context"
	"math/rand/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/dispatch"
)

// services sends repeatable calls to a live runner, once.
type services struct {
	directory view.Directory
	sender    *dispatch.Sender
}

// Call implements call.Services.
func (s *services) Call(ctx context.Context, c call.ServiceCall) (call.Answer, error) {
	var live []view.Runner
	for _, r := range s.directory.Runners(c.Service) {
		if r.State == view.Live {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return call.Answer{}, refusal.New(refusal.NoRunner, "service %q has no live runner", c.Service)
	}
	result := s.sender.Send(ctx, live[rand.IntN(len(live))].Address, actionkey.ID{Workspace: c.Workspace, Key: c.Key}, c)
	if result.Refusal != nil {
		return call.Answer{}, result.Refusal
	}
	return result.Answer, nil
}
