package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

// tenSecondConfig is a configuration whose routes all have ten seconds and the given number of attempts.
func tenSecondConfig(attempts int) route.Config {
	c := config(1)
	for i := range c.Routes {
		c.Routes[i].Timeout, c.Routes[i].MaxAttempts = 10*time.Second, attempts
	}
	return c
}

// scriptedAttempt is one attempt of a request at a runner of addScriptedRunners; number counts from one.
type scriptedAttempt struct {
	*edge.Attempt
	w      *testFleet
	number int64
	runner string
}

// addScriptedRunners adds runners that answer each attempt with a script. It returns the number of attempts so far.
func (w *testFleet) addScriptedRunners(n int, script func(ctx context.Context, a *scriptedAttempt) (*edge.Answer, error)) *atomic.Int64 {
	var attempts atomic.Int64
	for i := range n {
		id := fmt.Sprintf("r%d", i+1)
		w.addRunner(id, "app").setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
			a.Connected()
			return script(ctx, &scriptedAttempt{a, w, attempts.Add(1), id})
		})
	}
	time.Sleep(500 * time.Millisecond)
	return &attempts
}

// silence lets the attempt's runner send nothing and answer no probe for a time. It reports whether the attempt is
// still wanted then.
func (a *scriptedAttempt) silence(ctx context.Context, d time.Duration) bool {
	a.w.runners.unresponsive(a.runner, true)
	defer a.w.runners.unresponsive(a.runner, false)
	return pauseFor(ctx, d)
}

// brokenSend is the error of an attempt whose connection ends after the request was sent.
func brokenSend() error {
	return &edge.SendError{Reason: retry.Broken, Sent: true, Err: io.ErrUnexpectedEOF}
}

// scriptedEvents is the body of an event stream that read makes event by event.
type scriptedEvents struct {
	read func() (event string, err error)
}

func (b *scriptedEvents) Read(p []byte) (int, error) {
	event, err := b.read()
	return copy(p, event), err
}

func (b *scriptedEvents) Close() error { return nil }

// eventsAfter returns an event stream that begins after an event; event makes the event with each number.
func eventsAfter(last int, unframed bool, event func(number int) (string, error)) *edge.Answer {
	body := &scriptedEvents{read: func() (string, error) { last++; return event(last) }}
	return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Unframed: unframed, Body: body}
}

const (
	// hedgedSilence is a silence that ends while a second runner works.
	hedgedSilence = 1700 * time.Millisecond
	// secondAnswerTime is how long second runners take, until after the end of hedgedSilence.
	secondAnswerTime = 800 * time.Millisecond
)

// Guards against a hedge that makes attempts beside the goroutine that serves its request: a suspicion comes when the attempt
// has failed and its first hedge has given up.
func TestFailedAttemptIsHedgedNoMore(t *testing.T) {
	withFleet(t, 1, tenSecondConfig(2), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		req := &edge.Request{ID: "hedged", Host: host, Path: "/read/1", Method: http.MethodPost, Target: "/read/1", Key: key, Received: time.Now()}
		w.True(!w.daemons[0].SuspectFailedAttempt(ctx, req))
	})
}

// Guards against a second runner that is given up because the first one wakes, although it has no answer that the
// caller can get.
func TestSecondRunnerAnswersIfTheFirstWakesWithoutAnAnswer(t *testing.T) {
	fullRunner := plainAnswer(http.StatusServiceUnavailable, "full")
	fullRunner.NotRun = true
	for name, wakesWith := range map[string]*edge.Answer{
		"not_run":      fullRunner,
		"server_error": plainAnswer(http.StatusInternalServerError, "oops"),
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 1, tenSecondConfig(2), func(w *testFleet) {
				w.addScriptedRunners(3, func(ctx context.Context, a *scriptedAttempt) (*edge.Answer, error) {
					if a.number == 1 && a.silence(ctx, hedgedSilence) {
						return wakesWith, nil
					}
					if !pauseFor(ctx, secondAnswerTime) {
						return nil, brokenSend()
					}
					return plainAnswer(http.StatusOK, "second"), nil
				})
				a := w.ask(w.daemons[0], "/read/1", key)
				w.Equal(a.status, http.StatusOK)
				w.Equal(a.body.String(), "second")
			})
		})
	}
}

// Guards against a stream that is cut since the kernel of its silent runner closes the connection while a second
// runner is at work.
func TestSecondRunnerAnswersIfTheFirstFalls(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		t.Run(fmt.Sprintf("unframed_%t", unframed), func(t *testing.T) {
			withFleet(t, 1, tenSecondConfig(2), func(w *testFleet) {
				w.addScriptedRunners(3, func(ctx context.Context, a *scriptedAttempt) (*edge.Answer, error) {
					if a.number > 1 {
						if !pauseFor(ctx, secondAnswerTime) {
							return nil, brokenSend()
						}
						return eventAnswer(eventText(3, 4), io.EOF), nil
					}
					return eventsAfter(0, unframed, func(number int) (string, error) {
						if number <= 2 {
							return eventText(number, number), nil
						}
						a.silence(ctx, hedgedSilence)
						w.runners.fall(a.runner, true)
						if unframed {
							return "", io.EOF
						}
						return "", io.ErrUnexpectedEOF
					}), nil
				})
				a := w.ask(w.daemons[0], "/draft/1", key)
				w.True(a.finished)
				w.Equal(a.body.String(), eventText(1, 4))
			})
		})
	}
}

