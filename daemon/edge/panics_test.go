package edge_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/decisions/logtest"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/refusal"
)

type testPanic struct{}

func (testPanic) Error() string { return "test panic" }

// panickingReply panics when the request is refused.
type panickingReply struct{ recordedReply }

func (*panickingReply) Refuse(*refusal.Refusal, bool) { panic(testPanic{}) }

// serveWithPanic returns the value with which Serve panics; nil if it doesn't.
func serveWithPanic(e *edge.Edge, r *edge.Request) (value any) {
	defer func() { value = recover() }()
	e.Serve(context.Background(), r, &panickingReply{})
	return nil
}

// Guards against an answer that a panic cuts and that no line of the log explains.
func TestRequestCutByPanicHasLine(t *testing.T) {
	is := is.New(t)
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	defer socket.Close()
	log := decisions.New(metrics.NewRegistry())
	e := edge.New(edge.Settings{ID: "d1", PeerAddress: "10.0.0.1:7600"}, edge.Deps{
		Datagrams: socket, Steady: func() time.Duration { return time.Second }, Log: log,
	})
	is.Equal(serveWithPanic(e, &edge.Request{ID: "r1", Received: time.Now()}), testPanic{})
	lines := logtest.Lines(t, log)
	is.True(strings.Contains(lines, `] "panicked" request="r1" `))
	is.True(strings.Contains(lines, `error="test panic"`))
	is.True(strings.Contains(lines, "panickingReply"))
}
