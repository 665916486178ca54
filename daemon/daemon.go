// Package daemon assembles the process of one entry VM: three listeners
// (callers, peers, operators) on top of the control plane, model requests,
// actions, plain services and orders.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/actions"
	"geraniumstack.org/geraniumstack/daemon/control"
	modeldispatch "geraniumstack.org/geraniumstack/daemon/dispatch"
	"geraniumstack.org/geraniumstack/daemon/models"
	"geraniumstack.org/geraniumstack/daemon/orders"
	"geraniumstack.org/geraniumstack/daemon/services"
	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/usage"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
	"geraniumstack.org/geraniumstack/transport/dispatch"
	"geraniumstack.org/geraniumstack/transport/gateway"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
	"geraniumstack.org/geraniumstack/transport/kv"
	"geraniumstack.org/geraniumstack/transport/tlsreload"
)

const (
	// incarnationBytes and requestIDBytes are the numbers of random bytes in an
	// incarnation and in a request ID.
	incarnationBytes = 8
	requestIDBytes   = 12
	// engineIdleTimeout is how long an engine's stream may carry no line, not
	// even a heartbeat, before the attempt fails.
	engineIdleTimeout = 3 * time.Second
	// ordersInterval is the time between two rounds of the orders driver.
	ordersInterval = time.Second
	// stopGrace is the time that a runner gets to finish its work before a
	// planned stop.
	stopGrace = 30 * time.Second
	// shutdownMargin is how long before the VM stops a graceful shutdown ends,
	// and the time the servers then get to close their connections.
	shutdownMargin = 2 * time.Second
)

// Daemon is the daemon process of one entry VM.
type Daemon struct {
	settings *settings.Settings
	self     view.Daemon
	metrics  metrics.Registry
	usage    *usage.Table

	callers, peers, admin net.Listener

	tls      *tlsreload.Reloader
	store    kv.Store
	control  *control.Control
	models   *models.Models
	actions  *actions.Service
	dispatch *modeldispatch.Dispatcher
	services *services.Services
	orders   *orders.Driver
	gateway  *gateway.Gateway
	// endedLines limits the lines about connections that were ended for others.
	endedLines callerlimit.Rate
	// aborted is closed by Abort, and draining when a graceful shutdown begins.
	aborted  chan struct{}
	draining chan struct{}
}

// New binds the listeners and creates the components. Run starts them.
func New(s *settings.Settings, n Network) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		metrics:  metrics.NewRegistry(),
		usage:    usage.NewTable(),
		aborted:  make(chan struct{}),
		draining: make(chan struct{}),
	}
	if err := d.listen(n); err != nil {
		return nil, err
	}
	if err := d.enableTLS(); err != nil {
		return nil, err
	}
	d.self = view.Daemon{
		ID:            s.ID,
		Incarnation:   newIncarnation(s.ID),
		FailureDomain: s.FailureDomain,
		CallerAddress: d.callers.Addr().String(),
		PeerAddress:   d.peers.Addr().String(),
		State:         view.Live,
	}
	d.createComponents(n)
	return d, nil
}

func newIncarnation(id ident.DaemonID) ident.Incarnation {
	var b [incarnationBytes]byte
	// crypto/rand.Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(b[:])
	return ident.NewIncarnation(id, b[:])
}

// seed returns a random seed. Daemons with equal seeds would make the same
// random choices.
func seed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func (d *Daemon) listen(n Network) error {
	var err error
	if d.callers, err = n.Listen(d.settings.Listen.Callers); err != nil {
		return fmt.Errorf("callers' listener: %w", err)
	}
	if d.peers, err = n.Listen(d.settings.Listen.Peers); err != nil {
		return fmt.Errorf("peers' listener: %w", err)
	}
	if d.admin, err = n.Listen(d.settings.Listen.Admin); err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	limits := d.callerLimits()
	// As many requests may be in progress as the settings say, whatever their connections take.
	concurrent := d.settings.Limits.MaxConcurrent
	d.callers = d.limited(d.callers, max(limits.Callers, concurrent+concurrent/4), "callers")
	d.peers = d.limited(d.peers, limits.Peers, "peers")
	d.admin = d.limited(d.admin, limits.Checks, "admin")
	return nil
}

// enableTLS wraps the peer and admin listeners in TLS. Only peers must present
// client certificates; operators authenticate with bearer keys.
func (d *Daemon) enableTLS() error {
	if d.settings.TLS == nil {
		return nil
	}
	var err error
	if d.tls, err = tlsreload.New(*d.settings.TLS); err != nil {
		return fmt.Errorf("TLS: %w", err)
	}
	d.peers = tls.NewListener(d.peers, d.tls.ServerConfig())
	admin := d.tls.ServerConfig()
	admin.ClientAuth = tls.NoClientCert
	d.admin = tls.NewListener(d.admin, admin)
	return nil
}

