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
