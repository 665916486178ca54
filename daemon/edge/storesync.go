package edge

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/feed"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/holder"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// allKeys is the prefix of all keys: one watch serves the configuration,
	// the runners, the peers and the duties in one order.
	allKeys = ""
	// maxEntries bounds a list of the service.
	maxEntries = 100_000
	// watchTimeoutPerDaemon times the number of daemons is how long a watch waits. An
	// empty answer proves the configuration to this daemon and, by word, to all
	// others, so the fleet makes about one such call in this time.
	watchTimeoutPerDaemon = time.Second
	maxWatchTimeout       = 10 * time.Second
	// relayWatchTimeout is how long those of a large fleet wait who watch for the others: as
	// long the others know nothing of a service that has fallen silent.
	relayWatchTimeout = 500 * time.Millisecond
	// smallFleetBatchDelay is how long a daemon waits after a change before it watches on,
	// so that one call brings what changes together. It is a small part of the
	// two seconds in which a change must be in force.
	smallFleetBatchDelay = 60 * time.Millisecond
	// largeFleetBatchDelay is the same in a larger fleet, where each change answers the watches
	// of several daemons. What can't wait is told by peers: a newer configuration and runners
	// that are leaving. The daemon that orders runners waits for gatherOrders only, since a
	// reclaim is followed by an order, so there is always one that has read them.
	largeFleetBatchDelay = 600 * time.Millisecond
	dutyHolderBatchDelay = 250 * time.Millisecond
	// startupBatchDelay is the same for a daemon that has run for less than youngFor: all of a
	// fleet that was killed register anew then, and find each other by that.
	startupBatchDelay = 150 * time.Millisecond
	startupPeriod     = 1500 * time.Millisecond
	// firstBackoff and maxBackoff space calls to a service that is away.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// daemonPrefix begins the keys of daemons' registrations.
	daemonPrefix = "daemons/"
)

// directory is what this daemon has read of the service, or was told by relays.
type directory struct {
	mu sync.Mutex
	// changeLog is all that followers need, at the revision up to which nothing is missing,
	// and incomplete says that something is.
	changeLog  *feed.Log
	at         kv.Revision
	incomplete bool
	// currentAt is when the copy was last known to be.
	currentAt time.Duration
	// revisions are the latest ones of keys.
	revisions map[string]kv.Revision
	// runners by key of their entries.
	runners map[string]Runner
	// lapsed are runners that are still used although their entry is gone, with
	// the time at which that ends.
	lapsed map[string]time.Duration
	// leavingSince is when runners were read to be leaving.
	leavingSince map[ident.RunnerID]time.Duration
	// storeFailedAt is when the service last failed to answer.
	storeFailedAt time.Duration
	// dutyHolder is whose key of the duties stands there; empty is nobody's.
	dutyHolder ident.Incarnation
	// dutyFreeSince is since when there is none.
	dutyFreeSince time.Duration
}

func (f *directory) init() {
	f.changeLog = feed.NewLog()
	f.currentAt = freshness.Never
	f.revisions = map[string]kv.Revision{}
	f.runners = map[string]Runner{}
	f.lapsed = map[string]time.Duration{}
	f.leavingSince = map[ident.RunnerID]time.Duration{}
}

// revisionReached is the revision up to which nothing is missing.
func (f *directory) revisionReached() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return uint64(f.at)
}

// holder is who holds the duties; empty is nobody.
func (f *directory) holder() ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dutyHolder
}

// syncStore keeps this daemon's copy of the service current: by the relays that it follows,
// by a watch where there are none. What a watch has lost is read anew as a whole.
func (e *Edge) syncStore(ctx context.Context) {
	backoff := firstBackoff
	reachable := true
	for ctx.Err() == nil {
		if e.fed() {
			pause.For(ctx, fedLook)
			continue
		}
		err := e.catchUp(ctx)
		if err == nil {
			if !reachable {
				e.log.Note("store_regained", decisions.F("revision", e.dir.revisionReached()))
			}
			reachable = true
			backoff = firstBackoff
			err = e.watchStore(ctx)
		}
		var compacted *kv.CompactedError
		if errors.As(err, &compacted) {
			e.dir.markIncomplete()
		}
		if err == nil || ctx.Err() != nil || compacted != nil {
			// A service that forgets its history all the time must not be listed as
			// fast as it answers.
			pause.For(ctx, smallFleetBatchDelay)
			continue
		}
		if reachable {
			e.log.Note("store_lost", decisions.F("error", err.Error()))
		}
		reachable = false
		e.noteStoreFailure()
		pause.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// markIncomplete notes that a part of the service's history is gone.
func (f *directory) markIncomplete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incomplete = true
}

// catchUp lists all keys if this daemon has none of them, or has lost some.
func (e *Edge) catchUp(ctx context.Context) error {
	e.dir.mu.Lock()
	complete := e.dir.at != 0 && !e.dir.incomplete
	e.dir.mu.Unlock()
	if complete {
		return nil
	}
	return e.readAll(ctx)
}

func (e *Edge) noteStoreFailure() {
	e.dir.mu.Lock()
	e.dir.storeFailedAt = e.deps.Steady()
	e.dir.mu.Unlock()
}

// readAll lists all keys, after the revision from which to watch on.
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
	e.replaceAll(entries, from, sent)
	return nil
}

