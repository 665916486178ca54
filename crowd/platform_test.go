package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// memoryMB and maxDescriptors are the lowered settings of the daemon. The platform reserves reservedDescriptors of
	// the descriptors for files; sockets and pipes share the rest.
	memoryMB            = 96
	maxDescriptors      = 400
	reservedDescriptors = 200
	// maxBody is the limit on bodies in the operator's configuration.
	maxBody = 4 << 20
	// settleTime is how long a crowd stays beside ordinary requests.
	settleTime = 500 * time.Millisecond

	key = "k1"
)

// deployment is one daemon on the platform, with stand-ins of the store, the cloud and one runner.
type deployment struct {
	*process
	site.Daemon
	runner *site.Runner
	seq    int
}

func startDeployment(t *testing.T) *deployment {
	is := is.New(t)
	store, cloud := site.NewStore(), site.NewCloud()
	t.Cleanup(store.Close)
	t.Cleanup(cloud.Close)
	is.NoErr(store.PutConfig(1, []site.Route{
		{Name: "read", Kind: site.Idempotent, TimeoutMillis: 3000, Attempts: 2},
		{Name: "pledge", Kind: site.AtMostOnce, TimeoutMillis: 3000, Attempts: 2},
		{Name: "draft", Kind: site.Stream, TimeoutMillis: 8000, TargetMillis: 500, Attempts: 2, Resumable: true},
		{Name: "open", Kind: site.Idempotent, TimeoutMillis: 3000, Attempts: 1, Public: true},
	}, 100_000, key))
	runner, err := site.NewRunner("i-1")
	is.NoErr(err)
	t.Cleanup(runner.Close)
	is.NoErr(store.RegisterRunner(runner.ID, runner.Address, site.Ready))
	d := &deployment{Daemon: site.Daemon{IP: "127.0.0.81"}, runner: runner}
	path := filepath.Join(t.TempDir(), "settings.conf")
	settings := d.Settings(store.Address(), cloud.Address(), "127.0.0.81:1", "bounds.grace_s=4", "bounds.revoke_ms=5000",
		fmt.Sprintf("limits.memory_mb=%d", memoryMB), fmt.Sprintf("limits.max_fds=%d", maxDescriptors))
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	d.process = startProcess(t, d.IP, []string{"GERANIUMSTACK_CONFIG=" + path})
	d.until("ready", func() bool { return d.Ready(context.Background(), &http.Client{Timeout: time.Second}) })
	return d
}

// checkAnswered sends an ordinary request, and again while it is refused, as callers do, each time over a connection of
// its own, until a runner's answer has come.
func (d *deployment) checkAnswered(what string, body []byte) {
	d.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	defer func() {
		if d.t.Failed() {
			d.t.Logf("%s: last answer: %s", what, last)
		}
	}()
	d.until(what, func() bool {
		d.seq++
		id := fmt.Sprintf("ordinary-%d", d.seq)
		// A reader of another type makes the body a chunked one.
		req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddress()+"/pledge/1", io.MultiReader(bytes.NewReader(body)))
		d.NoErr(err)
		req.Host = site.Host
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "5000")
		req.Header.Set("Authorization", "Token "+key)
		answer, err := client.Do(req)
		if err != nil {
			last = err.Error()
			return false
		}
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		last = fmt.Sprint(answer.Status, " ", string(text), err)
		return err == nil && answer.StatusCode == http.StatusOK && string(text) == "answer to "+id
	})
}

var (
	ordinaryBody = bytes.Repeat([]byte("a"), 1<<10)
	largestBody  = bytes.Repeat([]byte("a"), maxBody)
)

// checkUsage checks that the process has stayed within its settings.
func (d *deployment) checkUsage() {
	d.t.Helper()
	u := d.largestUsage()
	d.t.Logf("largest: %d MB of memory (bound %d), %d MB of it unread; %d descriptors (bound %d), %d sockets and pipes (bound %d)",
		u.memory>>20, memoryMB, u.unread>>20, u.descriptors, maxDescriptors, u.sockets, maxDescriptors-reservedDescriptors)
	if u.memory > memoryMB<<20 {
		d.t.Errorf("memory over its limit")
	}
	if u.descriptors > maxDescriptors || u.sockets > maxDescriptors-reservedDescriptors {
		d.t.Errorf("descriptors over their limit")
	}
}

