// Package service is a stand-in for a plain service some of whose calls must
// not be repeated: bounty pledges, case closures and slot bookings. It counts
// the executions of every action. docs/protocols/service.md describes the
// protocol.
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
	// ActionHeader is the header with the ID of the action that a call
	// executes.
	ActionHeader = "X-Geranium-Action"
	// NotExecutedHeader with the value NotExecuted marks the refusal of a
	// call of which nothing was executed.
	NotExecutedHeader = "X-Not-Executed"
	// NotExecuted is the value of NotExecutedHeader.
	NotExecuted = "1"
)

// Admin paths of the stand-in.
const (
	// PathFaults takes GET to read the injected faults and PUT to replace
	// them.
	PathFaults = "/faults"
	// PathExecutions takes GET for the number of executions of each action.
	PathExecutions = "/executions"
	// PathNotice takes POST. After it, the service refuses all new calls.
	PathNotice = "/faults/notice"
	// PathDie takes POST and aborts all connections.
	PathDie = "/faults/die"
)

const maxBodyBytes = 16 << 20

// Faults are the injected faults of a service; the zero value injects none. A
// count applies to the next calls, not including calls of the admin paths.
type Faults struct {
	// CloseAfterRead reads the next calls completely and closes the
	// connection without executing the call or responding.
	CloseAfterRead int `json:"close_after_read,omitempty"`
	// CloseAfterExecute executes the next calls and closes the connection
	// without a response.
	CloseAfterExecute int `json:"close_after_execute,omitempty"`
	// RefuseBefore refuses the next calls with status 503 and
	// NotExecutedHeader.
	RefuseBefore int `json:"refuse_before,omitempty"`
	// FailAfter executes the next calls but responds with status 500.
	FailAfter int `json:"fail_after,omitempty"`
	// HangSilently executes the next calls and never responds; the connection
	// stays open.
	HangSilently int `json:"hang_silently,omitempty"`
	// DelayMillis is the delay between the execution of a call and its
	// response.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// ExecuteDelayMillis is the delay before the execution of a call. The
	// call is executed even if the caller disconnects during the delay.
	ExecuteDelayMillis int64 `json:"execute_delay_ms,omitempty"`
}

// Execution is one execution of a call.
type Execution struct {
	Action string `json:"action"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body,omitempty"`
	// Number counts the executions of all runners of the service, starting at
	// 1.
	Number int `json:"number"`
}

// CallResponse is the JSON body of the response to an executed call.
type CallResponse struct {
	Runner string `json:"runner"`
	Action string `json:"action,omitempty"`
	Number int    `json:"number"`
	// Echo is the request body of the call.
	Echo string `json:"echo,omitempty"`
}

// ExecutionLog records the executions of all runners of a service. It is safe
// for concurrent use.
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

// Count returns the number of executions of an action.
func (l *ExecutionLog) Count(action string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[action]
}

// Counts returns the number of executions of each action.
func (l *ExecutionLog) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.counts))
	for action, n := range l.counts {
		counts[action] = n
	}
	return counts
}

// ExecutedRepeatedly returns the sorted IDs of the actions that were executed
// more than once.
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

// Executions returns all executions in order.
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

// SetFaults replaces all injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults. Each count decreases as its fault
// occurs.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Notice makes the service refuse all new calls. The refusals are marked with
// NotExecutedHeader.
func (s *Service) Notice() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Die aborts all open connections and every later one.
func (s *Service) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		s.dead = true
		close(s.died)
	}
}

// Handler serves the admin paths. Every other path is a call of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	jsonhttp.HandleFaults(mux, PathFaults, s.Faults, s.SetFaults)
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

// outcome is the result of one call, which the injected faults determine.
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
		jsonhttp.Write(w, http.StatusBadRequest, jsonhttp.ErrorBody{Error: err.Error()})
		return
	}
	callOutcome := s.nextOutcome()
	switch callOutcome {
	case closedBeforeExecution:
		panic(http.ErrAbortHandler)
	case refusedBeforeExecution:
		w.Header().Set(NotExecutedHeader, NotExecuted)
		jsonhttp.Write(w, http.StatusServiceUnavailable, jsonhttp.ErrorBody{Error: "refused before running"})
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
		jsonhttp.Write(w, http.StatusInternalServerError, jsonhttp.ErrorBody{Error: "failed after running"})
	case hung:
		s.wait(r.Context(), foreverMillis)
		panic(http.ErrAbortHandler)
	default:
		jsonhttp.Write(w, http.StatusOK, CallResponse{Runner: s.runner, Action: e.Action, Number: e.Number, Echo: string(e.Body)})
	}
}

const foreverMillis = int64(365*24*time.Hour) / int64(time.Millisecond)

// wait returns early if the caller disconnects. If the service dies during
// the wait, it aborts the call.
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
