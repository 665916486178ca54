// Package jsoncall makes JSON calls over HTTP for the platform's clients: each
// once, bounded by its context, with errors that tell an answer from none.
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	maxAnswerBytes = 64 << 20
	contentType    = "application/json"
)

// StatusError says that the service answered with another status than 200.
type StatusError struct {
	Path   string
	Status int
	Body   []byte
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Body)
}

// NoAnswerError says that no answer came, or none that can be read. The call
// may have taken effect.
type NoAnswerError struct{ Err error }

func (e *NoAnswerError) Error() string { return fmt.Sprintf("no answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at base, for example
// "http://10.0.0.1:2379".
func New(base string, client *http.Client) *Client { return &Client{base: base, http: client} }

// Do sends request as JSON (nil is no body) and reads the answer into answer
// (nil is passed over). It repeats nothing: net/http sends a POST without an
// idempotency header again only if none of it was written. Errors of the call
// are *StatusError and *UnansweredError.
func (c *Client) Do(ctx context.Context, method, path string, request, answer any) error {
	return c.DoWithHeader(ctx, nil, method, path, request, answer)
}

// DoWithHeader is Do with header fields of the call's own.
func (c *Client) DoWithHeader(ctx context.Context, header http.Header, method, path string, request, answer any) error {
	r, err := c.request(ctx, method, path, request)
	if err != nil {
		return err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.dropIdleConnections(ctx)
		return &NoAnswerError{Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		c.dropIdleConnections(ctx)
		return &NoAnswerError{Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Path: path, Status: response.StatusCode, Body: data}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &NoAnswerError{Err: fmt.Errorf("decode %s: %w", path, err)}
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

// dropIdleConnections closes the idle connections after a call that ran out of time. Open
// connections can go silent for good while new ones work, often all of them at
// once; it shows in nothing but calls that get no answer. The call's own
// connection is closed by its context, and this closes those that the next
// calls would wait on in vain.
func (c *Client) dropIdleConnections(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// TypedErrorBody is the body of a protocol's answer other than 200.
type TypedErrorBody interface {
	// Err is the error that the body stands for, nil if it is none that is known.
	Err() error
}

// DecodeTypedError finds the protocol's error of type B in what a call returned. Anything else,
// and no answer at all, is what unknown makes of it.
func DecodeTypedError[B TypedErrorBody](err error, wrapUnknown func(error) error) error {
	if err == nil {
		return nil
	}
	var status *StatusError
	if !errors.As(err, &status) {
		return wrapUnknown(err)
	}
	var body B
	if json.Unmarshal(status.Body, &body) == nil {
		if typed := body.Err(); typed != nil {
			return typed
		}
	}
	return wrapUnknown(status)
}
