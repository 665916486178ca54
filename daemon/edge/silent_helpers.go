package edge

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A helper sends nothing as long as its runner doesn't, so the silence of a call alone says nothing of it. A helper
// that doesn't count as alive either, since its messages to the other daemons have stopped, may have gone for good:
// its requests that may be repeated are sent to another daemon as well.

// helperSilent means that a helper has sent nothing and doesn't count as alive.
const helperSilent suspicion = "helper_silent"

// helperCalls are the calls to helpers in progress whose requests may be repeated.
type helperCalls struct {
	mu    sync.Mutex
	calls map[*attempt]ident.Incarnation
}

// begin registers a call.
func (c *helperCalls) begin(a *attempt, helper ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[*attempt]ident.Incarnation{}
	}
	c.calls[a] = helper
}

// end removes a call that is no longer in progress.
func (c *helperCalls) end(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, a)
}

// suspectSilent suspects the calls that have brought nothing for silenceBeforeProbe from a helper that isn't alive.
func (c *helperCalls) suspectSilent(now time.Time, alive []peers.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return
	}
	heard := make(map[ident.Incarnation]bool, len(alive))
	for _, m := range alive {
		heard[m.Incarnation] = true
	}
	for a, helper := range c.calls {
		if !heard[helper] && now.Sub(time.Unix(0, a.activity.lastHeard.Load())) >= silenceBeforeProbe {
			a.suspect(helperSilent)
		}
	}
}

// suspectSilentHelpers suspects the calls to helpers that seem to have gone.
func (e *Edge) suspectSilentHelpers() {
	e.mu.Lock()
	alive := e.alive
	e.mu.Unlock()
	e.helperCalls.suspectSilent(time.Now(), alive)
}
