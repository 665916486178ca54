package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// A reclaim goes through a larger fleet: for ten seconds a runner comes or goes each
// 100 ms. Every change answers the watch of every daemon, and each watches on at once,
// so the store is called hundreds of times a second for news that can wait a moment,
// and is slow for those that can't. Calls must stay few, and a runner that has given
// notice must still be left alone well within two seconds.
//
// Watches of this test: 1,203 when changes gather for 60 ms, 370 with 400 ms, 235 to
// 245 with 800 ms.
func TestChangesAreGatheredInALargeFleet(t *testing.T) {
	gatherChanges(t, nil)
}

// Guards against changes that are not gathered by daemons each of which watches for its own
// failure domain.
func TestChangesAreGatheredInManyDomains(t *testing.T) {
	var domains []ident.FailureDomain
	for i := range gatheringDaemons {
		domains = append(domains, ident.FailureDomain(fmt.Sprintf("domain-%d", i)))
	}
	gatherChanges(t, domains)
}

const gatheringDaemons = 12

// gatherChanges has a runner come or go each 100 ms before daemons in some failure domains.
func gatherChanges(t *testing.T, domains []ident.FailureDomain) {
	const daemons = gatheringDaemons
	inWorld(t, 0, config(1), func(w *world) {
		w.domains = domains
		for range daemons {
			w.add()
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
		// Each second ten by the daemon that orders runners, one and a quarter by the others, and
		// the calls in progress at both ends.
		w.True(watches <= 10*10+(daemons-1)*(10*5/4+2))
		time.Sleep(600 * time.Millisecond)
		before := kept.count()
		for _, d := range w.daemons {
			w.Equal(w.ask(d, "/read/", key).status, 200)
		}
		w.Equal(kept.count()-before, daemons)
	})
}

// Somebody asks for what doesn't exist, again and again, while runners come and go.
// Such a request is denied by a configuration that is known to be recent only. The
// watch's answers prove that, so the service need not be read for each of them.
//
// Reads of this test beside its own: 21 before answers with changes were a proof,
// 3 since.
func TestChangesProveTheConfiguration(t *testing.T) {
	inWorld(t, 3, config(1), func(w *world) {
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
		w.True(reads-50 <= 5) // the test itself reads once for each runner
	})
}

// A daemon is cut off from the store, or waits for changes to come together, when a
// runner gives notice. It went on sending requests there, whose streams broke off when
// the runner left. The others have read the notice and tell it.
func TestNoticeIsHeardFromPeers(t *testing.T) {
	inWorld(t, 2, config(1), func(w *world) {
		going := w.addRunner("going", "app")
		w.addRunner("staying", "app")
		time.Sleep(200 * time.Millisecond)
		cutOff := w.daemons[1]
		cutOff.store.set(true, false)
		w.leaving("going", "app")
		time.Sleep(400 * time.Millisecond)
		before := going.count()
		for range 20 {
			w.Equal(w.ask(cutOff, "/read/", key).status, 200)
		}
		w.Equal(going.count(), before)
	})
}
