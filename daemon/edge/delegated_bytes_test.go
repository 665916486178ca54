package edge_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

// fillRequests takes all room of a daemon by requests that are being answered, until it is told that they have been.
func fillRequests(d *daemon) (answered func()) {
	time.Sleep(100 * time.Millisecond) // earlier requests end
	var requests []*callerlimit.Request
	for range requestBytes / callerbudget.SmallBytes {
		r := d.requests.Begin(func(callerlimit.Ended) {})
		r.Force(callerbudget.SmallBytes)
		r.Whole()
		requests = append(requests, r)
	}
	return func() {
		for _, r := range requests {
			r.Release()
		}
	}
}

// Guards against a false "may have run" for a request that another daemon has no room for, and against a daemon that asks
// no other one then.
func TestDelegatedRequestWithoutRoomHasNotRun(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		answered := fillRequests(w.daemons[1])
		for range 5 {
			w.Equal(w.ask(w.daemons[0], "/pledge/1", key).reason(), refusal.Reason(""))
		}
		fillRequests(w.daemons[2])
		a := w.ask(w.daemons[0], "/pledge/1", key)
		w.Equal(a.reason(), refusal.Overloaded)
		w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		w.True(a.refusal.RetryAfter > 0)
		answered()
		w.Equal(w.ask(w.daemons[0], "/pledge/1", key).reason(), refusal.Reason(""))
	})
}
