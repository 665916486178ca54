package kv

import (
	"context"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/transport/jsoncall"
)

// DefaultCallTimeout bounds one call, and a watch beyond its own wait.
const DefaultCallTimeout = 2 * time.Second

// Option changes a client.
type Option func(*httpClient)

// WithCallTimeout sets the bound on one call in place of DefaultCallTimeout.
func WithCallTimeout(d time.Duration) Option {
	return func(c *httpClient) { c.timeout = d }
}

type httpClient struct {
	json    *jsoncall.Client
	timeout time.Duration
}

var _ Store = (*httpClient)(nil)

// NewHTTPClient returns a Store that talks to the service at base, for example
// "http://10.0.0.1:2379". It repeats no call.
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
	return typedError(c.json.Do(ctx, http.MethodPost, path, request, answer))
}

// typedError finds the protocol's error in an answer; what is none of it, or no
// answer at all, leaves the outcome open.
func typedError(err error) error {
	return jsoncall.DecodeTypedError[ErrorBody](err, func(err error) error { return &UnavailableError{Err: err} })
}
