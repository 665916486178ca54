package edge_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Guards against daemons that go on using runners that are gone, because the key-value service turns away them or
// the one daemon from which their whole failure domain gets the changes.
func TestDomainThatTheStoreTurnsAwayHearsOfGoneRunners(t *testing.T) {
	for _, c := range []struct {
		name    string
		setup   fleetSetup
		daemons int
		// turnedAway says whether the service turns a daemon of the domain away.
		turnedAway func(d *daemon) bool
	}{
		{"all_daemons", withRelayFleet, largeFleet, func(*daemon) bool { return true }},
		{"relays", withRelayFleet, largeFleet, func(d *daemon) bool { return d.IsRelay() }},
		{"watcher", withRelayFleet, largeFleet, func(d *daemon) bool { return d.WatchesStore() }},
		{"direct", withDirectFleet, 30, func(*daemon) bool { return true }},
		{"all_watch", withDirectFleet, 5, func(*daemon) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.setup(t, c.daemons, config(1), func(w *testFleet) {
				ids := w.addRunners(6)
				for _, d := range w.daemonsOf(0) {
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
