package edge

import (
	"context"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// keyAgeShare is the part of Bounds.RevokeWithin after which a daemon that can't prove its
	// configuration to be the newest refuses requests with keys. The rest covers the time
	// between the check and the arrival at the runner, and a clock that runs slightly slow.
	keyAgeShare = 0.8
	// confirmAgeShare is the part of Bounds.RevokeWithin that the latest proof may be old before
	// the daemon reads the service itself. A proof that passes over a relay that watches, a
	// relay and a follower has aged on the way when the next one arrives. The rest is left for
	// the read and one repetition.
	confirmAgeShare = 0.58
	// configFeedShare is the part of Bounds.ConfigWithin that a daemon waits for its relays to
	// pass on a newer configuration, before it reads the service itself.
	configFeedShare = 0.2
	// denialAgeShare is the part of Bounds.ConfigWithin up to which an unknown key or route is
	// refused without another read of the service. A key or route that was added a moment
	// before must not be refused.
	denialAgeShare = 0.35
	// confirmTimeout bounds a read that confirms the configuration, since a request waits for it.
	// A store that normally
	// answers in milliseconds is unreachable if it takes that long.
	confirmTimeout = 500 * time.Millisecond
	// confirmSpacing is the minimum time between two reads that confirm the configuration. It
	// keeps requests with unknown keys or routes from causing a flood of reads.
	confirmSpacing = 100 * time.Millisecond
)

// maxConfigAgeForKeys is the age of the configuration up to which requests with keys are
// admitted.
func (e *Edge) maxConfigAgeForKeys() time.Duration {
	if !e.settings.Bounds.StrictRevocation {
		return -freshness.Never
	}
	return time.Duration(keyAgeShare * float64(e.settings.Bounds.RevokeWithin))
}

// maxConfigAgeForDenial is the age of the configuration up to which unknown keys and routes are
// refused.
func (e *Edge) maxConfigAgeForDenial() time.Duration {
	return time.Duration(denialAgeShare * float64(e.settings.Bounds.ConfigWithin))
}

// configAge returns the time since the configuration was last proved to be the newest one.
func (e *Edge) configAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fresh.Age(e.deps.Steady())
}

// confirmAfter returns the age of the latest proof at which the daemon reads the service itself,
// since no other daemon's proof has arrived.
func (e *Edge) confirmAfter() time.Duration {
	return time.Duration(confirmAgeShare * float64(e.settings.Bounds.RevokeWithin))
}

// shouldReadConfig reports whether this daemon should read a newer configuration, which another
// daemon has, from the service. A daemon that gets its changes from relays waits for theirs: a
// large configuration read by the whole fleet at the same time fills the service's link. The
// caller must hold e.mu.
func (e *Edge) shouldReadConfig(now time.Duration) bool {
	if e.configBehindSince == 0 || e.table.Load() == nil {
		return false
	}
	if e.relayPlan.WatchesStore {
		return true
	}
	return now-e.configBehindSince > time.Duration(configFeedShare*float64(e.settings.Bounds.ConfigWithin))
}

// activeConfig returns the active configuration, nil if there is none, and the time since it
// was proved to be the newest one. Both are read under the same lock: the age of a newer
// configuration must not be combined with an older one, which may contain a key that has been
// removed.
func (e *Edge) activeConfig() (*route.Table, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Load(), e.fresh.Age(e.deps.Steady())
}

// configChecker limits the reads of the configuration to one at a time, whose result all
// waiting callers share.
type configChecker struct {
	mu          sync.Mutex
	running     chan struct{}
	lastEndedAt time.Duration
}

// confirmConfig reads the configuration from the service and waits for the result. Concurrent
// callers share one read, and a read isn't repeated within confirmSpacing of the end of the
// previous one.
func (e *Edge) confirmConfig(ctx context.Context) {
	c := &e.configCheck
	c.mu.Lock()
	done := c.running
	if done == nil && c.lastEndedAt != 0 && e.deps.Steady()-c.lastEndedAt < confirmSpacing {
		c.mu.Unlock()
		return
	}
	if done == nil {
		done = make(chan struct{})
		c.running = done
		go e.readConfig(done)
	}
	c.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// readConfig reads the configuration's key. A watch with a very short timeout would transfer
// less data, but it may temporarily miss changes or find that the history has been discarded.
func (e *Edge) readConfig(done chan struct{}) {
	defer func() {
		e.configCheck.mu.Lock()
		e.configCheck.running, e.configCheck.lastEndedAt = nil, max(1, e.deps.Steady())
		e.configCheck.mu.Unlock()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	sent := e.deps.Steady()
	entry, err := e.deps.Store.Get(ctx, e.deps.Codec.ConfigKey())
	if err != nil {
		e.log.Note("confirm_failed", decisions.F("age", e.configAge()), decisions.F("error", err.Error()))
		return
	}
	if entry.Revision != 0 {
		e.applyConfig(kv.Event{Entry: entry}, sent)
	}
}
