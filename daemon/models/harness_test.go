package models_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/models"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	transport "geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

const (
	workspace = ident.Workspace("huaman")
	model     = "asistente"
	// tokenTime is the duration of one decode step of the stand-in engine.
	tokenTime = 20 * time.Millisecond
	silence   = 3 * time.Second
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

// cluster is a set of daemons and engines on an in-memory network.
type cluster struct {
	*pipe.Network
	ledger  *engine.TokenCounter
	engines []*engine.Engine

	mu      sync.Mutex
	daemons []view.Daemon
	runners []view.Runner
	changed chan struct{}
	stops   []func()
}

func newCluster(runners int) *cluster {
	c := &cluster{Network: pipe.NewNetwork(), ledger: engine.NewTokenCounter(), changed: make(chan struct{})}
	for i := range runners {
		id := ident.RunnerID(fmt.Sprintf("runner-%d", i))
		cfg := engine.DefaultConfig(string(id), model, "1")
		cfg.BytesPerToken = 1 << 20 // large, so that the export of a KV cache takes a noticeable time
		client := c.Client()
		e := engine.New(cfg, engine.WithTokenCounter(c.ledger), engine.WithClient(client))
		c.serve(address(i), e.Handler(), client)
		c.stops = append(c.stops, e.Close)
		c.engines = append(c.engines, e)
		c.runners = append(c.runners, view.Runner{
			ID: id, Address: address(i), Service: model,
			FailureDomain: failureDomain(i), State: view.Live,
		})
	}
	return c
}

func address(runner int) string { return fmt.Sprintf("runner-%d:80", runner) }

// serve serves HTTP at an address until the cluster stops.
func (c *cluster) serve(address string, h http.Handler, client *http.Client) *http.Server {
	l, err := c.Listen(address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	c.stops = append(c.stops, func() {
		client.CloseIdleConnections()
		c.Break(address)
		server.Close()
		<-done
	})
	return server
}

func failureDomain(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("d%d", i%4)) }

// updateDirectory applies an edit to the directory that all daemons share and
// notifies them.
func (c *cluster) updateDirectory(edit func()) {
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
	for _, daemon := range d.c.daemons {
		if daemon.Incarnation == d.self {
			return daemon
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

func (directory) NoteRunnerLeaving(string, time.Duration) {}

// gateway is the Models of one daemon, with its metrics.
type gateway struct {
	*models.Models
	self      ident.Incarnation
	address   string
	metrics   metrics.Registry
	server    *http.Server
	cancelRun context.CancelFunc
	lastID    int
	// isolated makes every attempt of this daemon to open a connection fail.
	isolated atomic.Bool
}

func (g *gateway) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, g.metrics).Count()
}

func (c *cluster) startGateway(n int) *gateway {
	id := ident.DaemonID(fmt.Sprintf("gw-%d", n))
	g := &gateway{
		self:    ident.NewIncarnation(id, []byte{byte(n)}),
		address: string(id) + ":7000",
		metrics: metrics.NewRegistry(),
	}
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, to string) (net.Conn, error) {
		if g.isolated.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: &pipe.RefusedError{Address: to}}
		}
		return c.Dial(ctx, network, to)
	}}}
	d := directory{c, g.self}
	g.Models = models.New(models.Config{
		Self: g.self, Directory: d, Config: fixedConfig{}, Metrics: g.metrics,
		Engines:  engineClients{client},
		Peers:    models.HTTPPeers{Client: client},
		Transfer: models.Transfer{BytesPerToken: 1 << 20},
	})
	_, handler := g.Handler()
	g.server = c.serve(g.address, handler, client)
	c.updateDirectory(func() {
		c.daemons = append(c.daemons, view.Daemon{
			ID: id, Incarnation: g.self, FailureDomain: failureDomain(n), PeerAddress: g.address, State: view.Live,
		})
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancelRun = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	c.stops = append(c.stops, func() {
		cancel()
		client.CloseIdleConnections()
		<-done
	})
	return g
}

// engineClients implements models.Engines.
type engineClients struct{ client *http.Client }

func (e engineClients) Generate(ctx context.Context, address string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error {
	return transport.New(address, e.client).Generate(ctx, r, silence, sink)
}

func (e engineClients) Cancel(ctx context.Context, address string, r engineapi.CancelRequest) error {
	return transport.New(address, e.client).Cancel(ctx, r.AttemptID)
}

func (e engineClients) Export(ctx context.Context, address string, r engineapi.ExportRequest) (engineapi.ExportResponse, error) {
	return transport.New(address, e.client).Export(ctx, r.AttemptID)
}

func (e engineClients) Import(ctx context.Context, address string, r engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	return transport.New(address, e.client).Import(ctx, r)
}

// kill simulates the death of a daemon process: its connections break, and it
// does not hand off its requests.
func (c *cluster) kill(g *gateway) {
	g.cancelRun()
	c.Break(g.address)
	g.server.Close()
}

// removeFromDirectory makes every daemon consider the gateway gone.
func (c *cluster) removeFromDirectory(g *gateway) {
	c.updateDirectory(func() {
		c.daemons = slices.DeleteFunc(c.daemons, func(d view.Daemon) bool { return d.Incarnation == g.self })
	})
}

// announceReclaim announces to the engines and in the directory that runners
// will be reclaimed after a while; the engines stop then.
func (c *cluster) announceReclaim(left time.Duration, runners ...int) {
	for _, i := range runners {
		c.engines[i].Notice(left)
	}
	c.updateDirectory(func() {
		for _, i := range runners {
			c.runners[i].State = view.Leaving
			c.runners[i].LeavesAt = time.Now().Add(left)
		}
	})
}

func (c *cluster) stop() {
	for _, stop := range slices.Backward(c.stops) {
		stop()
	}
}

func (g *gateway) request(class string, tokens int) call.ModelRequest {
	g.lastID++
	return call.ModelRequest{
		ID:        ident.NewRequestID(g.self, []byte{byte(g.lastID)}),
		Workspace: workspace, Class: class, Model: model,
		Prompt:    fmt.Sprintf("case %s %d ", g.self, g.lastID) + strings.Repeat("owner file ", 50),
		MaxTokens: tokens,
	}
}

// readAll reads a request from an offset to the end, checks every token, and
// returns the longest time between two events other than heartbeats.
func readAll(t *testing.T, g *gateway, r call.ModelRequest, from int) (longestGap time.Duration) {
	t.Helper()
	want := engine.Tokens(r.Model, r.Prompt, r.MaxTokens)
	next, last := from, time.Now()
	err := g.Read(t.Context(), workspace, r.ID, from, func(e call.Event) error {
		switch {
		case e.Heartbeat:
			return nil
		case e.Done:
			if e.Offset != r.MaxTokens || next != r.MaxTokens {
				t.Errorf("answer ended at offset %d after %d tokens were read, want %d", e.Offset, next, r.MaxTokens)
			}
		case e.Offset != next || e.Token != want[next]:
			t.Errorf("got offset %d with token %q, want offset %d with token %q", e.Offset, e.Token, next, want[next])
		default:
			next++
		}
		longestGap = max(longestGap, time.Since(last))
		last = time.Now()
		return nil
	})
	if err != nil {
		t.Errorf("read request %s: %v", r.ID, err)
	}
	return longestGap
}

func runCluster(t *testing.T, runners int, run func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(runners)
		defer c.stop()
		run(t, c)
	})
}
