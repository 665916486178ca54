// Package engine is the client of a model engine's HTTP interface.
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

// DefaultCallTimeout is the timeout of each call except Generate and Import.
const DefaultCallTimeout = 2 * time.Second

const (
	maxLineBytes   = 1 << 20
	maxAnswerBytes = 64 << 20
	contentType    = "application/json"
)

// Client calls one engine. It is safe for concurrent use. It doesn't retry calls.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithCallTimeout replaces DefaultCallTimeout.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the engine at address, which is "host:port" or a URL without a path. The
// http.Client must not have a timeout, because streams take long.
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

// Generate runs an attempt and passes each line of the stream to sink, up to the final line with
// Done set. It doesn't check identifiers or offsets, so sink may get lines of other attempts. If no
// line arrives for idleTimeout, heartbeats included, Generate returns a *StreamIdleError. All
// errors that originate in this package are AttemptErrors. Errors of sink and ctx are returned
// unchanged. Whenever the stream ends early, the connection is closed, and the engine cancels the
// attempt when it notices.
func (c *Client) Generate(ctx context.Context, r engineapi.GenerateRequest, idleTimeout time.Duration, sink func(engineapi.GenerateEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The timer detects a connection that was lost without an error: the only sign is that no lines
	// arrive. On a working connection a heartbeat arrives at least once a second.
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

// dropIdleConnections closes the client's idle connections if the call with the context ctx timed
// out. Often all open connections to a server stop working at the same time while new ones work,
// and the only sign is that calls get no answer. The timed-out call's own connection is closed by
// ctx. Closing the idle connections keeps the next calls from timing out on them.
func (c *Client) dropIdleConnections(ctx context.Context) {
	idle := (*StreamIdleError)(nil)
	if errors.As(context.Cause(ctx), &idle) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// cancellationCause returns the caller's own reason for ending the call, or err if there is none.
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

// sinkError wraps an error that the caller's sink returned.
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

// Cancel ends an attempt. If the engine doesn't know the attempt, the error is a *RefusedError with
// engineapi.CodeUnknownAttempt.
func (c *Client) Cancel(ctx context.Context, attemptID string) error {
	return c.call(ctx, engineapi.PathCancel, engineapi.CancelRequest{AttemptID: attemptID}, nil)
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context) (engineapi.Load, error) {
	var load engineapi.Load
	err := c.get(ctx, engineapi.PathLoad, &load)
	return load, err
}

// CacheEvents returns at most limit cache events, starting with the sequence number from.
func (c *Client) CacheEvents(ctx context.Context, from uint64, limit int) (engineapi.CacheEvents, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	var events engineapi.CacheEvents
	err := c.get(ctx, engineapi.PathCacheEvents+"?"+query.Encode(), &events)
	return events, err
}

// Export makes an attempt's KV cache available to other engines.
func (c *Client) Export(ctx context.Context, attemptID string) (engineapi.ExportResponse, error) {
	var exported engineapi.ExportResponse
	err := c.call(ctx, engineapi.PathExport, engineapi.ExportRequest{AttemptID: attemptID}, &exported)
	return exported, err
}

// Import makes the engine fetch a KV cache and returns when the transfer is complete. Only ctx
// limits its duration.
func (c *Client) Import(ctx context.Context, r engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	var imported engineapi.ImportResponse
	err := c.roundTrip(ctx, http.MethodPost, engineapi.PathImport, r, &imported)
	return imported, err
}

// Order sends an order to the engine. If the fencing number is outdated, the error is a
// *RefusedError with engineapi.CodeStaleFencing.
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

// send sends a request. net/http may retry a GET, but it doesn't retry a POST of which anything was
// written, because the request has no idempotency header.
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

// refusalError decodes the engine's refusal. A body of another form may come from a proxy, so in
// that case the attempt may have started.
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
