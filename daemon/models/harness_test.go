package models_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/models"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

const (
	workspace = ident.Workspace("huaman")
	model     = "asistente"
	tokenTime = 20 * time.Millisecond
)

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Models: []manifest.Model{{Name: model, Version: "1", Service: model}},
		Classes: []manifest.Class{
			{Name: "chat", Priority: 10, TTFTMillis: 500, TBTMillis: 50},
			{Name: "bulletin", Priority: 1, TTFTMillis: 60_000, TBTMillis: 500, Deferrable: true},
		},
	}
}

type fixedConfig struct{}

func (fixedConfig) Current() (*manifest.Manifest, ident.Generation) { return testManifest(), 1 }
func (fixedConfig) Changed() <-chan struct{}                        { return nil }

// cluster is a set of daemons and runners that reach each other by pipes.
type cluster struct {
	mu       sync.Mutex
	daemons  []view.Daemon
	runners  []view.Runner
	changed  chan struct{}
	handlers map[string]http.Handler
	cut      map[string]bool
	conns    map[string][]net.Conn
	engines  *engines
	wg       sync.WaitGroup
	cancels  map[ident.Incarnation]context.CancelFunc
}

func newCluster(runners int) *cluster {
	c := &cluster{
		changed:  make(chan struct{}),
		handlers: map[string]http.Handler{},
		cut:      map[string]bool{},
		conns:    map[string][]net.Conn{},
		engines:  newEngines(),
		cancels:  map[ident.Incarnation]context.CancelFunc{},
	}
	for i := range runners {
		id := ident.RunnerID(fmt.Sprintf("runner-%d", i))
		c.runners = append(c.runners, view.Runner{
			ID: id, Address: string(id) + ":80", Service: model,
			FailureDomain: domain(i), State: view.Live,
		})
	}
	return c
}

func domain(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("d%d", i%4)) }

// change edits the directory that all daemons see.
func (c *cluster) change(edit func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	edit()
	close(c.changed)
	c.changed = make(chan struct{})
}

type directory struct {
	c    *cluster
	self ident.Incarnation
}

func (d directory) Self() view.Daemon {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for _, x := range d.c.daemons {
		if x.Incarnation == d.self {
			return x
		}
	}
	return view.Daemon{Incarnation: d.self}
}

func (d directory) Daemons() []view.Daemon {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	return slices.Clone(d.c.daemons)
}

func (d directory) Runners(string) []view.Runner {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	return slices.Clone(d.c.runners)
}

func (d directory) Changed() <-chan struct{} {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	return d.c.changed
}

func (directory) NoteLeaving(string, time.Duration) {}

// gateway is one daemon's Models with its counters.
type gateway struct {
	*models.Models
	self    ident.Incarnation
	metrics metrics.Registry
	c       *cluster
	next    int
}

func (g *gateway) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, g.metrics).Count()
}

func (c *cluster) start(n int) *gateway {
	id := ident.DaemonID(fmt.Sprintf("gw-%d", n))
	self := ident.NewIncarnation(id, []byte{byte(n)})
	address := string(id) + ":7000"
	g := &gateway{self: self, metrics: metrics.NewRegistry(), c: c}
	client := &http.Client{Transport: &http.Transport{DialContext: c.dial}}
	g.Models = models.New(models.Config{
		Self: self, Directory: directory{c, self}, Config: fixedConfig{}, Engines: c.engines,
		Peers: models.HTTPPeers{Client: client}, Metrics: g.metrics,
	})
	_, handler := g.Handler()
	c.change(func() {
		c.daemons = append(c.daemons, view.Daemon{
			ID: id, Incarnation: self, FailureDomain: domain(n), PeerAddress: address, State: view.Live,
		})
		c.handlers[address] = handler
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancels[self] = cancel
	c.wg.Go(func() { _ = g.Run(ctx) })
	return g
}

// kill ends a daemon without a word: its connections break, and its process
// does nothing more.
func (c *cluster) kill(g *gateway) {
	address := string(must(g.self.Daemon())) + ":7000"
	c.mu.Lock()
	c.cut[address] = true
	for _, conn := range c.conns[address] {
		conn.Close()
	}
	c.mu.Unlock()
	c.cancels[g.self]()
}

// gone makes every daemon conclude that a killed one is gone.
func (c *cluster) gone(g *gateway) {
	c.change(func() {
		c.daemons = slices.DeleteFunc(c.daemons, func(d view.Daemon) bool { return d.Incarnation == g.self })
	})
}

func (c *cluster) stop() {
	for _, cancel := range c.cancels {
		cancel()
	}
	c.mu.Lock()
	for _, conns := range c.conns {
		for _, conn := range conns {
			conn.Close()
		}
	}
	c.mu.Unlock()
	c.wg.Wait()
}

type cutError struct{ address string }

func (e *cutError) Error() string { return "cannot connect to " + e.address }

type oneConn struct {
	conn net.Conn
	done chan struct{}
	once sync.Once
}

func (l *oneConn) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.done
	return nil, net.ErrClosed
}
func (l *oneConn) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

func (c *cluster) dial(_ context.Context, _, address string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	handler := c.handlers[address]
	if handler == nil || c.cut[address] {
		return nil, &cutError{address}
	}
	near, far := net.Pipe()
	c.conns[address] = append(c.conns[address], near, far)
	l := &oneConn{conn: far, done: make(chan struct{})}
	server := &http.Server{Handler: handler, ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			l.Close()
		}
	}}
	c.wg.Go(func() { _ = server.Serve(l) })
	return near, nil
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// engines is every engine of the cluster: each request's token at an offset is
// a function of both, so that a wrong splice shows.
type engines struct {
	mu       sync.Mutex
	dead     map[string]bool
	refuse   map[string]bool
	silent   map[string]int // attempts that go silent after two tokens
	computed int            // prompt and emitted tokens computed
	started  []engineapi.GenerateRequest
	at       []string
}

