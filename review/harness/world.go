package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// host is the host of all routes.
const host = "a.example"

// Ports that a daemon listens on, at an address of its own.
const (
	portFront     = 28221
	portReadiness = 28224
	portControl   = 28229
	portDirectory = 28220
	portFirst     = 27600
	portLast      = 27615
)

// world holds the stand-ins and the daemons of one case.
type world struct {
	rec   *record
	dir   string
	store *site.Store
	cloud *site.Cloud
	// subnet holds the first three numbers of the daemons' loopback addresses.
	subnet  string
	daemons []*daemon
	runners []*runner
	stop    chan struct{}
	// rollouts says that the contract on roll-outs is in force.
	rollouts bool
	beats    sync.WaitGroup
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	w := &world{rec: rec, dir: dir, store: site.NewStore(), cloud: site.NewCloud(), stop: make(chan struct{})}
	w.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	return w, nil
}

func (w *world) close() {
	close(w.stop)
	w.beats.Wait()
	for _, d := range w.daemons {
		d.kill()
	}
	for _, r := range w.runners {
		r.crash()
	}
	w.store.CloseClientConnections()
	w.cloud.CloseClientConnections()
	w.store.Close()
	w.cloud.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// daemon is one process of the project's daemon.
type daemon struct {
	w        *world
	name, ip string
	zone     string
	memoryMB int
	settings string
	seeds    []string
	store    string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// startDaemons starts the daemons of a fleet for the first time and waits until all are ready.
func (w *world) startDaemons(n int, change func(d *daemon)) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", w.subnet, 11+i, portControl))
	}
	for i := range n {
		d := &daemon{w: w, name: fmt.Sprintf("edge-north-%d", i+1), ip: fmt.Sprintf("%s.%d", w.subnet, 11+i), zone: "north",
			memoryMB: 284, seeds: seeds, store: w.store.Address()}
		if change != nil {
			change(d)
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(true); err != nil {
			return err
		}
	}
	return w.awaitReady(w.daemons...)
}

func (w *world) awaitReady(daemons ...*daemon) error {
	for _, d := range daemons {
		if !w.await(15*time.Second, d.ready) {
			return fmt.Errorf("daemon %s is not ready", d.name)
		}
		w.rec.note("%s is ready", d.name)
	}
	return nil
}

// await waits until a condition holds, and reports whether it does in time.
func (w *world) await(limit time.Duration, condition func() bool) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// start starts the process with the command of the deploy file. bootstrap says that the whole system starts for the
// first time.
func (d *daemon) start(bootstrap bool) error {
	d.settings = filepath.Join(d.w.dir, d.name+".conf")
	if err := os.WriteFile(d.settings, []byte(d.settingsText(bootstrap)), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	d.cmd = exec.Command("target/geraniumd")
	d.cmd.Env = append(os.Environ(), "GERANIUMSTACK_CONFIG="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		d.w.rec.note("%s has ended: %v", d.name, err)
		close(ended)
	}(d.cmd, d.ended)
	d.w.rec.note("%s starts at %s, bootstrap=%v", d.name, d.ip, bootstrap)
	return nil
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	// It may have ended before.
	_ = d.cmd.Process.Kill()
	<-d.ended
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, portFront) }

func (d *daemon) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readyz", d.ip, portReadiness), http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// settingsText returns the settings of a machine of a small installation: those of the users' example, with the
// addresses of this case.
func (d *daemon) settingsText(bootstrap bool) string {
	lines := []string{
		"node_name=" + d.name, "role=gateway", "machine_class=edge", "serves=edge,control_plane,directory", "ip=" + d.ip,
		"zone=" + d.zone, "region=area", "zones.north=area", "zones.south=area",
		fmt.Sprintf("listen.front=%s", d.front()), fmt.Sprintf("listen.readiness=%s:%d", d.ip, portReadiness),
		fmt.Sprintf("listen.control=%s:%d", d.ip, portControl), fmt.Sprintf("listen.directory=%s:%d", d.ip, portDirectory),
		fmt.Sprintf("port_range=%d,%d", portFirst, portLast), "seeds=" + strings.Join(d.seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap),
		"in_tolerance=false", "limits.cpu_share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", d.memoryMB), "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=directory", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_deadline_ms=2000",
		"bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.strict_revocation=true", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_min_retries=52", "bounds.quota_window_s=8",
		"bounds.quota_overage=0.1", "bounds.quota_slack=190000", "bounds.require_fencing=false", "bounds.lease_ms=3000",
		"bounds.freeze_slack_ms=300", "bounds.usage_window_s=5", "bounds.usage_tolerance=0.05", "bounds.usage_delay_s=10",
		"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.again_s=10", "bounds.ttl_max_s=5",
		"platform.address=" + d.store, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
		"cloud.address=" + d.w.cloud.Address(), "cloud.rate_per_s=50.0", "cloud.duties=usage,autoscale", "cloud.duty_per_s=50.0",
	}
	if d.w.rollouts {
		lines = append(lines, "bounds.expose_share=0.1", "bounds.expose_slack=50", "bounds.rollback_ms=5000")
	}
	return strings.Join(lines, "\n") + "\n"
}

// routeOf describes a route of the operator's configuration.
type routeOf struct {
	prefix, kind, service        string
	timeoutMillis, targetMillis  int
	attempts                     int
	resumable, public            bool
	gapAimMillis, priorityOfType int
}

// serviceOf describes a service of the operator's configuration.
type serviceOf struct {
	name   string
	engine bool
}

// tenant and key are those of all callers.
const (
	tenant = "shelter"
	key    = "k1i9n73hh2b9wu3fexd9"
)

// configure writes a version of the operator's configuration.
func (w *world) configure(version int, services []serviceOf, routes []routeOf) error {
	var routeDocs, serviceDocs []map[string]any
	for i, r := range routes {
		routeDocs = append(routeDocs, map[string]any{
			"name": fmt.Sprintf("route%d", i+1), "hostname": host, "path_prefix": r.prefix, "route_type": r.kind, "timeout_ms": r.timeoutMillis,
			"target_latency_ms": r.targetMillis, "priority": r.priorityOfType, "service": r.service, "max_attempts": r.attempts, "public": r.public,
			"resumable": r.resumable, "gap_aim_ms": r.gapAimMillis, "sticky": r.kind == site.Stream,
		})
	}
	for _, s := range services {
		doc := map[string]any{"name": s.name, "health_path": "/healthz", "max_connections": 360}
		if s.engine {
			doc["engine"] = map[string]any{"slots": 64, "kv_tokens": 566565}
		}
		serviceDocs = append(serviceDocs, doc)
	}
	w.rec.note("the operator writes config %d", version)
	return w.store.Put("op/config", map[string]any{
		"version": version, "routes": routeDocs, "services": serviceDocs,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}, "unit": "tokens", "rate_per_s": 1000000, "burst": 1000000, "plain_tokens": 200}},
	})
}

// heartbeat is how often a runner writes its entry.
const heartbeat = 1200 * time.Millisecond

// keepBeating writes a runner's entry as long as it runs.
func (w *world) keepBeating(r *runner) {
	w.beats.Add(1)
	go func() {
		defer w.beats.Done()
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			r.beat()
			select {
			case <-tick.C:
			case <-w.stop:
				return
			}
		}
	}()
}

var errNoPort = errors.New("no free port")

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(errNoPort, err)
	}
	return l, nil
}
