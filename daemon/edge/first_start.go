package edge

import (
	"context"
	"errors"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// This file finds out whether a start of this daemon is the first one of its fleet. The settings say so, but a
// supervisor may start a process again with the settings that it had, so the key-value service has to agree. Where
// that isn't known, the fleet counts as one that has served.

const (
	// firstStartsPrefix is the prefix of the keys of the first starts, one for each address of a daemon. They have no
	// lease: they must outlive each process and each outage of the service.
	firstStartsPrefix = "first-starts/"
	// fleetServedKey is written by daemons that have run for firstStartPeriod, also without a lease.
	fleetServedKey = "fleet-served"
)

func (e *Edge) firstStartKey() string { return firstStartsPrefix + e.settings.PeerAddress }

// confirmFirstStart reports whether the key-value service knows of no earlier process at this address and of no fleet
// that has served.
func (e *Edge) confirmFirstStart(ctx context.Context) bool {
	for _, key := range []string{e.firstStartKey(), fleetServedKey} {
		entry, err := e.deps.Store.Get(ctx, key)
		if err != nil {
			e.noteStart(false, "unknown", decisions.F("error", err.Error()))
			return false
		}
		if entry.Revision != 0 {
			e.noteStart(false, key, decisions.F("written_by", string(entry.Value)))
			return false
		}
	}
	e.noteStart(true, "nothing_written")
	return true
}

// noteStart logs whether this is the first start of the fleet, and what says so.
func (e *Edge) noteStart(first bool, evidence string, more ...decisions.Field) {
	e.log.Note("first_start", append([]decisions.Field{decisions.F("confirmed", first), decisions.F("evidence", evidence)}, more...)...)
	if !first {
		e.log.Count("first_start.not_confirmed")
	}
}

// awaitServedFleet waits until it is known whether the fleet has served before, and reports whether it has; false if the
// context ends.
func (e *Edge) awaitServedFleet(ctx context.Context) bool {
	select {
	case <-e.fleetFound:
		return !e.firstStart.Load()
	case <-ctx.Done():
		return false
	}
}

// assumeFirstStart makes this daemon use that the fleet has never served: no quota is used, no stream has been
// begun, and the key-value service has its first history.
func (e *Edge) assumeFirstStart() {
	e.firstStart.Store(true)
	e.mu.Lock()
	e.resetLimiter(e.deps.Steady())
	e.mu.Unlock()
	e.dir.mu.Lock()
	e.dir.firstStart = true
	e.dir.mu.Unlock()
	e.streams.assumeComplete(e.startedAt)
}

// claimFullBudget records this daemon's first start at its address in the key-value service. If that succeeds, no
// process at this address has spent any retries, and none that starts there later may think so again. Only the
// daemons of a direct fleet record it: in a large one the full budget of each is a few retries.
func (e *Edge) claimFullBudget(ctx context.Context) {
	if !e.directMode.Load() {
		return
	}
	_, err := e.deps.Store.CompareAndSwap(ctx, e.firstStartKey(), 0, []byte(e.self), 0)
	if err != nil {
		e.log.Note("full_budget_denied", decisions.F("error", err.Error()))
		return
	}
	e.nothingSpent.Store(true)
}

// servedRecord is what this daemon knows of the record that the fleet has served: whether it is there, and in which
// history of the key-value service.
type servedRecord struct {
	written bool
	history uint64
}

// write writes the record once the daemon has run for firstStartPeriod, so that daemons that start together don't take each
// other for earlier ones, and again in a later history of the service, which may lack it.
func (r *servedRecord) write(ctx context.Context, e *Edge) {
	history := kv.Revision(e.dir.revisionReached()).History()
	if e.deps.Steady()-e.startedAt < firstStartPeriod || r.written && r.history == history {
		return
	}
	_, err := e.deps.Store.CompareAndSwap(ctx, fleetServedKey, 0, []byte(e.self), 0)
	var conflict *kv.ConflictError
	*r = servedRecord{err == nil || errors.As(err, &conflict), history}
}
