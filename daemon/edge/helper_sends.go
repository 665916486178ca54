package edge

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	delegationv1 "geraniumstack.org/geraniumstack/gen/geranium/delegation/v1"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// This file lets a daemon that has delegated a request know to how many runners its helper has sent it, also if the call
// breaks: the helper tells before each send, and asks before each but the first. Otherwise each further helper would try as
// many runners again as the route allows, and a helper behind a cut link would go on beside it.

// helperSends is what is known of a helper's sends of a request.
type helperSends struct {
	mu sync.Mutex
	// told is the number of runners to which the request has been sent by the helper's latest word, those before the
	// call included; zero if it has told nothing. It may be read while the answer is.
	told uint32
	// closed says that the helper's sends have been counted, so that no more are allowed.
	closed bool
	// call is the number of the call, before the number of runners before it, and counted that of the helper's that the
	// exchange counts.
	call    uint64
	before  uint32
	counted int
}

// tell records what the helper has told.
func (h *helperSends) tell(attempts uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = max(h.told, attempts)
}

// settle records the number of runners that the helper names at the end of the call: it may have been allowed a send that it
// didn't make.
func (h *helperSends) settle(attempts uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = attempts
}

// allow records a send that the helper asks for, and reports whether it may make it.
func (h *helperSends) allow(attempts uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.told = max(h.told, attempts)
	return true
}

// close ends the helper's right to send, and returns what it has told.
func (h *helperSends) close() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.told
}

// latest returns what the helper has told.
func (h *helperSends) latest() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.told
}

// countHelperSends counts the sends that the helper has told of as sends of the request, and allows it no more. It does
// nothing for an attempt at a runner.
func (a *attempt) countHelperSends() {
	if a.helper == "" {
		return
	}
	sends := &a.helperSends
	if a.counted && sends.counted == 0 {
		sends.counted = 1 // as the failure of the call
	}
	made := int(sends.close()) - int(sends.before)
	if made <= sends.counted {
		return
	}
	a.s.exchange.RecordSent(made - sends.counted)
	a.counted, sends.counted = true, made
}

// AllowSend implements delegationv1connect.DelegationServiceHandler.
func (d *delegationService) AllowSend(_ context.Context, r *connect.Request[delegationv1.AllowSendRequest]) (*connect.Response[delegationv1.AllowSendResponse], error) {
	sends := d.edge.helperCalls.sendsOf(r.Msg.Call)
	allowed := sends != nil && sends.allow(r.Msg.Attempts)
	return connect.NewResponse(&delegationv1.AllowSendResponse{Allowed: allowed}), nil
}

// delegator is the daemon that has delegated a request to this one.
type delegator struct {
	// call is its number of the call, and address where it is asked; empty if it can't be.
	call    uint64
	address string
	// allowed is the number of runners to which the request may be sent by its word, those before the call included.
	allowed int
}

// tellAttempt tells the daemon that has delegated the request, if one has, that it is about to be sent to a runner.
func (s *requestHandler) tellAttempt() {
	if r, ok := s.reply.(*delegatedReply); ok && r.tellsAttempts {
		r.send(&delegationv1.ServeResponse{Attempts: uint32(s.exchange.Sent() + 1)})
	}
}

// askToSend asks the daemon that has delegated the request, if one has, whether it may be sent to one more runner. It returns
// nil if so.
func (s *requestHandler) askToSend(ctx context.Context) *refusal.Refusal {
	d := &s.delegator
	if d.address == "" || s.exchange.Sent() < d.allowed {
		return nil
	}
	attempts := s.exchange.Sent() + 1
	answer, err := s.edge.delegationClient(d.address).AllowSend(ctx, connect.NewRequest(&delegationv1.AllowSendRequest{Call: d.call, Attempts: uint32(attempts)}))
	if err == nil && answer.Msg.Allowed {
		d.allowed = attempts
		return nil
	}
	s.note("send_not_allowed", decisions.F("daemon", d.address), decisions.F("attempts", attempts), decisions.F("error", textOf(err)))
	s.edge.log.Count("send_not_allowed")
	return refusal.New(refusal.Cancelled, "attempt %d was not allowed by the daemon that has delegated the request", attempts)
}
