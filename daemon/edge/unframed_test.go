package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

// unframed marks an answer as one that ends with its connection.
func unframed(a *edge.Answer) *edge.Answer {
	a.Unframed, a.Length = true, -1
	return a
}

// addFailingRunners adds n runners that fail at the end of each answer, which ends with its connection,
// and one that is sound but only goes on with streams.
func (w *testFleet) addFailingRunners(n int, answer func() *edge.Answer) {
	for i := range n {
		id := fmt.Sprintf("r%d", i+1)
		w.addRunner(id, "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			w.runners.fall(id, true)
			return unframed(answer()), nil
		})
	}
	w.addRunner("sound", "app").setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
		if a.LastEventID == "" {
			return refuseUnrun(ctx, a)
		}
		return unframed(eventAnswer(eventText(3, 6), io.EOF)), nil
	})
	time.Sleep(100 * time.Millisecond)
}

// patientConfig returns a configuration whose requests may be sent to many runners.
func patientConfig() route.Config {
	c := config(1)
	for i := range c.Routes {
		c.Routes[i].MaxAttempts = 6
	}
	return c
}

// Guards against a stream that ends with its connection and counts as complete although its runner has
// failed.
func TestUnframedStreamOfAFailedRunnerIsNotComplete(t *testing.T) {
	withFleet(t, 1, patientConfig(), func(w *testFleet) {
		w.addFailingRunners(1, func() *edge.Answer { return eventAnswer(eventText(1, 2), io.EOF) })
		a := w.ask(w.daemons[0], "/draft/1", key)
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, 6))
	})
	withFleet(t, 1, patientConfig(), func(w *testFleet) {
		// A stream under which two runners have failed is not taken to a third one.
		w.addFailingRunners(2, func() *edge.Answer { return eventAnswer(eventText(1, 2), io.EOF) })
		a := w.ask(w.daemons[0], "/draft/1", key)
		w.True(a.aborted && !a.finished)
		w.Equal(a.body.String(), eventText(1, 2))
	})
	withFleet(t, 1, patientConfig(), func(w *testFleet) {
		w.addFailingRunners(2, func() *edge.Answer { return eventAnswer(eventText(1, 2), io.EOF) })
		a := w.ask(w.daemons[0], "/match/1", key)
		w.True(a.aborted && !a.finished)
	})
}

// Guards against a stream that ends with its connection and counts as complete although the leaving runner that sends it
// has ended.
func TestUnframedStreamOfALeavingRunnerThatEndsIsNotComplete(t *testing.T) {
	withFleet(t, 1, patientConfig(), func(w *testFleet) {
		w.addFailingRunners(1, func() *edge.Answer {
			w.leaving("r1", "app")
			time.Sleep(100 * time.Millisecond)
			return eventAnswer(eventText(1, 2), io.EOF)
		})
		a := w.ask(w.daemons[0], "/draft/1", key)
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, 6))
	})
}

// Guards against the last answers of a leaving runner that count as broken while it still accepts connections.
func TestUnframedAnswerOfALeavingRunnerIsComplete(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			w.leaving("r1", "app")
			time.Sleep(100 * time.Millisecond)
			return unframed(plainAnswer(http.StatusOK, "whole")), nil
		})
		time.Sleep(100 * time.Millisecond)
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(a.status, http.StatusOK)
		w.Equal(a.body.String(), "whole")
	})
}

// Guards against a stream without any event that counts as complete because its connection has ended.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			return unframed(eventAnswer("", io.EOF)), nil
		})
		time.Sleep(100 * time.Millisecond)
		a := w.ask(w.daemons[0], "/match/1", key)
		w.True(a.aborted && !a.finished)
	})
}

// Guards against a body that ends with its connection and counts as complete although its runner has
// failed.
func TestUnframedBodyOfAFailedRunnerIsNotComplete(t *testing.T) {
	withFleet(t, 1, patientConfig(), func(w *testFleet) {
		w.addFailingRunners(2, func() *edge.Answer { return plainAnswer(http.StatusOK, "half of") })
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(a.reason(), refusal.RunnerFailed)
		w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
	})
}

// Guards against whole answers that count as broken at a daemon that finds no new connection to any
// runner.
func TestUnframedAnswerOfACutDaemonIsComplete(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		for _, id := range []string{"r1", "r2", "r3"} {
			w.addRunner(id, "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
				for _, id := range []string{"r1", "r2", "r3"} {
					w.runners.fall(id, true)
				}
				return unframed(eventAnswer(eventText(1, 3), io.EOF)), nil
			})
		}
		time.Sleep(100 * time.Millisecond)
		w.True(w.ask(w.daemons[0], "/match/1", key).finished)
	})
}

// Guards against whole answers that count as broken because they end with their connection, also while
// the daemon finds no new connection to the runners.
func TestUnframedAnswerOfASoundRunnerIsComplete(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app").setScript(func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
			if a.Request.Path == "/match/1" {
				return unframed(eventAnswer(eventText(1, 3), io.EOF)), nil
			}
			return unframed(plainAnswer(http.StatusOK, "whole")), nil
		})
		time.Sleep(100 * time.Millisecond)
		for _, unresponsive := range []bool{false, true} {
			w.runners.unresponsive("r1", unresponsive)
			start := time.Now()
			a := w.ask(w.daemons[0], "/match/1", key)
			w.True(a.finished)
			w.Equal(w.ask(w.daemons[0], "/pledge/1", key).body.String(), "whole")
			w.True(time.Since(start) < 500*time.Millisecond)
		}
	})
}
