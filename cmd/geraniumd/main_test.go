package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/platform"
	"geraniumstack.org/geraniumstack/standin/site"
)

// modeEnv says what the test binary does in place of running tests.
const modeEnv = "GERANIUMD_TEST_MODE"

const (
	modeServe = "serve"
	modeCrash = "crash"
)

type testCrash struct{}

func (testCrash) Error() string { return "test crash" }

func TestMain(m *testing.M) {
	switch os.Getenv(modeEnv) {
	case modeServe:
		os.Exit(run())
	case modeCrash:
		reportCrashes()
		go panic(testCrash{})
		select {}
	}
	os.Exit(m.Run())
}

// command returns the command that runs the test binary in a mode.
func command(mode string, env ...string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(append(os.Environ(), modeEnv+"="+mode), env...)
	return c
}

// testDaemon is a daemon process with a store, a cloud and a runner that answer.
type testDaemon struct {
	site.Daemon
	is      *is.I
	t       *testing.T
	command *exec.Cmd
	// settings is the path of the settings file.
	settings string
	stdout   *os.File
	runner   *site.Runner
	client   *http.Client
	// exited is closed when the process has ended.
	exited chan struct{}
}

// startDaemon starts a daemon and returns it once it is ready.
func startDaemon(t *testing.T) *testDaemon {
	d := &testDaemon{is: is.New(t), t: t, client: &http.Client{}, exited: make(chan struct{})}
	store, cloud := site.NewStore(), site.NewCloud()
	t.Cleanup(store.Close)
	t.Cleanup(cloud.Close)
	d.is.NoErr(store.PutConfig(1, []site.Route{
		{Name: "read", Kind: site.Idempotent, TimeoutMillis: 20000, Attempts: 1, Public: true},
		{Name: "draft", Kind: site.Stream, TimeoutMillis: 20000, Attempts: 1, Public: true},
	}, 1000, "k1"))
	var err error
	d.runner, err = site.NewRunner("i-1")
	d.is.NoErr(err)
	t.Cleanup(d.runner.Close)
	d.is.NoErr(store.RegisterRunner(d.runner.ID, d.runner.Address, site.Ready))
	// Tests that run at the same time on one machine must not share addresses.
	d.IP = fmt.Sprintf("127.%d.%d.9", 1+os.Getpid()%250, 1+os.Getpid()/250%250)
	d.settings = filepath.Join(t.TempDir(), "settings.conf")
	text := d.Settings(store.Address(), cloud.Address(), d.IP+":1", fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())), "bounds.revoke_ms=5000")
	d.is.NoErr(os.WriteFile(d.settings, []byte(text), 0o600))
	d.command = command(modeServe, platform.SettingsEnv+"="+d.settings)
	var write *os.File
	d.stdout, write, err = os.Pipe()
	d.is.NoErr(err)
	d.command.Stdout = write
	d.is.NoErr(d.command.Start())
	write.Close()
	go func() {
		// The process has ended, successfully or not.
		_ = d.command.Wait()
		close(d.exited)
	}()
	t.Cleanup(func() {
		_ = d.command.Process.Signal(syscall.SIGTERM)
		<-d.exited
		d.stdout.Close()
	})
	d.waitUntil("ready", func() bool { return d.Ready(context.Background(), d.client) })
	return d
}

const grace = 4 * time.Second

func (d *testDaemon) waitUntil(description string, condition func() bool) {
	const limit = 10 * time.Second
	for start := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > limit {
			d.t.Fatalf("condition not met within %v: %s", limit, description)
		}
	}
}

// send sends a request and waits for its whole answer.
func (d *testDaemon) send(id, path string) (*site.CallerResponse, error) {
	return site.SendRequest(context.Background(), d.client, d.CallerAddress(), &site.CallerRequest{
		ID: id, Method: http.MethodGet, Host: site.Host, Path: path, Timeout: 20 * time.Second,
	})
}

// lineOf returns the line of an event about a request; empty if there is none.
func lineOf(log, event, id string) string {
	for line := range strings.Lines(log) {
		if strings.Contains(line, fmt.Sprintf("] %q request=%q ", event, id)) {
			return line
		}
	}
	return ""
}

