package edge_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/relays"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
)

// restartOneByOne kills and restarts the first daemons one after the other. Before each kill
// every daemon serves a request of each workspace.
func (w *testFleet) restartOneByOne(daemons, workspaces int) {
	w.servedBefore = true
	for i := range daemons {
		for _, d := range w.daemons {
			w.askEachWorkspace(d, workspaces)
		}
		time.Sleep(500 * time.Millisecond)
		w.daemons[i].kill()
		w.restart(i)
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against messages that grow with the number of restarts in a fleet, and against counts
// lost by the restarts, while relays pass the counts on. The fleet size at which relays are
// used is the program's default.
func TestMessagesStaySmallThroughRestartsOfALargeFleet(t *testing.T) {
	const (
		daemons    = 40
		restarted  = 12
		workspaces = 16
		mostBytes  = 4500
	)
	withSettledFleet(t, daemons, 0, manyWorkspaces(workspaces), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(time.Second)
		w.restartOneByOne(restarted, workspaces)
		time.Sleep(20 * time.Second)
		t.Logf("largest message: %d bytes", w.network.largest())
		w.True(w.network.largest() <= mostBytes)
		w.checkReports()
		w.Equal(w.totalReported(), int64(restarted*daemons*workspaces))
	})
}

// Guards against messages that grow with the number of daemons that have ended: each message
// carries the counts of one of them at most.
func TestMessagesTellOfOneEndedDaemon(t *testing.T) {
	const daemons, workspaces = 12, 2
	for name, direct := range map[string]int{"relays": relays.AllWatchFleet, "direct": relays.DirectFleet} {
		t.Run(name, func(t *testing.T) {
			withSettledFleet(t, daemons, direct, manyWorkspaces(workspaces), func(w *testFleet) {
				w.addRunner("r1", "app")
				time.Sleep(time.Second)
				most := 0
				w.network.observe(func(message []byte) { most = max(most, endedDaemonsIn(message)) })
				w.restartOneByOne(daemons, workspaces)
				time.Sleep(3 * time.Second)
				w.network.observe(nil)
				w.Equal(most, 1)
			})
		})
	}
}

// endedDaemonsIn returns the number of ended daemons whose counts a message carries. Counts of
// the sender's own followers are not included.
func endedDaemonsIn(message []byte) int {
	var d peersv1.Datagram
	if err := proto.Unmarshal(message, &d); err != nil {
		return 0
	}
	n := 0
	for _, one := range d.GetHello().GetEnded() {
		if !one.Follows {
			n++
		}
	}
	return n
}
