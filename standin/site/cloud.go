package site

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Call is one recorded call to the cloud API.
type Call struct {
	Path   string
	Holder string
	Fence  string
	Body   map[string]any
	// At is the time at which the call arrived.
	At time.Time
}

// Cloud is a stand-in for the cloud API. It records every report and order.
type Cloud struct {
	*httptest.Server

	mu    sync.Mutex
	calls []Call
	// spotUnavailable makes the cloud refuse orders of spot runners.
	spotUnavailable bool
}

// NewCloud starts a cloud on the loopback interface.
func NewCloud() *Cloud {
	c := &Cloud{}
	c.Server = httptest.NewServer(http.HandlerFunc(c.serve))
	return c
}

// Address returns the cloud's IP address and port.
func (c *Cloud) Address() string { return c.Listener.Addr().String() }

// SetSpotUnavailable sets whether orders of spot (reclaimable) runners are refused.
func (c *Cloud) SetSpotUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spotUnavailable = unavailable
}

// Calls returns the recorded calls to a path, in the order of their arrival.
func (c *Cloud) Calls(path string) []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var calls []Call
	for _, call := range c.calls {
		if call.Path == path {
			calls = append(calls, call)
		}
	}
	return calls
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	call := Call{Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder"), Fence: r.Header.Get("X-Fencing-Token"), At: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&call.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
	if c.spotUnavailable && call.Body["spot"] == true {
		w.WriteHeader(http.StatusConflict)
	}
}
