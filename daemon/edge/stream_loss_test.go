package edge_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// maxUnknown is the number of refused streams that were taken up from which on users count them as lost.
const maxUnknown = 12

// lossOfAll says what the versions of a service do around the loss of all daemons.
type lossOfAll struct {
	versions []canary.Version
	// leaves is the version whose runners leave before the loss, while the daemons are down or after it.
	leaves                                 canary.Version
	leavesBefore, leavesWhile, leavesAfter bool
}

// Guards against streams that hold events of two versions, and against streams that don't go on at their version, after
// all daemons are lost at once: which stream had which version is known to them only.
func TestStreamsOutliveTheLossOfAllDaemons(t *testing.T) {
	for name, c := range map[string]lossOfAll{
		"one version":           {versions: []canary.Version{"v1"}},
		"two versions":          {versions: []canary.Version{"v1", "v1.1"}},
		"old one leaves before": {versions: []canary.Version{"v1", "v1.1"}, leaves: "v1", leavesBefore: true},
		"old one leaves while":  {versions: []canary.Version{"v1", "v1.1"}, leaves: "v1", leavesWhile: true},
		"old one leaves after":  {versions: []canary.Version{"v1", "v1.1"}, leaves: "v1", leavesAfter: true},
	} {
		for _, fleet := range []settledFleet{{5, relays.DirectFleet}, {40, relays.AllWatchFleet}} {
			t.Run(fmt.Sprintf("%s/%d daemons", name, fleet.daemons), func(t *testing.T) {
				t.Parallel()
				withSettledFleet(t, fleet.daemons, fleet.direct, config(1), func(w *testFleet) { checkStreamsAfterLoss(w, c) })
			})
		}
	}
}

func checkStreamsAfterLoss(w *testFleet, c lossOfAll) {
	const (
		each = 3
		// atOnce is the number of streams that begin together, so that some begin at each version.
		atOnce = 12
		// begunOver is the time before the loss in which the streams begin, down how long no daemon runs.
		begunOver, down = 8 * time.Second, 2 * time.Second
	)
	w.addVersions(each, nil, c.versions...)
	time.Sleep(2 * time.Second)
	callers := make([]*streamCaller, callerStreams)
	var reading sync.WaitGroup
	for i := range callers {
		callers[i] = &streamCaller{}
		reading.Go(func() { w.readStream(w.daemons[i/atOnce%len(w.daemons)], callers[i], 3) })
		if i%atOnce == atOnce-1 {
			time.Sleep(begunOver * atOnce / callerStreams)
		}
	}
	reading.Wait()
	w.leaveIf(c.leavesBefore, c.leaves, each)
	w.loseAll(func() {
		w.leaveIf(c.leavesWhile, c.leaves, each)
		time.Sleep(down)
	})
	w.leaveIf(c.leavesAfter, c.leaves, each)
	var stay []*streamCaller
	for _, caller := range callers {
		if len(caller.versions) > 0 && (c.leaves == "" || caller.versions[0] != c.leaves) {
			stay = append(stay, caller)
			continue
		}
		w.readStream(w.daemons[0], caller, neverLeave)
		w.True(!caller.isMixed())
	}
	w.checkTakenUp(w.takeUpAtOnce(stay, w.daemons), len(stay))
}

// Guards against streams of a version that came just before the loss of all daemons and is gone when they are back: they
// must not go on at the only version that is left, which nobody has seen beside another.
func TestStreamsOfAVersionThatCameBeforeTheLoss(t *testing.T) {
	const each = 3
	for _, fleet := range []settledFleet{{5, relays.DirectFleet}, {40, relays.AllWatchFleet}} {
		for after := 100 * time.Millisecond; after <= 1700*time.Millisecond; after += 400 * time.Millisecond {
			// The saver can't write, or it can.
			readOnly := int(after/(400*time.Millisecond))%2 == 1
			t.Run(fmt.Sprintf("%d daemons/%v/read-only %v", fleet.daemons, after, readOnly), func(t *testing.T) {
				t.Parallel()
				withSettledFleet(t, fleet.daemons, fleet.direct, config(1), func(w *testFleet) {
					w.addVersions(each, nil, "v1")
					time.Sleep(2 * time.Second)
					for _, d := range w.daemons {
						d.store.setReadOnly(readOnly)
					}
					w.addVersions(each, nil, "v1.1")
					var callers []*streamCaller
					var reading sync.WaitGroup
					for began := w.steady(); w.steady()-began < after; time.Sleep(50 * time.Millisecond) {
						for range 4 {
							c := &streamCaller{}
							d := w.daemons[len(callers)%len(w.daemons)]
							callers = append(callers, c)
							reading.Go(func() { w.readStream(d, c, 1) })
						}
					}
					reading.Wait()
					w.loseAll(func() { w.leaveIf(true, "v1.1", each) })
					o := w.takeUpAtOnce(callers, w.daemons)
					t.Logf("%+v", o)
					w.Equal(o.mixed, 0)
				})
			})
		}
	}
}

