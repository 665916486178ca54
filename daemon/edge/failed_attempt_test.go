package edge_test

import (
	"context"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Guards against a request that is refused as not run although its runner had it: its time ends while the daemon still
// finds out whether the runner has failed.
func TestRequestWhoseTimeEndsAfterItsAttemptMayHaveRun(t *testing.T) {
	const brokenAfter = 950 * time.Millisecond
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addServingRunner("r2")
		w.addRunner("r1", "app").setScript(func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
			a.Connected()
			time.Sleep(brokenAfter)
			w.runners.unresponsive("r1", true)
			return nil, brokenSend()
		})
		time.Sleep(100 * time.Millisecond)
		reached := 0
		for range 6 {
			w.runners.unresponsive("r1", false)
			a := w.ask(w.daemons[0], "/pledge/1", key)
			if a.refusal == nil {
				continue
			}
			reached++
			w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
		}
		w.True(reached > 0)
	})
}
