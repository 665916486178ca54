package edge_test

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
)

// retriesPerRequest is what a request adds to the retry budget of these fleets.
const retriesPerRequest = 0.2 * 0.85

var errRefused = errors.New("connection refused")

// spendRetries spends the daemons' retry budgets, so that what is added to them shows.
func (w *testFleet) spendRetries(runners []*runner) {
	for _, r := range runners {
		r.setScript(breakConnection)
	}
	for _, d := range w.daemons {
		for range 100 {
			w.ask(d, "/read/1", key)
		}
	}
	time.Sleep(3 * time.Second) // ejected runners are probed and used again
	refuseConnections(0, runners)
	for _, d := range w.daemons {
		// Adds what the time until now adds.
		w.Equal(w.ask(d, "/read/1", key).body.String(), "whole")
	}
}

// added returns how many requests have been added to the retry budgets of the daemons meanwhile, which time adds to, too.
func (w *testFleet) added(meanwhile func()) float64 {
	total := func() (sum float64) {
		for _, d := range w.daemons {
			sum += d.RetryBalance("app")
		}
		return sum
	}
	before := total()
	meanwhile()
	return math.Round((total() - before) / retriesPerRequest)
}

// refuseConnections makes each of the next n connections to the runners be refused, and serves after them.
func refuseConnections(n int, runners []*runner) {
	serve := func(context.Context, *edge.Attempt) (*edge.Answer, error) {
		if n > 0 {
			n--
			return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: errRefused}
		}
		return plainAnswer(http.StatusOK, "whole"), nil
	}
	for _, r := range runners {
		r.setScript(serve)
	}
}

// Guards against a request that counts again for each connection that is refused to it, at one daemon and at its helper.
func TestRequestCountsOnceWhateverRefusesIt(t *testing.T) {
	for refused := range 3 {
		withFleet(t, 2, config(1), func(w *testFleet) {
			runners := []*runner{w.addRunner("r1", "app"), w.addRunner("r2", "app"), w.addRunner("r3", "app")}
			time.Sleep(500 * time.Millisecond)
			w.spendRetries(runners)
			offered := w.daemons[0].OfferedTokens("app") + w.daemons[1].OfferedTokens("app")
			refuseConnections(refused, runners)
			w.Equal(w.added(func() { w.Equal(w.ask(w.daemons[0], "/read/1", key).body.String(), "whole") }), 1.0)
			w.Equal(w.daemons[0].OfferedTokens("app")+w.daemons[1].OfferedTokens("app"), offered+1)
		})
	}
}

// Guards against a share of answered requests that refused connections lower.
func TestRefusedConnectionIsNoUnansweredRequest(t *testing.T) {
	withFleet(t, 1, shareConfig(), func(w *testFleet) {
		runners := []*runner{w.addRunner("r1", "app"), w.addRunner("r2", "app")}
		time.Sleep(500 * time.Millisecond)
		refused := false
		script := func(context.Context, *edge.Attempt) (*edge.Answer, error) {
			if refused = !refused; refused {
				return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: errRefused}
			}
			return eventAnswer("id: 1\ndata: x\n\n", io.EOF), nil
		}
		for _, r := range runners {
			r.setScript(script)
		}
		for range 4 {
			w.Equal(w.askPrompt(w.daemons[0], "/draft/", "busy", 1000, "next").refusal, nil)
		}
		w.Equal(w.daemons[0].ServedShare(), 1.0)
	})
}
