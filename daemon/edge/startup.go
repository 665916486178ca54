package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
)

// This file decides how a daemon that has just started gets the content of the key-value service:
// by a list of its own in a small fleet, from its relays in a large one.

const (
	// firstStartWait is how long a daemon at least waits at the first start of its fleet before
	// it reads the service: by then it has exchanged messages with its seeds. It waits up to
	// maxFirstStartWait while it hears of further daemons in each quietStartPeriod.
	firstStartWait    = 300 * time.Millisecond
	maxFirstStartWait = 1500 * time.Millisecond
	quietStartPeriod  = 150 * time.Millisecond
	// minSnapshotPatience is how long a daemon at least waits for the next part of the service's
	// content from its relays before it lists the service itself. Twice that is the longest
	// time, so that the daemons of a fleet without relays don't all list it at once.
	minSnapshotPatience = 3 * time.Second
	// mistakenRelayPeriod is the time in which a daemon that wrongly considers itself a relay
	// should have been told by others.
	mistakenRelayPeriod = 1500 * time.Millisecond
)

// findFleet finds out how large the fleet is, before this daemon reads the key-value service. In
// a large fleet it gets the content from relays instead. At the first start of all no daemon is
// registered yet, but there is time to hear from others.
func (e *Edge) findFleet(ctx context.Context) {
	if e.settings.FleetNeverServed && e.confirmFirstStart(ctx) {
		e.assumeFirstStart()
		if len(e.settings.Seeds) > 0 {
			e.waitForOthers(ctx)
		}
		e.claimFullBudget(ctx)
		return
	}
	entries, err := e.deps.Store.List(ctx, daemonPrefix, "", maxEntries)
	if err != nil {
		e.log.Note("registrations_unknown", decisions.F("error", err.Error()))
		return
	}
	for _, entry := range entries {
		e.handleRegistration(entry.Key, entry.Value)
	}
	e.tickPeers() // elects relays among those that are registered
}

// waitForOthers waits until this daemon knows that the fleet has relays, or has heard of others and
// then of no further one for a while.
func (e *Edge) waitForOthers(ctx context.Context) {
	known := 0
	for waited := time.Duration(0); waited < maxFirstStartWait; waited += quietStartPeriod {
		pause.For(ctx, quietStartPeriod)
		e.mu.Lock()
		before, direct := known, e.relayPlan.Direct
		known = e.peers.KnownCount()
		e.mu.Unlock()
		if !direct || known > 1 && known == before && waited >= firstStartWait {
			return
		}
	}
}

// awaitsSnapshot reports whether this daemon needs the whole content of the key-value service and
// should wait until its relays have sent it.
func (e *Edge) awaitsSnapshot() bool {
	now := e.deps.Steady()
	if !e.mayBeFed(now) {
		return false
	}
	if e.dir.startFirstSnapshot(now) {
		e.sendRound(0) // asks the relays at once
	}
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	return e.dir.snapshot != nil && now-e.dir.snapshotProgressAt < e.snapshotPatience
}

// mayBeFed reports whether relays pass the content of the key-value service on to this daemon.
func (e *Edge) mayBeFed(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.relayPlan.Direct && (!e.relayPlan.WatchesStore || e.mayBeMistaken(now))
}

// waitForFeed waits until relays pass changes on to this daemon again, and reports whether they do.
func (e *Edge) waitForFeed(ctx context.Context) bool {
	begun := e.deps.Steady()
	for e.deps.Steady()-begun < e.snapshotPatience && ctx.Err() == nil {
		if e.feedIsCurrent() {
			return true
		}
		pause.For(ctx, gossipInterval)
	}
	return false
}

// mayBeMistaken reports whether this daemon has recently begun to consider itself a relay and no
// other relay has confirmed it. It may just know too few other daemons yet. The caller must hold
// e.mu.
func (e *Edge) mayBeMistaken(now time.Duration) bool {
	return e.relayPlan.Relay && !e.isConfirmedRelay(now) && now-e.relayConfirmation.RelaySince() < mistakenRelayPeriod
}
