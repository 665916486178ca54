package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/models"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// fakeEnvironment fakes the directory, the engines and the prober of a
// dispatcher.
type fakeEnvironment struct {
	mu            sync.Mutex
	runners       []view.Runner
	changed       chan struct{}
	leavingNoted  []string
	failingProbes map[string]bool
	probes        int
	metrics       metrics.Registry
	fakeConfig    *fakeConfig
}

func (env *fakeEnvironment) Self() view.Daemon { return view.Daemon{ID: "g1", FailureDomain: "d0"} }
func (env *fakeEnvironment) Daemons() []view.Daemon {
	return []view.Daemon{{ID: "g1", State: view.Live}}
}

func (env *fakeEnvironment) Runners(string) []view.Runner {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.runners)
}

func (env *fakeEnvironment) Changed() <-chan struct{} {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.changed
}

func (env *fakeEnvironment) NoteRunnerLeaving(address string, _ time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.leavingNoted = append(env.leavingNoted, address)
}

func (env *fakeEnvironment) setState(i int, s view.State) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.runners[i].State = s
	close(env.changed)
	env.changed = make(chan struct{})
}

func (env *fakeEnvironment) Load(_ context.Context, address string) (engineapi.Load, error) {
	return engineapi.Load{
		MaxRunning: 2, KVBlocksTotal: 1000, KVBlocksFree: 1000, PrefillRate: 1000, DecodeRate: 50,
		Models: []engineapi.LoadedModel{{Model: "m", Version: "1"}},
	}, nil
}

func (env *fakeEnvironment) CacheEvents(_ context.Context, _ string, from uint64, _ int) (engineapi.CacheEvents, error) {
	return engineapi.CacheEvents{First: from, Next: from}, nil
}

// probeFailedError is the error of a failed fake probe.
type probeFailedError struct{ address string }

func (e *probeFailedError) Error() string { return "probe of " + e.address + " failed" }

func (env *fakeEnvironment) Probe(_ context.Context, address string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.probes++
	if env.failingProbes[address] {
		return &probeFailedError{address}
	}
	return nil
}

// fakeConfig never announces changes, so the dispatcher keeps an old
// configuration until it reads the current one by itself.
type fakeConfig struct {
	m atomic.Pointer[manifest.Manifest]
}

func newFakeConfig(m *manifest.Manifest) *fakeConfig {
	c := &fakeConfig{}
	c.m.Store(m)
	return c
}

func (c *fakeConfig) Current() (*manifest.Manifest, ident.Generation) { return c.m.Load(), 1 }
func (c *fakeConfig) Changed() <-chan struct{}                        { return nil }

var testManifest = manifest.Manifest{
	Models:     []manifest.Model{{Name: "m", Version: "1", Service: "llm"}},
	Services:   []manifest.Service{{Name: "llm", Kind: manifest.KindModel, Runners: 4}},
	Workspaces: []manifest.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
	Classes: []manifest.Class{
		{Name: "chat", Priority: 10, TTFTMillis: 500, TBTMillis: 50},
		{Name: "bulletin", Priority: 1, TTFTMillis: 60000, TBTMillis: 200, Deferrable: true},
	},
}

// runDispatcher runs the test in a synctest bubble with a dispatcher and n
// runners.
func runDispatcher(t *testing.T, n int, test func(t *testing.T, env *fakeEnvironment, d *Dispatcher)) {
	synctest.Test(t, func(t *testing.T) {
		env := &fakeEnvironment{changed: make(chan struct{}), failingProbes: map[string]bool{}, metrics: metrics.NewRegistry(), fakeConfig: newFakeConfig(&testManifest)}
		for i := range n {
			env.runners = append(env.runners, view.Runner{
				ID: ident.RunnerID(fmt.Sprint("r", i)), Address: fmt.Sprint("a", i), Service: "llm",
				FailureDomain: ident.FailureDomain(fmt.Sprint("d", i)), State: view.Live,
			})
		}
		d := New(Config{
			Directory: env, Config: env.fakeConfig, Engines: env, Prober: env, Metrics: env.metrics,
			Policy: DefaultPolicy(), Timing: DefaultTiming(), Seed: 1,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()
		time.Sleep(time.Second)
		test(t, env, d)
		cancel()
		<-done
	})
}

func testRequest(id, class string) call.ModelRequest {
	return call.ModelRequest{
		ID: ident.RequestID(id), Workspace: "a", Class: class, Model: "m", MaxTokens: 10,
		Prompt: strings.Repeat("word ", 100),
	}
}

func testJob(r call.ModelRequest, after request.Cause) models.Job {
	return models.Job{Request: r, Service: "llm", After: after}
}

// serveRequest serves a request to its end and returns the runner that was
// picked.
func serveRequest(t *testing.T, d *Dispatcher, id string) ident.RunnerID {
	t.Helper()
	r := testRequest(id, "chat")
	release, err := d.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	c, err := d.Pick(t.Context(), testJob(r, ""))
	if err != nil {
		t.Fatal(err)
	}
	d.Started(testJob(r, ""), c)
	d.firstToken(attemptKey{r.ID, c.Address}, engineapi.GenerateRequest{Model: "m"}, 0)
	time.Sleep(100 * time.Millisecond)
	j := testJob(r, "")
	j.Offset = 10
	d.Ended(j, models.AttemptResult{Runner: c.Runner, Address: c.Address, Answered: true, Tokens: 10})
	return c.Runner
}

func TestFollowUpsAreRoutedToCachedPrefix(t *testing.T) {
	runDispatcher(t, 4, func(t *testing.T, _ *fakeEnvironment, d *Dispatcher) {
		is := is.New(t)
		firstRunner := serveRequest(t, d, "1")
		for i := range 5 {
			is.Equal(serveRequest(t, d, fmt.Sprint("f", i)), firstRunner)
		}
	})
}

// Guards against requests that are sent to a runner whose VM received a reclaim
// notice, although the directory shows this and other runners are free.
func TestLeavingRunnerIsNotPicked(t *testing.T) {
	runDispatcher(t, 2, func(t *testing.T, env *fakeEnvironment, d *Dispatcher) {
		is := is.New(t)
		firstRunner := serveRequest(t, d, "1")
		env.setState(int(firstRunner[1]-'0'), view.Leaving)
		time.Sleep(100 * time.Millisecond)
		for i := range 20 {
			is.True(serveRequest(t, d, fmt.Sprint("l", i)) != firstRunner)
		}
	})
}

// A caller disconnects while its request waits in the queue. The next request
// must not wait for an answer that nobody reads.
func TestCancelledWaiterLeavesTheQueue(t *testing.T) {
	runDispatcher(t, 1, func(t *testing.T, _ *fakeEnvironment, d *Dispatcher) {
		is := is.New(t)
		var releases []func()
		for i := range 2 {
			release, err := d.Acquire(t.Context(), testRequest(fmt.Sprint(i), "chat"))
			is.NoErr(err)
			releases = append(releases, release)
		}
		ctx, hangUp := context.WithCancel(t.Context())
		cancelledErr := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, testRequest("gone", "bulletin"))
			cancelledErr <- err
		}()
		synctest.Wait()
		is.Equal(d.WaitingRequests("llm"), 1)
		hangUp()
		is.Equal(refusal.From(<-cancelledErr).Reason, refusal.Cancelled)
		is.Equal(d.WaitingRequests("llm"), 0)
		for _, release := range releases {
			release()
			release() // a second call must have no effect
		}
		release, err := d.Acquire(t.Context(), testRequest("next", "bulletin"))
		is.NoErr(err)
		release()
	})
}

