package actions_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/actions"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/standin/service"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/dispatch"
)

// directory is a view.Directory that returns the daemons of a fleet and three
// fixed runners.
type directory struct {
	self  view.Daemon
	fleet *fleet
}

func (d *directory) Self() view.Daemon { return d.self }

func (d *directory) Daemons() []view.Daemon {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return append([]view.Daemon(nil), d.fleet.daemons...)
}

func (d *directory) Runners(string) []view.Runner {
	return []view.Runner{
		{ID: "r1", Address: "casos-1:80", State: view.Live},
		{ID: "r2", Address: "casos-2:80", State: view.Live},
		{ID: "r3", Address: "casos-3:80", State: view.Leaving},
	}
}

func (d *directory) Changed() <-chan struct{}                { return nil }
func (d *directory) NoteRunnerLeaving(string, time.Duration) {}

type config struct{}

func (config) Current() (*manifest.Manifest, ident.Generation) {
	return &manifest.Manifest{Services: []manifest.Service{{
		Name: "casos",
		Kind: manifest.KindPlain,
		Routes: []manifest.Route{
			{Method: http.MethodPost, Path: "/pledges", OutagePolicy: manifest.OutageRun},
			{Method: http.MethodPost, Path: "/closures", OutagePolicy: manifest.OutageRefuse},
		},
	}}}, 1
}

func (config) Changed() <-chan struct{} { return nil }

// fleet holds several gateways together with simulated runners, network and
// key-value service, all in one synctest bubble.
type fleet struct {
	is      *is.I
	network *pipe.Network
	store   *kvserver.Store
	log     *service.ExecutionLog
	runners []*service.Service
	nodes   []*node
	// maxOwners is the maximum number of gateways that issue tokens; zero means
	// the default.
	maxOwners int
	// directTransport replaces the connections between gateways, and
	// instantDispatcher those to runners, if they are not nil.
	directTransport   directTransport
	instantDispatcher *instantDispatcher

	mu      sync.Mutex
	daemons []view.Daemon
	started []*node
}

// node is one incarnation of a gateway.
type node struct {
	*actions.Service
	metrics metrics.Registry
	server  *http.Server
	peers   *http.Client
	cancel  context.CancelFunc
	done    chan struct{}
	ended   atomic.Bool
}

// withThreeGateways runs a test with three gateways and standard runners in
// virtual time.
func withThreeGateways(t *testing.T, test func(f *fleet)) {
	t.Helper()
	log := service.NewExecutionLog()
	var runners []*service.Service
	withSmallFleet(t, func(name string) http.Handler {
		runners = append(runners, service.New(name, log))
		return runners[len(runners)-1].Handler()
	}, func(f *fleet) {
		f.log, f.runners = log, runners
		test(f)
	})
}

func withSmallFleet(t *testing.T, runner func(name string) http.Handler, test func(f *fleet)) {
	t.Helper()
	withFleet(t, smallFleetSize, 0, runner, test)
}

// maxConnected is the largest fleet whose gateways use connections. With 40
// connected gateways the race detector's runtime failed with an internal CHECK in
// most runs. In larger fleets gateways call each other's handlers directly and
// use a dispatcher that answers at once.
const maxConnected = 12

// directTransport is an HTTP transport that calls handlers, by peer address,
// without connections. The map must not change after the first call.
type directTransport map[string]http.Handler

// RoundTrip implements http.RoundTripper.
func (d directTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	d[req.URL.Host].ServeHTTP(rec, req)
	return rec.Result(), nil
}

// instantDispatcher is a dispatcher that answers at once without a runner.
type instantDispatcher struct{ sent atomic.Int64 }

// Send implements actions.Dispatcher.
func (i *instantDispatcher) Send(context.Context, string, actionkey.ID, call.ServiceCall) action.Result {
	i.sent.Add(1)
	return action.Result{Answer: call.Answer{Status: http.StatusOK, Body: []byte("pledged")}}
}

// smallFleetSize is the default number of gateways in a test. It is less than the
// default number of daemons that issue tokens, so that all of them do.
const smallFleetSize = 3

