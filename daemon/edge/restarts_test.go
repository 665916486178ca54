package edge_test

import (
	"testing"
	"time"
)

// Guards against messages that grow with the restarts of a fleet, and counts that are lost by
// them, where the program's own choice is that relays pass the counts on.
func TestMessagesStaySmallThroughRestartsOfALargeFleet(t *testing.T) {
	const (
		daemons    = 40
		restarted  = 12
		workspaces = 16
		mostBytes  = 4500
	)
	inFleet(t, daemons, 0, manyWorkspaces(workspaces), func(w *world) {
		w.addRunner("r1", "app")
		time.Sleep(time.Second)
		w.notFirst = true
		for i := range restarted {
			for _, d := range w.daemons {
				w.askAll(d, workspaces)
			}
			time.Sleep(500 * time.Millisecond)
			w.daemons[i].kill()
			w.restart(i)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		t.Logf("largest message: %d bytes", w.network.largest())
		w.True(w.network.largest() <= mostBytes)
		w.checkReports()
		w.Equal(w.reported(), int64(restarted*daemons*workspaces))
	})
}
