package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
)

// withRecoveringRunners runs a test with five daemons and runners that all fail for ten seconds of requests.
func withRecoveringRunners(t *testing.T, f func(w *testFleet, runners []*runner)) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		var runners []*runner
		for i := range 10 {
			runners = append(runners, w.addRunner(fmt.Sprintf("r%d", i), "app"))
		}
		setScripts(runners, func(context.Context, *edge.Attempt) (*edge.Answer, error) { return nil, brokenSend() })
		time.Sleep(time.Second)
		w.askEvenly(10*time.Second, 25, func(*recordedReply) {})
		f(w, runners)
	})
}

func setScripts(runners []*runner, script func(context.Context, *edge.Attempt) (*edge.Answer, error)) {
	for _, r := range runners {
		r.setScript(script)
	}
}

// askEvenly sends so many requests a second to the daemons in turn.
func (w *testFleet) askEvenly(span time.Duration, perSecond int, check func(*recordedReply)) {
	interval := time.Second / time.Duration(perSecond)
	for i := range int(span / interval) {
		check(w.ask(w.daemons[i%len(w.daemons)], "/read/1", key))
		time.Sleep(interval)
	}
}

// Guards against callers that are refused after all runners have failed for a while and serve again, and against runners
// that are spared or left out for good.
func TestRunnersServeOnceTheyRecover(t *testing.T) {
	withRecoveringRunners(t, func(w *testFleet, runners []*runner) {
		before := make([]int, len(runners))
		for i, r := range runners {
			before[i] = r.count()
			w.True(before[i] > 0)
		}
		setScripts(runners, func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			return plainAnswer(http.StatusOK, "whole"), nil
		})
		time.Sleep(time.Second)
		w.askEvenly(15*time.Second, 25, func(a *recordedReply) { w.Equal(a.status, http.StatusOK) })
		for i, r := range runners {
			w.True(r.count() > before[i])
		}
	})
}

// Guards against a daemon whose own link to some runners fails, and that lets the others' requests leave them, too.
func TestOneDaemonsFailuresAreItsOwn(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		var runners []*runner
		for i := range 4 {
			r := w.addRunner(fmt.Sprintf("r%d", i), "app")
			if i < 2 {
				r.setScript(func(_ context.Context, attempt *edge.Attempt) (*edge.Answer, error) {
					if attempt.Request.Path == "/read/fails" {
						return nil, brokenSend()
					}
					return plainAnswer(http.StatusOK, "whole"), nil
				})
			} else {
				r.setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
					return plainAnswer(http.StatusOK, "whole"), nil
				})
			}
			runners = append(runners, r)
		}
		time.Sleep(time.Second)
		failed := 0
		for range 200 {
			if w.ask(w.daemons[0], "/read/fails", key).status != http.StatusOK {
				failed++
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.True(failed <= 4)
		before := runners[0].count() + runners[1].count()
		for range 200 {
			w.Equal(w.ask(w.daemons[1], "/read/1", key).status, http.StatusOK)
		}
		w.True(runners[0].count()+runners[1].count()-before > 60)
	})
}

// Guards against a large fleet whose daemons choose among a few random runners each time, all of which fail, while others serve.
func TestLargeFleetFindsRunnersThatServe(t *testing.T) {
	for _, sound := range []int{1, 5} {
		t.Run(fmt.Sprint(sound), func(t *testing.T) {
			withFleet(t, 33, config(1), func(w *testFleet) {
				for i := range 10 {
					w.addRunner(fmt.Sprintf("r%d", i), "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
						if i < sound {
							return plainAnswer(http.StatusOK, "whole"), nil
						}
						return nil, brokenSend()
					})
				}
				time.Sleep(time.Second)
				served, asked := 0, 0
				w.askEvenly(20*time.Second, 165, func(a *recordedReply) {
					asked++
					if a.status == http.StatusOK {
						served++
					}
				})
				t.Logf("%d of %d served", served, asked)
				w.True(served >= asked*9/10)
			})
		})
	}
}
