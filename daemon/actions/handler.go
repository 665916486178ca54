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

// handler serves the RPCs that other daemons call.
type handler struct{ s *Service }

// Handler returns the path and the HTTP handler for calls from other daemons.
func (s *Service) Handler() (string, http.Handler) {
	return actionv1connect.NewActionServiceHandler(&handler{s: s})
}

// Execute runs a forwarded call if this daemon runs the owner that the request
// names.
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

// runForwarded ignores the cancellation of ctx: when the connection breaks, the
// gateway repeats the call on another connection.
func (s *Service) runForwarded(ctx context.Context, owner ident.Incarnation, id actionkey.ID, c call.ServiceCall,
	poll time.Duration) (action.Result, bool) {
	return s.submitAndWait(context.WithoutCancel(ctx), owner, id, c, poll)
}

// Outcome looks up a key in the tables of this daemon.
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

// Token issues a token of this daemon's current owner, never a fetched one. It
// also does so while this daemon isn't among the daemons selected to issue
// tokens: the directories of daemons differ for a while after a change, and any
// daemon can be an owner.
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

// HandOff stores a part of the table of an owner that is being drained.
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