// checkRefusals checks that the crowd was told only what its requests deserve, and that no request has run whose refusal
// promises that it has not.
func (d *deployment) checkRefusals(a *callers, allowed ...int) {
	d.t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	d.t.Logf("the crowd's answers: %v", a.statuses)
	for status := range a.statuses {
		if !slices.Contains(allowed, status) {
			d.t.Errorf("the crowd was told %d", status)
		}
	}
	d.Equal(a.unpromised, 0)
	ran := map[string]bool{}
	for _, run := range d.runner.Executions() {
		ran[run.ID] = true
	}
	for _, id := range a.refused {
		d.True(!ran[id]) // refused as not run, and has run
	}
}

const chunked, announced = "Transfer-Encoding: chunked", "Content-Length: "

// crowdCase is a crowd, and which answers to its requests are true.
type crowdCase struct {
	name string
	crowd
	allowed []int
	// port replaces that of the callers' address unless it is zero.
	port int
	// work and events are the runner's; zero for the stand-in's own.
	work   time.Duration
	events int
	// eventBytes is the size of an event; zero for the stand-in's own.
	eventBytes int
}

const (
	authorization = "Token " + key
	noRoom        = http.StatusServiceUnavailable
	late          = http.StatusRequestTimeout
	tooLarge      = http.StatusRequestEntityTooLarge

	directoryPort, readinessPort, metricsPort = 18220, 18224, 17601
)

var largeChunks, smallChunks, plain = chunk(32 << 10), bytes.Repeat(chunk(4), 8<<10), bytes.Repeat([]byte("x"), 32<<10)

func short(of, chunkSize int, encoded []byte) int { return of / chunkSize * len(encoded) }

// bodies is a crowd whose chunked bodies stop 64 KiB short of the limit.
func bodies(path, key string) crowd {
	return crowd{size: 60, method: "POST", path: path, key: key, framing: chunked, body: largeChunks, total: short(maxBody-64<<10, 32<<10, largeChunks)}
}