func newEngines() *engines {
	return &engines{dead: map[string]bool{}, refuse: map[string]bool{}, silent: map[string]int{}}
}

type refusedError struct{}

func (refusedError) Error() string    { return "engine refused" }
func (refusedError) NotStarted() bool { return true }

var errReset = errors.New("connection reset")

func wordAt(id ident.RequestID, offset int) string {
	return fmt.Sprintf("%s/%d", id, offset)
}

func (e *engines) Generate(ctx context.Context, address string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error {
	e.mu.Lock()
	if e.refuse[address] || e.dead[address] {
		e.mu.Unlock()
		return refusedError{}
	}
	e.started = append(e.started, r)
	e.at = append(e.at, address)
	e.computed += len(strings.Fields(r.Prompt)) + len(r.Emitted)
	silent := e.silent[address] > 0
	if silent {
		e.silent[address]--
	}
	e.mu.Unlock()
	event := engineapi.GenerateEvent{RequestID: r.RequestID, AttemptID: r.AttemptID}
	for offset := len(r.Emitted); offset < r.MaxTokens; offset++ {
		if silent && offset >= len(r.Emitted)+2 {
			<-ctx.Done()
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tokenTime):
		}
		if e.isDead(address) {
			return errReset
		}
		event.Offset, event.Token = offset, wordAt(ident.RequestID(r.RequestID), offset)
		if err := sink(event); err != nil {
			return err
		}
	}
	event.Offset, event.Token, event.Done, event.FinishReason = r.MaxTokens, "", true, "length"
	return sink(event)
}

func (e *engines) isDead(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead[address]
}

func (e *engines) Cancel(context.Context, string, engineapi.CancelRequest) error { return nil }

func (e *engines) Export(context.Context, string, engineapi.ExportRequest) (engineapi.ExportResponse, error) {
	return engineapi.ExportResponse{Handle: "h"}, nil
}

func (e *engines) Import(context.Context, string, engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	return engineapi.ImportResponse{Handle: "i"}, nil
}

func (g *gateway) request(class string, tokens int) call.ModelRequest {
	g.next++
	return call.ModelRequest{
		ID:        ident.NewRequestID(g.self, []byte{byte(g.next)}),
		Workspace: workspace, Class: class, Model: model,
		Prompt: strings.Repeat("owner case ", 50), MaxTokens: tokens,
	}
}

// readAll reads from an offset to the end and checks every offset on the way.
func readAll(t *testing.T, g *gateway, id ident.RequestID, from, total int) {
	t.Helper()
	next := from
	err := g.Read(t.Context(), workspace, id, from, func(e call.Event) error {
		switch {
		case e.Heartbeat:
		case e.Done:
			if e.Offset != total || next != total {
				t.Errorf("ended at %d with %d read, want %d", e.Offset, next, total)
			}
		case e.Offset != next || e.Token != wordAt(id, next):
			t.Errorf("got offset %d %q, want %d", e.Offset, e.Token, next)
		default:
			next++
		}
		return nil
	})
	if err != nil {
		t.Errorf("read: %v", err)
	}
}

func bubble(t *testing.T, runners int, run func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(runners)
		defer c.stop()
		run(t, c)
	})
}
