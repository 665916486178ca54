// Package dispatch sends an action to a runner once. Nothing in it repeats a
// call: a fresh connection for each, no redirect followed, no transport-level
// retry.
package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	// HeaderAction carries workspace/key to the runner, for its own use.
	HeaderAction = "X-Geranium-Action"
	// HeaderNotExecuted set to "1" is a runner's word that it did not run the
	// call.
	HeaderNotExecuted = "X-Not-Executed"
	notExecutedValue  = "1"
	idempotencyKey    = "Idempotency-Key"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config sets how actions are sent.
type Config struct {
	// Dial opens connections; nil is TCP.
	Dial DialFunc
	// DialTimeout bounds the time in which it is still certain that nothing ran.
	DialTimeout time.Duration
	// MaxAnswerBytes bounds an answer's body.
	MaxAnswerBytes int64

	// ReuseConnections breaks the guard against repetition on purpose, for the
	// test that shows what happens then.
	ReuseConnections bool
}

// DefaultConfig dials over TCP.
func DefaultConfig() Config {
	return Config{
		Dial:           (&net.Dialer{}).DialContext,
		DialTimeout:    2 * time.Second,
		MaxAnswerBytes: 4 << 20,
	}
}

// Sender sends actions. It is safe for concurrent use.
type Sender struct {
	cfg             Config
	sharedTransport *http.Transport
}

// New returns a sender.
func New(cfg Config) *Sender {
	if cfg.Dial == nil {
		cfg.Dial = DefaultConfig().Dial
	}
	return &Sender{cfg: cfg, sharedTransport: &http.Transport{DialContext: cfg.Dial}}
}

// AnswerTooLargeError says that a runner's answer was over the bound.
type AnswerTooLargeError struct{ Limit int64 }

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer is over %d bytes", e.Limit)
}

// Send sends the call to the runner at address and returns what came of it.
//
// net/http's transport sends a request again by itself when a reused
// connection breaks and it takes the request for idempotent (an
// Idempotency-Key header is enough): the runner has run the first copy, and
// the action runs twice. A transport of its own without keep-alive never
// reuses a connection, and the header stays behind; each guard is enough alone.
func (s *Sender) Send(ctx context.Context, address string, id actionkey.ID, c call.ServiceCall) action.Result {
	req, err := newRequest(ctx, address, id, c)
	if err != nil {
		return refusedResult(refusal.New(refusal.BadRequest, "%v", err))
	}
	if s.cfg.ReuseConnections {
		req.Header.Set(idempotencyKey, id.Key)
		return s.roundTrip(s.sharedTransport, req, new(atomic.Bool))
	}
	var connected atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       s.singleDialer(&connected),
	}
	return s.roundTrip(transport, req, &connected)
}

// singleDialer dials at most once, so that the transport can't open a second
// connection for the same action.
func (s *Sender) singleDialer(connected *atomic.Bool) DialFunc {
	var dialed atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialed.Swap(true) {
			return nil, &SecondDialError{Address: address}
		}
		ctx, cancel := context.WithTimeout(ctx, s.cfg.DialTimeout)
		defer cancel()
		conn, err := s.cfg.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		connected.Store(true)
		return conn, nil
	}
}

// SecondDialError says that the transport tried to connect twice for one call.
type SecondDialError struct{ Address string }

func (e *SecondDialError) Error() string { return "second connection to " + e.Address + " denied" }

func (s *Sender) roundTrip(t *http.Transport, req *http.Request, connected *atomic.Bool) action.Result {
	resp, err := t.RoundTrip(req)
	if err != nil {
		if !connected.Load() && !s.cfg.ReuseConnections {
			// Without a connection no byte can have reached the runner. A dial
			// that succeeds after RoundTrip gave up is closed unused.
			return refusedResult(refusal.New(refusal.NoRunner, "connect: %v", err))
		}
		return refusedResult(refusal.New(refusal.RunnerFailed, "no answer: %v", err).Unknown())
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderNotExecuted) == notExecutedValue {
		return refusedResult(refusal.New(refusal.RunnerRefused, "runner answered %d and did not run it", resp.StatusCode))
	}
	body, err := s.readBody(resp.Body)
	if err != nil {
		return refusedResult(refusal.New(refusal.RunnerFailed, "answer broke off: %v", err).Unknown())
	}
	return action.Result{Answer: call.Answer{
		Status:  resp.StatusCode,
		Headers: answerHeaders(resp.Header),
		Body:    body,
	}}
}

func (s *Sender) readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, s.cfg.MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > s.cfg.MaxAnswerBytes {
		return nil, &AnswerTooLargeError{Limit: s.cfg.MaxAnswerBytes}
	}
	return body, nil
}

func refusedResult(r *refusal.Refusal) action.Result { return action.Result{Refusal: r} }

// InvalidPathError says that a call's path doesn't name a resource of the runner.
type InvalidPathError struct{ Path string }

func (e *InvalidPathError) Error() string { return fmt.Sprintf("path %q is not absolute", e.Path) }

func newRequest(ctx context.Context, address string, id actionkey.ID, c call.ServiceCall) (*http.Request, error) {
	if !strings.HasPrefix(c.Path, "/") {
		return nil, &InvalidPathError{Path: c.Path}
	}
	target, err := url.Parse("http://" + address + c.Path)
	if err != nil {
		return nil, fmt.Errorf("parse target: %w", err)
	}
	var body io.Reader = http.NoBody
	if len(c.Body) > 0 {
		body = bytes.NewReader(c.Body)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, target.String(), body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	for _, h := range c.Headers {
		if !isHopByHop(h.Name) && !strings.EqualFold(h.Name, idempotencyKey) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.GetBody = nil
	if id.Key != "" {
		req.Header.Set(HeaderAction, string(id.Workspace)+"/"+id.Key)
	}
	return req, nil
}

// isHopByHop tells headers that concern one connection only (RFC 9110, 7.6.1).
func isHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host", "Expect":
		return true
	}
	return false
}

func answerHeaders(h http.Header) []call.Header {
	var out []call.Header
	for _, name := range slices.Sorted(maps.Keys(h)) {
		if isHopByHop(name) {
			continue
		}
		for _, v := range h[name] {
			out = append(out, call.Header{Name: name, Value: v})
		}
	}
	return out
}
