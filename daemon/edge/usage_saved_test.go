package edge_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/relays"
)

// Guards against usage that is lost since all daemons end together and only they know it, also
// where the holder of the duties, which saves it, has ended a moment before.
func TestUsageOutlivesAnEndOfAll(t *testing.T) {
	const (
		daemons, workspaces = 12, 4
		offsets             = 10
		// What was served in that time before the end may be lost: until it is told to the
		// daemon that saves it, until that saves next, and until another one does.
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

// Guards against windows that were saved and are not reported, since all daemons end once more
// before one of them can.
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

// Guards against a window that is reported while a daemon that was heard a moment before can't
// tell what it counted: in a fleet that tells each other directly nobody waits for it.
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

var seriesOffsets = flag.Int("series-offsets", 2, "offsets to the windows of usage at which daemons end in series")

// victimSelectors choose which daemon of a series ends next.
var victimSelectors = map[string]func(w *testFleet, i int, rng *rand.Rand) int{
	"in order": func(w *testFleet, i int, _ *rand.Rand) int { return i % len(w.daemons) },
	"relays": func(w *testFleet, i int, rng *rand.Rand) int {
		return w.pickDaemon(i, rng, func(d *daemon) bool { return d.IsRelay() })
	},
	"holders": func(w *testFleet, _ int, _ *rand.Rand) int { return w.waitForHolder(2 * time.Second) },
}

// waitForHolder waits until a daemon has held the duties for so long: for the first second it may
// not act.
func (w *testFleet) waitForHolder(span time.Duration) int {
	holder, since := -1, w.steady()
	for holder < 0 || w.steady()-since < span {
		time.Sleep(loadStep)
		now := w.holderIndex()
		if now != holder {
			holder, since = now, w.steady()
		}
	}
	return holder
}

// pickDaemon draws a daemon of a kind, or else one in order.
func (w *testFleet) pickDaemon(i int, rng *rand.Rand, matches func(d *daemon) bool) int {
	for _, k := range rng.Perm(len(w.daemons)) {
		if matches(w.daemons[k]) {
			return k
		}
	}
	return i % len(w.daemons)
}

// killOneByOne has daemons end one after the other while all are asked, from an offset to the
// windows of usage on.
func (l *servedLoad) killOneByOne(ends int, spacing time.Duration, offset int, victim func(w *testFleet, i int, rng *rand.Rand) int) {
	const (
		offsetStep = 370 * time.Millisecond
		// countsShared is how long after it was served a request is known to another daemon.
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

// Guards against usage that is lost, of some daemons or of a whole window, while daemons end
// one after the other faster than a window is reported: relays that alone know of others, or
// each holder of the duties.
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
