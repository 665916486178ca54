package orders_test

import (
	"slices"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// checkInvariantUntil checks an invariant twice a second until a condition is
// reached, which must happen within bound.
func (c *cluster) checkInvariantUntil(bound time.Duration, reached func() bool, invariant func()) {
	for end := time.Now().Add(bound); !reached(); time.Sleep(500 * time.Millisecond) {
		c.True(time.Now().Before(end)) // condition not reached in time
		invariant()
	}
}

func (c *cluster) loads() map[string]engineapi.Load {
	out := map[string]engineapi.Load{}
	for _, vm := range c.runningVMs() {
		out[vm.ID] = c.engine(vm.Address).Load()
	}
	return out
}

func isLoading(l engineapi.Load) bool {
	return slices.ContainsFunc(l.Models, func(m engineapi.LoadedModel) bool { return m.Loading })
}

// An operator changes a model's version. Capacity must not drop: at most a quarter
// of the runners load at the same time, and each serves the old version until the
// new one is loaded. In the end the runners have only the new version.
func TestRollingUpdate(t *testing.T) {
	withCluster(t, baseManifest(8, false), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(8, "1")
		c.setVersion("2")
		c.checkInvariantUntil(10*time.Minute, func() bool { return c.servingCount("2") == 8 && c.servingCount("1") == 0 }, func() {
			loadingCount := 0
			for _, l := range c.loads() {
				c.True(hasLoaded(l, "1") || hasLoaded(l, "2"))
				if isLoading(l) {
					loadingCount++
				}
			}
			c.True(loadingCount <= 2)
		})
	})
}

// The manifest specifies a canary on a quarter of the runners. The others must
// keep the old version, and all must have it again after the canary is removed.
func TestCanary(t *testing.T) {
	withCluster(t, baseManifest(8, false), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(8, "1")
		c.updateManifest(func(m *manifest.Manifest) { m.Models[0].Canary = &manifest.Canary{Version: "2", Share: 0.25} })
		c.waitUntil(2*time.Minute, "the canary", func() bool { return c.servingCount("2") == 2 && c.servingCount("1") == 6 })
		time.Sleep(2 * time.Minute)
		c.Equal(c.servingCount("2"), 2)
		c.Equal(c.servingCount("1"), 6)
		c.updateManifest(func(m *manifest.Manifest) { m.Models[0].Canary = nil })
		c.waitUntil(2*time.Minute, "the canary's end", func() bool { return c.servingCount("1") == 8 && c.servingCount("2") == 0 })
	})
}

// The manifest specifies a role for a service's runners. All of them must take it,
// including those that start later, and they must keep it after it is removed from
// the manifest.
func TestRole(t *testing.T) {
	withCluster(t, baseManifest(4, false), lease.DefaultTiming(), func(c *cluster) {
		inRole := func(role string) int {
			n := 0
			for _, l := range c.loads() {
				if l.Role == role {
					n++
				}
			}
			return n
		}
		c.waitServingAndIdle(4, "1")
		c.updateManifest(func(m *manifest.Manifest) { m.Services[0].Role = "decode" })
		c.waitUntil(2*time.Minute, "the role", func() bool { return inRole("decode") == 4 })
		c.updateManifest(func(m *manifest.Manifest) { m.Services[0].Runners = 6 })
		c.waitUntil(5*time.Minute, "the role on new runners", func() bool { return inRole("decode") >= 6 })
		c.updateManifest(func(m *manifest.Manifest) { m.Services[0].Role = "" })
		time.Sleep(2 * time.Minute)
		c.True(inRole("decode") >= 6)
	})
}

// An operator specifies a version that the weight store doesn't have. The runners
// must keep serving the old one, and the weight store, which all services share,
// must not be queried every second forever.
func TestMissingWeightsBackOff(t *testing.T) {
	withCluster(t, baseManifest(2, true), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(2, "1")
		before, _ := c.weights.Calls()
		c.setVersion("nowhere")
		time.Sleep(10 * time.Minute)
		after, _ := c.weights.Calls()
		c.True(after-before >= 4)
		c.True(after-before <= 20)
		c.Equal(c.servingCount("1"), 2)
	})
}

// A runner has received its reclaim notice and the directory doesn't know it yet.
// The runner's report contains the notice. It must get no order, which would make
// it load weights in vain.
func TestLeavingRunnerGetsNoOrder(t *testing.T) {
	withCluster(t, baseManifest(2, true), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(2, "1")
		leaving := c.runningVMs()[0]
		c.engine(leaving.Address).Notice(time.Minute)
		time.Sleep(time.Second)
		noticed := time.Now()
		c.setVersion("2")
		time.Sleep(30 * time.Second)
		for _, o := range c.deliveredOrders() {
			c.True(o.address != leaving.Address || o.at.Before(noticed))
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.True(!c.announced[leaving.Address].IsZero()) // the notice was passed on to the directory
	})
}

// Nothing changes in a shard for a long time. Polling its runners every second
// would cost more than all other control traffic, so they must be polled less
// often. A runner that loses a model must still be repaired within seconds.
func TestSettledShardIsPolledRarely(t *testing.T) {
	withCluster(t, baseManifest(2, true), lease.DefaultTiming(), func(c *cluster) {
		c.waitServingAndIdle(2, "1")
		before := c.reportCount()
		time.Sleep(5 * time.Minute)
		c.True(c.reportCount()-before <= 2*31)
		c.NoErr(c.engine(c.runningVMs()[0].Address).Order(engineapi.Order{
			Kind: engineapi.OrderUnload, Model: "m", Version: "1", Fencing: 1 << 40,
		}))
		c.waitUntil(time.Second, "the loss", func() bool { return c.servingCount("1") == 1 })
		c.waitUntil(15*time.Second, "an order", func() bool { return c.counter("orders.failed.runner_refused") > 0 })
	})
}

// reportCount returns the number of reports that daemons have requested.
func (c *cluster) reportCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports
}
