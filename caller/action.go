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
	pollPause      = 200 * time.Millisecond
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
	until := time.Now().Add(c.c.Patience)
	for {
		answer, err := c.once(ctx, call)
		if err == nil || ctx.Err() != nil || !c.again(call, err) || time.Now().After(until) {
			return answer, err
		}
		pause(ctx, waitAfter(err))
	}
}

// again tells whether the same call may and should be sent again. A key that
// was refused with executed "no" stays refused, since its owner keeps that
// answer; one whose outcome is "unknown" for now may be asked for again under the
// same key as often as the system says when to come back.
func (c *Client) again(call Call, err error) bool {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		c.forget()
		return call.repeatable()
	}
	if goesElsewhere(refused) {
		c.forget()
	}
	if call.Key == "" {
		return Renewable(err)
	}
	return refused.Executed == refusal.ExecutedUnknown && refused.RetryAfterMillis > 0
}

// Act runs a call that may not be repeated, under a key of its own. Where the
// system says that nothing ran and when to come back, it comes back with a new
// token, which a refused key can't be used with.
func (c *Client) Act(ctx context.Context, call Call) (Answer, error) {
	until := time.Now().Add(c.c.Patience)
	for {
		key, err := c.NewKey(ctx)
		if err != nil {
			return Answer{}, err
		}
		call.Key = key
		answer, err := c.Do(ctx, call)
		if err == nil || !Renewable(err) || ctx.Err() != nil || time.Now().After(until) {
			return answer, err
		}
		c.forget()
		pause(ctx, waitAfter(err))
	}
}

// Renewable tells whether a refused action may be asked for again under a new
// key: nothing ran, and nothing will under the old one.
func Renewable(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Executed == refusal.ExecutedNo && refused.RetryAfterMillis > 0
}

func waitAfter(err error) time.Duration {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return max(time.Duration(refused.RetryAfterMillis)*time.Millisecond, retryPause)
	}
	return retryPause
}

func (c *Client) once(ctx context.Context, call Call) (Answer, error) {
	base, err := c.choose(ctx)
	if err != nil {
		return Answer{}, err
	}
	if call.repeatable() {
		// A connection that went silent for good would hold the call for good.
		bounded, cancel := context.WithTimeout(ctx, c.c.Silence)
		defer cancel()
		ctx = bounded
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
		base, err := c.choose(ctx)
		if err != nil {
			return Answer{}, err
		}
		answer, err := readAnswer(c.do(ctx, http.MethodGet, base+"/v1/actions/"+url.PathEscape(key), nil, nil))
		if err != nil || answer.Status != http.StatusAccepted {
			return answer, err
		}
		pause(ctx, pollPause)
		if ctx.Err() != nil {
			return Answer{}, &BrokenError{Err: ctx.Err()}
		}
	}
}
