package crowd_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	// Without the race detector, which takes several times the memory.
	out, err := exec.Command("go", "build", "-o", dir, "geraniumstack.org/geraniumstack/cmd/geraniumd", "geraniumstack.org/geraniumstack/cmd/geraniumctl").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

const (
	// stopWithin is how long a process may take to end after SIGTERM.
	stopWithin = 15 * time.Second
	// answeredWithin only ends a test whose requests are never answered. retryInterval is the time between two tries.
	answeredWithin = 60 * time.Second
	retryInterval  = 20 * time.Millisecond
	// sampleInterval is the time between two looks at a process's memory.
	sampleInterval = 5 * time.Millisecond
	// samplesPerDescriptorCount is the number of looks at the memory between two counts of the descriptors.
	samplesPerDescriptorCount = 5
)

// process is a daemon, watched from its start until it is stopped.
type process struct {
	*is.I
	t      *testing.T
	cmd    *exec.Cmd
	ip     string
	output bytes.Buffer
	exited chan struct{}
	err    error

	stopWatching context.CancelFunc
	watched      chan struct{}

	mu   sync.Mutex
	peak usage
}

// usage is what a process holds: bytes of memory, resident and received but not read, and numbers of descriptors.
type usage struct {
	memory, unread       int64
	descriptors, sockets int
}

// startProcess starts the daemon that listens on the IP address, which is its own.
func startProcess(t *testing.T, ip string, env []string, args ...string) *process {
	p := &process{I: is.New(t), t: t, ip: ip, exited: make(chan struct{}), watched: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(programs, "geraniumd"), args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.NoErr(p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	p.stopWatching = cancel
	go p.watch(ctx)
	t.Cleanup(p.kill)
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// until waits for a condition, and fails the test if the process ends before.
func (p *process) until(what string, done func() bool) {
	p.t.Helper()
	for start := time.Now(); !done(); time.Sleep(retryInterval) {
		if time.Since(start) > answeredWithin || !p.alive() {
			p.t.Fatalf("not %s; process alive: %v", what, p.alive())
		}
	}
}

// stop ends the process as the platform does, and checks that it ends by that alone.
func (p *process) stop() {
	p.Helper()
	p.True(p.alive())
	p.stopWatching()
	<-p.watched
	p.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
		p.NoErr(p.err)
	case <-time.After(stopWithin):
		p.t.Fatal("the process does not end")
	}
}

func (p *process) kill() {
	p.stopWatching()
	if p.alive() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if p.t.Failed() {
		out := p.output.Bytes()
		p.t.Logf("end of the output:\n%s", out[max(0, len(out)-4000):])
	}
}

// watch records the largest usage until the context ends.
func (p *process) watch(ctx context.Context) {
	defer close(p.watched)
	for n := 0; ctx.Err() == nil && p.alive(); n++ {
		u := usage{unread: p.unreadBytes()}
		u.memory = p.residentBytes() + u.unread
		if n%samplesPerDescriptorCount == 0 {
			u.descriptors, u.sockets = p.countDescriptors()
		}
		p.mu.Lock()
		p.peak = usage{
			max(p.peak.memory, u.memory), max(p.peak.unread, u.unread),
			max(p.peak.descriptors, u.descriptors), max(p.peak.sockets, u.sockets),
		}
		p.mu.Unlock()
		time.Sleep(sampleInterval)
	}
}

func (p *process) largestUsage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

func (p *process) dir(name string) string { return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name) }

func (p *process) residentBytes() int64 {
	data, err := os.ReadFile(p.dir("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// countDescriptors returns the number of open descriptors, and how many of them are sockets and pipes.
func (p *process) countDescriptors() (all, sockets int) {
	entries, err := os.ReadDir(p.dir("fd"))
	if err != nil {
		return 0, 0
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(p.dir("fd"), e.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			sockets++
		}
	}
	return len(entries), sockets
}

// listening is the state of a listening socket in the kernel's table, whose queue counts connections.
const listening = "0A"

// unreadBytes returns how many bytes the kernel has received for the process's address that have not been read.
func (p *process) unreadBytes() int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	local := tableAddress(p.ip)
	total := int64(0)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}

// tableAddress returns an IP address as the kernel's table of sockets begins it.
func tableAddress(ip string) string {
	b := netip.MustParseAddr(ip).As4()
	return strings.ToUpper(hex.EncodeToString([]byte{b[3], b[2], b[1], b[0]})) + ":"
}
