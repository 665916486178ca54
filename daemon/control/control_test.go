package control_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/control"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// runWithFleet runs a test with five daemons in a synctest bubble, that is, in
// virtual time.
func runWithFleet(t *testing.T, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.waitUntil(5*time.Second, "all daemons see each other as live", f.allLive)
		test(is.New(t), f)
	})
}

func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		m, generation := f.daemons[0].Current()
		is.True(m == nil)
		is.Equal(int(generation), 0)
		begin := time.Now()
		outcome, err := f.apply(0, 4, "first")
		is.NoErr(err)
		is.True(outcome.InForceEverywhere)
		is.Equal(len(outcome.Domains), 4)
		is.True(time.Since(begin) < time.Second)
		f.waitUntil(time.Second, "in force at every daemon", f.inForce(1))
	})
}

// measurePropagation brings one configuration into force, injects faults at the
// moment the next one is accepted, and returns how long that one takes to reach
// the last daemon. The one-way delay is 20 ms, as between regions.
func measurePropagation(t *testing.T, injectFaults func(f *fleet)) (took time.Duration) {
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.network.update(func(n *network) { n.delay = 20 * time.Millisecond })
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		f.waitUntil(time.Second, "first in force", f.inForce(1))
		var begin time.Time
		f.network.update(func(*network) {
			f.afterSwap = func() {
				begin = time.Now()
				injectFaults(f)
			}
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, err := f.apply(3, 5, "second")
			is.NoErr(err)
		}()
		f.waitUntil(12*time.Second, "second in force at every daemon", f.inForce(2))
		took = time.Since(begin)
		<-done
	})
	return took
}

// The key-value service goes down, becomes slow or stops answering watches at
// the moment a configuration is accepted. Daemons must learn of it from their
// peers; otherwise other failure domains would use the old configuration until
// the service recovers.
func TestTimeFromAcceptanceToInForce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	times := map[string]time.Duration{}
	for name, faults := range map[string]kvserver.Faults{
		"up": {}, "down": {Outage: true}, "slow": {DelayMillis: 1500}, "silent": {SilentWatches: true},
	} {
		times[name] = measurePropagation(t, func(f *fleet) { f.store.SetFaults(faults) })
		t.Logf("service %s: in force at the last daemon %s after acceptance", name, times[name])
	}
	is.True(times["up"] < time.Second)
	is.True(times["down"] < 3*time.Second)
	is.True(times["slow"] < 3*time.Second)
}

// The response to the swap that accepts a configuration is lost, and the
// service goes down at the same time. The error must say that the outcome is
// unknown, and after the outage a repeated submission must find the
// configuration accepted exactly once.
func TestLostSwapResponseFollowedByOutage(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.store.SetFaults(kvserver.Faults{LoseAnswers: 1, LosePrefix: "config/head"})
		f.network.update(func(*network) {
			f.afterSwap = func() { f.store.SetFaults(kvserver.Faults{Outage: true}) }
		})
		_, err := f.apply(0, 4, "first")
		var unknown *config.OutcomeUnknownError
		is.True(errors.As(err, &unknown))
		f.store.SetFaults(kvserver.Faults{})
		f.waitUntil(15*time.Second, "in force at every daemon", f.inForce(1))
		outcome, err := f.apply(2, 4, "first")
		is.NoErr(err)
		is.Equal(int(outcome.Accepted.Generation), 1)
	})
}

// The daemon that handles an apply crashes at the moment of acceptance while
// all watches are stalled, so no daemon is told of the accepted configuration.
// It must still come into force everywhere.
func TestAcceptingDaemonCrashesAndWatchesAreSilent(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.store.SetFaults(kvserver.Faults{SilentWatches: true})
		f.network.update(func(*network) {
			f.afterSwap = func() { f.daemons[3].cancel() }
		})
		ctx, cancel := context.WithCancel(f.t.Context())
		f.network.update(func(n *network) {
			for j := range 5 {
				n.cut[[2]string{address(3), address(j)}] = true
				n.cut[[2]string{address(j), address(3)}] = true
			}
		})
		_, _ = f.daemons[3].Apply(ctx, control.Submission{Manifest: testManifest(4), Author: "ana", ID: "first", Expected: -1})
		cancel()
		f.network.update(func(n *network) { n.cut = map[[2]string]bool{} })
		f.restart(3)
		took := f.waitUntil(30*time.Second, "in force at every daemon", f.inForce(1))
		f.t.Logf("in force at the last daemon %s after acceptance", took)
	})
}

