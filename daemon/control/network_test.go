package control_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/control"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// network carries HTTP calls between daemons in one process, in virtual time,
// and injects delays, pauses and partitions.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	delay    time.Duration
	paused   map[string]bool
	cut      map[[2]string]bool
	bytes    int64
	calls    int64
}

func newNetwork() *network {
	return &network{
		handlers: map[string]http.Handler{}, delay: time.Millisecond,
		paused: map[string]bool{}, cut: map[[2]string]bool{},
	}
}

// unreachableError is the error of a call to an unknown address or over a cut
// link.
type unreachableError struct{ address string }

func (e *unreachableError) Error() string { return "unreachable: " + e.address }

// transportFrom returns the transport that the daemon at an address uses for its calls.
func (n *network) transportFrom(address string) http.RoundTripper { return &transport{n, address} }

type transport struct {
	network *network
	from    string
}

// RoundTrip waits for the one-way delay and while either endpoint is paused,
// and then calls the receiver's handler.
func (e *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	n := e.network
	for {
		if !wait(r.Context(), n.oneWay()) {
			return nil, r.Context().Err()
		}
		n.mu.Lock()
		handler, ok := n.handlers[r.URL.Host]
		isPaused := n.paused[r.URL.Host] || n.paused[e.from]
		cut := n.cut[[2]string{e.from, r.URL.Host}]
		n.mu.Unlock()
		if !ok || cut {
			return nil, &unreachableError{r.URL.Host}
		}
		if isPaused {
			wait(r.Context(), 10*time.Millisecond)
			continue
		}
		return n.serve(handler, r)
	}
}

func (n *network) serve(handler http.Handler, r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	n.mu.Lock()
	n.calls++
	n.bytes += max(0, r.ContentLength) + int64(recorder.Body.Len())
	n.mu.Unlock()
	if !wait(r.Context(), n.oneWay()) {
		return nil, r.Context().Err()
	}
	response := recorder.Result()
	response.Body = io.NopCloser(recorder.Body)
	return response, nil
}

// oneWay returns the one-way delay. A test may change it while calls are in
// flight.
func (n *network) oneWay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

func (n *network) update(change func(*network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// cloud is a test double for the platform's VM list and its termination
// notices.
type cloud struct {
	cloudapi.Cloud
	mu      sync.Mutex
	vms     []cloudapi.VM
	notices []cloudapi.Notice
	wake    chan struct{}
}

func newCloud() *cloud { return &cloud{wake: make(chan struct{})} }

func (c *cloud) List(context.Context) ([]cloudapi.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]cloudapi.VM{}, c.vms...), nil
}

func (c *cloud) addNotice(vm, address string, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices = append(c.notices, cloudapi.Notice{
		Sequence: uint64(len(c.notices) + 1), VM: vm, Address: address, LeftMillis: left.Milliseconds(),
	})
	close(c.wake)
	c.wake = make(chan struct{})
}

