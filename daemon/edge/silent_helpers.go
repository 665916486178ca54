package edge

import (
	"sync"
	"time"

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

// suspectSilent suspects the calls to helpers that are silent.
func (c *helperCalls) suspectSilent(now time.Time, alive map[ident.Incarnation]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.calls {
		if c.isSilent(a, now, alive) {
			a.suspect(helperSilent)
		}
	}
}

// isEmpty reports whether there are no such calls.
func (c *helperCalls) isEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) == 0
}

// isSilent reports whether a call has brought nothing for silenceBeforeProbe from a helper that isn't alive.
func (c *helperCalls) isSilent(a *attempt, now time.Time, alive map[ident.Incarnation]bool) bool {
	helper, calls := c.calls[a]
	return calls && !alive[helper] && now.Sub(time.Unix(0, a.activity.lastHeard.Load())) >= silenceBeforeProbe
}

// suspectSilentHelpers suspects the calls to helpers that seem to have gone.
func (e *Edge) suspectSilentHelpers() {
	if e.helperCalls.isEmpty() {
		return
	}
	e.helperCalls.suspectSilent(time.Now(), e.aliveIncarnations())
}

// helperIsSilent reports whether a call to a helper is still suspected.
func (e *Edge) helperIsSilent(a *attempt) bool {
	alive := e.aliveIncarnations()
	e.helperCalls.mu.Lock()
	defer e.helperCalls.mu.Unlock()
	return e.helperCalls.isSilent(a, time.Now(), alive)
}

// aliveIncarnations returns the other daemons that count as alive.
func (e *Edge) aliveIncarnations() map[ident.Incarnation]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	alive := make(map[ident.Incarnation]bool, len(e.alive))
	for _, m := range e.alive {
		alive[m.Incarnation] = true
	}
	return alive
}