// Guards against refusing the streams that began while the store took no writes, or just after that, when all daemons are
// lost soon after that.
func TestStreamsBegunWithoutWritesOutliveTheLossOfAll(t *testing.T) {
	const each, readOnly, after = 3, 10 * time.Second, time.Second
	withSettledFleet(t, 5, relays.DirectFleet, config(1), func(w *testFleet) {
		w.addVersions(each, nil, "v1", "v1.1")
		time.Sleep(2 * time.Second)
		for _, d := range w.daemons {
			d.store.setReadOnly(true)
		}
		var callers []*streamCaller
		var reading sync.WaitGroup
		for began := w.steady(); w.steady()-began < readOnly+after; time.Sleep(50 * time.Millisecond) {
			c := &streamCaller{}
			d := w.daemons[len(callers)%len(w.daemons)]
			callers = append(callers, c)
			reading.Go(func() { w.readStream(d, c, 1) })
			if w.steady()-began > readOnly {
				for _, d := range w.daemons {
					d.store.setReadOnly(false)
				}
			}
		}
		reading.Wait()
		w.loseAll(func() {})
		o := w.takeUpAtOnce(callers, w.daemons)
		w.checkTakenUp(o, len(callers))
	})
}

// Guards against a daemon that was cut off from everything, or suspended, while a version came and went, and takes the
// only one that it has seen for that of all streams, once those who know better are lost.
func TestDaemonThatMissedAVersionDoesNotGuess(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersions(2, nil, "v1")
		time.Sleep(2 * time.Second)
		cut := w.daemons[0]
		cut.store.setFaults(true, false)
		w.network.isolate(cut.address, true)
		time.Sleep(2 * time.Second)
		w.addVersions(2, nil, "v1.1")
		time.Sleep(3 * time.Second)
		callers := w.beginStreams(40, w.daemons[1])
		w.leaveIf(true, "v1.1", 2)
		for _, d := range w.daemons[1:] {
			w.isolateAndKill(d)
		}
		cut.store.setFaults(false, false)
		w.network.isolate(cut.address, false)
		for len(callers) > 0 {
			time.Sleep(100 * time.Millisecond)
			for _, c := range callers[:4] {
				w.readStream(cut, c, neverLeave)
				w.True(!c.isMixed())
			}
			callers = callers[4:]
		}
	})
}

// Guards against runners of a new version that get no streams: the version can't be saved while the store takes no
// writes, and the runners of the others must not bear all of the load for long.
func TestNewVersionIsUsedThoughItIsNotSaved(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addVersions(1, nil, "v1")
		time.Sleep(2 * time.Second)
		for _, d := range w.daemons {
			d.store.setReadOnly(true)
		}
		w.addVersions(3, nil, "v1.1")
		begun := map[canary.Version]int{}
		for range 10 {
			for _, c := range w.beginStreams(12, w.daemons[0]) {
				if len(c.versions) > 0 {
					begun[c.versions[0]]++
				}
			}
		}
		t.Logf("%v", begun)
		w.True(begun["v1.1"] > 0)
		w.Equal(begun["v1"]+begun["v1.1"], 120)
	})
}

// leaveIf lets all runners of a version leave and their entries go.
func (w *testFleet) leaveIf(leaves bool, version canary.Version, runners int) {
	if !leaves {
		return
	}
	for i := range runners {
		id := fmt.Sprintf("%s-%d", version, i)
		w.registerVersion(id, version, view.Leaving)
		entry, err := w.store.Get(w.t.Context(), runnerPrefix+id)
		w.NoErr(err)
		w.NoErr(w.store.Delete(w.t.Context(), runnerPrefix+id, entry.Revision))
		w.runners.fall(id, true)
	}
	time.Sleep(100 * time.Millisecond)
}

