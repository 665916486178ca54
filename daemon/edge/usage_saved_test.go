package edge_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/relays"
)

// Guards against usage that is lost when all daemons end at once, since only they know it. The
// holder of the duties, which saves the counts, ends together with the others or a moment
// before them.
func TestUsageOutlivesAnEndOfAll(t *testing.T) {
	const (
		daemons, workspaces = 12, 4
		offsets             = 10
		// Requests served within this time before the end may be lost. The time covers
		// sending the counts to the daemon that saves them, directly or through relays, the
		// wait until it saves next, and the wait until its successor saves instead.
		direct, relayed, successor = 1600 * time.Millisecond, 3 * time.Second, 1600 * time.Millisecond
	)
	for name, fleet := range map[string]struct {
		direct      int
		holderFirst bool
		unsaved     time.Duration
	}{
		"direct":               {relays.DirectFleet, false, direct},
		"relays":               {relays.AllWatchFleet, false, relayed},
		"direct, holder first": {relays.DirectFleet, true, direct + successor},
		"relays, holder first": {relays.AllWatchFleet, true, relayed + successor},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := range offsets {
				withSettledFleet(t, daemons, fleet.direct, manyWorkspaces(workspaces), func(w *testFleet) {
					w.addRunner("r1", "app")
					time.Sleep(5*time.Second + time.Duration(offset)*usageWindow/offsets)
					l := newServedLoad(w, workspaces)
					l.run(8 * time.Second)
					if fleet.holderFirst {
						w.isolateAndKill(w.daemons[w.holderIndex()])
						l.run(2500 * time.Millisecond)
					}
					endedAt, endedIn := w.steady(), currentWindow()
					w.crashAndRestartAll()
					time.Sleep(2 * time.Second)
					l.run(8 * time.Second)
					time.Sleep(20 * time.Second)
					reported := w.reportedByWindow()
					for window, served := range l.served {
						lost := served - reported[window]
						unsaved := l.servedSince(endedAt-fleet.unsaved, window) - l.servedSince(endedAt, window)
						if lost > 0 {
							t.Logf("offset %d, window %+d: %d of %d lost, %d served in the last %v", offset, window-endedIn, lost, served, unsaved, fleet.unsaved)
						}
						w.True(lost >= 0 && lost <= unsaved)
					}
					w.checkReports()
				})
			}
		})
	}
}

// Guards against saved windows that are never reported, because all daemons end a second time
// before one of them can report.
func TestUsageOutlivesTwoEndsOfAll(t *testing.T) {
	const (
		daemons, workspaces = 12, 4
		offsets             = 5
		betweenCrashes      = 4500 * time.Millisecond
		unsaved             = 3 * time.Second
	)
	for offset := range offsets {
		withRelayFleet(t, daemons, manyWorkspaces(workspaces), func(w *testFleet) {
			w.addRunner("r1", "app")
			time.Sleep(5*time.Second + time.Duration(offset)*usageWindow/offsets)
			l := newServedLoad(w, workspaces)
			l.run(8 * time.Second)
			endedAt := w.steady()
			w.crashAndRestartAll()
			time.Sleep(betweenCrashes)
			w.crashAndRestartAll()
			time.Sleep(20 * time.Second)
			reported := w.reportedByWindow()
			for window, served := range l.served {
				w.True(reported[window] >= served-l.servedSince(endedAt-unsaved, window))
			}
			w.checkReports()
		})
	}
}

// Guards against a window that is reported without the counts of a daemon that was heard a
// moment before and is cut off for a short time. In a direct fleet no daemon waited for it.
func TestWindowWaitsForADaemonThatIsCutOff(t *testing.T) {
	const daemons, requests, cutFor = 12, 10, 2 * time.Second
	withDirectFleet(t, daemons, manyWorkspaces(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(time.Second)
		untilEnd := usageWindow - time.Duration(time.Now().UnixMilli()%usageWindow.Milliseconds())*time.Millisecond
		time.Sleep(untilEnd + usageWindow - cutFor/2)
		window, cut := currentWindow(), w.daemons[daemons-1]
		w.network.isolate(cut.address, true)
		for range requests {
			w.Equal(w.ask(cut, "/read/", "key-0").status, 200)
		}
		time.Sleep(cutFor)
		w.network.isolate(cut.address, false)
		time.Sleep(12 * time.Second)
		w.Equal(w.reportedByWindow()[window], int64(requests))
	})
}

