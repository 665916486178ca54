package edge_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

func breakConnection(context.Context, *edge.Attempt) (*edge.Answer, error) {
	return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: io.ErrUnexpectedEOF}
}

func refuseUnrun(context.Context, *edge.Attempt) (*edge.Answer, error) {
	a := plainAnswer(http.StatusServiceUnavailable, "")
	a.NotRun = true
	return a, nil
}

// A runner receives a non-repeatable request and its connection breaks. The caller must not be
// told that the request was not run, and no other runner may get it. A repeatable request is
// sent to another runner.
func TestBrokenAttempt(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		r1, r2 := w.addRunner("r1", "app"), w.addRunner("r2", "app")
		r1.script, r2.script = breakConnection, breakConnection
		time.Sleep(100 * time.Millisecond)
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(a.reason(), refusal.RunnerFailed)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
		w.Equal(r1.count()+r2.count(), 1)
		a = w.ask(w.daemons[0], "/read/1", key)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
		w.Equal(r1.count()+r2.count(), 3)
	})
}

// All runners state that they did not run the request. It may be sent to other runners, and the
// caller may be told that it was not run, with a retry time.
func TestRunnersThatDidNotRun(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		r1, r2 := w.addRunner("r1", "app"), w.addRunner("r2", "app")
		r1.script, r2.script = refuseUnrun, refuseUnrun
		time.Sleep(100 * time.Millisecond)
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		w.True(a.refusal.RetryAfter > 0)
		w.Equal(r1.count(), 1)
		w.Equal(r2.count(), 1)
		r2.script = nil
		w.Equal(w.ask(w.daemons[0], "/pledge/2", key).status, 200)
	})
}

// A runner never answers. The caller must get the final answer when the route's timeout has
// passed, without a statement that the request was not run. A request that could not be sent at
// all must be refused immediately.
func TestRouteTimeout(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		a := w.ask(w.daemons[0], "/read/1", key)
		w.Equal(a.reason(), refusal.NoRunner)
		w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		r := w.addRunner("r1", "app")
		r.script = func(ctx context.Context, _ *edge.Attempt) (*edge.Answer, error) {
			<-ctx.Done()
			return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: ctx.Err()}
		}
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		a = w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(time.Since(begun), time.Second)
		w.Equal(a.reason(), refusal.DeadlineExceeded)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
	})
}

// The runner must be told the time left until the earlier of the caller's and the route's
// timeouts, also on the second attempt.
func TestTimeLeftForRunner(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		r1, r2 := w.addRunner("r1", "app"), w.addRunner("r2", "app")
		var left []time.Duration
		slow := func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
			left = append(left, time.Until(a.Deadline))
			time.Sleep(200 * time.Millisecond)
			return breakConnection(ctx, a)
		}
		r1.script, r2.script = slow, slow
		time.Sleep(100 * time.Millisecond)
		asked := time.Now()
		w.askWithin(context.Background(), w.daemons[0], "/read/1", key, 700*time.Millisecond)
		first, second := r1.attempts[0], r2.attempts[0]
		w.Equal(first.Deadline, asked.Add(700*time.Millisecond))
		w.Equal(second.Deadline, first.Deadline)
		w.Equal(left[0], 700*time.Millisecond)
		w.True(left[1] <= 500*time.Millisecond)
	})
}

func eventText(from, to int) string {
	s := ""
	for i := from; i <= to; i++ {
		s += fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
	}
	return s
}

// A runner dies in the middle of an event. A resumable stream must continue at another runner,
// with each event sent once; any other stream must end without looking complete.
func TestStreamThatBreaksOff(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		dying := func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
			if a.LastEventID == "" {
				return eventAnswer(eventText(1, 3)+"id: 4\nda", errors.New("reset")), nil
			}
			w.Equal(a.LastEventID, "3")
			return eventAnswer(eventText(3, 6), io.EOF), nil
		}
		r1, r2 := w.addRunner("r1", "app"), w.addRunner("r2", "app")
		r1.script, r2.script = dying, dying
		time.Sleep(100 * time.Millisecond)
		a := w.ask(w.daemons[0], "/draft/1", key)
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, 6))
		w.Equal(r1.count(), 1)
		w.Equal(r2.count(), 1)
		a = w.ask(w.daemons[0], "/match/1", key)
		w.True(a.aborted && !a.finished)
		w.Equal(a.body.String(), eventText(1, 3))
		w.Equal(r1.count()+r2.count(), 3)
	})
}

