package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

// manyWorkspaces is a configuration with n workspaces, each with a key of its own.
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

// A user rolls a new version out: all daemons of a fleet are restarted one after
// the other while they serve. Every daemon told every other what all those that had
// ended had counted, so messages grew with the number of restarts; on a larger fleet
// they filled the VMs' links and requests came late for as long as that went on.
// Messages must stay small, and no counted request may be lost all the same.
//
// Largest message of this test: 17,763 bytes when all were told in each message,
// 2,531 by turns.
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

// askEachWorkspace sends one request of each workspace.
func (w *testFleet) askEachWorkspace(d *daemon, workspaces int) {
	for i := range workspaces {
		a := w.ask(d, "/read/", fmt.Sprintf("key-%d", i))
		w.Equal(a.refusal, nil)
		w.Equal(a.status, 200)
	}
}
