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

// AnswerDiverged is the reason for refusing a reader that received tokens from
// an earlier owner that differ from the tokens of the current owner.
const AnswerDiverged refusal.Reason = "answer_diverged"

// rpcHandler implements the RequestService that other daemons call.
type rpcHandler struct{ m *Models }

// Handler returns the path and the HTTP handler of the service for other
// daemons.
func (m *Models) Handler() (string, http.Handler) {
	path, h := requestv1connect.NewRequestServiceHandler(rpcHandler{m})
	return path, writeDeadlines(h, m.c.Limits.SilenceTimeout)
}

func (h rpcHandler) Put(_ context.Context, req *connect.Request[requestv1.PutRequest]) (*connect.Response[requestv1.PutResponse], error) {
	resp := &requestv1.PutResponse{}
	newOwners := map[*requestState]ident.Incarnation{}
	defer func() { h.m.yieldToOwners(newOwners) }()
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	for _, record := range req.Msg.Records {
		r := recordFromProto(record)
		outcome, claim := h.m.keeper.Put(time.Now(), r)
		switch outcome {
		case handoff.Stored:
			// The keeper knows the requests that this daemon owns. If it stores
			// the record of one of them nevertheless, the record has a higher
			// epoch and its owner takes precedence.
			if rs := h.m.requestState[r.ID]; rs != nil && rs.inProgress() {
				newOwners[rs] = r.Owner
			}
		case handoff.Superseded:
			resp.Superseded = append(resp.Superseded, &requestv1.Superseded{
				RequestId: record.RequestId,
				Epoch:     claim.Epoch,
				Owner:     string(claim.Owner),
			})
		case handoff.Incomplete:
			resp.IncompleteIds = append(resp.IncompleteIds, record.RequestId)
		case handoff.Full:
			return nil, connect.NewError(connect.CodeResourceExhausted, &RecordsFullError{Limit: recordLimit})
		}
	}
	return connect.NewResponse(resp), nil
}

func (h rpcHandler) Delete(_ context.Context, req *connect.Request[requestv1.DeleteRequest]) (*connect.Response[requestv1.DeleteResponse], error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	for _, id := range req.Msg.RequestIds {
		h.m.keeper.Delete(ident.Incarnation(req.Msg.Owner), ident.RequestID(id))
	}
	return connect.NewResponse(&requestv1.DeleteResponse{}), nil
}

func (h rpcHandler) Adopt(_ context.Context, req *connect.Request[requestv1.AdoptRequest]) (*connect.Response[requestv1.AdoptResponse], error) {
	resp := &requestv1.AdoptResponse{}
	if !h.m.accepting() {
		return connect.NewResponse(resp), nil
	}
	for _, record := range req.Msg.Records {
		if h.m.adopt(recordFromProto(record)) {
			resp.AcceptedIds = append(resp.AcceptedIds, record.RequestId)
		}
	}
	return connect.NewResponse(resp), nil
}

func (h rpcHandler) Cancel(_ context.Context, req *connect.Request[requestv1.CancelRequest]) (*connect.Response[requestv1.CancelResponse], error) {
	err := h.m.cancelLocal(ident.Workspace(req.Msg.Workspace), ident.RequestID(req.Msg.RequestId))
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&requestv1.CancelResponse{}), nil
}

// Read serves only requests that this daemon runs. It does not relay from other
// daemons, because relays could form a cycle.
func (h rpcHandler) Read(ctx context.Context, req *connect.Request[requestv1.ReadRequest], out *connect.ServerStream[requestv1.ReadResponse]) error {
	id := ident.RequestID(req.Msg.RequestId)
	rs := h.m.find(id)
	if rs == nil || string(rs.req.Workspace) != req.Msg.Workspace {
		return connect.NewError(connect.CodeNotFound, &RequestNotFoundError{ID: id})
	}
	if !rs.extendAnswer(int(req.Msg.KnownFrom), req.Msg.Known) {
		h.m.count("requests.refused." + string(AnswerDiverged))
		return out.Send(refusalResponse(refusal.New(AnswerDiverged, "the answer was begun by a gateway that is gone; ask anew").Unknown()))
	}
	r := &reader{m: h.m, id: id, offset: int(req.Msg.Offset), sink: func(e call.Event) error {
		return out.Send(&requestv1.ReadResponse{
			Offset:       int32(e.Offset),
			Token:        e.Token,
			Heartbeat:    e.Heartbeat,
			Done:         e.Done,
			FinishReason: e.FinishReason,
		})
	}}
	return h.sendOutcome(ctx, out, r.readLocal(ctx, rs))
}

func (h rpcHandler) sendOutcome(ctx context.Context, out *connect.ServerStream[requestv1.ReadResponse], err error) error {
	if err == nil || ctx.Err() != nil {
		return err
	}
	switch e := err.(type) {
	case *refusal.Refusal:
		return out.Send(refusalResponse(e))
	case *MovedError:
		return out.Send(&requestv1.ReadResponse{MovedTo: string(e.Owner)})
	}
	return err
}

// yieldToOwners ends the requests that this daemon runs but that, according to
// newer records, other daemons own.
func (m *Models) yieldToOwners(newOwners map[*requestState]ident.Incarnation) {
	for rs, owner := range newOwners {
		m.count("requests.superseded")
		rs.markMoved(owner)
	}
}

// extendAnswer takes the tokens that a caller has already received from an
// earlier owner, starting at offset from, and appends those that the answer
// lacks. It returns false if any of them differs from the answer's token at the
// same offset. It ignores the tokens and returns true if another daemon runs the
// request, or if from lies beyond the end of the answer.
func (rs *requestState) extendAnswer(from int, known []string) bool {
	if len(known) == 0 {
		return true
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	answer := rs.machine.Answer()
	if rs.movedTo != "" || from > answer.Offset() {
		return true
	}
	before := answer.Offset()
	if !answer.Extend(from, known) {
		return false
	}
	if answer.Offset() > before {
		rs.notifyReaders()
	}
	return true
}

// RecordsFullError is returned when a daemon already stores the maximum number
// of records of other daemons' requests.
type RecordsFullError struct{ Limit int }

func (e *RecordsFullError) Error() string { return "keeper of records is full" }

func refusalResponse(r *refusal.Refusal) *requestv1.ReadResponse {
	return &requestv1.ReadResponse{
		Refused:      string(r.Reason),
		Detail:       r.Detail,
		Executed:     string(r.Executed),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

func refusalFromResponse(m *requestv1.ReadResponse) *refusal.Refusal {
	return &refusal.Refusal{
		Reason:     refusal.Reason(m.Refused),
		Executed:   refusal.Executed(m.Executed),
		Detail:     m.Detail,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}
}

func recordFromProto(p *requestv1.Record) handoff.Record {
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
