package edge_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// restartOtherRelays kills and restarts all relays but the daemon with index kept, at once.
func (w *testFleet) restartOtherRelays(kept int) {
	var relays []int
	for i, d := range w.daemons {
		if i != kept && d.IsRelay() {
			relays = append(relays, i)
		}
	}
	for _, i := range relays {
		w.daemons[i].kill()
	}
	for _, i := range relays {
		w.restart(i)
	}
}

// Guards against usage windows that are never reported because each holder of the duties became a
// relay only moments before and ends while it still waits for the counts that relays send each
// other.
func TestUsageOutlivesHoldersThatAreNewRelays(t *testing.T) {
	const (
		daemons, workspaces, ends = 12, 4, 12
		offsets                   = 4
		// holderLife is longer than the second in which a new holder may not act yet.
		holderLife = 2 * time.Second
	)
	// The holder, which killOneByOne kills, ends at the same moment as the other relays.
	holderAfterOtherRelays := func(w *testFleet, _ int, _ *rand.Rand) int {
		holder := w.waitForHolder(holderLife)
		w.restartOtherRelays(holder)
		return holder
	}
	for offset := range offsets {
		withFleet(t, daemons, manyWorkspaces(workspaces), func(w *testFleet) {
			l := newServedLoad(w, workspaces)
			l.killOneByOne(ends, 0, offset, holderAfterOtherRelays)
			time.Sleep(20 * time.Second)
			w.checkReports()
			reported := w.reportedByWindow()
			for window, served := range l.served {
				lost := served - reported[window]
				w.True(lost >= 0 && float64(lost) <= usageTolerance*float64(served))
			}
		})
	}
}
