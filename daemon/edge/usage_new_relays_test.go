package edge_test

import (
	"testing"
	"time"
)

// killRelays kills and restarts all relays at once.
func (w *testFleet) killRelays() {
	var relays []int
	for i, d := range w.daemons {
		if d.IsRelay() {
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
		offsetStep                = 370 * time.Millisecond
		// holderLife is longer than the second in which a new holder may not act yet.
		holderLife = 2 * time.Second
		// countsShared is the time until other daemons know of a served request.
		countsShared = 500 * time.Millisecond
	)
	for offset := range offsets {
		withFleet(t, daemons, manyWorkspaces(workspaces), func(w *testFleet) {
			w.addRunner("r1", "app")
			time.Sleep(4*time.Second + time.Duration(offset)*offsetStep)
			l := newServedLoad(w, workspaces)
			for range ends {
				l.run(500 * time.Millisecond)
				time.Sleep(countsShared)
				w.waitForHolder(holderLife)
				w.killRelays()
			}
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