// Guards against a stream that breaks off before its attempts are used up, because one that was given up in favour of
// its first runner counts twice: the second runner was silent, too, and a third one was tried.
func TestWithdrawnSecondAttemptCountsOnce(t *testing.T) {
	withFleet(t, 1, tenSecondConfig(4), func(w *testFleet) {
		near := []string{"r1", "r2"}
		attempts := w.addScriptedRunners(4, func(ctx context.Context, a *scriptedAttempt) (*edge.Answer, error) {
			switch a.number {
			case 1:
				return eventsAfter(0, false, func(number int) (string, error) {
					switch number {
					case 3:
						// Both are silent, so that neither is dark in comparison.
						for _, id := range near {
							w.runners.unresponsive(id, true)
							defer w.runners.unresponsive(id, false)
						}
						if !pauseFor(ctx, 5*time.Second) {
							return "", ctx.Err()
						}
					case 8:
						return "", io.ErrUnexpectedEOF
					}
					return eventText(number, number), nil
				}), nil
			case 2, 3:
				<-ctx.Done()
				return nil, brokenSend()
			}
			return eventAnswer(eventText(8, 9), io.EOF), nil
		})
		for _, id := range []string{"r3", "r4"} {
			w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
				ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: "south", State: view.Live,
			}, Slots: 8})
		}
		time.Sleep(500 * time.Millisecond)
		a := w.ask(w.daemons[0], "/draft/1", key)
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, 9))
		w.Equal(attempts.Load(), int64(4))
	})
}

// Guards against a stream that is held until its deadline because the only runner has failed it once.
func TestBrokenStreamGoesOnAtItsOnlyRunner(t *testing.T) {
	withFleet(t, 1, tenSecondConfig(2), func(w *testFleet) {
		w.addScriptedRunners(1, func(_ context.Context, a *scriptedAttempt) (*edge.Answer, error) {
			if a.number == 1 {
				return eventAnswer(eventText(1, 2), io.ErrUnexpectedEOF), nil
			}
			return eventAnswer(eventText(3, 4), io.EOF), nil
		})
		start := time.Now()
		a := w.ask(w.daemons[0], "/draft/1", key)
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, 4))
		w.True(time.Since(start) < time.Second)
	})
}

// Guards against second sends, and a retry budget that is used up for nothing, when a suspicion has been disproved:
// all runners were silent and answer their probes again, but their next events take a while.
func TestNothingIsSentTwiceOnceThePathsAreBack(t *testing.T) {
	const streams = 30
	withFleet(t, 1, tenSecondConfig(2), func(w *testFleet) {
		awake := make(chan struct{})
		attempts := w.addScriptedRunners(6, func(ctx context.Context, a *scriptedAttempt) (*edge.Answer, error) {
			from := 0
			fmt.Sscanf(a.LastEventID, "%d", &from)
			return eventsAfter(from, false, func(number int) (string, error) {
				if number == 4 && from == 0 {
					<-awake
				}
				if number == 9 {
					return "", io.EOF
				}
				if !pauseFor(ctx, 300*time.Millisecond) {
					return "", ctx.Err()
				}
				return eventText(number, number), nil
			}), nil
		})
		answered := make(chan *recordedReply, streams)
		for range streams {
			go func() { answered <- w.ask(w.daemons[0], "/draft/1", key) }()
		}
		time.Sleep(time.Second)
		before := w.daemons[0].RetryBalance("app")
		for i := range 6 {
			w.runners.unresponsive(fmt.Sprintf("r%d", i+1), true)
		}
		time.Sleep(hedgedSilence)
		for i := range 6 {
			w.runners.unresponsive(fmt.Sprintf("r%d", i+1), false)
		}
		close(awake)
		for range streams {
			a := <-answered
			w.Equal(a.body.String(), eventText(1, 8))
		}
		w.Equal(attempts.Load(), int64(streams))
		w.True(w.daemons[0].RetryBalance("app") >= before)
	})
}

// Guards against a daemon that closes the connection of a request at its runner because a helper refuses the request
// for the quota, which both have charged.
func TestHelpersQuotaRefusalEndsNoAnswer(t *testing.T) {
	const requests = 12
	c := tenSecondConfig(4)
	c.Workspaces[0].Quota = route.Quota{PerSecond: 0.01, Burst: 60}
	withFleet(t, 3, c, func(w *testFleet) {
		var slow atomic.Bool
		w.addScriptedRunners(3, func(ctx context.Context, _ *scriptedAttempt) (*edge.Answer, error) {
			if ctx.Value(senderKey{}) == w.daemons[0].runners && slow.Load() && !pauseFor(ctx, 1900*time.Millisecond) {
				return nil, brokenSend()
			}
			return plainAnswer(http.StatusOK, "whole"), nil
		})
		time.Sleep(4 * time.Second)
		slow.Store(true)
		answered := make(chan *recordedReply, requests)
		for range requests {
			go func() { answered <- w.ask(w.daemons[0], "/read/1", key) }()
		}
		time.Sleep(50 * time.Millisecond)
		for range 60 {
			w.ask(w.daemons[1], "/read/1", key)
			w.ask(w.daemons[2], "/read/1", key)
		}
		go w.daemons[0].runners.pause(1820 * time.Millisecond)
		for range requests {
			w.Equal((<-answered).body.String(), "whole")
		}
		time.Sleep(3 * time.Second)
	})
}
