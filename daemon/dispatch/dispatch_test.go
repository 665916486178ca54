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

// world fakes everything around a dispatcher.
type world struct {
	mu      sync.Mutex
	runners []view.Runner
	changed chan struct{}
	left    []string
	down    map[string]bool
	probes  int
	metrics metrics.Registry
	config  *config
}

func (w *world) Self() view.Daemon      { return view.Daemon{ID: "g1", FailureDomain: "d0"} }
func (w *world) Daemons() []view.Daemon { return []view.Daemon{{ID: "g1", State: view.Live}} }

func (w *world) Runners(string) []view.Runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runners)
}

func (w *world) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *world) NoteLeaving(address string, _ time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = append(w.left, address)
}

func (w *world) setState(i int, s view.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runners[i].State = s
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) Load(_ context.Context, address string) (engineapi.Load, error) {
	return engineapi.Load{
		MaxRunning: 2, KVBlocksTotal: 1000, KVBlocksFree: 1000, PrefillRate: 1000, DecodeRate: 50,
		Models: []engineapi.LoadedModel{{Model: "m", Version: "1"}},
	}, nil
}

func (w *world) CacheEvents(_ context.Context, _ string, from uint64, _ int) (engineapi.CacheEvents, error) {
	return engineapi.CacheEvents{First: from, Next: from}, nil
}

// ProbeFailedError is the fake's.
type probeFailedError struct{ address string }

func (e *probeFailedError) Error() string { return "probe of " + e.address + " failed" }

func (w *world) Probe(_ context.Context, address string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes++
	if w.down[address] {
		return &probeFailedError{address}
	}
	return nil
}

// config never tells of a change: whoever does not look works on with what it
// has.
type config struct {
	m atomic.Pointer[manifest.Manifest]
}

func holding(m *manifest.Manifest) *config {
	c := &config{}
	c.m.Store(m)
	return c
}

func (c *config) Current() (*manifest.Manifest, ident.Generation) { return c.m.Load(), 1 }
func (c *config) Changed() <-chan struct{}                        { return nil }

var configured = manifest.Manifest{
	Models:     []manifest.Model{{Name: "m", Version: "1", Service: "llm"}},
	Services:   []manifest.Service{{Name: "llm", Kind: manifest.KindModel, Runners: 4}},
	Workspaces: []manifest.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
	Classes: []manifest.Class{
		{Name: "chat", Priority: 10, TTFTMillis: 500, TBTMillis: 50},
		{Name: "bulletin", Priority: 1, TTFTMillis: 60000, TBTMillis: 200, Deferrable: true},
	},
}

// within runs the test in a bubble with a dispatcher over n runners.
func within(t *testing.T, n int, test func(t *testing.T, w *world, d *Dispatcher)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{changed: make(chan struct{}), down: map[string]bool{}, metrics: metrics.NewRegistry(), config: holding(&configured)}
		for i := range n {
			w.runners = append(w.runners, view.Runner{
				ID: ident.RunnerID(fmt.Sprint("r", i)), Address: fmt.Sprint("a", i), Service: "llm",
				FailureDomain: ident.FailureDomain(fmt.Sprint("d", i)), State: view.Live,
			})
		}
		d := New(Config{
			Directory: w, Config: w.config, Engines: w, Prober: w, Metrics: w.metrics,
			Policy: DefaultPolicy(), Timing: DefaultTiming(), Seed: 1,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()
		time.Sleep(time.Second)
		test(t, w, d)
		cancel()
		<-done
	})
}

func ask(id, class string) call.ModelRequest {
	return call.ModelRequest{
		ID: ident.RequestID(id), Workspace: "a", Class: class, Model: "m", MaxTokens: 10,
		Prompt: strings.Repeat("word ", 100),
	}
}

func job(r call.ModelRequest, after request.Cause) models.Job {
	return models.Job{Request: r, Service: "llm", After: after}
}

// serve makes one whole answer and returns the runner.
func serve(t *testing.T, d *Dispatcher, id string) ident.RunnerID {
	t.Helper()
	r := ask(id, "chat")
	release, err := d.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	c, err := d.Pick(t.Context(), job(r, ""))
	if err != nil {
		t.Fatal(err)
	}
	d.Started(job(r, ""), c)
	d.firstToken(attemptKey{r.ID, c.Address}, engineapi.GenerateRequest{Model: "m"}, 0)
	time.Sleep(100 * time.Millisecond)
	j := job(r, "")
	j.Offset = 10
	d.Ended(j, models.Attempt{Runner: c.Runner, Address: c.Address, Answered: true, Tokens: 10})
	return c.Runner
}

func TestFollowUpsGoWhereTheirPrefixIs(t *testing.T) {
	within(t, 4, func(t *testing.T, _ *world, d *Dispatcher) {
		is := is.New(t)
		first := serve(t, d, "1")
		for i := range 5 {
			is.Equal(serve(t, d, fmt.Sprint("f", i)), first)
		}
	})
}

