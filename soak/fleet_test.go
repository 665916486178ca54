package soak_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	grace        = 4 * time.Second
	revokeWithin = 5 * time.Second
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
	site.Daemon
	fleet      *fleet
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
	d := &daemon{Daemon: site.Daemon{IP: ip}, fleet: f, storeProxy: storeProxy, cloudProxy: cloudProxy, settings: filepath.Join(f.dir, ip), output: &lockedBuffer{}}
	return d, d.writeSettings("127.0.0.1:1")
}

// writeSettings replaces the settings file as the platform does.
func (d *daemon) writeSettings(seeds string) error {
	d.writing.Lock()
	defer d.writing.Unlock()
	next := d.settings + ".next"
	if err := os.WriteFile(next, []byte(d.Settings(d.storeProxy.address(), d.cloudProxy.address(), seeds,
		fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())), fmt.Sprintf("bounds.revoke_ms=%d", revokeWithin.Milliseconds()),
		"bounds.freeze_slack_ms=300")), 0o600); err != nil {
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
		d.fleet.t.Errorf("start %s: %v", d.Name(), err)
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
		d.fleet.t.Errorf("%s ended by itself or not as asked: %v", d.Name(), err)
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
		d.fleet.t.Errorf("signal %s: %v", d.Name(), err)
	}
}

// thaw lets a paused process go on and notes when.
func (d *daemon) thaw() {
	d.fleet.mu.Lock()
	d.fleet.thawed[d.Name()] = time.Now()
	d.fleet.mu.Unlock()
	d.signal(syscall.SIGCONT)
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

// until tries a write of the operator or of a runner until the store takes it.
func (f *fleet) until(write func() error) {
	for write() != nil {
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
	f.until(func() error { return f.store.PutConfig(version, routes, 10_000, keys...) })
}

// routes are one of each kind.
var routes = []site.Route{
	{Name: "read", Kind: site.Idempotent, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2},
	{Name: "pledge", Kind: site.AtMostOnce, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2},
	{Name: "draft", Kind: site.Stream, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2, Resumable: true},
	{Name: "match", Kind: site.Stream, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2},
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
	f.announce(b, site.Ready)
	return nil
}

func (f *fleet) announce(b *backend, state string) {
	f.until(func() error { return f.store.RegisterRunner(b.ID, b.proxy.address(), state) })
}

// leave drains a runner, waits as long as it must serve, and removes it.
func (f *fleet) leave(b *backend) {
	f.announce(b, site.Draining)
	time.Sleep(3 * time.Second)
	f.until(func() error { return f.store.DeregisterRunner(b.ID) })
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
