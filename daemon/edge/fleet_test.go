package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/route"
)

var domains = []ident.FailureDomain{"north", "south", "east", "west"}

// scaledConfig returns a configuration with a service whose runners the daemon orders.
func scaledConfig() route.Config {
	c := config(1)
	c.Services = []route.Service{{
		Name:   "app",
		Engine: &route.Engine{Slots: 64, KVTokens: 500_000},
		Scaling: &route.Scaling{
			Min: 0, Max: 10, BootTime: 4 * time.Second, ReclaimablePriceRatio: 0.2,
			Prices: map[ident.FailureDomain]float64{"north": 1, "south": 1, "east": 1, "west": 1},
		},
	}}
	return c
}

// addFleet adds perDomain runners in each failure domain.
func (w *testFleet) addFleet(perDomain int, reclaimable bool) {
	for _, domain := range domains {
		for i := range perDomain {
			w.addRunnerOf(domain, string(domain)+string(rune('a'+i)), reclaimable)
		}
	}
}

func (w *testFleet) addRunnerOf(domain ident.FailureDomain, id string, reclaimable bool) {
	w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: domain, State: view.Live, Reclaimable: reclaimable,
	}, Slots: 64})
	w.runners.add(id)
}

// Guards against asking too rarely for reclaimable runners after they were unavailable. The
// runners that replace them cost five times as much. Each failure domain was asked only every
// two to four seconds, one after the other, so the expensive runners were kept for seconds
// after cheap ones were available again. Each failure domain must be asked again soon, without
// flooding the cloud with calls.
func TestReclaimableRunnersAreAskedForAgainSoon(t *testing.T) {
	withFleet(t, 1, scaledConfig(), func(w *testFleet) {
		w.addFleet(3, false)
		w.cloud.setReclaimableUnavailable(true)
		time.Sleep(20 * time.Second)
		refusals := w.cloud.refusedOrders()
		w.True(refusals >= 40)  // at least two attempts a second for 20 seconds
		w.True(refusals <= 120) // at most six attempts a second
		w.cloud.setReclaimableUnavailable(false)
		time.Sleep(time.Second + 50*time.Millisecond) // the daemon's rounds fall on whole seconds
		got := map[ident.FailureDomain]bool{}
		for _, o := range w.cloud.receivedOrders() {
			if o.Reclaimable && o.Runners > 0 {
				got[o.FailureDomain] = true
			}
		}
		w.Equal(len(got), len(domains))
	})
}

// Where there are no reclaimable runners, or they cost nearly as much as others, spare runners
// would cost the full price. Nothing beyond the need may be ordered.
func TestNoSpareRunnersAtFullPrice(t *testing.T) {
	for _, rate := range []float64{0, 0.9} {
		c := scaledConfig()
		c.Services[0].Scaling.ReclaimablePriceRatio = rate
		withFleet(t, 1, c, func(w *testFleet) {
			w.addFleet(3, false)
			time.Sleep(5 * time.Second)
			w.True(len(w.cloud.receivedOrders()) > 0)
			for _, o := range w.cloud.receivedOrders() {
				// An order names the wanted total. Each failure domain has 3 runners, so a smaller
				// number gives runners back and adds none.
				w.True(!o.Reclaimable && o.Runners < 3)
			}
		})
	}
}

// Guards against giving back runners before the load is known. All daemons are killed at once
// and lose their knowledge of the load. The first one to order runners again took the load of
// its first moments for all of it, and gave back runners that were needed.
func TestRestartedDaemonsKeepRunnersUntilDemandIsKnown(t *testing.T) {
	withFleet(t, 1, scaledConfig(), func(w *testFleet) {
		w.addFleet(3, true)
		w.daemons[0].kill()
		w.cloud.clearOrders()
		w.servedBefore = true
		w.restart(0)
		time.Sleep(30 * time.Second)
		for _, o := range w.cloud.receivedOrders() {
			w.True(!o.Reclaimable || o.Runners >= 3)
		}
	})
}