// Requests are cut off one after the other although other runners are free: the
// VM had its notice, and the directory knew.
func TestLeavingRunnerGetsNothing(t *testing.T) {
	within(t, 2, func(t *testing.T, w *world, d *Dispatcher) {
		is := is.New(t)
		first := serve(t, d, "1")
		w.setState(int(first[1]-'0'), view.Leaving)
		time.Sleep(100 * time.Millisecond)
		for i := range 20 {
			is.True(serve(t, d, fmt.Sprint("l", i)) != first)
		}
	})
}

// A caller hangs up while it waits for its turn. The next one in the queue must
// not wait for an answer that nobody reads.
func TestGivenUpRequestHoldsNothing(t *testing.T) {
	within(t, 1, func(t *testing.T, _ *world, d *Dispatcher) {
		is := is.New(t)
		var releases []func()
		for i := range 2 {
			release, err := d.Acquire(t.Context(), ask(fmt.Sprint(i), "chat"))
			is.NoErr(err)
			releases = append(releases, release)
		}
		ctx, hangUp := context.WithCancel(t.Context())
		gone := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, ask("gone", "bulletin"))
			gone <- err
		}()
		synctest.Wait()
		is.Equal(d.Waiting("llm"), 1)
		hangUp()
		is.Equal(refusal.From(<-gone).Reason, refusal.Cancelled)
		is.Equal(d.Waiting("llm"), 0)
		for _, release := range releases {
			release()
			release() // twice changes nothing
		}
		release, err := d.Acquire(t.Context(), ask("next", "bulletin"))
		is.NoErr(err)
		release()
	})
}

func TestRefusalsAreTypedAndCounted(t *testing.T) {
	within(t, 1, func(t *testing.T, w *world, d *Dispatcher) {
		is := is.New(t)
		for i := range 2 {
			_, err := d.Acquire(t.Context(), ask(fmt.Sprint(i), "chat"))
			is.NoErr(err)
		}
		_, err := d.Acquire(t.Context(), ask("late", "chat"))
		r := refusal.From(err)
		is.Equal(r.Reason, refusal.Overloaded)
		is.Equal(r.Executed, refusal.ExecutedNo)
		is.True(r.RetryAfter > 0)
		is.Equal(metrics.GetOrRegisterCounter("dispatch.llm.refused.overloaded.chat", w.metrics).Count(), int64(1))
		unknown := ask("x", "chat")
		unknown.Model = "other"
		_, err = d.Acquire(t.Context(), unknown)
		is.Equal(refusal.From(err).Reason, refusal.UnknownModel)
	})
}

// One runner fails every call at once and so looks idle: it draws the work of
// all others. It has to be left out, tried on a new connection, and taken back.
func TestFailingRunnerIsLeftOutAndComesBack(t *testing.T) {
	within(t, 4, func(t *testing.T, w *world, d *Dispatcher) {
		is := is.New(t)
		w.mu.Lock()
		w.down["a2"] = true
		w.mu.Unlock()
		for i := range 3 {
			r := ask(fmt.Sprint(i), "chat")
			c := models.Choice{Runner: "r2", Address: "a2"}
			d.Started(job(r, ""), c)
			d.Ended(job(r, ""), models.Attempt{Runner: c.Runner, Address: c.Address, Cause: request.Unreachable})
		}
		is.Equal(d.Ejected("llm"), 1)
		for i := range 20 {
			is.True(serve(t, d, fmt.Sprint("s", i)) != "r2")
		}
		time.Sleep(5 * time.Second)
		is.Equal(d.Ejected("llm"), 1) // probes fail
		w.mu.Lock()
		is.True(w.probes > 0)
		w.down["a2"] = false
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
		is.Equal(d.Ejected("llm"), 0)
	})
}

// Chats fail in a row after a failure domain went. Each may be tried again only
// as far as the budget goes; an announced reclaim must not be refused for it.
func TestRetriesKeepTheBudget(t *testing.T) {
	within(t, 4, func(t *testing.T, _ *world, d *Dispatcher) {
		is := is.New(t)
		refused := 0
		for i := range 60 {
			_, err := d.Pick(t.Context(), job(ask(fmt.Sprint(i), "chat"), request.Unreachable))
			if err == nil {
				continue
			}
			refused++
			r := refusal.From(err)
			is.Equal(r.Reason, refusal.RetryBudgetExhausted)
			is.Equal(r.Executed, refusal.ExecutedNo) // no connection was made
		}
		is.True(refused >= 20)
		_, err := d.Pick(t.Context(), job(ask("moved", "chat"), request.Preempted))
		is.NoErr(err)
		begun := time.Now()
		for i := range 3 {
			_, err = d.Pick(t.Context(), job(ask(fmt.Sprint("b", i), "bulletin"), request.Truncated))
			is.NoErr(err) // accepted work waits for the budget
		}
		is.True(time.Since(begun) > time.Second)
	})
}
