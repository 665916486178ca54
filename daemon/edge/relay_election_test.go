package edge_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/state/ident"
)

// settleTime is the time in which the daemons of a fleet that hear each other agree on
// their relays.
const settleTime = 4 * time.Second

// relayCount counts the daemons that take themselves for relayCount.
func (w *testFleet) relayCount() int {
	return w.countDaemons(func(d *daemon) bool { return d.IsRelay() })
}

// cutOffFromDomain cuts a daemon off from all others of its failure domain.
func (w *testFleet) cutOffFromDomain(i int, cut bool) {
	for other := i % largeDomains; other < len(w.daemons); other += largeDomains {
		if other != i {
			w.network.partition(peerAddress(i), peerAddress(other), cut)
		}
	}
}

// waitUntilRelay waits until a daemon that reaches none of those it could follow takes itself
// for a relay.
func (w *testFleet) waitUntilRelay(i int) {
	const within = 10 * time.Second
	time.Sleep(3 * time.Second)
	for range int(within / loadStep) {
		if w.daemons[i].IsRelay() {
			return
		}
		time.Sleep(loadStep)
	}
	w.Fail()
}

func peerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:7600", i+1) }

// Guards against a daemon that gives out a whole quota beside the relays, since it hears
// some of them but none of its own failure domain and takes itself for one.
func TestMistakenRelayGivesOutNoQuota(t *testing.T) {
	const (
		daemons, last              = 60, 59
		perSecond, cost            = 300_000.0, 17_000
		window                     = 8 * time.Second
		tolerated                  = (perSecond*8+perSecond)*1.1 + 190_000
		workspaces, overloadFactor = 3, 6
	)
	withRelayFleet(t, daemons, promptWorkspaces(workspaces, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		w.servedBefore = true
		w.daemons[last].kill()
		w.cutOffFromDomain(last, true)
		w.restart(last)
		w.waitUntilRelay(last)
		l := newPromptLoad(w, cost, slices.Repeat([]float64{perSecond * overloadFactor}, workspaces))
		l.run(window+2*time.Second, anyDaemon)
		for ws := range workspaces {
			most := l.maxTokensIn(ws, window)
			t.Logf("most in a window: %.0f of %.0f", most, tolerated)
			w.True(most <= tolerated)
		}
	})
}

