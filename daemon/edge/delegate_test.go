package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

// cutOff cuts a daemon off from the runners and lets it find out.
func (w *testFleet) cutOff(d *daemon) {
	d.runners.cut(refusing)
	for range 4 {
		w.ask(d, "/read/1", key)
		time.Sleep(400 * time.Millisecond)
	}
}

// Guards against a second run of a request that may not be repeated, and against a false "not
// run", when the daemon that serves it for another one ends.
func TestDelegatedRequestRunsAtMostOnce(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		r := w.addRunner("r1", "app")
		w.addServingRunner("r2")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		w.leaving("r2", "app")
		time.Sleep(200 * time.Millisecond)
		r.setScript(func(ctx context.Context, _ *edge.Attempt) (*edge.Answer, error) {
			return nil, &edge.SendError{Reason: "broken", Sent: true, Err: hang(ctx, time.Minute)}
		})
		before := r.count()
		answered := make(chan *recordedReply, 1)
		go func() { answered <- w.ask(w.daemons[0], "/pledge/1", key) }()
		time.Sleep(100 * time.Millisecond)
		w.Equal(r.count(), before+1)
		w.daemons[1].kill()
		w.daemons[2].kill()
		a := <-answered
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
		w.Equal(r.count(), before+1)
	})
}

// Guards against a false "not run" when a request's deadline passes while the daemon that serves it
// for another one is at work.
func TestDelegatedRequestMayHaveRunAtItsDeadline(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		r := w.addRunner("r1", "app")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		r.setScript(func(ctx context.Context, _ *edge.Attempt) (*edge.Answer, error) {
			return nil, &edge.SendError{Reason: "broken", Sent: true, Err: hang(ctx, time.Minute)}
		})
		before := r.count()
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(r.count(), before+1)
		w.Equal(a.reason(), refusal.DeadlineExceeded)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
	})
}

// Guards against requests that cut daemons pass on to each other without end, and against holding
// what no daemon can serve.
func TestRequestIsDelegatedOnce(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		for _, d := range w.daemons {
			d.runners.cut(refusing)
		}
		for range 6 {
			w.ask(w.daemons[0], "/read/1", key)
			time.Sleep(300 * time.Millisecond)
		}
		messages, _ := w.network.traffic()
		start := time.Now()
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(a.reason(), refusal.NoRunner)
		w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		w.True(a.refusal.RetryAfter > 0)
		w.True(time.Since(start) < 200*time.Millisecond)
		after, _ := w.network.traffic()
		w.True(after-messages < 20)
	})
}

// Guards against a quota that is charged by both daemons, or by none.
func TestDelegatedRequestIsChargedOnce(t *testing.T) {
	c := config(1)
	c.Workspaces[0].Quota = route.Quota{PerSecond: 10, Burst: 10}
	withFleet(t, 3, c, func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		time.Sleep(3 * time.Second)
		served := 0
		for range 400 {
			if w.ask(w.daemons[0], "/read/1", key).refusal == nil {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		// The quota of four seconds is 40, and the burst and its tolerance are used once.
		t.Logf("served %d", served)
		w.True(served >= 40 && served <= 65)
	})
}

// Guards against a stream that loses or repeats events when its daemon is cut off in the middle.
func TestStreamContinuesAtAnotherDaemon(t *testing.T) {
	for _, mode := range []cutMode{refusing, silent} {
		withFleet(t, 3, config(1), func(w *testFleet) {
			for _, id := range []string{"r1", "r2", "r3"} {
				w.addServingRunner(id)
			}
			time.Sleep(500 * time.Millisecond)
			answered := make(chan *recordedReply, 1)
			go func() { answered <- w.ask(w.daemons[0], "/draft/1", key) }()
			time.Sleep(5 * pathsEventInterval)
			w.daemons[0].runners.cut(mode)
			a := <-answered
			w.True(a.finished)
			w.Equal(a.body.String(), eventText(1, pathsEvents))
		})
	}
}

// Guards against a stream that can't go on at another daemon because it is older than callers wait for a first event.
func TestOldStreamContinuesAtAnotherDaemon(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		for _, id := range []string{"r1", "r2", "r3"} {
			w.addOldStreamRunner(id)
		}
		time.Sleep(500 * time.Millisecond)
		a := &timedReply{}
		ended := make(chan struct{})
		go func() {
			w.serveTimed(context.Background(), w.daemons[0], "/draft/1", a)
			close(ended)
		}()
		time.Sleep(oldStreamEvents / 2 * silenceEventInterval)
		w.daemons[0].runners.cut(refusing)
		<-ended
		t.Logf("%d events, longest pause %v", len(a.writes), slices.Max(a.writes[1:]))
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, oldStreamEvents))
		w.True(slices.Max(a.writes[1:]) < time.Second)
	})
}