// Two failure domains are partitioned from the other two while a configuration
// is applied on one side, and the key-value service goes down right after. Once
// the partition heals, the other side must catch up without the service.
func TestPartitionedDomainsCatchUpDuringOutage(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		cut := func(on bool) {
			f.network.update(func(n *network) {
				for _, a := range []int{0, 1, 4} {
					for _, b := range []int{2, 3} {
						n.cut[[2]string{address(a), address(b)}] = on
						n.cut[[2]string{address(b), address(a)}] = on
					}
				}
			})
		}
		cut(true)
		f.network.update(func(*network) {
			f.afterSwap = func() { f.store.SetFaults(kvserver.Faults{Outage: true}) }
		})
		outcome, err := f.apply(0, 4, "first")
		is.NoErr(err)
		is.True(!outcome.InForceEverywhere)
		lacking := 0
		for _, d := range outcome.Domains {
			if d.Generation < 1 {
				lacking++
			}
		}
		is.Equal(lacking, 2)
		time.Sleep(20 * time.Second)
		cut(false)
		f.waitUntil(5*time.Second, "in force at every daemon", f.inForce(1))
		f.waitUntil(5*time.Second, "all live again", f.allLive)
	})
}

// A daemon restarts while the key-value service is down. It must fetch the
// configuration from its peers; otherwise it would refuse its callers for the
// whole outage.
func TestRestartDuringOutageFetchesConfigurationFromPeers(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		f.waitUntil(time.Second, "first in force", f.inForce(1))
		f.store.SetFaults(kvserver.Faults{Outage: true})
		f.crash(4)
		f.restart(4)
		m, _ := f.daemons[4].Current()
		is.True(m == nil)
		f.waitUntil(3*time.Second, "in force at the restarted daemon", f.inForce(1))
	})
}

// The key-value service is restored from an old backup. Daemons that followed
// it would revert to old limits and credentials, and the next change would get
// a generation that is already in force and be ignored.
func TestRestoredStoreDoesNotRevertConfiguration(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		old, err := f.store.Get(t.Context(), "config/head")
		is.NoErr(err)
		_, err = f.apply(1, 5, "second")
		is.NoErr(err)
		f.waitUntil(time.Second, "second in force", f.inForce(2))
		now, err := f.store.Get(t.Context(), "config/head")
		is.NoErr(err)
		_, err = f.store.CompareAndSwap(t.Context(), "config/head", now.Revision, old.Value, 0)
		is.NoErr(err)
		time.Sleep(time.Minute)
		f.waitUntil(0, "second still in force", f.inForce(2))
		outcome, err := f.apply(2, 6, "third")
		is.NoErr(err)
		is.Equal(int(outcome.Accepted.Generation), 3)
		f.waitUntil(time.Second, "third in force", f.inForce(3))
	})
}

// Guards against a configuration that was accepted and in force, and that daemons which start don't find any more:
// the key-value service has come back from a copy without it.
func TestAcceptedConfigurationOutlivesReturnFromCopy(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		copied := f.store.Copy()
		_, err = f.apply(1, 5, "second")
		is.NoErr(err)
		f.waitUntil(time.Second, "second in force", f.inForce(2))
		f.store.Restore(copied)
		time.Sleep(2 * time.Second)
		for i := range f.daemons {
			f.crash(i)
		}
		for i := range f.daemons {
			f.restart(i)
		}
		f.waitUntil(5*time.Second, "second in force after restarts", f.inForce(2))
		outcome, err := f.apply(2, 6, "third")
		is.NoErr(err)
		is.True(outcome.InForceEverywhere)
		is.Equal(int(outcome.Accepted.Generation), 3)
	})
}

// All watches stall at once: their connections stay open, but no event arrives.
// A change must reach all daemons without them.
func TestStalledWatches(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.store.SetFaults(kvserver.Faults{SilentWatches: true})
		outcome, err := f.apply(2, 4, "first")
		is.NoErr(err)
		is.True(outcome.InForceEverywhere)
		f.waitUntil(time.Second, "in force at every daemon", f.inForce(1))
	})
}

