package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

// startDaemon starts a daemon process with a store and a cloud that answer, and returns it once it is ready.
func startDaemon(t *testing.T) (d site.Daemon, stdout *os.File) {
	is := is.New(t)
	store, cloud := site.NewStore(), site.NewCloud()
	t.Cleanup(store.Close)
	t.Cleanup(cloud.Close)
	is.NoErr(store.PutConfig(1, []site.Route{{Name: "open", Kind: site.Idempotent, TimeoutMillis: 1000, Attempts: 1, Public: true}}, 1000, "k1"))
	// Tests that run at the same time on one machine must not share addresses.
	d = site.Daemon{IP: fmt.Sprintf("127.%d.%d.9", 1+os.Getpid()%250, 1+os.Getpid()/250%250)}
	settings := filepath.Join(t.TempDir(), "settings.conf")
	text := d.Settings(store.Address(), cloud.Address(), d.IP+":1", "bounds.grace_s=4", "bounds.revoke_ms=5000")
	is.NoErr(os.WriteFile(settings, []byte(text), 0o600))
	stdout, write, err := os.Pipe()
	is.NoErr(err)
	c := command(modeServe, platform.SettingsEnv+"="+settings)
	c.Stdout = write
	is.NoErr(c.Start())
	write.Close()
	t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGTERM)
		_ = c.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, `"start"`))
	client := &http.Client{Timeout: time.Second}
	for start := time.Now(); !d.Ready(context.Background(), client); time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(start) < 10*time.Second)
	}
	return d, stdout
}

// Guards against a daemon that ends, and cuts all its answers, because the reader of its log has ended.
func TestDaemonOutlivesReaderOfItsLog(t *testing.T) {
	is := is.New(t)
	d, stdout := startDaemon(t)
	stdout.Close()
	client := &http.Client{Timeout: time.Second}
	for range 20 {
		// Each request has a line. The requests may fail, since the daemon has no runners.
		_, _ = site.SendRequest(context.Background(), client, d.CallerAddress(), &site.CallerRequest{
			ID: "r1", Method: http.MethodGet, Host: site.Host, Path: "/open/1", Timeout: time.Second,
		})
		time.Sleep(20 * time.Millisecond)
	}
	is.True(d.Ready(context.Background(), client))
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
