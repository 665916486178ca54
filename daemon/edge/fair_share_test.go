package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon/edge"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/state/segment"
)

// shareConfig is a service with two classes of streams and two workspaces with a quota in tokens.
func shareConfig() route.Config {
	c := config(1)
	c.Services[0].Engine = &route.Engine{Slots: 8, KVTokens: 1 << 20}
	c.Routes = c.Routes[2:]
	for i := range c.Routes {
		c.Routes[i].Priority, c.Routes[i].TargetLatency = i, 500*time.Millisecond
	}
	quota := route.Quota{PerSecond: 200_000, Burst: 200_000, InTokens: true}
	c.Workspaces = []route.Workspace{{Name: "busy", Keys: []string{"busy"}, Quota: quota}, {Name: "calm", Keys: []string{"calm"}, Quota: quota}}
	return c
}

// addSlowRunner adds a runner that answers prompts of more than 30,000 tokens after five seconds and others at once.
func (w *testFleet) addSlowRunner() *runner {
	r := w.addRunner("r1", "app")
	r.setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
		if a.Request.Prompt.PromptTokens > 30_000 {
			time.Sleep(5 * time.Second)
		}
		return eventAnswer("id: 1\ndata: x\n\n", io.EOF), nil
	})
	time.Sleep(500 * time.Millisecond)
	return r
}

// askPrompt sends a request with a prompt to a daemon.
func (w *testFleet) askPrompt(d *daemon, path, key string, tokens int, body string) *recordedReply {
	a := &recordedReply{}
	d.Serve(context.Background(), &edge.Request{
		ID: fmt.Sprint(lastRequestID.Add(1)), Host: host, Path: path, Method: http.MethodPost, Target: path, Header: http.Header{},
		Key: key, Received: time.Now(), Body: segment.Of([]byte(body)), Prompt: edge.Prompt{PromptTokens: tokens, OutputTokens: 10, ExpectedOutput: 10},
	}, a)
	return a
}

// ranks returns the engine priorities of small requests while the service is short: of the busy workspace's urgent class,
// of the calm one's and of its less urgent class; -1 for a request that is refused.
func (w *testFleet) ranks(r *runner, d *daemon) (priorities [3]int) {
	w.askPrompt(d, "/draft/", "calm", 1000, "first")
	go w.askPrompt(d, "/draft/", "busy", 35_000, fmt.Sprint(w.steady()))
	defer time.Sleep(6 * time.Second)
	time.Sleep(300 * time.Millisecond)
	for i, c := range []struct{ path, key string }{{"/draft/", "busy"}, {"/draft/", "calm"}, {"/match/", "calm"}} {
		priorities[i] = -1
		if a := w.askPrompt(d, c.path, c.key, 100, "next"); a.refusal != nil {
			w.t.Logf("refused: %v", a.refusal)
		} else {
			priorities[i] = r.attempts[r.count()-1].Priority
		}
	}
	return priorities
}

// A workspace over its share must stay behind the others of its class and ahead of the next one. Beside a daemon
// that can't number priorities by rank, as one of an earlier version, all requests must keep the configured ones.
func TestDemotionBesideOtherVersions(t *testing.T) {
	withFleet(t, 1, shareConfig(), func(w *testFleet) {
		r := w.addSlowRunner()
		w.Equal(w.ranks(r, w.daemons[0]), [3]int{1, 0, 2})
		w.without = "fair-share"
		d := w.addDaemon()
		time.Sleep(time.Second)
		w.Equal(w.ranks(r, w.daemons[0]), [3]int{0, 0, 1})
		w.Equal(w.ranks(r, d), [3]int{0, 0, 1})
		d.kill()
		w.without = ""
		w.restart(1)
		time.Sleep(5 * time.Second)
		w.Equal(w.ranks(r, w.daemons[0]), [3]int{1, 0, 2})
	})
}

