package engine

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/transport/engineapi"

	client "geraniumstack.org/geraniumstack/transport/engine"
)

const idleTimeout = 2 * time.Second

// testNetwork is an in-memory network with engines that are closed at the end
// of the test.
type testNetwork struct {
	t       *testing.T
	network *pipe.Network
	cleanup []func()
}

// runInBubble runs a test in a testing/synctest bubble, which has virtual
// time.
func runInBubble(t *testing.T, test func(is *is.I, w *testNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testNetwork{t: t, network: pipe.NewNetwork()}
		test(is.New(t), w)
		for _, f := range w.cleanup {
			f()
		}
	})
}

func (w *testNetwork) client() *http.Client {
	c := w.network.Client()
	w.cleanup = append(w.cleanup, c.CloseIdleConnections)
	return c
}

// startEngine starts an engine that listens on port 80 of a host named after
// its runner ID.
func (w *testNetwork) startEngine(cfg Config) (*Engine, *client.Client) {
	address := cfg.RunnerID + ":80"
	l, err := w.network.Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	e := New(cfg, WithClient(w.client()))
	server := &http.Server{Handler: e.Handler()}
	go server.Serve(l)
	w.cleanup = append(w.cleanup, e.Close, func() { server.Close() })
	return e, client.New(address, w.client())
}

func collect(c *client.Client, r engineapi.GenerateRequest, idle time.Duration) ([]engineapi.GenerateEvent, error) {
	var events []engineapi.GenerateEvent
	err := c.Generate(context.Background(), r, idle, func(e engineapi.GenerateEvent) error {
		if !e.Heartbeat {
			events = append(events, e)
		}
		return nil
	})
	return events, err
}

func TestGenerateOverHTTP(t *testing.T) {
	runInBubble(t, func(is *is.I, w *testNetwork) {
		e, c := w.startEngine(DefaultConfig("r", "m", "1"))
		text := prompt("a", 20)
		events, err := collect(c, request("x", text, 5), idleTimeout)
		is.NoErr(err)
		is.Equal(len(events), 6)
		for i, want := range Tokens("m", text, 5) {
			is.Equal(events[i].Token, want)
		}
		is.Equal(events[5].FinishReason, FinishLength)
		is.Equal(e.Counters().Finished, 1)

		unknown := request("y", text, 5)
		unknown.Model = "n"
		_, err = collect(c, unknown, idleTimeout)
		var refused *client.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Body.Code, engineapi.CodeNotLoaded)
		is.True(!client.MayHaveStarted(err))
	})
}

// A stream stalls while its connection stays open: neither tokens nor
// heartbeats arrive, but the engine continues to compute. The client must end
// the stream after its idle timeout, and it must be possible to cancel the
// attempt over a new connection.
func TestStalledStreamIsSilent(t *testing.T) {
	runInBubble(t, func(is *is.I, w *testNetwork) {
		e, c := w.startEngine(DefaultConfig("r", "m", "1"))
		e.SetFaults(Faults{Stream: StreamStall, Streams: 1, AfterTokens: 2})
		events, err := collect(c, request("x", "a b", 16000), idleTimeout)
		var silent *client.StreamIdleError
		is.True(errors.As(err, &silent))
		is.True(client.MayHaveStarted(err))
		is.Equal(len(events), 2)
		is.NoErr(c.Cancel(context.Background(), "x/1"))
	})
}

// A client must not take a response for complete that ended early, repeats
// lines, contains a line of another attempt or lacks a token. Each of these
// faults must be visible in the lines that the client receives.
func TestStreamFaults(t *testing.T) {
	runInBubble(t, func(is *is.I, w *testNetwork) {
		e, c := w.startEngine(DefaultConfig("r", "m", "1"))
		run := func(id string, fault StreamFault) ([]engineapi.GenerateEvent, error) {
			e.SetFaults(Faults{Stream: fault, Streams: 1, AfterTokens: 2})
			return collect(c, request(id, "a b", 4), idleTimeout)
		}
		events, err := run("truncate", StreamTruncate)
		var truncated *client.TruncatedStreamError
		is.True(errors.As(err, &truncated))
		is.Equal(len(events), 2)
		events, err = run("break", StreamBreak)
		var broken *client.ConnectionLostError
		is.True(errors.As(err, &broken))
		is.Equal(len(events), 2)
		events, err = run("duplicate", StreamDuplicate)
		is.NoErr(err)
		is.Equal(len(events), 7) // two tokens once, two tokens twice and the final line once
		events, err = run("cross", StreamCross)
		is.NoErr(err)
		is.Equal(events[2].AttemptID, StrayAttemptID)
		events, err = run("gap", StreamGap)
		is.NoErr(err)
		is.Equal(events[2].Offset, 3)
	})
}

// Token lines that were already on their way when the caller cancelled still
// arrive; after them, the stream ends.
func TestLateLinesAfterCancel(t *testing.T) {
	runInBubble(t, func(is *is.I, w *testNetwork) {
		e, c := w.startEngine(DefaultConfig("r", "m", "1"))
		e.SetFaults(Faults{LateLines: 3})
		cancelled, after := false, 0
		err := c.Generate(context.Background(), request("x", "a b", 16000), idleTimeout, func(ev engineapi.GenerateEvent) error {
			if cancelled && ev.Token != "" {
				after++
			}
			if !cancelled {
				cancelled = true
				return c.Cancel(context.Background(), "x/1")
			}
			return nil
		})
		is.NoErr(err)
		is.True(after >= 2)
		is.Equal(e.Counters().Cancelled, 1)
	})
}

func TestExportAndImportOverHTTP(t *testing.T) {
	runInBubble(t, func(is *is.I, w *testNetwork) {
		source, from := w.startEngine(DefaultConfig("r1", "m", "1"))
		_, to := w.startEngine(DefaultConfig("r2", "m", "1"))
		ctx := context.Background()
		streaming := make(chan struct{})
		ended := make(chan error)
		go func() {
			started := false
			ended <- from.Generate(ctx, request("x", prompt("a", 64), 16000), idleTimeout, func(engineapi.GenerateEvent) error {
				if !started {
					started = true
					close(streaming)
				}
				return nil
			})
		}()
		<-streaming
		offer, err := from.Export(ctx, "x/1")
		is.NoErr(err)
		is.True(offer.Tokens >= 65)

		// The first transfer fails halfway and imports nothing. The second succeeds.
		source.SetFaults(Faults{FailExports: 1})
		order := engineapi.ImportRequest{Source: "r1:80", Handle: offer.Handle}
		_, err = to.Import(ctx, order)
		var refused *client.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Body.Code, engineapi.CodeTransferFailed)
		imported, err := to.Import(ctx, order)
		is.NoErr(err)
		is.Equal(imported.Tokens, offer.Tokens)

		source.Die()
		err = <-ended
		var broken *client.ConnectionLostError
		is.True(errors.As(err, &broken))
		_, err = from.Load(ctx)
		is.True(err != nil)
	})
}

func TestHeartbeatsWhileWaiting(t *testing.T) {
	runInBubble(t, func(is *is.I, w *testNetwork) {
		cfg := DefaultConfig("r", "m", "1")
		cfg.PrefillRate = 10 // the prompt takes 100 s
		_, c := w.startEngine(cfg)
		beats := 0
		err := c.Generate(context.Background(), request("x", prompt("a", 1000), 1), idleTimeout, func(e engineapi.GenerateEvent) error {
			if e.Heartbeat {
				beats++
			}
			return nil
		})
		is.NoErr(err)
		is.True(beats >= 198 && beats <= 200)
	})
}
