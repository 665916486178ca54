package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions/logtest"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// unreadReply is a reply whose caller reads nothing until its connection is closed.
type unreadReply struct {
	recordedReply
	closed chan struct{}
}

func (r *unreadReply) Write([]byte) error {
	<-r.closed
	return io.ErrClosedPipe
}

// requestTo returns a caller's request with a timeout of ten seconds.
func requestTo(path, id string) *edge.Request {
	return &edge.Request{
		ID: id, Host: host, Path: path, Method: http.MethodPost, Target: path, Header: http.Header{}, Key: key,
		Received: time.Now(), CallerTimeout: 10 * time.Second,
	}
}

// Guards against requests that the end of the daemon cuts while they wait for a silent runner or a second one, or for a
// caller that doesn't read, and that have no line or one that blames the caller.
func TestRequestsThatDaemonEndsHaveLines(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		const patience = 100 * time.Millisecond
		r := w.addSilentRunner("r1")
		time.Sleep(time.Second)
		d := w.daemons[0]
		var serving sync.WaitGroup
		var stream, plain recordedReply
		unread := &unreadReply{closed: make(chan struct{})}
		serving.Go(func() { d.Serve(context.Background(), requestTo("/draft/1", "stream"), &stream) })
		serving.Go(func() { d.Serve(context.Background(), requestTo("/draft/1", "unread"), unread) })
		time.Sleep(350 * time.Millisecond)
		r.sleep()
		// Meanwhile the runner is probed, and the stream looks for a second one.
		time.Sleep(1500 * time.Millisecond)
		serving.Go(func() { d.Serve(context.Background(), requestTo("/read/1", "plain"), &plain) })
		time.Sleep(patience)
		w.Equal(d.InFlight(), int64(3))
		d.EndRequests()
		time.Sleep(patience)
		w.Equal(d.InFlight(), int64(1)) // what waits for its caller
		close(unread.closed)
		serving.Wait()
		w.True(stream.aborted)
		w.True(unread.aborted)
		w.Equal(plain.reason(), refusal.Draining)
		w.Equal(plain.refusal.Executed, refusal.ExecutedUnknown)

		lines := logtest.Lines(t, d.log)
		w.True(strings.Contains(lines, `] "hedged" request="stream"`))
		for _, id := range []string{"stream", "unread"} {
			w.True(strings.Contains(lines, fmt.Sprintf(`] "broken_off" request=%q route="draft"`, id)))
		}
		w.True(strings.Contains(lines, `] "refused" request="plain" route="read"`))
		w.Equal(strings.Count(lines, `reason="draining"`), 3)
		w.True(!strings.Contains(lines, "caller_left"))
	})
}