// Guards against a daemon that stays a relay whom no other one counts after it has lost its
// failure domain for a while: its own callers are refused, and it watches the service.
func TestMistakenRelayFindsItsPlace(t *testing.T) {
	const daemons, last = 60, 59
	withRelayFleet(t, daemons, config(1), func(w *testFleet) {
		before := w.relayCount()
		w.servedBefore = true
		w.daemons[last].kill()
		w.cutOffFromDomain(last, true)
		w.restart(last)
		w.waitUntilRelay(last)
		w.cutOffFromDomain(last, false)
		time.Sleep(settleTime)
		for range 40 {
			w.True(!w.daemons[last].IsRelay())
			w.Equal(w.relayCount(), before)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against relays whom no other one counts and that stay so when the messages of a
// fleet's start were lost.
func TestLossyStartLeavesNoMistakenRelay(t *testing.T) {
	const loss, lossyFor = 0.4, 3 * time.Second
	for seed := range uint64(2) {
		withFleet(t, 0, config(1), func(w *testFleet) {
			w.spreadOverDomains()
			w.network.setLossRate(loss, rand.New(rand.NewPCG(seed, 0)))
			for range largeFleet {
				w.addDaemon()
			}
			time.Sleep(lossyFor)
			w.network.setLossRate(0, nil)
			time.Sleep(settleTime)
			for range 40 {
				w.Equal(w.relayCount(), 2*largeDomains)
				time.Sleep(loadStep)
			}
		})
	}
}

// Guards against relays that share out a quota without counting each other, since they have
// not heard of each other for so long that they forgot their addresses.
func TestRelaysThatLostEachOtherMeetAgain(t *testing.T) {
	const (
		daemons, partitionedFor = 60, peers.ForgetAfter + 5*time.Second
		perSecond, cost         = 300_000.0, 17_000
		window                  = 8 * time.Second
		tolerated               = (perSecond*8+perSecond)*1.1 + 190_000
	)
	withRelayFleet(t, daemons, promptWorkspaces(1, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		pairs := w.relayPairs()
		for _, p := range pairs {
			w.network.partition(peerAddress(p[0]), peerAddress(p[1]), true)
		}
		time.Sleep(partitionedFor)
		for _, p := range pairs {
			w.network.partition(peerAddress(p[0]), peerAddress(p[1]), false)
		}
		time.Sleep(settleTime)
		l := newPromptLoad(w, cost, []float64{perSecond * 6})
		l.run(window+2*time.Second, anyDaemon)
		most := l.maxTokensIn(0, window)
		t.Logf("most in a window: %.0f of %.0f", most, tolerated)
		w.True(most <= tolerated)
		for _, p := range pairs {
			w.True(w.daemons[p[0]].Elects(w.daemons[p[1]].Edge))
			w.True(w.daemons[p[1]].Elects(w.daemons[p[0]].Edge))
		}
	})
}

// relayPairs are pairs of different failure domains, each relay in one.
func (w *testFleet) relayPairs() [][2]int {
	var all []int
	for i, d := range w.daemons {
		if d.IsRelay() {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(a%largeDomains, b%largeDomains) })
	half := len(all) / 2
	var pairs [][2]int
	for i := range half {
		pairs = append(pairs, [2]int{all[i], all[half+i]})
	}
	return pairs
}

// Guards against two halves of a fleet that each go on giving out whole quotas after a cut
// between them that lasted until they had forgotten each other's addresses.
func TestHalvesOfAFleetMeetAgain(t *testing.T) {
	const daemons, partitionedFor = 30, peers.ForgetAfter + 10*time.Second
	withRelayFleet(t, daemons, config(1), func(w *testFleet) {
		before := w.relayCount()
		w.partitionHalves(true)
		time.Sleep(partitionedFor)
		w.partitionHalves(false)
		time.Sleep(settleTime)
		w.Equal(w.relayCount(), before)
		for _, one := range w.daemons {
			for _, other := range w.daemons {
				w.True(one == other || !one.IsRelay() || !other.IsRelay() || one.Elects(other.Edge))
			}
		}
	})
}

// partitionHalves cuts half of the failure domains off from the others.
func (w *testFleet) partitionHalves(cut bool) {
	for i := range w.daemons {
		for j := range w.daemons {
			if i%largeDomains < largeDomains/2 && j%largeDomains >= largeDomains/2 {
				w.network.partition(peerAddress(i), peerAddress(j), cut)
			}
		}
	}
}

// Guards against a fleet that goes on dividing its retries and quotas by the number of daemons
// that it once had.
func TestShrunkenFleetIsCountedAsSmaller(t *testing.T) {
	const daemons, left = 24, 12
	withRelayFleet(t, daemons, config(1), func(w *testFleet) {
		for _, d := range w.daemons[left:] {
			d.kill()
		}
		time.Sleep(peers.ForgetAfter + settleTime)
		for _, d := range w.daemons[:left] {
			w.Equal(d.FleetSize(), left)
		}
	})
}

// Guards against callers who are refused while a fleet grows beyond the size at which every
// daemon tells every other: a daemon must not wait for its first election then.
func TestSmallFleetGrowsUnderLoad(t *testing.T) {
	growUnderLoad(t, 10)
}

// Guards against callers who are refused for as long as the daemons of a fleet that grows don't
// know of each other who shares quotas from now on.
func TestDirectFleetGrowsUnderLoad(t *testing.T) {
	growUnderLoad(t, relays.DirectFleet)
}

// growUnderLoad has some daemons join and checks that no caller is refused.
func growUnderLoad(t *testing.T, daemons int) {
	const joining, perSecond, cost = 6, 300_000.0, 17_000
	withSettledFleet(t, daemons, daemons, promptWorkspaces(4, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		w.servedBefore = true
		l := newPromptLoad(w, cost, slices.Repeat([]float64{perSecond * 0.5}, 4))
		l.run(time.Second, anyDaemon)
		for range joining {
			w.addDaemon()
		}
		l.run(4*time.Second, func(i int) bool { return w.daemons[i].Ready() })
		asked, refused := l.totals()
		t.Logf("%d refused of %d: %v", refused, asked, l.reasons)
		w.Equal(refused, 0)
	})
}

// Guards against relays that never learn who follows the others, once there are so many of
// them that each is told more seldom: their daemons then know a part of the fleet only, and
// many take themselves for relays.
func TestManyRelaysKnowTheWholeFleet(t *testing.T) {
	const daemons, domains, relaysOfADomain = 60, 12, 2
	withFleet(t, 0, config(1), func(w *testFleet) {
		for i := range domains {
			w.domains = append(w.domains, ident.FailureDomain(fmt.Sprintf("domain-%d", i)))
		}
		for range daemons {
			w.addDaemon()
		}
		time.Sleep(4 * time.Second)
		for range 40 {
			w.Equal(w.relayCount(), domains*relaysOfADomain)
			for _, d := range w.daemons {
				w.True(!d.IsRelay() || d.AlivePeers() == daemons-1)
			}
			time.Sleep(loadStep)
		}
	})
}