// Guards against a daemon that ends, and cuts all its answers, because the reader of its log has ended.
func TestDaemonOutlivesReaderOfItsLog(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	d.stdout.Close()
	for range 20 {
		// Each request has lines.
		answer, err := d.send("r1", "/read/1")
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a daemon that doesn't end because nobody reads its log.
func TestDaemonEndsThoughNobodyReadsItsLog(t *testing.T) {
	// More bytes of lines than a pipe and the output buffer hold, at 300 bytes or more for each request.
	const requests = 1000
	is := is.New(t)
	d := startDaemon(t)
	for range requests {
		_, err := d.send("r1", "/read/1")
		is.NoErr(err)
	}
	is.NoErr(d.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-d.exited:
		is.True(d.command.ProcessState.Success())
	case <-time.After(grace):
		is.NoErr(d.command.Process.Kill())
		t.Error("the daemon has not ended within its grace period")
	}
}

// Guards against requests that end with their daemon and have no line, or one that blames their callers.
func TestRequestsCutByEndOfDaemonHaveLines(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	log := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(d.stdout)
		log <- string(data)
	}()
	var sending sync.WaitGroup
	var stream, plain *site.CallerResponse
	var streamErr, plainErr error
	d.runner.SetWorkload(100*time.Millisecond, 1000)
	sending.Go(func() { stream, streamErr = d.send("stream", "/draft/stream/1") })
	d.waitUntil("a stream in progress", func() bool { return len(d.runner.Executions()) == 1 })
	d.runner.SetWorkload(time.Minute, 1)
	sending.Go(func() { plain, plainErr = d.send("plain", "/read/1") })
	d.waitUntil("both in progress", func() bool { return len(d.runner.Executions()) == 2 })
	is.NoErr(d.command.Process.Signal(syscall.SIGTERM))
	<-d.exited
	sending.Wait()
	text := <-log
	is.NoErr(streamErr)
	is.True(stream.Truncated)
	cut := lineOf(text, "broken_off", "stream")
	is.True(strings.Contains(cut, `route="draft"`))
	is.True(strings.Contains(cut, `reason="draining"`))
	is.True(!strings.Contains(cut, "events=0"))
	is.NoErr(plainErr)
	is.Equal(plain.Status, http.StatusBadGateway)
	refused := lineOf(text, "refused", "plain")
	is.True(strings.Contains(refused, `reason="draining"`))
	is.True(strings.Contains(refused, `executed="unknown"`))
	is.True(strings.Contains(text, `"stop" daemon="`+d.Name()+`" in_flight=0`))
}

// Guards against a daemon that doesn't start and leaves nothing in the only output that operators have.
func TestFailedStartIsReportedOnStandardOutput(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	var out bytes.Buffer
	second := command(modeServe, platform.SettingsEnv+"="+d.settings)
	second.Stdout = &out
	is.True(second.Run() != nil)
	is.True(strings.Contains(out.String(), `] "daemon_failed" error="listen`))
	out.Reset()
	second = command(modeServe, platform.SettingsEnv+"="+d.settings+".missing")
	second.Stdout = &out
	is.True(second.Run() != nil)
	is.True(strings.Contains(out.String(), `] "daemon_failed" error=`))
}

// Guards against a daemon that crashes without a word in the only output that operators have.
func TestCrashIsReportedOnStandardOutput(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := command(modeCrash)
	c.Stdout = &out
	is.True(c.Run() != nil)
	is.True(strings.Contains(out.String(), "test crash"))
}

// Guards against a daemon that ends by SIGHUP because other packages are initialized before signals are taken.
func TestSignalsAreTakenBeforeLargePackagesAreInitialized(t *testing.T) {
	is := is.New(t)
	c := command(modeServe, platform.SettingsEnv+"=/does/not/exist", "GODEBUG=inittrace=1")
	trace, err := c.CombinedOutput()
	var exit *exec.ExitError
	is.True(errors.As(err, &exit)) // there are no settings
	var initialized []string
	for line := range strings.Lines(string(trace)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "init" {
			initialized = append(initialized, fields[1])
		}
	}
	taken := slices.Index(initialized, "geraniumstack.org/geraniumstack/internal/startsignals")
	is.True(taken >= 0)
	for _, large := range []string{"net/http", "google.golang.org/protobuf/internal/filetype", "k8s.io/klog/v2"} {
		is.True(taken < slices.Index(initialized, large)) // large packages come later
	}
}
