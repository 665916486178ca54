package edge_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a runner that the store's copy shows as usable although it was leaving, or its entry had been removed.
func TestRunnerThatLeftBeforeReturnGetsNoRequests(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		kept, leaving, removed := w.addRunner("kept", "app"), w.addRunner("leaving", "app"), w.addRunner("removed", "app")
		time.Sleep(time.Second)
		copied := w.store.Copy()
		w.leaving("leaving", "app")
		w.deleteEntry("removed")
		time.Sleep(time.Second)
		w.store.Restore(copied)
		before := leaving.count() + removed.count()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, d := range w.daemons {
				w.Equal(w.ask(d, "/read/1", key).status, 200)
			}
		}
		w.Equal(leaving.count()+removed.count(), before)
		w.True(kept.count() > 0)
		// An entry that stays is that of a runner that is alive.
		time.Sleep(3 * time.Second)
		for range 20 {
			for _, d := range w.daemons {
				w.Equal(w.ask(d, "/read/1", key).status, 200)
			}
		}
		w.True(removed.count() > 0)
	})
}

// Guards against a runner that is kept away although it has written its entry again after the return, and against
// requests to the address of a runner that is gone, which another service uses.
func TestRunnersThatWriteAgainAfterReturn(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("kept", "app")
		const address = "used again"
		reused := w.runners.add(address)
		w.put(runnerPrefix+"gone", runnerEntry("gone", address))
		time.Sleep(500 * time.Millisecond)
		copied := w.store.Copy()
		w.deleteEntry("gone")
		joined := w.addRunner("joined", "app")
		time.Sleep(time.Second)
		w.store.Restore(copied)
		time.Sleep(500 * time.Millisecond)
		w.put(runnerPrefix+"joined", runnerEntry("joined", "joined"))
		ofOther := runnerEntry("of other", address)
		ofOther.Service = "other"
		w.put(runnerPrefix+"of other", ofOther)
		time.Sleep(500 * time.Millisecond)
		for range 30 {
			for _, d := range w.daemons {
				w.Equal(w.ask(d, "/read/1", key).status, 200)
			}
		}
		w.True(joined.count() > 0)
		w.Equal(reused.count(), 0)
	})
}

// Guards against callers that are refused because the store has lost the entries of runners, which write them again a
// moment later.
func TestRunnersStayInUseUntilTheyWriteAgain(t *testing.T) {
	for _, daemons := range []int{3, 40} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) { checkRunnersThatWriteAgain(t, daemons) })
	}
}

func checkRunnersThatWriteAgain(t *testing.T, daemons int) {
	withFleet(t, 0, config(1), func(w *testFleet) {
		w.spreadOverDomains()
		for range daemons {
			w.addDaemon()
		}
		time.Sleep(4 * time.Second)
		copied := w.store.Copy()
		for _, id := range []string{"r1", "r2"} {
			w.addRunner(id, "app")
		}
		time.Sleep(2 * time.Second)
		w.store.Restore(copied)
		returned := time.Now()
		time.AfterFunc(time.Second, func() {
			w.put(runnerPrefix+"r1", runnerEntry("r1", "r1"))
			w.put(runnerPrefix+"r2", runnerEntry("r2", "r2"))
		})
		for i := 0; time.Since(returned) < 4*time.Second; i++ {
			time.Sleep(10 * time.Millisecond)
			if r := w.ask(w.daemons[i%len(w.daemons)], "/read/1", key); r.status != 200 {
				t.Errorf("%v after the return: status %d, refused as %q", time.Since(returned), r.status, r.reason())
			}
		}
	})
}
