package soak_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	grace        = 4 * time.Second
	revokeWithin = 5 * time.Second
	// stableKey is part of every configuration, so requests with it must never be
	// denied.
	stableKey = "stable"
)

// fleet runs daemons as separate processes, against stand-ins for the store, the cloud
// and the runners in the test process.
type fleet struct {
	t          *testing.T
	dir        string
	binary     string
	store      *site.Store
	cloud      *site.Cloud
	daemons    []*daemon
	seed       int64
	attemptLog *attemptLog
	with       conditions
	// views are the store as the daemons of each failure domain see it; only in fleets with two.
	views map[string]*site.Store
	// calling are the callers.
	calling sync.WaitGroup
	// calm is the time of the surge without faults. quietSince is when all faults and surges were over.
	calm       periods
	quietSince time.Time

	// configureMu serializes the operator's writes, so that versions grow in the order
	// in which the store accepts them.
	configureMu sync.Mutex

	mu             sync.Mutex
	runners        []*proxiedRunner
	removedRunners []*proxiedRunner
	// farLinks is the state of the links from other failure domains to the runners of each; runners that start
	// have it, too.
	farLinks map[string]link
	version  int
	// keys are the valid keys. revokedAt holds the time at which the store had
	// accepted the version that revoked a key.
	keys      []string
	revokedAt map[string]time.Time
	// keysIssued counts the keys issued so far.
	keysIssued int
	// resumedAt is the time at which a daemon, by name, last resumed after a pause.
	resumedAt map[string]time.Time
}

// proxiedRunner is a runner that daemons reach through a proxy, daemons of other failure domains through far. It is
// nil in fleets with one domain.
type proxiedRunner struct {
	*site.Runner
	proxy, far *proxy
	zone       string
	// number and starts identify the runner; starts counts the former runners of its name.
	number, starts int
	// ended is the time since which the runner has ended, silent are its silences.
	ended, silent periods
}

// daemon is one daemon process and the proxies through which it reaches the store and
// the cloud.
type daemon struct {
	site.Daemon
	fleet      *fleet
	storeProxy *proxy
	cloudProxy *proxy
	settings   string

	// restartMu serializes restarts of the process, settingsMu replacements of its
	// settings file.
	restartMu, settingsMu sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	output *syncBuffer
	// sentTerm and sentKill record whether the current process was sent SIGTERM or
	// SIGKILL.
	sentTerm, sentKill bool
	closed             bool
	// paused are the times in which the process did not run. killedAt and termAt are when SIGKILL and SIGTERM
	// were sent, also to former processes.
	paused           periods
	killedAt, termAt []time.Time
	// outputStart is the length of the output at the start of the current process.
	outputStart int
}

// syncBuffer collects the output of a daemon's successive processes. It is safe for
// concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) length() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Len()
}

// containsFrom reports whether the output contains text at or after an offset.
func (b *syncBuffer) containsFrom(from int, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.Bytes()[from:], []byte(text))
}

// fleetsStarted counts the fleets of this process.
var fleetsStarted atomic.Int32

