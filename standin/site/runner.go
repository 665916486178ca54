package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault selects how a runner mishandles one request.
type Fault string

// Faults of a runner.
const (
	// DropResponse executes the request and closes the connection without a response.
	DropResponse Fault = "lose_answer"
	// TruncateBody closes the connection in the middle of the response body.
	TruncateBody Fault = "truncate"
	// DuplicateResponse sends the response twice.
	DuplicateResponse Fault = "double"
	// MalformedResponse sends bytes that are not an HTTP response.
	MalformedResponse Fault = "garbage"
	// QueueFull refuses the request with status 503, as a runner with a full queue does.
	QueueFull Fault = "full"
	// InternalError responds with status 500.
	InternalError Fault = "fail"
	// RespondBeforeBody responds before it has read the request body.
	RespondBeforeBody Fault = "early"
	// UnframedBody sends a body without a length; closing the connection ends the body.
	UnframedBody Fault = "unframed"
	// TruncateStream closes the connection in the middle of a stream's event.
	TruncateStream Fault = "cut_stream"
	// Hang never responds.
	Hang Fault = "hang"
	// EndlessHead sends header lines until the connection is closed.
	EndlessHead Fault = "endless_head"
	// EndlessBody sends a body without a length until the connection is closed, EndlessError such a body of status 500.
	EndlessBody  Fault = "endless_body"
	EndlessError Fault = "endless_error"
	// EndlessEvent sends bytes of a stream's third event until the connection is closed.
	EndlessEvent Fault = "endless_event"
	// NoStatus executes the request and responds with status 000, BlankInName with a blank in the name of a field.
	NoStatus    Fault = "no_status"
	BlankInName Fault = "blank_in_name"
)

// Execution is one request that the runner began to execute.
type Execution struct {
	ID string
	// Received is when the runner had read the request's header, At when it began to execute the request.
	Received, At time.Time
	Method       string
	Target       string
	Header       http.Header
	Body         string
	// Fault is the fault that took effect in a stream; empty for none. LastSent is when the runner last sent an
	// event of it; zero before.
	Fault    Fault
	LastSent time.Time
	// Disconnected reports whether the client closed the connection before the response
	// was complete.
	Disconnected bool
}

// Arrival is one request that reached the runner, whatever it did with it.
type Arrival struct {
	ID string
	// At is when the runner had read the request's header.
	At time.Time
	// TimeLeft is how long the caller waits from then on, as the daemon has stated it; zero if it has not.
	TimeLeft time.Duration
}

// Workspace returns the workspace that the daemon set for the request.
func (r *Execution) Workspace() string { return r.Header.Get("X-Tenant") }

// ToldTimeLeft returns how long the caller waits, as the daemon has told the runner; zero if it has not.
func (r *Execution) ToldTimeLeft() time.Duration { return toldTimeLeft(r.Header) }

func toldTimeLeft(h http.Header) time.Duration {
	millis, err := strconv.ParseInt(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// HasAPIKey reports whether the request carries the caller's API key, which no runner
// may see.
func (r *Execution) HasAPIKey() bool { return r.Header.Get("Authorization") != "" }

// Runner is one backend server on the loopback interface. It writes to raw sockets, so
// that it can violate HTTP.
type Runner struct {
	// ID must equal the X-Target-Instance header of a request if that header is set.
	ID       string
	Address  string
	listener net.Listener

	mu         sync.Mutex
	executions []*Execution
	arrivals   []Arrival
	faults     []Fault
	// work is the time that a request takes, or one event of a stream. events is the
	// number of events in a stream.
	work          time.Duration
	events        int
	acceptedConns int
	openConns     map[net.Conn]bool
	// rateLimit is the limit on its requests per second that the runner states; zero for none.
	rateLimit float64
	// leaving are the values of the header by which it says that it is leaving.
	leaving    []string
	turnedAway atomic.Int64
	// rest are the values of the header by which it asks for rest.
	rest []string
	// report is the body of its report of its state; empty if it answers none. closes is the number of reports after
	// which it closes the connection.
	report string
	closes int
	// eventData is the content of the events of its streams; empty for a word with the event's number.
	eventData string
	// failingPart is the prompt part that makes the runner fail when it begins to answer, failingBody the
	// body of requests that make it fail before; empty for none. failed is called then.
	failingPart, failingBody string
	failed                   func()
	// awake is closed while the runner isn't silent.
	awake    chan struct{}
	capacity capacity
}

// NewRunner starts a runner.
func NewRunner(id string) (*Runner, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Address: l.Addr().String(), listener: l, work: 2 * time.Millisecond, events: 5, openConns: map[net.Conn]bool{}, awake: make(chan struct{})}
	close(r.awake)
	go r.accept()
	return r, nil
}

// Close stops listening and closes all connections at once, as a crash does.
func (r *Runner) Close() {
	r.listener.Close()
	r.Wake()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.openConns {
		c.Close()
	}
}

// Sleep makes the runner silent: its connections stay open and new ones are accepted, but it reads and sends
// nothing until Wake.
func (r *Runner) Sleep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.awake:
		r.awake = make(chan struct{})
	default:
	}
}

