package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// CallerRequest is one request of a caller; each has an id of its own.
type CallerRequest struct {
	ID, Method, Host, Path, Body string
	// APIKey of the caller; empty is none.
	APIKey string
	// Timeout is how long the caller says that it will wait.
	Timeout time.Duration
	// SpoofedWorkspace is what a caller may claim to be; empty is nothing.
	SpoofedWorkspace string
}

// CallerResponse is what the caller got.
type CallerResponse struct {
	Status int
	Header http.Header
	Body   string
	// Truncated says that the body did not end as a whole one.
	Truncated bool
}

// Signature is the runner's mark on its answer; empty if it is none of a runner's.
func (a *CallerResponse) Signature() string { return a.Header.Get("X-Server-Signature") }

// SendRequest sends an attempt to a daemon's address and reads the answer as far as it comes. An
// error means that there was none.
func SendRequest(ctx context.Context, client *http.Client, address string, a *CallerRequest) (*CallerResponse, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+address+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	// With it net/http's client repeats some requests by itself.
	req.GetBody = nil
	req.Host = a.Host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(a.Timeout.Milliseconds()))
	if a.SpoofedWorkspace != "" {
		req.Header.Set("X-Tenant", a.SpoofedWorkspace)
	}
	if a.APIKey != "" {
		req.Header.Set("Authorization", "Token "+a.APIKey)
	}
	response, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return &CallerResponse{Status: response.StatusCode, Header: response.Header, Body: string(body), Truncated: err != nil}, nil
}