func newFleet(t *testing.T, binary string, seed int64, daemons, runners int, with conditions) (*fleet, error) {
	f := &fleet{
		t: t, seed: seed, with: with, attemptLog: &attemptLog{byID: map[string]*attempt{}},
		dir: t.TempDir(), binary: binary, store: site.NewStore(), cloud: site.NewCloud(),
		revokedAt: map[string]time.Time{}, resumedAt: map[string]time.Time{}, keys: []string{"k0"},
		views: map[string]*site.Store{}, farLinks: map[string]link{},
	}
	if with.domains {
		for _, zone := range zones {
			f.views[zone] = f.store.View(f.addressesSeenFrom(zone))
		}
	}
	f.configure()
	for range runners {
		if err := f.addRunner(); err != nil {
			return nil, err
		}
	}
	fleetNumber := fleetsStarted.Add(1)
	for i := range daemons {
		// Fleets that run at the same time on one machine, even with the same seed,
		// must not share addresses.
		d, err := f.newDaemon(fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+fleetNumber%250, 11+i), f.daemonZone(i))
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

func (f *fleet) newDaemon(ip, zone string) (*daemon, error) {
	store := f.store
	if view, ok := f.views[zone]; ok {
		store = view
	}
	storeProxy, err := newProxy(store.Address())
	if err != nil {
		return nil, err
	}
	cloudProxy, err := newProxy(f.cloud.Address())
	if err != nil {
		return nil, err
	}
	d := &daemon{Daemon: site.Daemon{IP: ip, Zone: zone}, fleet: f, storeProxy: storeProxy, cloudProxy: cloudProxy, settings: filepath.Join(f.dir, ip), output: &syncBuffer{}}
	return d, d.writeSettings("127.0.0.1:1")
}

// writeSettings replaces the settings file by a rename, as the platform does.
func (d *daemon) writeSettings(seeds string) error {
	d.settingsMu.Lock()
	defer d.settingsMu.Unlock()
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
	d.sentTerm, d.sentKill = false, false
	d.outputStart = d.output.length()
	d.exited = make(chan struct{})
	d.paused.end()
	if err := d.cmd.Start(); err != nil {
		d.fleet.t.Errorf("start %s: %v", d.Name(), err)
		close(d.exited)
		return
	}
	go d.wait(d.cmd, d.exited)
}

// wait waits for the process and fails the test if it exited although no signal asked
// for it, or if it failed after SIGTERM.
func (d *daemon) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	sentTerm, sentKill, outputStart := d.sentTerm, d.sentKill, d.outputStart
	d.mu.Unlock()
	// SIGTERM also ends a process that has not installed its signal handler yet. That
	// is no failure: such a process has accepted no requests.
	sentTerm = sentTerm && (err == nil || !d.output.containsFrom(outputStart, `"start" daemon=`))
	if !sentKill && !sentTerm {
		d.fleet.t.Errorf("%s exited without being asked to, or failed during shutdown: %v", d.Name(), err)
	}
	close(exited)
}

// signal sends a signal to the current process by its process ID.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sentTerm = d.sentTerm || s == syscall.SIGTERM
	d.sentKill = d.sentKill || s == syscall.SIGKILL
	switch s {
	case syscall.SIGTERM:
		d.termAt = append(d.termAt, time.Now())
	case syscall.SIGKILL:
		d.killedAt = append(d.killedAt, time.Now())
	case syscall.SIGSTOP:
		d.paused.begin()
	case syscall.SIGCONT:
		defer d.paused.end()
	}
	if err := d.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		d.fleet.t.Errorf("signal %s: %v", d.Name(), err)
	}
}

// resume continues a paused process and records the time.
func (d *daemon) resume() {
	d.fleet.mu.Lock()
	d.fleet.resumedAt[d.Name()] = time.Now()
	d.fleet.mu.Unlock()
	d.signal(syscall.SIGCONT)
}

// stop sends SIGTERM and kills the process if it still runs after the grace period.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		d.kill()
	}
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	<-exited
}

// close kills the process, prevents further restarts and closes the proxies.
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
	for _, r := range f.allRunners() {
		r.proxy.close()
		if r.far != nil {
			r.far.close()
		}
		r.Close()
	}
	for _, view := range f.views {
		view.CloseClientConnections()
		view.Close()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	f.cloud.CloseClientConnections()
	f.cloud.Close()
}

