package edge_test

import (
	"net/http"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

// withPublicRoute returns a configuration in which reads need no key.
func withPublicRoute(version uint64) route.Config {
	c := config(version)
	c.Routes[0].Public = true
	return c
}

// Guards against requests that go on to be served, with a key that was taken away or with any other, once the last workspace has
// been removed: at daemons that see the change, that miss its event, and that start after it.
func TestNoKeyIsValidWithoutWorkspaces(t *testing.T) {
	for _, keyless := range []bool{false, true} {
		withFleet(t, 4, withPublicRoute(1), func(w *testFleet) {
			w.addServingRunner("r1")
			time.Sleep(500 * time.Millisecond)
			for _, d := range w.daemons {
				w.Equal(w.ask(d, "/pledge/1", key).status, http.StatusOK)
				w.Equal(w.ask(d, "/pledge/1", "unknown").reason(), refusal.Unauthenticated)
			}
			w.daemons[1].store.setFaults(false, true)
			c := withPublicRoute(2)
			c.Workspaces, c.Keyless = nil, keyless
			w.configure(c)
			time.Sleep(3 * time.Second)
			w.daemons[2].kill()
			w.restart(2)
			time.Sleep(2 * time.Second)
			for _, d := range w.daemons {
				w.Equal(w.ask(d, "/pledge/1", key).reason(), refusal.Unauthenticated)
				w.Equal(w.ask(d, "/pledge/1", "unknown").reason(), refusal.Unauthenticated)
				w.Equal(w.ask(d, "/pledge/1", "").refusal == nil, keyless)
				w.Equal(w.ask(d, "/read/1", "").status, http.StatusOK)
			}
		})
	}
}

// Guards against a deployment that never had workspaces and refuses all requests.
func TestConfigurationThatNeverHadWorkspacesServes(t *testing.T) {
	c := config(1)
	c.Workspaces, c.Keyless = nil, true
	withFleet(t, 1, c, func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.Equal(w.ask(w.daemons[0], "/pledge/1", "").status, http.StatusOK)
	})
}
