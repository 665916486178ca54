package models_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/state/refusal"
)

func TestRequestIsReadableAtAnyGateway(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second := c.startGateway(0), c.startGateway(1)
		r := first.request("chat", 40)
		is.NoErr(first.Submit(t.Context(), r))
		readAll(t, second, r, 7)
		readAll(t, first, r, 0)
		readAll(t, second, r, 40)
	})
}

func TestRequestIsHiddenFromOtherWorkspaces(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second := c.startGateway(0), c.startGateway(1)
		r := first.request("chat", 4)
		is.NoErr(first.Submit(t.Context(), r))
		for _, g := range []*gateway{first, second} {
			err := g.Read(t.Context(), "other", r.ID, 0, func(call.Event) error {
				t.Error("received an event of a request that belongs to another workspace")
				return nil
			})
			is.Equal(refusal.From(err).Reason, refusal.UnknownRequest)
		}
	})
}

// Guards against a caller that waits forever: the connection to an engine
// carries two tokens and then nothing, as if a network device had lost track of
// it. The runner is healthy, so the gateway must reconnect to the same runner.
func TestSilentEngineConnectionIsReopenedAtTheSameRunner(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		c.engines[0].SetFaults(engine.Faults{Stream: engine.StreamStall, Streams: 1, AfterTokens: 2})
		r := g.request("chat", 10)
		is.NoErr(g.Submit(t.Context(), r))
		began := time.Now()
		readAll(t, g, r, 0)
		is.True(time.Since(began) < 4*time.Second)
		is.Equal(c.engines[1].Counters().Accepted, 0)
		is.Equal(g.counter("attempts.abandoned.silent"), int64(1))
	})
}

// Guards against the loss of a partly read answer: its runner dies after some
// tokens. Another runner must continue after the tokens that the caller has
// received.
func TestRequestContinuesAfterRunnerDeath(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := g.request("chat", 20)
		is.NoErr(g.Submit(t.Context(), r))
		time.Sleep(10*tokenTime + tokenTime/2)
		c.engines[0].Die()
		readAll(t, g, r, 0)
		is.Equal(c.engines[1].Counters().Accepted, 1)
	})
}

// Guards against reporting a request as not executed although an attempt may
// have run: only refusals before the first line of a stream count as not
// executed.
func TestRefusalByAllRunnersIsReportedAsNotExecuted(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		c.engines[0].SetFaults(engine.Faults{Refuse: true})
		c.engines[1].SetFaults(engine.Faults{Refuse: true})
		r := g.request("chat", 5)
		is.NoErr(g.Submit(t.Context(), r))
		err := g.Read(t.Context(), workspace, r.ID, 0, func(call.Event) error { return nil })
		final := refusal.From(err)
		is.Equal(final.Reason, refusal.RunnerFailed)
		is.Equal(final.Executed, refusal.ExecutedNo)
		is.True(final.RetryAfter > 0)
	})
}

// Guards against the loss of an accepted bulletin: the process of its gateway
// dies right after accepting it, without a hand-off. The daemon that stores its
// record must run it.
func TestRecordedRequestSurvivesGatewayDeath(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second, _ := c.startGateway(0), c.startGateway(1), c.startGateway(2)
		r := first.request("bulletin", 200)
		is.NoErr(first.Submit(t.Context(), r))
		c.kill(first)
		c.removeFromDirectory(first)
		readAll(t, second, r, 30)
	})
}

// Guards against answers that stop when their gateway's VM is reclaimed:
// requests of every class must move to other daemons, and readers at the old
// gateway must follow them.
func TestDrainTransfersRequests(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second, _ := c.startGateway(0), c.startGateway(1), c.startGateway(2)
		chat, bulletin := first.request("chat", 300), first.request("bulletin", 300)
		is.NoErr(first.Submit(t.Context(), chat))
		is.NoErr(first.Submit(t.Context(), bulletin))
		read := make(chan struct{})
		go func() {
			defer close(read)
			readAll(t, first, chat, 0)
		}()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.NoErr(first.Drain(ctx))
		err := first.Submit(t.Context(), first.request("chat", 1))
		is.Equal(refusal.From(err).Reason, refusal.Draining)
		readAll(t, second, bulletin, 50)
		<-read
		is.Equal(first.counter("requests.passed_on"), int64(2))
	})
}

func TestCancelAtAnyGateway(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second := c.startGateway(0), c.startGateway(1)
		r := first.request("bulletin", 3000)
		is.NoErr(first.Submit(t.Context(), r))
		time.Sleep(time.Second)
		err := second.Cancel(t.Context(), "other", r.ID)
		is.Equal(refusal.From(err).Reason, refusal.UnknownRequest)
		is.NoErr(second.Cancel(t.Context(), workspace, r.ID))
		err = second.Read(t.Context(), workspace, r.ID, 0, func(call.Event) error { return nil })
		is.Equal(refusal.From(err).Reason, refusal.Cancelled)
		time.Sleep(time.Second)
		is.Equal(c.engines[0].Load().Running, 0)
	})
}
