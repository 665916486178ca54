package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/canary"
	delegationv1 "geraniumstack.org/geraniumstack/gen/geranium/delegation/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/delegation/v1/delegationv1connect"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

// This file is the calling side of the daemons' protocol for requests that one serves for another; delegated.go is the
// side that answers.

// maxHelperPartBytes bounds a part of a helper's answer. The largest holds the bytes of one read and an event that
// they end.
const maxHelperPartBytes = 2 * forward.MaxEventBytes

// helperRefusalError says that a helper has refused the request.
type helperRefusalError struct {
	*refusal.Refusal
	// attempts is the number of runners to which the request has been sent by now, and counts what it has been
	// counted for.
	attempts int
	counts   requestCounts
}

// notHandedOverError says that nothing of a request reached a helper.
type notHandedOverError struct{ Err error }

func (e *notHandedOverError) Error() string { return "request not handed over: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *notHandedOverError) Unwrap() error { return e.Err }

// delegationClient returns a client for the calls to another daemon, which bounds what it answers.
func (e *Edge) delegationClient(address string) delegationv1connect.DelegationServiceClient {
	return delegationv1connect.NewDelegationServiceClient(e.deps.Delegation, "http://"+address, connect.WithReadMaxBytes(maxHelperPartBytes))
}

// callHelper sends the request to another daemon and returns its answer once it begins. It records in sends what the
// daemon tells of its sends. The error is a *notHandedOverError if nothing of the request reached the daemon.
func (e *Edge) callHelper(ctx context.Context, address string, request *delegationv1.ServeRequest, sends *helperSends) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	stream, err := e.delegationClient(address).Serve(traced, connect.NewRequest(request))
	if err != nil {
		cancel()
		return nil, ofConnection(err, connected.Load())
	}
	body := &helperBody{stream: stream, cancel: cancel, sends: sends}
	part, err := body.next()
	if err != nil {
		body.Close()
		return nil, ofConnection(err, connected.Load())
	}
	switch p := part.Part.(type) {
	case *delegationv1.ServeResponse_Refusal:
		body.Close()
		return nil, &helperRefusalError{
			Refusal: &refusal.Refusal{
				Reason: refusal.Reason(p.Refusal.Reason), Executed: refusal.Executed(p.Refusal.Executed),
				Detail: p.Refusal.Detail, RetryAfter: time.Duration(p.Refusal.RetryAfterNs),
			},
			attempts: int(p.Refusal.Attempts),
			counts:   requestCounts{offered: p.Refusal.Offered, dispatched: p.Refusal.Dispatched},
		}
	case *delegationv1.ServeResponse_Start:
		if p.Start.LeavingRunner != 0 {
			e.receiveLeaving([]uint64{p.Start.LeavingRunner})
		}
		status, header := int(p.Start.Status), decodeHeaders(p.Start.Headers)
		if err := httpanswer.CheckFinal(status, header); err != nil {
			body.Close()
			return nil, err
		}
		return &Answer{Status: status, Header: header, Length: p.Start.Length, Events: p.Start.Events, Body: body}, nil
	}
	body.Close()
	return nil, &unexpectedPartError{}
}

// ofConnection marks the error of a call for which there was no connection, or whose latest one could not be opened: a call
// is sent over another one only if nothing of it was processed.
func ofConnection(err error, connected bool) error {
	var op *net.OpError
	if !connected || errors.As(err, &op) && op.Op == "dial" {
		return &notHandedOverError{err}
	}
	return err
}

// unexpectedPartError says that a helper's answer doesn't begin with a status or a refusal.
type unexpectedPartError struct{}

func (*unexpectedPartError) Error() string {
	return "answer begins with neither a status nor a refusal"
}

// helperBody is the body of a helper's answer. Reading it returns io.EOF only if the helper has
// said that the answer is complete.
type helperBody struct {
	stream *connect.ServerStreamForClient[delegationv1.ServeResponse]
	cancel context.CancelFunc
	sends  *helperSends
	rest   []byte
	done   bool
	// streamVersion is the software version of the runner that made the stream's events.
	streamVersion boundVersion
	// runnerFailed says that the answer breaks off because a runner has failed at its beginning, or because
	// runners fail under the request.
	runnerFailed bool
}

// next returns the next part of the answer.
func (b *helperBody) next() (*delegationv1.ServeResponse, error) {
	for b.stream.Receive() {
		part := b.stream.Msg()
		if part.Attempts == 0 {
			return part, nil
		}
		b.sends.tell(part.Attempts)
	}
	if err := b.stream.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

func (b *helperBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.done {
			return 0, io.EOF
		}
		part, err := b.next()
		if err != nil {
			return 0, err
		}
		b.rest, b.done = part.GetData(), part.GetFinished()
		b.runnerFailed = b.runnerFailed || part.RunnerFailed
		if part.StreamVersion != nil {
			b.streamVersion = boundVersion{canary.Version(*part.StreamVersion), true}
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the call; the helper then stops working on the request.
func (b *helperBody) Close() error {
	b.cancel()
	return b.stream.Close()
}

func encodeDelegated(s *requestHandler, call uint64) *delegationv1.ServeRequest {
	r := s.req
	m := &delegationv1.ServeRequest{
		RequestId: r.ID, Host: r.Host, Path: r.Path, Method: r.Method, Target: r.Target, Headers: encodeHeaders(r.Header), Body: r.Body.Bytes(), Key: r.Key,
		AgeNs: int64(time.Since(r.Received)), CallerTimeoutNs: int64(r.CallerTimeout), LastEventId: s.lastEventID(), Resumes: r.Resumes,
		Prompt:   encodePrompt(&r.Prompt),
		Attempts: uint32(s.exchange.Sent()), MayHaveRun: s.exchange.MayHaveRun(),
		Offered: s.counts.offered, Dispatched: s.counts.dispatched, WantsAttempts: true,
		Call: call, AllowsAt: s.edge.settings.PeerAddress,
	}
	if s.bound.known {
		version := string(s.bound.version)
		m.StreamVersion = &version
	}
	return m
}

func encodeHeaders(h http.Header) []*delegationv1.Header {
	headers := make([]*delegationv1.Header, 0, len(h))
	for name, values := range h {
		headers = append(headers, &delegationv1.Header{Name: name, Values: values})
	}
	return headers
}

func decodeHeaders(headers []*delegationv1.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, header := range headers {
		h[header.Name] = header.Values
	}
	return h
}

func encodePrompt(p *Prompt) *delegationv1.Prompt {
	m := &delegationv1.Prompt{
		Model: p.Model, PromptTokens: uint32(p.PromptTokens), OutputTokens: uint32(p.OutputTokens), ExpectedOutput: uint32(p.ExpectedOutput), Prefix: p.Prefix,
		Parts: p.Parts,
	}
	for _, n := range p.PrefixTokens {
		m.PrefixTokens = append(m.PrefixTokens, uint32(n))
	}
	return m
}
