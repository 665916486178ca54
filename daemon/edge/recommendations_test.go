package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/route"
)

// serialEngine is an engine that reads one prompt after the other.
type serialEngine struct {
	mu     sync.Mutex
	freeAt time.Time
}

// readPrompt returns when the engine has read a prompt that takes the given time.
func (r *serialEngine) readPrompt(took time.Duration) {
	r.mu.Lock()
	begins := time.Now()
	if r.freeAt.After(begins) {
		begins = r.freeAt
	}
	r.freeAt = begins.Add(took)
	until := r.freeAt
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (w *testFleet) addSerialEngine(id string, domain ident.FailureDomain, rate float64) {
	engine := &serialEngine{}
	w.runners.add(id).setScript(func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
		engine.readPrompt(time.Duration(float64(a.Request.Prompt.PromptTokens) / rate * float64(time.Second)))
		return eventAnswer("id: 1\ndata: x\n\n", io.EOF), nil
	})
	w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: domain, State: view.Live,
	}, Slots: 32})
}

// lateShare sends prompts to a large fleet whose engines are half busy. It returns the share of
// prompts whose first token came late.
func lateShare(t *testing.T, quota float64) float64 {
	const (
		daemons, engines = 60, 24
		rate, prompt     = 64_000.0, 3000
		perSecond        = 200
		warmup, measured = 3 * time.Second, 20 * time.Second
		target           = 300 * time.Millisecond
		spacing          = time.Second / perSecond
		warmupPrompts    = int(warmup / spacing)
	)
	c := config(1)
	c.Services = []route.Service{{Name: "app", Engine: &route.Engine{Slots: 32, KVTokens: 500_000}}}
	c.Workspaces[0].Quota = route.Quota{PerSecond: quota, Burst: quota, InTokens: true}
	late := 0
	withRelayFleet(t, daemons, c, func(w *testFleet) {
		for i := range engines {
			w.addSerialEngine(fmt.Sprintf("r%d", i), w.domains[i%len(w.domains)], rate)
		}
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range int((warmup + measured) / spacing) {
			d := w.daemons[random.IntN(daemons)]
			wg.Go(func() {
				asked := time.Now()
				a := &recordedReply{}
				d.Serve(context.Background(), &edge.Request{
					ID: fmt.Sprintf("advised-%d", i), Host: host, Path: "/match/", Method: http.MethodPost, Target: "/match/",
					Header: http.Header{}, Key: key, Received: time.Now(),
					Prompt: edge.Prompt{PromptTokens: prompt, OutputTokens: 10, ExpectedOutput: 10, Prefix: []prefix.Hash{prefix.Hash(i + 1)}, PrefixTokens: []int{prompt}},
				}, a)
				mu.Lock()
				defer mu.Unlock()
				if i >= warmupPrompts && (a.refusal != nil || time.Since(asked) > target) {
					late++
				}
			})
			time.Sleep(spacing)
		}
		wg.Wait()
	})
	return float64(late) / (measured.Seconds() * perSecond)
}

// Guards against messages that grow with the number of prompts sent to new runners, as after a
// crash of many runners, until the network loses them and followers take their relays for dead.
func TestMessagesStaySmallWhenPromptsMove(t *testing.T) {
	const daemons, prompts, mostBytes = 40, 40, 24 << 10
	c := config(1)
	c.Services = []route.Service{{Name: "app", Engine: &route.Engine{Slots: 32, KVTokens: 500_000}}}
	withRelayFleet(t, daemons, c, func(w *testFleet) {
		for i := range 60 {
			w.addSerialEngine(fmt.Sprintf("i-0123456789~%013d", i), w.domains[i%len(w.domains)], 64_000)
		}
		time.Sleep(3 * time.Second)
		var wg sync.WaitGroup
		for i, d := range w.daemons {
			for j := range prompts {
				wg.Go(func() {
					shared := prefix.Hash(1 + i*prompts + j)
					d.Serve(context.Background(), &edge.Request{
						ID: fmt.Sprintf("moved-%d-%d", i, j), Host: host, Path: "/match/", Method: http.MethodPost, Target: "/match/",
						Header: http.Header{}, Key: key, Received: time.Now(),
						Prompt: edge.Prompt{
							PromptTokens: 200, OutputTokens: 10, ExpectedOutput: 10,
							Prefix: []prefix.Hash{1, shared, shared + 1<<32}, PrefixTokens: []int{50, 100, 200},
						},
					}, &recordedReply{})
				})
			}
		}
		wg.Wait()
		time.Sleep(time.Second)
		t.Logf("largest message: %d bytes", w.network.largest())
		if w.network.largest() > mostBytes {
			t.Errorf("largest message: %d bytes, want at most %d", w.network.largest(), mostBytes)
		}
	})
}

// Guards against daemons that all send to the runner that was idle a second ago. The relay that
// grants a request's quota must also choose its runner.
func TestRecommendedRunnersReduceLateTokens(t *testing.T) {
	var lateShareWithout, lateShareWith float64
	t.Run("alone", func(t *testing.T) { lateShareWithout = lateShare(t, 0) })
	t.Run("advised", func(t *testing.T) { lateShareWith = lateShare(t, 10_000_000) })
	t.Logf("late: %.3f alone, %.3f advised", lateShareWithout, lateShareWith)
	// The target is that 95% of first tokens come in time.
	if lateShareWith >= lateShareWithout || lateShareWith > 0.05 {
		t.Errorf("share of late first tokens: %.3f with recommendations, %.3f without; want less than without and at most 0.05", lateShareWith, lateShareWithout)
	}
}
