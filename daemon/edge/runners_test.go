package edge_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
)

// runner is one backend server. script answers an attempt; nil is a short 200.
type runner struct {
	mu       sync.Mutex
	attempts []*edge.Attempt
	script   func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error)
}

// play sets the script while requests may be under way.
func (r *runner) play(script func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = script
}

func (r *runner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

type runners struct {
	mu   sync.Mutex
	byID map[string]*runner
	// darkIDs don't answer health checks.
	darkIDs map[string]bool
}

func newRunners() *runners { return &runners{byID: map[string]*runner{}, darkIDs: map[string]bool{}} }

func (s *runners) add(id string) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &runner{}
	s.byID[id] = r
	return r
}

func (s *runners) Send(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
	s.mu.Lock()
	r := s.byID[a.Address]
	s.mu.Unlock()
	if r == nil {
		return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: net.ErrClosed}
	}
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	script := r.script
	r.mu.Unlock()
	if script != nil {
		return script(ctx, a)
	}
	time.Sleep(10 * time.Millisecond)
	return plain(http.StatusOK, "from "+a.Address), nil
}

func plain(status int, body string) *edge.Answer {
	return &edge.Answer{Status: status, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(bytes.NewBufferString(body))}
}

// events answers with a stream that fails with err after the given bytes.
func events(body string, err error) *edge.Answer {
	return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Body: io.NopCloser(io.MultiReader(bytes.NewBufferString(body), &failing{err}))}
}

type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }

func (s *runners) dark(id string, dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.darkIDs[id] = dark
}

func (s *runners) Healthy(ctx context.Context, address, _ string, _ ident.RunnerID) bool {
	s.mu.Lock()
	dark := s.darkIDs[address]
	s.mu.Unlock()
	if dark {
		<-ctx.Done()
	}
	return !dark
}

func (s *runners) Retain(map[string]bool) {}
