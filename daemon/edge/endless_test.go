package edge_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/daemon/edge"
	delegationv1 "geraniumstack.org/geraniumstack/gen/geranium/delegation/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/delegation/v1/delegationv1connect"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/peerhttp"
)

// endlessBody is a body that begins with first and goes on with rest again and again, each after a pause, until its
// attempt ends. Without a pause it falls silent once it has brought most bytes.
type endlessBody struct {
	ctx         context.Context
	first, rest string
	pause       time.Duration
	most, read  int64
	closed      bool
}

func (b *endlessBody) Read(p []byte) (int, error) {
	wait := b.pause
	if b.pause == 0 && b.read >= b.most {
		wait = time.Hour
	}
	if b.read == 0 {
		wait = 0
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(wait):
	}
	n := copy(p, b.first)
	b.first = b.first[n:]
	for n == 0 || b.pause == 0 && n+len(b.rest) <= len(p) {
		n += copy(p[n:], b.rest)
	}
	b.read += int64(n)
	return n, nil
}

func (b *endlessBody) Close() error {
	b.closed = true
	return nil
}

// endlessAnswer returns an answer with such a body.
func endlessAnswer(ctx context.Context, status int, body *endlessBody) *edge.Answer {
	a := plainAnswer(status, "")
	body.ctx = ctx
	a.Length, a.Body = -1, body
	return a
}

// Guards against a stream that waits until its deadline for an event whose bytes come now and then without an end.
func TestSlowEventWithoutEndIsNoAnswer(t *testing.T) {
	for _, filler := range []string{"x", " ", "\r"} {
		for _, path := range []string{"/draft/1", "/match/1"} {
			withFleet(t, 1, config(1), func(w *testFleet) {
				w.addRunner("sick", "app").setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
					answer := endlessAnswer(ctx, 200, &endlessBody{first: eventText(1, 2) + "id: 3\n", rest: filler, pause: 100 * time.Millisecond})
					answer.Events = true
					return answer, nil
				})
				w.addRunner("sound", "app").setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
					if a.LastEventID == "" {
						return refuseUnrun(ctx, a)
					}
					return eventAnswer(eventText(3, 6), io.EOF), nil
				})
				time.Sleep(100 * time.Millisecond)
				start := time.Now()
				a := w.ask(w.daemons[0], path, key)
				w.True(time.Since(start) < 2*time.Second)
				if path == "/draft/1" {
					w.True(a.finished)
					w.Equal(a.body.String(), eventText(1, 6))
				} else {
					w.True(a.aborted && !a.finished)
					w.Equal(a.body.String(), eventText(1, 2))
				}
			})
		}
	}
}

// pausingBody is the body of a stream whose event comes in two parts with a silence between.
type pausingBody struct {
	parts []string
	pause time.Duration
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	if len(b.parts) > 0 {
		return n, nil
	}
	time.Sleep(b.pause)
	return n, nil
}

// Guards against a stream that is cut since its runner was silent within an event.
func TestEventAfterSilenceIsAnEvent(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			answer := eventAnswer("", io.EOF)
			answer.Body = io.NopCloser(&pausingBody{parts: []string{eventText(1, 2) + "id: 3\n", "data: word3\n\n"}, pause: 3 * time.Second})
			return answer, nil
		})
		time.Sleep(100 * time.Millisecond)
		a := w.ask(w.daemons[0], "/match/1", key)
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, 3))
	})
}

// mostErrorBytes is how much a runner sends of a server error without end; the buffer for answers holds less.
const mostErrorBytes = 8 << 20

// Guards against a server error without end that is passed on for as long as its bytes come, although another runner may
// answer.
func TestErrorWithoutEndIsNotPassedOn(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		var bodies []*endlessBody
		w.addRunner("sick", "app").setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
			body := &endlessBody{first: "oops", rest: "oops", most: mostErrorBytes}
			bodies = append(bodies, body)
			return endlessAnswer(ctx, 500, body), nil
		})
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.True(time.Since(start) < 100*time.Millisecond)
		w.Equal(a.reason(), refusal.RunnerFailed)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
		w.True(bodies[0].closed)
		w.True(bodies[0].read < mostErrorBytes)

		w.addRunner("sound", "app")
		time.Sleep(100 * time.Millisecond)
		for range 10 {
			a = w.ask(w.daemons[0], "/read/1", key)
			w.Equal(a.body.String(), "from sound")
		}
		// One failure keeps the requests away from a runner while another one serves.
		w.Equal(len(bodies), 1)
	})
}

// Guards against a long server error with a known length that isn't passed on.
func TestLongErrorWithAnEndIsPassedOn(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		long := strings.Repeat("oops", 100<<10)
		w.addRunner("r1", "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			return plainAnswer(500, long), nil
		})
		time.Sleep(100 * time.Millisecond)
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(a.status, 500)
		w.True(a.finished)
		w.Equal(a.body.String(), long)
	})
}

