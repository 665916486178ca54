// Package engine is the client side of a model engine's HTTP interface.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// DefaultCallTimeout bounds each call but Generate and Import.
const DefaultCallTimeout = 2 * time.Second

const (
	maxLineBytes   = 1 << 20
	maxAnswerBytes = 64 << 20
	contentType    = "application/json"
)

// Client talks to one engine. It is safe for concurrent use and repeats no
// call.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// Option changes a Client.
type Option func(*Client)

// WithCallTimeout sets the bound on one call in place of DefaultCallTimeout.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the engine at address, a "host:port" or a URL without
// a path. The http.Client must have no timeout of its own, since streams last.
func New(address string, client *http.Client, options ...Option) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	c := &Client{base: address, http: client, timeout: DefaultCallTimeout}
	for _, option := range options {
		option(c)
	}
	return c
}

// Generate runs an attempt and passes each line to sink until the last one,
// which has Done. It checks no identifiers and no offsets: lines of other
// attempts reach sink too. A stream without any line, heartbeats included, for
// as long as silence ends with a *SilentError; errors of this package are
// StartErrors. An error of sink or of ctx comes back as it is, and the
// connection is closed, on which the engine cancels the attempt if it hears of
// it.
func (c *Client) Generate(ctx context.Context, r engineapi.GenerateRequest, idleTimeout time.Duration, sink func(engineapi.GenerateEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The idleTimer guards against a connection that has gone silent for good:
	// it shows in nothing but missing lines, and heartbeats come at least once
	// a second on one that works.
	idleTimer := time.AfterFunc(idleTimeout, func() { cancel(&StreamIdleError{After: idleTimeout}) })
	defer idleTimer.Stop()
	response, err := c.send(ctx, http.MethodPost, engineapi.PathGenerate, r)
	if err != nil {
		return cancellationCause(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return cancellationCause(ctx, refusalError(response))
	}
	onLine := func() { idleTimer.Reset(idleTimeout) }
	err = readLines(response.Body, onLine, sink)
	c.dropIdleConnections(ctx)
	return cancellationCause(ctx, err)
}

// dropIdleConnections closes the idle connections after a call that ran out of time.
// Open connections can go silent for good while new ones work, often all of
// them at once; it shows in nothing but calls that get no answer. The call's
// own connection is closed by its context, and this closes those that the next
// calls would wait on in vain.
func (c *Client) dropIdleConnections(ctx context.Context) {
	idle := (*StreamIdleError)(nil)
	if errors.As(context.Cause(ctx), &idle) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// cancellationCause returns why the call was ended on this side, if it was.
func cancellationCause(ctx context.Context, err error) error {
	var sinkErr *sinkError
	if errors.As(err, &sinkErr) {
		return sinkErr.err
	}
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// sinkError carries an error of the caller's own sink.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }

func readLines(body io.Reader, onLine func(), sink func(engineapi.GenerateEvent) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		onLine()
		var event engineapi.GenerateEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return &MalformedAnswerError{Err: err}
		}
		if event.Error != "" {
			return &AttemptFailedError{Reason: event.Error}
		}
		if err := sink(event); err != nil {
			return &sinkError{err: err}
		}
		if event.Done {
			return nil
		}
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return &MalformedAnswerError{Err: err}
	} else if err != nil {
		return &ConnectionLostError{Err: err}
	}
	return &TruncatedStreamError{}
}

// Cancel ends an attempt; an engine without it refuses with
// engineapi.CodeUnknownAttempt.
func (c *Client) Cancel(ctx context.Context, attemptID string) error {
	return c.call(ctx, engineapi.PathCancel, engineapi.CancelRequest{AttemptID: attemptID}, nil)
}

// Load reads the engine's last load report.
func (c *Client) Load(ctx context.Context) (engineapi.Load, error) {
	var load engineapi.Load
	err := c.get(ctx, engineapi.PathLoad, &load)
	return load, err
}

// CacheEvents reads the published cache events from a sequence number on, at
// most limit.
func (c *Client) CacheEvents(ctx context.Context, from uint64, limit int) (engineapi.CacheEvents, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	var events engineapi.CacheEvents
	err := c.get(ctx, engineapi.PathCacheEvents+"?"+query.Encode(), &events)
	return events, err
}

// Export offers an attempt's KV cache to other engines.
func (c *Client) Export(ctx context.Context, attemptID string) (engineapi.ExportResponse, error) {
	var exported engineapi.ExportResponse
	err := c.call(ctx, engineapi.PathExport, engineapi.ExportRequest{AttemptID: attemptID}, &exported)
	return exported, err
}

// Import makes the engine fetch a KV cache and returns when it has it. The
// transfer takes its time; ctx alone bounds it.
func (c *Client) Import(ctx context.Context, r engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	var imported engineapi.ImportResponse
	err := c.roundTrip(ctx, http.MethodPost, engineapi.PathImport, r, &imported)
	return imported, err
}

// Order gives an order; a stale fencing number is a *RefusedError with
// engineapi.CodeStaleFencing.
func (c *Client) Order(ctx context.Context, o engineapi.Order) error {
	return c.call(ctx, engineapi.PathOrder, o, nil)
}

func (c *Client) call(ctx context.Context, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.roundTrip(ctx, http.MethodPost, path, request, answer)
}

func (c *Client) get(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.roundTrip(ctx, http.MethodGet, path, nil, answer)
}

func (c *Client) roundTrip(ctx context.Context, method, path string, request, answer any) error {
	response, err := c.send(ctx, method, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusalError(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	TrafficFromContext(ctx).addExchange(response, len(data))
	if err != nil {
		return &ConnectionLostError{Err: err}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &MalformedAnswerError{Err: err}
	}
	return nil
}

// send makes a POST that net/http does not repeat once any of it was written:
// it has no idempotency header. A GET may be repeated.
func (c *Client) send(ctx context.Context, method, path string, request any) (*http.Response, error) {
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, &ConnectError{Err: err}
	}
	if body != nil {
		r.Header.Set("Content-Type", contentType)
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.dropIdleConnections(ctx)
		return nil, sendError(err)
	}
	return response, nil
}

func sendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &ConnectError{Err: err}
	}
	return &ConnectionLostError{Err: err}
}

// refusalError reads the refusal; a status without the protocol's body may come
// from anything between, so the attempt can have started.
func refusalError(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if err != nil {
		return &ConnectionLostError{Err: err}
	}
	var body engineapi.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &MalformedAnswerError{Err: fmt.Errorf("status %d: %w", response.StatusCode, err)}
	}
	return &RefusedError{Status: response.StatusCode, Body: body}
}