// retryUntilAccepted repeats a write until the store accepts it.
func (f *fleet) retryUntilAccepted(write func() error) {
	for write() != nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// configure writes the next configuration version, with the keys that are valid now.
func (f *fleet) configure() {
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	f.mu.Lock()
	f.version += 3
	version, keys := f.version, append([]string{stableKey}, f.keys...)
	f.mu.Unlock()
	f.retryUntilAccepted(func() error {
		if f.with.surges {
			return f.store.PutConfigOf(version, routesWithClasses(), surgeSlots, tenants(keys)...)
		}
		return f.store.PutConfig(version, routes, 10_000, keys...)
	})
}

// routes has one route for each kind of request.
var routes = []site.Route{
	{Name: "read", Kind: site.Idempotent, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2},
	{Name: "pledge", Kind: site.AtMostOnce, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2},
	{Name: "draft", Kind: site.Stream, TimeoutMillis: 7000, TargetMillis: 200, Attempts: 2, Resumable: true},
	{Name: "match", Kind: site.Stream, TimeoutMillis: 7000, TargetMillis: 200, Attempts: 2},
}

// rotateKey replaces the oldest key by a new one and returns the old key once the store
// has accepted the change.
func (f *fleet) rotateKey() string {
	f.mu.Lock()
	old := f.keys[0]
	f.keysIssued++
	f.keys = append(f.keys[1:], fmt.Sprintf("k%d", f.keysIssued))
	f.mu.Unlock()
	f.configure()
	f.mu.Lock()
	f.revokedAt[old] = time.Now()
	f.mu.Unlock()
	return old
}

// pickKey returns a revoked key for 0 (if there is one), the newest key for other even
// numbers and stableKey for odd ones.
func (f *fleet) pickKey(pick int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pick == 0 {
		for key := range f.revokedAt {
			return key
		}
	}
	if pick%2 == 0 {
		return f.keys[len(f.keys)-1]
	}
	return stableKey
}

// allRunners lists the runners, also those that have ended.
func (f *fleet) allRunners() []*proxiedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allRunnersLocked()
}

func (f *fleet) allRunnersLocked() []*proxiedRunner {
	return slices.Concat(f.runners, f.removedRunners)
}

func (f *fleet) addRunner() error {
	f.mu.Lock()
	number := len(f.runners) + len(f.removedRunners) + 1
	f.mu.Unlock()
	return f.startRunner(number, 0)
}

// startRunner starts the runner of a number after a number of former ones of the same name.
func (f *fleet) startRunner(number, starts int) error {
	r, err := site.NewRunner(fmt.Sprintf("i-%d", number))
	if err != nil {
		return err
	}
	r.SetTimeFactor(f.timeFactor(number, starts))
	b := &proxiedRunner{Runner: r, zone: f.runnerZone(number), number: number, starts: starts}
	if b.proxy, err = newProxy(r.Address); err != nil {
		return err
	}
	if f.with.domains {
		if b.far, err = newProxy(r.Address); err != nil {
			return err
		}
	}
	if f.with.surges {
		r.SetSlots(surgeSlots)
	}
	f.mu.Lock()
	f.runners = append(f.runners, b)
	if b.far != nil {
		b.far.set(f.farLinks[b.zone])
	}
	f.mu.Unlock()
	f.announce(b, site.Ready)
	return nil
}

func (f *fleet) announce(b *proxiedRunner, state string) {
	r := site.Registration{Address: b.proxy.address(), State: state, Version: "v1", Zone: b.zone, Starts: b.starts}
	if f.with.surges {
		r.Slots = surgeSlots
	}
	f.retryUntilAccepted(func() error { return f.store.Register(b.ID, r) })
}

// end ends a runner as a crash does.
func (b *proxiedRunner) end() {
	b.ended.begin()
	b.Close()
	b.proxy.set(resetting)
	if b.far != nil {
		b.far.set(resetting)
	}
}

// drainAndRemove announces that a runner drains, keeps it serving for 3 s, and then
// removes it.
func (f *fleet) drainAndRemove(b *proxiedRunner) {
	f.announce(b, site.Draining)
	time.Sleep(3 * time.Second)
	f.retryUntilAccepted(func() error { return f.store.DeregisterRunner(b.ID) })
	b.end()
}

// removeRunner takes a runner out of the set that faults choose from. It returns nil
// if only two runners are left.
func (f *fleet) removeRunner(pick int) *proxiedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runners) <= 2 {
		return nil
	}
	i := pick % len(f.runners)
	b := f.runners[i]
	f.runners = append(f.runners[:i:i], f.runners[i+1:]...)
	f.removedRunners = append(f.removedRunners, b)
	return b
}

func (f *fleet) runner(pick int) *proxiedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners[pick%len(f.runners)]
}
