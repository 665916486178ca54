package models

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	requestv1 "geraniumstack.org/geraniumstack/gen/geranium/request/v1"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	// lookupInterval is the pause between two searches for the owner of a
	// request.
	lookupInterval = 250 * time.Millisecond
	// maxReopens is how many times in a row the stream from a peer is reopened
	// without receiving a token, before other peers are asked.
	maxReopens = 2
)

// MovedError is returned when another daemon runs the request.
type MovedError struct{ Owner ident.Incarnation }

func (e *MovedError) Error() string { return "request moved to " + string(e.Owner) }

// RequestNotFoundError is returned when a daemon does not know the request.
type RequestNotFoundError struct{ ID ident.RequestID }

func (e *RequestNotFoundError) Error() string {
	return "request is not here: " + string(e.ID)
}

// StreamBrokenError is returned when the stream from a peer ended before the
// answer was complete.
type StreamBrokenError struct{ Cause string }

func (e *StreamBrokenError) Error() string {
	return "peer's stream broke: " + e.Cause
}

// SinkError wraps an error that the reader's sink returned.
type SinkError struct{ Err error }

func (e *SinkError) Error() string { return "reader: " + e.Err.Error() }

// Unwrap returns the error of the sink.
func (e *SinkError) Unwrap() error { return e.Err }

// reader serves one read, of a local caller or of a peer: it delivers the answer
// of one request to one sink. A read of a local caller follows the request when
// the request moves to another daemon; a read of a peer does not.
type reader struct {
	m         *Models
	workspace ident.Workspace
	id        ident.RequestID
	offset    int
	sink      func(call.Event) error
	// startOffset is the offset at which the reader began, and received holds
	// the tokens that it has delivered since. They are sent to a new owner: if
	// the new owner lacks these tokens, it appends them to its answer; if it has
	// different tokens at the same offsets, it refuses the read. Without this
	// check the answer could be a mix of two different answers.
	startOffset int
	received    []string
	// ownerHint is the most recent owner that a daemon reported.
	ownerHint    ident.Incarnation
	lastProgress time.Time
}

// Read implements call.Models.
func (m *Models) Read(ctx context.Context, workspace ident.Workspace, id ident.RequestID, offset int, sink func(call.Event) error) error {
	if offset < 0 {
		return refusal.New(refusal.BadRequest, "negative offset")
	}
	r := &reader{m: m, workspace: workspace, id: id, offset: offset, startOffset: offset, sink: sink, lastProgress: time.Now()}
	err := r.run(ctx)
	var s *SinkError
	if errors.As(err, &s) {
		return s.Err
	}
	return err
}

func (r *reader) run(ctx context.Context) error {
	for {
		err := r.readOnce(ctx)
		if isFinal(err) {
			return err
		}
		if ctx.Err() != nil {
			return refusal.New(refusal.Cancelled, "reader went away").Unknown()
		}
		if err := r.waitBeforeRetry(ctx, err); err != nil {
			return err
		}
	}
}

// isFinal reports whether err ends the read. After any other error the reader
// searches for the owner again.
func isFinal(err error) bool {
	var s *SinkError
	var ref *refusal.Refusal
	return err == nil || errors.As(err, &s) || errors.As(err, &ref)
}

// waitBeforeRetry prepares the next search for the owner after a failed one. It
// returns at once if another daemon was named as the owner; otherwise it sends
// a heartbeat to the sink and waits. It returns an error if the read ends
// because the request does not exist or its owner cannot be reached.
func (r *reader) waitBeforeRetry(ctx context.Context, err error) error {
	var moved *MovedError
	if errors.As(err, &moved) && r.ownerHint != moved.Owner {
		r.ownerHint = moved.Owner
		return nil
	}
	var notFound *RequestNotFoundError
	if errors.As(err, &notFound) && r.ownerListed() {
		return refusal.New(refusal.UnknownRequest, "no such request").Unknown()
	}
	if time.Since(r.lastProgress) > r.m.c.Limits.LookupTimeout {
		return refusal.New(refusal.OwnerUnreachable, "the request's gateway cannot be reached").
			Unknown().After(r.m.c.Limits.Request.RetryAfter)
	}
	if err := r.send(call.Event{Offset: r.offset, Heartbeat: true}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(lookupInterval):
	}
	return nil
}

