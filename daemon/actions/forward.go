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

// maxUnanswered is the number of consecutive attempts without an answer after
// which forwarding gives up.
const maxUnanswered = 3

// forward sends a call to the daemon that runs its owner. A call without an
// answer is sent again, which is safe: the owner attaches the repeated call to
// the same execution.
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
			// Another incarnation answers at the owner's address, so the owner has
			// ended, even if the directory still lists it.
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
	return s.giveUpOnOwner(owner)
}

// giveUpOnOwner drops the fetched token if it names the unreachable owner. It
// returns a refusal that leaves open whether the call ran, even if this daemon sent
// nothing: a copy of the call may reach the owner through another gateway.
func (s *Service) giveUpOnOwner(owner ident.Incarnation) action.Result {
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

// prepareRetry pauses before a retry. It also closes idle connections: a network
// device that has dropped the state of one connection has often dropped that of
// others of the same age, while a new connection works.
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

// daemonOf returns the daemon that runs an owner, and false if the owner is known
// to have ended. During StartupGrace the directory may be incomplete, so that an
// owner that is not in it counts as running.
func (s *Service) daemonOf(owner ident.Incarnation) (view.Daemon, bool) {
	incarnation := daemonIncarnation(owner)
	daemonID, err := incarnation.Daemon()
	for _, d := range s.cfg.Directory.Daemons() {
		if d.Incarnation == incarnation {
			return d, d.State != view.Gone
		}
		if err == nil && d.ID == daemonID && d.State == view.Live && d.PeerAddress != "" {
			// The directory lists another incarnation of the same daemon. Its
			// answer decides whether the owner has ended, because the directory
			// may be out of date.
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
	return s.giveUpOnOwner(owner), false
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