func (c *cloud) Notices(ctx context.Context, after uint64, d time.Duration) ([]cloudapi.Notice, error) {
	deadline := time.After(d)
	for {
		c.mu.Lock()
		notices, wake := c.notices, c.wake
		c.mu.Unlock()
		if uint64(len(notices)) > after {
			return notices[after:], nil
		}
		select {
		case <-wake:
		case <-deadline:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fleet is a set of daemons, five by default, in four failure domains, with
// stand-ins for the services they use.
type fleet struct {
	t          *testing.T
	network    *network
	store      *kvserver.Store
	cloud      *cloud
	daemons    []*daemon
	startCount int
	// afterSwap is called once, after the next swap of the head has taken
	// effect and before its response is returned.
	afterSwap func()
}

// hookedStore calls the fleet's afterSwap hook, so that a test can inject a
// fault at the moment of acceptance.
type hookedStore struct {
	*kvserver.Store
	fleet *fleet
}

// CompareAndSwap implements kv.Store.
func (w *hookedStore) CompareAndSwap(ctx context.Context, key string, expected kv.Revision, value []byte, lease kv.LeaseID) (kv.Revision, error) {
	revision, err := w.Store.CompareAndSwap(ctx, key, expected, value, lease)
	if key != "config/head" {
		return revision, err
	}
	w.fleet.network.mu.Lock()
	hook := w.fleet.afterSwap
	w.fleet.afterSwap = nil
	w.fleet.network.mu.Unlock()
	if hook != nil {
		hook()
	}
	return revision, err
}

type daemon struct {
	*control.Control
	address string
	started time.Time
	cancel  context.CancelFunc
	done    chan struct{}
}

var domains = []ident.FailureDomain{"lima-norte", "lima-sur", "lima-este", "lima-callao"}

func newFleet(t *testing.T) *fleet { return newFleetOf(t, 5) }

func newFleetOf(t *testing.T, n int) *fleet {
	f := &fleet{t: t, network: newNetwork(), store: kvserver.New(), cloud: newCloud()}
	for i := range n {
		f.daemons = append(f.daemons, f.start(i))
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }

// start creates and runs a new incarnation of daemon i.
func (f *fleet) start(i int) *daemon {
	d := f.prepare(i)
	f.run(d)
	return d
}

// prepare creates a new incarnation of daemon i that answers calls but whose
// Run has not begun.
func (f *fleet) prepare(i int) *daemon {
	f.startCount++
	id := ident.DaemonID(fmt.Sprintf("entry-%d", i))
	d := &daemon{address: address(i), started: time.Now(), done: make(chan struct{})}
	d.Control = control.New(control.Config{
		Self: view.Daemon{
			ID: id, Incarnation: ident.NewIncarnation(id, []byte{byte(f.startCount)}),
			FailureDomain: domains[i%len(domains)],
			CallerAddress: fmt.Sprintf("10.0.0.%d:8000", i+1), PeerAddress: d.address,
		},
		Seeds: []string{address(0), address(1)},
		Store: &hookedStore{Store: f.store, fleet: f}, Lister: f.cloud, Cloud: f.cloud,
		HTTPClient: &http.Client{Transport: f.network.transportFrom(d.address)},
	})
	_, handler := d.Handler()
	f.network.update(func(n *network) { n.handlers[d.address] = handler })
	return d
}

func (f *fleet) run(d *daemon) {
	ctx, cancel := context.WithCancel(f.t.Context())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		if err := d.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
}

// crash stops daemon i with its links cut, so that its peers are not told.
func (f *fleet) crash(i int) {
	f.network.update(func(n *network) {
		delete(n.handlers, address(i))
		for j := range f.daemons {
			n.cut[[2]string{address(i), address(j)}] = true
		}
	})
	f.daemons[i].cancel()
	<-f.daemons[i].done
}

// restart runs a new incarnation of a crashed daemon.
func (f *fleet) restart(i int) {
	f.reconnect(i)
	f.daemons[i] = f.start(i)
}

// reconnect restores the links of a crashed daemon's address.
func (f *fleet) reconnect(i int) {
	f.network.update(func(n *network) {
		for j := range f.daemons {
			delete(n.cut, [2]string{address(i), address(j)})
		}
	})
}

func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.cancel()
	}
	for _, d := range f.daemons {
		<-d.done
	}
	f.store.Close()
}

// waitUntil waits in virtual time for a condition and returns how long it took.
func (f *fleet) waitUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			f.t.Fatalf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// inForce returns a condition that holds once every daemon has the generation,
// or a higher one, in force.
func (f *fleet) inForce(generation ident.Generation) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			if _, g := d.Current(); g < generation {
				return false
			}
		}
		return true
	}
}

// allLive reports whether every daemon sees all daemons as live.
func (f *fleet) allLive() bool {
	for _, d := range f.daemons {
		live := 0
		for _, other := range d.Daemons() {
			if other.State == view.Live {
				live++
			}
		}
		if live != len(f.daemons) {
			return false
		}
	}
	return true
}

func (f *fleet) apply(i int, runners int, id string) (control.Outcome, error) {
	return f.daemons[i].Apply(f.t.Context(), control.Submission{
		Manifest: testManifest(runners), Author: "pipeline", ID: id, Expected: -1, Wait: 10 * time.Second,
	})
}

func testManifest(runners int) *manifest.Manifest {
	return &manifest.Manifest{
		Format:   manifest.Format,
		Models:   []manifest.Model{},
		Services: []manifest.Service{{Name: "casos", Kind: manifest.KindPlain, Runners: runners}},
		Workspaces: []manifest.Workspace{{
			Name: "owners", Weight: 1,
			KeyHashes: []string{"7f83b1657ff1fc53b92dc18148a1d65dfc2d4b1fa3d677284addd200126d9069"},
		}},
		Classes: []manifest.Class{{Name: "chat", TTFTMillis: 500, TBTMillis: 40}},
		Fleet: manifest.Fleet{
			FailureDomains: domains,
			VMClasses:      []manifest.VMClass{{Name: "small", PricePerHour: 1}},
		},
	}
}

var _ kv.Store = (*hookedStore)(nil)
