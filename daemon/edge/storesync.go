package edge

import (
	"context"
	"errors"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/coordination/feed"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/holder"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// allKeys is the prefix of all keys: a single watch delivers changes of the configuration,
	// the runners, the daemons and the duties in one order.
	allKeys = ""
	// maxEntries bounds a listing of the key-value service.
	maxEntries = 100_000
	// watchTimeoutPerDaemon times the number of daemons is the timeout of a watch, at most
	// maxWatchTimeout. A watch that ends without a change proves to this daemon that its
	// configuration is the newest one, and by its messages to all others, so the whole fleet
	// makes about one such call per watchTimeoutPerDaemon.
	watchTimeoutPerDaemon = time.Second
	maxWatchTimeout       = 10 * time.Second
	// relayWatchTimeout is the timeout of a watch in a large fleet, where some daemons watch on
	// behalf of the others. The others don't notice for that long that the service has stopped
	// answering.
	relayWatchTimeout = 500 * time.Millisecond
	// settleWatchTimeout is the timeout of the first watch after a listing. Until it is answered,
	// the listing can't be passed on: it may have been read in the middle of changes.
	settleWatchTimeout = 20 * time.Millisecond
	// smallFleetBatchDelay is how long a daemon waits after a change before its next watch, so
	// that one call returns several changes. It is a small part of the two seconds within which
	// a change must be in force.
	smallFleetBatchDelay = 60 * time.Millisecond
	// largeFleetBatchDelay is the same delay in a larger fleet, where each change ends the
	// watches of several daemons. Urgent changes, which are a newer configuration and runners
	// that are leaving, also arrive in messages of other daemons. The duty holder waits only
	// for dutyHolderBatchDelay: a reclaim is followed by an order of runners, so one daemon
	// must always have read the reclaim by then.
	largeFleetBatchDelay = 600 * time.Millisecond
	dutyHolderBatchDelay = 250 * time.Millisecond
	// startupBatchDelay is the same delay for a daemon that has run for less than
	// startupPeriod. When a whole fleet has been killed, all daemons register again at that
	// time and find each other by these registrations.
	startupBatchDelay = 150 * time.Millisecond
	startupPeriod     = 1500 * time.Millisecond
	// firstBackoff and maxBackoff bound the time between calls to a service that is
	// unreachable.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// daemonPrefix is the prefix of the keys of the daemons' registrations.
	daemonPrefix = "daemons/"
)

// storeAccess is what syncStore knows of its calls to the key-value service.
type storeAccess struct {
	reachable bool
	// backoff is the time until the next call to a service that doesn't answer.
	backoff time.Duration
	// awaited is the revision of the service at which this daemon has waited in vain for its relays to
	// pass on what it has missed; zero if it hasn't.
	awaited kv.Revision
}

// syncStore keeps this daemon's copy of the key-value service up to date: from the relays that
// it follows, or by a watch of its own if there are none. If a watch has missed changes, all
// keys are listed again.
func (e *Edge) syncStore(ctx context.Context) {
	e.findFleet(ctx)
	close(e.fleetFound)
	access := &storeAccess{reachable: true, backoff: firstBackoff}
	for ctx.Err() == nil {
		if e.feedIsCurrent() {
			pause.For(ctx, feedCheckInterval)
			continue
		}
		if e.awaitsSnapshot() {
			pause.For(ctx, gossipInterval)
			continue
		}
		err := e.catchUp(ctx)
		if err == nil {
			err = e.watchStore(ctx, access)
		}
		var compacted *kv.CompactedError
		switch {
		case errors.As(err, &compacted):
			e.noteAnswered(access)
			e.handleMissedChanges(ctx, access, compacted.Current)
			// This limits the rate of listings of a service that discards its history again and again.
			pause.For(ctx, smallFleetBatchDelay)
		case err == nil || ctx.Err() != nil:
			pause.For(ctx, smallFleetBatchDelay)
		default:
			e.noteUnanswered(access, err)
			pause.For(ctx, access.backoff)
			access.backoff = min(2*access.backoff, maxBackoff)
		}
	}
}

func (e *Edge) noteAnswered(access *storeAccess) {
	if !access.reachable {
		e.log.Note("store_regained", decisions.F("revision", kv.Revision(e.dir.revisionReached())))
	}
	access.reachable, access.backoff = true, firstBackoff
}

func (e *Edge) noteUnanswered(access *storeAccess, err error) {
	if access.reachable {
		e.log.Note("store_lost", decisions.F("error", err.Error()))
	}
	access.reachable = false
	e.dir.mu.Lock()
	e.dir.storeFailedAt = e.deps.Steady()
	e.dir.mu.Unlock()
}

