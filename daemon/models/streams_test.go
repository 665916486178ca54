package models_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/engine"
)

// A caller would read words twice, words of another caller, or an answer with
// a hole or without its end. An engine's stream repeats lines, carries a line
// of the other request, leaves a token out, ends early or breaks, in turn, and
// the cause lies with the runner or the way there each time.
func TestFaultyStreamsDoNotReachTheCaller(t *testing.T) {
	for _, f := range []struct {
		fault   engine.StreamFault
		counter string
	}{
		{engine.StreamDuplicate, "stream.dropped.duplicate"},
		{engine.StreamCross, "stream.dropped.other_request"},
		{engine.StreamGap, "stream.dropped.gap"},
		{engine.StreamTruncate, "attempts.abandoned.truncated"},
		{engine.StreamBreak, "attempts.abandoned.truncated"},
		{engine.StreamStall, "attempts.abandoned.silent"},
	} {
		t.Run(string(f.fault), func(t *testing.T) {
			runCluster(t, 1, func(t *testing.T, c *cluster) {
				is := is.New(t)
				g := c.startGateway(0)
				c.engines[0].SetFaults(engine.Faults{Stream: f.fault, Streams: 2, AfterTokens: 5})
				requests := []call.ModelRequest{g.request("chat", 40), g.request("chat", 40)}
				for _, r := range requests {
					is.NoErr(g.Submit(t.Context(), r))
				}
				for _, r := range requests {
					is.True(readAll(t, g, r, 0) < silence+time.Second)
				}
				is.True(g.counter(f.counter) > 0)
			})
		})
	}
}

// A caller would read the end of its answer twice: the first runner's
// connection goes silent, a second attempt begins, and the first goes on
// sending after it was cancelled.
func TestLateLinesOfCancelledAttemptAreDropped(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		c.engines[0].SetFaults(engine.Faults{LateLines: 20})
		r := g.request("chat", 200)
		is.NoErr(g.Submit(t.Context(), r))
		time.Sleep(10 * tokenTime)
		c.announceReclaim(time.Second, 0)
		readAll(t, g, r, 0)
		is.True(c.engines[1].Counters().Accepted > 0)
	})
}

// Readers at another gateway would wait for good: the connection between the
// two daemons goes silent. The reader's gateway opens a new one; the request's
// owner is well and goes on.
func TestSilentPeerConnectionIsReopened(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		owner, other := c.startGateway(0), c.startGateway(1)
		r := owner.request("chat", 300)
		is.NoErr(owner.Submit(t.Context(), r))
		go func() {
			time.Sleep(time.Second)
			c.Silence(owner.address)
		}()
		is.True(readAll(t, other, r, 0) < silence+time.Second)
		is.Equal(other.counter("peers.reopened"), int64(1))
		is.Equal(c.engines[0].Counters().Accepted, 1)
	})
}

// Every request at a runner would fail: all its connections go silent at once,
// while new ones work. The requests stay there and keep their KV cache.
func TestRequestStaysAtRunnerWhenConnectionsGoSilent(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := g.request("chat", 300)
		is.NoErr(g.Submit(t.Context(), r))
		time.Sleep(time.Second)
		is.True(c.Silence(runnerAddress(0)) > 0)
		is.True(readAll(t, g, r, 0) <= silence+time.Second)
		is.Equal(c.engines[1].Counters().Accepted, 0)
		is.True(c.engines[0].Counters().CachedTokens > 0)
	})
}

// A caller would read half an answer as a whole one: someone else cancels its
// attempt at the engine, whose stream then ends in good order.
func TestAttemptCancelledAtEngineIsRetried(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := g.request("chat", 100)
		is.NoErr(g.Submit(t.Context(), r))
		time.Sleep(time.Second)
		is.True(c.engines[0].Cancel(string(r.ID) + ".1.1"))
		readAll(t, g, r, 0)
		is.Equal(c.engines[1].Counters().Accepted, 1)
	})
}

// A bulletin would be refused although every gateway is well: the kept
// connections to all keepers of its record have gone silent. New ones work.
func TestRecordIsStoredDespiteSilentConnections(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second, third := c.startGateway(0), c.startGateway(1), c.startGateway(2)
		for range 12 { // so that there is a connection to each
			is.NoErr(first.Submit(t.Context(), first.request("bulletin", 5)))
		}
		time.Sleep(time.Second)
		is.True(c.Silence(second.address) > 0)
		is.True(c.Silence(third.address) > 0)
		is.NoErr(first.Submit(t.Context(), first.request("bulletin", 5)))
		is.True(first.counter("records.put_failed") > 0)
	})
}
