package edge_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Guards against an older list of runners that is passed to a pool after a newer one and brings a runner back
// that has left.
func TestOlderListOfRunnersBringsNoRunnerBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(w *testFleet, id string)
	}{
		{"says_so", func(w *testFleet, id string) { w.daemons[0].TellLeaving(ident.RunnerID(id)) }},
		{"entry_gone", func(w *testFleet, id string) { w.deleteEntry(id) }},
	} {
		for _, runners := range []int{2, 300} {
			t.Run(fmt.Sprintf("%s/%d", c.name, runners), func(t *testing.T) {
				withFleet(t, 1, config(1), func(w *testFleet) {
					d := w.daemons[0]
					ids := w.addRunners(runners)
					inUse := slices.IndexFunc(ids, func(id string) bool { return d.UsesRunner("app", ident.RunnerID(id)).Chosen })
					left := ids[inUse]
					d.PublishRunnersWhile(func() {
						c.leave(w, left)
						time.Sleep(2 * time.Second) // until a newer list was passed on
					})
					w.Equal(d.UsesRunner("app", ident.RunnerID(left)), edge.Use{})
				})
			})
		}
	}
}

// Guards against runners that come back into use because a daemon hears that they leave while it passes other
// changes on.
func TestRunnersLeaveWhileOtherChangesArePassedOn(t *testing.T) {
	for _, runners := range []int{60, 200, 600} {
		t.Run(fmt.Sprint(runners), func(t *testing.T) {
			withFleet(t, 1, config(1), func(w *testFleet) {
				d := w.daemons[0]
				chosen, sent := 0, 0
				for _, id := range w.addRunners(runners) {
					time.Sleep(time.Second) // until a long list is passed on again
					for range 3 {
						go d.PublishRunners()
					}
					go d.TellLeaving(ident.RunnerID(id))
					synctest.Wait()
					use := d.UsesRunner("app", ident.RunnerID(id))
					if use.Chosen {
						chosen++
					}
					if use.Sent {
						sent++
					}
				}
				t.Logf("of %d runners %d are still chosen, and requests that connect are sent to %d", runners, chosen, sent)
				w.Equal(chosen, 0)
				w.Equal(sent, 0)
				w.Equal(w.ask(d, "/read/1", key).reason(), refusal.NoRunner)
			})
		})
	}
}
