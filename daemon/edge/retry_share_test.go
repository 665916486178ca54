package edge_test

import (
	"testing"
	"time"
)

// Guards against daemons that take the whole retry budget each once they have forgotten the others, which are only cut off.
func TestCutDaemonsKeepToTheirPartOfRetryBudget(t *testing.T) {
	const daemons = 3
	withFleet(t, daemons, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		for i := range daemons {
			for j := range i {
				w.network.partition(peerAddress(i), peerAddress(j), true)
			}
		}
		time.Sleep(time.Minute)
		balances := 0.0
		for _, d := range w.daemons {
			w.ask(d, "/read/1", key)
			balances += d.RetryBalance("app")
		}
		// What all may save is half of the least number.
		w.True(balances <= 50.0/2)
	})
}

// Guards against processes that start with a retry budget that their former lives have spent, and against fleets whose
// first failures reach their callers though nothing was spent.
func TestRetryBudgetIsFullOnlyWhereNothingWasSpent(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		const full = 0.85 * 50 / 2 / 2
		w.addServingRunner("r1")
		w.Equal(w.daemons[0].RetryBalance("app"), full)
		for _, c := range []struct {
			down time.Duration
			most float64
		}{{0, 1}, {5 * time.Second, 1}, {31 * time.Second, full}} {
			w.daemons[0].kill()
			time.Sleep(c.down)
			d := w.restart(0)
			time.Sleep(500 * time.Millisecond)
			w.True(d.RetryBalance("app") <= c.most)
		}
		w.Equal(w.daemons[0].RetryBalance("app"), full)
	})
}
