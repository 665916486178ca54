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
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// grace is the time between SIGTERM and the end of a process.
const grace = 4 * time.Second

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
// concurrent use. The buffer is not embedded, since its ReadFrom, which io.Copy prefers
// to Write, doesn't hold mu.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) length() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Len()
}

// text returns a copy of the output so far.
func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// containsFrom reports whether the output contains text at or after an offset.
func (b *syncBuffer) containsFrom(from int, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.buffer.Bytes()[from:], []byte(text))
}

func (f *fleet) newDaemon(ip, zone string) (*daemon, error) {
	storeProxy, err := newProxy(f.store.Address(), nil)
	if err != nil {
		return nil, err
	}
	cloudProxy, err := newProxy(f.cloud.Address(), nil)
	if err != nil {
		return nil, err
	}
	d := &daemon{Daemon: site.Daemon{IP: ip, Zone: zone}, fleet: f, storeProxy: storeProxy, cloudProxy: cloudProxy, settings: filepath.Join(f.dir, ip), output: &syncBuffer{}}
	return d, d.writeSettings(noSeed)
}

// writeSettings replaces the settings file by a rename, as the platform does.
func (d *daemon) writeSettings(seeds string) error {
	d.settingsMu.Lock()
	defer d.settingsMu.Unlock()
	next := d.settings + ".next"
	extra := []string{
		fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())), fmt.Sprintf("bounds.revoke_ms=%d", revokeWithin.Milliseconds()),
		"bounds.freeze_slack_ms=300",
	}
	if d.fleet.hasServed.Load() {
		extra = append(extra, "bootstrap=false")
	}
	if err := os.WriteFile(next, []byte(d.Settings(d.storeProxy.address(), d.cloudProxy.address(), seeds, extra...)), 0o600); err != nil {
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

// pauseFor pauses the process for a while.
func (d *daemon) pauseFor(span time.Duration) {
	d.signal(syscall.SIGSTOP)
	time.Sleep(span)
	d.resume()
}

// stop sends SIGTERM and kills the process if it still runs after the grace period.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exit():
	case <-time.After(grace):
		d.kill()
	}
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exit()
}

// exit returns a channel that is closed when the current process has exited.
func (d *daemon) exit() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
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
