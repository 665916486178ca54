package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Attempt is one request of a caller; each has an id of its own.
type Attempt struct {
	ID, Method, Host, Path, Body string
	// Key of the caller; empty is none.
	Key string
	// Patience is how long the caller says that it will wait.
	Patience time.Duration
	// ForgedWorkspace is what a caller may claim to be; empty is nothing.
	ForgedWorkspace string
}

// Answer is what the caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Cut says that the body did not end as a whole one.
	Cut bool
}

// Signature is the runner's mark on its answer; empty if it is none of a runner's.
func (a *Answer) Signature() string { return a.Header.Get("X-Server-Signature") }

// Ask sends an attempt to a daemon's address and reads the answer as far as it comes. An
// error means that there was none.
func Ask(ctx context.Context, client *http.Client, address string, a *Attempt) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+address+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	// With it net/http's client repeats some requests by itself.
	req.GetBody = nil
	req.Host = a.Host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(a.Patience.Milliseconds()))
	if a.ForgedWorkspace != "" {
		req.Header.Set("X-Tenant", a.ForgedWorkspace)
	}
	if a.Key != "" {
		req.Header.Set("Authorization", "Token "+a.Key)
	}
	answer, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return &Answer{Status: answer.StatusCode, Header: answer.Header, Body: string(body), Cut: err != nil}, nil
}
