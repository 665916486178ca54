package actions

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	actionv1 "geraniumstack.org/geraniumstack/gen/geranium/action/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/action/v1/actionv1connect"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// handler is the side of the service that other daemons call.
type handler struct{ s *Service }

// Handler returns the path and the handler for the daemons' listener.
func (s *Service) Handler() (string, http.Handler) {
	return actionv1connect.NewActionServiceHandler(&handler{s: s})
}

// Execute runs a forwarded call if this daemon is its key's owner.
func (h *handler) Execute(ctx context.Context, req *connect.Request[actionv1.ExecuteRequest]) (
	*connect.Response[actionv1.ExecuteResponse], error) {
	m := req.Msg
	owner := ident.Incarnation(m.GetOwner())
	if !h.s.owns(owner) {
		return connect.NewResponse(notOwner()), nil
	}
	c := call.ServiceCall{
		Workspace: ident.Workspace(m.GetWorkspace()),
		Service:   m.GetService(),
		Key:       m.GetKey(),
		Method:    m.GetMethod(),
		Path:      m.GetPath(),
		Headers:   decodeHeaders(m.GetHeaders()),
		Body:      m.GetBody(),
	}
	poll := max(time.Millisecond, time.Duration(m.GetWaitMs())*time.Millisecond)
	id := actionkey.ID{Workspace: c.Workspace, Key: c.Key}
	result, pending := h.s.runForwarded(ctx, owner, id, c, poll)
	if pending {
		return connect.NewResponse(&actionv1.ExecuteResponse{InProgress: true}), nil
	}
	return connect.NewResponse(encodeResult(result)), nil
}

// runForwarded never abandons the action when the connection breaks: its
// gateway comes back on another.
func (s *Service) runForwarded(ctx context.Context, owner ident.Incarnation, id actionkey.ID, c call.ServiceCall,
	poll time.Duration) (action.Result, bool) {
	return s.submitAndWait(context.WithoutCancel(ctx), owner, id, c, poll)
}

// Outcome tells what this daemon's tables hold of a key.
func (h *handler) Outcome(_ context.Context, req *connect.Request[actionv1.OutcomeRequest]) (
	*connect.Response[actionv1.OutcomeResponse], error) {
	m := req.Msg
	id := actionkey.ID{Workspace: ident.Workspace(m.GetWorkspace()), Key: m.GetKey()}
	result, pending, ok := h.s.lookUpLocal(ident.Incarnation(m.GetOwner()), id, m.GetBodyHash())
	if !ok {
		return connect.NewResponse(&actionv1.OutcomeResponse{Outcome: notOwner()}), nil
	}
	return connect.NewResponse(&actionv1.OutcomeResponse{Outcome: encodeResult(result), InProgress: pending}), nil
}

// Token issues a token of this daemon's own owner, never a fetched one. It
// does so also while this daemon doesn't count itself among those that issue:
// directories differ for a while, and any daemon can be an owner.
func (h *handler) Token(context.Context, *connect.Request[actionv1.TokenRequest]) (
	*connect.Response[actionv1.TokenResponse], error) {
	if h.s.draining.started() {
		return connect.NewResponse(&actionv1.TokenResponse{Leaving: true}), nil
	}
	h.s.counters.inc(tokensServed)
	t := h.s.ownToken()
	return connect.NewResponse(&actionv1.TokenResponse{
		Token:      t.String(),
		LifetimeMs: t.Lifetime.Milliseconds(),
	}), nil
}

// HandOff takes a part of an ended owner's table in.
func (h *handler) HandOff(_ context.Context, req *connect.Request[actionv1.HandOffRequest]) (
	*connect.Response[actionv1.HandOffResponse], error) {
	return connect.NewResponse(&actionv1.HandOffResponse{Accepted: h.s.adoptPart(req.Msg)}), nil
}

func notOwner() *actionv1.ExecuteResponse {
	resp := encodeResult(refused(refusal.New(refusal.OwnerGone, "not the owner").Unknown()))
	resp.NotOwner = true
	return resp
}

func encodeResult(r action.Result) *actionv1.ExecuteResponse {
	if refused := r.Refusal; refused != nil {
		return &actionv1.ExecuteResponse{
			Executed:     string(refused.Executed),
			Reason:       string(refused.Reason),
			Detail:       refused.Detail,
			RetryAfterMs: refused.RetryAfter.Milliseconds(),
		}
	}
	return &actionv1.ExecuteResponse{
		Executed: string(refusal.ExecutedYes),
		Status:   int32(r.Answer.Status),
		Headers:  encodeHeaders(r.Answer.Headers),
		Body:     r.Answer.Body,
	}
}

func decodeResult(m *actionv1.ExecuteResponse) action.Result {
	if m.GetReason() != "" {
		return refused(&refusal.Refusal{
			Reason:     refusal.Reason(m.GetReason()),
			Executed:   refusal.Executed(m.GetExecuted()),
			Detail:     m.GetDetail(),
			RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		})
	}
	return action.Result{Answer: call.Answer{
		Status:  int(m.GetStatus()),
		Headers: decodeHeaders(m.GetHeaders()),
		Body:    m.GetBody(),
	}}
}

func encodeHeaders(headers []call.Header) []*actionv1.Header {
	out := make([]*actionv1.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, &actionv1.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

func decodeHeaders(headers []*actionv1.Header) []call.Header {
	out := make([]call.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, call.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}
