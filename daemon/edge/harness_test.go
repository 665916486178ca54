package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/spillover"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
	"geraniumstack.org/geraniumstack/transport/kv"
	"geraniumstack.org/geraniumstack/transport/peerhttp"
)

const (
	configKey    = "config"
	runnerPrefix = "runners/"
	orderPrefix  = "orders/"
	statusPrefix = "status/"
	host         = "a.example"
	key          = "key-1"
	workspace    = ident.Workspace("shelter")
)

// drainBound is Bounds.DrainWithin of the test fleets.
const drainBound = 3 * time.Second

// testFleet is a fleet of daemons in virtual time with one key-value service, runners and a
// cloud. All of these are small fakes in which tests can switch on faults.
type testFleet struct {
	*is.I
	t       *testing.T
	start   time.Time
	store   *kvserver.Store
	network *network
	// calls carries the calls between daemons.
	calls   *pipe.Network
	held    *heldCalls
	runners *runners
	cloud   *cloud
	daemons []*daemon
	// storeUnavailable starts daemons from now on without access to the key-value service.
	storeUnavailable bool
	// servedBefore starts daemons from now on as members of a fleet that has served before.
	servedBefore bool
	// domains are the failure domains that daemons are assigned to in turn. If empty, all
	// daemons are in one.
	domains []ident.FailureDomain
	// tolerance is the amount by which workspaces may exceed their quotas in a quota window.
	tolerance quota.Tolerance
	// directFleet is the size of the largest fleet whose daemons all send messages to each other,
	// without relays; zero stands for the program's default.
	directFleet int
	// spillover is the price of traffic between failure domains for daemons started from now on,
	// without the mechanisms that they leave out.
	spillover spillover.Price
	without   string
	// lastToken is the highest fencing token seen so far.
	lastToken uint64
	// served counts the requests that watchDuties sent and that were served.
	served int64
}

type daemon struct {
	*edge.Edge
	store *faultyStore
	log   *decisions.Log
	// counters holds what the daemon has counted.
	counters metrics.Registry
	// runners is the daemon's access to the runners.
	runners *daemonRunners
	// requests limits the bytes of its requests.
	requests *callerlimit.Requests
	// address is the daemon's peer address.
	address string
	// helper is what answers the other daemons' delegated requests in the daemon's place; nil for the daemon itself.
	helper atomic.Pointer[scriptedHelper]
	cancel context.CancelFunc
	done   chan struct{}
}

// withFleet runs a test with n daemons that have read a configuration. If n is greater than
// relays.AllWatchFleet they elect relays; withDirectFleet starts a larger fleet in which every
// daemon is a relay.
func withFleet(t *testing.T, n int, c route.Config, f func(w *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testFleet{I: is.New(t), t: t, start: time.Now(), store: kvserver.New(), network: newNetwork(), calls: pipe.NewNetwork(), held: newHeldCalls(), runners: newRunners(), cloud: &cloud{}, directFleet: relays.AllWatchFleet}
		w.configure(c)
		for range n {
			w.addDaemon()
		}
		defer func() {
			for _, d := range w.daemons {
				d.kill()
			}
		}()
		time.Sleep(time.Second)
		f(w)
	})
}

func (w *testFleet) steady() time.Duration { return time.Since(w.start) }

func (w *testFleet) addDaemon() *daemon {
	d := w.startDaemon(len(w.daemons))
	w.daemons = append(w.daemons, d)
	return d
}

// restart starts the daemon with index i, which was killed, as a new incarnation. Its fleet has
// served before.
func (w *testFleet) restart(i int) *daemon {
	w.servedBefore = true
	w.daemons[i] = w.startDaemon(i)
	return w.daemons[i]
}

// restartAsFirst is like restart, but the daemon's settings say that its fleet has never served.
func (w *testFleet) restartAsFirst(i int) *daemon {
	w.servedBefore = false
	w.daemons[i] = w.startDaemon(i)
	return w.daemons[i]
}