// A follower must learn from the granter that a workspace is over its share, and all daemons must learn of its places. If no granter answers, its requests must be
// refused as they are without the part, not demoted.
func TestFollowerLearnsOfShareFromGranter(t *testing.T) {
	withRelayFleet(t, relays.AllWatchFleet+8, shareConfig(), func(w *testFleet) {
		r := w.addSlowRunner()
		time.Sleep(2 * time.Second)
		var follower *daemon
		for _, d := range w.daemons {
			if !d.IsRelay() {
				follower = d
			}
		}
		w.Equal(w.ranks(r, follower), [3]int{1, 0, 2})
		go w.askPrompt(follower, "/draft/", "calm", 70_000, "")
		defer time.Sleep(6 * time.Second)
		time.Sleep(50 * time.Millisecond)
		w.True(w.askPrompt(follower, "/draft/", "calm", 20_000, "").refusal != nil)
		time.Sleep(2 * time.Second)
		for _, d := range w.daemons {
			w.Equal(d.ReceiveReturns(nil), 1) // by way of the relays
			w.network.isolate(d.address, d.IsRelay())
		}
		w.Equal(w.askPrompt(follower, "/draft/", "busy", 100, "next").reason(), refusal.QuotaUnknown)
	})
}

// A refused caller must be served when it returns at its time, although the daemon that keeps its place has ended and the
// key-value service is down, and one that wasn't refused must not overtake it. The times must follow the order of refusals.
func TestRefusedCallerReturnsElsewhere(t *testing.T) {
	withFleet(t, 2, shareConfig(), func(w *testFleet) {
		w.addSlowRunner()
		first, second := w.daemons[0], w.daemons[1]
		go w.askPrompt(first, "/draft/", "busy", 78_000, "")
		defer time.Sleep(6 * time.Second)
		time.Sleep(time.Millisecond)
		a := w.askPrompt(first, "/draft/", "calm", 20_000, "a").refusal
		w.Equal([]any{a.Reason, a.Executed}, []any{refusal.DeadlineUnreachable, refusal.ExecutedNo})
		b := w.askPrompt(first, "/draft/", "calm", 20_000, "b").refusal
		w.True(a.RetryAfter < b.RetryAfter)
		time.Sleep(250 * time.Millisecond)
		early := w.askPrompt(second, "/draft/", "calm", 20_000, "a").refusal
		w.True(early.RetryAfter < a.RetryAfter) // its place is still the same
		for _, d := range w.daemons {
			d.store.setFaults(true, false)
		}
		first.kill()
		time.Sleep(a.RetryAfter - 250*time.Millisecond)
		w.True(w.askPrompt(second, "/draft/", "calm", 20_000, "c").refusal != nil)
		w.Equal(w.askPrompt(second, "/draft/", "calm", 20_000, "a").status, http.StatusOK)
		time.Sleep(b.RetryAfter - a.RetryAfter)
		w.Equal(w.askPrompt(second, "/draft/", "calm", 20_000, "b").status, http.StatusOK)
	})
}

// With the mechanism off, and while the service isn't short, the retry time must follow from the queue alone.
func TestRetryTimeWithoutShortage(t *testing.T) {
	// 98,000 tokens at 40,000 a second, less the two seconds that callers wait, and half a second more.
	const wanted = 950 * time.Millisecond
	for _, without := range []string{"fair-share", ""} {
		c := shareConfig()
		if without == "" {
			c.Routes[0].TargetLatency = 0 // so that no request waits too long
		}
		withFleet(t, 0, c, func(w *testFleet) {
			w.without = without
			d := w.addDaemon()
			time.Sleep(time.Second)
			w.addSlowRunner()
			go w.askPrompt(d, "/draft/", "busy", 78_000, "")
			defer time.Sleep(6 * time.Second)
			time.Sleep(time.Millisecond)
			for range 2 {
				w.Equal(w.askPrompt(d, "/draft/", "calm", 20_000, "").refusal.RetryAfter.Round(10*time.Millisecond), wanted)
			}
		})
	}
}

// Whatever another daemon sends must neither end this one nor fill its table with places that nobody can have.
func TestReceivedReturnsAreChecked(t *testing.T) {
	withFleet(t, 1, shareConfig(), func(w *testFleet) {
		rapid.Check(t, func(t *rapid.T) {
			before, sound := w.daemons[0].ReceiveReturns(nil), 0
			var returns []*peersv1.Returning
			for i := range rapid.IntRange(0, 40).Draw(t, "entries") {
				r := &peersv1.Returning{Request: rapid.Uint64().Draw(t, "request"), AfterMs: rapid.Uint32().Draw(t, "after")}
				if i < 16 && r.Request != 0 && r.AfterMs <= 30_000 {
					sound++
				}
				returns = append(returns, r)
			}
			after := w.daemons[0].ReceiveReturns(append(returns, nil))
			if after > before+sound || after > 8192 {
				t.Fatalf("%d places after %d", after, before)
			}
		})
	})
}
