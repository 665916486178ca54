package bed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Request is one attempt of a consumer.
type Request struct {
	Path, Key, Usage, Prefix, Body string
	Deadline                       time.Duration
}

// Answer is what the consumer got.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	// Err is set if the answer isn't whole.
	Err  error
	Sent time.Time
	Took time.Duration
}

// Served reports whether the answer is a success with a runner's MAC.
func (a *Answer) Served() bool {
	return a.Err == nil && a.Status == http.StatusOK && a.Header.Get("X-Server-Signature") != ""
}

// NewID returns an ID of a consumer attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Client returns a client with connections of its own, that repeats nothing by itself.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 5 * time.Second}}
}

// Send sends a request to an address and reads the answer.
func Send(ctx context.Context, c *http.Client, address string, r Request) *Answer {
	a := &Answer{ID: NewID(), Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	q.GetBody = nil
	q.Host = Host
	q.Header.Set("X-Request-Id", a.ID)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	if r.Key != "" {
		q.Header.Set("Authorization", "Token "+r.Key)
	}
	if r.Usage != "" {
		q.Header.Set("X-Token-Usage", r.Usage)
	}
	if strings.Contains(r.Path, "/stream/") {
		q.Header.Set("X-Model", "m")
	}
	if r.Prefix != "" {
		q.Header.Set("X-Prompt-Prefix", r.Prefix)
	}
	answer, err := c.Do(q)
	if err != nil {
		a.Err, a.Took = err, time.Since(a.Sent)
		return a
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	a.Status, a.Header, a.Body, a.Err, a.Took = answer.StatusCode, answer.Header, string(body), err, time.Since(a.Sent)
	return a
}
