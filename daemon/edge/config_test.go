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

// Guards against losing a change while the service's watches miss changes for a second: they
// end without a change although the revision has advanced. A daemon that continues from that
// revision never sees the route that was added meanwhile, until the next change.
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

// A key is revoked while one daemon can't reach the service. The daemon must continue to serve
// as long as the other daemons confirm its configuration, and no longer.
func TestRevokedKeyAtCutOffDaemon(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(100 * time.Millisecond)
		cutOff := w.daemons[2]
		cutOff.store.setFaults(true, false)
		time.Sleep(8 * time.Second)
		w.Equal(w.ask(cutOff, "/read/1", key).status, 200) // the other daemons confirm the configuration
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

// A daemon loses the service and all other daemons at the same time, so that nobody confirms
// its configuration. It must refuse requests with keys.
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

// A caller uses a route or key that was added a moment before the daemon learned of it. The
// request must be served, not refused as unknown.
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

// Guards against activating an older version, written by an operator who lost a race or worked
// from outdated data.
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

// Guards against a data race: a request read the service's settings while the watch replaced
// them, and could see a mix of both. Only the race detector notices.
func TestConfigurationsChangeDuringRequests(t *testing.T) {
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

// Guards against accepting a revoked key while the configuration is replaced. A daemon resumes
// with a configuration that is too old to admit keys, and a request with a revoked key waits
// for a newer one. The request looked the key up in the old configuration, waited while the new
// one was activated, then found that the configuration had just been proved to be the newest,
// and was served.
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
			// A goroutine that waits for a lock keeps the test's virtual time from advancing.
			for range 100_000 {
				runtime.Gosched()
			}
		})
		w.Equal((<-answered).reason(), refusal.Unauthenticated)
		w.Equal(w.ask(d, "/read/", "key-2").status, 200)
	})
}

// Guards against accepting a revoked key because of an undecodable configuration. The newest
// version revokes a key, but a daemon can't decode it. Each answer of its watch was taken as
// proof that the active version was the newest, so the key kept working.
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
