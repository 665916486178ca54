package edge_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/relays"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
)

// restartOneByOne kills the first daemons one after the other and starts them anew, while all are
// asked.
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

// Guards against messages that grow with the restarts of a fleet, and counts that are lost by
// them, where the program's own choice is that relays pass the counts on.
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

// Guards against messages that grow with the number of daemons that have ended: each tells the
// counts of one of them.
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

// endedDaemonsIn counts the daemons of a message that it tells the counts of without hearing them.
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