// Guards against streams that are refused after the loss of all daemons because they weren't saved at once: another daemon wrote
// just before the saver did, or the saver waited for calls to the cloud.
func TestStreamsAreSavedAtOnce(t *testing.T) {
	const phases = 8
	for name, trouble := range map[string]func(w *testFleet) (stop func()){
		"another daemon writes": (*testFleet).rewriteSavedStreams,
		"cloud hangs":           (*testFleet).hangCloud,
	} {
		for phase := range phases {
			for _, p := range []savingPromise{{48, 300 * time.Millisecond, maxUnknown - 1}, {24, 600 * time.Millisecond, 0}} {
				t.Run(fmt.Sprint(name, "/", p.within, "/", phase), func(t *testing.T) {
					t.Parallel()
					withSettledFleet(t, 5, relays.DirectFleet, config(1), func(w *testFleet) {
						w.addVersions(3, nil, "v1", "v1.1")
						time.Sleep(10 * time.Second)
						checkSavedAtOnce(w, trouble, time.Duration(phase)*100*time.Millisecond, p)
					})
				})
			}
		}
	}
}

// savingPromise says how many streams at most are unknown if all daemons are lost some time after the streams began together.
type savingPromise struct {
	streams int
	within  time.Duration
	unknown int
}

// checkSavedAtOnce checks the promise for streams that are begun some time after the trouble has.
func checkSavedAtOnce(w *testFleet, trouble func(w *testFleet) (stop func()), after time.Duration, p savingPromise) {
	stop := trouble(w)
	w.beginBriefly(p.streams, w.daemons[0])
	time.Sleep(5*time.Second + after)
	callers := w.beginBriefly(p.streams, w.daemons[0])
	time.Sleep(p.within)
	stop()
	w.loseAll(func() {})
	o := w.takeUpAtOnce(callers, w.daemons)
	w.t.Logf("%+v", o)
	w.True(p.streams-o.wentOn <= p.unknown)
}

// loseAll ends all daemons at the same moment, and starts them after whileDown. It returns once they are in touch.
func (w *testFleet) loseAll(whileDown func()) {
	for _, d := range w.daemons {
		w.isolateAndKill(d)
	}
	whileDown()
	for i := range w.daemons {
		w.restart(i)
	}
	time.Sleep(2 * time.Second)
}

// Guards against streams that are refused after the loss of all daemons because the saver to which their records were sent lost
// its lease before it could write them.
func TestRecordsOfAFormerSaverAreSaved(t *testing.T) {
	const streams, away = 48, 4 * time.Second
	withSettledFleet(t, 5, relays.DirectFleet, config(1), func(w *testFleet) {
		w.addVersions(3, nil, "v1", "v1.1")
		// The first daemon takes the lease whenever it is free, so another one has it only if the first was away.
		w.isolateAndKill(w.daemons[0])
		time.Sleep(6 * time.Second)
		w.restart(0)
		time.Sleep(4 * time.Second)
		for _, d := range w.daemons {
			d.store.setFaults(true, false)
		}
		time.Sleep(time.Second)
		callers := w.beginBriefly(streams, w.daemons[1])
		time.Sleep(away)
		for _, d := range w.daemons {
			d.store.setFaults(false, false)
		}
		time.Sleep(time.Second)
		w.loseAll(func() {})
		o := w.takeUpAtOnce(callers, w.daemons)
		t.Logf("%+v", o)
		w.True(streams-o.wentOn < maxUnknown)
	})
}

// hangCloud lets no call to the cloud be answered until stop is called.
func (w *testFleet) hangCloud() (stop func()) {
	w.cloud.setHangs(true)
	return func() { w.cloud.setHangs(false) }
}

// rewriteSavedStreams writes all that is saved again and again, as another saver does, until stop is called: a key that has
// changed since it was read isn't written, so that no record is lost by it.
func (w *testFleet) rewriteSavedStreams() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var writing sync.WaitGroup
	writing.Go(func() {
		for pause.For(ctx, 100*time.Millisecond) {
			entries, err := w.store.List(context.Background(), "streams/", "", 100)
			w.NoErr(err)
			for _, entry := range entries {
				_, err := w.store.CompareAndSwap(context.Background(), entry.Key, entry.Revision, entry.Value, 0)
				var conflict *kv.ConflictError
				w.True(err == nil || errors.As(err, &conflict))
			}
		}
	})
	return func() {
		cancel()
		writing.Wait()
	}
}
