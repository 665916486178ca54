package services

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// fakeEnvironment fakes the directory, the configuration and the runners.
type fakeEnvironment struct {
	mu       sync.Mutex
	runners  []view.Runner
	refusals map[string]*refusal.Refusal
	busy     map[string]bool
	sent     map[string]int
	total    int
}

func newFakeEnvironment(n int) *fakeEnvironment {
	w := &fakeEnvironment{refusals: map[string]*refusal.Refusal{}, busy: map[string]bool{}, sent: map[string]int{}}
	for i := range n {
		w.runners = append(w.runners, view.Runner{
			ID: ident.RunnerID(fmt.Sprint("r", i)), Address: fmt.Sprint("a", i),
			FailureDomain: ident.FailureDomain(fmt.Sprint("d", i%4)), State: view.Live,
		})
	}
	return w
}

func (w *fakeEnvironment) Self() view.Daemon                       { return view.Daemon{FailureDomain: "d0"} }
func (w *fakeEnvironment) Daemons() []view.Daemon                  { return nil }
func (w *fakeEnvironment) Runners(string) []view.Runner            { return w.runners }
func (w *fakeEnvironment) Changed() <-chan struct{}                { return nil }
func (w *fakeEnvironment) NoteRunnerLeaving(string, time.Duration) {}
func (w *fakeEnvironment) dial(_ context.Context, _ string) error  { return nil }
func (w *fakeEnvironment) Current() (*manifest.Manifest, ident.Generation) {
	return &manifest.Manifest{Services: []manifest.Service{{
		Name: "casos", Kind: manifest.KindPlain,
		Routes: []manifest.Route{{Method: "GET", Path: "/status", Repeatable: true}, {Method: "POST", Path: "/pledges"}},
	}}}, 1
}

func (w *fakeEnvironment) Send(ctx context.Context, address string, _ call.ServiceCall) (call.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[address]++
	w.total++
	if w.busy[address] {
		return call.Answer{Status: 503, Headers: []call.Header{{Name: "Retry-After", Value: "1"}}}, nil
	}
	if r := w.refusals[address]; r != nil {
		return call.Answer{}, r
	}
	return call.Answer{Status: 200}, nil
}

func newServices(w *fakeEnvironment) *Services {
	return New(Config{
		Directory: w, Config: w, Sender: w, Probe: w.dial, Retry: retry.Default(), Health: health.Default(),
		AttemptTimeout: DefaultAttemptTimeout, Tick: DefaultTick,
	})
}

var statusCall = call.ServiceCall{Service: "casos", Method: "GET", Path: "/status?case=1"}

// A call that is not repeatable must be refused before it is sent: if its
// answer were lost and the call retried at another runner, it would run twice.
func TestNonRepeatableCallIsNotSent(t *testing.T) {
	is := is.New(t)
	w := newFakeEnvironment(2)
	_, err := newServices(w).Call(t.Context(), call.ServiceCall{Service: "casos", Method: "POST", Path: "/pledges"})
	is.Equal(refusal.From(err).Reason, refusal.KeyRequired)
	is.Equal(refusal.From(err).Executed, refusal.ExecutedNo)
	is.Equal(w.total, 0)
}

func TestFailedCallIsRetriedAtAnotherRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeEnvironment(2)
		w.refusals["a0"] = refusal.New(refusal.RunnerFailed, "broken").Unknown()
		w.busy["a1"] = true
		s := newServices(w)
		time.AfterFunc(100*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.busy["a1"], w.refusals["a0"] = false, nil
		})
		a, err := s.Call(t.Context(), statusCall)
		is.NoErr(err)
		is.Equal(a.Status, 200)
		is.True(w.total > 1)
	})
}

func TestRunnerAnswerIsReturnedAfterLastAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeEnvironment(1)
		w.busy["a0"] = true
		a, err := newServices(w).Call(t.Context(), statusCall)
		is.NoErr(err)
		is.Equal(a.Status, 503)
		is.Equal(w.total, 4)
	})
}

// A quarter of the runners fail together with their failure domain. Retries
// must stay within the budget: if every call to a failed runner were made four
// times, the remaining runners would slow down for all callers.
func TestNoRetryStormAfterFailureDomainLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeEnvironment(8)
		for _, r := range w.runners {
			if r.FailureDomain == "d1" {
				w.refusals[r.Address] = refusal.New(refusal.NoRunner, "connect")
			}
		}
		s := newServices(w)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		answered := 0
		const calls = 2000
		for range calls {
			if _, err := s.Call(t.Context(), statusCall); err == nil {
				answered++
			}
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		is.True(float64(w.total) <= 1.1*calls+retry.Default().Burst+retry.Default().PerSecond*30)
		is.True(answered >= calls*99/100) // the failing runners are ejected
		t.Logf("attempts/first attempts %.3f, answered %.3f", float64(w.total)/calls, float64(answered)/calls)
	})
}
