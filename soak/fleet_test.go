package soak_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	frontPort     = 18221
	readyPort     = 18224
	directoryPort = 18220
	grace         = 4 * time.Second
	revokeWithin  = 5 * time.Second
	host          = "a.example"
	// stableKey is held by every configuration, so it must never be denied.
	stableKey = "stable"
)

// fleet is the real program in processes of its own, before stand-ins in this one.
type fleet struct {
	t       *testing.T
	dir     string
	binary  string
	store   *site.Store
	cloud   *site.Cloud
	daemons []*daemon
	seed    int64
	record  *record

	// configuring is held by the operator's one write at a time: versions grow in the
	// order of the store.
	configuring sync.Mutex

	mu      sync.Mutex
	runners []*backend
	gone    []*backend
	version int
	// keys are in force; retired ones have been taken away, with the time at which
	// the store had taken the version.
	keys    []string
	retired map[string]time.Time
	// given is how many keys were given out.
	given int
	// thawed is when a daemon by its name went on after a pause.
	thawed map[string]time.Time
}

// backend is a runner behind a proxy.
type backend struct {
	*site.Runner
	proxy *proxy
}

// daemon is one process and the proxies through which it reaches the outside.
type daemon struct {
	fleet      *fleet
	name, ip   string
	storeProxy *proxy
	cloudProxy *proxy
	settings   string

	// restarting is held by what starts the process again, writing by what replaces
	// its settings.
	restarting, writing sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	output *lockedBuffer
	// told and killed say that the process was sent SIGTERM and SIGKILL.
	told, killed bool
	closed       bool
	// logged is the length of the output when the process was started.
	logged int
}

// lockedBuffer takes the output of one process after the other.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) length() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Len()
}

// has tells whether the output holds a text from a place on.
func (b *lockedBuffer) has(from int, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.Bytes()[from:], []byte(text))
}

func newFleet(t *testing.T, binary string, seed int64, daemons, runners int) (*fleet, error) {
	f := &fleet{
		t: t, seed: seed, record: &record{calls: map[string]*call{}},
		dir: t.TempDir(), binary: binary, store: site.NewStore(), cloud: site.NewCloud(),
		retired: map[string]time.Time{}, thawed: map[string]time.Time{}, keys: []string{"k0"},
	}
	f.configure()
	for range runners {
		if err := f.addRunner(); err != nil {
			return nil, err
		}
	}
	for i := range daemons {
		// Two soaks on one machine, also of the same seed, must not share addresses.
		d, err := f.newDaemon(fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+seed%250, 11+i))
		if err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		d.start()
	}
	return f, nil
}

func (f *fleet) newDaemon(ip string) (*daemon, error) {
	storeProxy, err := newProxy(f.store.Address())
	if err != nil {
		return nil, err
	}
	cloudProxy, err := newProxy(f.cloud.Address())
	if err != nil {
		return nil, err
	}
	d := &daemon{fleet: f, name: "edge-" + ip, ip: ip, storeProxy: storeProxy, cloudProxy: cloudProxy, settings: filepath.Join(f.dir, ip), output: &lockedBuffer{}}
	return d, d.writeSettings("127.0.0.1:1")
}

// writeSettings replaces the settings file as the platform does.
func (d *daemon) writeSettings(seeds string) error {
	lines := []string{
		"node_name=" + d.name, "zone=north", "ip=" + d.ip, "bootstrap=true", "port_range=17600,17601", "seeds=" + seeds,
		fmt.Sprintf("listen.front=%s:%d", d.ip, frontPort), fmt.Sprintf("listen.readiness=%s:%d", d.ip, readyPort),
		fmt.Sprintf("listen.directory=%s:%d", d.ip, directoryPort),
		"platform.address=" + d.storeProxy.address(), "cloud.address=" + d.cloudProxy.address(),
		fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())), fmt.Sprintf("bounds.revoke_ms=%d", revokeWithin.Milliseconds()),
		"bounds.strict_revocation=true", "bounds.retry_budget_ratio=0.2", "bounds.budget_min_retries=50",
		"bounds.usage_window_s=1", "bounds.usage_delay_s=5", "bounds.lease_ms=1500", "bounds.freeze_slack_ms=300",
	}
	d.writing.Lock()
	defer d.writing.Unlock()
	next := d.settings + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.settings)
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.cmd = exec.Command(d.fleet.binary)
	d.cmd.Env = append(os.Environ(), "GERANIUMSTACK_CONFIG="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.output, d.output
	d.told, d.killed = false, false
	d.logged = d.output.length()
	d.ended = make(chan struct{})
	if err := d.cmd.Start(); err != nil {
		d.fleet.t.Errorf("start %s: %v", d.name, err)
		close(d.ended)
		return
	}
	go d.wait(d.cmd, d.ended)
}

