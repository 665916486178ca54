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
	// reactionTime is added to the time limits of the lease package for a tick,
	// a round and the calls.
	reactionTime = 3 * time.Second
)

// An operator changes a version directly after the daemon that orders the runners
// crashed. Another daemon must take over and carry out the change within
// Timing.MaxTakeover.
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

// testPausedHolder pauses a holder directly before it sends an order, until its
// lease has expired and another daemon has taken over and sent newer orders. Then
// the first holder resumes and sends its old order, which must not change what the
// runners serve in the end.
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
		w.Equal(w.servingCount("3"), 2) // still version 3 a minute later
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
		w.True(late > 0) // the old order was sent
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

// Without the quarantine, the time that a new holder waits before its first order,
// runners that don't check fencing tokens must carry out a stale order. Otherwise
// the tests with a paused holder would prove nothing.
func TestMissingQuarantineIsDetected(t *testing.T) {
	broken := lease.DefaultTiming()
	broken.MaxPause = 0
	testPausedHolder(t, false, broken, func(w *cluster, _ int) { w.True(w.staleOrders() > 0) })
}

// The response to the creation of a lease is lost after the lease was created. The
// candidate must find out that it holds the lease; otherwise no daemon would give
// orders until the lease expires.
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

// The key-value service is down for minutes after an operator's change became
// effective. No daemon can know which leases are held, so none may order anything
// or start VMs. After the outage the change must be carried out.
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

// A service is removed from the manifest. Its leases must be released; otherwise
// the daemons would renew them forever.
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

// A daemon is shut down gracefully. It must release its leases, so that its
// successor doesn't have to wait until they expire.
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
