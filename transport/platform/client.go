package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// DefaultCallTimeout bounds one call, and a wait for notices beyond its own.
const DefaultCallTimeout = 5 * time.Second

const (
	maxAnswerBytes = 64 << 20
	contentType    = "application/json"
)

// StatusError says that an answer is none of the protocol's.
type StatusError struct {
	Path   string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Body)
}

// Client talks to the cloud API, the VM list and the weight store, each at its
// own base URL; it implements Cloud, Lister and Weights. It repeats no start
// and no stop: a start may be repeated by its caller with the same token.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var (
	_ Cloud   = (*Client)(nil)
	_ Lister  = (*Client)(nil)
	_ Weights = (*Client)(nil)
)

// NewClient returns a client of the service at base, for example
// "http://10.0.0.1:8080".
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client, timeout: DefaultCallTimeout}
}

// NewHTTPCloud returns a client of the cloud API at base.
func NewHTTPCloud(base string, client *http.Client) Cloud { return NewClient(base, client) }

// NewHTTPLister returns a client of the VM list at base.
func NewHTTPLister(base string, client *http.Client) Lister { return NewClient(base, client) }

// NewHTTPWeights returns a client of the weight store at base.
func NewHTTPWeights(base string, client *http.Client) Weights { return NewClient(base, client) }

// Start implements Cloud.
func (c *Client) Start(ctx context.Context, r StartRequest) (VM, error) {
	var vm VM
	err := c.call(ctx, c.timeout, http.MethodPost, PathStart, r, &vm)
	return vm, err
}

// Stop implements Cloud.
func (c *Client) Stop(ctx context.Context, id string, fencing uint64) error {
	return c.call(ctx, c.timeout, http.MethodPost, PathStop, StopRequest{ID: id, Fencing: fencing}, nil)
}

// Quotes implements Cloud.
func (c *Client) Quotes(ctx context.Context) ([]Quote, error) {
	var answer QuotesResponse
	err := c.call(ctx, c.timeout, http.MethodGet, PathQuotes, nil, &answer)
	return answer.Quotes, err
}

// Notices implements Cloud. It gives up the call timeout after wait: a
// connection that has gone silent for good shows in nothing but that.
func (c *Client) Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error) {
	query := url.Values{}
	query.Set(ParamAfter, strconv.FormatUint(after, 10))
	query.Set(ParamWait, strconv.FormatInt(wait.Milliseconds(), 10))
	var answer NoticesResponse
	err := c.call(ctx, wait+c.timeout, http.MethodGet, PathNotices+"?"+query.Encode(), nil, &answer)
	return answer.Notices, err
}

// List implements Lister.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	var answer ListResponse
	err := c.call(ctx, c.timeout, http.MethodGet, PathVMs, nil, &answer)
	return answer.VMs, err
}

// Stat implements Weights.
func (c *Client) Stat(ctx context.Context, name, version string) (Weight, error) {
	query := url.Values{}
	query.Set(ParamName, name)
	query.Set(ParamVersion, version)
	var weight Weight
	err := c.call(ctx, c.timeout, http.MethodGet, PathWeights+"?"+query.Encode(), nil, &weight)
	return weight, err
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.request(ctx, method, path, request)
	if err != nil {
		return err
	}
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

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", path, err)
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", path, err)
	}
	if body != nil {
		r.Header.Set("Content-Type", contentType)
	}
	return r, nil
}

// forget closes the idle connections after a call that ran out of time. Open
// connections can go silent for good while new ones work, often all of them at
// once; it shows in nothing but calls that get no answer. The call's own
// connection is closed by its context, and this closes those that the next
// calls would wait on in vain.
func (c *Client) forget(ctx context.Context) {
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
