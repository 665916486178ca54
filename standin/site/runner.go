package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fault is how a runner misbehaves.
type Fault string

// Faults.
const (
	// LoseAnswer runs the request and closes the connection.
	LoseAnswer Fault = "lose_answer"
	// Truncate closes the connection in the middle of the answer's body.
	Truncate Fault = "truncate"
	// Double sends a second answer after the first.
	Double Fault = "double"
	// Garbage sends bytes that are no answer.
	Garbage Fault = "garbage"
	// Full refuses as one whose queue is full.
	Full Fault = "full"
	// Fail answers 500.
	Fail Fault = "fail"
	// Early answers before it has read the body.
	Early Fault = "early"
	// Unframed sends a body without a length that ends with the connection.
	Unframed Fault = "unframed"
	// CutStream ends a stream in the middle of an event.
	CutStream Fault = "cut_stream"
	// Hang never answers.
	Hang Fault = "hang"
)

// Run is one request that the runner began to work on.
type Run struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	// Left is set once the caller's connection has closed before the end.
	Left bool
}

// Workspace is the one that the daemon named for the request.
func (r *Run) Workspace() string { return r.Header.Get("X-Tenant") }

// KeyShown tells whether the caller's key came along, which no runner may see.
func (r *Run) KeyShown() bool { return r.Header.Get("Authorization") != "" }

// Runner is one backend server on the loopback interface. It speaks raw sockets, so
// that it can break the protocol.
type Runner struct {
	// ID is what it checks a request's target against.
	ID       string
	Address  string
	listener net.Listener

	mu     sync.Mutex
	runs   []*Run
	faults []Fault
	// Work is how long a request takes, Events how many events a stream has.
	work   time.Duration
	events int
	conns  int
	open   map[net.Conn]bool
}

// NewRunner starts a runner.
func NewRunner(id string) (*Runner, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Address: l.Addr().String(), listener: l, work: 2 * time.Millisecond, events: 5, open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Close ends the runner as a crash does.
func (r *Runner) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}

// Next sets how the next requests are met, one fault each, in place of what was set
// before.
func (r *Runner) Next(faults ...Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Set changes how long a request takes and how many events a stream has.
func (r *Runner) Set(work time.Duration, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work, r.events = work, events
}

// Runs lists what the runner began to work on.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []Run
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Connections is how many were accepted.
func (r *Runner) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		r.open[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.open, c)
		r.mu.Unlock()
		c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.one(c, req) {
			return
		}
	}
}

func (r *Runner) fault() Fault {
	if len(r.faults) == 0 {
		return ""
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// one answers a request and tells whether the connection goes on.
func (r *Runner) one(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Request-Id")
	if req.URL.Path == "/healthz" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
		return true
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.ID {
		io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
		return true
	}
	r.mu.Lock()
	fault, work, events := r.fault(), r.work, r.events
	r.mu.Unlock()
	if fault == Full {
		io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	if fault == Early {
		r.began(req, "")
		fmt.Fprintf(c, "%sContent-Length: 5\r\n\r\nearly", head(200, id, r.ID))
		time.Sleep(50 * time.Millisecond)
		io.Copy(io.Discard, req.Body)
		return true
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	run := r.began(req, string(body))
	if strings.Contains(req.URL.Path, "/stream/") {
		return r.stream(c, req, run, fault, work, events)
	}
	return r.plain(c, run, fault, work)
}

func (r *Runner) began(req *http.Request, body string) *Run {
	run := &Run{ID: req.Header.Get("X-Request-Id"), Method: req.Method, Target: req.RequestURI, Header: req.Header, Body: body}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	return run
}

func head(status int, id, runner string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Signature: sig.%s.%s\r\nKeep-Alive: timeout=5\r\n", status, http.StatusText(status), id, runner, id)
}

func (r *Runner) plain(c net.Conn, run *Run, fault Fault, work time.Duration) bool {
	time.Sleep(work)
	body := "answer to " + run.ID
	switch fault {
	case LoseAnswer:
		return false
	case Hang:
		buffer := make([]byte, 1)
		_, _ = c.Read(buffer)
		r.left(run)
		return false
	case Garbage:
		fmt.Fprint(c, "this is no answer\r\n\r\n")
		return false
	case Truncate:
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head(200, run.ID, r.ID), len(body), body[:4])
		return false
	case Fail:
		fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\noops", head(500, run.ID, r.ID))
		return true
	case Unframed:
		fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head(200, run.ID, r.ID), body)
		return false
	}
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(200, run.ID, r.ID), len(body), body)
	fmt.Fprint(c, whole)
	if fault == Double {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(c, whole)
	}
	return true
}

func (r *Runner) left(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Left = true
}

func (r *Runner) stream(c net.Conn, req *http.Request, run *Run, fault Fault, work time.Duration, events int) bool {
	after := 0
	fmt.Sscanf(req.Header.Get("Last-Event-Id"), "%d", &after)
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(200, run.ID, r.ID))
	for i := after + 1; i <= events; i++ {
		time.Sleep(work)
		event := fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
		if fault == CutStream && i == after+3 {
			event = event[:7]
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.left(run)
			return false
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}
