package edge_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
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

// Guards against fleets whose first failures reach their callers though nothing was spent, and against processes that
// start with a retry budget that their former lives may have spent, whatever their settings say.
func TestRetryBudgetIsFullOnlyAtFirstStart(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		const full = 0.85 * 50 / 2 / 2
		w.addServingRunner("r1")
		w.Equal(w.daemons[0].RetryBalance("app"), full)
		for _, down := range []time.Duration{0, 5 * time.Second, 31 * time.Second} {
			for _, start := range []func(int) *daemon{w.restart, w.restartAsFirst} {
				w.daemons[0].kill()
				time.Sleep(down)
				d := start(0)
				time.Sleep(500 * time.Millisecond)
				w.True(d.RetryBalance("app") <= 1)
			}
		}
	})
}

// Guards against processes that start with a full retry budget since the entry of their former life has lapsed with the
// key-value service away.
func TestOutageOfStoreDoesntRenewRetryBudget(t *testing.T) {
	for name, start := range map[string]func(*testFleet, int) *daemon{"later start": (*testFleet).restart, "first start": (*testFleet).restartAsFirst} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, config(1), func(w *testFleet) {
				w.addServingRunner("r1")
				for _, d := range w.daemons {
					d.store.setFaults(true, false)
				}
				time.Sleep(35 * time.Second)
				for i, d := range w.daemons {
					d.kill()
					start(w, i)
				}
				time.Sleep(500 * time.Millisecond)
				for _, d := range w.daemons {
					w.True(d.RetryBalance("app") <= 1)
				}
			})
		})
	}
}

// Guards against daemons that begin with a full retry budget although the key-value service has not recorded that they did.
func TestRetryBudgetIsEmptyWhereFirstStartIsNotRecorded(t *testing.T) {
	withFleet(t, 0, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		w.storeUnavailable = true
		d := w.addDaemon()
		time.Sleep(2 * time.Second)
		d.store.setFaults(false, false)
		time.Sleep(2 * time.Second)
		w.Equal(w.ask(d, "/read/1", key).status, 200)
		w.True(d.RetryBalance("app") <= 2*0.85*50/2/10+1)
	})
}

// Guards against daemons that start without hearing each other and take the whole retry budget each: they serve nobody before
// they have read the service, where they find each other.
func TestDaemonsThatStartUnheardKeepToTheirPartOfRetryBudget(t *testing.T) {
	const daemons = 3
	withFleet(t, daemons, config(1), func(w *testFleet) {
		r := w.addRunner("r1", "app")
		for i, d := range w.daemons {
			d.kill()
			for j := range i {
				w.network.partition(peerAddress(i), peerAddress(j), true)
			}
		}
		time.Sleep(35 * time.Second)
		w.storeUnavailable = true
		for i := range w.daemons {
			w.restart(i)
		}
		time.Sleep(10 * time.Second)
		for _, d := range w.daemons {
			w.Equal(w.ask(d, "/read/1", key).reason(), refusal.NotReady)
		}
		w.Equal(r.count(), 0)
		for _, d := range w.daemons {
			d.store.setFaults(false, false)
		}
		time.Sleep(10 * time.Second)
		balances := 0.0
		for _, d := range w.daemons {
			balances += d.RetryBalance("app")
		}
		w.True(balances <= 50.0/2)
	})
}
