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
	// lookupPause is between two searches for a request's owner.
	lookupPause = 250 * time.Millisecond
	// reopens is how often a peer's stream is opened anew without progress
	// before other peers are asked.
	reopens = 2
)

// MovedError says that another daemon runs the request.
type MovedError struct{ Owner ident.Incarnation }

func (e *MovedError) Error() string { return "request moved to " + string(e.Owner) }

// NotHereError says that a daemon does not know the request.
type NotHereError struct{ ID ident.RequestID }

func (e *NotHereError) Error() string { return "request is not here: " + string(e.ID) }

// StreamBrokenError says that a peer's stream ended before the answer did.
type StreamBrokenError struct{ Cause string }

func (e *StreamBrokenError) Error() string { return "peer's stream broke: " + e.Cause }

// SinkError says that the reader itself failed.
type SinkError struct{ Err error }

func (e *SinkError) Error() string { return "reader: " + e.Err.Error() }

// Unwrap returns the reader's error.
func (e *SinkError) Unwrap() error { return e.Err }

// reading is one reader's way through the answer, wherever it is.
type reading struct {
	m      *Models
	ws     ident.Workspace
	id     ident.RequestID
	offset int
	sink   func(call.Event) error
	// first is where the reading began and known what it has passed on since.
	// A new owner that lacks these tokens takes them over, or says that it
	// has others, so that no answer is spliced of two different ones.
	first int
	known []string
	// hint is the owner that was last heard of.
	hint     ident.Incarnation
	progress time.Time
}

// Read implements call.Models.
func (m *Models) Read(ctx context.Context, ws ident.Workspace, id ident.RequestID, offset int, sink func(call.Event) error) error {
	if offset < 0 {
		return refusal.New(refusal.BadRequest, "negative offset")
	}
	r := &reading{m: m, ws: ws, id: id, offset: offset, first: offset, sink: sink, progress: time.Now()}
	err := r.run(ctx)
	var s *SinkError
	if errors.As(err, &s) {
		return s.Err
	}
	return err
}

func (r *reading) run(ctx context.Context) error {
	for {
		err := r.once(ctx)
		if final(err) {
			return err
		}
		if ctx.Err() != nil {
			return refusal.New(refusal.Cancelled, "reader went away").Unknown()
		}
		if err := r.pause(ctx, err); err != nil {
			return err
		}
	}
}

// final errors are the reader's last; after the others its owner is looked for
// again.
func final(err error) bool {
	var s *SinkError
	var ref *refusal.Refusal
	return err == nil || errors.As(err, &s) || errors.As(err, &ref)
}

func (r *reading) pause(ctx context.Context, err error) error {
	var moved *MovedError
	if errors.As(err, &moved) && r.hint != moved.Owner {
		r.hint = moved.Owner
		return nil
	}
	var absent *NotHereError
	if errors.As(err, &absent) && r.ownerListed() {
		return refusal.New(refusal.UnknownRequest, "no such request").Unknown()
	}
	if time.Since(r.progress) > r.m.c.Limits.Lookup {
		return refusal.New(refusal.OwnerUnreachable, "the request's gateway cannot be reached").
			Unknown().After(r.m.c.Limits.Request.RetryAfter)
	}
	if err := r.pass(call.Event{Offset: r.offset, Heartbeat: true}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(lookupPause):
	}
	return nil
}

// ownerListed tells whether the daemon that accepted the request is still
// there, so that its "not here" is final.
func (r *reading) ownerListed() bool {
	owner, err := r.id.Owner()
	if err != nil || owner == r.m.c.Self {
		return true
	}
	_, ok := r.m.daemon(owner)
	return ok
}

func (r *reading) once(ctx context.Context) error {
	l := r.m.find(r.id)
	if l != nil {
		if l.req.Workspace != r.ws {
			return refusal.New(refusal.UnknownRequest, "no such request").Unknown()
		}
		err := r.local(ctx, l)
		var moved *MovedError
		if !errors.As(err, &moved) {
			return err
		}
		r.hint = moved.Owner
	}
	return r.remote(ctx)
}

