// Package caller is a client for the callers' API of geraniumstack. It fetches
// the list of gateways to use and caches it for its lifetime, continues at
// another gateway when a connection breaks or stalls, and never retries a call
// under a new key while the call may have run under the old one.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/gateway"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

// Config holds the caller's credentials and the addresses of the first
// gateways.
type Config struct {
	// Gateways lists the base URLs of gateways to ask first, such as
	// "http://127.0.0.1:7001".
	Gateways      []string
	Key           string
	FailureDomain ident.FailureDomain
	// HTTP is the client for all calls. It must not set a timeout, because that
	// would end long streams.
	HTTP *http.Client
	// IdleTimeout is how long a stream may carry no data, not even heartbeats,
	// before its connection counts as broken. It also bounds one attempt of a
	// repeatable call.
	IdleTimeout time.Duration
	// RetryTimeout bounds how long a call is retried; for a stream, the time
	// since its last progress.
	RetryTimeout time.Duration
}

const (
	defaultIdleTimeout  = 6 * time.Second
	defaultRetryTimeout = 30 * time.Second
	// minRetryDelay is the minimum delay between two attempts.
	minRetryDelay = 100 * time.Millisecond
	// attemptTimeout bounds one request for the gateway list.
	attemptTimeout = 2 * time.Second
	// acceptTimeout bounds how long a gateway may take to accept or refuse a
	// request.
	acceptTimeout  = 2 * time.Second
	maxAnswerBytes = 16 << 20
)

// Client sends calls to the gateways. It is safe for concurrent use.
type Client struct {
	c  Config
	mu sync.Mutex
	// list is the cached gateway list, valid until expires. The next list is
	// fetched from one of the URLs in bases.
	list    gateway.GatewayList
	expires time.Time
	bases   []string
}

// New returns a client. The client connects when the first call is made.
func New(c Config) *Client {
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.RetryTimeout == 0 {
		c.RetryTimeout = defaultRetryTimeout
	}
	if c.HTTP == nil {
		c.HTTP = httpanswer.NewClient()
	}
	return &Client{c: c, bases: c.Gateways}
}

// RefusedError is a refusal that a gateway returned, with its typed reason.
type RefusedError struct {
	Status int
	gateway.ErrorDetail
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (executed: %s): %s", e.Code, e.Executed, e.Message)
}

// BrokenError reports that a connection ended or stalled before a complete
// answer arrived.
type BrokenError struct{ Err error }

func (e *BrokenError) Error() string { return fmt.Sprintf("connection broken: %v", e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// NoGatewayError reports that no gateway answered in time.
type NoGatewayError struct{ Err error }

func (e *NoGatewayError) Error() string { return fmt.Sprintf("no gateway answered: %v", e.Err) }

// Unwrap returns the cause.
func (e *NoGatewayError) Unwrap() error { return e.Err }

// Gateways returns the cached gateway list, or fetches a new one when the
// cached list has expired.
func (c *Client) Gateways(ctx context.Context) (gateway.GatewayList, error) {
	c.mu.Lock()
	list, fresh := c.list, time.Now().Before(c.expires)
	bases := c.bases
	c.mu.Unlock()
	if fresh {
		return list, nil
	}
	var lastErr error
	for _, i := range rand.Perm(len(bases)) {
		list, err := c.fetchGateways(ctx, bases[i])
		if err == nil {
			c.storeGateways(list)
			return list, nil
		}
		lastErr = err
	}
	return gateway.GatewayList{}, &NoGatewayError{Err: lastErr}
}

func (c *Client) fetchGateways(ctx context.Context, base string) (gateway.GatewayList, error) {
	var list gateway.GatewayList
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodGet, base+"/v1/gateways?failure_domain="+url.QueryEscape(string(c.c.FailureDomain)), nil, nil)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return list, &BrokenError{Err: err}
	}
	return list, nil
}

// storeGateways caches the list. The next fetch asks the gateways in the list
// as well as the configured ones, because all configured ones may have been
// replaced by then.
func (c *Client) storeGateways(list gateway.GatewayList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = list
	c.expires = time.Now().Add(time.Duration(list.LifetimeMillis) * time.Millisecond)
	c.bases = append([]string{}, c.c.Gateways...)
	for _, g := range list.Gateways {
		c.bases = append(c.bases, "http://"+g.Address)
	}
}

// expireGateways makes the next call fetch the gateway list again.
func (c *Client) expireGateways() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// chooseGateway returns a random gateway, weighted as in the gateway list.
func (c *Client) chooseGateway(ctx context.Context) (string, error) {
	list, err := c.Gateways(ctx)
	if err != nil {
		return "", err
	}
	total := 0
	for _, g := range list.Gateways {
		total += g.Weight
	}
	if total == 0 {
		c.expireGateways()
		return "", &NoGatewayError{}
	}
	remaining := rand.IntN(total)
	for _, g := range list.Gateways {
		remaining -= g.Weight
		if remaining < 0 {
			return "http://" + g.Address, nil
		}
	}
	return "", &NoGatewayError{}
}

func (c *Client) do(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.c.Key)
	resp, err := c.c.HTTP.Do(req)
	if err != nil {
		return nil, &BrokenError{Err: err}
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get("X-Executed") == "" {
		defer resp.Body.Close()
		return nil, readRefusal(resp)
	}
	return resp, nil
}

func readRefusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &BrokenError{Err: err}
	}
	var body gateway.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &BrokenError{Err: fmt.Errorf("refusal with status %d: %w", resp.StatusCode, err)}
	}
	return &RefusedError{Status: resp.StatusCode, ErrorDetail: body.Error}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
