package edge_test

import (
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
)

// isolateAndKill ends a daemon without any message or write, as after a power failure.
func (w *testFleet) isolateAndKill(d *daemon) {
	d.store.setFaults(true, false)
	w.network.isolate(d.address, true)
	d.kill()
	w.network.isolate(d.address, false)
}

// servedLoad simulates callers of all daemons and counts the requests served in each usage
// window.
type servedLoad struct {
	w          *testFleet
	workspaces int
	asked      int
	served     map[accounting.Window]int64
	// servedRequests lists the time and window of each request served.
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
	// usageTolerance is the fraction by which the reported count of a window may deviate.
	usageTolerance = 0.05
)

func currentWindow() accounting.Window {
	return accounting.Window(time.Now().UnixMilli() / usageWindow.Milliseconds())
}

// run sends requests to the daemons in turn for the given span.
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

// servedSince returns the number of requests of a usage window that were served at the given
// time or later.
func (l *servedLoad) servedSince(at time.Duration, window accounting.Window) int64 {
	n := int64(0)
	for _, s := range l.servedRequests {
		if s.window == window && s.at >= at {
			n++
		}
	}
	return n
}

// holderIndex returns the index of the daemon that holds the duties, or -1.
func (w *testFleet) holderIndex() int {
	return slices.IndexFunc(w.daemons, func(d *daemon) bool { return !d.stopped() && d.HoldsDuties() })
}

// crashAndRestartAll ends all daemons at once, without any message or write, and restarts them.
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

// reportedByWindow returns the number of requests reported for each window.
func (w *testFleet) reportedByWindow() map[accounting.Window]int64 {
	by := map[accounting.Window]int64{}
	for _, r := range w.cloud.received() {
		by[r.window] = r.requests(w)
	}
	return by
}
