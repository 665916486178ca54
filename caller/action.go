package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// Call is a request to a plain service.
type Call struct {
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Key is the idempotency key that makes the call run at most once; see
	// NewKey. It is empty for calls that the manifest marks as repeatable.
	Key string
}

// repeatable reports whether the call may be sent again if no answer arrived.
// This holds for calls with a key and for calls with safe methods (RFC 9110,
// section 9.2.1).
func (c Call) repeatable() bool {
	return c.Key != "" || c.Method == http.MethodGet || c.Method == http.MethodHead
}

// Answer is a runner's response to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

const (
	// keySuffixBytes is the number of random bytes in an idempotency key.
	keySuffixBytes = 8
	// pollInterval is the delay between two polls of a pending call's outcome.
	pollInterval = 200 * time.Millisecond
)

// NewKey returns a new idempotency key. It begins with the key token from the
// gateway list, which identifies the daemon that owns the key.
func (c *Client) NewKey(ctx context.Context) (string, error) {
	list, err := c.Gateways(ctx)
	if err != nil {
		return "", err
	}
	var b [keySuffixBytes]byte
	// crypto/rand.Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(b[:])
	return list.KeyToken + hex.EncodeToString(b[:]), nil
}

// Do sends a call. A call with a key is retried under the same key until its
// outcome is known or a gateway says that it cannot be known. Other calls are
// retried if no answer arrived and they are repeatable, or if the refusal says
// that nothing ran.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	deadline := time.Now().Add(c.c.RetryTimeout)
	for {
		answer, err := c.send(ctx, call)
		if err == nil || ctx.Err() != nil || !c.shouldRetry(call, err) || time.Now().After(deadline) {
			return answer, err
		}
		pause(ctx, retryDelay(err))
	}
}

// shouldRetry reports whether the same call may be sent again after err. A key
// that was refused with executed "no" stays refused, because its owner keeps
// that answer. A call whose outcome is "unknown" may be retried under the same
// key as long as the refusals give a time to retry.
func (c *Client) shouldRetry(call Call, err error) bool {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		c.expireGateways()
		return call.repeatable()
	}
	if concernsOneGateway(refused) {
		c.expireGateways()
	}
	if call.Key == "" {
		return MayRetryWithNewKey(err)
	}
	return refused.Executed == refusal.ExecutedUnknown && refused.RetryAfterMillis > 0
}

// DoAction runs a call that must not run twice, under a new key. If the refusal
// says that nothing ran and gives a time to retry, DoAction retries under a key
// with a new key token, because the refused key cannot be used again.
func (c *Client) DoAction(ctx context.Context, call Call) (Answer, error) {
	deadline := time.Now().Add(c.c.RetryTimeout)
	for {
		key, err := c.NewKey(ctx)
		if err != nil {
			return Answer{}, err
		}
		call.Key = key
		answer, err := c.Do(ctx, call)
		if err == nil || !MayRetryWithNewKey(err) || ctx.Err() != nil || time.Now().After(deadline) {
			return answer, err
		}
		c.expireGateways()
		pause(ctx, retryDelay(err))
	}
}

// MayRetryWithNewKey reports whether a refused action may be retried under a
// new key: nothing ran, and nothing will run under the old key.
func MayRetryWithNewKey(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Executed == refusal.ExecutedNo && refused.RetryAfterMillis > 0
}

// retryDelay returns the delay before a retry: the one that the refusal asks
// for, but at least minRetryDelay.
func retryDelay(err error) time.Duration {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return max(time.Duration(refused.RetryAfterMillis)*time.Millisecond, minRetryDelay)
	}
	return minRetryDelay
}

func (c *Client) send(ctx context.Context, call Call) (Answer, error) {
	base, err := c.chooseGateway(ctx)
	if err != nil {
		return Answer{}, err
	}
	if call.repeatable() {
		// Without a timeout, a stalled connection would block the call forever.
		boundedCtx, cancel := context.WithTimeout(ctx, c.c.IdleTimeout)
		defer cancel()
		ctx = boundedCtx
	}
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if call.Key != "" {
		header.Set("Idempotency-Key", call.Key)
	}
	resp, err := c.do(ctx, call.Method, base+"/v1/services/"+call.Service+call.Path, header, call.Body)
	return readAnswer(resp, err)
}

func readAnswer(resp *http.Response, err error) (Answer, error) {
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, &BrokenError{Err: err}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Outcome returns the outcome of an earlier call by its key. It polls until the
// call is no longer pending.
func (c *Client) Outcome(ctx context.Context, key string) (Answer, error) {
	for {
		base, err := c.chooseGateway(ctx)
		if err != nil {
			return Answer{}, err
		}
		answer, err := readAnswer(c.do(ctx, http.MethodGet, base+"/v1/actions/"+url.PathEscape(key), nil, nil))
		if err != nil || answer.Status != http.StatusAccepted {
			return answer, err
		}
		pause(ctx, pollInterval)
		if ctx.Err() != nil {
			return Answer{}, &BrokenError{Err: ctx.Err()}
		}
	}
}
