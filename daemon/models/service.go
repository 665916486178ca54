package models

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	requestv1 "geraniumstack.org/geraniumstack/gen/geranium/request/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/request/v1/requestv1connect"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/handoff"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// AnswerDiverged refuses a reader whose tokens, got from an earlier owner, are
// not those of the owner that answers now.
const AnswerDiverged refusal.Reason = "answer_diverged"

// service is the connect side of Models.
type service struct{ m *Models }

// Handler returns the path and the handler of the peers' service.
func (m *Models) Handler() (string, http.Handler) {
	path, h := requestv1connect.NewRequestServiceHandler(service{m})
	return path, writeDeadlines(h, m.c.Limits.Silence)
}

func (s service) Put(_ context.Context, req *connect.Request[requestv1.PutRequest]) (*connect.Response[requestv1.PutResponse], error) {
	resp := &requestv1.PutResponse{}
	lost := map[*live]ident.Incarnation{}
	defer func() { s.m.yield(lost) }()
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	for _, p := range req.Msg.Records {
		r := recordFrom(p)
		outcome, claim := s.m.keeper.Put(time.Now(), r)
		switch outcome {
		case handoff.Stored:
			// The keeper knows this daemon's own claims: one that it stores
			// all the same beats them.
			if l := s.m.live[r.ID]; l != nil && l.inProgress() {
				lost[l] = r.Owner
			}
		case handoff.Superseded:
			resp.Superseded = append(resp.Superseded, &requestv1.Superseded{
				RequestId: p.RequestId,
				Epoch:     claim.Epoch,
				Owner:     string(claim.Owner),
			})
		case handoff.Incomplete:
			resp.IncompleteIds = append(resp.IncompleteIds, p.RequestId)
		case handoff.Full:
			return nil, connect.NewError(connect.CodeResourceExhausted, &RecordsFullError{Limit: recordLimit})
		}
	}
	return connect.NewResponse(resp), nil
}

func (s service) Delete(_ context.Context, req *connect.Request[requestv1.DeleteRequest]) (*connect.Response[requestv1.DeleteResponse], error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	for _, id := range req.Msg.RequestIds {
		s.m.keeper.Delete(ident.Incarnation(req.Msg.Owner), ident.RequestID(id))
	}
	return connect.NewResponse(&requestv1.DeleteResponse{}), nil
}

func (s service) Adopt(_ context.Context, req *connect.Request[requestv1.AdoptRequest]) (*connect.Response[requestv1.AdoptResponse], error) {
	resp := &requestv1.AdoptResponse{}
	if !s.m.accepting() {
		return connect.NewResponse(resp), nil
	}
	for _, p := range req.Msg.Records {
		if s.m.adopt(recordFrom(p)) {
			resp.AcceptedIds = append(resp.AcceptedIds, p.RequestId)
		}
	}
	return connect.NewResponse(resp), nil
}

func (s service) Cancel(_ context.Context, req *connect.Request[requestv1.CancelRequest]) (*connect.Response[requestv1.CancelResponse], error) {
	err := s.m.cancelLocal(ident.Workspace(req.Msg.Workspace), ident.RequestID(req.Msg.RequestId))
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&requestv1.CancelResponse{}), nil
}

// Read serves only requests of this daemon; a relay of a relay could circle.
func (s service) Read(ctx context.Context, req *connect.Request[requestv1.ReadRequest], out *connect.ServerStream[requestv1.ReadResponse]) error {
	id := ident.RequestID(req.Msg.RequestId)
	l := s.m.find(id)
	if l == nil || string(l.req.Workspace) != req.Msg.Workspace {
		return connect.NewError(connect.CodeNotFound, &NotHereError{ID: id})
	}
	if !l.extend(int(req.Msg.KnownFrom), req.Msg.Known) {
		s.m.count("requests.refused." + string(AnswerDiverged))
		return out.Send(responseOf(refusal.New(AnswerDiverged, "the answer was begun by a gateway that is gone; ask anew").Unknown()))
	}
	r := &reading{m: s.m, id: id, offset: int(req.Msg.Offset), sink: func(e call.Event) error {
		return out.Send(&requestv1.ReadResponse{
			Offset:       int32(e.Offset),
			Token:        e.Token,
			Heartbeat:    e.Heartbeat,
			Done:         e.Done,
			FinishReason: e.FinishReason,
		})
	}}
	return s.finish(ctx, out, r.local(ctx, l))
}

func (s service) finish(ctx context.Context, out *connect.ServerStream[requestv1.ReadResponse], err error) error {
	if err == nil || ctx.Err() != nil {
		return err
	}
	switch e := err.(type) {
	case *refusal.Refusal:
		return out.Send(responseOf(e))
	case *MovedError:
		return out.Send(&requestv1.ReadResponse{MovedTo: string(e.Owner)})
	}
	return err
}

// yield ends requests here that another daemon turned out to own.
func (m *Models) yield(lost map[*live]ident.Incarnation) {
	for l, owner := range lost {
		m.count("requests.superseded")
		l.moveTo(owner)
	}
}

// extend takes what a reader has over, unless another daemon runs the request.
func (l *live) extend(from int, known []string) bool {
	if len(known) == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.machine.Answer()
	if l.movedTo != "" || from > answer.Offset() {
		return true
	}
	before := answer.Offset()
	if !answer.Extend(from, known) {
		return false
	}
	if answer.Offset() > before {
		l.wakeReaders()
	}
	return true
}

// RecordsFullError says that a keeper takes no further record.
type RecordsFullError struct{ Limit int }

func (e *RecordsFullError) Error() string { return "keeper of records is full" }

func responseOf(r *refusal.Refusal) *requestv1.ReadResponse {
	return &requestv1.ReadResponse{
		Refused:      string(r.Reason),
		Detail:       r.Detail,
		Executed:     string(r.Executed),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

func refusalOf(m *requestv1.ReadResponse) *refusal.Refusal {
	return &refusal.Refusal{
		Reason:     refusal.Reason(m.Refused),
		Executed:   refusal.Executed(m.Executed),
		Detail:     m.Detail,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}
}

func recordFrom(p *requestv1.Record) handoff.Record {
	r := handoff.Record{
		ID:           ident.RequestID(p.RequestId),
		Workspace:    ident.Workspace(p.Workspace),
		Class:        p.Class,
		Model:        p.Model,
		Adapter:      p.Adapter,
		Prompt:       p.Prompt,
		MaxTokens:    int(p.MaxTokens),
		Async:        p.Async,
		Owner:        ident.Incarnation(p.Owner),
		Epoch:        p.Epoch,
		EmittedFrom:  int(p.EmittedFrom),
		Emitted:      p.Emitted,
		Runner:       ident.RunnerID(p.Runner),
		MayHaveRun:   p.MayHaveRun,
		Done:         p.Done,
		FinishReason: p.FinishReason,
	}
	if p.DeadlineLeftMs > 0 {
		r.Deadline = time.Now().Add(time.Duration(p.DeadlineLeftMs) * time.Millisecond)
	}
	return r
}
