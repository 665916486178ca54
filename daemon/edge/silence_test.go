package edge_test

import (
	"testing"
	"time"
)

// Guards against requests that are taken away from a sound runner because it was silent for a
// second.
func TestRunnerThatIsSilentForASecondKeepsItsRequests(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		r := w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		answered := make(chan *recordedReply, 1)
		go func() { answered <- w.ask(w.daemons[0], "/draft/1", key) }()
		time.Sleep(3 * pathsEventInterval)
		w.addServingRunner("r2")
		w.daemons[0].runners.pause(1200 * time.Millisecond)
		a := <-answered
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, pathsEvents))
		w.Equal(r.count(), 1)
	})
}