var crowdCases = []crowdCase{
	{name: "large chunks", crowd: bodies("/pledge/1", authorization), allowed: []int{noRoom, late}},
	{name: "without a key", crowd: bodies("/pledge/1", ""), allowed: []int{noRoom, http.StatusUnauthorized}},
	{name: "without a route", crowd: bodies("/nowhere/1", authorization), allowed: []int{noRoom, http.StatusNotFound}},
	{name: "public route", crowd: bodies("/open/1", ""), allowed: []int{noRoom, late}},
	{name: "small chunks", crowd: crowd{size: 150, method: "POST", path: "/pledge/1", key: authorization, framing: chunked, body: smallChunks, total: short(1<<20, 32<<10, smallChunks)}, allowed: []int{noRoom, late}},
	{name: "announced and short", crowd: crowd{size: 60, method: "POST", path: "/pledge/1", key: authorization, framing: announced + fmt.Sprint(maxBody-1), body: plain, total: maxBody - 100}, allowed: []int{noRoom, late}},
	{name: "announced alone", crowd: crowd{size: 150, method: "POST", path: "/pledge/1", key: authorization, framing: announced + fmt.Sprint(maxBody-1), body: plain, total: 1000}, allowed: []int{noRoom, late}},
	{name: "slow", crowd: crowd{size: 150, method: "POST", path: "/pledge/1", key: authorization, framing: chunked, body: largeChunks, total: short(512<<10, 32<<10, largeChunks), drips: true}, allowed: []int{noRoom, late}},
	{name: "whole bodies of streams", crowd: crowd{size: 60, method: "POST", path: "/draft/stream/1", key: authorization, framing: announced + fmt.Sprint(maxBody-100), body: plain, total: maxBody - 100},
		work: 300 * time.Millisecond, events: 20, allowed: []int{noRoom, late, http.StatusOK}},
	{name: "sent on over the limit", crowd: crowd{size: 100, method: "POST", path: "/pledge/1", key: authorization, framing: chunked, body: largeChunks, total: short(32<<20, 32<<10, largeChunks)}, allowed: []int{noRoom, late, tooLarge}},
	{name: "announced over the limit", crowd: crowd{size: 100, method: "POST", path: "/pledge/1", key: authorization, framing: announced + "1073741824", body: plain, total: 32 << 20}, allowed: []int{noRoom, tooLarge}},
	{name: "heads without end", crowd: crowd{size: 300, head: "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Filler: " + strings.Repeat("x", 15<<10)}, allowed: []int{noRoom, late}},
	{name: "nothing sent", crowd: crowd{size: 600}, allowed: []int{noRoom, late}},
	{name: "after a whole request", crowd: crowd{size: 100, method: "POST", path: "/draft/stream/1", key: authorization, framing: announced + "4", body: bytes.Repeat([]byte("GET "), 8<<10), total: 8 << 20},
		work: 300 * time.Millisecond, events: 20, allowed: []int{noRoom, late, http.StatusOK, http.StatusBadRequest}},
	{name: "answers not read", crowd: crowd{size: 100, method: "POST", path: "/draft/stream/1", key: authorization, framing: announced + "1", body: plain, total: 1, deaf: true},
		work: time.Millisecond, events: 20, eventBytes: 512 << 10},
	{name: "directory", port: directoryPort, crowd: crowd{size: 300, method: "GET", path: "/v1/resolve", framing: announced + fmt.Sprint(1<<20), body: plain, total: 1<<20 - 100}, allowed: []int{noRoom, late, http.StatusServiceUnavailable, http.StatusOK, tooLarge, http.StatusBadRequest}},
	{name: "readiness", port: readinessPort, crowd: crowd{size: 300}},
	{name: "metrics", port: metricsPort, crowd: crowd{size: 300, method: "GET", path: "/metrics", framing: announced + fmt.Sprint(1<<20), body: plain, total: 1<<20 - 100}, allowed: []int{noRoom, late, http.StatusOK, tooLarge, http.StatusBadRequest}},
}

func (c *crowdCase) address(d *deployment) string {
	if c.port == 0 {
		return d.CallerAddress()
	}
	return net.JoinHostPort(d.IP, fmt.Sprint(c.port))
}

// Guards against crowds whose bodies, heads or connections end the process: out of memory, or out of descriptors.
func TestCrowdLeavesProcessWithinItsLimits(t *testing.T) {
	for _, c := range crowdCases {
		t.Run(c.name, func(t *testing.T) {
			d := startDeployment(t)
			d.checkAnswered("answered in calm", largestBody)
			if c.work > 0 {
				d.runner.SetWorkload(c.work, c.events)
				d.runner.SetEventData(strings.Repeat("x", c.eventBytes))
			}
			a := c.come(c.address(d))
			if c.work > 0 {
				d.runner.SetWorkload(time.Millisecond, c.events)
			}
			d.checkAnswered("answered beside the crowd", ordinaryBody)
			time.Sleep(settleTime)
			a.leave()
			d.checkAnswered("answered afterwards", ordinaryBody)
			d.checkAnswered("answered in calm again", largestBody)
			d.checkUsage()
			d.checkRefusals(a, c.allowed...)
			d.stop()
		})
	}
}

// Guards against long request IDs that wait in the log's queue and in the records of streams.
func TestLongRequestIDsAreNotKept(t *testing.T) {
	const connections, streams = 60, 60
	d := startDeployment(t)
	var sending sync.WaitGroup
	for i := range connections {
		sending.Go(func() {
			client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := range streams {
				// What becomes of a single stream doesn't matter here.
				_, _ = site.SendRequest(context.Background(), client, d.CallerAddress(), &site.CallerRequest{
					ID: fmt.Sprintf("%s-%d-%d", strings.Repeat("i", 14<<10), i, n), Method: "POST", Host: site.Host, Path: "/draft/stream/1", Body: "x", APIKey: key, Timeout: 10 * time.Second,
				})
			}
		})
	}
	sending.Wait()
	d.checkAnswered("answered afterwards", ordinaryBody)
	d.checkUsage()
	d.stop()
}
