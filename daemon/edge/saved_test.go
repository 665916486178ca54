package edge_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/coordination/relays"
)

// crash ends a daemon that can't give anything back.
func (w *world) crash(d *daemon) {
	d.store.set(true, false)
	w.network.isolate(d.address, true)
	d.kill()
	w.network.isolate(d.address, false)
}

// servedLoad is callers of all daemons, with what was served of each window.
type servedLoad struct {
	w          *world
	workspaces int
	asked      int
	served     map[accounting.Window]int64
	// recent are when requests were served.
	recent []served
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

func windowNow() accounting.Window {
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
			if d.ended() {
				continue
			}
			if l.w.ask(d, "/read/", fmt.Sprintf("key-%d", l.asked%l.workspaces)).status == 200 {
				l.served[windowNow()]++
				l.recent = append(l.recent, served{l.w.steady(), windowNow()})
			}
		}
		time.Sleep(step - time.Since(begin))
	}
}

// servedSince counts the requests of a window that were served after a time.
func (l *servedLoad) servedSince(at time.Duration, window accounting.Window) int64 {
	n := int64(0)
	for _, s := range l.recent {
		if s.window == window && s.at >= at {
			n++
		}
	}
	return n
}

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
					l := &servedLoad{w: w, workspaces: workspaces, served: map[accounting.Window]int64{}}
					l.run(8 * time.Second)
					if fleet.holderFirst {
						w.crash(w.holding())
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
	)
	for offset := range offsets {
		inLargeFleet(t, daemons, manyWorkspaces(workspaces), func(w *world) {
			w.addRunner("r1", "app")
			time.Sleep(5*time.Second + time.Duration(offset)*usageWindow/offsets)
			l := &servedLoad{w: w, workspaces: workspaces, served: map[accounting.Window]int64{}}
			l.run(8 * time.Second)
			endedAt := w.steady()
			w.endAll()
			time.Sleep(between)
			w.endAll()
			time.Sleep(20 * time.Second)
			reported := w.reportedBy()
			for window, served := range l.served {
				w.True(reported[window] >= served-l.servedSince(endedAt-3*time.Second, window))
			}
			w.checkReports()
		})
	}
}

// holding is the daemon that holds the duties.
func (w *world) holding() *daemon {
	for _, d := range w.daemons {
		if !d.ended() && d.Holds() {
			return d
		}
	}
	w.Fail()
	return nil
}

// endAll ends all daemons at once and starts them anew.
func (w *world) endAll() {
	w.notFirst = true
	for _, d := range w.daemons {
		if !d.ended() {
			w.crash(d)
		}
	}
	for i := range w.daemons {
		w.restart(i)
	}
}

// reportedBy adds up the requests of each window.
func (w *world) reportedBy() map[accounting.Window]int64 {
	by := map[accounting.Window]int64{}
	for _, r := range w.cloud.taken() {
		by[r.window] = r.requests(w)
	}
	return by
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
		now := slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.Holds() })
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
						luck := rand.New(rand.NewPCG(uint64(offset), 1))
						w.addRunner("r1", "app")
						time.Sleep(4*time.Second + time.Duration(offset)*370*time.Millisecond)
						w.notFirst = true
						l := &servedLoad{w: w, workspaces: workspaces, served: map[accounting.Window]int64{}}
						for i := range ends {
							began := w.steady()
							l.run(500 * time.Millisecond)
							time.Sleep(500 * time.Millisecond) // what is counted is known to another one
							next := victim(w, i, luck)
							w.daemons[next].kill()
							w.restart(next)
							time.Sleep(max(0, spacing-(w.steady()-began)))
						}
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
