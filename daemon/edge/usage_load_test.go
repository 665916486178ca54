package edge_test

import (
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
)

// isolateAndKill ends a daemon that can't give anything back.
func (w *testFleet) isolateAndKill(d *daemon) {
	d.store.setFaults(true, false)
	w.network.isolate(d.address, true)
	d.kill()
	w.network.isolate(d.address, false)
}

// servedLoad is callers of all daemons, with what was served of each window.
type servedLoad struct {
	w          *testFleet
	workspaces int
	asked      int
	served     map[accounting.Window]int64
	// servedRequests are when requests were served.
	servedRequests []served
}

func newServedLoad(w *testFleet, workspaces int) *servedLoad {
	return &servedLoad{w: w, workspaces: workspaces, served: map[accounting.Window]int64{}}
}

type served struct {
	at     time.Duration
	window accounting.Window
}

const (
	usageWindow = 5 * time.Second
	// usageTolerance is the part by which the counts of a window may be off.
	usageTolerance = 0.05
)

func currentWindow() accounting.Window {
	return accounting.Window(time.Now().UnixMilli() / usageWindow.Milliseconds())
}

// run asks one daemon after the other, each step some.
func (l *servedLoad) run(span time.Duration) {
	const step, requests = 50 * time.Millisecond, 3
	for range int(span / step) {
		begin := time.Now()
		for range requests {
			l.asked++
			d := l.w.daemons[l.asked%len(l.w.daemons)]
			if d.stopped() {
				continue
			}
			if l.w.ask(d, "/read/", fmt.Sprintf("key-%d", l.asked%l.workspaces)).status == 200 {
				l.served[currentWindow()]++
				l.servedRequests = append(l.servedRequests, served{l.w.steady(), currentWindow()})
			}
		}
		time.Sleep(step - time.Since(begin))
	}
}

// servedSince counts the requests of a window that were served after a time.
func (l *servedLoad) servedSince(at time.Duration, window accounting.Window) int64 {
	n := int64(0)
	for _, s := range l.servedRequests {
		if s.window == window && s.at >= at {
			n++
		}
	}
	return n
}

// holderIndex is the place of the daemon that holds the duties; negative is none.
func (w *testFleet) holderIndex() int {
	return slices.IndexFunc(w.daemons, func(d *daemon) bool { return !d.stopped() && d.HoldsDuties() })
}

// crashAndRestartAll ends all daemons at once and starts them anew.
func (w *testFleet) crashAndRestartAll() {
	w.servedBefore = true
	for _, d := range w.daemons {
		if !d.stopped() {
			w.isolateAndKill(d)
		}
	}
	for i := range w.daemons {
		w.restart(i)
	}
}

// reportedByWindow adds up the requests of each window.
func (w *testFleet) reportedByWindow() map[accounting.Window]int64 {
	by := map[accounting.Window]int64{}
	for _, r := range w.cloud.received() {
		by[r.window] = r.requests(w)
	}
	return by
}
