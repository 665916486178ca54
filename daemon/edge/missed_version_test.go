package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// Guards against a daemon that has missed a version for less than the time after which it counts as cut off, and takes the
// only one that it has seen for that of all streams, once those who know better are lost.
func TestDaemonThatMissedAVersionForAMomentDoesNotGuess(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for cutFor := 700 * time.Millisecond; cutFor <= 1900*time.Millisecond; cutFor += 300 * time.Millisecond {
			for _, leaves := range []bool{false, true} {
				t.Run(fmt.Sprintf("silent watch %v/%v/leaves %v", silent, cutFor, leaves), func(t *testing.T) {
					t.Parallel()
					withFleet(t, 3, config(1), func(w *testFleet) { checkMissedVersion(w, silent, cutFor, leaves) })
				})
			}
		}
	}
}

func checkMissedVersion(w *testFleet, silent bool, cutFor time.Duration, leaves bool) {
	w.addVersions(2, nil, "v1")
	time.Sleep(3 * time.Second)
	for i := range 4 { // Each change proves that the copies were recent when the watch of it began.
		w.addVersionedRunner(fmt.Sprintf("v1-%d", i), "v1", nil)
		time.Sleep(100 * time.Millisecond)
	}
	cut, began := w.daemons[0], w.steady()
	cut.store.setFaults(!silent, silent)
	w.network.isolate(cut.address, true)
	w.addVersions(2, nil, "v1.1")
	// The version is used once it is saved.
	time.Sleep(cutFor - 200*time.Millisecond)
	callers := w.beginBriefly(60, w.daemons[1])
	for _, d := range w.daemons[1:] {
		w.isolateAndKill(d)
	}
	w.leaveIf(leaves, "v1.1", 2)
	time.Sleep(cutFor - (w.steady() - began))
	if silent {
		// This read proves the configuration, not the copy of the runners.
		w.Equal(w.ask(cut, "/unknown/", key).reason(), refusal.UnknownRoute)
	}
	cut.store.setFaults(false, silent)
	w.network.isolate(cut.address, false)
	o := w.takeUpAtOnce(callers, w.daemons[:1])
	w.t.Logf("%+v", o)
	w.Equal(o.mixed, 0)
}

// beginBriefly begins streams whose callers have one event each.
func (w *testFleet) beginBriefly(n int, d *daemon) []*streamCaller {
	callers := make([]*streamCaller, n)
	done := make(chan struct{})
	for i := range callers {
		callers[i] = &streamCaller{}
		go func() {
			w.readStream(d, callers[i], 1)
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
	return callers
}
