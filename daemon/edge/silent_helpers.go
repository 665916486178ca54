package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A helper sends nothing as long as its runner doesn't, so the silence of its calls alone says nothing of it. A helper
// that is silent is therefore probed. If it answers no probe, it may have gone for good: its requests that may be
// repeated are sent to another daemon as well.

// helperSilent means that a helper has sent nothing and has answered no probe.
const helperSilent suspicion = "helper_silent"

// helperCalls are the calls to helpers in progress.
type helperCalls struct {
	mu      sync.Mutex
	helpers map[ident.Incarnation]*helperActivity
	// sends are those of the calls, by the calls' numbers.
	sends map[uint64]*helperSends
}

// helperActivity tracks the calls to one helper. Its attempts are true if their requests may be repeated.
type helperActivity struct {
	activity
	address string
}

// begin registers a call.
func (c *helperCalls) begin(a *attempt, helper *peers.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.helpers[helper.Incarnation]
	if !ok {
		h = &helperActivity{activity{attempts: map[*attempt]bool{}}, helper.PeerAddress}
		h.lastHeard.Store(time.Now().UnixNano())
		if c.helpers == nil {
			c.helpers = map[ident.Incarnation]*helperActivity{}
		}
		c.helpers[helper.Incarnation] = h
	}
	h.attempts[a] = a.s.exchange.Terms.Repeatable
	a.activity = &h.activity
	if c.sends == nil {
		c.sends = map[uint64]*helperSends{}
	}
	a.helperSends.call = rand.Uint64()
	c.sends[a.helperSends.call] = &a.helperSends
}

// sendsOf returns the helper's sends of a call in progress, nil if there is none of that number.
func (c *helperCalls) sendsOf(call uint64) *helperSends {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sends[call]
}

// end removes a call that is no longer in progress.
func (c *helperCalls) end(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(a.activity.attempts, a)
	delete(c.sends, a.helperSends.call)
	maps.DeleteFunc(c.helpers, func(_ ident.Incarnation, h *helperActivity) bool { return len(h.attempts) == 0 })
}

// isSilent reports whether a helper has answered no probe and sent nothing since.
func (c *helperCalls) isSilent(id ident.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.helpers[id]
	return ok && h.silent.Load()
}

// dueForProbe returns the helpers that have work and have been silent for a while.
func (c *helperCalls) dueForProbe(now time.Time) []*helperActivity {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*helperActivity
	for _, h := range c.helpers {
		if now.Sub(time.Unix(0, h.lastHeard.Load())) >= silenceBeforeProbe && now.Sub(h.lastProbe) >= silenceProbeInterval {
			h.lastProbe = now
			due = append(due, h)
		}
	}
	return due
}

// suspect suspects the calls to a helper whose requests may be repeated.
func (c *helperCalls) suspect(h *helperActivity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.silent.Store(true)
	for a, repeatable := range h.attempts {
		if repeatable {
			a.suspect(helperSilent)
		}
	}
}

// probeSilentHelpers starts a probe of each helper that is due for one.
func (e *Edge) probeSilentHelpers() {
	for _, h := range e.helperCalls.dueForProbe(time.Now()) {
		go e.probeHelper(h)
	}
}

// probeHelper probes a helper, and suspects its calls if it answers none of several probes.
func (e *Edge) probeHelper(h *helperActivity) {
	start := time.Now().UnixNano()
	answered := e.answersProbe(h.address, healthConfig().ProbeTimeout)
	for n := 0; n < furtherProbes && !answered; n++ {
		answered = e.answersProbe(h.address, furtherProbeTimeout)
	}
	e.log.Note("helper_probed", decisions.F("address", h.address), decisions.F("answered", answered))
	if answered || h.lastHeard.Load() > start {
		h.silent.Store(false)
		return
	}
	e.helperCalls.suspect(h)
}

// answersProbe reports whether another daemon answers a request. Any answer will do, so the request is for nothing
// that there is.
func (e *Edge) answersProbe(address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(e.probing, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+address+"/", nil)
	if err != nil {
		return false
	}
	answer, err := e.deps.Delegation.Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return true
}
