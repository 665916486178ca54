package orders_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const (
	shardResponsibility = "rollout/chat/1/0"
	// reactionTime is on top of the lease's bounds: a tick, a round and calls.
	reactionTime = 3 * time.Second
)

// An operator's change of version stays undone: the daemon that orders the
// runners died a moment ago. Another must take over within the stated bound.
func TestHolderDies(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		timing := lease.DefaultTiming()
		withCluster(t, baseManifest(2, checksFencing), timing, func(w *cluster) {
			w.waitSettled(2, "1")
			dead := w.holder(shardResponsibility)
			dead.kill()
			w.setVersion("2")
			before := len(w.deliveredOrders())
			bound := timing.MaxTakeover() + reactionTime
			if checksFencing {
				bound -= timing.Quarantine()
			}
			w.waitUntil(bound, "order of the next holder", func() bool { return len(w.deliveredOrders()) > before })
			w.True(w.deliveredOrders()[before].daemon != dead.id)
		})
	}
}

// A holder has decided on an order and is paused past its lease. Another takes
// over and orders. Then the first wakes and sends: the runner would go back to
// what the old holder wanted.
func testPausedHolder(t *testing.T, checksFencing bool, timing lease.Timing, check func(w *cluster, late int)) {
	withCluster(t, baseManifest(2, checksFencing), timing, func(w *cluster) {
		w.waitSettled(2, "1")
		paused := w.holder(shardResponsibility)
		paused.beforeNext("order", paused.pause)
		w.setVersion("2")
		time.Sleep(lease.DefaultTiming().MaxPause)
		w.setVersion("3")
		paused.resume()
		w.waitUntil(10*time.Minute, "version 3 everywhere", func() bool { return w.servingCount("3") == 2 })
		time.Sleep(time.Minute)
		w.Equal(w.servingCount("3"), 2) // and it stays
		w.Equal(w.servingCount("2"), 0)
		late := 0
		for _, o := range w.deliveredOrders() {
			if o.daemon == paused.id && o.order.Version == "2" {
				late++
			}
		}
		check(w, late)
	})
}

func TestPausedHolderWithoutFencingChecks(t *testing.T) {
	testPausedHolder(t, false, lease.DefaultTiming(), func(w *cluster, late int) {
		w.True(late > 0) // the order did go out late
		w.Equal(w.staleOrders(), 0)
	})
}

func TestPausedHolderWithFencingChecks(t *testing.T) {
	testPausedHolder(t, true, lease.DefaultTiming(), func(w *cluster, late int) {
		w.True(late > 0)
		w.Equal(w.staleOrders(), 0)
		refused := 0
		for _, e := range w.engines {
			refused += e.Counters().RefusedOrders
		}
		w.True(refused > 0)
	})
}

// The same without the quarantine must show, or the test above proves nothing.
func TestMissingQuarantineIsDetected(t *testing.T) {
	broken := lease.DefaultTiming()
	broken.MaxPause = 0
	testPausedHolder(t, false, broken, func(w *cluster, _ int) { w.True(w.staleOrders() > 0) })
}

// The answer to the lease's create is lost after it took effect. Nobody would
// order the runners until the lease lapses, and the candidate that holds it
// does not know.
func TestLeaseCreateResponseLost(t *testing.T) {
	timing := lease.DefaultTiming()
	withCluster(t, baseManifest(2, true), timing, func(w *cluster) {
		w.store.SetFaults(kvserver.Faults{LoseAnswers: 1, LosePrefix: "lease/rollout"})
		w.waitUntil(time.Second, "a holder", func() bool { return w.holder(shardResponsibility) != nil })
		w.Equal(w.store.Faults().LoseAnswers, 0)
		w.waitUntil(startTime+reactionTime, "the first order", func() bool { return len(w.deliveredOrders()) > 0 })
		w.Equal(w.counter("orders.lease_acquired"), int64(2)) // the fleet's and the shard's
	})
}

// The key-value service is down for minutes while an operator's change is in
// force already. Nobody can know who holds what, so nobody may order anything
// or start VMs; after the outage the change must be carried out.
func TestLongStoreOutage(t *testing.T) {
	timing := lease.DefaultTiming()
	withCluster(t, baseManifest(2, false), timing, func(w *cluster) {
		w.waitSettled(2, "1")
		w.store.SetFaults(kvserver.Faults{Outage: true})
		time.Sleep(timing.TTL)
		before := len(w.deliveredOrders())
		w.updateManifest(func(m *manifest.Manifest) {
			m.Models[0].Version = "2"
			m.Services[0].Runners = 4
		})
		time.Sleep(10 * time.Minute)
		w.Equal(len(w.deliveredOrders()), before)
		w.Equal(len(w.runningVMs()), 2)
		w.store.SetFaults(kvserver.Faults{})
		w.waitUntil(timing.MaxTakeover()+reactionTime, "orders again", func() bool { return len(w.deliveredOrders()) > before })
		w.waitSettled(4, "2")
		w.Equal(len(w.runningVMs()), 4)
	})
}

// A service is taken out of the manifest. Its leases must be given back, or the
// daemons renew them for good.
func TestRemovedServiceReleasesLeases(t *testing.T) {
	m := baseManifest(1, true)
	m.Services = append(m.Services, manifest.Service{Name: "plain", Kind: manifest.KindPlain, Runners: 1})
	withCluster(t, m, lease.DefaultTiming(), func(w *cluster) {
		w.waitUntil(5*time.Second, "leases", func() bool { return len(w.heldLeases()) == 3 })
		w.updateManifest(func(m *manifest.Manifest) { m.Services = m.Services[:1] })
		time.Sleep(time.Second)
		w.Equal(w.heldLeases(), []string{"lease/fleet/chat", "lease/" + shardResponsibility})
	})
}

// A daemon is shut down gracefully. Its successor need not wait for the lease
// to lapse.
func TestShutdownReleasesLeases(t *testing.T) {
	withCluster(t, baseManifest(1, true), lease.DefaultTiming(), func(w *cluster) {
		w.waitSettled(1, "1")
		first := w.holder(shardResponsibility)
		first.cancel()
		time.Sleep(lease.DefaultTiming().ReadKey + time.Second)
		w.True(w.holder(shardResponsibility) != nil)
		w.True(w.holder(shardResponsibility) != first)
		first.done <- <-first.done
	})
}
