package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	// limitWindow is the span in which a limited runner's requests are counted. In any such span
	// it may get limitFactor times what its limit allows and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time after the first answer with a limit from which it binds.
	limitGrace = 500 * time.Millisecond
)

// limitedRunner is a fake runner that states a limit on its request rate.
type limitedRunner struct {
	mu        sync.Mutex
	perSecond float64
	statedAt  time.Time
	arrivals  []time.Time
}

// addLimitedRunner adds a runner that answers after the given time and states a limit from
// setLimit on.
func (w *testFleet) addLimitedRunner(id string, work time.Duration) *limitedRunner {
	r := &limitedRunner{}
	w.addRunner(id, "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, time.Now())
		r.mu.Unlock()
		time.Sleep(work)
		answer := plainAnswer(http.StatusOK, "from "+id)
		r.mu.Lock()
		defer r.mu.Unlock()
		answer.Limits.Rate = r.perSecond
		if r.statedAt.IsZero() && r.perSecond > 0 {
			r.statedAt = time.Now()
		}
		return answer, nil
	})
	return r
}

func (r *limitedRunner) setLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perSecond, r.statedAt = perSecond, time.Time{}
}

// worstWindow returns the most requests that the runner got within limitWindow since the limit
// binds, and the mean rate per second since then.
func (r *limitedRunner) worstWindow() (most int, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := r.statedAt.Add(limitGrace)
	since := slices.DeleteFunc(slices.Clone(r.arrivals), func(at time.Time) bool { return at.Before(from) })
	first := 0
	for i, at := range since {
		for at.Sub(since[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(since)) / time.Since(from).Seconds()
}

// allowedInWindow returns how many requests a runner with the given limit may get in limitWindow.
func allowedInWindow(perSecond float64) int {
	return int(limitFactor*limitWindow.Seconds()*perSecond + limitSlack)
}

func (d *daemon) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// play sends requests to random running daemons for the given time, and returns how many were served, by
// reason how many were refused, and the longest that a refused one was held.
func (w *testFleet) play(random *rand.Rand, perSecond int, span time.Duration) (served int, refused map[refusal.Reason]int, longest time.Duration) {
	var asking sync.WaitGroup
	var mu sync.Mutex
	refused = map[refusal.Reason]int{}
	for range int(span.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		d := w.daemons[random.IntN(len(w.daemons))]
		if d.ended() {
			continue
		}
		asking.Go(func() {
			start := time.Now()
			a := w.ask(d, "/read/1", key)
			mu.Lock()
			defer mu.Unlock()
			if a.refusal != nil {
				refused[a.refusal.Reason]++
				longest = max(longest, time.Since(start))
				return
			}
			served++
		})
	}
	asking.Wait()
	return served, refused, longest
}

// Guards against a runner in need that gets more requests than it states, because each daemon
// decides alone what it sends there.
func TestLimitedRunnerGetsNoMoreThanItStates(t *testing.T) {
	for _, c := range []struct {
		daemons, plain, limited int
		perSecond               float64
		offered                 int
	}{
		{daemons: 5, plain: 3, limited: 1, perSecond: 1, offered: 80},
		{daemons: 5, plain: 3, limited: 3, perSecond: 1, offered: 80},
		{daemons: 5, limited: 6, perSecond: 5, offered: 60},
		{daemons: 12, plain: 3, limited: 2, perSecond: 0.5, offered: 80},
		{daemons: 33, plain: 3, limited: 2, perSecond: 0.2, offered: 120},
		{daemons: 119, plain: 3, limited: 2, perSecond: 0.2, offered: 120},
	} {
		t.Run(fmt.Sprintf("%d_daemons_%d_of_%d_limited_%v", c.daemons, c.limited, c.limited+c.plain, c.perSecond), func(t *testing.T) {
			withFleet(t, 0, config(1), func(w *testFleet) {
				for i := range min(4, c.daemons) {
					w.domains = append(w.domains, ident.FailureDomain(fmt.Sprintf("domain-%d", i)))
				}
				for range c.daemons {
					w.addDaemon()
				}
				for i := range c.plain {
					w.addLimitedRunner(fmt.Sprintf("plain%d", i), 300*time.Millisecond)
				}
				var limited []*limitedRunner
				for i := range c.limited {
					limited = append(limited, w.addLimitedRunner(fmt.Sprintf("limited%d", i), 10*time.Millisecond))
				}
				random := rand.New(rand.NewPCG(1, 0))
				time.Sleep(3 * time.Second)
				w.play(random, c.offered, 3*time.Second)
				for _, r := range limited {
					r.setLimit(c.perSecond)
				}
				before, _ := w.network.traffic()
				served, refused, longest := w.play(random, c.offered, 15*time.Second)
				after, _ := w.network.traffic()
				for _, r := range limited {
					most, rate := r.worstWindow()
					t.Logf("most in %v: %d, allowed %d; mean %.2f a second, limit %v", limitWindow, most, allowedInWindow(c.perSecond), rate, c.perSecond)
					w.True(most <= allowedInWindow(c.perSecond))
				}
				t.Logf("served %d, refused %v, held at most %v; %d messages a second", served, refused, longest, (after-before)/15)
			})
		})
	}
}

// Guards against a limit that outlives the answers that state it.
func TestRunnerThatStatesNoLimitAnyMoreIsUsedAgain(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		r := w.addLimitedRunner("r1", 10*time.Millisecond)
		random := rand.New(rand.NewPCG(1, 0))
		r.setLimit(1)
		w.play(random, 20, 6*time.Second)
		r.setLimit(0)
		w.play(random, 20, 3*time.Second)
		served, refused, _ := w.play(random, 20, 4*time.Second)
		w.Equal(len(refused), 0)
		w.Equal(served, 80)
	})
}

