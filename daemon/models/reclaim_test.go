package models_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// submitAndRunOneSecond submits a request of the deferrable class "bulletin",
// whose whole answer has maxTokens tokens, and waits one second, in which runner
// 0 emits the first tokens.
func submitAndRunOneSecond(t *testing.T, g *gateway, maxTokens int) call.ModelRequest {
	t.Helper()
	r := g.request("bulletin", maxTokens)
	if err := g.Submit(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	return r
}

func TestReclaimNoticeMovesKVCache(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := submitAndRunOneSecond(t, g, 2000)
		c.announceReclaim(20*time.Second, 0)
		is.True(readAll(t, g, r, 0) < time.Second)
		is.Equal(g.counter("reclaim.planned.move"), int64(1))
		is.True(c.ledger.TokenTotals().Recomputed < 20) // the tokens emitted during the transfer
	})
}

func TestShortAnswerFinishesInPlace(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := submitAndRunOneSecond(t, g, 150)
		c.announceReclaim(20*time.Second, 0)
		readAll(t, g, r, 0)
		is.Equal(g.counter("reclaim.planned.finish"), int64(1))
		is.Equal(c.ledger.TokenTotals().Recomputed, 0)
	})
}

// The transfer of a KV cache fails. The answer must continue at the target
// runner all the same, which recomputes the KV cache.
func TestFailedCacheExportFallsBackToRecomputation(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		c.engines[0].SetFaults(engine.Faults{FailExports: 1})
		r := submitAndRunOneSecond(t, g, 2000)
		c.announceReclaim(20*time.Second, 0)
		is.True(readAll(t, g, r, 0) < time.Second)
		is.Equal(g.counter("attempts.abandoned.export_failed"), int64(1))
	})
}

// A second reclaim notice concerns the target of a move that is in progress.
// The stream must continue at a third runner without losing tokens.
func TestSecondNoticeForMoveTarget(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := submitAndRunOneSecond(t, g, 3000)
		c.announceReclaim(30*time.Second, 0)
		time.Sleep(20 * time.Millisecond)
		firstTarget := 1
		if c.engines[2].Load().Running > 0 {
			firstTarget = 2
		}
		c.announceReclaim(10*time.Second, firstTarget)
		readAll(t, g, r, 0)
		is.True(g.counter("reclaim.planned.move") >= 2)
		is.True(c.engines[3-firstTarget].Counters().Accepted > 0)
	})
}

// The VM ends long before the announced time, during a move. The target must
// continue the answer from the tokens that the gateway has received.
func TestRunnerDiesBeforeNoticeExpires(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := submitAndRunOneSecond(t, g, 2000)
		c.announceReclaim(20*time.Second, 0)
		time.Sleep(50 * time.Millisecond)
		c.engines[0].Die()
		is.True(readAll(t, g, r, 0) < time.Second)
		is.True(c.engines[1].Counters().ComputedTokens > 100)
	})
}

// Guards against dropping an accepted bulletin when all runners are reclaimed
// at once. It must wait until there is a runner again, minutes later.
func TestDeferrableRequestWaitsForNewRunner(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		g := c.startGateway(0)
		r := submitAndRunOneSecond(t, g, 3000)
		c.announceReclaim(5*time.Second, 0, 1)
		time.Sleep(5 * time.Minute)
		cfg := engine.DefaultConfig("runner-9", model, "1")
		client := c.Client()
		e := engine.New(cfg, engine.WithTokenCounter(c.ledger), engine.WithClient(client))
		c.stops = append(c.stops, e.Close)
		c.serve("runner-9:80", e.Handler(), client)
		c.updateDirectory(func() {
			c.runners = []view.Runner{{ID: "runner-9", Address: "runner-9:80", Service: model, State: view.Live}}
		})
		readAll(t, g, r, 0)
	})
}

// Guards against the loss of accepted bulletins when a gateway dies during its
// hand-off. Some requests may have reached their new owners and the others not.
// The keepers of the records must run the others.
func TestGatewayDiesDuringHandOff(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second, _ := c.startGateway(0), c.startGateway(1), c.startGateway(2)
		var all []call.ModelRequest
		for range 12 {
			r := first.request("bulletin", 400)
			is.NoErr(first.Submit(t.Context(), r))
			all = append(all, r)
		}
		time.Sleep(2500 * time.Millisecond)
		go func() { _ = first.Drain(context.Background()) }()
		time.Sleep(time.Microsecond)
		c.kill(first)
		time.Sleep(3 * time.Second)
		c.removeFromDirectory(first)
		for _, r := range all {
			readAll(t, second, r, 10)
		}
		is.Equal(c.ledger.TokenTotals().Recomputed < 12*400, true)
	})
}