// One daemon learns that a runner's VM is leaving. All daemons must learn of
// it; otherwise calls that they send to that runner would be cut off when the
// VM stops.
func TestRunnerNoticeReachesAllDaemons(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.cloud.mu.Lock()
		f.cloud.vms = []cloudapi.VM{{ID: "vm-1", Address: "10.1.0.1:9000", Service: "casos", State: cloudapi.VMLive}}
		f.cloud.mu.Unlock()
		state := func(want view.State) func() bool {
			return func() bool {
				for _, d := range f.daemons {
					runners := d.Runners("casos")
					if len(runners) != 1 || runners[0].State != want {
						return false
					}
				}
				return true
			}
		}
		f.waitUntil(5*time.Second, "runner listed", state(view.Live))
		f.daemons[1].NoteRunnerLeaving("10.1.0.1:9000", 20*time.Second)
		took := f.waitUntil(3*time.Second, "leaving everywhere", state(view.Leaving))
		f.t.Logf("leaving everywhere %s after the first report", took)
	})
}

// An entry VM gets a termination notice. All daemons, including the one on that
// VM, must learn of it; otherwise callers sent there would lose requests that
// they have just begun.
func TestEntryVMNoticeReachesAllDaemons(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.cloud.addNotice("vm-entry-2", "10.0.0.3", 30*time.Second)
		left := func() bool {
			for _, d := range f.daemons {
				if stateOf(d, 2, f) != view.Leaving {
					return false
				}
			}
			return f.daemons[2].Self().State == view.Leaving
		}
		took := f.waitUntil(3*time.Second, "leaving everywhere", left)
		f.t.Logf("leaving everywhere %s after the notice", took)
	})
}

func stateOf(at *daemon, i int, f *fleet) view.State {
	incarnation := f.daemons[i].Self().Incarnation
	for _, d := range at.Daemons() {
		if d.Incarnation == incarnation {
			return d.State
		}
	}
	return view.Gone
}

// A daemon pauses for ten seconds and resumes. The others mark it suspect, but
// must mark it live again; otherwise a healthy entry VM would never be used
// again.
func TestPausedDaemonBecomesLiveAgain(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.network.update(func(n *network) { n.paused[address(4)] = true })
		f.waitUntil(10*time.Second, "suspect", func() bool { return stateOf(f.daemons[0], 4, f) == view.Suspect })
		f.network.update(func(n *network) { n.paused[address(4)] = false })
		f.waitUntil(5*time.Second, "live again everywhere", f.allLive)
	})
}

// An entry VM crashes and is replaced at the same address. The previous
// incarnation must be removed from the directory; otherwise other daemons would
// keep waiting for work that only it can do.
func TestReplacedEntryVMRemovesPreviousIncarnation(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.crash(3)
		f.restart(3)
		f.waitUntil(10*time.Second, "only the new incarnation", func() bool {
			for _, d := range f.daemons {
				if len(d.Daemons()) != 5 {
					return false
				}
			}
			return f.allLive()
		})
	})
}

// Two daemons cannot reach each other, but both reach the rest. Neither must be
// taken out of service because the other suspects it.
func TestPartitionedPairStaysLive(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.network.update(func(n *network) {
			n.cut[[2]string{address(0), address(1)}] = true
			n.cut[[2]string{address(1), address(0)}] = true
		})
		live := 0
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if stateOf(f.daemons[2], 1, f) == view.Live {
				live++
			}
		}
		is.True(live > 500)
	})
}

// Without changes, daemons must exchange heartbeats only. Changes that daemons
// keep sending back and forth would fill the network.
func TestIdleFleetSendsOnlyHeartbeats(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		var calls, bytes int64
		f.network.update(func(n *network) { calls, bytes = n.calls, n.bytes })
		time.Sleep(time.Minute)
		f.network.update(func(n *network) { calls, bytes = n.calls-calls, n.bytes-bytes })
		f.t.Logf("%.1f calls/s, %.0f body bytes a call", float64(calls)/60, float64(bytes)/float64(calls))
		is.True(calls < 60*5*5) // five daemons with four links each, one exchange a second
	})
}