// Guards against two faults at the first start of a service that has no traffic yet and all its
// runners at the full price. All runners were kept until cheaper ones served, at several times
// the cost of the ones needed until then. And since runners register one after the other, the
// first ones seen were taken for all, and too many were given back.
func TestFullPriceRunnersAreGivenBackOnceAllAreSeen(t *testing.T) {
	withFleet(t, 1, scaledConfig(), func(w *testFleet) {
		w.addOnDemandRunners("north", 5)
		time.Sleep(1200 * time.Millisecond)
		for _, o := range w.cloud.receivedOrders() {
			w.True(o.Reclaimable) // no runner is given back yet
		}
		for _, domain := range domains[1:] {
			w.addOnDemandRunners(domain, 5)
		}
		time.Sleep(2500 * time.Millisecond)
		w.Equal(w.cloud.wantedOnDemand(), 10) // half of the initial runners
	})
}

// Guards against underestimating the engines' speed after a restart. All daemons are killed at
// once and lose their knowledge of it. For ten seconds they assumed that no prompt was cached
// and learned nothing, took engines to be half as fast as they are, and ordered twice the
// runners while callers came back. The speed must be known again after some tens of prompts.
func TestSpeedOfEnginesIsLearnedRightAfterARestart(t *testing.T) {
	const rate, prompt = 100_000, 4000
	withFleet(t, 1, scaledConfig(), func(w *testFleet) {
		w.addFleet(1, true)
		for _, domain := range domains {
			w.runners.add(string(domain) + "a").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
				time.Sleep(time.Duration(prompt) * time.Second / rate)
				return eventAnswer("id: 1\ndata: x\n\n", io.EOF), nil
			})
		}
		w.daemons[0].kill()
		w.servedBefore = true
		d := w.restart(0)
		time.Sleep(time.Second)
		for i := range 80 {
			w.prompt(d, prompt, i)
		}
		w.True(time.Since(w.start) < 10*time.Second)
		w.True(d.EngineRate("app") > 0.8*rate)
	})
}

// prompt sends a prompt that shares no parts with others to the route of streams.
func (w *testFleet) prompt(d *daemon, tokens, i int) {
	d.Serve(context.Background(), &edge.Request{
		ID: fmt.Sprintf("prompt-%d", i), Host: host, Path: "/match/", Method: http.MethodPost, Target: "/match/",
		Header: http.Header{}, Key: key, Received: time.Now(),
		Prompt: edge.Prompt{PromptTokens: tokens, OutputTokens: 10, ExpectedOutput: 10, Prefix: []prefix.Hash{prefix.Hash(i + 1)}, PrefixTokens: []int{tokens}},
	}, &recordedReply{})
}

// addOnDemandRunners adds runners at the full price in one failure domain.
func (w *testFleet) addOnDemandRunners(domain ident.FailureDomain, n int) {
	for i := range n {
		w.addRunnerOf(domain, string(domain)+string(rune('a'+i)), false)
	}
}

// wantedOnDemand returns the number of full-price runners that the latest orders ask for in all
// failure domains; a domain without an order keeps its initial five.
func (c *cloud) wantedOnDemand() int {
	wanted := map[ident.FailureDomain]int{}
	for _, domain := range domains {
		wanted[domain] = 5
	}
	for _, o := range c.receivedOrders() {
		if !o.Reclaimable {
			wanted[o.FailureDomain] = o.Runners
		}
	}
	sum := 0
	for _, n := range wanted {
		sum += n
	}
	return sum
}

// setReclaimableUnavailable sets whether the simulated cloud refuses orders of reclaimable runners.
func (c *cloud) setReclaimableUnavailable(noReclaimable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noReclaimable = noReclaimable
}

func (c *cloud) refusedOrders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals
}

func (c *cloud) receivedOrders() []edge.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]edge.Order{}, c.orders...)
}

func (c *cloud) clearOrders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = nil
}
