package edge

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	delegationv1 "geraniumstack.org/geraniumstack/gen/geranium/delegation/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/delegation/v1/delegationv1connect"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/segment"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

// delegationService serves the requests that other daemons delegate to this one. It gives its
// callers no more than callers have who send their requests to this daemon themselves: key,
// quota and route are checked alike.
type delegationService struct{ edge *Edge }

var _ delegationv1connect.DelegationServiceHandler = (*delegationService)(nil)

// maxDelegatedBytes bounds a delegated request. The daemon that delegates it has already kept to the
// operator's limits.
const maxDelegatedBytes = 16 << 20

// DelegationHandler returns the HTTP handler for the calls of other daemons and its path.
func (e *Edge) DelegationHandler() (path string, h http.Handler) {
	path, h = delegationv1connect.NewDelegationServiceHandler(&delegationService{e}, connect.WithReadMaxBytes(maxDelegatedBytes))
	return path, e.limitCalls(h)
}

// Serve serves a request on behalf of another daemon.
func (d *delegationService) Serve(ctx context.Context, r *connect.Request[delegationv1.ServeRequest], stream *connect.ServerStream[delegationv1.ServeResponse]) error {
	rep := &delegatedReply{stream: stream, tellsAttempts: r.Msg.WantsAttempts}
	s := &requestHandler{edge: d.edge, req: decodeDelegated(r.Msg), reply: rep, delegated: true}
	rep.handler = s
	if ctx.Value(callUnreadKey{}) != nil {
		rep.Refuse(callerlimit.NoRoom(), false)
		return nil
	}
	if v := r.Msg.StreamVersion; v != nil {
		s.bound = boundVersion{canary.Version(*v), true}
	}
	s.exchange.Continue(int(r.Msg.Attempts), r.Msg.MayHaveRun)
	s.delegator = delegator{call: r.Msg.Call, address: r.Msg.AllowsAt, allowed: int(r.Msg.Attempts) + 1}
	s.counts = requestCounts{offered: r.Msg.Offered, dispatched: r.Msg.Dispatched || r.Msg.Attempts > 0}
	s.note("accepted_for", decisions.F("daemon", r.Peer().Addr), decisions.F("attempts", r.Msg.Attempts), decisions.F("may_have_run", r.Msg.MayHaveRun))
	s.serve(ctx)
	if rep.aborted {
		return connect.NewError(connect.CodeAborted, &answerAbortedError{})
	}
	return nil
}

// answerAbortedError says that an answer ends before it is complete.
type answerAbortedError struct{}

func (*answerAbortedError) Error() string { return "answer broke off" }

func decodeDelegated(m *delegationv1.ServeRequest) *Request {
	return &Request{
		ID: m.RequestId, Host: m.Host, Path: m.Path, Method: m.Method, Target: m.Target, Header: decodeHeaders(m.Headers), Body: segment.Of(m.Body), Key: m.Key,
		Received: time.Now().Add(-time.Duration(m.AgeNs)), CallerTimeout: time.Duration(m.CallerTimeoutNs), LastEventID: m.LastEventId, Resumes: m.Resumes,
		Prompt: decodePrompt(m.Prompt),
	}
}

func decodePrompt(m *delegationv1.Prompt) Prompt {
	p := Prompt{
		Model: m.GetModel(), PromptTokens: int(m.GetPromptTokens()), OutputTokens: int(m.GetOutputTokens()), ExpectedOutput: int(m.GetExpectedOutput()),
		Parts: m.GetParts(),
	}
	// Without the number of tokens up to the end of each part, the parts mean nothing.
	if prefix, tokens := m.GetPrefix(), m.GetPrefixTokens(); len(prefix) == len(tokens) {
		p.Prefix = prefix
		for _, n := range tokens {
			p.PrefixTokens = append(p.PrefixTokens, int(n))
		}
	}
	return p
}

// delegatedReply sends the answer to the daemon that delegated the request.
type delegatedReply struct {
	handler *requestHandler
	stream  *connect.ServerStream[delegationv1.ServeResponse]
	aborted bool
	// tellsAttempts says that the other daemon wants to be told of each send.
	tellsAttempts bool
	// versionSent says that the version of the stream's runner has been sent.
	versionSent bool
}

var _ Reply = (*delegatedReply)(nil)

// send sends a part of the answer. If it fails, the other daemon has ended the call, which also
// ends the request's context.
func (r *delegatedReply) send(part *delegationv1.ServeResponse) { _ = r.stream.Send(part) }

// Refuse implements Reply.
func (r *delegatedReply) Refuse(f *refusal.Refusal, _ bool) {
	r.send(&delegationv1.ServeResponse{Part: &delegationv1.ServeResponse_Refusal{Refusal: &delegationv1.Refusal{
		Reason: string(f.Reason), Executed: string(f.Executed), Detail: f.Detail, RetryAfterNs: int64(f.RetryAfter),
		Attempts: uint32(r.handler.exchange.Sent()), Offered: r.handler.counts.offered, Dispatched: r.handler.counts.dispatched,
	}}})
}

// Start implements Reply.
func (r *delegatedReply) Start(status int, header http.Header, length int64, _ bool) {
	r.send(&delegationv1.ServeResponse{Part: &delegationv1.ServeResponse_Start{Start: &delegationv1.Start{
		Status: uint32(status), Headers: encodeHeaders(header), Length: length, Events: r.handler.events != nil,
		LeavingRunner: r.handler.leavingRunner,
	}}})
}

// Write implements Reply.
func (r *delegatedReply) Write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	m := &delegationv1.ServeResponse{Part: &delegationv1.ServeResponse_Data{Data: p}}
	if bound := &r.handler.bound; bound.known && !r.versionSent {
		r.versionSent = true
		m.StreamVersion = (*string)(&bound.version)
	}
	return r.stream.Send(m)
}

// Finish implements Reply.
func (r *delegatedReply) Finish() {
	r.send(&delegationv1.ServeResponse{Part: &delegationv1.ServeResponse_Finished{Finished: true}})
}

// Abort implements Reply.
func (r *delegatedReply) Abort() {
	r.aborted = true
	if r.handler.sawFailure || len(r.handler.blockingCauses()) > 0 {
		r.send(&delegationv1.ServeResponse{RunnerFailed: true})
	}
}
