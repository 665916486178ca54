package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/transport/platform"
)

// inBubble runs a test of a whole fleet in virtual time.
func inBubble(t *testing.T, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.until(5*time.Second, "all know each other", f.acquainted)
		test(is.New(t), f)
	})
}

func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		m, generation := f.daemons[0].Current()
		is.True(m == nil)
		is.Equal(int(generation), 0)
		begin := time.Now()
		outcome, err := f.apply(0, 4, "first")
		is.NoErr(err)
		is.True(outcome.InForceEverywhere)
		is.Equal(len(outcome.Domains), 4)
		is.True(time.Since(begin) < time.Second)
		f.until(time.Second, "in force at every daemon", f.inForce(1))
	})
}

// An operator's apply succeeds and the key-value service goes down in the same
// moment. The users of the other failure domains would be served by the old
// settings until it is back, since nobody can read the new ones there.
func TestOutageRightAfterAcceptance(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		f.until(time.Second, "first in force", f.inForce(1))
		f.store.SetFaults(kvserver.Faults{SilentWatches: true})
		accepted := make(chan error)
		go func() {
			_, err := f.apply(3, 5, "second")
			accepted <- err
		}()
		f.until(time.Second, "second accepted", func() bool {
			_, g := f.daemons[3].Current()
			return g == 2
		})
		f.store.SetFaults(kvserver.Faults{Outage: true})
		took := f.until(3*time.Second, "second in force at every daemon", f.inForce(2))
		is.NoErr(<-accepted)
		t := f.t
		t.Logf("in force at the last daemon %s after acceptance, service down", took)
	})
}

// A daemon restarts while the key-value service is down. Its callers would be
// refused for the whole outage although the daemons around it have the
// configuration.
func TestRestartInOutageTakesThePeersConfiguration(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		f.until(time.Second, "first in force", f.inForce(1))
		f.store.SetFaults(kvserver.Faults{Outage: true})
		f.crash(4)
		f.restart(4)
		m, _ := f.daemons[4].Current()
		is.True(m == nil)
		f.until(3*time.Second, "in force at the restarted one", f.inForce(1))
	})
}

// The key-value service comes back from an outage with the state of yesterday.
// Daemons that obeyed it would fall back to old limits and credentials, and the
// next change would get a generation that is in force already and be ignored.
func TestRestoredServiceDoesNotRevert(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		old, err := f.store.Get(t.Context(), "config/head")
		is.NoErr(err)
		_, err = f.apply(1, 5, "second")
		is.NoErr(err)
		f.until(time.Second, "second in force", f.inForce(2))
		now, err := f.store.Get(t.Context(), "config/head")
		is.NoErr(err)
		_, err = f.store.CompareAndSwap(t.Context(), "config/head", now.Revision, old.Value, 0)
		is.NoErr(err)
		time.Sleep(time.Minute)
		f.until(0, "second still in force", f.inForce(2))
		outcome, err := f.apply(2, 6, "third")
		is.NoErr(err)
		is.Equal(int(outcome.Accepted.Generation), 3)
		f.until(time.Second, "third in force", f.inForce(3))
	})
}

// All watches go silent at once: the connections stay open and nothing comes.
// One daemon's change would never reach the others if they relied on them.
func TestSilentWatches(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		f.store.SetFaults(kvserver.Faults{SilentWatches: true})
		outcome, err := f.apply(2, 4, "first")
		is.NoErr(err)
		is.True(outcome.InForceEverywhere)
		f.until(time.Second, "in force at every daemon", f.inForce(1))
	})
}

// The cloud's notice for a runner's VM reaches one daemon. Calls that others
// send there would be cut off when it goes.
func TestNoticedRunnerLeavesEverywhere(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		f.cloud.mu.Lock()
		f.cloud.vms = []platform.VM{{ID: "vm-1", Address: "10.1.0.1:9000", Service: "casos", State: platform.VMLive}}
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
		f.until(5*time.Second, "runner listed", state(view.Live))
		f.daemons[1].NoteLeaving("10.1.0.1:9000", 20*time.Second)
		took := f.until(3*time.Second, "leaving everywhere", state(view.Leaving))
		f.t.Logf("leaving everywhere %s after the first word", took)
	})
}

// An entry VM gets its notice. Callers that are still sent there would lose
// what they have just begun; the daemon itself has to hear of it, too.
func TestNoticedEntryVMLeavesEverywhere(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		f.cloud.notice("vm-entry-2", "10.0.0.3", 30*time.Second)
		left := func() bool {
			for _, d := range f.daemons {
				if stateOf(d, 2, f) != view.Leaving {
					return false
				}
			}
			return f.daemons[2].Self().State == view.Leaving
		}
		took := f.until(3*time.Second, "leaving everywhere", left)
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
func TestPausedDaemonComesBack(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		f.network.set(func(n *network) { n.paused[address(4)] = true })
		f.until(10*time.Second, "suspect", func() bool { return stateOf(f.daemons[0], 4, f) == view.Suspect })
		f.network.set(func(n *network) { n.paused[address(4)] = false })
		f.until(5*time.Second, "live again everywhere", f.acquainted)
	})
}

// An entry VM crashes and is replaced at the same address. As long as the former
// incarnation counts as a daemon, work that only it can do is waited for.
func TestReplacedEntryVMEndsTheFormerIncarnation(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		f.crash(3)
		f.restart(3)
		f.until(10*time.Second, "only the new incarnation", func() bool {
			for _, d := range f.daemons {
				if len(d.Daemons()) != 5 {
					return false
				}
			}
			return f.acquainted()
		})
	})
}

// Two daemons cannot reach each other while both reach the rest. Each would
// spread its suspicion and take the other out of service for everybody.
func TestCutPairStaysInService(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet) {
		f.network.set(func(n *network) {
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