// handleMissedChanges makes this daemon list all keys, unless relays can pass on what it has missed: after
// an outage all daemons watch the service themselves, and would all list it at the same time.
func (e *Edge) handleMissedChanges(ctx context.Context, access *storeAccess, current kv.Revision) {
	e.log.Note("changes_missed", decisions.F("at", kv.Revision(e.dir.revisionReached())), decisions.F("service_at", current))
	hasWaited := access.awaited != 0 && access.awaited.History() == current.History()
	if hasWaited || !e.mayBeFed(e.deps.Steady()) {
		access.awaited = 0
		e.dir.markIncomplete()
		return
	}
	access.awaited = current
	if e.waitForFeed(ctx) {
		access.awaited = 0
	}
}

// catchUp lists all keys if this daemon has not read them yet or has missed changes.
func (e *Edge) catchUp(ctx context.Context) error {
	e.dir.mu.Lock()
	hasCopy := e.dir.hasCopy()
	e.dir.mu.Unlock()
	if hasCopy {
		return nil
	}
	return e.readAll(ctx)
}

// readAll lists all keys. It first determines the service's revision, from which the following
// watch continues.
func (e *Edge) readAll(ctx context.Context) error {
	var compacted *kv.CompactedError
	_, _, err := e.deps.Store.Watch(ctx, allKeys, 0, time.Millisecond)
	if err != nil && !errors.As(err, &compacted) {
		return err
	}
	from := kv.Revision(0)
	if compacted != nil {
		from = compacted.Current
	}
	sent := e.deps.Steady()
	entries, err := e.deps.Store.List(ctx, allKeys, "", maxEntries)
	if err != nil {
		return err
	}
	e.log.Note("store_listed", decisions.F("entries", len(entries)), decisions.F("service_at", from),
		decisions.F("had", kv.Revision(e.dir.revisionReached())))
	e.replaceAll(entries, from, sent)
	return nil
}

// replaceAll replaces the copy by a listing of all keys that was made after the revision from.
func (e *Edge) replaceAll(entries []kv.Entry, from kv.Revision, sent time.Duration) {
	now := time.Now()
	events := make([]kv.Event, 0, len(entries))
	for _, entry := range entries {
		events = append(events, kv.Event{Entry: entry})
	}
	e.applyTrialChanges(events)
	e.dir.mu.Lock()
	missing := make(map[string]bool, len(e.dir.runners))
	for key := range e.dir.runners {
		missing[key] = true
	}
	newHolder := ident.Incarnation("")
	for _, entry := range entries {
		switch {
		case strings.HasPrefix(entry.Key, e.deps.Codec.RunnerPrefix()):
			if e.dir.recordRevision(entry.Key, entry.Revision) {
				e.setRunner(entry, now, learnedFrom(sent))
			}
			delete(missing, entry.Key)
		case strings.HasPrefix(entry.Key, holder.KeyPrefix):
			newHolder = ident.Incarnation(entry.Value)
		}
	}
	for key := range missing {
		known := e.dir.revisions[key]
		// A relay may have sent an entry that was written after the listing.
		if from == 0 || known <= from {
			e.removeRunner(key, known, from)
		}
	}
	e.noteDutyHolder(newHolder)
	e.dir.changeLog.Reset(e.feedChanges(events), uint64(from))
	e.dir.unlogged = nil
	e.dir.advance(e.deps.Steady(), feed.Position{At: uint64(from)})
	e.dir.incomplete, e.dir.snapshot, e.dir.justListed = false, nil, true
	e.dir.mu.Unlock()
	for _, entry := range entries {
		switch {
		case entry.Key == e.deps.Codec.ConfigKey():
			e.applyConfig(kv.Event{Entry: entry}, sent)
		case strings.HasPrefix(entry.Key, daemonPrefix):
			e.handleRegistration(entry.Key, entry.Value)
		case entry.Key == savedVersionsKey:
			e.noteSavedVersions(entry.Value)
		}
	}
	e.publishRunners()
}

// watchStore watches for changes until the service fails to answer, the service has discarded
// changes that this daemon needs, or relays take over sending them.
//
// The watch continues from the last change that it returned, not from the revision that the
// service reports. A watch that temporarily misses changes ends without any while the revision
// advances; continuing from that revision would lose the missed changes for good. Since all
// keys are watched, a revision that advances without a change doesn't prove that the
// configuration is the newest one either.
func (e *Edge) watchStore(ctx context.Context, access *storeAccess) error {
	sawChanges := true
	for ctx.Err() == nil && !e.feedIsCurrent() {
		at := kv.Revision(e.dir.revisionReached())
		wait := e.watchTimeout(sawChanges)
		sent := e.deps.Steady()
		events, next, err := e.deps.Store.Watch(ctx, allKeys, at, wait)
		if err != nil {
			return err
		}
		e.noteAnswered(access)
		switch {
		case len(events) == 0 && next > at:
			e.log.Note("watch_blind", decisions.F("at", at), decisions.F("service_at", next))
		case len(events) == 0:
			e.confirmedByIdleWatch(at, sent, wait)
			e.applyChanges(nil, feed.Position{At: uint64(at)}, sent)
		default:
			e.applyChanges(events, feed.Position{At: uint64(max(at, events[len(events)-1].Revision))}, sent)
		}
		sawChanges = len(events) > 0
		if sawChanges {
			// Watches return changes without gaps. So when the service answered, which was
			// after the call, there was no configuration newer than those among the changes.
			e.confirmedByWatch(at, sent)
			// Changes come in groups, since runners start and leave together.
			pause.For(ctx, e.batchDelay())
		}
	}
	return nil
}

