package dispatch_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/dispatch"
)

// breakingRunner counts the requests that it has read completely. It answers the first request on
// each connection and closes the connection after the second one without an answer, or as
// breakFirst says.
type breakingRunner struct {
	listener     net.Listener
	requestsRead atomic.Int32
	// breakFirst makes the runner close each connection after reading the first request, without
	// answering it.
	breakFirst bool
}

func newBreakingRunner(t *testing.T, breakFirst bool) *breakingRunner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &breakingRunner{listener: l, breakFirst: breakFirst}
	t.Cleanup(func() { _ = l.Close() })
	go r.serve()
	return r
}

func (r *breakingRunner) address() string { return r.listener.Addr().String() }

func (r *breakingRunner) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *breakingRunner) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r.requestsRead.Add(1)
		if !first || r.breakFirst {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func actionID(suffix string) actionkey.ID { return actionkey.ID{Workspace: "huaman", Key: suffix} }

func send(s *dispatch.Sender, address, key string, body []byte) action.Result {
	c := call.ServiceCall{Service: "casos", Method: http.MethodPost, Path: "/pledges", Body: body}
	return s.Send(context.Background(), address, actionID(key), c)
}

// An action was executed twice. The runner had executed it, but the connection broke before the
// answer. Because the connection was a reused one, the transport assumed that the server had closed
// it while it was idle, and sent the action again.
func TestBrokenConnectionRunsActionOnce(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("pledge")} {
		is := is.New(t)
		runner := newBreakingRunner(t, false)
		s := dispatch.New(dispatch.DefaultConfig())

		first := send(s, runner.address(), "one", body)
		second := send(s, runner.address(), "two", body)

		is.Equal(first.Executed(), refusal.ExecutedYes)
		is.Equal(second.Executed(), refusal.ExecutedYes) // sent on a new connection
		is.Equal(runner.requestsRead.Load(), int32(2))
	}
}

// If the connection breaks after the runner has read the action, the caller must not be told "not
// executed": it would submit the action a second time.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	is := is.New(t)
	runner := newBreakingRunner(t, true)

	got := send(dispatch.New(dispatch.DefaultConfig()), runner.address(), "one", nil)

	is.Equal(got.Executed(), refusal.ExecutedUnknown)
	is.Equal(runner.requestsRead.Load(), int32(1))
}

// With the protection disabled, the runner reads the action twice. This shows that
// TestBrokenConnectionRunsActionOnce can fail.
func TestReusedConnectionRepeatsAction(t *testing.T) {
	is := is.New(t)
	runner := newBreakingRunner(t, false)
	cfg := dispatch.DefaultConfig()
	cfg.ReuseConnections = true
	s := dispatch.New(cfg)

	send(s, runner.address(), "one", nil)
	send(s, runner.address(), "two", nil)

	is.Equal(runner.requestsRead.Load(), int32(3)) // "two" was read on the old connection and on a new one
}

// The runner's VM is gone and connections to it are refused. The caller must be told "not
// executed": with "unknown" it would have to find out by other means about an action that was never
// sent.
func TestRefusedDialIsNotExecuted(t *testing.T) {
	is := is.New(t)
	runner := newBreakingRunner(t, false)
	is.NoErr(runner.listener.Close())

	got := send(dispatch.New(dispatch.DefaultConfig()), runner.address(), "one", nil)

	is.Equal(got.Executed(), refusal.ExecutedNo)
	is.Equal(got.Refusal.Reason, refusal.NoRunner)
}

// serveHTTP runs a handler on a loopback port and returns its address.
func serveHTTP(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// If a runner answers an action with a 307 redirect, the sender must not repeat the action at the
// other address: it could be executed at both.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	address := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		is.Equal(r.Header.Get(dispatch.HeaderAction), "huaman/one")
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})

	got := send(dispatch.New(dispatch.DefaultConfig()), address, "one", nil)

	is.Equal(got.Answer.Status, http.StatusTemporaryRedirect)
	is.Equal(calls.Load(), int32(1))
}

func TestRunnerRefusalIsNotExecuted(t *testing.T) {
	is := is.New(t)
	address := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(dispatch.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})

	got := send(dispatch.New(dispatch.DefaultConfig()), address, "one", nil)

	is.Equal(got.Executed(), refusal.ExecutedNo)
	is.Equal(got.Refusal.Reason, refusal.RunnerRefused)
}

// The runner's connection breaks in the middle of the answer. The caller must not get the
// incomplete answer as if it were complete.
func TestTruncatedAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	address := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	})

	got := send(dispatch.New(dispatch.DefaultConfig()), address, "one", nil)

	is.Equal(got.Executed(), refusal.ExecutedUnknown)
	is.Equal(got.Refusal.Reason, refusal.RunnerFailed)
}