// oldStreamEvents is a number of events that takes longer than callers wait for the first one.
const oldStreamEvents = 60

// addOldStreamRunner adds a runner with streams of oldStreamEvents events.
func (w *testFleet) addOldStreamRunner(id string) {
	w.addRunner(id, "app").setScript(func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
		from := 0
		fmt.Sscanf(a.LastEventID, "%d", &from)
		body := &slowEvents{next: from + 1, last: oldStreamEvents, interval: silenceEventInterval}
		return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Body: body}, nil
	})
}

// serveTimed sends a request to a daemon, whose answer goes to a reply of the test's.
func (w *testFleet) serveTimed(ctx context.Context, d *daemon, path string, reply edge.Reply) {
	d.Serve(ctx, &edge.Request{
		ID: fmt.Sprintf("r%d", lastRequestID.Add(1)), Host: host, Path: path, Method: http.MethodPost, Target: path,
		Header: http.Header{}, Key: key, Received: time.Now(),
	}, reply)
}

// Guards against a way around the check of keys through the calls between daemons.
func TestDelegatedRequestNeedsItsKey(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		w.Equal(w.ask(w.daemons[0], "/read/1", "unknown").reason(), refusal.Unauthenticated)
		w.Equal(w.ask(w.daemons[0], "/read/1", key).status, http.StatusOK)
	})
}

// Guards against a daemon that goes on delegating after its paths are back.
func TestDaemonUsesItsOwnPathsAgain(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		own := func() int { return w.daemons[0].runners.sends() }
		before := own()
		w.Equal(w.ask(w.daemons[0], "/read/1", key).status, http.StatusOK)
		w.Equal(own(), before)
		w.daemons[0].runners.cut(connected)
		time.Sleep(time.Second)
		w.Equal(w.ask(w.daemons[0], "/read/1", key).status, http.StatusOK)
		w.Equal(own(), before+1)
	})
}

// Guards against an answer that reaches the caller only when it is whole although it is a stream.
func TestDelegatedStreamIsNotHeldBack(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		a := &timedReply{}
		w.daemons[0].Serve(context.Background(), &edge.Request{
			ID: "timed", Host: host, Path: "/draft/1", Method: http.MethodPost, Target: "/draft/1", Header: http.Header{}, Key: key, Received: time.Now(),
		}, a)
		w.Equal(len(a.writes), pathsEvents)
		for _, pause := range slices.Backward(a.writes[1:]) {
			w.True(pause >= pathsEventInterval/2 && pause <= 2*pathsEventInterval)
		}
	})
}

// timedReply records the pauses before the writes.
type timedReply struct {
	recordedReply
	last   time.Time
	writes []time.Duration
	// left ends the call of a caller that leaves after its patience without an event; nil for none.
	left     *time.Timer
	patience time.Duration
}

func (a *timedReply) Write(p []byte) error {
	a.writes = append(a.writes, time.Since(a.last))
	a.last = time.Now()
	if a.left != nil {
		a.left.Reset(a.patience)
	}
	return a.recordedReply.Write(p)
}

// Guards against a helper's sends that count for more of the route's attempts than they were.
func TestHelpersSendCountsAsOneAttempt(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		r := w.addRunner("r1", "app")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		sends := 0
		r.setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			if sends++; sends == 1 {
				return &edge.Answer{NotRun: true, RetryAfter: 10 * time.Second, Body: http.NoBody}, nil
			}
			return plainAnswer(http.StatusOK, "whole"), nil
		})
		// The first helper's only runner has asked it for rest, and the route allows a second attempt.
		w.Equal(w.ask(w.daemons[0], "/read/1", key).body.String(), "whole")
		w.Equal(sends, 2)
	})
}