// Sections that no configuration in the history references must be deleted;
// otherwise they would fill the key-value service over the years.
func TestOldSectionsAreCollected(t *testing.T) {
	t.Parallel()
	checkCollection(t, (*fleet).acceptLastTwo)
}

// The change that makes a collection due is accepted by a daemon whose Run has
// not begun. The collection used to be dropped then, and the unreferenced
// sections stayed for 64 more changes.
func TestCollectionDueBeforeRun(t *testing.T) {
	t.Parallel()
	checkCollection(t, func(f *fleet) {
		f.crash(0)
		f.reconnect(0)
		f.daemons[0] = f.prepare(0)
		f.acceptLastTwo()
		f.run(f.daemons[0])
	})
}

// The key-value service goes down just after the change that makes a collection
// due. The collection used to be abandoned without a retry, and the
// unreferenced sections stayed for 64 more changes.
func TestCollectionIsRetriedAfterOutage(t *testing.T) {
	t.Parallel()
	checkCollection(t, func(f *fleet) {
		f.acceptChange(62)
		f.network.update(func(*network) {
			f.afterSwap = func() { f.store.SetFaults(kvserver.Faults{Outage: true}) }
		})
		f.acceptChange(63)
		time.Sleep(time.Minute)
		f.store.SetFaults(kvserver.Faults{})
	})
}

// acceptChange applies a configuration that differs from all others in one
// section.
func (f *fleet) acceptChange(n int) {
	if _, err := f.apply(0, n+1, fmt.Sprint(n)); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) acceptLastTwo() {
	f.acceptChange(62)
	f.acceptChange(63)
}

// checkCollection applies 62 changes, advances the clock until their sections
// are old enough to delete, runs lastTwo, which applies the last two changes,
// and checks a minute later that the unreferenced sections are deleted.
func checkCollection(t *testing.T, lastTwo func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetOf(t, 1)
		defer f.stop()
		for n := range 62 {
			f.acceptChange(n)
		}
		f.crash(0)
		time.Sleep(25 * time.Hour)
		f.restart(0)
		lastTwo(f)
		time.Sleep(time.Minute)
		sections, err := f.store.List(t.Context(), "config/sections/", "", 1000)
		is.NoErr(err)
		// The 33 configurations in the history differ in one section and share
		// the four others.
		is.Equal(len(sections), 33+4)
		m, err := f.daemons[0].Content(t.Context(), 40)
		is.NoErr(err)
		is.Equal(m.Services[0].Runners, 40)
		_, err = f.daemons[0].Content(t.Context(), 20)
		var gone *control.UnknownGenerationError
		is.True(errors.As(err, &gone))
	})
}

// Apply reported a configuration as in force everywhere, but also one daemon
// behind in every other failure domain: a third daemon had reported the
// domain's generation before the daemon that has it reported it directly.
func TestApplyDoesNotReportCurrentDaemonAsBehind(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.network.update(func(n *network) { n.delay = 20 * time.Millisecond })
		for n := range 8 {
			outcome, err := f.apply(n%5, n+1, fmt.Sprint(n))
			is.NoErr(err)
			is.True(outcome.InForceEverywhere)
			for _, d := range outcome.Domains {
				is.Equal(d.DaemonsBehind, 0)
				is.Equal(d.DaemonsUnheard, 0)
			}
			time.Sleep(time.Second)
		}
	})
}

// One of two daemons of a failure domain is paused during a change. Apply must
// count it as unheard: neither as having the generation nor as having reported
// a lower one.
func TestApplyCountsPausedDaemonAsUnheard(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.network.update(func(n *network) { n.paused[address(4)] = true })
		outcome, err := f.apply(1, 4, "first")
		is.NoErr(err)
		is.True(outcome.InForceEverywhere)
		for _, d := range outcome.Domains {
			is.Equal(d.DaemonsBehind, 0)
			is.Equal(d.DaemonsUnheard == 1, d.FailureDomain == domains[0])
		}
	})
}

// The status used to show that all daemons were last heard minutes ago, because
// the member list was cached since the last change.
func TestMembersNowReturnsCurrentLastHeard(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		time.Sleep(5 * time.Minute)
		for _, m := range f.daemons[0].MembersNow() {
			is.True(time.Since(m.LastHeard) < 3*time.Second)
		}
	})
}