var seriesOffsets = flag.Int("series-offsets", 2, "number of offsets from the start of a usage window at which the series of daemon failures begins")

// victimSelectors choose the daemon that a series kills next.
var victimSelectors = map[string]func(w *testFleet, i int, rng *rand.Rand) int{
	"in order": func(w *testFleet, i int, _ *rand.Rand) int { return i % len(w.daemons) },
	"relays": func(w *testFleet, i int, rng *rand.Rand) int {
		return w.pickDaemon(i, rng, func(d *daemon) bool { return d.IsRelay() })
	},
	"holders": func(w *testFleet, _ int, _ *rand.Rand) int { return w.waitForHolder(2 * time.Second) },
}

// waitForHolder waits until one daemon has held the duties for the given time, and returns its
// index. A new holder may not act during its first second.
func (w *testFleet) waitForHolder(span time.Duration) int {
	holder, since := -1, w.steady()
	for holder < 0 || w.steady()-since < span {
		time.Sleep(loadInterval)
		now := w.holderIndex()
		if now != holder {
			holder, since = now, w.steady()
		}
	}
	return holder
}

// pickDaemon returns the index of a random daemon that matches, or that of the next daemon in
// order if none does.
func (w *testFleet) pickDaemon(i int, rng *rand.Rand, matches func(d *daemon) bool) int {
	for _, k := range rng.Perm(len(w.daemons)) {
		if matches(w.daemons[k]) {
			return k
		}
	}
	return i % len(w.daemons)
}

// killOneByOne kills and restarts daemons one after the other while all of them serve requests.
// offset shifts the start within a usage window.
func (l *servedLoad) killOneByOne(ends int, spacing time.Duration, offset int, victim func(w *testFleet, i int, rng *rand.Rand) int) {
	const (
		offsetStep = 370 * time.Millisecond
		// countsShared is the time until another daemon knows of a served request.
		countsShared = 500 * time.Millisecond
	)
	w, rng := l.w, rand.New(rand.NewPCG(uint64(offset), 1))
	w.addRunner("r1", "app")
	time.Sleep(4*time.Second + time.Duration(offset)*offsetStep)
	w.servedBefore = true
	for i := range ends {
		began := w.steady()
		l.run(500 * time.Millisecond)
		time.Sleep(countsShared)
		next := victim(w, i, rng)
		w.daemons[next].kill()
		w.restart(next)
		time.Sleep(max(0, spacing-(w.steady()-began)))
	}
}

// Guards against usage that is lost, of some daemons or for whole windows, while daemons end
// one after the other faster than a window is reported. The victims are daemons in order,
// relays, which may be the only ones that know other daemons' counts, or the holders of the
// duties.
func TestUsageOutlivesSeriesOfEnds(t *testing.T) {
	const daemons, workspaces, ends = 12, 4, 12
	for who, victim := range victimSelectors {
		for _, spacing := range []time.Duration{1600 * time.Millisecond, 2800 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", who, spacing), func(t *testing.T) {
				for offset := range *seriesOffsets {
					withFleet(t, daemons, manyWorkspaces(workspaces), func(w *testFleet) {
						l := newServedLoad(w, workspaces)
						l.killOneByOne(ends, spacing, offset, victim)
						time.Sleep(20 * time.Second)
						w.checkReports()
						reported := w.reportedByWindow()
						for window, served := range l.served {
							lost := served - reported[window]
							w.True(lost >= 0 && float64(lost) <= usageTolerance*float64(served))
						}
					})
				}
			})
		}
	}
}