// Guards against two daemons that run the same request and serve different
// answers: the owner is only cut off from the network, is considered gone, and
// comes back. On its next renewal it must learn of the higher epoch and stop.
func TestIsolatedOwnerYieldsToAdopter(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		firstGateway, second, third := c.startGateway(0), c.startGateway(1), c.startGateway(2)
		r := firstGateway.request("bulletin", 3000)
		is.NoErr(firstGateway.Submit(t.Context(), r))
		time.Sleep(3 * time.Second)
		firstGateway.isolated.Store(true)
		c.removeFromDirectory(firstGateway) // although firstGateway still runs
		d := view.Daemon{ID: "gw-0", Incarnation: firstGateway.self, FailureDomain: failureDomain(0), PeerAddress: firstGateway.address, State: view.Live}
		for _, g := range []*gateway{firstGateway, second, third} {
			c.Silence(g.address)
		}
		time.Sleep(20 * time.Second)
		firstGateway.isolated.Store(false)
		c.updateDirectory(func() { c.daemons = append(c.daemons, d) })
		readAll(t, firstGateway, r, 0)
		is.Equal(firstGateway.counter("requests.superseded")+second.counter("requests.superseded")+third.counter("requests.superseded"), int64(1))
	})
}

// A read of a request that no daemon knows must be refused without waiting.
func TestUnknownRequestIsRefusedImmediately(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second := c.startGateway(0), c.startGateway(1)
		r := first.request("chat", 10)
		began := time.Now()
		err := second.Read(t.Context(), workspace, r.ID, 0, func(call.Event) error { return nil })
		is.Equal(refusal.From(err).Reason, refusal.UnknownRequest)
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against a bulletin that runs twice after its gateway shut down in an
// orderly way. The request was transferred to a daemon that joined later; the
// daemon that stored the record since acceptance sees that the old owner is
// gone and must not adopt the request.
func TestTransferredRequestIsNotAdoptedAgain(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		all := []*gateway{c.startGateway(0), c.startGateway(1)}
		first := all[0]
		var requests []call.ModelRequest
		for range 6 {
			r := first.request("bulletin", 1500)
			is.NoErr(first.Submit(t.Context(), r))
			requests = append(requests, r)
		}
		all = append(all, c.startGateway(2), c.startGateway(3), c.startGateway(5))
		is.NoErr(first.Drain(t.Context()))
		time.Sleep(4 * time.Second)
		c.kill(first)
		c.removeFromDirectory(first)
		time.Sleep(10 * time.Second)
		for _, g := range all {
			is.Equal(g.counter("requests.adopted.owner_gone"), int64(0))
		}
		for _, r := range requests {
			readAll(t, all[1], r, 0)
		}
	})
}

// Guards against the loss of bulletins after two events in a row: their gateway
// dies, and the keeper of their records receives its reclaim notice before it
// has run them.
func TestKeeperDrainsRightAfterOwnerDeath(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second, third := c.startGateway(0), c.startGateway(1), c.startGateway(2)
		var requests []call.ModelRequest
		for range 6 {
			r := first.request("bulletin", 100)
			is.NoErr(first.Submit(t.Context(), r))
			requests = append(requests, r)
		}
		c.kill(first)
		c.removeFromDirectory(first)
		is.NoErr(second.Drain(t.Context()))
		c.kill(second)
		c.removeFromDirectory(second)
		for _, r := range requests {
			readAll(t, third, r, 0)
		}
	})
}

// A gateway with many requests must complete its drain in time, so the requests
// are sent in several messages.
func TestDrainOfManyRequests(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second := c.startGateway(0), c.startGateway(1)
		for range 150 {
			is.NoErr(first.Submit(t.Context(), first.request("bulletin", 200)))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		is.NoErr(first.Drain(ctx))
		is.Equal(first.counter("requests.passed_on"), int64(150))
		c.kill(first)
		time.Sleep(time.Minute)
		is.Equal(second.counter("requests.answered.bulletin"), int64(150))
	})
}
