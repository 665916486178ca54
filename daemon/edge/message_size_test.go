package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

// manyWorkspaces returns a configuration with n workspaces, each with its own key.
func manyWorkspaces(n int) route.Config {
	c := config(1)
	c.Workspaces = nil
	for i := range n {
		c.Workspaces = append(c.Workspaces, route.Workspace{
			Name: ident.Workspace(fmt.Sprintf("workspace-%02d", i)), Keys: []string{fmt.Sprintf("key-%d", i)},
			Quota: route.Quota{PerSecond: 1000, Burst: 1000},
		})
	}
	return c
}

// Guards against messages that grow with the number of restarts, for example in the rollout of
// a new version. Every daemon sent every other one the counts of all ended daemons in each
// message; in larger fleets this filled the VMs' links and delayed requests for as long as the
// rollout went on. Messages must stay small, and no counted request may be lost.
//
// The largest message of this test was 17,763 bytes with the counts of all ended daemons in
// each message, and is 2,531 bytes with those of one in rotation.
func TestMessagesStaySmallThroughRestarts(t *testing.T) {
	const (
		daemons    = 12
		workspaces = 16
		mostBytes  = 4500
	)
	withFleet(t, daemons, manyWorkspaces(workspaces), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(time.Second)
		for i := range daemons {
			for _, d := range w.daemons {
				w.askEachWorkspace(d, workspaces)
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
		w.Equal(w.totalReported(), int64(daemons*daemons*workspaces))
	})
}

// askEachWorkspace sends one request of each workspace to a daemon and checks that it succeeds.
func (w *testFleet) askEachWorkspace(d *daemon, workspaces int) {
	for i := range workspaces {
		a := w.ask(d, "/read/", fmt.Sprintf("key-%d", i))
		w.Equal(a.refusal, nil)
		w.Equal(a.status, 200)
	}
}