// startDaemon starts the daemon with index i.
func (w *testFleet) startDaemon(i int) *daemon {
	address := peerAddress(i)
	store := &faultyStore{Store: w.store, unavailable: w.storeUnavailable}
	ctx, cancel := context.WithCancel(context.Background())
	var seeds []string
	if i > 0 {
		seeds = []string{peerAddress(0)}
	}
	policy, err := edge.Without(w.without)
	w.NoErr(err)
	if w.directFleet > 0 {
		policy, err = policy.WithDirectFleet(w.directFleet)
		w.NoErr(err)
	}
	access := &daemonRunners{runners: w.runners}
	transport := peerhttp.NewTransport(w.held.dial(w.calls.Dial))
	counters := metrics.NewRegistry()
	log := decisions.New(counters)
	d := &daemon{store: store, log: log, counters: counters, runners: access, requests: callerlimit.NewRequests(requestBytes), address: address, cancel: cancel, done: make(chan struct{})}
	domain := ident.FailureDomain("north")
	if n := len(w.domains); n > 0 {
		domain = w.domains[i%n]
	}
	d.Edge = edge.New(edge.Settings{
		ID: ident.DaemonID(fmt.Sprintf("d%d", i+1)), FailureDomain: domain,
		CallerAddress: fmt.Sprintf("%s:80", daemonIP(i)), PeerAddress: address, Seeds: seeds, FleetNeverServed: !w.servedBefore, Policy: policy, Spillover: w.spillover,
		Bounds: edge.Bounds{
			Grace: 8 * time.Second, ConfigWithin: 2 * time.Second, DrainWithin: drainBound, RevokeWithin: 5 * time.Second, StrictRevocation: true,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, QuotaWindow: 8 * time.Second, QuotaTolerance: w.tolerance,
			LeaseTTL: 3 * time.Second, MaxHolderPause: 300 * time.Millisecond,
			UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second,
			Trials: canary.Bounds{Share: trialShare, Slack: trialSlack},
		},
	}, edge.Deps{
		Store: store, Codec: jsonCodec{}, Runners: access, Cloud: w.cloud,
		Datagrams: w.network.listen(address), Delegation: &http.Client{Transport: transport}, Steady: w.steady,
		Requests: d.requests, Log: log,
	})
	listener, err := w.calls.Listen(address)
	w.NoErr(err)
	mux := http.NewServeMux()
	mux.Handle(d.scriptableDelegation())
	server := peerhttp.NewServer(mux)
	go func() { _ = server.Serve(listener) }()
	go func() {
		defer close(d.done)
		defer transport.CloseIdleConnections()
		defer server.Close()
		if err := d.Run(ctx); err != nil {
			w.t.Errorf("daemon %d: %v", i, err)
		}
	}()
	return d
}

// requestBytes is what the requests of one daemon may hold.
const requestBytes = 16 << 20

// counted returns the value of one of the daemon's counters.
func (d *daemon) counted(name string) int64 {
	return metrics.GetOrRegisterCounter(name, d.counters).Count()
}

func (d *daemon) kill() {
	d.cancel()
	<-d.done
}

// put writes a key regardless of its present value.
func (w *testFleet) put(key string, value any) {
	data, err := json.Marshal(value)
	w.NoErr(err)
	entry, err := w.store.Get(context.Background(), key)
	w.NoErr(err)
	_, err = w.store.CompareAndSwap(context.Background(), key, entry.Revision, data, 0)
	w.NoErr(err)
}

func (w *testFleet) configure(c route.Config) { w.put(configKey, c) }

func (w *testFleet) addRunner(id, service string) *runner {
	r := w.runners.add(id)
	w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: service, FailureDomain: "north", State: view.Live,
	}, Slots: 8})
	return r
}

// leaving writes a runner's entry with the state in which it announces that it is leaving.
func (w *testFleet) leaving(id, service string) {
	w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: service, FailureDomain: "north", State: view.Leaving,
	}, Slots: 8})
}

// config returns a configuration with one workspace and four routes: idempotent, at-most-once,
// a resumable stream and a stream that can't be resumed.
func config(version uint64) route.Config {
	return route.Config{
		Version: ident.Generation(version),
		Routes: []route.Route{
			{Name: "read", Host: host, PathPrefix: "/read/", Kind: route.Idempotent, Timeout: time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: "app", Weight: 1}}},
			{Name: "pledge", Host: host, PathPrefix: "/pledge/", Kind: route.AtMostOnce, Timeout: time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: "app", Weight: 1}}},
			{Name: "draft", Host: host, PathPrefix: "/draft/", Kind: route.Stream, Resumable: true, Timeout: 10 * time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: "app", Weight: 1}}},
			{Name: "match", Host: host, PathPrefix: "/match/", Kind: route.Stream, Timeout: 10 * time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: "app", Weight: 1}}},
		},
		Services:   []route.Service{{Name: "app"}},
		Workspaces: []route.Workspace{{Name: workspace, Keys: []string{key}}},
	}
}

var lastRequestID atomic.Int64

// ask sends a request to a daemon and returns the caller's reply.
func (w *testFleet) ask(d *daemon, path, callerKey string) *recordedReply {
	return w.askWithin(context.Background(), d, path, callerKey, 0)
}

