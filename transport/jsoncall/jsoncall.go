// Package jsoncall makes JSON calls over HTTP. It sends each call once, within its context's
// deadline, and its errors distinguish a call that was answered from one whose outcome is unknown.
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
	// maxErrorTextBytes bounds what an error's text quotes of an answer, since the text is logged.
	maxErrorTextBytes = 256
	contentType       = "application/json"
)

// StatusError says that the service answered with a status other than 200.
type StatusError struct {
	Path   string
	Status int
	Body   []byte
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Body[:min(len(e.Body), maxErrorTextBytes)])
}

// NoAnswerError says that no answer arrived or that the answer couldn't be read. The call may have
// taken effect.
type NoAnswerError struct{ Err error }

func (e *NoAnswerError) Error() string { return fmt.Sprintf("no answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at the URL base, for example "http://10.0.0.1:2379".
func New(base string, client *http.Client) *Client { return &Client{base: base, http: client} }

// Do sends request as JSON, or an empty body if it is nil, and decodes the answer into answer
// unless it is nil. It doesn't retry, and net/http retries a POST without an idempotency header
// only if nothing of it was written. A call that fails returns a *StatusError or a *NoAnswerError.
func (c *Client) Do(ctx context.Context, method, path string, request, answer any) error {
	return c.DoWithHeader(ctx, nil, method, path, request, answer)
}

// DoWithHeader is like Do, with additional header fields.
func (c *Client) DoWithHeader(ctx context.Context, header http.Header, method, path string, request, answer any) error {
	_, err := c.DoForHeader(ctx, header, method, path, request, answer)
	return err
}

// DoForHeader is like DoWithHeader, and returns the header of the answer, also of one with another
// status than 200; nil if no answer arrived.
func (c *Client) DoForHeader(ctx context.Context, header http.Header, method, path string, request, answer any) (http.Header, error) {
	r, err := c.request(ctx, method, path, request)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.dropIdleConnections(ctx)
		return nil, &NoAnswerError{Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		c.dropIdleConnections(ctx)
		return nil, &NoAnswerError{Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return response.Header, &StatusError{Path: path, Status: response.StatusCode, Body: data}
	}
	if answer == nil {
		return response.Header, nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return response.Header, &NoAnswerError{Err: fmt.Errorf("decode %s: %w", path, err)}
	}
	return response.Header, nil
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

// dropIdleConnections closes the client's idle connections if the call with the context ctx timed
// out. Often all open connections to a server stop working at the same time while new ones work,
// and the only sign is that calls get no answer. The timed-out call's own connection is closed by
// ctx. Closing the idle connections keeps the next calls from timing out on them.
func (c *Client) dropIdleConnections(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// TypedErrorBody is the body of an answer whose status isn't 200.
type TypedErrorBody interface {
	// Err returns the error that the body describes, or nil if the body describes no known error.
	Err() error
}

// DecodeTypedError converts an error of Do. If the service answered with a known error in a body of
// type B, DecodeTypedError returns that error. It wraps any other error with wrapUnknown.
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