// replaceAll takes in all keys as they were listed after the revision from.
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
				e.setRunner(entry, now)
			}
			delete(missing, entry.Key)
		case strings.HasPrefix(entry.Key, holder.KeyPrefix):
			newHolder = ident.Incarnation(entry.Value)
		}
	}
	for key := range missing {
		// A relay may have told of one that was written after the list was made.
		if from == 0 || e.dir.revisions[key] <= from {
			e.removeRunner(key)
		}
	}
	e.noteDutyHolder(newHolder)
	e.dir.changeLog.Reset(e.changesOf(events), uint64(from))
	e.dir.at = max(e.dir.at, from)
	e.dir.incomplete = false
	e.dir.mu.Unlock()
	for _, entry := range entries {
		switch {
		case entry.Key == e.deps.Codec.ConfigKey():
			e.applyConfig(kv.Event{Entry: entry}, sent)
		case strings.HasPrefix(entry.Key, daemonPrefix):
			e.registered(entry.Key, entry.Value)
		}
	}
	e.publishRunners()
}

// watchStore follows the changes until the service fails to answer, has lost them, or relays
// pass them on.
//
// It goes on from the last change that it was told, not from the revision that
// the service says it is at: a watchStore that goes blind for a moment ends without a
// change while the revision moves on, and from there the change would never be
// told. All keys are watched, so a revision that moves on without a change is no
// proof of anything either.
func (e *Edge) watchStore(ctx context.Context) error {
	sawChanges := true
	for ctx.Err() == nil && !e.fed() {
		at := kv.Revision(e.dir.revisionReached())
		wait := e.watchTimeout(sawChanges)
		sent := e.deps.Steady()
		events, next, err := e.deps.Store.Watch(ctx, allKeys, at, wait)
		if err != nil {
			return err
		}
		if len(events) == 0 && next > at {
			e.log.Note("watch_blind", decisions.F("at", uint64(at)), decisions.F("service_at", uint64(next)))
		} else if len(events) == 0 {
			e.confirmedByIdleWatch(sent, wait)
		}
		e.applyChanges(events, at, sent)
		sawChanges = len(events) > 0
		if sawChanges {
			// Changes are told without gaps, so when the service answered there was no
			// newer configuration than those among them; it answered after it was asked.
			e.confirmedByWatch(sent)
			// Changes come in groups: runners start and leave together.
			pause.For(ctx, e.batchDelay())
		}
	}
	return nil
}

// watchTimeout is how long the next watch waits. A change answers the watches of
// all daemons together; so that their next empty answers come in turn, each then
// waits its place in the order of names first.
func (e *Edge) watchTimeout(together bool) time.Duration {
	if !e.allWatch.Load() {
		return relayWatchTimeout
	}
	place, size := e.rank()
	if together {
		size = place + 1
	}
	return min(maxWatchTimeout, watchTimeoutPerDaemon*time.Duration(size))
}

// rank is this daemon's place in the order of names among those that watch, and their
// number.
func (e *Edge) rank() (place, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placeAmong(e.settings.ID, e.relayPlan.Watchers)
}

// placeAmong is a daemon's place in the order of names among others, and their number
// with it.
func placeAmong(self ident.DaemonID, others []peers.Member) (place, size int) {
	for _, m := range others {
		if m.ID < self {
			place++
		}
	}
	return place, len(others) + 1
}

// confirmedByIdleWatch dates the proof of an empty answer. The service answered after it
// had waited, so it found no change up to then; one that came sooner is dated
// by its question.
func (e *Edge) confirmedByIdleWatch(sent, wait time.Duration) {
	at := sent
	if e.deps.Steady()-sent >= wait {
		at = sent + wait
	}
	e.confirmedByWatch(at)
}

// confirmedByWatch takes the configuration in force for the newest at a time. It isn't if
// the watch has told a newer one that can't be read.
func (e *Edge) confirmedByWatch(at time.Duration) {
	e.dir.mu.Lock()
	e.dir.currentAt = max(e.dir.currentAt, at)
	e.dir.mu.Unlock()
	e.mu.Lock()
	revision := e.fresh.Revision()
	newest := !e.configUnreadable
	e.mu.Unlock()
	if revision > 0 && newest {
		e.markConfirmed(revision, at)
	}
}