// ownerListed reports whether the daemon that accepted the request is still in
// the directory. If it is, its answer that it does not know the request is
// final.
func (r *reader) ownerListed() bool {
	owner, err := r.id.Owner()
	if err != nil || owner == r.m.c.Self {
		return true
	}
	_, ok := r.m.findDaemon(owner)
	return ok
}

func (r *reader) readOnce(ctx context.Context) error {
	rs := r.m.find(r.id)
	if rs != nil {
		if rs.req.Workspace != r.workspace {
			return refusal.New(refusal.UnknownRequest, "no such request").Unknown()
		}
		err := r.readLocal(ctx, rs)
		var moved *MovedError
		if !errors.As(err, &moved) {
			return err
		}
		r.ownerHint = moved.Owner
	}
	return r.readRemote(ctx)
}

// readRemote asks the daemons that may run the request, one after the other.
func (r *reader) readRemote(ctx context.Context) error {
	var last error = &RequestNotFoundError{ID: r.id}
	for _, d := range r.m.lookupCandidates(r.id, r.ownerHint) {
		err := r.relayWithReopen(ctx, d.PeerAddress)
		var notFound *RequestNotFoundError
		if errors.As(err, &notFound) {
			continue
		}
		var broken *StreamBrokenError
		if errors.As(err, &broken) && ctx.Err() == nil {
			last = err
			continue
		}
		return err
	}
	return last
}

// relayWithReopen relays the answer from one peer and reopens the stream at the
// same peer if it breaks or goes silent, before other peers are asked. A
// connection can fail because a network device between the two daemons lost its
// state, which does not mean that the peer has failed.
func (r *reader) relayWithReopen(ctx context.Context, address string) error {
	for tries := 0; ; tries++ {
		before := r.offset
		err := r.relay(ctx, address)
		var broken *StreamBrokenError
		if !errors.As(err, &broken) || ctx.Err() != nil {
			return err
		}
		if r.offset > before {
			tries = 0
		}
		if tries >= maxReopens {
			return err
		}
		r.m.count("peers.reopened")
	}
}

func (r *reader) relay(parent context.Context, address string) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	watchdog := time.AfterFunc(r.m.c.Limits.SilenceTimeout, cancel)
	defer watchdog.Stop()
	stream, err := r.m.c.Peers.Requests(address).Read(ctx, connect.NewRequest(r.readRequest()))
	if err != nil {
		return peerError(r.id, err)
	}
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(r.m.c.Limits.SilenceTimeout)
		done, err := r.handleMessage(stream.Msg())
		if err != nil || done {
			return err
		}
	}
	if stream.Err() == nil {
		return &StreamBrokenError{Cause: "ended early"}
	}
	return peerError(r.id, stream.Err())
}

func (r *reader) readRequest() *requestv1.ReadRequest {
	return &requestv1.ReadRequest{
		RequestId: string(r.id),
		Workspace: string(r.workspace),
		Offset:    int32(r.offset),
		KnownFrom: int32(r.startOffset),
		Known:     r.received,
	}
}

func peerError(id ident.RequestID, err error) error {
	if connect.CodeOf(err) == connect.CodeNotFound {
		return &RequestNotFoundError{ID: id}
	}
	return &StreamBrokenError{Cause: err.Error()}
}