// peerClient returns the client for calls to other daemons. It uses TLS if the
// settings enable it.
func (d *Daemon) peerClient(n Network) *http.Client {
	if d.tls == nil {
		return newHTTPClient(n, d.countRefused)
	}
	return newHTTPClient(tlsNetwork{Network: n, config: d.tls.ClientConfig()}, d.countRefused)
}

// countRefused counts and logs an answer that is none.
func (d *Daemon) countRefused(e *httpanswer.Error) {
	metrics.GetOrRegisterCounter("answers_refused."+string(e.Kind), d.metrics).Inc(1)
	klog.InfoS("answer refused", "kind", e.Kind, "detail", e.Detail)
}

func (d *Daemon) createComponents(n Network) {
	client := newHTTPClient(n, d.countRefused)
	peers := d.peerClient(n)
	p := d.settings.Platform
	d.store = kv.NewHTTPClient(p.KeyValue, client)
	cloud := cloudapi.NewClient(p.Cloud, client)
	lister := cloudapi.NewClient(p.VMList, client)
	engines := newEngines(client, engineIdleTimeout)
	d.control = control.New(control.Config{
		Self: d.self, Seeds: d.settings.Seeds, Store: d.store,
		Lister: lister, Cloud: cloud, HTTPClient: peers, Metrics: d.metrics,
	})
	configuration := d.control.ConfigView()
	sender := dispatch.DefaultConfig()
	sender.Dial, sender.Refused = n.Dial, d.countRefused
	d.services = services.New(services.Config{
		Directory: d.control, Config: configuration, Sender: serviceSender{dispatch.New(sender)},
		Probe: newDialProbe(n), Metrics: d.metrics, Retry: retry.Default(), Health: health.Default(),
		AttemptTimeout: services.DefaultAttemptTimeout, Tick: services.DefaultTick, Seed: seed(),
	})
	d.dispatch = modeldispatch.New(modeldispatch.Config{
		Directory: d.control, Config: configuration, Engines: engines,
		Prober: modeldispatch.FreshConnProber{Dial: n.Dial}, Metrics: d.metrics,
		Policy: modeldispatch.DefaultPolicy(), Timing: modeldispatch.DefaultTiming(), Seed: seed(),
	})
	d.models = models.New(models.Config{
		Self: d.self.Incarnation, Directory: d.control, Config: configuration,
		Engines: d.dispatch.Observe(engines), Peers: models.HTTPPeers{Client: peers},
		Picker:  d.dispatch,
		Metrics: d.metrics,
	})
	d.actions = actions.New(actions.Config{
		Self: d.self.Incarnation, Directory: d.control, Config: configuration,
		Store: d.store, Dispatcher: dispatch.New(sender), Peers: peers, Metrics: d.metrics,
		MaxTokenOwners: d.settings.Limits.MaxTokenOwners,
	})
	d.orders = orders.New(orders.Config{
		Self: d.self.Incarnation, Configuration: configuration, Directory: d.control,
		Store: d.store, Cloud: cloud, Lister: lister, Weights: newWeightsClient(p.Weights, client),
		Engines: engines, Timing: lease.DefaultTiming(), Metrics: d.metrics,
		RoundInterval: ordersInterval, StopGrace: stopGrace,
	})
	d.gateway = gateway.New(gateway.Config{
		Configuration: configuration, Directory: d.control, Models: d.models,
		Actions: d.actions, Services: d.services, NewRequestID: d.newRequestID,
		Usage: d.usage, Metrics: d.metrics, Limits: d.limits(), Requests: d.newRequests(),
	})
}

// callerLimits returns the limits on what all callers hold together.
func (d *Daemon) callerLimits() callerbudget.Limits {
	return callerbudget.LimitsOf(int64(d.settings.Limits.MemoryMB)<<20, d.settings.Limits.MaxDescriptors)
}

// newRequests returns the limiter of the callers' requests, with its gauges.
func (d *Daemon) newRequests() *callerlimit.Requests {
	requests := callerlimit.NewRequests(d.callerLimits().Bytes)
	d.metrics.GetOrRegister("callers.bytes", metrics.NewFunctionalGauge(func() int64 { used, _ := requests.Usage(); return used }))
	d.metrics.GetOrRegister("callers.bytes_limit", metrics.NewFunctionalGauge(func() int64 { _, limit := requests.Usage(); return limit }))
	return requests
}

func newWeightsClient(base string, client *http.Client) cloudapi.WeightStore {
	if base == "" {
		return nil
	}
	return cloudapi.NewClient(base, client)
}