// remote asks those who may have the request in turn.
func (r *reading) remote(ctx context.Context) error {
	var last error = &NotHereError{ID: r.id}
	for _, d := range r.m.candidates(r.id, r.hint) {
		err := r.relayPersistently(ctx, d.PeerAddress)
		var absent *NotHereError
		if errors.As(err, &absent) {
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

// relayPersistently opens a stream that broke or went silent anew at the same
// peer before others are asked: a connection that something between the two
// ends lost track of says nothing of the peer.
func (r *reading) relayPersistently(ctx context.Context, address string) error {
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
		if tries >= reopens {
			return err
		}
		r.m.count("peers.reopened")
	}
}

func (r *reading) relay(parent context.Context, address string) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	watchdog := time.AfterFunc(r.m.c.Limits.Silence, cancel)
	defer watchdog.Stop()
	s, err := r.m.c.Peers.Requests(address).Read(ctx, connect.NewRequest(r.request()))
	if err != nil {
		return peerError(r.id, err)
	}
	defer s.Close()
	for s.Receive() {
		watchdog.Reset(r.m.c.Limits.Silence)
		done, err := r.take(s.Msg())
		if err != nil || done {
			return err
		}
	}
	if s.Err() == nil {
		return &StreamBrokenError{Cause: "ended early"}
	}
	return peerError(r.id, s.Err())
}

func (r *reading) request() *requestv1.ReadRequest {
	return &requestv1.ReadRequest{
		RequestId: string(r.id),
		Workspace: string(r.ws),
		Offset:    int32(r.offset),
		KnownFrom: int32(r.first),
		Known:     r.known,
	}
}

func peerError(id ident.RequestID, err error) error {
	if connect.CodeOf(err) == connect.CodeNotFound {
		return &NotHereError{ID: id}
	}
	return &StreamBrokenError{Cause: err.Error()}
}

// take passes a peer's message on; each offset reaches the reader once, in
// order, however often the peer is changed or asked again.
func (r *reading) take(m *requestv1.ReadResponse) (done bool, err error) {
	switch {
	case m.MovedTo != "":
		return false, &MovedError{Owner: ident.Incarnation(m.MovedTo)}
	case m.Refused != "":
		return false, refusalOf(m)
	case m.Heartbeat:
		return false, r.pass(call.Event{Offset: r.offset, Heartbeat: true})
	case m.Done && int(m.Offset) > r.offset, !m.Done && int(m.Offset) > r.offset:
		return false, &StreamBrokenError{Cause: "gap"}
	case m.Done:
		return true, r.pass(call.Event{Offset: int(m.Offset), Done: true, FinishReason: m.FinishReason})
	case int(m.Offset) < r.offset:
		r.m.count("peers.duplicate")
		return false, nil
	}
	return false, r.token(m.Token)
}

func (r *reading) token(text string) error {
	if err := r.pass(call.Event{Offset: r.offset, Token: text}); err != nil {
		return err
	}
	r.offset++
	r.known = append(r.known, text)
	return nil
}

func (r *reading) pass(e call.Event) error {
	if err := r.sink(e); err != nil {
		return &SinkError{Err: err}
	}
	if !e.Heartbeat {
		r.progress = time.Now()
	}
	return nil
}

// snapshot is what a reader needs of a live request at one time.
type snapshot struct {
	tokens  []string
	count   int
	done    bool
	finish  string
	refused *refusal.Refusal
	movedTo ident.Incarnation
	changed <-chan struct{}
}

func (l *live) snapshot(offset int) snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.machine.Answer()
	return snapshot{
		tokens:  a.TokensFrom(offset),
		count:   a.Offset(),
		done:    a.Done(),
		finish:  a.FinishReason(),
		refused: l.machine.Refusal(),
		movedTo: l.movedTo,
		changed: l.changed,
	}
}

// local serves the reader from a request of this daemon.
func (r *reading) local(ctx context.Context, l *live) error {
	heartbeat := time.NewTicker(r.m.c.Limits.Heartbeat)
	defer heartbeat.Stop()
	for {
		s := l.snapshot(r.offset)
		for _, t := range s.tokens {
			if err := r.token(t); err != nil {
				return err
			}
		}
		switch {
		case s.done:
			return r.pass(call.Event{Offset: s.count, Done: true, FinishReason: s.finish})
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
			if err := r.pass(call.Event{Offset: r.offset, Heartbeat: true}); err != nil {
				return err
			}
		}
	}
}

// Cancel implements call.Models.
func (m *Models) Cancel(ctx context.Context, ws ident.Workspace, id ident.RequestID) error {
	if err := m.cancelLocal(ws, id); final(err) {
		return err
	}
	for _, d := range m.candidates(id, m.movedTo(id)) {
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
	l := m.find(id)
	if l == nil {
		return &NotHereError{ID: id}
	}
	if l.req.Workspace != ws {
		return refusal.New(refusal.UnknownRequest, "no such request").Unknown()
	}
	if to := m.movedTo(id); to != "" {
		return &MovedError{Owner: to}
	}
	l.step(cancelInput)
	return nil
}
