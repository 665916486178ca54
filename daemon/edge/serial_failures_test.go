package edge_test

import (
	"fmt"
	"testing"
	"time"
)

// withSerialFailures runs a fleet of twelve daemons that all serve requests, and kills its four
// relays one after the other. It does so offsets times; each time the kills begin 250 ms later
// within a usage window. With keepSecondHolder, a daemon that has taken over the duties from the
// first holder isn't killed: if several holders end before one can report a window, the window is
// lost. The function check is called every loadInterval. The function after is called at the end
// with the number of requests served.
func withSerialFailures(t *testing.T, offsets int, keepSecondHolder bool, check func(w *testFleet), after func(w *testFleet, served int64)) {
	const (
		daemons, workspaces = 12, 2
		spacing             = 1600 * time.Millisecond
		settle              = 20 * time.Second
		firstHolder         = 0
	)
	for offset := range offsets {
		withFleet(t, daemons, manyWorkspaces(workspaces), func(w *testFleet) {
			w.addRunner("r1", "app")
			time.Sleep(4*time.Second + time.Duration(offset)*250*time.Millisecond)
			served := int64(0)
			for _, i := range []int{firstHolder, 9, 10, 11} {
				for _, d := range w.daemons {
					for i := range workspaces {
						if !d.stopped() && w.ask(d, "/read/", fmt.Sprintf("key-%d", i)).status == 200 {
							served++
						}
					}
				}
				w.checkDuring(spacing, check)
				if !keepSecondHolder || i == firstHolder || w.anotherDaemonHoldsDuties(i) {
					w.daemons[i].kill()
				}
			}
			w.checkDuring(settle, check)
			after(w, served)
		})
	}
}

// anotherDaemonHoldsDuties reports whether a daemon other than the given one holds the duties.
func (w *testFleet) anotherDaemonHoldsDuties(i int) bool {
	for j, d := range w.daemons {
		if j != i && !d.stopped() && d.HoldsDuties() {
			return true
		}
	}
	return false
}

func (w *testFleet) checkDuring(span time.Duration, check func(w *testFleet)) {
	for range int(span / loadInterval) {
		check(w)
		time.Sleep(loadInterval)
	}
}

func (d *daemon) stopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// Guards against a daemon that reports its own counts as those of the whole fleet. After the
// holder of the duties had ended, such a daemon considered itself the only relay, took over the
// duties, and kept them as a follower.
func TestFollowerHoldsNoDuties(t *testing.T) {
	const offsets, atMost = 20, time.Second
	held := time.Duration(0)
	check := func(w *testFleet) {
		for _, d := range w.daemons {
			if !d.stopped() && d.HoldsDuties() && !d.IsRelay() {
				held += loadInterval
			}
		}
	}
	withSerialFailures(t, offsets, false, check, func(w *testFleet, _ int64) {
		w.True(held <= atMost)
		held = 0
	})
}

// Guards against the loss of usage that a running daemon knows of. A new relay reported a
// window before it had received the counts of the ended relays' followers.
func TestCountsOutliveRelaysThatEndInSeries(t *testing.T) {
	const offsets = 20
	withSerialFailures(t, offsets, true, func(*testFleet) {}, func(w *testFleet, served int64) {
		w.Equal(w.totalReported(), served)
	})
}