func (d *Daemon) limits() gateway.Limits {
	l := d.settings.Limits
	return gateway.Limits{
		MaxBodyBytes:      l.MaxBodyBytes,
		MaxConcurrent:     l.MaxConcurrent,
		ReadTimeout:       settings.Millis(l.ReadTimeoutMillis),
		WriteTimeout:      settings.Millis(l.WriteTimeoutMillis),
		Heartbeat:         settings.Millis(l.CallerHeartbeatMillis),
		GatewayListTTL:    settings.Millis(l.GatewaysLifetimeMillis),
		MaxServiceTimeout: settings.Millis(l.MaxServiceTimeoutMillis),
	}
}

// newRequestID returns an ID that contains the incarnation of the accepting
// daemon, so that any gateway can find the daemon that handles the request.
func (d *Daemon) newRequestID() ident.RequestID {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return ident.NewRequestID(d.self.Incarnation, b[:])
}

// Self returns this daemon's identity and addresses, with the actual ports
// where the system chose them.
func (d *Daemon) Self() view.Daemon { return d.self }

// AdminAddress returns the address of the admin listener.
func (d *Daemon) AdminAddress() string { return d.admin.Addr().String() }

// Run serves until ctx ends, the VM is about to be reclaimed, or an operator
// drains the daemon. It then shuts down gracefully within the bound in the
// settings.
func (d *Daemon) Run(ctx context.Context) error {
	// The components must keep running after ctx ends, until the graceful
	// shutdown is complete.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	g, work := errgroup.WithContext(work)
	for name, run := range map[string]func(context.Context) error{
		"control": d.control.Run, "models": d.models.Run, "actions": d.actions.Run,
		"orders": d.orders.Run, "dispatch": d.dispatch.Run, "services": d.services.Run,
	} {
		g.Go(func() error { return wrapRunError(name, run(work)) })
	}
	if d.tls != nil {
		g.Go(func() error {
			d.tls.Run(work, tlsreload.DefaultInterval)
			return nil
		})
	}
	servers := d.servers()
	go func() {
		select {
		case <-work.Done():
		case <-d.aborted:
			stopWork()
			for _, s := range servers {
				_ = s.Close()
			}
		}
	}()
	for _, s := range servers {
		g.Go(func() error { return s.serve() })
	}
	klog.InfoS("Daemon started", "incarnation", d.self.Incarnation, "callers", d.self.CallerAddress,
		"peers", d.self.PeerAddress, "admin", d.AdminAddress())
	g.Go(func() error {
		defer stopWork()
		d.waitForShutdown(ctx, work)
		d.closeServers(servers)
		return nil
	})
	return g.Wait()
}

func wrapRunError(name string, err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%s: %w", name, err)
}

type server struct {
	*http.Server
	listener net.Listener
}

func (s server) serve() error {
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

func (d *Daemon) servers() []server {
	return []server{
		{d.newServer(d.gateway, callerbudget.Receiving), d.callers},
		{d.newServer(d.peerHandler(), callerbudget.Answering), d.peers},
		{d.newServer(d.adminHandler(), callerbudget.Answering), d.admin},
	}
}

// limited limits the connections of a listener.
func (d *Daemon) limited(l net.Listener, connections int, name string) net.Listener {
	ended := metrics.GetOrRegisterCounter("caller_ended.connection_of_"+name, d.metrics)
	return callerlimit.NewListener(l, connections, func(remote net.Addr, e callerlimit.Ended) {
		ended.Inc(1)
		if skipped, ok := d.endedLines.Allow(time.Now()); ok {
			klog.InfoS("Connection ended to make room for others", "listener", name, "remote", remote, "age", e.Age, "limit", e.Limit, "notLogged", skipped)
		}
	})
}

// newServer returns a server that bounds the time and header size of a request
// before its handler runs. It sets no timeout for bodies and responses, because
// that would end long streams; the handlers bound those.
func (d *Daemon) newServer(h http.Handler, active callerbudget.State) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: settings.Millis(d.settings.Limits.ReadTimeoutMillis),
		IdleTimeout:       2 * idleConnTimeout,
		MaxHeaderBytes:    d.settings.Limits.MaxHeaderBytes,
	}
	callerlimit.Follow(s, active)
	return s
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.control.Handler())
	mux.Handle(d.models.Handler())
	mux.Handle(d.actions.Handler())
	return mux
}

func (d *Daemon) closeServers(servers []server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			// Connections that do not end in time are closed; their callers
			// reconnect to another gateway.
			_ = s.Close()
		}
	}
}

// Abort ends Run at once, like a crash: nothing is handed over, and open
// connections break. It is for tests and must be called at most once.
func (d *Daemon) Abort() { close(d.aborted) }

// Control returns the daemon's control plane.
func (d *Daemon) Control() *control.Control { return d.control }
