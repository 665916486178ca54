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

// settleTime is the time within which daemons that hear each other agree on their relays.
const settleTime = 4 * time.Second

// relayCount returns the number of daemons that claim to be relays.
func (w *testFleet) relayCount() int {
	return w.countDaemons(func(d *daemon) bool { return d.IsRelay() })
}

// cutOffFromDomain blocks the messages between a daemon and the others of its failure domain,
// or lets them pass again.
func (w *testFleet) cutOffFromDomain(i int, cut bool) {
	for other := i % largeDomains; other < len(w.daemons); other += largeDomains {
		if other != i {
			w.network.partition(peerAddress(i), peerAddress(other), cut)
		}
	}
}

// waitUntilRelay waits until a daemon that reaches no other one of its failure domain claims to
// be a relay.
func (w *testFleet) waitUntilRelay(i int) {
	const within = 10 * time.Second
	time.Sleep(3 * time.Second)
	for range int(within / loadInterval) {
		if w.daemons[i].IsRelay() {
			return
		}
		time.Sleep(loadInterval)
	}
	w.Fail()
}

// daemonIP returns the address of the VM of the daemon with index i, peerAddress the address to
// which other daemons send.
func daemonIP(i int) string { return fmt.Sprintf("10.0.%d.%d", i/250, i%250+1) }

func peerAddress(i int) string { return daemonIP(i) + ":7600" }

// Guards against quota that is granted in addition to the relays' shares, which together make up
// the whole quota, by a daemon that wrongly claims to be a relay. It does so because it hears some
// relays but no daemon of its own failure domain.
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
			maxServedTokens := l.maxTokensIn(ws, window)
			t.Logf("most tokens in a window: %.0f, tolerated: %.0f", maxServedTokens, tolerated)
			w.True(maxServedTokens <= tolerated)
		}
	})
}

// Guards against a daemon that keeps claiming to be a relay, though no other daemon elects it,
// after it was cut off from its failure domain for a while. Its callers would be refused, and
// it would watch the key-value service.
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

// Guards against daemons that keep claiming to be relays, though no other daemon elects them,
// after messages were lost while the fleet started.
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
				time.Sleep(loadInterval)
			}
		})
	}
}

// Guards against relays that each divide a quota among fewer relays than there are, because they
// were partitioned for so long that they dropped each other's addresses.
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
		maxServedTokens := l.maxTokensIn(0, window)
		t.Logf("most tokens in a window: %.0f, tolerated: %.0f", maxServedTokens, tolerated)
		w.True(maxServedTokens <= tolerated)
		for _, p := range pairs {
			w.True(w.daemons[p[0]].Elects(w.daemons[p[1]].Edge))
			w.True(w.daemons[p[1]].Elects(w.daemons[p[0]].Edge))
		}
	})
}

// relayPairs groups the relays in pairs of different failure domains, each relay in one pair.
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

// Guards against two halves of a fleet that each keep granting whole quotas after a partition
// that lasted until they dropped each other's addresses.
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

// partitionHalves blocks the messages between the two halves of the failure domains, or lets
// them pass again.
func (w *testFleet) partitionHalves(cut bool) {
	for i := range w.daemons {
		for j := range w.daemons {
			if i%largeDomains < largeDomains/2 && j%largeDomains >= largeDomains/2 {
				w.network.partition(peerAddress(i), peerAddress(j), cut)
			}
		}
	}
}

// Guards against retry budgets and quotas that stay divided by the number of daemons that a
// fleet once had.
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

// Guards against refused callers while a fleet outgrows the size up to which every daemon sends
// to every other one: a daemon must not wait for its first election then.
func TestSmallFleetGrowsUnderLoad(t *testing.T) {
	growUnderLoad(t, 10)
}

// Guards against refused callers while a direct fleet grows and its daemons don't know yet
// which of them share the quotas from then on.
func TestDirectFleetGrowsUnderLoad(t *testing.T) {
	growUnderLoad(t, relays.DirectFleet)
}

// growUnderLoad adds daemons to a fleet under load and checks that no caller is refused.
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

// Guards against relays that never learn of other relays' followers once there are so many
// relays that each is sent messages less often. Their daemons would know only a part of the
// fleet, and many would claim to be relays.
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
			time.Sleep(loadInterval)
		}
	})
}
