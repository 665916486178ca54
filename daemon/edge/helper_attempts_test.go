package edge_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/daemon/edge"
	delegationv1 "geraniumstack.org/geraniumstack/gen/geranium/delegation/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/delegation/v1/delegationv1connect"
	"geraniumstack.org/geraniumstack/transport/peerhttp"
)

// helperAttempts is the number of runners to which a request of these tests may be sent.
const helperAttempts = 3

// withFailingRunners runs a test with a daemon that reaches no runner, two others that serve its requests, and runners
// that answer by a script, whose arrivals are counted.
func withFailingRunners(t *testing.T, script func(context.Context, *edge.Attempt) (*edge.Answer, error), f func(w *testFleet, arrivals func() int)) {
	withFleet(t, 3, tenSecondConfig(helperAttempts), func(w *testFleet) {
		var runners []*runner
		for i := range 8 {
			runners = append(runners, w.addServingRunner(fmt.Sprintf("r%d", i)))
		}
		time.Sleep(time.Second)
		w.cutOff(w.daemons[0])
		before := 0
		for _, r := range runners {
			before += r.count()
			r.setScript(script)
		}
		f(w, func() int {
			n := -before
			for _, r := range runners {
				n += r.count()
			}
			return n
		})
	})
}

// Guards against requests that reach more runners than their route allows since the daemon that served them for another
// one ends after two of them have failed.
func TestLostHelperCountsForAttempts(t *testing.T) {
	checkAttemptsOfLostHelper(t, 2, helperAttempts, func(_ *testFleet, helper *daemon) { helper.kill() })
}

// checkAttemptsOfLostHelper checks that a request whose helper is lost after so many sends reaches at most a number of runners.
func checkAttemptsOfLostHelper(t *testing.T, sends, most int, lose func(w *testFleet, helper *daemon)) {
	const runnerFailsAfter = 300 * time.Millisecond
	withFailingRunners(t, func(ctx context.Context, attempt *edge.Attempt) (*edge.Answer, error) {
		attempt.Connected()
		pauseFor(ctx, runnerFailsAfter)
		return nil, brokenSend()
	}, func(w *testFleet, arrivals func() int) {
		answered := make(chan *recordedReply, 1)
		go func() { answered <- w.ask(w.daemons[0], "/read/1", key) }()
		for arrivals() < sends {
			time.Sleep(10 * time.Millisecond)
		}
		helper := w.daemons[1]
		if w.daemons[2].InFlight() > 0 {
			helper = w.daemons[2]
		}
		lose(w, helper)
		<-answered
		// A helper that is still at work could send the request again.
		time.Sleep(5 * runnerFailsAfter)
		t.Logf("%d arrivals", arrivals())
		w.True(arrivals() <= most)
	})
}

// Guards against streams that reach more runners than their route allows since a helper has tried all of them, and the
// daemon that it served them for goes on.
func TestBrokenStreamOfHelperCountsForAttempts(t *testing.T) {
	withFailingRunners(t, func(_ context.Context, attempt *edge.Attempt) (*edge.Answer, error) {
		attempt.Connected()
		next := 1
		if attempt.LastEventID != "" {
			if _, err := fmt.Sscan(attempt.LastEventID, &next); err != nil {
				return nil, errors.New("bad event ID")
			}
			next++
		}
		return eventAnswer(eventText(next, next), io.ErrUnexpectedEOF), nil
	}, func(w *testFleet, arrivals func() int) {
		w.ask(w.daemons[0], "/draft/1", key)
		t.Logf("%d arrivals", arrivals())
		w.True(arrivals() <= helperAttempts)
	})
}

// Guards against a daemon of an earlier version that takes what a helper tells of its sends for a fault.
func TestHelperTellsOfItsSendsOnlyIfAsked(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app").setScript(func(_ context.Context, attempt *edge.Attempt) (*edge.Answer, error) {
			attempt.Connected()
			return plainAnswer(http.StatusOK, "whole"), nil
		})
		time.Sleep(500 * time.Millisecond)
		transport := peerhttp.NewTransport(w.calls.Dial)
		defer transport.CloseIdleConnections()
		client := delegationv1connect.NewDelegationServiceClient(&http.Client{Transport: transport}, "http://"+w.daemons[0].address)
		for _, wants := range []bool{false, true} {
			stream, err := client.Serve(w.t.Context(), connect.NewRequest(&delegationv1.ServeRequest{
				RequestId: "r1", Host: host, Path: "/read/1", Method: http.MethodPost, Target: "/read/1", Key: key, WantsAttempts: wants,
			}))
			w.NoErr(err)
			told := 0
			for stream.Receive() {
				if stream.Msg().Attempts > 0 {
					told++
				}
			}
			w.NoErr(stream.Err())
			w.Equal(told > 0, wants)
		}
	})
}

// Guards against requests that reach more runners than their route allows since a helper goes on sending them while the link to it is
// cut, so that what it tells of its sends is lost.
func TestSilencedHelperCountsForAttempts(t *testing.T) {
	checkAttemptsOfLostHelper(t, 1, helperAttempts, func(w *testFleet, helper *daemon) {
		time.Sleep(100 * time.Millisecond)
		w.True(w.calls.Silence(helper.address) > 0)
	})
}

// Guards against a helper that sends a request again although it can't ask the daemon that has delegated it.
func TestHelperThatCannotAskDoesNotSendAgain(t *testing.T) {
	checkAttemptsOfLostHelper(t, 1, 1, func(w *testFleet, helper *daemon) {
		w.goDark(helper)
		w.goDark(w.daemons[0])
	})
}

// Guards against requests that reach more runners than their route allows since a helper that was silent goes on with those that
// other daemons serve meanwhile.
func TestHelperThatWakesDoesNotSendAgain(t *testing.T) {
	checkAttemptsOfLostHelper(t, 1, helperAttempts, func(w *testFleet, helper *daemon) {
		w.sleep(helper)
		time.Sleep(3 * time.Second)
		w.wake(helper)
	})
}
