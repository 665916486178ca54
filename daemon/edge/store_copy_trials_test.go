package edge_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
)

// Guards against a bad version that is tried once more because the store has lost the verdict on it, or because its
// order was written again.
func TestVerdictOutlivesReturnFromCopy(t *testing.T) {
	for name, c := range map[string]struct{ ordered, writtenAgain, restarts bool }{
		"verdict_lost":                    {ordered: true},
		"verdict_lost_order_again":        {ordered: true, writtenAgain: true},
		"order_lost_and_written_again":    {writtenAgain: true},
		"verdict_lost_and_daemon_started": {ordered: true, writtenAgain: true, restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 5, config(1), func(w *testFleet) {
				tw := newTrial(w)
				tw.fails = func(string) float64 { return 0.4 }
				tw.runLoad(3 * time.Second)
				copied := tw.store.Copy()
				tw.order(newVersion)
				tw.runLoad(time.Second)
				tw.startRunners(newVersion)
				tw.runLoad(300 * time.Millisecond)
				if c.ordered {
					copied = tw.store.Copy()
				}
				for tw.status().State != canary.RolledBack {
					tw.runLoad(100 * time.Millisecond)
				}
				tw.runLoad(time.Second)
				exposed := tw.exposed
				tw.store.Restore(copied)
				tw.startRunners(newVersion)
				if c.restarts {
					tw.daemons[1].kill()
					tw.restart(1)
				}
				if c.writtenAgain {
					tw.runLoad(300 * time.Millisecond)
					tw.put(orderPrefix+"app", canary.Order{Service: "app", Target: newVersion, Duration: trialDuration})
				}
				tw.runLoad(10 * time.Second)
				tw.t.Logf("%d requests exposed before, %d after", exposed, tw.exposed-exposed)
				tw.Equal(tw.exposed, exposed)
				tw.Equal(tw.status(), orderStatus{newVersion, canary.RolledBack})
			})
		})
	}
}

// Guards against a bad version that gets more requests than a trial may cost, because its verdict is lost together with
// all daemons and it is tried once more.
func TestTrialAfterLossOfAllAndReturnFromCopyKeepsItsBound(t *testing.T) {
	for _, copiedAfter := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(copiedAfter.String(), func(t *testing.T) {
			withFleet(t, 5, config(1), func(w *testFleet) {
				tw := newTrial(w)
				tw.fails = func(string) float64 { return 0.4 }
				tw.runLoad(3 * time.Second)
				copied := tw.store.Copy()
				tw.order(newVersion)
				tw.runLoad(time.Second)
				tw.startRunners(newVersion)
				tw.runLoad(copiedAfter)
				if copiedAfter > 0 {
					copied = tw.store.Copy()
				}
				for tw.status().State != canary.RolledBack {
					tw.runLoad(100 * time.Millisecond)
				}
				tw.runLoad(time.Second)
				exposed := tw.exposed
				for _, d := range tw.daemons {
					tw.isolateAndKill(d)
				}
				tw.store.Restore(copied)
				for i := range tw.daemons {
					tw.restart(i)
				}
				tw.startRunners(oldVersion)
				tw.startRunners(newVersion)
				tw.configure(config(1))
				tw.put(orderPrefix+"app", canary.Order{Service: "app", Target: newVersion, Duration: trialDuration})
				tw.runLoad(20 * time.Second)
				t.Logf("%d requests exposed before, %d after, of %d; %v", exposed, tw.exposed-exposed, tw.asked, tw.status())
				tw.True(float64(tw.exposed) <= trialShare*float64(tw.asked)+trialSlack)
				tw.Equal(tw.status(), orderStatus{newVersion, canary.RolledBack})
			})
		})
	}
}