// Guards against completing a stream with a body that isn't a stream. A stream breaks off and
// is resumed at another runner, which answers with such a body. The body was appended to the
// events, and the answer looked complete.
func TestStreamIsNotEndedByAnotherKindOfAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusInternalServerError} {
		withFleet(t, 1, config(1), func(w *testFleet) {
			script := func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
				if a.LastEventID == "" {
					return eventAnswer(eventText(1, 3), errors.New("reset")), nil
				}
				return plainAnswer(status, "early"), nil
			}
			w.addRunner("r1", "app").script = script
			w.addRunner("r2", "app").script = script
			time.Sleep(100 * time.Millisecond)
			a := w.ask(w.daemons[0], "/draft/1", key)
			w.True(a.aborted && !a.finished)
			w.Equal(a.body.String(), eventText(1, 3))
		})
	}
}

// One runner announces that it is leaving, and another one's entry is removed. Neither may get
// a new request from any daemon.
func TestLeavingRunnersGetNothingNew(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		r2, r3 := w.addRunner("r2", "app"), w.addRunner("r3", "app")
		time.Sleep(200 * time.Millisecond)
		w.leaving("r2", "app")
		entry, err := w.store.Get(context.Background(), runnerPrefix+"r3")
		w.NoErr(err)
		w.NoErr(w.store.Delete(context.Background(), runnerPrefix+"r3", entry.Revision))
		time.Sleep(200 * time.Millisecond)
		before := r2.count() + r3.count()
		for range 20 {
			for _, d := range w.daemons {
				w.Equal(w.ask(d, "/read/1", key).status, 200)
			}
		}
		w.Equal(r2.count()+r3.count(), before)
	})
}

// The service is unreachable and the runners' entries expire meanwhile. When the service is
// back, the entries are missing for a moment. If the runners were taken to be gone, all
// requests would be refused.
func TestEntriesThatLapsedWithTheService(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(100 * time.Millisecond)
		d := w.daemons[0]
		d.store.setFaults(true, false)
		time.Sleep(2500 * time.Millisecond)
		entry, err := w.store.Get(context.Background(), runnerPrefix+"r1")
		w.NoErr(err)
		w.NoErr(w.store.Delete(context.Background(), runnerPrefix+"r1", entry.Revision))
		d.store.setFaults(false, false)
		time.Sleep(1200 * time.Millisecond)
		w.Equal(w.ask(d, "/read/1", key).status, 200)
		time.Sleep(3 * time.Second)
		w.Equal(w.ask(d, "/read/1", key).reason(), refusal.NoRunner) // its entry did not come back
	})
}

// The first daemon of a new fleet starts while the key-value service is unreachable. It must
// refuse requests as not ready, and serve once the service is back.
func TestColdStartWithoutService(t *testing.T) {
	withFleet(t, 0, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		w.storeUnavailable = true
		d := w.addDaemon()
		time.Sleep(2 * time.Second)
		a := w.ask(d, "/read/1", key)
		w.Equal(a.reason(), refusal.NotReady)
		w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		w.True(!d.Ready())
		w.Equal(len(d.Directory("north")), 0)
		d.store.setFaults(false, false)
		time.Sleep(1500 * time.Millisecond)
		w.True(d.Ready())
		w.Equal(w.ask(d, "/read/1", key).status, 200)
	})
}

// A daemon is told to stop. Callers must be directed to other daemons immediately. For a while
// it must still serve requests on kept connections, and then refuse them.
func TestDrainOfDaemon(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(200 * time.Millisecond)
		first, second := w.daemons[0], w.daemons[1]
		w.Equal(len(second.Directory("north")), 2)
		first.Drain()
		time.Sleep(50 * time.Millisecond)
		w.True(!first.Ready())
		w.Equal(len(first.Directory("north")), 1)
		w.Equal(len(second.Directory("north")), 1)
		w.Equal(w.ask(first, "/read/1", key).status, 200)
		time.Sleep(3 * time.Second)
		w.Equal(w.ask(first, "/read/1", key).reason(), refusal.Draining)
	})
}