func withFleet(t *testing.T, size, maxOwners int, runner func(name string) http.Handler, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{is: is.New(t), network: pipe.NewNetwork(), store: kvserver.New(), maxOwners: maxOwners}
		if size > maxConnected {
			f.directTransport, f.instantDispatcher = directTransport{}, &instantDispatcher{}
		}
		var servers []*http.Server
		for i := range 3 {
			handler := runner(fmt.Sprintf("r%d", i+1))
			servers = append(servers, f.serve(fmt.Sprintf("casos-%d:80", i+1), handler))
		}
		for i := range size {
			f.nodes = append(f.nodes, f.start(i, 1))
		}
		time.Sleep(10 * time.Second) // longer than Times.StartupGrace
		test(f)
		for _, n := range f.nodes {
			n.crash()
		}
		for _, s := range servers {
			_ = s.Close()
		}
		for _, n := range f.started {
			n.peers.CloseIdleConnections() // connections without traffic would outlive the bubble
		}
	})
}

func (f *fleet) serve(address string, h http.Handler) *http.Server {
	l, err := f.network.Listen(address)
	f.is.NoErr(err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return server
}

const failureDomainCount = 3

// start starts an incarnation of the gateway with the given index and adds it to
// the directory at once.
func (f *fleet) start(index, number int) *node {
	id := ident.DaemonID(fmt.Sprintf("entry-%d", index))
	self := view.Daemon{
		ID:            id,
		Incarnation:   ident.NewIncarnation(id, []byte{byte(number)}),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", index%failureDomainCount)),
		PeerAddress:   fmt.Sprintf("entry-%d:90", index),
		State:         view.Live,
	}
	cfg := dispatch.DefaultConfig()
	cfg.Dial = f.network.Dial
	n := &node{metrics: metrics.NewRegistry(), done: make(chan struct{}), peers: f.network.Client()}
	var dispatcher actions.Dispatcher = dispatch.New(cfg)
	if f.directTransport != nil {
		n.peers = &http.Client{Transport: f.directTransport}
		dispatcher = f.instantDispatcher
	}
	n.Service = actions.New(actions.Config{
		Self:       self.Incarnation,
		Directory:  &directory{self: self, fleet: f},
		Config:     config{},
		Store:      f.store,
		Dispatcher: dispatcher,
		Peers:      n.peers,
		Metrics:    n.metrics,

		MaxTokenOwners: f.maxOwners,
	})
	path, handler := n.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	if f.directTransport == nil {
		n.server = f.serve(self.PeerAddress, mux)
	} else {
		f.directTransport[self.PeerAddress] = mux
		n.server = &http.Server{}
	}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, self)
	f.started = append(f.started, n)
	return n
}

// markEnded reports whether the caller is the first to end the incarnation.
func (n *node) markEnded() bool { return !n.ended.Swap(true) }

// crash ends an incarnation without removing it from the directory.
func (n *node) crash() {
	n.cancel()
	_ = n.server.Close()
	<-n.done
}

// removeFromDirectory removes a gateway's oldest incarnation from the directory.
func (f *fleet) removeFromDirectory(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, d := range f.daemons {
		if d.ID == ident.DaemonID(fmt.Sprintf("entry-%d", index)) {
			f.daemons = append(f.daemons[:i:i], f.daemons[i+1:]...)
			return
		}
	}
}

func (f *fleet) key(owner int, suffix string) string {
	token, _ := f.nodes[owner].Token()
	return token + suffix
}

func (f *fleet) pledge(gateway int, key string) (string, error) {
	return f.post(gateway, key, "/pledges")
}

func (f *fleet) post(gateway int, key, path string) (string, error) {
	a, err := f.nodes[gateway].Execute(context.Background(), call.ServiceCall{
		Workspace: "huaman", Service: "casos", Key: key, Method: http.MethodPost, Path: path, Body: []byte("50"),
	})
	return string(a.Body), err
}

func (f *fleet) outcome(gateway int, key string) (string, error) {
	a, pending, err := f.nodes[gateway].Outcome(context.Background(), "huaman", key)
	f.is.True(!pending)
	return string(a.Body), err
}

// executionCount returns how often an action whose key has a token ran.
func (f *fleet) executionCount(key string) int { return f.log.Count("huaman/" + key) }

func (f *fleet) expectRefusal(err error, executed refusal.Executed, reason refusal.Reason) {
	f.is.Helper()
	f.is.True(err != nil) // expected a refusal
	if err == nil {
		return
	}
	r := refusal.From(err)
	f.is.Equal(r.Executed, executed)
	f.is.Equal(r.Reason, reason)
}

func (n *node) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.metrics).Count()
}