// Wake ends the runner's silence; everything that it was at goes on.
func (r *Runner) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.awake:
	default:
		close(r.awake)
	}
}

// waitAwake waits while the runner is silent.
func (r *Runner) waitAwake() {
	r.mu.Lock()
	awake := r.awake
	r.mu.Unlock()
	<-awake
}

// SetNextFaults replaces the faults of the next requests. Each request takes one fault.
func (r *Runner) SetNextFaults(faults ...Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// SetWorkload changes the time that a request or an event takes and the number of events in
// a stream.
func (r *Runner) SetWorkload(work time.Duration, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work, r.events = work, events
}

// SetRateLimit makes the runner state in its responses how many requests per second it accepts;
// zero stands for no limit. The runner doesn't enforce it.
func (r *Runner) SetRateLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateLimit = perSecond
}

// leavingHeader is spelled in lower case, which means the same.
const leavingHeader = "server-leaving"

// SetLeaving makes the runner say in all its responses, with the given values, that it is leaving; without
// values it says nothing.
func (r *Runner) SetLeaving(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = values
}

// headerLines returns one line of a header for each value.
func headerLines(name string, values []string) string {
	var lines strings.Builder
	for _, value := range values {
		fmt.Fprintf(&lines, "%s: %s\r\n", name, value)
	}
	return lines.String()
}

// SetRest makes the runner ask with the given values for rest where it turns a request away; without values
// it asks for none.
func (r *Runner) SetRest(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = values
}

// SetReport sets the body of the runner's report of its state; without one it answers 404.
func (r *Runner) SetReport(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = body
}

// CloseAfterReports makes the runner close the connection after each of its next n reports.
func (r *Runner) CloseAfterReports(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closes = n
}

// respondReport responds to a request for the runner's report and reports whether the connection stays open.
func (r *Runner) respondReport(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, body, connection := http.StatusOK, r.report, ""
	if body == "" {
		status = http.StatusNotFound
	}
	closes := r.closes > 0
	if closes {
		r.closes--
		connection = "Connection: close\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), connection, len(body), body)
	return !closes
}

// SetEventData changes the content of the events of the runner's streams.
func (r *Runner) SetEventData(data string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventData = data
}

// SetFailingPart makes the runner fail when it begins to answer a prompt with the part, and calls failed.
func (r *Runner) SetFailingPart(part string, failed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failingPart, r.failed = part, failed
}

// SetFailingBody makes the runner fail before it answers a request with the body, and calls failed.
func (r *Runner) SetFailingBody(body string, failed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failingBody, r.failed = body, failed
}

// failsUnder reports whether a request with the body makes the runner fail, and lets it fail.
func (r *Runner) failsUnder(body string) bool {
	r.mu.Lock()
	failingBody, failed := r.failingBody, r.failed
	r.mu.Unlock()
	if failingBody == "" || body != failingBody {
		return false
	}
	r.Close()
	failed()
	return true
}

// TurnedAway returns the number of requests that the runner has turned away.
func (r *Runner) TurnedAway() int64 { return r.turnedAway.Load() }

// Executions returns copies of all executions so far.
func (r *Runner) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	var executions []Execution
	for _, run := range r.executions {
		executions = append(executions, *run)
	}
	return executions
}

