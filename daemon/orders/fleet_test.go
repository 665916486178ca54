package orders_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	standin "geraniumstack.org/geraniumstack/standin/cloudapi"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const fleetResponsibility = "fleet/chat"

// expectVMCount checks that the number of VMs never exceeds n, and that it is n at
// the end of the given time.
func (c *cluster) expectVMCount(n int, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		c.True(len(c.runningVMs()) <= n) // no excess VM
	}
	c.Equal(len(c.runningVMs()), n)
}

// The cloud starts VMs and its responses are lost. If the holder repeated the
// calls with new tokens, each lost response would cause a second, unneeded VM.
func TestStartResponseLost(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(c *cluster) {
		c.cloud.SetFaults(standin.Faults{LoseAnswers: 3})
		c.expectVMCount(4, 2*time.Minute)
		c.Equal(c.cloud.Faults().LoseAnswers, 0)
	})
}

// The holder crashes directly before or after the cloud has started a VM, when the
// ledger has the start but no answer. The cloud's list doesn't show the VM yet.
// The next holder must repeat the same start instead of starting another VM.
func TestHolderDiesDuringStart(t *testing.T) {
	for _, call := range []string{"start", "started"} {
		withClusterAndListLag(t, baseManifest(4, true), lease.DefaultTiming(), longLag, func(c *cluster) {
			c.waitUntil(time.Second, "a holder", func() bool { return len(c.heldLeases()) == 2 && c.holder(fleetResponsibility) != nil })
			first := c.holder(fleetResponsibility)
			first.beforeNext(call, first.kill)
			c.expectVMCount(4, 2*time.Minute)
			c.True(c.holder(fleetResponsibility) != first)
		})
	}
}

// The holder is paused directly before it calls the cloud to start a VM, and
// resumes after another daemon has taken over and repeated the start from the
// ledger. The late call must not start another VM.
func TestHolderPausedBeforeStart(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(c *cluster) {
		c.waitUntil(time.Second, "a holder", func() bool { return len(c.heldLeases()) == 2 && c.holder(fleetResponsibility) != nil })
		first := c.holder(fleetResponsibility)
		first.beforeNext("start", first.pause)
		time.Sleep(time.Minute)
		c.Equal(len(c.runningVMs()), 4)
		first.resume()
		c.expectVMCount(4, 2*time.Minute)
	})
}

// A VM ends after the cloud has started it and before the holder has recorded the
// cloud's answer. The cloud can no longer return a VM for the start's token. If
// the holder repeated the start forever, the service would get no replacement.
func TestVMGoneBeforeStartResponseIsKnown(t *testing.T) {
	withCluster(t, baseManifest(2, true), lease.DefaultTiming(), func(c *cluster) {
		c.cloud.SetFaults(standin.Faults{LoseAnswers: 1})
		c.waitUntil(3*time.Second, "a VM", func() bool { return len(c.runningVMs()) > 0 && c.cloud.Faults().LoseAnswers == 0 })
		for _, vm := range c.runningVMs() {
			c.cloud.Kill(vm.ID)
		}
		c.waitServingAndIdle(2, "1")
		c.Equal(len(c.runningVMs()), 2)
	})
}

// The cloud reclaims all VMs of a failure domain and then refuses to start
// reclaimable VMs there. Replacements must be started in other pools within
// seconds.
func TestRefusedStartsDuringReclaimWave(t *testing.T) {
	m := baseManifest(4, true)
	m.Fleet.SurviveDomainLoss = true
	withCluster(t, m, lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(8, "1")
		lost := len(c.cloud.ReclaimDomain("a", 30*time.Second))
		c.True(lost > 0)
		c.waitUntil(10*time.Second, "replacements", func() bool { return c.runningOutside("a") >= 4 && c.runningOutside("b") >= 4 })
		c.True(c.counter("fleet.start_refused") > 0)
		c.True(c.counter("fleet.start_refused") <= 2*int64(lost)) // the pool is not tried again for a while
	})
}

// runningOutside returns the number of running VMs outside a failure domain.
func (c *cluster) runningOutside(lost ident.FailureDomain) int {
	n := 0
	for _, vm := range c.runningVMs() {
		if vm.FailureDomain != lost {
			n++
		}
	}
	return n
}

// An operator reduces the number of runners. Work in progress must not be lost:
// each VM must be announced as leaving to all daemons at least its whole grace
// period before it is stopped.
func TestPlannedStopIsGraceful(t *testing.T) {
	withCluster(t, baseManifest(6, true), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(6, "1")
		c.setRunners(2)
		c.waitUntil(10*time.Minute, "stops", func() bool { return len(c.runningVMs()) == 2 })
		c.expectGracefulStops(4)
	})
}

func (c *cluster) setRunners(n int) {
	c.updateManifest(func(m *manifest.Manifest) { m.Services[0].Runners = n })
}

func (c *cluster) expectGracefulStops(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Equal(len(c.removed), n)
	for id, at := range c.removed {
		announced, ok := c.announced[id]
		c.True(ok)
		c.True(at.Sub(announced) >= stopGrace)
	}
}

// The holder has written planned stops to the ledger and crashes before it has
// announced them. Its successor takes over when the grace period would have ended
// and must still give the VMs the whole grace period.
func TestHolderDiesBeforeAnnouncingStop(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(4, "1")
		first := c.holder(fleetResponsibility)
		// The next write to the key-value service is that of the ledger with the stops.
		first.beforeNext("swapped", first.kill)
		c.setRunners(2)
		c.waitUntil(10*time.Minute, "stops", func() bool { return len(c.runningVMs()) == 2 })
		c.expectGracefulStops(2)
		c.True(c.holder(fleetResponsibility) != first)
	})
}

// Two services share a cost limit. If each were planned with the whole limit, they
// would together spend twice the limit.
func TestServicesShareCostBound(t *testing.T) {
	m := baseManifest(6, true)
	m.Services = append(m.Services, manifest.Service{Name: "plain", Kind: manifest.KindPlain, Runners: 2})
	m.Fleet.MaxCostPerHour = 4
	withCluster(t, m, lease.DefaultTiming(), func(c *cluster) {
		time.Sleep(time.Minute)
		count := map[string]int{}
		for _, vm := range c.runningVMs() {
			count[vm.Service]++
		}
		c.Equal(count, map[string]int{service: 3, "plain": 1})
	})
}
