// Package bed runs the project's daemons as separate processes, as the deploy file starts them, on loopback addresses
// before stand-ins of the platform's store and cloud (package standin/site) and of runners (runner.go). The cases of
// the second review use it.
package bed

import (
	"context"
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

// Exit statuses of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Ports on which each daemon listens, on an address of its own.
const (
	frontPort     = 18221
	readyPort     = 18224
	directoryPort = 18220
	peerPort      = 17600
)

// Bed is a small deployment.
type Bed struct {
	Store   *site.Store
	Cloud   *site.Cloud
	Daemons []*Daemon
	Runners []*Runner
	// Trouble is false if the case plays without its disruption.
	Trouble bool

	dir    string
	begun  time.Time
	mu     sync.Mutex
	record *os.File
	// cutOff is the daemon that reaches no runner; nil if none.
	cutOff *Daemon
}

// New starts the store and the cloud, and begins the record of the case at a path.
func New(recordPath string) (*Bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Bed{
		Store: site.NewStore(), Cloud: site.NewCloud(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, begun: time.Now(), record: record,
	}, nil
}

// Since returns the time since the start of the bed.
func (b *Bed) Since() time.Duration { return time.Since(b.begun) }

// Note writes a line to the record.
func (b *Bed) Note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%9.3f %s\n", b.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins.
func (b *Bed) Close() {
	for _, d := range b.Daemons {
		d.Kill()
	}
	for _, r := range b.Runners {
		r.Close()
	}
	b.Store.CloseClientConnections()
	b.Cloud.CloseClientConnections()
	b.record.Close()
	os.RemoveAll(b.dir)
}

// Daemon is one process of the system.
type Daemon struct {
	IP  string
	bed *Bed
	cmd *exec.Cmd
	// ended is closed when the process has ended, Err is its result then.
	ended chan struct{}
	Err   error
	// StoreAddress and CloudAddress are where the process reaches the platform.
	StoreAddress, CloudAddress string
	// MemoryMB is its machine's memory.
	MemoryMB int
	Zone     string
}

// freeIP returns an address of the loopback interface on which the ports are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, directoryPort, peerPort, peerPort + 1} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free address: %w", os.ErrExist)
}

// AddDaemon prepares a daemon, which Start starts.
func (b *Bed) AddDaemon(zone string) (*Daemon, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	d := &Daemon{IP: ip, bed: b, StoreAddress: b.Store.Address(), CloudAddress: b.Cloud.Address(), MemoryMB: 284, Zone: zone}
	b.Daemons = append(b.Daemons, d)
	return d, nil
}

func (d *Daemon) settings(bootstrap bool) string {
	var seeds []string
	for _, other := range d.bed.Daemons[:min(3, len(d.bed.Daemons))] {
		seeds = append(seeds, other.IP+":18229")
	}
	return strings.Join([]string{
		"node_name=edge-" + d.IP, "role=gateway", "machine_class=edge", "serves=edge,control_plane,directory", "ip=" + d.IP,
		"zone=" + d.Zone, "region=lima", "zones.north=lima", "zones.south=lima",
		fmt.Sprintf("listen.front=%s:%d", d.IP, frontPort), fmt.Sprintf("listen.readiness=%s:%d", d.IP, readyPort),
		fmt.Sprintf("listen.directory=%s:%d", d.IP, directoryPort), fmt.Sprintf("listen.control=%s:18229", d.IP),
		fmt.Sprintf("port_range=%d,%d", peerPort, peerPort+15), "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap),
		"limits.cpu_share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", d.MemoryMB), "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=8",
		"bounds.loss_slack_ms=200", "bounds.config_deadline_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.strict_revocation=true", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.budget_min_retries=52", "bounds.quota_window_s=8", "bounds.quota_overage=0.1", "bounds.quota_slack=190000",
		"bounds.require_fencing=false", "bounds.lease_ms=3000", "bounds.freeze_slack_ms=300", "bounds.usage_window_s=5",
		"bounds.usage_tolerance=0.05", "bounds.usage_delay_s=10", "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.again_s=10", "bounds.ttl_max_s=5",
		"platform.address=" + d.StoreAddress, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
		"cloud.address=" + d.CloudAddress, "cloud.rate_per_s=50.0", "cloud.duties=usage,autoscale", "cloud.duty_per_s=50.0", "",
	}, "\n")
}

// Program returns the path of the program that the deploy file runs.
func Program() string { return filepath.Join("target", "geraniumd") }

// Start starts the process.
func (d *Daemon) Start(bootstrap bool) error {
	path := filepath.Join(d.bed.dir, d.IP+".conf")
	if err := os.WriteFile(path, []byte(d.settings(bootstrap)), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(d.LogFolder(), d.IP+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	d.cmd = exec.Command(Program())
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMSTACK_CONFIG=" + path}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	cmd, ended := d.cmd, make(chan struct{})
	d.ended = ended
	go func() {
		d.Err = cmd.Wait()
		close(ended)
	}()
	return nil
}

// LogFolder is where the processes' logs are written: REVIEW_LOGS, or else the temporary folder.
func (d *Daemon) LogFolder() string {
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		return dir
	}
	return d.bed.dir
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	if d.cmd != nil && d.cmd.Process != nil {
		// It may have ended.
		_ = d.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	d.Signal(syscall.SIGCONT)
	d.Signal(syscall.SIGKILL)
	<-d.ended
}

// Ended returns a channel that is closed when the process has ended.
func (d *Daemon) Ended() <-chan struct{} { return d.ended }

// PID returns the process ID.
func (d *Daemon) PID() int { return d.cmd.Process.Pid }

// Front returns the address for consumers.
func (d *Daemon) Front() string { return fmt.Sprintf("%s:%d", d.IP, frontPort) }

// Ready reports whether the daemon says that it is ready.
func (d *Daemon) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readyz", d.IP, readyPort), http.NoBody)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func (b *Bed) AwaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, d := range b.Daemons {
		for !d.Ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
