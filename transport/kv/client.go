package kv

import (
	"context"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/transport/jsoncall"
)

// DefaultCallTimeout is the timeout of a call. A watch may last this long beyond its wait.
const DefaultCallTimeout = 2 * time.Second

// Option configures a client.
type Option func(*httpClient)

// WithCallTimeout replaces DefaultCallTimeout.
func WithCallTimeout(d time.Duration) Option {
	return func(c *httpClient) { c.timeout = d }
}

type httpClient struct {
	json    *jsoncall.Client
	timeout time.Duration
}

var _ Store = (*httpClient)(nil)

// NewHTTPClient returns a Store that calls the service at the URL base, for example
// "http://10.0.0.1:2379". It doesn't retry calls.
func NewHTTPClient(base string, client *http.Client, options ...Option) Store {
	c := &httpClient{json: jsoncall.New(base, client), timeout: DefaultCallTimeout}
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

// Watch times out if no answer arrives within wait plus the call timeout. A connection may be lost
// without an error, and then a missing answer is the only sign.
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
	return typedError(c.json.Do(ctx, http.MethodPost, path, request, answer))
}

// typedError returns the error that the service's answer names. Without an answer, or with one that
// isn't part of the protocol, it returns an *UnavailableError: the outcome of the call is unknown.
func typedError(err error) error {
	return jsoncall.DecodeTypedError[ErrorBody](err, func(err error) error { return &UnavailableError{Err: err} })
}