// countingReply is a caller's reply that counts the body's bytes and drops them.
type countingReply struct {
	recordedReply
	bytes int64
}

func (r *countingReply) Write(p []byte) error {
	r.bytes += int64(len(p))
	return nil
}

// askCounting sends a request to the first daemon.
func (w *testFleet) askCounting(path string) *countingReply {
	a := &countingReply{}
	w.daemons[0].Serve(w.t.Context(), &edge.Request{
		ID: "r1", Host: host, Path: path, Method: http.MethodPost, Target: path, Header: http.Header{}, Key: key, Received: time.Now(),
	}, a)
	return a
}

// Guards against a long answer that breaks off without counting against its runner.
func TestLongBodyThatBreaksOffIsAFailure(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		sick := w.addRunner("sick", "app")
		sick.setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			answer := plainAnswer(200, "")
			answer.Body, answer.Length = eventAnswer(strings.Repeat("x", 1<<20), io.ErrUnexpectedEOF).Body, -1
			return answer, nil
		})
		w.addRunner("sound", "app")
		time.Sleep(100 * time.Millisecond)
		for range 30 {
			w.askCounting("/read/1")
		}
		w.Equal(sick.count(), 1)
	})
}

// Guards against whole long answers that don't count for their runner, so that few that break off eject it.
func TestLongBodyThatIsWholeIsASuccess(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		var runners []*runner
		for _, id := range []string{"r1", "r2"} {
			r, sent := w.addRunner(id, "app"), 0
			r.setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
				sent++
				end := io.EOF
				if sent%3 == 0 {
					end = io.ErrUnexpectedEOF
				}
				answer := plainAnswer(200, "")
				answer.Body, answer.Length = eventAnswer(strings.Repeat("x", 1<<20), end).Body, -1
				return answer, nil
			})
			runners = append(runners, r)
		}
		time.Sleep(100 * time.Millisecond)
		for range 60 {
			w.askCounting("/read/1")
		}
		for _, r := range runners {
			// One whose successes didn't count would be ejected.
			w.True(r.count() > 20)
		}
	})
}

// Guards against a body without end that is passed on for as long as its bytes come, and keeps the processor busy.
func TestBodyWithoutEndIsCut(t *testing.T) {
	for _, path := range []string{"/read/1", "/match/1"} {
		withFleet(t, 1, config(1), func(w *testFleet) {
			sick := w.addRunner("sick", "app")
			var bodies []*endlessBody
			sick.setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
				body := &endlessBody{first: "data: 1\n\n", rest: "data: " + strings.Repeat("word", 500) + "\n\n", most: 2 * edge.MaxAnswerBytes}
				bodies = append(bodies, body)
				answer := endlessAnswer(ctx, 200, body)
				answer.Events = path == "/match/1"
				return answer, nil
			})
			w.addRunner("sound", "app")
			time.Sleep(100 * time.Millisecond)
			start := time.Now()
			for range 20 {
				a := w.askCounting(path)
				w.True(a.finished != a.aborted)
				w.True(a.finished == (a.bytes == int64(len("from sound"))))
				w.True(a.bytes <= edge.MaxAnswerBytes)
			}
			w.True(time.Since(start) < time.Second)
			w.Equal(len(bodies), 1)
			for _, body := range bodies {
				w.True(body.closed)
			}
		})
	}
}

// Guards against an answer whose stated length is beyond any answer's, which is passed on and cut.
func TestAnswerWithAnAbsurdLengthIsNotPassedOn(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("sick", "app").setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
			answer := endlessAnswer(ctx, 200, &endlessBody{first: "x", rest: "x", most: 2 * edge.MaxAnswerBytes})
			answer.Length = 1 << 50
			return answer, nil
		})
		time.Sleep(100 * time.Millisecond)
		a := w.askCounting("/pledge/1")
		w.Equal(a.reason(), refusal.RunnerFailed)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
		w.addRunner("sound", "app")
		time.Sleep(100 * time.Millisecond)
		for range 10 {
			a := w.askCounting("/read/1")
			w.True(a.finished)
		}
	})
}

// absurdHelper is a daemon that answers a delegated request with a start and one part of its choice, and says that they are all.
type absurdHelper struct {
	delegationv1connect.UnimplementedDelegationServiceHandler
	start *delegationv1.Start
	data  int
	calls int
}