// batchDelay is how long to let changes come together.
func (e *Edge) batchDelay() time.Duration {
	switch {
	case e.fleetSize() <= relays.SmallFleet:
		return smallFleetBatchDelay
	case e.duties.holder.Token() != 0:
		return dutyHolderBatchDelay
	case e.deps.Steady()-e.startedAt < startupPeriod:
		return startupBatchDelay
	}
	return largeFleetBatchDelay
}

// applyChanges takes in changes up to a revision, or up to the last of them if that is later.
func (e *Edge) applyChanges(events []kv.Event, through kv.Revision, sent time.Duration) {
	now := time.Now()
	changed := false
	e.applyTrialChanges(events)
	e.dir.mu.Lock()
	for _, event := range events {
		through = max(through, event.Revision)
		if !e.passedOn(event.Key) || !e.dir.recordRevision(event.Key, event.Revision) {
			continue
		}
		switch {
		case strings.HasPrefix(event.Key, e.deps.Codec.RunnerPrefix()):
			changed = true
			if event.Deleted {
				e.removeRunner(event.Key)
			} else {
				e.setRunner(event.Entry, now)
			}
		case strings.HasPrefix(event.Key, holder.KeyPrefix) && event.Deleted:
			e.noteDutyHolder("")
		case strings.HasPrefix(event.Key, holder.KeyPrefix):
			e.noteDutyHolder(ident.Incarnation(event.Value))
		}
	}
	e.dir.changeLog.Apply(e.changesOf(events), uint64(through))
	e.dir.at = max(e.dir.at, through)
	e.dir.mu.Unlock()
	for _, event := range events {
		switch {
		case event.Key == e.deps.Codec.ConfigKey():
			e.applyConfig(event, sent)
		case strings.HasPrefix(event.Key, daemonPrefix) && !event.Deleted:
			e.registered(event.Key, event.Value)
		}
	}
	if changed {
		e.publishRunners()
	}
}

// noteDutyHolder notes who holds the duties; called with dir.mu held.
func (e *Edge) noteDutyHolder(newHolder ident.Incarnation) {
	if e.dir.dutyHolder != "" && newHolder == "" || e.dir.dutyFreeSince == 0 {
		e.dir.dutyFreeSince = max(1, e.deps.Steady())
	}
	e.dir.dutyHolder = newHolder
}

// applyConfig puts an operator's configuration into force unless it is older than
// the one in force. Operators' versions grow, and so do the service's revisions;
// a stale answer must not bring back what was taken away.
func (e *Edge) applyConfig(event kv.Event, sent time.Duration) {
	if event.Deleted {
		e.log.Note("config_ignored", decisions.F("reason", "deleted"), decisions.F("revision", uint64(event.Revision)))
		return
	}
	config, err := e.deps.Codec.Config(event.Value)
	if err != nil {
		e.log.Note("config_ignored", decisions.F("reason", err.Error()), decisions.F("revision", uint64(event.Revision)))
		e.mu.Lock()
		e.configUnreadable = true
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.table.Load()
	changed := e.fresh.Read(uint64(event.Revision), sent)
	e.configUnreadable = e.configUnreadable && !changed
	if changed && (before == nil || config.Version > before.Version()) {
		e.activateConfig(route.NewTable(config), event.Revision)
	}
	e.refreshPhase(e.deps.Steady())
}

// limitsOf are the workspaces' quotas.
func limitsOf(t *route.Table) map[ident.Workspace]quota.Limit {
	limits := map[ident.Workspace]quota.Limit{}
	for i := range t.Config().Workspaces {
		w := &t.Config().Workspaces[i]
		limits[w.Name] = quota.Limit{PerSecond: w.Quota.PerSecond, Burst: w.Quota.Burst}
	}
	return limits
}

// activateConfig is called with mu held.
func (e *Edge) activateConfig(t *route.Table, revision kv.Revision) {
	e.limiter.SetLimits(e.deps.Steady(), limitsOf(t))
	e.table.Store(t)
	e.setServices(t)
	e.log.Note("config_in_force", decisions.F("version", t.Version()), decisions.F("revision", uint64(revision)),
		decisions.F("routes", len(t.Config().Routes)), decisions.F("workspaces", len(t.Config().Workspaces)))
}

// setServices makes the pools that a configuration names. A pool that is no
// longer named goes on, since requests may still be in it.
func (e *Edge) setServices(t *route.Table) {
	e.poolsMu.Lock()
	for i := range t.Config().Services {
		s := &t.Config().Services[i]
		p, ok := e.pools[s.Name]
		if !ok {
			p = newPool(e, *s)
			e.pools[s.Name] = p
		}
		p.setService(*s)
	}
	e.poolsMu.Unlock()
	e.publishRunners()
}