func TestRefusalsAreTypedAndCounted(t *testing.T) {
	runDispatcher(t, 1, func(t *testing.T, env *fakeEnvironment, d *Dispatcher) {
		is := is.New(t)
		for i := range 2 {
			_, err := d.Acquire(t.Context(), testRequest(fmt.Sprint(i), "chat"))
			is.NoErr(err)
		}
		_, err := d.Acquire(t.Context(), testRequest("late", "chat"))
		r := refusal.From(err)
		is.Equal(r.Reason, refusal.Overloaded)
		is.Equal(r.Executed, refusal.ExecutedNo)
		is.True(r.RetryAfter > 0)
		is.Equal(metrics.GetOrRegisterCounter("dispatch.llm.refused.overloaded.chat", env.metrics).Count(), int64(1))
		unknown := testRequest("x", "chat")
		unknown.Model = "other"
		_, err = d.Acquire(t.Context(), unknown)
		is.Equal(refusal.From(err).Reason, refusal.UnknownModel)
	})
}

// A runner that fails every call immediately appears idle and attracts the
// requests of all others. It must be ejected, probed on new connections, and
// readmitted when it works again.
func TestFailingRunnerIsEjectedAndReadmitted(t *testing.T) {
	runDispatcher(t, 4, func(t *testing.T, env *fakeEnvironment, d *Dispatcher) {
		is := is.New(t)
		env.mu.Lock()
		env.failingProbes["a2"] = true
		env.mu.Unlock()
		for i := range 3 {
			r := testRequest(fmt.Sprint(i), "chat")
			c := models.Choice{Runner: "r2", Address: "a2"}
			d.Started(testJob(r, ""), c)
			d.Ended(testJob(r, ""), models.AttemptResult{Runner: c.Runner, Address: c.Address, Cause: request.Unreachable})
		}
		is.Equal(d.EjectedRunners("llm"), 1)
		for i := range 20 {
			is.True(serveRequest(t, d, fmt.Sprint("s", i)) != "r2")
		}
		time.Sleep(5 * time.Second)
		is.Equal(d.EjectedRunners("llm"), 1) // probes fail
		env.mu.Lock()
		is.True(env.probes > 0)
		env.failingProbes["a2"] = false
		env.mu.Unlock()
		time.Sleep(10 * time.Second)
		is.Equal(d.EjectedRunners("llm"), 0)
	})
}

// Many chat requests fail after the loss of a failure domain. They may be
// retried only within the retry budget, while a retry after an announced
// reclaim must not be refused for lack of budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	runDispatcher(t, 4, func(t *testing.T, _ *fakeEnvironment, d *Dispatcher) {
		is := is.New(t)
		refused := 0
		for i := range 60 {
			_, err := d.Pick(t.Context(), testJob(testRequest(fmt.Sprint(i), "chat"), request.Unreachable))
			if err == nil {
				continue
			}
			refused++
			r := refusal.From(err)
			is.Equal(r.Reason, refusal.RetryBudgetExhausted)
			is.Equal(r.Executed, refusal.ExecutedNo) // no connection was made
		}
		is.True(refused >= 20)
		_, err := d.Pick(t.Context(), testJob(testRequest("moved", "chat"), request.Preempted))
		is.NoErr(err)
		begun := time.Now()
		for i := range 3 {
			_, err = d.Pick(t.Context(), testJob(testRequest(fmt.Sprint("b", i), "bulletin"), request.Truncated))
			is.NoErr(err) // an accepted request waits until the budget allows the retry
		}
		is.True(time.Since(begun) > time.Second)
	})
}
