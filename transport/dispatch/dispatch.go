// Package dispatch sends an action to a runner at most once. It never retries: each call uses a new
// connection, and redirects aren't followed.
package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

const (
	// HeaderAction carries "workspace/key" to the runner, which may use it for its own purposes.
	HeaderAction = "X-Geranium-Action"
	// HeaderNotExecuted with the value "1" is a runner's confirmation that it didn't execute the call.
	HeaderNotExecuted    = "X-Not-Executed"
	notExecutedValue     = "1"
	idempotencyKeyHeader = "Idempotency-Key"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Sender.
type Config struct {
	// Dial opens connections. The default is TCP.
	Dial DialFunc
	// DialTimeout limits the time to open a connection. If no connection was opened, nothing can
	// have been executed.
	DialTimeout time.Duration
	// MaxAnswerBytes limits the size of an answer's body.
	MaxAnswerBytes int64
	// Refused, if it isn't nil, is called for each answer of a runner that is none.
	Refused func(*httpanswer.Error)

	// ReuseConnections disables the protection against repeated execution. Only the test that
	// demonstrates the resulting fault sets it.
	ReuseConnections bool
}

// DefaultConfig returns a configuration that dials over TCP.
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
	sharedTransport http.RoundTripper
}

// New returns a Sender.
func New(cfg Config) *Sender {
	if cfg.Dial == nil {
		cfg.Dial = DefaultConfig().Dial
	}
	s := &Sender{cfg: cfg}
	s.sharedTransport = s.checked(&http.Transport{DialContext: cfg.Dial})
	return s
}

// checked returns a round tripper over t that returns an answer only if it is one.
func (s *Sender) checked(t *http.Transport) http.RoundTripper {
	checked := httpanswer.NewTransport(t)
	checked.Refused = s.cfg.Refused
	return checked
}

// AnswerTooLargeError says that a runner's answer exceeds the size limit.
type AnswerTooLargeError struct{ Limit int64 }

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer is over %d bytes", e.Limit)
}

// Send sends the call to the runner at address and returns its result.
//
// net/http's transport retries a request on its own if a reused connection breaks and the request
// counts as idempotent, for which an Idempotency-Key header suffices. The runner may already have
// executed the first copy, so the action would run twice. Two measures prevent this, and each
// suffices alone: every call has its own transport without keep-alive, so that no connection is
// reused, and the header isn't sent.
func (s *Sender) Send(ctx context.Context, address string, id actionkey.ID, c call.ServiceCall) action.Result {
	req, err := newRequest(ctx, address, id, c)
	if err != nil {
		return refusedResult(refusal.New(refusal.BadRequest, "%v", err))
	}
	if s.cfg.ReuseConnections {
		req.Header.Set(idempotencyKeyHeader, id.Key)
		return s.roundTrip(s.sharedTransport, req, new(atomic.Bool))
	}
	var connected atomic.Bool
	transport := s.checked(&http.Transport{
		DisableKeepAlives: true,
		DialContext:       s.singleDialer(&connected),
	})
	return s.roundTrip(transport, req, &connected)
}

// singleDialer returns a DialFunc that dials at most once, so that the transport can't open a
// second connection for the same action.
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

// SecondDialError says that the transport tried to open a second connection for one call.
type SecondDialError struct{ Address string }

func (e *SecondDialError) Error() string { return "second connection to " + e.Address + " denied" }

func (s *Sender) roundTrip(t http.RoundTripper, req *http.Request, connected *atomic.Bool) action.Result {
	resp, err := t.RoundTrip(req)
	if err != nil {
		if !connected.Load() && !s.cfg.ReuseConnections {
			// Without a connection, nothing can have reached the runner. If the dial succeeds after
			// RoundTrip has given up, the connection is closed unused.
			return refusedResult(refusal.New(refusal.NoRunner, "connect: %v", err))
		}
		return refusedResult(refusal.New(refusal.RunnerFailed, "no answer: %v", err).Unknown())
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderNotExecuted) == notExecutedValue {
		return refusedResult(refusal.New(refusal.RunnerRefused, "runner answered %d and did not run it", resp.StatusCode))
	}
	body, err := s.readBody(resp.Body)
	if err == nil && httpanswer.IsUnframed(resp) {
		err = s.checkAlive(req)
	}
	if err != nil {
		return refusedResult(refusal.New(refusal.RunnerFailed, "answer broke off: %v", err).Unknown())
	}
	return action.Result{Answer: call.Answer{
		Status:  resp.StatusCode,
		Headers: answerHeaders(resp.Header),
		Body:    body,
	}}
}

// FailedRunnerError says that an answer without a length ended because its runner has failed.
type FailedRunnerError struct{ Address string }

func (e *FailedRunnerError) Error() string { return e.Address + " refuses connections" }

// checkAlive returns a *FailedRunnerError if the runner refuses connections. The kernel of one that has failed ends its
// connections as one does that has ended its answer.
func (s *Sender) checkAlive(req *http.Request) error {
	ctx, cancel := context.WithTimeout(req.Context(), s.cfg.DialTimeout)
	defer cancel()
	conn, err := s.cfg.Dial(ctx, "tcp", req.URL.Host)
	if err == nil {
		return conn.Close()
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &FailedRunnerError{Address: req.URL.Host}
	}
	return nil
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

// InvalidPathError says that a call's path isn't absolute.
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
		if !isHopByHop(h.Name) && !strings.EqualFold(h.Name, idempotencyKeyHeader) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.GetBody = nil
	if id.Key != "" {
		req.Header.Set(HeaderAction, string(id.Workspace)+"/"+id.Key)
	}
	return req, nil
}

// isHopByHop reports whether a header applies to one connection only (RFC 9110, section 7.6.1).
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
