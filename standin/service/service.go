// Package service is a stand-in for a plain service whose calls may not all be
// repeated: bounty pledges, case closures and slot bookings. It counts how
// often each action was executed. docs/protocols/service.md describes it.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/jsonhttp"
)

const (
	// ActionHeader names the action that a call carries out.
	ActionHeader = "X-Geranium-Action"
	// NotExecutedHeader with value NotExecuted marks a refusal before any of
	// the call was run.
	NotExecutedHeader = "X-Not-Executed"
	// NotExecuted is the value of NotExecutedHeader.
	NotExecuted = "1"
)

// Admin paths of the stand-in.
const (
	// PathFaults takes GET for the switches and PUT to replace them.
	PathFaults = "/faults"
	// PathExecutions takes GET for the counts by action.
	PathExecutions = "/executions"
	// PathNotice takes POST and makes the service refuse all that is new.
	PathNotice = "/faults/notice"
	// PathDie takes POST and breaks all connections.
	PathDie = "/faults/die"
)

const maxBodyBytes = 16 << 20

// Faults are the switches of a service; the zero value is a healthy one. The
// counted ones befall the next calls that are not of an admin path.
type Faults struct {
	// CloseAfterRead reads the next calls whole, does not execute them and
	// closes the connection without an answer.
	CloseAfterRead int `json:"close_after_read,omitempty"`
	// CloseAfterExecute executes the next calls and closes the connection
	// without an answer.
	CloseAfterExecute int `json:"close_after_execute,omitempty"`
	// RefuseBefore refuses the next calls with 503 and NotExecutedHeader.
	RefuseBefore int `json:"refuse_before,omitempty"`
	// FailAfter executes the next calls and answers 500 all the same.
	FailAfter int `json:"fail_after,omitempty"`
	// HangSilently executes the next calls and never answers; the connection
	// stays open.
	HangSilently int `json:"hang_silently,omitempty"`
	// DelayMillis is waited between executing and answering each call.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// ExecuteDelayMillis is waited before executing each call, which is done
	// although the caller has gone meanwhile.
	ExecuteDelayMillis int64 `json:"execute_delay_ms,omitempty"`
}

// Execution is one run of a call.
type Execution struct {
	Action string `json:"action"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body,omitempty"`
	// Number counts the service's executions from 1.
	Number int `json:"number"`
}

// CallResponse is the JSON body of an executed call.
type CallResponse struct {
	Runner string `json:"runner"`
	Action string `json:"action,omitempty"`
	Number int    `json:"number"`
	// Echo is the call's body.
	Echo string `json:"echo,omitempty"`
}

// ExecutionLog records the executions of all runners of a service. It is safe for
// concurrent use.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
	counts     map[string]int
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{counts: map[string]int{}} }

func (l *ExecutionLog) add(e Execution) Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Number = len(l.executions) + 1
	l.executions = append(l.executions, e)
	if e.Action != "" {
		l.counts[e.Action]++
	}
	return e
}

// Count is how often an action was executed.
func (l *ExecutionLog) Count(action string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[action]
}

// Counts is how often each action was executed.
func (l *ExecutionLog) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.counts))
	for action, n := range l.counts {
		counts[action] = n
	}
	return counts
}

// ExecutedRepeatedly lists the actions that were executed more than once, sorted.
func (l *ExecutionLog) ExecutedRepeatedly() []string {
	var repeated []string
	for action, n := range l.Counts() {
		if n > 1 {
			repeated = append(repeated, action)
		}
	}
	sort.Strings(repeated)
	return repeated
}

// Executions lists all runs in order.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Service is one runner of a plain service. It is safe for concurrent use.
type Service struct {
	runner string
	log    *ExecutionLog
	died   chan struct{}

	mu      sync.Mutex
	faults  Faults
	leaving bool
	dead    bool
}

// New returns a runner that records its executions in log.
func New(runner string, log *ExecutionLog) *Service {
	return &Service{runner: runner, log: log, died: make(chan struct{})}
}

// SetFaults replaces all switches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the switches as they stand.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Notice makes the service refuse new calls, truthfully, from now on.
func (s *Service) Notice() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Die breaks all connections, now and later.
func (s *Service) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		s.dead = true
		close(s.died)
	}
}

// Handler serves every path as a call of the service, but for the admin paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	jsonhttp.Switches(mux, PathFaults, s.Faults, s.SetFaults)
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.log.Counts())
	})
	mux.HandleFunc("POST "+PathNotice, func(w http.ResponseWriter, _ *http.Request) {
		s.Notice()
		jsonhttp.Write(w, http.StatusOK, jsonhttp.Empty{})
	})
	mux.HandleFunc("POST "+PathDie, func(w http.ResponseWriter, _ *http.Request) {
		s.Die()
		jsonhttp.Write(w, http.StatusOK, jsonhttp.Empty{})
	})
	return mux
}

// outcome is what befalls one call.
type outcome int

const (
	responded outcome = iota
	closedBeforeExecution
	closedAfterExecution
	refusedBeforeExecution
	failedAfterExecution
	hung
)

func decrement(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) nextOutcome() outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	switch {
	case s.dead:
		return closedBeforeExecution
	case s.leaving || decrement(&f.RefuseBefore):
		return refusedBeforeExecution
	case decrement(&f.CloseAfterRead):
		return closedBeforeExecution
	case decrement(&f.CloseAfterExecute):
		return closedAfterExecution
	case decrement(&f.FailAfter):
		return failedAfterExecution
	case decrement(&f.HangSilently):
		return hung
	default:
		return responded
	}
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	if _, err := io.Copy(&body, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		w.Header().Set(NotExecutedHeader, NotExecuted)
		jsonhttp.Write(w, http.StatusBadRequest, jsonhttp.Failure{Error: err.Error()})
		return
	}
	callOutcome := s.nextOutcome()
	switch callOutcome {
	case closedBeforeExecution:
		panic(http.ErrAbortHandler)
	case refusedBeforeExecution:
		w.Header().Set(NotExecutedHeader, NotExecuted)
		jsonhttp.Write(w, http.StatusServiceUnavailable, jsonhttp.Failure{Error: "refused before running"})
		return
	}
	f := s.Faults()
	s.wait(context.WithoutCancel(r.Context()), f.ExecuteDelayMillis)
	e := s.log.add(Execution{Action: r.Header.Get(ActionHeader), Method: r.Method, Path: r.URL.Path, Body: body.Bytes()})
	s.wait(r.Context(), f.DelayMillis)
	s.respond(w, r, callOutcome, e)
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, callOutcome outcome, e Execution) {
	switch callOutcome {
	case closedAfterExecution:
		panic(http.ErrAbortHandler)
	case failedAfterExecution:
		jsonhttp.Write(w, http.StatusInternalServerError, jsonhttp.Failure{Error: "failed after running"})
	case hung:
		s.wait(r.Context(), foreverMillis)
		panic(http.ErrAbortHandler)
	default:
		jsonhttp.Write(w, http.StatusOK, CallResponse{Runner: s.runner, Action: e.Action, Number: e.Number, Echo: string(e.Body)})
	}
}

const foreverMillis = int64(365*24*time.Hour) / int64(time.Millisecond)

// wait ends early when the caller has gone; a service that has died meanwhile
// does nothing more.
func (s *Service) wait(ctx context.Context, millis int64) {
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.died:
		panic(http.ErrAbortHandler)
	}
}
