package models_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/engine"
)

// Guards against duplicate tokens, tokens of another request, missing tokens
// and truncated answers. An engine's stream repeats lines, carries a line of
// the other request, omits a token, ends early, breaks or stalls, in turn. The
// metrics must name the cause each time.
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

// Guards against tokens that are delivered twice: the runner receives a reclaim
// notice, a second attempt begins at another runner, and the first runner goes
// on sending lines after its attempt was cancelled.
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

// Guards against readers at another gateway that wait forever because the
// connection between the two daemons has gone silent. The reader's gateway must
// open a new connection, while the request's owner, which is healthy, goes on.
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

// Guards against the failure of all requests at a runner when all connections
// to it go silent at once, while new connections work. The requests must stay
// at the runner and reuse their KV cache.
func TestRequestStaysAtRunnerWhenConnectionsGoSilent(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := g.request("chat", 300)
		is.NoErr(g.Submit(t.Context(), r))
		time.Sleep(time.Second)
		is.True(c.Silence(address(0)) > 0)
		is.True(readAll(t, g, r, 0) <= silence+time.Second)
		is.Equal(c.engines[1].Counters().Accepted, 0)
		is.True(c.engines[0].Counters().CachedTokens > 0)
	})
}

// Guards against a partial answer that is taken for complete: the attempt is
// cancelled at the engine, but not by its gateway, and the engine's stream then
// ends without an error.
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

// Guards against the refusal of a request of the deferrable class "bulletin"
// although every gateway is healthy:
// the pooled connections to all keepers of its record have gone silent, but new
// connections work.
func TestRecordIsStoredDespiteSilentConnections(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first, second, third := c.startGateway(0), c.startGateway(1), c.startGateway(2)
		for range 12 { // enough for a pooled connection to each keeper
			is.NoErr(first.Submit(t.Context(), first.request("bulletin", 5)))
		}
		time.Sleep(time.Second)
		is.True(c.Silence(second.address) > 0)
		is.True(c.Silence(third.address) > 0)
		is.NoErr(first.Submit(t.Context(), first.request("bulletin", 5)))
		is.True(first.counter("records.put_failed") > 0)
	})
}
