package orders_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const (
	shard = "rollout/chat/1/0"
	// reaction is on top of the lease's bounds: a tick, a round and calls.
	reaction = 3 * time.Second
)

// An operator's change of version stays undone: the daemon that orders the
// runners died a moment ago. Another must take over within the stated bound.
func TestHolderDies(t *testing.T) {
	for _, checks := range []bool{true, false} {
		timing := lease.DefaultTiming()
		bubble(t, base(2, checks), timing, func(w *world) {
			w.settled(2, "1")
			dead := w.holder(shard)
			dead.kill()
			w.version("2")
			before := len(w.orders())
			bound := timing.MaxTakeover() + reaction
			if checks {
				bound -= timing.Quarantine()
			}
			w.until(bound, "order of the next holder", func() bool { return len(w.orders()) > before })
			w.True(w.orders()[before].daemon != dead.id)
		})
	}
}

// A holder has decided on an order and is paused past its lease. Another takes
// over and orders. Then the first wakes and sends: the runner would go back to
// what the old holder wanted.
func pausedHolder(t *testing.T, checks bool, timing lease.Timing, check func(w *world, late int)) {
	bubble(t, base(2, checks), timing, func(w *world) {
		w.settled(2, "1")
		paused := w.holder(shard)
		paused.at("order", paused.pause)
		w.version("2")
		time.Sleep(lease.DefaultTiming().MaxPause)
		w.version("3")
		paused.resume()
		w.until(10*time.Minute, "version 3 everywhere", func() bool { return w.serving("3") == 2 })
		time.Sleep(time.Minute)
		w.Equal(w.serving("3"), 2) // and it stays
		w.Equal(w.serving("2"), 0)
		late := 0
		for _, o := range w.orders() {
			if o.daemon == paused.id && o.order.Version == "2" {
				late++
			}
		}
		check(w, late)
	})
}

func TestPausedHolderBeforeRunnersThatDontCheck(t *testing.T) {
	pausedHolder(t, false, lease.DefaultTiming(), func(w *world, late int) {
		w.True(late > 0) // the order did go out late
		w.Equal(w.staleOrders(), 0)
	})
}

func TestPausedHolderBeforeRunnersThatCheck(t *testing.T) {
	pausedHolder(t, true, lease.DefaultTiming(), func(w *world, late int) {
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
func TestCheckSeesMissingQuarantine(t *testing.T) {
	broken := lease.DefaultTiming()
	broken.MaxPause = 0
	pausedHolder(t, false, broken, func(w *world, _ int) { w.True(w.staleOrders() > 0) })
}

// The answer to the lease's create is lost after it took effect. Nobody would
// order the runners until the lease lapses, and the candidate that holds it
// does not know.
func TestAnswerOfCreateLost(t *testing.T) {
	timing := lease.DefaultTiming()
	bubble(t, base(2, true), timing, func(w *world) {
		w.store.SetFaults(kvserver.Faults{LoseAnswers: 1, LosePrefix: "lease/rollout"})
		w.until(time.Second, "a holder", func() bool { return w.holder(shard) != nil })
		w.Equal(w.store.Faults().LoseAnswers, 0)
		w.until(startTime+reaction, "the first order", func() bool { return len(w.orders()) > 0 })
		w.Equal(w.counter("orders.lease_acquired"), int64(2)) // the fleet's and the shard's
	})
}

// The key-value service is down for minutes while an operator's change is in
// force already. Nobody can know who holds what, so nobody may order anything
// or start VMs; after the outage the change must be carried out.
func TestKeyValueServiceDownForLong(t *testing.T) {
	timing := lease.DefaultTiming()
	bubble(t, base(2, false), timing, func(w *world) {
		w.settled(2, "1")
		w.store.SetFaults(kvserver.Faults{Outage: true})
		time.Sleep(timing.TTL)
		before := len(w.orders())
		w.apply(func(m *manifest.Manifest) {
			m.Models[0].Version = "2"
			m.Services[0].Runners = 4
		})
		time.Sleep(10 * time.Minute)
		w.Equal(len(w.orders()), before)
		w.Equal(len(w.running()), 2)
		w.store.SetFaults(kvserver.Faults{})
		w.until(timing.MaxTakeover()+reaction, "orders again", func() bool { return len(w.orders()) > before })
		w.settled(4, "2")
		w.Equal(len(w.running()), 4)
	})
}

// A service is taken out of the manifest. Its leases must be given back, or the
// daemons renew them for good.
func TestVanishedServiceGivesLeasesBack(t *testing.T) {
	m := base(1, true)
	m.Services = append(m.Services, manifest.Service{Name: "plain", Kind: manifest.KindPlain, Runners: 1})
	bubble(t, m, lease.DefaultTiming(), func(w *world) {
		w.until(5*time.Second, "leases", func() bool { return len(w.leases()) == 3 })
		w.apply(func(m *manifest.Manifest) { m.Services = m.Services[:1] })
		time.Sleep(time.Second)
		w.Equal(w.leases(), []string{"lease/fleet/chat", "lease/" + shard})
	})
}

// A daemon is shut down gracefully. Its successor need not wait for the lease
// to lapse.
func TestShutdownGivesLeasesBack(t *testing.T) {
	bubble(t, base(1, true), lease.DefaultTiming(), func(w *world) {
		w.settled(1, "1")
		first := w.holder(shard)
		first.cancel()
		time.Sleep(lease.DefaultTiming().ReadKey + time.Second)
		w.True(w.holder(shard) != nil)
		w.True(w.holder(shard) != first)
		first.done <- <-first.done
	})
}
