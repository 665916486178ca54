package dispatch_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/dispatch"
)

// resetPlays is how often a reset is played; the outcome depends on who is told of it first.
const resetPlays = 20

// answerRaw answers one request on each connection with raw bytes once its head has been read, and then does with the
// connection what end says.
func answerRaw(t *testing.T, answer string, end func(l net.Listener, conn *net.TCPConn, in io.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				end(l, conn.(*net.TCPConn), request.Body)
			}()
		}
	}()
	return l.Addr().String()
}

func resetAfter(pause time.Duration) func(net.Listener, *net.TCPConn, io.Reader) {
	return func(_ net.Listener, conn *net.TCPConn, _ io.Reader) {
		time.Sleep(pause)
		// Without it the connection ends in order, and the test fails.
		_ = conn.SetLinger(0)
	}
}

func readOn(_ net.Listener, conn *net.TCPConn, in io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, in)
}

// Guards against a part of an answer that is kept as an action's result, as its connection is reset while the action is
// still being written.
func TestPartBeforeResetIsNoResult(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "a moment later": 5 * time.Millisecond, "longer": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			address := answerRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("p", 1000), resetAfter(pause))
			s := dispatch.New(dispatch.DefaultConfig())
			kept := 0
			for range resetPlays {
				if send(s, address, "one", make([]byte, 4<<20)).Executed() != refusal.ExecutedUnknown {
					kept++
				}
			}
			is.New(t).Equal(kept, 0)
		})
	}
}

// Guards against answers that end in order, before their runner has read all of the action, and that count as broken.
func TestAnswerThatEndsInOrderIsAResult(t *testing.T) {
	is := is.New(t)
	address := answerRaw(t, "HTTP/1.1 200 OK\r\n\r\nwhole", readOn)
	s := dispatch.New(dispatch.DefaultConfig())
	for range resetPlays {
		got := send(s, address, "one", make([]byte, 4<<20))
		is.Equal(got.Executed(), refusal.ExecutedYes)
		is.Equal(string(got.Answer.Body), "whole")
	}
}

// Guards against bytes whose head is none that are kept as an action's result.
func TestBrokenHeadIsNoResult(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":            "HTTP/1.1 000 Oops\r\nContent-Length: 4\r\n\r\nevil",
		"status 101":            "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nevil",
		"status 199, an answer": "HTTP/1.1 199 Oops\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil",
		"status 999":            "HTTP/1.1 999 Oops\r\nContent-Length: 4\r\n\r\nevil",
		"status +20":            "HTTP/1.1 +20 Oops\r\nContent-Length: 4\r\n\r\nevil",
		"chunks after a blank":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
		"blank within a name":   "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 4\r\n\r\nevil",
		"not executed, a blank": "HTTP/1.1 503 Busy\r\nX-Not-Executed : 1\r\nContent-Length: 4\r\n\r\nevil",
		"chunks of HTTP/1.0":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
		"trailer with a blank":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\nX Odd: v\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := send(dispatch.New(dispatch.DefaultConfig()), answerRaw(t, answer, readOn), "one", []byte("pledge"))
			is.Equal(got.Executed(), refusal.ExecutedUnknown)
			is.Equal(got.Refusal.Reason, refusal.RunnerFailed)
		})
	}
}

// Guards against a part of an answer that is kept as an action's result, as its runner has failed and its kernel has ended the
// connection.
func TestAnswerOfAFailedRunnerIsNoResult(t *testing.T) {
	is := is.New(t)
	address := answerRaw(t, "HTTP/1.1 200 OK\r\n\r\npart", func(l net.Listener, _ *net.TCPConn, in io.Reader) {
		_, _ = io.Copy(io.Discard, in)
		_ = l.Close()
	})
	got := send(dispatch.New(dispatch.DefaultConfig()), address, "one", []byte("pledge"))
	is.Equal(got.Executed(), refusal.ExecutedUnknown)
}
