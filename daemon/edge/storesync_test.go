package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Guards against too many calls of the store during a reclaim in a larger fleet, in which a
// runner comes or goes every 100 ms for ten seconds. Every change ends the watch of every
// daemon. If each daemon watches again immediately, the store gets hundreds of calls a second
// for changes that can wait, and becomes slow for those that can't. Calls must stay few, and a
// leaving runner must get no requests well before two seconds have passed.
func TestChangesAreBatchedInALargeFleet(t *testing.T) {
	checkWatchesWhileRunnersChange(t, nil)
}

// Guards against daemons that each watch on behalf of their own failure domain and don't wait
// for further changes before the next watch.
func TestChangesAreBatchedInManyDomains(t *testing.T) {
	var domains []ident.FailureDomain
	for i := range batchingDaemons {
		domains = append(domains, ident.FailureDomain(fmt.Sprintf("domain-%d", i)))
	}
	checkWatchesWhileRunnersChange(t, domains)
}

const batchingDaemons = 12

// checkWatchesWhileRunnersChange lets a runner come or go every 100 ms in a fleet spread over
// some failure domains, and checks the number of watch calls that the key-value service received.
func checkWatchesWhileRunnersChange(t *testing.T, domains []ident.FailureDomain) {
	const daemons = batchingDaemons
	withFleet(t, 0, config(1), func(w *testFleet) {
		w.domains = domains
		for range daemons {
			w.addDaemon()
		}
		time.Sleep(time.Second)
		kept := w.addRunner("kept", "app")
		w.store.ResetCalls()
		for i := range 50 {
			id := fmt.Sprintf("r%d", i)
			w.addRunner(id, "app")
			time.Sleep(100 * time.Millisecond)
			w.leaving(id, "app")
			time.Sleep(100 * time.Millisecond)
		}
		watches := w.store.Calls()[kvserver.CallWatch]
		t.Logf("watches: %d", watches)
		// Each second the duty holder makes ten watches and each other daemon one and a
		// quarter; in addition there are the calls in progress at the start and the end.
		w.True(watches <= 10*10+(daemons-1)*(10*5/4+2))
		time.Sleep(600 * time.Millisecond)
		before := kept.count()
		for _, d := range w.daemons {
			w.Equal(w.ask(d, "/read/", key).status, 200)
		}
		w.Equal(kept.count()-before, daemons)
	})
}

// Guards against reading the service for each request with an unknown route while runners come
// and go. Such a request is refused only if the configuration is known to be recent. The
// answers of the watch prove that, so the service need not be read for each request.
//
// Reads of this test in addition to its own: 21 before answers with changes counted as proof, 3
// since.
func TestChangesProveTheConfiguration(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.store.ResetCalls()
		for i := range 50 {
			w.addRunner(fmt.Sprintf("r%d", i), "app")
			time.Sleep(100 * time.Millisecond)
			for _, d := range w.daemons {
				w.Equal(w.ask(d, "/nowhere/", key).reason(), refusal.UnknownRoute)
			}
		}
		reads := w.store.Calls()[kvserver.CallGet]
		t.Logf("reads: %d", reads)
		w.True(reads-50 <= 5) // the test itself makes one read for each runner
	})
}

// Guards against sending requests to a leaving runner by a daemon that can't reach the store or
// waits before its next watch: their streams broke off when the runner left. The other daemons
// have read that the runner is leaving and report it.
func TestNoticeIsHeardFromPeers(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		going := w.addRunner("going", "app")
		w.addRunner("staying", "app")
		time.Sleep(200 * time.Millisecond)
		cutOff := w.daemons[1]
		cutOff.store.setFaults(true, false)
		w.leaving("going", "app")
		time.Sleep(400 * time.Millisecond)
		before := going.count()
		for range 20 {
			w.Equal(w.ask(cutOff, "/read/", key).status, 200)
		}
		w.Equal(going.count(), before)
	})
}
