package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
)

// incarnationOf returns the ID of a runner's nth start.
func incarnationOf(name string, starts int) ident.RunnerID {
	return ident.RunnerID(fmt.Sprintf("%s~%d", name, starts))
}

// registerIncarnation writes the entry of a runner's nth start.
func (w *testFleet) registerIncarnation(name string, starts int, version canary.Version, state view.State) {
	w.put(runnerPrefix+name, edge.Runner{Runner: view.Runner{
		ID: incarnationOf(name, starts), Address: name, Service: "app", FailureDomain: "north", State: state,
	}, Slots: 64, Version: version, SaysIncarnation: true})
}

// startIncarnation starts a runner for the nth time, with a version whose events name it. Its entry is another matter.
func (w *testFleet) startIncarnation(name string, starts int, version canary.Version) {
	w.runners.add(name).setScript(versionedScript(version, nil))
	w.runners.setIncarnation(name, incarnationOf(name, starts))
}

// addIncarnations starts runners of a version and writes their entries.
func (w *testFleet) addIncarnations(version canary.Version, names ...string) {
	for _, name := range names {
		w.startIncarnation(name, 1, version)
		w.registerIncarnation(name, 1, version, view.Live)
	}
}

// Guards against streams that a restarted runner begins and that go on at the version that its former entry names.
func TestStreamBegunAtARestartedRunnerStaysAtItsVersion(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addIncarnations("v1", "r1", "r2", "r3")
		time.Sleep(500 * time.Millisecond)
		w.startIncarnation("r1", 2, "v1.1")
		var callers []*streamCaller
		for _, d := range w.daemons {
			callers = append(callers, w.beginStreams(24, d)...)
		}
		w.checkTakenUp(w.takeUp(callers, w.daemons), len(callers))
	})
}

// Guards against streams that go on at a runner which has started again with another version while its former entry
// is still there.
func TestStreamDoesNotGoOnAtARunnerWithAFormerEntry(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addIncarnations("v1", "r1", "r2", "r3")
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(callerStreams, w.daemons[0])
		w.startIncarnation("r1", 2, "v1.1")
		w.checkTakenUp(w.takeUp(callers, w.daemons), len(callers))
	})
}

// Guards against the same at daemons that start after the runner has, and find its former entry.
func TestStartedDaemonDoesNotBelieveAFormerEntry(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addIncarnations("v1", "r1", "r2", "r3")
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(callerStreams, w.daemons[4])
		for _, d := range w.daemons[:4] {
			d.kill()
		}
		w.startIncarnation("r1", 2, "v1.1")
		for i := range 4 {
			w.restart(i)
		}
		time.Sleep(2 * time.Second)
		callers = append(callers, w.beginStreams(callerStreams, w.daemons[0])...)
		w.checkTakenUp(w.takeUp(callers, w.daemons[:4]), len(callers))
	})
}

// Guards against a restarted runner that is never used again, and against its streams being refused once its entry is
// there.
func TestRestartedRunnerIsUsedOnceItsEntryIsRead(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addIncarnations("v1", "r1")
		time.Sleep(500 * time.Millisecond)
		w.startIncarnation("r1", 2, "v1.1")
		for _, d := range w.daemons {
			w.beginStreams(4, d)
		}
		w.registerIncarnation("r1", 2, "v1.1", view.Live)
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(12, w.daemons[0])
		o := w.takeUp(callers, w.daemons)
		t.Logf("%+v", o)
		w.Equal(o, streamOutcome{begun: 12, takenUp: 12, wentOn: 12, whole: 12})
	})
}

// Guards against refusing new streams because the versions of all runners are unknown, and against streams that then go on
// anywhere.
func TestStreamsBeginAtRunnersOfUnknownVersion(t *testing.T) {
	for name, says := range map[string]func(runner string) ident.RunnerID{
		"all restarted": func(runner string) ident.RunnerID { return incarnationOf(runner, 2) },
		"none answers":  func(string) ident.RunnerID { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, config(1), func(w *testFleet) {
				names := []string{"r1", "r2", "r3"}
				w.addIncarnations("v1", names...)
				time.Sleep(500 * time.Millisecond)
				w.startIncarnation("r1", 2, "v1.1")
				for _, name := range names {
					w.runners.setIncarnation(name, says(name))
				}
				for range 3 {
					callers := w.beginStreams(24, w.daemons[0])
					time.Sleep(200 * time.Millisecond)
					o := w.takeUpAtOnce(callers, w.daemons)
					t.Logf("%+v", o)
					w.Equal(o.begun, 24)
					w.Equal(o.mixed, 0)
				}
			})
		})
	}
}

// Guards against streams of runners that don't say which incarnation they are: they must go on, but not at one whose end this
// daemon has seen.
func TestRunnersThatDoNotSayTheirIncarnation(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		for _, name := range []string{"r1", "r2", "r3"} {
			w.runners.add(name).setScript(versionedScript("v1", nil))
			w.registerIncarnation(name, 1, "v1", view.Live)
		}
		time.Sleep(500 * time.Millisecond)
		o := w.takeUpAtOnce(w.beginStreams(24, w.daemons[0]), w.daemons)
		w.Equal(o, streamOutcome{begun: 24, takenUp: 24, wentOn: 24, whole: 24})
		callers := w.beginStreams(24, w.daemons[0])
		w.runners.fall("r1", true)
		for _, d := range w.daemons {
			w.beginStreams(24, d)
		}
		w.runners.add("r1").setScript(versionedScript("v1.1", nil))
		w.runners.fall("r1", false)
		w.checkTakenUp(w.takeUpAtOnce(callers, w.daemons), len(callers))
	})
}

// Guards against a stream that breaks off and goes on, within one answer, at a runner which has started again with another
// version.
func TestBrokenStreamDoesNotGoOnAtARestartedRunner(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		w.addIncarnations("v1", "r1", "r2")
		for _, name := range []string{"r1", "r2"} {
			w.runners.add(name).setScript(versionedScript("v1", func() bool { return name == "r2" }))
		}
		time.Sleep(500 * time.Millisecond)
		callers := make([]*streamCaller, 24)
		var reading sync.WaitGroup
		for i := range callers {
			callers[i] = &streamCaller{}
			reading.Go(func() { w.readStream(w.daemons[i%2], callers[i], neverLeave) })
		}
		time.Sleep(2 * versionedEventInterval)
		w.startIncarnation("r1", 2, "v1.1")
		reading.Wait()
		var o streamOutcome
		for _, c := range callers {
			o.add(c, 0, false)
		}
		t.Logf("%+v", o)
		w.Equal(o.mixed, 0)
		w.Equal(o.whole, len(callers))
	})
}
