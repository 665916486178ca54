package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallerRequest is one HTTP request of a caller. Every request has a unique ID.
type CallerRequest struct {
	ID, Method, Host, Path, Body string
	// APIKey is sent in the Authorization header unless it is empty.
	APIKey string
	// Timeout is sent to the daemon as the time that the caller will wait.
	Timeout time.Duration
	// SpoofedWorkspace is sent in the X-Tenant header, which only a daemon
	// may set, unless it is empty.
	SpoofedWorkspace string
	// Resumes and LastEventID name the request that began the stream to resume, and the last event
	// that the caller has; empty for a new stream.
	Resumes, LastEventID string
	// PromptPrefix lists the parts of the prompt unless it is empty.
	PromptPrefix string
	// PromptTokens and OutputTokens are the stated sizes of the prompt and of the answer; none is stated
	// where both are zero.
	PromptTokens, OutputTokens int
}

// CallerResponse is the response that a caller received.
type CallerResponse struct {
	Status int
	Header http.Header
	Body   string
	// Truncated reports whether the connection failed before the body was complete.
	Truncated bool
}

// Signature returns the signature that runners add to their responses. It is empty
// for responses that a daemon made itself.
func (a *CallerResponse) Signature() string { return a.Header.Get("X-Server-Signature") }

// RetryAfter returns the time after which a refused caller is asked to come back, and whether one is stated.
func (a *CallerResponse) RetryAfter() (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}

// SendRequest sends a request to a daemon's address and reads the response as far as it
// arrives. It returns an error only if no response header arrived.
func SendRequest(ctx context.Context, client *http.Client, address string, a *CallerRequest) (*CallerResponse, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+address+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return nil, fmt.Errorf("create request to %s: %w", address, err)
	}
	// With GetBody set, net/http's client retries some requests by itself.
	req.GetBody = nil
	req.Host = a.Host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(a.Timeout.Milliseconds()))
	if a.SpoofedWorkspace != "" {
		req.Header.Set("X-Tenant", a.SpoofedWorkspace)
	}
	if a.LastEventID != "" {
		req.Header.Set("Resumes", a.Resumes)
		req.Header.Set("Last-Event-Id", a.LastEventID)
	}
	if a.PromptPrefix != "" {
		req.Header.Set("X-Prompt-Prefix", a.PromptPrefix)
	}
	if a.PromptTokens+a.OutputTokens > 0 {
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", a.PromptTokens, a.OutputTokens))
	}
	if a.APIKey != "" {
		req.Header.Set("Authorization", "Token "+a.APIKey)
	}
	response, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request to %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return &CallerResponse{Status: response.StatusCode, Header: response.Header, Body: string(body), Truncated: err != nil}, nil
}
