package cloudapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"geraniumstack.org/geraniumstack/transport/jsoncall"
)

// DefaultCallTimeout is the timeout of a call. Notices may last this long beyond its wait.
const DefaultCallTimeout = 5 * time.Second

// Client calls the cloud API, the VM list or the weight store at a base URL. It implements Cloud,
// VMLister and WeightStore. It doesn't retry starts and stops. A caller may retry a start with the
// same token.
type Client struct {
	json    *jsoncall.Client
	timeout time.Duration
}

var (
	_ Cloud       = (*Client)(nil)
	_ VMLister    = (*Client)(nil)
	_ WeightStore = (*Client)(nil)
)

// NewClient returns a client of the service at the URL base, for example "http://10.0.0.1:8080".
func NewClient(base string, client *http.Client) *Client {
	return &Client{json: jsoncall.New(base, client), timeout: DefaultCallTimeout}
}

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

// Notices implements Cloud. It times out if no answer arrives within wait plus the call timeout. A
// connection may be lost without an error, and then a missing answer is the only sign.
func (c *Client) Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error) {
	query := url.Values{}
	query.Set(ParamAfter, strconv.FormatUint(after, 10))
	query.Set(ParamWait, strconv.FormatInt(wait.Milliseconds(), 10))
	var answer NoticesResponse
	err := c.call(ctx, wait+c.timeout, http.MethodGet, PathNotices+"?"+query.Encode(), nil, &answer)
	return answer.Notices, err
}

// List implements VMLister.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	var answer ListResponse
	err := c.call(ctx, c.timeout, http.MethodGet, PathVMs, nil, &answer)
	return answer.VMs, err
}

// Stat implements WeightStore.
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
	return typedError(c.json.Do(ctx, method, path, request, answer))
}

// typedError returns the error that the service's answer names. Without an answer, or with one that
// isn't part of the protocol, it returns an *UnavailableError: the outcome of the call is unknown.
func typedError(err error) error {
	return jsoncall.DecodeTypedError[ErrorBody](err, func(err error) error { return &UnavailableError{Err: err} })
}