// watchTimeout returns the timeout of the next watch. A change ends the watches of all daemons
// at the same time. So that their next empty answers arrive one after the other, each daemon
// then first uses a timeout by its position in the order of IDs.
func (e *Edge) watchTimeout(sawChanges bool) time.Duration {
	if e.dir.isJustListed() {
		return settleWatchTimeout
	}
	if !e.allWatch.Load() {
		return relayWatchTimeout
	}
	place, size := e.rank()
	if sawChanges {
		size = place + 1
	}
	return min(maxWatchTimeout, watchTimeoutPerDaemon*time.Duration(size))
}

// rank returns this daemon's position in the order of IDs among the daemons that watch, and
// their number.
func (e *Edge) rank() (place, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placeAmong(e.settings.ID, e.relayPlan.OtherWatchers)
}

// placeAmong returns a daemon's position in the order of IDs among others, and the number of
// all of them including the daemon.
func placeAmong(self ident.DaemonID, others []peers.Member) (place, size int) {
	for _, m := range others {
		if m.ID < self {
			place++
		}
	}
	return place, len(others) + 1
}

// batchDelay returns how long to wait before the next watch so that it returns several changes.
func (e *Edge) batchDelay() time.Duration {
	switch {
	case e.fleetSize() <= relays.AllWatchFleet:
		return smallFleetBatchDelay
	case e.duties.holder.Token() != 0:
		return dutyHolderBatchDelay
	case e.deps.Steady()-e.startedAt < startupPeriod:
		return startupBatchDelay
	}
	return largeFleetBatchDelay
}

// applyChanges applies changes and advances the copy to the position after them.
func (e *Edge) applyChanges(events []kv.Event, next feed.Position, sent time.Duration) {
	now := time.Now()
	changed := false
	e.applyTrialChanges(events)
	e.dir.mu.Lock()
	for _, event := range events {
		known := e.dir.revisions[event.Key]
		if !e.fedToFollowers(event.Key) || !e.dir.recordRevision(event.Key, event.Revision) {
			continue
		}
		switch {
		case strings.HasPrefix(event.Key, e.deps.Codec.RunnerPrefix()):
			changed = true
			if event.Deleted {
				e.removeRunner(event.Key, known, event.Revision)
			} else {
				e.setRunner(event.Entry, now, learnedFrom(sent))
			}
		case strings.HasPrefix(event.Key, holder.KeyPrefix) && event.Deleted:
			e.noteDutyHolder("")
		case strings.HasPrefix(event.Key, holder.KeyPrefix):
			e.noteDutyHolder(ident.Incarnation(event.Value))
		}
	}
	e.dir.unlogged = append(e.dir.unlogged, e.feedChanges(events)...)
	if next.Complete() {
		e.dir.changeLog.Apply(e.dir.unlogged, next.At)
		e.dir.unlogged, e.dir.batches = nil, nil
	}
	e.dir.advance(e.deps.Steady(), next)
	e.dir.justListed = false
	e.dir.mu.Unlock()
	for _, event := range events {
		switch {
		case event.Key == e.deps.Codec.ConfigKey():
			e.applyConfig(event, sent)
		case strings.HasPrefix(event.Key, daemonPrefix) && !event.Deleted:
			e.handleRegistration(event.Key, event.Value)
		case event.Key == savedVersionsKey && !event.Deleted:
			e.noteSavedVersions(event.Value)
		}
	}
	if changed {
		e.publishRunners()
	}
}

// learnedFrom says whether what was asked for at a time came from the key-value service or from a relay.
func learnedFrom(sent time.Duration) decisions.Field {
	if sent == freshness.Never {
		return decisions.F("told_by", "relay")
	}
	return decisions.F("told_by", "store")
}

// noteDutyHolder records who holds the duties. The caller must hold dir.mu.
func (e *Edge) noteDutyHolder(newHolder ident.Incarnation) {
	if e.dir.dutyHolder != "" && newHolder == "" || e.dir.leaseFreeSince == 0 {
		e.dir.leaseFreeSince = max(1, e.deps.Steady())
	}
	e.dir.dutyHolder = newHolder
}
