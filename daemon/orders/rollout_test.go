package orders_test

import (
	"slices"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// watch checks an invariant twice a second until a condition holds.
func (w *world) watch(bound time.Duration, reached func() bool, invariant func()) {
	for end := time.Now().Add(bound); !reached(); time.Sleep(500 * time.Millisecond) {
		w.True(time.Now().Before(end)) // reached within the bound
		invariant()
	}
}

func (w *world) loads() map[string]engineapi.Load {
	out := map[string]engineapi.Load{}
	for _, vm := range w.running() {
		out[vm.ID] = w.engine(vm.Address).Load()
	}
	return out
}

func loading(l engineapi.Load) bool {
	return slices.ContainsFunc(l.Models, func(m engineapi.LoadedModel) bool { return m.Loading })
}

// An operator changes a model's version. Callers must not see capacity fall: at
// most a quarter of the runners load at once, and each serves the old version
// until it has the new one; in the end only the new one is there.
func TestRollingUpdate(t *testing.T) {
	bubble(t, base(8, false), lease.DefaultTiming(), func(w *world) {
		w.settled(8, "1")
		w.version("2")
		w.watch(10*time.Minute, func() bool { return w.serving("2") == 8 && w.serving("1") == 0 }, func() {
			busy := 0
			for _, l := range w.loads() {
				w.True(holds(l, "1") || holds(l, "2"))
				if loading(l) {
					busy++
				}
			}
			w.True(busy <= 2)
		})
	})
}

// A manifest asks for a canary on a quarter of the runners. The others keep the
// version, and when the canary is withdrawn all are as before.
func TestCanary(t *testing.T) {
	bubble(t, base(8, false), lease.DefaultTiming(), func(w *world) {
		w.settled(8, "1")
		w.apply(func(m *manifest.Manifest) { m.Models[0].Canary = &manifest.Canary{Version: "2", Share: 0.25} })
		w.until(2*time.Minute, "the canary", func() bool { return w.serving("2") == 2 && w.serving("1") == 6 })
		time.Sleep(2 * time.Minute)
		w.Equal(w.serving("2"), 2)
		w.Equal(w.serving("1"), 6)
		w.apply(func(m *manifest.Manifest) { m.Models[0].Canary = nil })
		w.until(2*time.Minute, "the canary's end", func() bool { return w.serving("1") == 8 && w.serving("2") == 0 })
	})
}

// A manifest gives a service's runners a role. All of them must take it, one that
// starts later too, and a withdrawn role leaves them as they are.
func TestRole(t *testing.T) {
	bubble(t, base(4, false), lease.DefaultTiming(), func(w *world) {
		inRole := func(role string) int {
			n := 0
			for _, l := range w.loads() {
				if l.Role == role {
					n++
				}
			}
			return n
		}
		w.settled(4, "1")
		w.apply(func(m *manifest.Manifest) { m.Services[0].Role = "decode" })
		w.until(2*time.Minute, "the role", func() bool { return inRole("decode") == 4 })
		w.apply(func(m *manifest.Manifest) { m.Services[0].Runners = 6 })
		w.until(5*time.Minute, "the role on new runners", func() bool { return inRole("decode") >= 6 })
		w.apply(func(m *manifest.Manifest) { m.Services[0].Role = "" })
		time.Sleep(2 * time.Minute)
		w.True(inRole("decode") >= 6)
	})
}

// An operator names a version that the weight store does not have. The runners
// must go on with the old one, and the store, which all share, must not be
// asked every second for ever.
func TestMissingWeightsBackOff(t *testing.T) {
	bubble(t, base(2, true), lease.DefaultTiming(), func(w *world) {
		w.settled(2, "1")
		before, _ := w.weights.Calls()
		w.version("nowhere")
		time.Sleep(10 * time.Minute)
		after, _ := w.weights.Calls()
		w.True(after-before >= 4)
		w.True(after-before <= 20)
		w.Equal(w.serving("1"), 2)
	})
}

// A runner has its notice, and the directory does not know yet. It says so
// itself with its report; an order would make it load weights for nothing.
func TestLeavingRunnerGetsNoOrder(t *testing.T) {
	bubble(t, base(2, true), lease.DefaultTiming(), func(w *world) {
		w.settled(2, "1")
		leaving := w.running()[0]
		w.engine(leaving.Address).Notice(time.Minute)
		time.Sleep(time.Second)
		noticed := time.Now()
		w.version("2")
		time.Sleep(30 * time.Second)
		for _, o := range w.orders() {
			w.True(o.address != leaving.Address || o.at.Before(noticed))
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.True(!w.announced[leaving.Address].IsZero()) // and the others are told
	})
}

// A shard is as it should be for hours. Asking its runners every second for
// nothing would cost more than all other control; a runner that loses a model
// must be mended all the same.
func TestSettledShardIsLookedAtSeldom(t *testing.T) {
	bubble(t, base(2, true), lease.DefaultTiming(), func(w *world) {
		w.settled(2, "1")
		before := w.reported()
		time.Sleep(5 * time.Minute)
		w.True(w.reported()-before <= 2*31)
		w.NoErr(w.engine(w.running()[0].Address).Order(engineapi.Order{
			Kind: engineapi.OrderUnload, Model: "m", Version: "1", Fencing: 1 << 40,
		}))
		w.until(time.Second, "the loss", func() bool { return w.serving("1") == 1 })
		w.until(15*time.Second, "an order", func() bool { return w.counter("orders.failed.runner_refused") > 0 })
	})
}

// reported counts the reports that were asked for.
func (w *world) reported() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports
}
