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
		"relays":               {relays.SmallFleet, false, relayed},
		"direct, holder first": {relays.DirectFleet, true, direct + successor},
		"relays, holder first": {relays.SmallFleet, true, relayed + successor},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := range offsets {
				inFleet(t, daemons, fleet.direct, manyWorkspaces(workspaces), func(w *world) {
					w.addRunner("r1", "app")
					time.Sleep(5*time.Second + time.Duration(offset)*usageWindow/offsets)
					l := newServedLoad(w, workspaces)
					l.run(8 * time.Second)
					if fleet.holderFirst {
						w.crash(w.daemons[w.holderPlace()])
						l.run(2500 * time.Millisecond)
					}
					endedAt, endedIn := w.steady(), windowNow()
					w.endAll()
					time.Sleep(2 * time.Second)
					l.run(8 * time.Second)
					time.Sleep(20 * time.Second)
					reported := w.reportedBy()
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
		between             = 4500 * time.Millisecond
		unsaved             = 3 * time.Second
	)
	for offset := range offsets {
		inLargeFleet(t, daemons, manyWorkspaces(workspaces), func(w *world) {
			w.addRunner("r1", "app")
			time.Sleep(5*time.Second + time.Duration(offset)*usageWindow/offsets)
			l := newServedLoad(w, workspaces)
			l.run(8 * time.Second)
			endedAt := w.steady()
			w.endAll()
			time.Sleep(between)
			w.endAll()
			time.Sleep(20 * time.Second)
			reported := w.reportedBy()
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
	inDirectFleet(t, daemons, manyWorkspaces(1), func(w *world) {
		w.addRunner("r1", "app")
		time.Sleep(time.Second)
		untilEnd := usageWindow - time.Duration(time.Now().UnixMilli()%usageWindow.Milliseconds())*time.Millisecond
		time.Sleep(untilEnd + usageWindow - cutFor/2)
		window, cut := windowNow(), w.daemons[daemons-1]
		w.network.isolate(cut.address, true)
		for range requests {
			w.Equal(w.ask(cut, "/read/", "key-0").status, 200)
		}
		time.Sleep(cutFor)
		w.network.isolate(cut.address, false)
		time.Sleep(12 * time.Second)
		w.Equal(w.reportedBy()[window], int64(requests))
	})
}

var seriesOffsets = flag.Int("series-offsets", 2, "offsets to the windows of usage at which daemons end in series")

// victims choose which daemon of a series ends next.
var victims = map[string]func(w *world, i int, luck *rand.Rand) int{
	"in order": func(w *world, i int, _ *rand.Rand) int { return i % len(w.daemons) },
	"relays": func(w *world, i int, luck *rand.Rand) int {
		return w.pick(i, luck, func(d *daemon) bool { return d.IsRelay() })
	},
	"holders": func(w *world, _ int, _ *rand.Rand) int { return w.holdingFor(2 * time.Second) },
}

// holdingFor waits until a daemon has held the duties for so long: for the first second it may
// not act.
func (w *world) holdingFor(span time.Duration) int {
	holder, since := -1, w.steady()
	for holder < 0 || w.steady()-since < span {
		time.Sleep(loadStep)
		now := w.holderPlace()
		if now != holder {
			holder, since = now, w.steady()
		}
	}
	return holder
}

// pick draws a daemon of a kind, or else one in order.
func (w *world) pick(i int, luck *rand.Rand, of func(d *daemon) bool) int {
	for _, k := range luck.Perm(len(w.daemons)) {
		if of(w.daemons[k]) {
			return k
		}
	}
	return i % len(w.daemons)
}

// endInSeries has daemons end one after the other while all are asked, from an offset to the
// windows of usage on.
func (l *servedLoad) endInSeries(ends int, spacing time.Duration, offset int, victim func(w *world, i int, luck *rand.Rand) int) {
	const (
		offsetStep = 370 * time.Millisecond
		// passedOn is how long after it was served a request is known to another daemon.
		passedOn = 500 * time.Millisecond
	)
	w, luck := l.w, rand.New(rand.NewPCG(uint64(offset), 1))
	w.addRunner("r1", "app")
	time.Sleep(4*time.Second + time.Duration(offset)*offsetStep)
	w.notFirst = true
	for i := range ends {
		began := w.steady()
		l.run(500 * time.Millisecond)
		time.Sleep(passedOn)
		next := victim(w, i, luck)
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
	for who, victim := range victims {
		for _, spacing := range []time.Duration{1600 * time.Millisecond, 2800 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", who, spacing), func(t *testing.T) {
				for offset := range *seriesOffsets {
					inWorld(t, daemons, manyWorkspaces(workspaces), func(w *world) {
						l := newServedLoad(w, workspaces)
						l.endInSeries(ends, spacing, offset, victim)
						time.Sleep(20 * time.Second)
						w.checkReports()
						reported := w.reportedBy()
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