// Arrivals returns all arrivals so far.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

func (r *Runner) recordArrival(req *http.Request, received time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{ID: req.Header.Get("X-Request-Id"), At: received, TimeLeft: toldTimeLeft(req.Header)})
}

// AcceptedConnections returns the number of connections accepted so far.
func (r *Runner) AcceptedConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptedConns
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.acceptedConns++
		r.openConns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.openConns, c)
		r.mu.Unlock()
		c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		received := time.Now()
		r.waitAwake()
		if !r.handleRequest(c, req, received) {
			return
		}
	}
}

func (r *Runner) nextFault() Fault {
	if len(r.faults) == 0 {
		return ""
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// handleRequest responds to a request and reports whether the connection stays open.
func (r *Runner) handleRequest(c net.Conn, req *http.Request, received time.Time) bool {
	id := req.Header.Get("X-Request-Id")
	r.mu.Lock()
	leaving, rest := r.leaving, r.rest
	r.mu.Unlock()
	if req.URL.Path == "/healthz" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", r.ID, headerLines(leavingHeader, leaving))
		return true
	}
	if req.URL.Path == "/v1/report" {
		return r.respondReport(c)
	}
	r.recordArrival(req, received)
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.ID {
		io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.ID)
		return true
	}
	r.mu.Lock()
	nextFault, work, events := r.nextFault(), r.work, r.events
	r.mu.Unlock()
	if nextFault == QueueFull {
		r.turnedAway.Add(1)
		io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", id, headerLines("Retry-After", rest))
		return true
	}
	if nextFault == RespondBeforeBody {
		run := r.recordExecution(req, "", received)
		r.recordFault(run, nextFault)
		fmt.Fprintf(c, "%sContent-Length: 5\r\n\r\nearly", r.responseHeader(200, id))
		time.Sleep(50 * time.Millisecond)
		io.Copy(io.Discard, req.Body)
		return true
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	r.capacity.acquire(req.Header)
	defer r.capacity.release()
	run := r.recordExecution(req, string(body), received)
	if nextFault == NoStatus || nextFault == BlankInName {
		r.recordFault(run, nextFault)
		r.writeBrokenHead(c, run, nextFault)
		return true
	}
	if strings.Contains(req.URL.Path, "/stream/") {
		return r.writeStream(c, req, run, nextFault, work, events)
	}
	return r.writeResponse(c, run, nextFault, work)
}

func (r *Runner) recordExecution(req *http.Request, body string, received time.Time) *Execution {
	run := &Execution{ID: req.Header.Get("X-Request-Id"), Received: received, At: time.Now(), Method: req.Method, Target: req.RequestURI, Header: req.Header, Body: body}
	r.mu.Lock()
	r.executions = append(r.executions, run)
	r.mu.Unlock()
	return run
}

// recordFault records that a fault takes effect in an execution, which sends something now.
func (r *Runner) recordFault(run *Execution, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Fault, run.LastSent = fault, time.Now()
}

// recordSent records that an event has been sent.
func (r *Runner) recordSent(run *Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.LastSent = time.Now()
}

func (r *Runner) responseHeader(status int, id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	header := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Signature: sig.%s.%s\r\nKeep-Alive: timeout=5\r\n", status, http.StatusText(status), id, r.ID, id)
	if r.rateLimit > 0 {
		header += fmt.Sprintf("Server-Limit: %g\r\n", r.rateLimit)
	}
	return header + headerLines(leavingHeader, r.leaving)
}

func (r *Runner) writeResponse(c net.Conn, run *Execution, fault Fault, work time.Duration) bool {
	time.Sleep(r.capacity.scaled(work))
	r.waitAwake()
	if r.failsUnder(run.Body) {
		return false
	}
	body := "answer to " + run.ID
	switch fault {
	case DropResponse:
		return false
	case Hang:
		buffer := make([]byte, 1)
		_, _ = c.Read(buffer)
		r.markDisconnected(run)
		return false
	case MalformedResponse:
		fmt.Fprint(c, "this is no answer\r\n\r\n")
		return false
	case TruncateBody:
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", r.responseHeader(200, run.ID), len(body), body[:4])
		return false
	case EndlessHead:
		r.writeEndlessly(c, run, r.responseHeader(200, run.ID), "X-Filler: filler\r\n")
		return false
	case EndlessBody:
		r.writeEndlessly(c, run, r.responseHeader(200, run.ID)+"\r\n", "filler")
		return false
	case EndlessError:
		r.writeEndlessly(c, run, r.responseHeader(500, run.ID)+"Transfer-Encoding: chunked\r\n\r\n", "6\r\nfiller\r\n")
		return false
	case InternalError:
		fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\noops", r.responseHeader(500, run.ID))
		return true
	case UnframedBody:
		fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", r.responseHeader(200, run.ID), body)
		return false
	}
	response := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", r.responseHeader(200, run.ID), len(body), body)
	fmt.Fprint(c, response)
	if fault == DuplicateResponse {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(c, response)
	}
	return true
}

// writeBrokenHead sends bytes that would be the response to the request but for one line.
func (r *Runner) writeBrokenHead(c net.Conn, run *Execution, fault Fault) {
	status := 200
	if fault == NoStatus {
		status = 0
	}
	head := strings.Replace(r.responseHeader(status, run.ID), "HTTP/1.1 0 ", "HTTP/1.1 000 ", 1)
	if fault == BlankInName {
		head += "X Odd: v\r\n"
	}
	body := "answer to " + run.ID
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// maxEndlessBytes bounds what a runner sends where it sends without end; then it waits until the connection is closed.
const maxEndlessBytes = 64 << 20

// writeEndlessly sends first, and then rest again and again until the connection is closed.
func (r *Runner) writeEndlessly(c net.Conn, run *Execution, first, rest string) {
	defer r.markDisconnected(run)
	rest = strings.Repeat(rest, 1+(32<<10)/len(rest))
	sent := 0
	for piece := first; sent < maxEndlessBytes; piece = rest {
		n, err := io.WriteString(c, piece)
		sent += n
		if err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

func (r *Runner) markDisconnected(run *Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Disconnected = true
}

// eventTimeParameter is the query parameter by which a request states the time between its stream's events, in
// milliseconds.
const eventTimeParameter = "event_ms"

func eventTime(req *http.Request) (time.Duration, bool) {
	millis, err := strconv.Atoi(req.URL.Query().Get(eventTimeParameter))
	return time.Duration(millis) * time.Millisecond, err == nil
}

func (r *Runner) writeStream(c net.Conn, req *http.Request, run *Execution, fault Fault, work time.Duration, events int) bool {
	if pace, ok := eventTime(req); ok {
		work = pace
	}
	work = r.capacity.scaled(work)
	lastEventID := 0
	fmt.Sscanf(req.Header.Get("Last-Event-Id"), "%d", &lastEventID)
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.responseHeader(200, run.ID))
	r.mu.Lock()
	data, failingPart, failed := r.eventData, r.failingPart, r.failed
	r.mu.Unlock()
	if failingPart != "" && strings.Contains(req.Header.Get("X-Prompt-Prefix"), failingPart) {
		r.Close()
		failed()
		return false
	}
	for i := lastEventID + 1; i <= events; i++ {
		time.Sleep(work)
		r.waitAwake()
		event := fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
		if data != "" {
			event = fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
		}
		if fault == EndlessEvent && i == lastEventID+3 {
			r.writeEndlessly(c, run, "3\r\nid:\r\n", "6\r\nfiller\r\n")
			return false
		}
		if fault == TruncateStream && i == lastEventID+3 {
			event = event[:7]
			r.recordFault(run, fault)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.markDisconnected(run)
			return false
		}
		r.recordSent(run)
	}
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}
