package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/view"
)

// Guards against a daemon that was cut off from everything, or suspended, while a version came and went, and takes the
// only one that it has seen for that of all streams, once those who know better are lost.
func TestDaemonThatMissedAVersionDoesNotGuess(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersions(2, nil, "v1")
		time.Sleep(2 * time.Second)
		cut := w.daemons[0]
		cut.store.setFaults(true, false)
		w.network.isolate(cut.address, true)
		time.Sleep(2 * time.Second)
		w.addVersions(2, nil, "v1.1")
		time.Sleep(3 * time.Second)
		callers := w.beginStreams(40, w.daemons[1])
		w.leaveIf(true, "v1.1", 2)
		for _, d := range w.daemons[1:] {
			w.isolateAndKill(d)
		}
		cut.store.setFaults(false, false)
		w.network.isolate(cut.address, false)
		for len(callers) > 0 {
			time.Sleep(100 * time.Millisecond)
			for _, c := range callers[:4] {
				w.readStream(cut, c, neverLeave)
				w.True(!c.isMixed())
			}
			callers = callers[4:]
		}
	})
}

// leaveIf lets all runners of a version leave and their entries go.
func (w *testFleet) leaveIf(leaves bool, version canary.Version, runners int) {
	if !leaves {
		return
	}
	for i := range runners {
		id := fmt.Sprintf("%s-%d", version, i)
		w.registerVersion(id, version, view.Leaving)
		entry, err := w.store.Get(w.t.Context(), runnerPrefix+id)
		w.NoErr(err)
		w.NoErr(w.store.Delete(w.t.Context(), runnerPrefix+id, entry.Revision))
		w.runners.fall(id, true)
	}
	time.Sleep(100 * time.Millisecond)
}
