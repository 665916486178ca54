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
		withCluster(t, baseManifest(2, checksFencing), timing, func(c *cluster) {
			c.waitServingAndIdle(2, "1")
			dead := c.holder(shardResponsibility)
			dead.kill()
			c.setVersion("2")
			before := len(c.deliveredOrders())
			bound := timing.MaxTakeover() + reactionTime
			if checksFencing {
				bound -= timing.Quarantine()
			}
			c.waitUntil(bound, "order of the next holder", func() bool { return len(c.deliveredOrders()) > before })
			c.True(c.deliveredOrders()[before].daemon != dead.id)
		})
	}
}

// testPausedHolder pauses a holder directly before it sends an order, until its
// lease has expired and another daemon has taken over and sent newer orders. Then
// the first holder resumes and sends its old order, which must not change what the
// runners serve in the end.
func testPausedHolder(t *testing.T, checksFencing bool, timing lease.Timing, check func(c *cluster, late int)) {
	withCluster(t, baseManifest(2, checksFencing), timing, func(c *cluster) {
		c.waitServingAndIdle(2, "1")
		paused := c.holder(shardResponsibility)
		paused.beforeNext("order", paused.pause)
		c.setVersion("2")
		time.Sleep(lease.DefaultTiming().MaxPause)
		c.setVersion("3")
		paused.resume()
		c.waitUntil(10*time.Minute, "version 3 everywhere", func() bool { return c.servingCount("3") == 2 })
		time.Sleep(time.Minute)
		c.Equal(c.servingCount("3"), 2) // still version 3 a minute later
		c.Equal(c.servingCount("2"), 0)
		late := 0
		for _, o := range c.deliveredOrders() {
			if o.daemon == paused.id && o.order.Version == "2" {
				late++
			}
		}
		check(c, late)
	})
}

func TestPausedHolderWithoutFencingChecks(t *testing.T) {
	testPausedHolder(t, false, lease.DefaultTiming(), func(c *cluster, late int) {
		c.True(late > 0) // the old order was sent
		c.Equal(c.staleOrders(), 0)
	})
}

func TestPausedHolderWithFencingChecks(t *testing.T) {
	testPausedHolder(t, true, lease.DefaultTiming(), func(c *cluster, late int) {
		c.True(late > 0)
		c.Equal(c.staleOrders(), 0)
		refused := 0
		for _, e := range c.engines {
			refused += e.Counters().RefusedOrders
		}
		c.True(refused > 0)
	})
}

// This test checks that the tests with a paused holder can fail. It removes the
// quarantine, which is the time that a new holder waits before its first order. It
// then expects that runners that don't check fencing tokens carry out at least one
// stale order.
func TestMissingQuarantineIsDetected(t *testing.T) {
	broken := lease.DefaultTiming()
	broken.MaxPause = 0
	testPausedHolder(t, false, broken, func(c *cluster, _ int) { c.True(c.staleOrders() > 0) })
}

// The response to the creation of a lease is lost after the lease was created. The
// candidate must find out that it holds the lease; otherwise no daemon would give
// orders until the lease expires.
func TestLeaseCreateResponseLost(t *testing.T) {
	timing := lease.DefaultTiming()
	withCluster(t, baseManifest(2, true), timing, func(c *cluster) {
		c.store.SetFaults(kvserver.Faults{LoseAnswers: 1, LosePrefix: "lease/rollout"})
		c.waitUntil(time.Second, "a holder", func() bool { return c.holder(shardResponsibility) != nil })
		c.Equal(c.store.Faults().LoseAnswers, 0)
		c.waitUntil(startTime+reactionTime, "the first order", func() bool { return len(c.deliveredOrders()) > 0 })
		c.Equal(c.counter("orders.lease_acquired"), int64(2)) // the fleet's and the shard's
	})
}

// The key-value service is down for minutes after an operator's change became
// effective. No daemon can know which leases are held, so none may order anything
// or start VMs. After the outage the change must be carried out.
func TestLongStoreOutage(t *testing.T) {
	timing := lease.DefaultTiming()
	withCluster(t, baseManifest(2, false), timing, func(c *cluster) {
		c.waitServingAndIdle(2, "1")
		c.store.SetFaults(kvserver.Faults{Outage: true})
		time.Sleep(timing.TTL)
		before := len(c.deliveredOrders())
		c.updateManifest(func(m *manifest.Manifest) {
			m.Models[0].Version = "2"
			m.Services[0].Runners = 4
		})
		time.Sleep(10 * time.Minute)
		c.Equal(len(c.deliveredOrders()), before)
		c.Equal(len(c.runningVMs()), 2)
		c.store.SetFaults(kvserver.Faults{})
		c.waitUntil(timing.MaxTakeover()+reactionTime, "orders again", func() bool { return len(c.deliveredOrders()) > before })
		c.waitServingAndIdle(4, "2")
		c.Equal(len(c.runningVMs()), 4)
	})
}

// A service is removed from the manifest. Its leases must be released; otherwise
// the daemons would renew them forever.
func TestRemovedServiceReleasesLeases(t *testing.T) {
	m := baseManifest(1, true)
	m.Services = append(m.Services, manifest.Service{Name: "plain", Kind: manifest.KindPlain, Runners: 1})
	withCluster(t, m, lease.DefaultTiming(), func(c *cluster) {
		c.waitUntil(5*time.Second, "leases", func() bool { return len(c.heldLeases()) == 3 })
		c.updateManifest(func(m *manifest.Manifest) { m.Services = m.Services[:1] })
		time.Sleep(time.Second)
		c.Equal(c.heldLeases(), []string{"lease/fleet/chat", "lease/" + shardResponsibility})
	})
}

// A daemon is shut down gracefully. It must release its leases, so that its
// successor doesn't have to wait until they expire.
func TestShutdownReleasesLeases(t *testing.T) {
	withCluster(t, baseManifest(1, true), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(1, "1")
		first := c.holder(shardResponsibility)
		first.cancel()
		time.Sleep(lease.DefaultTiming().ReadKey + time.Second)
		c.True(c.holder(shardResponsibility) != nil)
		c.True(c.holder(shardResponsibility) != first)
		first.done <- <-first.done
	})
}
