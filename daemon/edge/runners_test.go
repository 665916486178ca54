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

// runner is one fake runner. script answers an attempt; without a script the runner answers with
// status 200 after 10 ms.
type runner struct {
	mu       sync.Mutex
	attempts []*edge.Attempt
	script   func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error)
}

// setScript replaces the script; unlike an assignment it may be used while requests are in
// progress.
func (r *runner) setScript(script func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error)) {
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
	// unresponsiveIDs are the runners that don't answer health checks.
	unresponsiveIDs map[string]bool
	// babblingIDs are the runners that answer health checks with bytes that are no answer.
	babblingIDs map[string]bool
	// fallenIDs are the runners that accept no connections.
	fallenIDs map[string]bool
	// incarnations are what the runners say they are; empty for no answer, and runners that it lacks don't say.
	incarnations map[string]ident.RunnerID
	// onProbe is called with the address of each health check, unless it is nil.
	onProbe func(address string)
	// connectDelay is the time until a connection is open.
	connectDelay time.Duration
}

func (s *runners) setConnectDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectDelay = d
}

func newRunners() *runners {
	return &runners{byID: map[string]*runner{}, unresponsiveIDs: map[string]bool{}, babblingIDs: map[string]bool{}, fallenIDs: map[string]bool{}, incarnations: map[string]ident.RunnerID{}}
}

// fall lets a runner accept no connections, or accept them again. Its open connections are the script's.
func (s *runners) fall(id string, fallen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fallenIDs[id] = fallen
}

// setIncarnation sets what a runner says it is.
func (s *runners) setIncarnation(id string, says ident.RunnerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[id] = says
}

func (s *runners) add(id string) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &runner{}
	s.byID[id] = r
	return r
}

func (s *runners) Send(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
	s.mu.Lock()
	r, fallen, connectDelay := s.byID[a.Address], s.fallenIDs[a.Address], s.connectDelay
	says, answers := s.incarnations[a.Address]
	answers = !answers || says != ""
	s.mu.Unlock()
	if connectDelay > 0 {
		time.Sleep(connectDelay)
		if !a.Connected() {
			return nil, &edge.SendError{Reason: retry.Withdrawn, Err: net.ErrClosed}
		}
	}
	if r == nil || fallen {
		return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: net.ErrClosed}
	}
	if a.Identified != nil {
		a.Identified(says, answers)
		if !a.Connected() {
			return nil, &edge.SendError{Reason: retry.Withdrawn, Err: net.ErrClosed}
		}
	}
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	script := r.script
	r.mu.Unlock()
	if script != nil {
		return script(ctx, a)
	}
	time.Sleep(10 * time.Millisecond)
	return plainAnswer(http.StatusOK, "from "+a.Address), nil
}

func plainAnswer(status int, body string) *edge.Answer {
	return &edge.Answer{Status: status, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(bytes.NewBufferString(body))}
}

// eventAnswer returns an event stream whose body ends with err after the given bytes.
func eventAnswer(body string, err error) *edge.Answer {
	return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Body: io.NopCloser(io.MultiReader(bytes.NewBufferString(body), &failingReader{err}))}
}

type failingReader struct{ err error }

func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

func (s *runners) unresponsive(id string, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsiveIDs[id] = unresponsive
}

// babble lets a runner answer health checks with bytes that are no answer.
func (s *runners) babble(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.babblingIDs[id] = true
}

func (s *runners) CheckHealth(ctx context.Context, address, _ string, _ ident.RunnerID) edge.HealthAnswer {
	s.mu.Lock()
	unresponsive, babbling, fallen, onProbe := s.unresponsiveIDs[address], s.babblingIDs[address], s.fallenIDs[address], s.onProbe
	s.mu.Unlock()
	if onProbe != nil {
		onProbe(address)
	}
	if unresponsive {
		<-ctx.Done()
	}
	if babbling {
		return edge.HealthAnswer{Health: edge.NoAnswer, Heard: true}
	}
	if unresponsive || fallen {
		return edge.HealthAnswer{Health: edge.NoAnswer}
	}
	return edge.HealthAnswer{Health: edge.Healthy}
}

func (s *runners) Retain(map[string]bool) {}
