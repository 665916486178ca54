package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

const (
	// callerPatience is how long callers wait for the next event of a stream.
	callerPatience = 2 * time.Second
	// darkHelperStreams are so few that the retry budget is enough for those of one helper.
	darkHelperStreams = 16
)

// playAt begins streams at one daemon, evenly over 5 s, and waits for their ends. Callers leave after
// their patience without an event.
func (w *testFleet) playAt(d *daemon, path string, streams int, patience time.Duration) (result silenceResult, longest time.Duration) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for range streams {
		callers.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a := &timedReply{patience: patience, left: time.AfterFunc(patience, cancel)}
			w.serveTimed(ctx, d, path, a)
			a.left.Stop()
			mu.Lock()
			defer mu.Unlock()
			result.add(&a.recordedReply)
			for _, pause := range a.writes[min(1, len(a.writes)):] {
				longest = max(longest, pause)
			}
		})
		time.Sleep(5 * time.Second / time.Duration(streams))
	}
	callers.Wait()
	return result, longest
}

// withHelpers runs a test with a daemon that reaches no runner and two others that serve its requests.
func withHelpers(t *testing.T, f func(w *testFleet, cutOff *daemon, helpers []*daemon, runners []*silentRunner)) {
	withFleet(t, 0, config(1), func(w *testFleet) {
		w.domains = []ident.FailureDomain{"a", "b", "c"}
		for range 3 {
			w.addDaemon()
		}
		var runners []*silentRunner
		for i := range 4 {
			runners = append(runners, w.addSilentRunner(fmt.Sprintf("r%d", i)))
		}
		time.Sleep(3 * time.Second)
		w.cutOff(w.daemons[0])
		f(w, w.daemons[0], w.daemons[1:], runners)
	})
}

// Guards against answers that are cut because the daemons that serve them for another one are silent for a second or two.
func TestAnswersOutliveASilenceOfTheirHelpers(t *testing.T) {
	for _, c := range []struct {
		name, path string
		helpers    int
		span       time.Duration
	}{
		{"one_for_1.2_s", "/draft/1", 1, 1200 * time.Millisecond},
		{"one_for_2.2_s", "/draft/1", 1, 2200 * time.Millisecond},
		{"all_for_2.2_s", "/draft/1", 2, 2200 * time.Millisecond},
		{"one_for_2.2_s_not_resumable", "/match/1", 1, 2200 * time.Millisecond},
		{"all_for_2.2_s_not_resumable", "/match/1", 2, 2200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHelpers(t, func(w *testFleet, d *daemon, helpers []*daemon, _ []*silentRunner) {
				go func() {
					time.Sleep(2 * time.Second)
					for _, h := range helpers[:c.helpers] {
						w.sleep(h)
					}
					time.Sleep(c.span)
					for _, h := range helpers[:c.helpers] {
						w.wake(h)
					}
				}()
				result, longest := w.playAt(d, c.path, 100, silenceDeadline)
				t.Logf("%+v, longest pause %v", result, longest)
				w.Equal(result.mixed, 0)
				w.Equal(result.cut, 0)
			})
		})
	}
}

// Guards against streams that stay at a helper that has gone dark, until their callers give up.
func TestDarkHelperLosesItsStreams(t *testing.T) {
	withHelpers(t, func(w *testFleet, d *daemon, helpers []*daemon, _ []*silentRunner) {
		go func() {
			time.Sleep(2 * time.Second)
			w.goDark(helpers[0])
		}()
		result, longest := w.playAt(d, "/draft/1", darkHelperStreams, callerPatience)
		t.Logf("%+v, longest pause %v", result, longest)
		w.Equal(result.cut, 0)
		w.Equal(result.whole, darkHelperStreams)
	})
}

// Guards against streams that stay at a dark helper in a large fleet, whose daemons learn late of each other's end.
func TestDarkHelperOfALargeFleetLosesItsStreams(t *testing.T) {
	for round := range 5 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			withRelayFleet(t, relays.AllWatchFleet+2, config(1), func(w *testFleet) {
				w.addSilentRunner("r1")
				w.addSilentRunner("r2")
				time.Sleep(3 * time.Second)
				d := w.daemons[0]
				w.cutOff(d)
				a := &timedReply{patience: callerPatience}
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				a.left = time.AfterFunc(callerPatience, leave)
				ended := make(chan struct{})
				go func() {
					w.serveTimed(ctx, d, "/draft/1", a)
					close(ended)
				}()
				time.Sleep(4 * silenceEventInterval)
				helper := slices.IndexFunc(w.daemons, func(h *daemon) bool { return h != d && h.InFlight() > 0 })
				w.goDark(w.daemons[helper])
				<-ended
				t.Logf("%d events, longest pause %v", len(a.writes), slices.Max(a.writes[1:]))
				w.True(a.finished)
				w.Equal(a.body.String(), eventText(1, silenceEvents))
				w.True(slices.Max(a.writes[1:]) < callerPatience)
			})
		})
	}
}

// Guards against events that a caller gets twice or never, and runners that go on working for nobody, where a
// helper falls silent and wakes at any moment while a second one is tried.
func TestRandomSilencesOfHelpersLeaveAnswersWhole(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withHelpers(t, func(w *testFleet, d *daemon, helpers []*daemon, runners []*silentRunner) {
				random := rand.New(rand.NewPCG(seed, 56))
				var naps []time.Duration
				for range 5 {
					naps = append(naps, aboutHedgeTime(random))
				}
				var sleeping sync.WaitGroup
				sleeping.Go(func() {
					for _, nap := range naps {
						time.Sleep(nap / 2)
						w.sleep(helpers[0])
						time.Sleep(nap)
						w.wake(helpers[0])
					}
				})
				result, longest := w.playAt(d, "/draft/1", 60, silenceDeadline)
				sleeping.Wait()
				t.Logf("%+v, longest pause %v", result, longest)
				w.Equal(result.mixed, 0)
				w.Equal(result.cut, 0)
				time.Sleep(time.Second)
				for _, r := range runners {
					w.Equal(r.working.Load(), int64(0))
				}
			})
		})
	}
}

// Guards against a quota that is charged by both daemons for a request that a helper takes over from a silent runner.
func TestTakenOverRequestIsChargedOnce(t *testing.T) {
	c := config(1)
	c.Workspaces[0].Quota = route.Quota{PerSecond: 10, Burst: 30}
	c.Routes[0].Timeout = 5 * time.Second
	withFleet(t, 3, c, func(w *testFleet) {
		d := w.daemons[0]
		for _, id := range []string{"r1", "r2", "r3"} {
			w.addRunner(id, "app").setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
				if ctx.Value(senderKey{}) != d.runners {
					return plainAnswer(http.StatusOK, "from "+id), nil
				}
				a.Connected()
				return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: hang(ctx, time.Minute)}
			})
		}
		time.Sleep(2 * time.Second)
		var asking sync.WaitGroup
		for range takenOverRequests {
			asking.Go(func() { w.Equal(w.ask(d, "/read/1", key).status, http.StatusOK) })
		}
		time.Sleep(100 * time.Millisecond)
		d.runners.cut(silent)
		asking.Wait()
		taken := 0.0
		for _, d := range w.daemons {
			taken += d.QuotaTaken(workspace)
		}
		w.Equal(taken, float64(takenOverRequests))
	})
}

// takenOverRequests are so few that the retry budget is enough for them.
const takenOverRequests = 6
