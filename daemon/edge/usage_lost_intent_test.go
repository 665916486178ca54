package edge_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/standin/kvserver"
)

var allLosses = flag.Bool("all-losses", false, "play losses of the store's last seconds with copies of three ages and at three times after a report")

// settledFleet is a number of daemons, and the largest number at which they form a direct fleet.
type settledFleet struct{ daemons, direct int }

// endOfDaemons says how the daemons of a fleet end around a loss of the store's last seconds.
type endOfDaemons struct {
	// survivors is the number of daemons that live on, none of which holds the duties; spacing is the time
	// between the ends of the others, the holder's first.
	survivors int
	spacing   time.Duration
	// beforeReturn is the time from the last end to the return, startFirst whether the daemons start before it.
	beforeReturn time.Duration
	startFirst   bool
	// survivorCutOff cuts off the survivor from the others while the report is made.
	survivorCutOff bool
}

// Guards against a window that is reported with two counts: the report was sent, and both the daemons that knew so and
// the store's note of it are lost.
func TestWindowIsReportedOnceWhenDaemonsAndIntentAreLost(t *testing.T) {
	ages, afterReports := []time.Duration{9 * time.Second}, []time.Duration{300 * time.Millisecond, 2 * time.Second}
	fleets := []settledFleet{{5, relays.DirectFleet}, {12, relays.AllWatchFleet}}
	if *allLosses {
		ages, afterReports = append(ages, time.Second, 4*time.Second), append(afterReports, 0)
		fleets = append(fleets, settledFleet{12, relays.DirectFleet})
	}
	for name, end := range map[string]endOfDaemons{
		"all at once":               {},
		"all, long before":          {beforeReturn: time.Second},
		"all start before return":   {beforeReturn: 200 * time.Millisecond, startFirst: true},
		"one by one":                {spacing: 300 * time.Millisecond},
		"all but one":               {survivors: 1},
		"all but one, later":        {survivors: 1, beforeReturn: time.Second},
		"all but one, cut off":      {survivors: 1, survivorCutOff: true},
		"all but two":               {survivors: 2},
		"all but two, start before": {survivors: 2, beforeReturn: 200 * time.Millisecond, startFirst: true},
	} {
		for _, fleet := range fleets {
			for _, age := range ages {
				for _, afterReport := range afterReports {
					t.Run(fmt.Sprintf("%s/%d, direct up to %d/copy %v old/%v after report", name, fleet.daemons, fleet.direct, age, afterReport), func(t *testing.T) {
						t.Parallel()
						checkReportsAfterLoss(t, end, fleet, age, afterReport)
					})
				}
			}
		}
	}
}

func checkReportsAfterLoss(t *testing.T, end endOfDaemons, fleet settledFleet, age, afterReport time.Duration) {
	const (
		workspaces = 2
		// firstCopyAfter is the time after the return in which daemons that start read the store.
		firstCopyAfter = time.Second
	)
	daemons := fleet.daemons
	withSettledFleet(t, daemons, fleet.direct, manyWorkspaces(workspaces), func(w *testFleet) {
		w.addRunner("r1", "app")
		l := &copiedLoad{servedLoad: newServedLoad(w, workspaces)}
		l.run(6 * time.Second)
		holder := w.waitForHolder(2 * time.Second)
		l.run(age)
		survivor := w.daemons[(holder+1)%daemons]
		w.network.isolate(survivor.address, end.survivorCutOff)
		l.runUntilReport()
		l.run(afterReport)
		var ended []int
		for k := range daemons - end.survivors {
			i := (holder + daemons - k) % daemons
			w.isolateAndKill(w.daemons[i])
			ended = append(ended, i)
			time.Sleep(end.spacing)
		}
		time.Sleep(end.beforeReturn)
		if end.startFirst {
			w.restartEach(ended)
			time.Sleep(500 * time.Millisecond)
		}
		w.store.Restore(l.copyOfAge(age))
		w.configure(manyWorkspaces(workspaces))
		w.put(runnerPrefix+"r1", runnerEntry("r1", "r1"))
		if !end.startFirst {
			w.restartEach(ended)
		}
		w.network.isolate(survivor.address, false)
		l.run(firstCopyAfter)
		first := currentWindow()
		l.run(12 * time.Second)
		last := currentWindow() - 1
		time.Sleep(12 * time.Second)
		w.checkReports()
		reported := w.reportedByWindow()
		for window := first; window <= last; window++ {
			_, ok := reported[window]
			w.True(ok) // only windows that had ended before the daemons read the store may be left out
		}
	})
}

// restartEach starts the daemons with the given indexes again.
func (w *testFleet) restartEach(indexes []int) {
	for _, i := range indexes {
		w.restart(i)
	}
}

// copiedLoad is a load during which the store is copied again and again.
type copiedLoad struct {
	*servedLoad
	copies []datedCopy
}

type datedCopy struct {
	at   time.Time
	copy *kvserver.Copy
}

// run sends requests for the given span.
func (l *copiedLoad) run(span time.Duration) {
	const interval = 100 * time.Millisecond
	for range int(span / interval) {
		l.servedLoad.run(interval)
		l.copies = append(l.copies, datedCopy{time.Now(), l.w.store.Copy()})
	}
}

// runUntilReport sends requests until a window is reported.
func (l *copiedLoad) runUntilReport() {
	for before := len(l.w.cloud.received()); len(l.w.cloud.received()) == before; {
		l.run(100 * time.Millisecond)
	}
}

// copyOfAge returns the newest copy of the store that is at least that old.
func (l *copiedLoad) copyOfAge(age time.Duration) *kvserver.Copy {
	newest := l.copies[0].copy
	for _, d := range l.copies {
		if time.Since(d.at) >= age {
			newest = d.copy
		}
	}
	return newest
}
