package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// DefaultCallTimeout bounds one call, and a watch beyond its own wait.
const DefaultCallTimeout = 2 * time.Second

const (
	maxAnswerBytes  = 64 << 20
	contentTypeJSON = "application/json"
)

// StatusError says that the service answered with a status that is none of its
// protocol's.
type StatusError struct {
	Path   string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Body)
}

// Option changes a client.
type Option func(*httpClient)

// WithCallTimeout sets the bound on one call in place of DefaultCallTimeout.
func WithCallTimeout(d time.Duration) Option {
	return func(c *httpClient) { c.timeout = d }
}

type httpClient struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Store = (*httpClient)(nil)

// NewHTTPClient returns a Store that talks to the service at base, for example
// "http://10.0.0.1:2379". It repeats no call: the calls are POSTs without an
// idempotency header, which net/http sends again only if none of it was
// written to the connection.
func NewHTTPClient(base string, client *http.Client, options ...Option) Store {
	c := &httpClient{base: base, http: client, timeout: DefaultCallTimeout}
	for _, option := range options {
		option(c)
	}
	return c
}

func (c *httpClient) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, c.timeout, PathGet, GetRequest{Key: key}, &e)
	return e, err
}

func (c *httpClient) List(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	var answer ListResponse
	err := c.call(ctx, c.timeout, PathList, ListRequest{Prefix: prefix, After: after, Limit: limit}, &answer)
	return answer.Entries, err
}

func (c *httpClient) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	var answer CompareAndSwapResponse
	request := CompareAndSwapRequest{Key: key, Expected: expected, Value: value, Lease: lease}
	err := c.call(ctx, c.timeout, PathCompareAndSwap, request, &answer)
	return answer.Revision, err
}

func (c *httpClient) Delete(ctx context.Context, key string, expected Revision) error {
	return c.call(ctx, c.timeout, PathDelete, DeleteRequest{Key: key, Expected: expected}, nil)
}

func (c *httpClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer LeaseBody
	err := c.call(ctx, c.timeout, PathGrant, GrantRequest{TTLMillis: ttl.Milliseconds()}, &answer)
	return answer.Lease, err
}

func (c *httpClient) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, c.timeout, PathKeepAlive, LeaseBody{Lease: lease}, nil)
}

func (c *httpClient) Revoke(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, c.timeout, PathRevoke, LeaseBody{Lease: lease}, nil)
}

// Watch gives up when no answer has come the call timeout after wait: the
// connection may have gone silent for good, which shows in nothing but that.
func (c *httpClient) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	var answer WatchResponse
	request := WatchRequest{Prefix: prefix, After: after, WaitMillis: wait.Milliseconds()}
	if err := c.call(ctx, wait+c.timeout, PathWatch, request, &answer); err != nil {
		return nil, after, err
	}
	return answer.Events, answer.Revision, nil
}

func (c *httpClient) call(ctx context.Context, timeout time.Duration, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	r.Header.Set("Content-Type", contentTypeJSON)
	response, err := c.http.Do(r)
	if err != nil {
		c.forget(ctx)
		return &UnavailableError{Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		c.forget(ctx)
		return &UnavailableError{Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return failure(path, response.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &UnavailableError{Err: fmt.Errorf("decode %s: %w", path, err)}
	}
	return nil
}

// forget closes the idle connections after a call that ran out of time. Open
// connections can go silent for good while new ones work, often all of them at
// once; it shows in nothing but calls that get no answer. The call's own
// connection is closed by its context, and this closes those that the next
// calls would wait on in vain.
func (c *httpClient) forget(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

func failure(path string, status int, data []byte) error {
	var body ErrorBody
	if json.Unmarshal(data, &body) == nil {
		if err := body.Err(); err != nil {
			return err
		}
	}
	return &UnavailableError{Err: &StatusError{Path: path, Status: status, Body: string(data)}}
}