// One workspace sends many requests to all daemons at once. All daemons together must admit
// what the quota allows, not each of them.
func TestQuotaOverDaemons(t *testing.T) {
	c := config(1)
	c.Workspaces[0].Quota = route.Quota{PerSecond: 10, Burst: 20}
	withFleet(t, 4, c, func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(time.Second)
		served := 0
		for begun := time.Now(); time.Since(begun) < 4*time.Second; {
			for _, d := range w.daemons {
				switch a := w.ask(d, "/read/1", key); a.reason() {
				case "":
					served++
				default:
					w.Equal(a.reason(), refusal.WorkspaceLimit)
					w.True(a.refusal.RetryAfter > 0)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.True(served >= 50) // the quota allows 60: the burst of 20 and four seconds at 10 a second
		w.True(served <= 75)
	})
}

// Every runner fails every request. The retries must stay within the budget that the daemons
// share.
func TestRetryBudgetOverDaemons(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		var all []*runner
		for i := range 4 {
			r := w.addRunner(fmt.Sprintf("r%d", i), "app")
			r.script = func(context.Context, *edge.Attempt) (*edge.Answer, error) { return plainAnswer(500, "oops"), nil }
			all = append(all, r)
		}
		time.Sleep(time.Second)
		const asked = 400
		for i := range asked {
			a := w.ask(w.daemons[i%2], "/read/1", key)
			w.Equal(a.status, 500) // the runner's own answer is passed on
			time.Sleep(10 * time.Millisecond)
		}
		sent := 0
		for _, r := range all {
			sent += r.count()
		}
		w.True(sent > asked)
		w.True(float64(sent-asked) <= 0.2*asked+50)
	})
}

// A caller disconnects while its request runs. The attempt must end, and no other may follow.
func TestCallerLeavesWhileItRuns(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		r := w.addRunner("r1", "app")
		ended := false
		r.script = func(ctx context.Context, _ *edge.Attempt) (*edge.Answer, error) {
			<-ctx.Done()
			ended = true
			return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: ctx.Err()}
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, cancel)
		a := w.askWithin(ctx, w.daemons[0], "/read/1", key, time.Minute)
		w.True(ended)
		w.True(a.aborted)
		w.Equal(r.count(), 1) // there is no second attempt, since the caller has left
	})
}

// A route split by weights must send each service its share, and nothing to a service that
// isn't a target of the route.
func TestSplitOfRoute(t *testing.T) {
	c := config(1)
	c.Services = append(c.Services, route.Service{Name: "next"}, route.Service{Name: "other"})
	c.Routes[0].Targets = []route.Target{{Service: "app", Weight: 90}, {Service: "next", Weight: 10}}
	withFleet(t, 1, c, func(w *testFleet) {
		r1, r2, r3 := w.addRunner("r1", "app"), w.addRunner("r2", "next"), w.addRunner("r3", "other")
		time.Sleep(100 * time.Millisecond)
		for range 300 {
			w.Equal(w.ask(w.daemons[0], "/read/1", key).status, 200)
		}
		w.True(r1.count() > 240 && r1.count() < 295)
		w.True(r2.count() > 5)
		w.Equal(r3.count(), 0)
	})
}

// A runner loses power: its connections stay open without any data, and its entry remains for
// seconds. Repeatable requests must continue at another runner within little more than a
// second. Others must wait, since the runner may have run them.
func TestRunnerGoesDark(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		unresponsive := w.addRunner("r1", "app")
		hang := func(ctx context.Context, _ *edge.Attempt) (*edge.Answer, error) {
			<-ctx.Done()
			return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: ctx.Err()}
		}
		unresponsive.script = hang
		time.Sleep(100 * time.Millisecond)
		w.runners.unresponsive("r1", true)
		stream, pledge := make(chan *recordedReply, 1), make(chan *recordedReply, 1)
		begun := time.Now()
		go func() { stream <- w.ask(w.daemons[0], "/draft/1", key) }()
		go func() { pledge <- w.ask(w.daemons[0], "/pledge/1", key) }()
		time.Sleep(100 * time.Millisecond)
		other := w.addRunner("r2", "app")
		other.setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			return eventAnswer(eventText(1, 3), io.EOF), nil
		})
		a := <-stream
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, 3))
		w.True(time.Since(begun) < 1500*time.Millisecond)
		p := <-pledge
		w.Equal(p.reason(), refusal.DeadlineExceeded)
		w.Equal(p.refusal.Executed, refusal.ExecutedUnknown)
		w.Equal(other.count(), 1)
	})
}
