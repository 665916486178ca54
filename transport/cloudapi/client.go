package cloudapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"geraniumstack.org/geraniumstack/transport/jsoncall"
)

// DefaultCallTimeout bounds one call, and a wait for notices beyond its own.
const DefaultCallTimeout = 5 * time.Second

// Client talks to the cloud API, the VM list and the weight store, each at its
// own base URL; it implements Cloud, Lister and Weights. It repeats no start
// and no stop: a start may be repeated by its caller with the same token.
type Client struct {
	json    *jsoncall.Client
	timeout time.Duration
}

var (
	_ Cloud       = (*Client)(nil)
	_ VMLister    = (*Client)(nil)
	_ WeightStore = (*Client)(nil)
)

// NewClient returns a client of the service at base, for example
// "http://10.0.0.1:8080".
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
	return typedError(c.json.Do(ctx, method, path, request, answer))
}

// typedError finds the protocol's error in an answer; what is none of it, or no
// answer at all, leaves the outcome open.
func typedError(err error) error {
	return jsoncall.DecodeTypedError[ErrorBody](err, func(err error) error { return &UnavailableError{Err: err} })
}
