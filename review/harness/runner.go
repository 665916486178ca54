package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// execution is one request that a runner has begun to run. subject is what it is about, by its X-Subject header.
type execution struct {
	id, runner, method, target, subject, tenant string
	at                                          time.Time
}

// headerSubject is a header of callers that names what a request is about; the system passes it on.
const headerSubject = "X-Subject"

// handleFunc answers a request on a connection and reports whether the connection stays open. The request's body has
// not been read.
type handleFunc func(r *runner, c net.Conn, req *http.Request) bool

// runner is a stand-in for a backend server. Each start is a new lifetime with a new name.
type runner struct {
	w                      *world
	service, zone, version string
	address                string
	handle                 handleFunc
	// engine says that it runs a model.
	engine bool

	mu       sync.Mutex
	listener net.Listener
	name     string
	starts   int
	born     int64
	seq      int
	up       bool
	// leavesAt is when the runner is taken away; zero if it isn't.
	leavesAt time.Time
	conns    map[net.Conn]bool
	runs     []execution
}

// engineService is the service whose runners run a model.
const engineService = "llm"

// addRunner starts a runner and lets it write its entry.
func (w *world) addRunner(service, zone, version string, handle handleFunc) (*runner, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	r := &runner{w: w, service: service, zone: zone, version: version, engine: service == engineService, address: l.Addr().String(), handle: handle, conns: map[net.Conn]bool{}}
	r.begin(l)
	w.runners = append(w.runners, r)
	w.keepBeating(r)
	return r, nil
}

func (r *runner) begin(l net.Listener) {
	r.mu.Lock()
	r.listener, r.up, r.starts, r.seq, r.born = l, true, r.starts+1, 0, time.Now().UnixMilli()
	r.name = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(r.address[strings.Index(r.address, ":")+1:], ":", ""), r.starts)
	r.mu.Unlock()
	go r.accept(l)
}

// beat writes the runner's entry if it runs. A write that fails is repeated by the next one.
func (r *runner) beat() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.seq++
	key, entry := "servers/"+r.name, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 16, "state": "ready",
		"cold_remaining_ms": 0, "born": r.born, "seq": r.seq,
	}
	if !r.leavesAt.IsZero() {
		entry["state"], entry["spot"], entry["leaves_ms"] = "draining", true, time.Until(r.leavesAt).Milliseconds()
	}
	if r.engine {
		entry["stage"], entry["models"] = "both", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	r.mu.Unlock()
	_ = r.w.store.Put(key, entry)
}

// restartAs starts the runner at its address again, under the name that it had, with a version of its software.
func (r *runner) restartAs(version string) error {
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	r.mu.Lock()
	r.version = version
	r.starts--
	r.mu.Unlock()
	r.begin(l)
	r.beat()
	return nil
}

// announceEnd lets the runner say that it is taken away after a time, in its entry and in its answers.
func (r *runner) announceEnd(after time.Duration) {
	r.mu.Lock()
	r.leavesAt = time.Now().Add(after)
	r.mu.Unlock()
	r.beat()
}

// crash ends the runner at once. It returns the number of channels that end, and false if the runner had ended before.
func (r *runner) crash() (channels int, crashed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return 0, false
	}
	r.up = false
	r.listener.Close()
	for c := range r.conns {
		c.Close()
	}
	return len(r.conns), true
}

// restart starts the runner at its address again, and removes the entry that it had, as the platform does after three
// heartbeats of silence.
func (r *runner) restart() error {
	r.mu.Lock()
	former := r.name
	r.mu.Unlock()
	_ = r.w.store.Remove("servers/" + former)
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	r.begin(l)
	r.beat()
	return nil
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			c.Close()
			return
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !r.answer(c, req) {
			return
		}
	}
}

// answer answers a request as a sound runner does, and the others by the case's function.
func (r *runner) answer(c net.Conn, req *http.Request) bool {
	name := r.currentName()
	if req.URL.Path == "/healthz" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", name)
		return true
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != name {
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", name)
		return true
	}
	if req.Header.Get("X-Request-Id") == "" {
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	return r.handle(r, c, req)
}

func (r *runner) currentName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.name
}

// began records that the runner begins to run a request.
func (r *runner) began(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := execution{
		id: req.Header.Get("X-Request-Id"), runner: r.name, method: req.Method, target: req.RequestURI,
		subject: req.Header.Get(headerSubject), tenant: req.Header.Get("X-Tenant"), at: time.Now(),
	}
	r.runs = append(r.runs, one)
	r.w.rec.note("run: %s at runner %s (%s): %s %s %s, X-Tenant %q", one.id, one.runner, r.service, one.method, one.target, one.subject, one.tenant)
}

// head returns the beginning of an answer.
func (r *runner) head(status int, req *http.Request) string {
	id := req.Header.Get("X-Request-Id")
	leaving := ""
	r.mu.Lock()
	if !r.leavesAt.IsZero() {
		leaving = "Server-Leaving: 1\r\n"
	}
	r.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Signature: sig.%s.%s\r\nKeep-Alive: timeout=5\r\n%s",
		status, http.StatusText(status), id, r.currentName(), id, leaving)
}

// answerWhole reads the body, runs the request for a time and answers with a status.
func answerWhole(work time.Duration, status int) handleFunc {
	return func(r *runner, c net.Conn, req *http.Request) bool {
		r.began(req)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		time.Sleep(work)
		body := "answer to " + req.Header.Get("X-Request-Id")
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", r.head(status, req), len(body), body)
		return err == nil
	}
}

// streamEvents reads the body and sends a number of events, which go on after the caller's last one. The text of an
// event names the version of the runner's software.
func streamEvents(events int, pace time.Duration) handleFunc {
	return func(r *runner, c net.Conn, req *http.Request) bool {
		r.began(req)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		r.mu.Lock()
		version := r.version
		r.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head(http.StatusOK, req)); err != nil {
			return false
		}
		for i := last + 1; i <= events; i++ {
			time.Sleep(pace)
			event := fmt.Sprintf("id: %d\ndata: %s word%d\n\n", i, version, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
}

// allRuns returns the runs of all runners.
func (w *world) allRuns() []execution {
	var all []execution
	for _, r := range w.runners {
		r.mu.Lock()
		all = append(all, r.runs...)
		r.mu.Unlock()
	}
	return all
}
