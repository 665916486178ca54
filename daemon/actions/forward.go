package actions

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/view"
	actionv1 "geraniumstack.org/geraniumstack/gen/geranium/action/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/action/v1/actionv1connect"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// maxUnanswered is how many attempts in a row may end without an answer.
const maxUnanswered = 3

// forward passes a call on to the daemon that runs its owner. A call that got
// no answer is sent again: the owner joins it to the one execution.
func (s *Service) forward(ctx context.Context, owner ident.Incarnation, id actionkey.ID,
	c call.ServiceCall) action.Result {
	hash := bodyHash(c)
	s.counters.inc(forwarded)
	unanswered := 0
	for ctx.Err() == nil && unanswered < maxUnanswered {
		d, found := s.daemonOf(owner)
		if !found {
			return s.resolveEndedOwner(ctx, owner, id, hash)
		}
		resp, err := s.forwardOnce(ctx, d, owner, id, c)
		switch {
		case err != nil:
			unanswered++
			s.prepareRetry(ctx)
		case resp.GetNotOwner():
			// Another incarnation answers at the owner's address, so the owner
			// has ended, whatever the directory still says.
			s.counters.inc(forwardNotOwner)
			s.tokens.drop(owner)
			return s.resolveEndedOwner(ctx, owner, id, hash)
		case resp.GetInProgress():
			unanswered = 0
		default:
			result := decodeResult(resp)
			s.refreshAfterRefusal(owner, result)
			return result
		}
	}
	return s.ownerUnreachable(owner)
}

// ownerUnreachable doesn't say "no", even if no byte left this daemon: a copy of
// the call may be on its way to the owner through another gateway.
func (s *Service) ownerUnreachable(owner ident.Incarnation) action.Result {
	s.tokens.drop(owner)
	return refused(refusal.New(refusal.OwnerUnreachable, "no answer from %s; ask for the outcome", owner).
		Unknown().After(time.Second))
}

func (s *Service) forwardOnce(ctx context.Context, d view.Daemon, owner ident.Incarnation, id actionkey.ID,
	c call.ServiceCall) (*actionv1.ExecuteResponse, error) {
	req := &actionv1.ExecuteRequest{
		Owner:     string(owner),
		Workspace: string(id.Workspace),
		Key:       id.Key,
		Service:   c.Service,
		Method:    c.Method,
		Path:      c.Path,
		Headers:   encodeHeaders(c.Headers),
		Body:      c.Body,
		WaitMs:    s.cfg.Times.Poll.Milliseconds(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMs = time.Until(deadline).Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Poll+s.cfg.Times.PollGrace)
	defer cancel()
	resp, err := s.peer(d).Execute(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// prepareRetry gives up the idle connections, too: what lost track of one has
// often lost all that are as old, and a new one works.
func (s *Service) prepareRetry(ctx context.Context) {
	s.counters.inc(forwardRetried)
	s.cfg.Peers.CloseIdleConnections()
	s.pause(ctx, s.cfg.Times.RetryPause)
}

func (s *Service) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Service) peer(d view.Daemon) actionv1connect.ActionServiceClient {
	return actionv1connect.NewActionServiceClient(s.cfg.Peers, "http://"+d.PeerAddress)
}

// daemonOf finds the daemon that runs an owner, unless it is known to have
// ended. Shortly after the start the directory may not know everyone.
func (s *Service) daemonOf(owner ident.Incarnation) (view.Daemon, bool) {
	incarnation := daemonIncarnation(owner)
	daemonID, err := incarnation.Daemon()
	for _, d := range s.cfg.Directory.Daemons() {
		if d.Incarnation == incarnation {
			return d, d.State != view.Gone
		}
		if err == nil && d.ID == daemonID && d.State == view.Live && d.PeerAddress != "" {
			// The place has a new incarnation: let it say so itself, since the
			// directory may lag behind.
			return d, true
		}
	}
	return view.Daemon{}, time.Since(s.start) < s.cfg.Times.StartupGrace
}

func (s *Service) forwardOutcome(ctx context.Context, owner ident.Incarnation, id actionkey.ID) (
	action.Result, bool) {
	for range maxUnanswered {
		d, found := s.daemonOf(owner)
		if !found {
			return s.resolveEndedOwner(ctx, owner, id, ""), false
		}
		resp, err := s.queryPeer(ctx, d, owner, id, "")
		if err != nil {
			s.prepareRetry(ctx)
			continue
		}
		if resp.GetOutcome().GetNotOwner() {
			return s.resolveEndedOwner(ctx, owner, id, ""), false
		}
		return decodeResult(resp.GetOutcome()), resp.GetInProgress()
	}
	return s.ownerUnreachable(owner), false
}

func (s *Service) queryPeer(ctx context.Context, d view.Daemon, owner ident.Incarnation, id actionkey.ID,
	hash string) (*actionv1.OutcomeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Poll)
	defer cancel()
	resp, err := s.peer(d).Outcome(ctx, connect.NewRequest(&actionv1.OutcomeRequest{
		Owner:     string(owner),
		Workspace: string(id.Workspace),
		Key:       id.Key,
		BodyHash:  hash,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
