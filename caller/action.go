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

// Call is one call of a plain service.
type Call struct {
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Key makes the call run at most once; see NewKey. Empty for calls that the
	// manifest calls repeatable.
	Key string
}

// repeatable calls may be sent again where no answer came: those with a key,
// and those of safe methods (RFC 9110, section 9.2.1).
func (c Call) repeatable() bool {
	return c.Key != "" || c.Method == http.MethodGet || c.Method == http.MethodHead
}

// Answer is a runner's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

const (
	keySuffixBytes = 8
	pollInterval   = 200 * time.Millisecond
)

// NewKey makes an idempotency key that names its owner.
func (c *Client) NewKey(ctx context.Context) (string, error) {
	list, err := c.Gateways(ctx)
	if err != nil {
		return "", err
	}
	var b [keySuffixBytes]byte
	// crypto/rand.Read never fails: it ends the program instead.
	_, _ = rand.Read(b[:])
	return list.KeyToken + hex.EncodeToString(b[:]), nil
}

// Do sends a call. With a key it is repeated under that same key until its
// outcome is known or the system says that it can't be; a call without a key is
// repeated only where the system says that nothing ran.
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

// shouldRetry tells whether the same call may and should be sent shouldRetry. A key that
// was refused with executed "no" stays refused, since its owner keeps that
// answer; one whose outcome is "unknown" for now may be asked for shouldRetry under the
// same key as often as the system says when to come back.
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

// DoAction runs a call that may not be repeated, under a key of its own. Where the
// system says that nothing ran and when to come back, it comes back with a new
// token, which a refused key can't be used with.
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

// MayRetryWithNewKey tells whether a refused action may be asked for again under a new
// key: nothing ran, and nothing will under the old one.
func MayRetryWithNewKey(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Executed == refusal.ExecutedNo && refused.RetryAfterMillis > 0
}

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
		// A connection that went silent for good would hold the call for good.
		idleCtx, cancel := context.WithTimeout(ctx, c.c.IdleTimeout)
		defer cancel()
		ctx = idleCtx
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

// Outcome asks what became of an earlier call, until it is no longer pending.
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
