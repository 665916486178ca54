package edge_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/route"
)

// Guards against quotas that are granted anew by processes whose settings say that the fleet has never served.
func TestRestartsWithFirstSettingsDontRenewQuotas(t *testing.T) {
	const perSecond, burst = 5, 40
	const window = 8 // seconds
	c := config(1)
	c.Workspaces[0].Quota = route.Quota{PerSecond: perSecond, Burst: burst}
	withFleet(t, 2, c, func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(time.Second)
		served := 0
		for begun, i := time.Now(), 0; time.Since(begun) < window*time.Second; i++ {
			d := w.daemons[i%len(w.daemons)]
			for w.ask(d, "/read/1", key).status == 200 {
				served++
			}
			d.kill()
			w.restartAsFirst(i % len(w.daemons))
			time.Sleep(800 * time.Millisecond)
		}
		t.Logf("%d served", served)
		w.True(served <= perSecond*window+burst)
	})
}

// Guards against a daemon that takes a fleet that runs for a new one, because its settings say so.
func TestFleetThatRunsIsNotTakenForNew(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		w.True(w.daemons[0].TakesFleetForNew())
		time.Sleep(10 * time.Second)
		w.True(!w.addDaemon().TakesFleetForNew())
		w.daemons[0].kill()
		w.True(!w.restartAsFirst(0).TakesFleetForNew())
	})
}
