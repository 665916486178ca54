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
	// keyShare is the part of the bound on revoked keys after which a daemon
	// without proof of its configuration refuses them. The rest covers what runs
	// between the check and the runner, and a clock that is a little slow.
	keyShare = 0.8
	// confirmAfter is the age of the last proof at which the daemon reads the
	// service itself, since no peer's proof has come.
	confirmAfter = 2 * time.Second
	// denyShare is the part of the time in which an operator's change must be in force
	// up to which an unknown key or route is refused without another read of the service.
	// What came a moment before must not be denied.
	denyShare = 0.35
	// confirmTimeout bounds one such read. It holds a request up, and a store
	// that answers in milliseconds has gone silent by then.
	confirmTimeout = 500 * time.Millisecond
	// confirmSpacing keeps requests for what does not exist from becoming a
	// flood of reads.
	confirmSpacing = 100 * time.Millisecond
)

// keyLimit is the age of the configuration up to which keys are admitted.
func (e *Edge) keyLimit() time.Duration {
	if !e.set.Bounds.StrictRevocation {
		return -freshness.Never
	}
	return time.Duration(keyShare * float64(e.set.Bounds.RevokeWithin))
}

// denyWithin is the age of the configuration up to which unknown keys and routes are
// refused.
func (e *Edge) denyWithin() time.Duration {
	return time.Duration(denyShare * float64(e.set.Bounds.ConfigWithin))
}

// configAge is how long ago the configuration was proved to be the newest.
func (e *Edge) configAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fresh.Age(e.deps.Steady())
}

// inForce is the configuration in force and how long ago it was proved to be the newest;
// nil is none. Both are of one moment: the age of a newer one must not stand for a former
// one, which may hold a key that has been taken away.
func (e *Edge) inForce() (*route.Table, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Load(), e.fresh.Age(e.deps.Steady())
}

// confirmer lets one read of the service at a time serve all that wait for it.
type confirmer struct {
	mu      sync.Mutex
	running chan struct{}
	ended   time.Duration
}

// confirm reads the configuration's key and waits for the result. Callers share
// one read, and one that ended a moment ago is not repeated.
func (e *Edge) confirm(ctx context.Context) {
	c := &e.confirms
	c.mu.Lock()
	done := c.running
	if done == nil && c.ended != 0 && e.deps.Steady()-c.ended < confirmSpacing {
		c.mu.Unlock()
		return
	}
	if done == nil {
		done = make(chan struct{})
		c.running = done
		go e.confirmNow(done)
	}
	c.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// confirmNow reads the configuration's key. A watch that hardly waits would send
// less, but may be blind for a moment or find its history gone.
func (e *Edge) confirmNow(done chan struct{}) {
	defer func() {
		e.confirms.mu.Lock()
		e.confirms.running, e.confirms.ended = nil, max(1, e.deps.Steady())
		e.confirms.mu.Unlock()
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
		e.takeConfig(kv.Event{Entry: entry}, sent)
	}
}

// proved notes that the configuration at the revision was the newest at a time.
func (e *Edge) proved(revision uint64, at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fresh.RecordRead(revision, at)
	e.refreshPhase(e.deps.Steady())
}