// handleMessage delivers a message from a peer to the sink. Each offset
// reaches the sink once and in order, even when the stream is reopened or
// another peer takes over.
func (r *reader) handleMessage(m *requestv1.ReadResponse) (done bool, err error) {
	switch {
	case m.MovedTo != "":
		return false, &MovedError{Owner: ident.Incarnation(m.MovedTo)}
	case m.Refused != "":
		return false, refusalFromResponse(m)
	case m.Heartbeat:
		return false, r.send(call.Event{Offset: r.offset, Heartbeat: true})
	case m.Done && int(m.Offset) > r.offset, !m.Done && int(m.Offset) > r.offset:
		return false, &StreamBrokenError{Cause: "gap"}
	case m.Done:
		return true, r.send(call.Event{Offset: int(m.Offset), Done: true, FinishReason: m.FinishReason})
	case int(m.Offset) < r.offset:
		r.m.count("peers.duplicate")
		return false, nil
	}
	return false, r.emitToken(m.Token)
}

func (r *reader) emitToken(text string) error {
	if err := r.send(call.Event{Offset: r.offset, Token: text}); err != nil {
		return err
	}
	r.offset++
	r.received = append(r.received, text)
	return nil
}

func (r *reader) send(e call.Event) error {
	if err := r.sink(e); err != nil {
		return &SinkError{Err: err}
	}
	if !e.Heartbeat {
		r.lastProgress = time.Now()
	}
	return nil
}

// snapshot is the part of a requestState that a reader needs, taken at one
// point in time.
type snapshot struct {
	tokens  []string
	count   int
	done    bool
	finish  string
	refused *refusal.Refusal
	movedTo ident.Incarnation
	changed <-chan struct{}
}

func (rs *requestState) snapshot(offset int) snapshot {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	a := rs.machine.Answer()
	return snapshot{
		tokens:  a.TokensFrom(offset),
		count:   a.Offset(),
		done:    a.Done(),
		finish:  a.FinishReason(),
		refused: rs.machine.Refusal(),
		movedTo: rs.movedTo,
		changed: rs.changed,
	}
}

// readLocal delivers the answer of a request that this daemon runs to the sink.
func (r *reader) readLocal(ctx context.Context, rs *requestState) error {
	heartbeat := time.NewTicker(r.m.c.Limits.Heartbeat)
	defer heartbeat.Stop()
	for {
		s := rs.snapshot(r.offset)
		for _, t := range s.tokens {
			if err := r.emitToken(t); err != nil {
				return err
			}
		}
		switch {
		case s.done:
			return r.send(call.Event{Offset: s.count, Done: true, FinishReason: s.finish})
		case s.refused != nil:
			return s.refused
		case s.movedTo != "":
			return &MovedError{Owner: s.movedTo}
		}
		select {
		case <-ctx.Done():
			return refusal.New(refusal.Cancelled, "reader went away").Unknown()
		case <-r.m.ctx.Done():
			return &StreamBrokenError{Cause: "daemon ends"}
		case <-s.changed:
		case <-heartbeat.C:
			if err := r.send(call.Event{Offset: r.offset, Heartbeat: true}); err != nil {
				return err
			}
		}
	}
}

// Cancel implements call.Models.
func (m *Models) Cancel(ctx context.Context, ws ident.Workspace, id ident.RequestID) error {
	if err := m.cancelLocal(ws, id); isFinal(err) {
		return err
	}
	for _, d := range m.lookupCandidates(id, m.movedTo(id)) {
		_, err := m.c.Peers.Requests(d.PeerAddress).Cancel(ctx, connect.NewRequest(&requestv1.CancelRequest{
			RequestId: string(id),
			Workspace: string(ws),
		}))
		if err == nil {
			return nil
		}
	}
	return refusal.New(refusal.UnknownRequest, "no gateway knows the request").Unknown()
}

func (m *Models) cancelLocal(ws ident.Workspace, id ident.RequestID) error {
	rs := m.find(id)
	if rs == nil {
		return &RequestNotFoundError{ID: id}
	}
	if rs.req.Workspace != ws {
		return refusal.New(refusal.UnknownRequest, "no such request").Unknown()
	}
	if to := m.movedTo(id); to != "" {
		return &MovedError{Owner: to}
	}
	rs.step(cancelInput)
	return nil
}