// wait reports a process that ends by itself.
func (d *daemon) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	told, killed, logged := d.told, d.killed, d.logged
	d.mu.Unlock()
	// A process that has not begun yet has no handler for the signal, and has
	// accepted nothing.
	told = told && (err == nil || !d.output.has(logged, `"start" daemon=`))
	if !killed && !told {
		d.fleet.t.Errorf("%s ended by itself or not as asked: %v", d.name, err)
	}
	close(ended)
}

// signal sends a signal to the process that this soak started, by its id.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = d.told || s == syscall.SIGTERM
	d.killed = d.killed || s == syscall.SIGKILL
	if err := d.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		d.fleet.t.Errorf("signal %s: %v", d.name, err)
	}
}

// stop asks the process to end and kills it after the grace.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		d.kill()
	}
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	<-ended
}

// close ends the process for good.
func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.kill()
	d.storeProxy.close()
	d.cloudProxy.close()
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.close()
	}
	f.mu.Lock()
	all := append(append([]*backend{}, f.runners...), f.gone...)
	f.mu.Unlock()
	for _, r := range all {
		r.proxy.close()
		r.Close()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	f.cloud.CloseClientConnections()
	f.cloud.Close()
}

// put writes to the store as the operator and the runners do; they try until the
// store takes it.
func (f *fleet) put(key string, value any) {
	for f.store.Put(key, value) != nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// configure writes the next version with the keys that are in force.
func (f *fleet) configure() {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	f.mu.Lock()
	f.version += 3
	version, keys := f.version, append([]string{stableKey}, f.keys...)
	f.mu.Unlock()
	route := func(name, kind string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": 4000,
			"target_latency_ms": 200, "max_attempts": 2, "resumable": resumable, "gap_aim_ms": 250, "service": "app",
		}
	}
	f.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("read", "idempotent", false), route("pledge", "non_idempotent", false),
			route("draft", "streaming", true), route("match", "streaming", false),
		},
		"services": []map[string]any{{"name": "app", "health_path": "/healthz", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "shelter", "api_keys": keys, "unit": "requests", "rate_per_s": 10000, "burst": 10000}},
	})
}

// rotate takes the oldest key away, gives out a new one, and returns the old one once
// the store has taken that.
func (f *fleet) rotate() string {
	f.mu.Lock()
	old := f.keys[0]
	f.given++
	f.keys = append(f.keys[1:], fmt.Sprintf("k%d", f.given))
	f.mu.Unlock()
	f.configure()
	f.mu.Lock()
	f.retired[old] = time.Now()
	f.mu.Unlock()
	return old
}

// aKey is one that works, or one that was taken away.
func (f *fleet) aKey(pick int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pick == 0 {
		for key := range f.retired {
			return key
		}
	}
	if pick%2 == 0 {
		return f.keys[len(f.keys)-1]
	}
	return stableKey
}

func (f *fleet) addRunner() error {
	f.mu.Lock()
	id := fmt.Sprintf("i-%d", len(f.runners)+len(f.gone)+1)
	f.mu.Unlock()
	r, err := site.NewRunner(id)
	if err != nil {
		return err
	}
	p, err := newProxy(r.Address)
	if err != nil {
		return err
	}
	b := &backend{r, p}
	f.mu.Lock()
	f.runners = append(f.runners, b)
	f.mu.Unlock()
	f.announce(b, "ready")
	return nil
}

func (f *fleet) announce(b *backend, state string) {
	f.put("servers/"+b.ID, map[string]any{
		"service": "app", "address": b.proxy.address(), "zone": "north", "slots": 16, "state": state,
		"born": 1771390509100, "seq": 1,
	})
}

// leave drains a runner, waits as long as it must serve, and removes it.
func (f *fleet) leave(b *backend) {
	f.announce(b, "draining")
	time.Sleep(3 * time.Second)
	for f.store.Remove("servers/"+b.ID) != nil {
		time.Sleep(20 * time.Millisecond)
	}
	b.Close()
	b.proxy.set(resetting)
}

// takeRunner removes a runner from those that faults choose from; nil if it is one
// of the last two.
func (f *fleet) takeRunner(pick int) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runners) <= 2 {
		return nil
	}
	i := pick % len(f.runners)
	b := f.runners[i]
	f.runners = append(f.runners[:i:i], f.runners[i+1:]...)
	f.gone = append(f.gone, b)
	return b
}

func (f *fleet) runner(pick int) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners[pick%len(f.runners)]
}

func (d *daemon) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readyz", d.ip, readyPort), http.NoBody)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
