package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"

	standin "geraniumstack.org/geraniumstack/standin/engine"
)

const (
	address     = "10.0.0.1:80"
	idleTimeout = 2 * time.Second
)

// withClient runs a test with a client of the handler over an in-memory network.
func withClient(t *testing.T, handler http.Handler, test func(is *is.I, n *pipe.Network, c *engine.Client)) {
	is := is.New(t)
	n := pipe.NewNetwork()
	l, err := n.Listen(address)
	is.NoErr(err)
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	connections := n.Client()
	test(is, n, engine.New(address, connections))
	connections.CloseIdleConnections()
	server.Close()
}

func generate(c *engine.Client, maxTokens int, sink func(engineapi.GenerateEvent) error) error {
	r := engineapi.GenerateRequest{RequestID: "r", AttemptID: "a", Model: "m", Prompt: "p", MaxTokens: maxTokens}
	return c.Generate(context.Background(), r, idleTimeout, sink)
}

func discardEvent(engineapi.GenerateEvent) error { return nil }

// The connection to a healthy engine dies without an error in the middle of a stream. The client
// must end the stream after its idle timeout, and the next attempt must succeed immediately on a
// new connection.
func TestSilentConnectionTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.New(standin.DefaultConfig("r", "m", "1"))
		withClient(t, e.Handler(), func(is *is.I, n *pipe.Network, c *engine.Client) {
			var last time.Time
			err := generate(c, 1000, func(ev engineapi.GenerateEvent) error {
				last = time.Now()
				if ev.Offset == 100 {
					n.Silence(address)
				}
				return nil
			})
			var idle *engine.StreamIdleError
			is.True(errors.As(err, &idle))
			is.Equal(time.Since(last), idleTimeout)
			is.True(engine.MayHaveStarted(err))
			start := time.Now()
			is.NoErr(c.Cancel(context.Background(), "a"))
			is.NoErr(generate(c, 1, discardEvent))
			is.True(time.Since(start) < idleTimeout)
			is.Equal(e.Counters().Cancelled, 1)
		})
		e.Close()
	})
}

func TestDialFailureMeansNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		err := generate(engine.New("10.0.0.2:80", pipe.NewNetwork().Client()), 1, discardEvent)
		var connect *engine.ConnectError
		is.True(errors.As(err, &connect))
		is.True(!engine.MayHaveStarted(err))
	})
}

// An answer that isn't a refusal of the protocol doesn't prove that nothing was executed: for
// example, the engine's VM disappears during the call, or a proxy sends an error page instead of
// the stream.
func TestUnknownOutcomesMayHaveStarted(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"page":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502); io.WriteString(w, "<html>") },
		"broken":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":  func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body); <-r.Context().Done() },
		"garbage": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{\n") },
		"empty":   func(http.ResponseWriter, *http.Request) {},
		"failed":  func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"error":"out of memory"}`) },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withClient(t, handler, func(is *is.I, _ *pipe.Network, c *engine.Client) {
					err := generate(c, 1, discardEvent)
					is.True(err != nil)
					is.True(engine.MayHaveStarted(err))
				})
			})
		})
	}
}

// stopError is returned by a sink to end the stream.
type stopError struct{}

func (*stopError) Error() string { return "stop" }

func TestSinkErrorIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.New(standin.DefaultConfig("r", "m", "1"))
		withClient(t, e.Handler(), func(is *is.I, _ *pipe.Network, c *engine.Client) {
			err := generate(c, 100, func(engineapi.GenerateEvent) error { return &stopError{} })
			is.Equal(err, &stopError{})
			time.Sleep(time.Second)
			is.Equal(e.Counters().Cancelled, 1) // the engine noticed the closed connection
		})
		e.Close()
	})
}
