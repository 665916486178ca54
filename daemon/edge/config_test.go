package edge_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

// The service's watches go blind for a second: they end without a change though
// the revision has moved on. A daemon that watches on from there never hears of
// the route that was added meanwhile, until the next change.
func TestChangeDuringBlindWatch(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		for _, d := range w.daemons {
			d.store.setFaults(false, true)
		}
		next := config(2)
		next.Routes = append(next.Routes, route.Route{
			Name: "new", Host: host, PathPrefix: "/new/", Kind: route.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Targets: []route.Target{{Service: "app", Weight: 1}},
		})
		w.configure(next)
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			d.store.setFaults(false, false)
		}
		time.Sleep(4 * time.Second)
		for _, d := range w.daemons {
			w.Equal(w.ask(d, "/new/1", key).status, 200)
		}
	})
}

// A key is taken away while one daemon can't reach the service. The daemon goes
// on for as long as its peers vouch for its configuration, and no longer.
func TestRevokedKeyAtCutOffDaemon(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(100 * time.Millisecond)
		cutOff := w.daemons[2]
		cutOff.store.setFaults(true, false)
		time.Sleep(8 * time.Second)
		w.Equal(w.ask(cutOff, "/read/1", key).status, 200) // vouched for
		revoked := config(2)
		revoked.Workspaces[0].Keys = []string{"key-2"}
		w.configure(revoked)
		at := time.Now()
		for time.Since(at) < 8*time.Second {
			a := w.ask(cutOff, "/read/1", key)
			if time.Since(at) > 5*time.Second {
				w.Equal(a.reason(), refusal.StaleConfiguration)
			}
			time.Sleep(200 * time.Millisecond)
		}
		w.True(!cutOff.Ready())
		w.Equal(w.ask(w.daemons[0], "/read/1", key).reason(), refusal.Unauthenticated)
		cutOff.store.setFaults(false, false)
		time.Sleep(3 * time.Second)
		w.True(cutOff.Ready())
		w.Equal(w.ask(cutOff, "/read/1", key).reason(), refusal.Unauthenticated)
		w.Equal(w.ask(cutOff, "/read/1", "key-2").status, 200)
	})
}

// A daemon loses the service and its peers at once. Nobody vouches for it.
func TestKeyAtIsolatedDaemon(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(100 * time.Millisecond)
		d := w.daemons[1]
		d.store.setFaults(true, false)
		w.network.isolate("10.0.0.2:7600", true)
		time.Sleep(5 * time.Second)
		a := w.ask(d, "/read/1", key)
		w.Equal(a.reason(), refusal.StaleConfiguration)
		w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		w.True(a.refusal.RetryAfter > 0)
	})
}

// A caller uses a route or a key that was added a moment before the daemon heard
// of it. It must be served, not be told that there is none.
func TestUnknownIsReadAnewBeforeItIsDenied(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(1500 * time.Millisecond)
		d := w.daemons[0]
		d.store.setFaults(false, true)
		added := config(2)
		added.Workspaces[0].Keys = append(added.Workspaces[0].Keys, "key-2")
		w.configure(added)
		time.Sleep(900 * time.Millisecond)
		d.store.setFaults(false, false)
		w.Equal(w.ask(d, "/read/1", "key-2").status, 200)
		w.Equal(w.ask(d, "/nowhere/", key).reason(), refusal.UnknownRoute)
	})
}

// An older version is written by an operator who lost a race, or read late.
func TestOlderVersionIsNotTaken(t *testing.T) {
	withFleet(t, 1, config(5), func(w *testFleet) {
		w.addRunner("r1", "app")
		old := config(4)
		old.Workspaces[0].Keys = []string{"old"}
		w.configure(old)
		time.Sleep(time.Second)
		w.Equal(w.ask(w.daemons[0], "/read/1", "old").reason(), refusal.Unauthenticated)
		w.Equal(w.ask(w.daemons[0], "/read/1", key).status, 200)
	})
}

// Configurations come while requests are placed. A request read the service's settings
// while the watch replaced them, which may show it half of each; only the race detector
// tells.
func TestConfigurationsComeWhileRequestsArePlaced(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(100 * time.Millisecond)
		var asking sync.WaitGroup
		for range 4 {
			asking.Go(func() {
				for range 40 {
					w.Equal(w.ask(w.daemons[0], "/read/1", key).status, 200)
				}
			})
		}
		for version := range uint64(20) {
			w.configure(config(version + 2))
			time.Sleep(20 * time.Millisecond)
		}
		asking.Wait()
	})
}

// A daemon wakes up with a configuration that is too old to admit keys by, and requests
// with a key that has been taken away wait for it. A request looked the key up in the old
// configuration, waited while the new one was put into force, and then found that the
// configuration had just been proved to be the newest: the key worked once more.
func TestRevokedKeyWhileTheConfigurationIsReplaced(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(100 * time.Millisecond)
		d := w.daemons[0]
		d.store.setFaults(true, false)
		time.Sleep(6 * time.Second)
		next := config(2)
		next.Workspaces[0].Keys = []string{"key-2"}
		answered := make(chan *recordedReply)
		d.PutInForceWhile(next, 1000, func() {
			go func() { answered <- w.ask(d, "/read/", key) }()
			// A request that waits for a lock doesn't let virtual time go on.
			for range 100_000 {
				runtime.Gosched()
			}
		})
		w.Equal((<-answered).reason(), refusal.Unauthenticated)
		w.Equal(w.ask(d, "/read/", "key-2").status, 200)
	})
}

// The operator's newest version takes a key away, but a daemon can't read it. Its watch
// goes on answering, with and without changes, and that was taken for a proof that the
// version in force is the newest: the key worked for as long as nobody looked.
func TestUnreadableConfigurationIsNoProof(t *testing.T) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(100 * time.Millisecond)
		w.put(configKey, "no configuration")
		for i := range 12 {
			w.addRunner(fmt.Sprintf("later-%d", i%3), "app")
			time.Sleep(500 * time.Millisecond)
		}
		w.Equal(w.ask(w.daemons[0], "/read/", key).reason(), refusal.StaleConfiguration)
		w.configure(config(2))
		time.Sleep(time.Second)
		w.Equal(w.ask(w.daemons[0], "/read/", key).status, 200)
	})
}
