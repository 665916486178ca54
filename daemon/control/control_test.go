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

// runWithFleet runs a test of a whole fleet in virtual time.
func runWithFleet(t *testing.T, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.waitUntil(5*time.Second, "all know each other", f.allLive)
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

// measurePropagation brings one configuration into force, then changes the network or
// the service in the moment in which the next is accepted, and returns how long
// that one takes to the last daemon. Links have 20 ms one way, as if between
// regions.
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

// An operator's apply succeeds, and in the same moment the key-value service goes
// down, slow or silent. The users of the other failure domains would be served
// by the old settings until it is well again, if only it could tell of new ones.
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

// The answer to the accepting swap is lost and the service goes down with it. The
// operator must not be told that nothing happened, and once the service is back
// the same call has to find the change accepted, once.
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

// The daemon that took an operator's call crashes in the moment of acceptance, and
// all watches are silent. The change is accepted and nobody is told of it.
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

// Two failure domains lose sight of the other two while an operator changes the
// settings on one side and the service is down right after. The other side has
// to catch up when the cut is over, without the service.
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

// A daemon restarts while the key-value service is down. Its callers would be
// refused for the whole outage although the daemons around it have the
// configuration.
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
		f.waitUntil(3*time.Second, "in force at the restarted one", f.inForce(1))
	})
}

// The key-value service comes back from an outage with the state of yesterday.
// Daemons that obeyed it would fall back to old limits and credentials, and the
// next change would get a generation that is in force already and be ignored.
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

// All watches go silent at once: the connections stay open and nothing comes.
// One daemon's change would never reach the others if they relied on them.
func TestSilentWatches(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.store.SetFaults(kvserver.Faults{SilentWatches: true})
		outcome, err := f.apply(2, 4, "first")
		is.NoErr(err)
		is.True(outcome.InForceEverywhere)
		f.waitUntil(time.Second, "in force at every daemon", f.inForce(1))
	})
}

// The cloud's notice for a runner's VM reaches one daemon. Calls that others
// send there would be cut off when it goes.
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
		f.daemons[1].NoteLeaving("10.1.0.1:9000", 20*time.Second)
		took := f.waitUntil(3*time.Second, "leaving everywhere", state(view.Leaving))
		f.t.Logf("leaving everywhere %s after the first word", took)
	})
}

// An entry VM gets its notice. Callers that are still sent there would lose
// what they have just begun; the daemon itself has to hear of it, too.
func TestEntryVMNoticeReachesAllDaemons(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.cloud.notice("vm-entry-2", "10.0.0.3", 30*time.Second)
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

// A daemon is paused for ten seconds and goes on. The others suspect it; if that
// were final, a healthy entry VM would never be used again.
func TestPausedDaemonBecomesLiveAgain(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		f.network.update(func(n *network) { n.paused[address(4)] = true })
		f.waitUntil(10*time.Second, "suspect", func() bool { return stateOf(f.daemons[0], 4, f) == view.Suspect })
		f.network.update(func(n *network) { n.paused[address(4)] = false })
		f.waitUntil(5*time.Second, "live again everywhere", f.allLive)
	})
}

// An entry VM crashes and is replaced at the same address. As long as the former
// incarnation counts as a daemon, work that only it can do is waited for.
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

// Two daemons cannot reach each other while both reach the rest. Each would
// spread its suspicion and take the other out of service for everybody.
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

// The control traffic of daemons that have no news must stay what the heartbeats
// cost: news that is sent back and forth for ever would fill the network.
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
		is.True(calls < 60*5*5) // five daemons with four links each, once a second
	})
}

// Operators change the settings for years. Sections that no remembered
// configuration names would fill the key-value service.
func TestOldSectionsAreCollected(t *testing.T) {
	t.Parallel()
	checkCollection(t, (*fleet).acceptLastTwo)
}

// The change that a collection is due with is accepted by a daemon that has just
// started and whose Run has not begun. The collection was dropped then, and the
// old sections stayed until 64 changes later.
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

// The key-value service goes down just after the change that a collection is due
// with. The collection was given up then, and nobody tried it again when the
// service came back: the old sections stayed until 64 changes later.
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

// acceptChange accepts a configuration that differs from all others in one section.
func (f *fleet) acceptChange(n int) {
	if _, err := f.apply(0, n+1, fmt.Sprint(n)); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) acceptLastTwo() {
	f.acceptChange(62)
	f.acceptChange(63)
}

// checkCollection makes 62 changes, lets them grow old, and checks that the old
// sections go a minute after the last two, which are up to the caller.
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
		// 33 remembered configurations differ in one section, the four others are
		// shared.
		is.Equal(len(sections), 33+4)
		m, err := f.daemons[0].Content(t.Context(), 40)
		is.NoErr(err)
		is.Equal(m.Services[0].Runners, 40)
		_, err = f.daemons[0].Content(t.Context(), 20)
		var gone *control.UnknownGenerationError
		is.True(errors.As(err, &gone))
	})
}

// An operator applies a change, is told that it is in force everywhere, and sees
// one daemon behind in every failure domain beside it: news of a domain came by
// way of a third daemon before the daemon's own word.
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

// One of two daemons of a failure domain is paused during a change. It must not
// be counted among those that have it, nor as one that said to be behind.
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

// Nothing changes for minutes, and the status shows that all daemons were last
// heard minutes ago: the list was kept from the last change on.
func TestMembersNowReturnsCurrentLastHeard(t *testing.T) {
	t.Parallel()
	runWithFleet(t, func(is *is.I, f *fleet) {
		time.Sleep(5 * time.Minute)
		for _, m := range f.daemons[0].MembersNow() {
			is.True(time.Since(m.LastHeard) < 3*time.Second)
		}
	})
}