func (w *testFleet) askWithin(ctx context.Context, d *daemon, path, callerKey string, patience time.Duration) *recordedReply {
	a := &recordedReply{}
	d.Serve(ctx, &edge.Request{
		ID: fmt.Sprintf("r%d", lastRequestID.Add(1)), Host: host, Path: path, Method: http.MethodPost, Target: path,
		Header: http.Header{}, Key: callerKey, Received: time.Now(), CallerTimeout: patience,
	}, a)
	return a
}

// recordedReply is an edge.Reply that records what the caller received.
type recordedReply struct {
	refusal  *refusal.Refusal
	status   int
	body     bytes.Buffer
	finished bool
	aborted  bool
}

func (a *recordedReply) Refuse(r *refusal.Refusal, _ bool)                { a.refusal = r }
func (a *recordedReply) Start(status int, _ http.Header, _ int64, _ bool) { a.status = status }
func (a *recordedReply) Write(p []byte) error                             { a.body.Write(p); return nil }
func (a *recordedReply) Finish()                                          { a.finished = true }
func (a *recordedReply) Abort()                                           { a.aborted = true }

func (a *recordedReply) reason() refusal.Reason {
	if a.refusal == nil {
		return ""
	}
	return a.refusal.Reason
}

// jsonCodec is an edge.Codec that reads the product's own types encoded as JSON.
type jsonCodec struct{}

func (jsonCodec) ConfigKey() string    { return configKey }
func (jsonCodec) RunnerPrefix() string { return runnerPrefix }

func (jsonCodec) Config(value []byte) (route.Config, error) {
	var c route.Config
	err := json.Unmarshal(value, &c)
	return c, err
}

func (jsonCodec) Runner(_ string, value []byte, _ time.Time) (edge.Runner, error) {
	var r edge.Runner
	err := json.Unmarshal(value, &r)
	return r, err
}

func (jsonCodec) OrderPrefix() string { return orderPrefix }

func (jsonCodec) Order(_ string, value []byte) (canary.Order, error) {
	var o canary.Order
	err := json.Unmarshal(value, &o)
	return o, err
}

func (jsonCodec) Status(service string, target canary.Version, state canary.State) (string, []byte, error) {
	value, err := json.Marshal(orderStatus{target, state})
	return statusPrefix + service, value, err
}

// orderStatus is the status of an order that the operator reads.
type orderStatus struct {
	Target canary.Version
	State  canary.State
}

// faultyStore is one daemon's access to the key-value service, in which tests can switch on
// faults.
type faultyStore struct {
	kv.Store
	mu sync.Mutex
	// unavailable makes calls fail. missesEvents makes watches return no events though the
	// revision advances. readOnly makes writes fail, unlisted listings.
	unavailable, missesEvents, readOnly, unlisted bool
}

func (s *faultyStore) setUnlisted(unlisted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unlisted = unlisted
}

func (s *faultyStore) setReadOnly(readOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = readOnly
}

func (s *faultyStore) setFaults(unavailable, missesEvents bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable, s.missesEvents = unavailable, missesEvents
}

func (s *faultyStore) unavailableError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return &kv.UnavailableError{Err: &kvserver.OutageError{}}
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.unavailableError(); err != nil {
		return kv.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]kv.Entry, error) {
	if err := s.unavailableError(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	unlisted := s.unlisted
	s.mu.Unlock()
	if unlisted {
		return nil, &kv.UnavailableError{Err: &kvserver.OutageError{}}
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, expected kv.Revision, value []byte, lease kv.LeaseID) (kv.Revision, error) {
	if err := s.unavailableError(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	readOnly := s.readOnly
	s.mu.Unlock()
	if readOnly {
		return 0, &kv.UnavailableError{Err: &kvserver.OutageError{}}
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (s *faultyStore) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	if err := s.unavailableError(); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, lease)
}

func (s *faultyStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.unavailableError(); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *faultyStore) Revoke(ctx context.Context, lease kv.LeaseID) error {
	if err := s.unavailableError(); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, lease)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	if err := s.unavailableError(); err != nil {
		return nil, after, err
	}
	events, next, err := s.Store.Watch(ctx, prefix, after, wait)
	s.mu.Lock()
	missesEvents := s.missesEvents
	s.mu.Unlock()
	if missesEvents && len(events) > 0 {
		time.Sleep(wait)
		return nil, next, err
	}
	if failed := s.unavailableError(); failed != nil {
		return nil, after, failed
	}
	return events, next, err
}