// Guards against a limit that a runner's next incarnation inherits.
func TestRestartedRunnerHasNoLimit(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		r := w.addLimitedRunner("r1", 10*time.Millisecond)
		r.setLimit(0.2)
		w.play(rand.New(rand.NewPCG(1, 0)), 20, 2*time.Second)
		entry, err := w.store.Get(context.Background(), runnerPrefix+"r1")
		w.NoErr(err)
		w.NoErr(w.store.Delete(context.Background(), entry.Key, entry.Revision))
		next := w.runners.add("r1")
		w.put(runnerPrefix+"r1", edge.Runner{Runner: view.Runner{
			ID: "r1~2", Address: "r1", Service: "app", FailureDomain: "north", State: view.Live,
		}, Slots: 8})
		time.Sleep(500 * time.Millisecond)
		w.Equal(w.ask(w.daemons[0], "/read/1", key).status, http.StatusOK)
		w.Equal(w.ask(w.daemons[1], "/read/1", key).status, http.StatusOK)
		w.True(next.count() >= 2)
	})
}

// Guards against permits that two daemons grant while the one that grants them ends and others
// start.
func TestLimitHoldsWhileDaemonsEnd(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addLimitedRunner("plain", 100*time.Millisecond)
		var limited []*limitedRunner
		for i := range 5 {
			limited = append(limited, w.addLimitedRunner(fmt.Sprintf("limited%d", i), 10*time.Millisecond))
			limited[i].setLimit(1)
		}
		random := rand.New(rand.NewPCG(1, 0))
		w.play(random, 60, 3*time.Second)
		for i := range w.daemons {
			w.daemons[i].kill()
			w.play(random, 60, 1500*time.Millisecond)
			w.restart(i)
			w.play(random, 60, 1500*time.Millisecond)
		}
		for _, r := range limited {
			most, rate := r.worstWindow()
			t.Logf("most in %v: %d, allowed %d; mean %.2f a second", limitWindow, most, allowedInWindow(1), rate)
			w.True(most <= allowedInWindow(1))
		}
	})
}

// Guards against health checks that a runner in need gets on top of the requests that it accepts.
func TestProbesOfLimitedRunnerCountAsRequests(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addLimitedRunner("plain", 10*time.Millisecond)
		r := &limitedRunner{}
		r.setLimit(0.2)
		arrive := func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.arrivals = append(r.arrivals, time.Now())
			if r.statedAt.IsZero() {
				r.statedAt = time.Now()
			}
		}
		w.addRunner("failing", "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			arrive()
			answer := plainAnswer(http.StatusInternalServerError, "")
			answer.Limits.Rate = 0.2
			return answer, nil
		})
		w.runners.onProbe = func(address string) {
			if address == "failing" {
				arrive()
			}
		}
		w.play(rand.New(rand.NewPCG(1, 0)), 60, 30*time.Second)
		most, rate := r.worstWindow()
		t.Logf("most in %v: %d, allowed %d; mean %.2f a second", limitWindow, most, allowedInWindow(0.2), rate)
		w.True(most <= allowedInWindow(0.2))
	})
}

// Guards against a stream that breaks off because all runners state limits when it has to go on
// elsewhere.
func TestBegunStreamWaitsForPermit(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		for _, id := range []string{"r1", "r2"} {
			r := w.addServingRunner(id)
			serve := r.script
			r.setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
				answer, err := serve(ctx, a)
				if answer.Events && a.LastEventID == "" {
					answer = eventAnswer(eventText(1, 3), io.ErrUnexpectedEOF)
				}
				answer.Limits.Rate = 1
				return answer, err
			})
		}
		time.Sleep(500 * time.Millisecond)
		for range 4 {
			w.ask(w.daemons[0], "/read/1", key)
			time.Sleep(300 * time.Millisecond)
		}
		a := w.ask(w.daemons[0], "/draft/1", key)
		for a.reason() == refusal.RunnersLimited {
			time.Sleep(a.refusal.RetryAfter)
			a = w.ask(w.daemons[0], "/draft/1", key)
		}
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, pathsEvents))
	})
}
