package edge_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Guards against a failure domain that goes on using runners that are gone, because the key-value service turns
// away the one daemon from which the whole domain gets the changes.
func TestDomainThatTheStoreTurnsAwayHearsOfGoneRunners(t *testing.T) {
	for _, c := range []struct {
		name string
		// turnedAway says whether the service turns a daemon of the domain away.
		turnedAway func(d *daemon) bool
	}{
		{"all_daemons", func(*daemon) bool { return true }},
		{"relays", func(d *daemon) bool { return d.IsRelay() }},
		{"watcher", func(d *daemon) bool { return d.WatchesStore() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRelayFleet(t, largeFleet, config(1), func(w *testFleet) {
				ids := w.addNumberedRunners(6)
				domain := w.daemonsOf(0)
				for _, d := range domain {
					d.store.setFaults(c.turnedAway(d), false)
				}
				for round, id := range ids[:4] {
					w.deleteEntry(id)
					heard := w.until(10*time.Second, func(d *daemon) bool { return d.UsesRunner("app", ident.RunnerID(id)) == edge.Use{} })
					t.Logf("%d: known by 50, 95, 100 in 100 after %v", round, heard)
					w.True(heard[2] >= 0)
					w.True(heard[2] <= drainBound)
					time.Sleep(2 * time.Second)
				}
			})
		})
	}
}

// drainBound is the bound of the test fleets, Bounds.DrainWithin.
const drainBound = 3 * time.Second

// daemonsOf returns the daemons of a failure domain.
func (w *testFleet) daemonsOf(domain int) []*daemon {
	var list []*daemon
	for i, d := range w.daemons {
		if i%len(w.domains) == domain {
			list = append(list, d)
		}
	}
	return list
}