func (h *absurdHelper) Serve(_ context.Context, _ *connect.Request[delegationv1.ServeRequest], stream *connect.ServerStream[delegationv1.ServeResponse]) error {
	h.calls++
	for _, part := range []*delegationv1.ServeResponse{
		{Part: &delegationv1.ServeResponse_Start{Start: h.start}},
		{Part: &delegationv1.ServeResponse_Data{Data: make([]byte, h.data)}},
		{Part: &delegationv1.ServeResponse_Finished{Finished: true}},
	} {
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// checkNotPassedOn checks that what the helper says in place of a daemon is no answer for a caller.
func (h *absurdHelper) checkNotPassedOn(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		w.daemons[1].kill()
		listener, err := w.calls.Listen(w.daemons[1].address)
		w.NoErr(err)
		mux := http.NewServeMux()
		mux.Handle(delegationv1connect.NewDelegationServiceHandler(h))
		server := peerhttp.NewServer(mux)
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		// The connection to the daemon that has ended is given up.
		w.askCounting("/pledge/1")
		before := h.calls
		a := w.askCounting("/pledge/1")
		w.Equal(h.calls-before, 1)
		w.Equal(a.status, 0)
		w.Equal(a.reason(), refusal.RunnerFailed)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
	})
}

// Guards against a part of a helper's answer that is read into memory whatever its size.
func TestAnswerPartOfAHelperIsBounded(t *testing.T) {
	(&absurdHelper{start: &delegationv1.Start{Status: 200, Length: -1}, data: 32 << 20}).checkNotPassedOn(t)
}

// Guards against a status or a header of a helper's that no answer may have, and that is passed on.
func TestBrokenHeadOfAHelperIsNoAnswer(t *testing.T) {
	(&absurdHelper{start: &delegationv1.Start{Status: 0, Length: 4}, data: 4}).checkNotPassedOn(t)
	(&absurdHelper{start: &delegationv1.Start{Status: 101, Length: 4}, data: 4}).checkNotPassedOn(t)
	odd := []*delegationv1.Header{{Name: "X Odd", Values: []string{"v"}}}
	(&absurdHelper{start: &delegationv1.Start{Status: 200, Length: 4, Headers: odd}, data: 4}).checkNotPassedOn(t)
}

// Guards against a daemon that takes its paths to the runners for lost, and lets others serve its callers, although bytes
// of the runners arrive.
func TestBytesThatAreNoAnswerShowThatARunnerIsReached(t *testing.T) {
	const requests = 10
	withFleet(t, 2, config(1), func(w *testFleet) {
		for _, id := range []string{"r1", "r2", "r3"} {
			w.addRunner(id, "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
				return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Heard: true, Err: io.ErrUnexpectedEOF}
			})
			w.runners.babble(id)
		}
		time.Sleep(500 * time.Millisecond)
		for range requests {
			a := w.ask(w.daemons[0], "/pledge/1", key)
			w.Equal(a.reason(), refusal.RunnerFailed)
			time.Sleep(400 * time.Millisecond)
		}
		w.Equal(w.daemons[0].runners.sends(), requests)
		w.Equal(w.daemons[1].runners.sends(), 0)
	})
}

// pausedBody is the body of a stream whose runner pauses before its last part.
type pausedBody struct {
	ctx   context.Context
	parts []string
	pause time.Duration
}

func (b *pausedBody) Read(p []byte) (int, error) {
	switch len(b.parts) {
	case 0:
		return 0, io.EOF
	case 1:
		if !pauseFor(b.ctx, b.pause) {
			return 0, b.ctx.Err()
		}
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// Guards against a stream whose silent runner is given up for bytes of a second one that are no event.
func TestBytesThatAreNoEventTakeNoStreamOver(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		withFleet(t, 1, config(1), func(w *testFleet) {
			w.addRunner("silent", "app").setScript(func(ctx context.Context, _ *edge.Attempt) (*edge.Answer, error) {
				w.runners.unresponsive("silent", true)
				answer := eventAnswer("", io.EOF)
				answer.Body = io.NopCloser(&pausedBody{ctx, []string{eventText(1, 2), eventText(3, 6)}, 2500 * time.Millisecond})
				return answer, nil
			})
			time.Sleep(300 * time.Millisecond)
			answered := make(chan *recordedReply)
			go func() { answered <- w.ask(w.daemons[0], "/draft/1", key) }()
			time.Sleep(100 * time.Millisecond)
			sick := w.addRunner("sick", "app")
			sick.setScript(func(ctx context.Context, _ *edge.Attempt) (*edge.Answer, error) {
				answer := endlessAnswer(ctx, 200, &endlessBody{first: "x", rest: "x", pause: pause, most: 8 << 20})
				answer.Events = true
				return answer, nil
			})
			a := <-answered
			w.Equal(sick.count(), 1)
			w.True(a.finished)
			w.Equal(a.body.String(), eventText(1, 6))
		})
	}
}
