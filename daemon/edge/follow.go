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
	// everything is the prefix of all keys: one watch serves the configuration,
	// the runners, the peers and the duties in one order.
	everything = ""
	// maxEntries bounds a list of the service.
	maxEntries = 100_000
	// watchPerDaemon times the number of daemons is how long a watch waits. An
	// empty answer proves the configuration to this daemon and, by word, to all
	// others, so the fleet makes about one such call in this time.
	watchPerDaemon = time.Second
	maxWatch       = 10 * time.Second
	// relayedWatch is how long those of a large fleet wait who watch for the others: as
	// long the others know nothing of a service that has fallen silent.
	relayedWatch = 500 * time.Millisecond
	// gatherFor is how long a daemon waits after a change before it watches on,
	// so that one call brings what changes together. It is a small part of the
	// two seconds in which a change must be in force.
	gatherFor = 60 * time.Millisecond
	// gatherLong is the same in a larger fleet, where each change answers the watches
	// of several daemons. What can't wait is told by peers: a newer configuration and runners
	// that are leaving. The daemon that orders runners waits for gatherOrders only, since a
	// reclaim is followed by an order, so there is always one that has read them.
	gatherLong   = 600 * time.Millisecond
	gatherOrders = 250 * time.Millisecond
	// gatherYoung is the same for a daemon that has run for less than youngFor: all of a
	// fleet that was killed register anew then, and find each other by that.
	gatherYoung = 150 * time.Millisecond
	youngFor    = 1500 * time.Millisecond
	// firstBackoff and maxBackoff space calls to a service that is away.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// daemonPrefix begins the keys of daemons' registrations.
	daemonPrefix = "daemons/"
)

// directory is what this daemon has read of the service, or was told by relays.
type directory struct {
	mu sync.Mutex
	// log is all that followers need, at the revision up to which nothing is missing,
	// and incomplete says that something is.
	log        *feed.Log
	at         kv.Revision
	incomplete bool
	// current is when the copy was last known to be.
	current time.Duration
	// revisions are the latest ones of keys.
	revisions map[string]kv.Revision
	// runners by key of their entries.
	runners map[string]Runner
	// lapsed are runners that are still used although their entry is gone, with
	// the time at which that ends.
	lapsed map[string]time.Duration
	// noticed is when runners were read to be leaving.
	noticed map[ident.RunnerID]time.Duration
	// disturbed is when the service last failed to answer.
	disturbed time.Duration
	// dutyHolder is whose key of the duties stands there; empty is nobody's.
	dutyHolder ident.Incarnation
	// dutyFree is since when there is none.
	dutyFree time.Duration
}

func (f *directory) init() {
	f.log = feed.NewLog()
	f.current = freshness.Never
	f.revisions = map[string]kv.Revision{}
	f.runners = map[string]Runner{}
	f.lapsed = map[string]time.Duration{}
	f.noticed = map[ident.RunnerID]time.Duration{}
}

// reached is the revision up to which nothing is missing.
func (f *directory) reached() uint64 {
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

// follow keeps this daemon's copy of the service current: by the relays that it follows,
// by a watch where there are none. What a watch has lost is read anew as a whole.
func (e *Edge) follow(ctx context.Context) {
	backoff := firstBackoff
	reachable := true
	for ctx.Err() == nil {
		if e.feedIsCurrent() {
			pause.For(ctx, feedCheckInterval)
			continue
		}
		err := e.catchUp(ctx)
		if err == nil {
			if !reachable {
				e.log.Note("store_regained", decisions.F("revision", e.dir.reached()))
			}
			reachable = true
			backoff = firstBackoff
			err = e.watch(ctx)
		}
		var compacted *kv.CompactedError
		if errors.As(err, &compacted) {
			e.dir.lose()
		}
		if err == nil || ctx.Err() != nil || compacted != nil {
			// A service that forgets its history all the time must not be listed as
			// fast as it answers.
			pause.For(ctx, gatherFor)
			continue
		}
		if reachable {
			e.log.Note("store_lost", decisions.F("error", err.Error()))
		}
		reachable = false
		e.noteDisturbed()
		pause.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// lose notes that a part of the service's history is gone.
func (f *directory) lose() {
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

func (e *Edge) noteDisturbed() {
	e.dir.mu.Lock()
	e.dir.disturbed = e.deps.Steady()
	e.dir.mu.Unlock()
}

// readAll lists all keys, after the revision from which to watch on.
func (e *Edge) readAll(ctx context.Context) error {
	var compacted *kv.CompactedError
	_, _, err := e.deps.Store.Watch(ctx, everything, 0, time.Millisecond)
	if err != nil && !errors.As(err, &compacted) {
		return err
	}
	from := kv.Revision(0)
	if compacted != nil {
		from = compacted.Current
	}
	sent := e.deps.Steady()
	entries, err := e.deps.Store.List(ctx, everything, "", maxEntries)
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
	e.takeOrders(events)
	e.dir.mu.Lock()
	missing := make(map[string]bool, len(e.dir.runners))
	for key := range e.dir.runners {
		missing[key] = true
	}
	holding := ident.Incarnation("")
	for _, entry := range entries {
		switch {
		case strings.HasPrefix(entry.Key, e.deps.Codec.RunnerPrefix()):
			if e.dir.newer(entry.Key, entry.Revision) {
				e.setRunner(entry, now)
			}
			delete(missing, entry.Key)
		case strings.HasPrefix(entry.Key, holder.KeyPrefix):
			holding = ident.Incarnation(entry.Value)
		}
	}
	for key := range missing {
		// A relay may have told of one that was written after the list was made.
		if from == 0 || e.dir.revisions[key] <= from {
			e.removeRunner(key)
		}
	}
	e.noteDuty(holding)
	e.dir.log.Reset(e.feedChanges(events), uint64(from))
	e.dir.at = max(e.dir.at, from)
	e.dir.incomplete = false
	e.dir.mu.Unlock()
	for _, entry := range entries {
		switch {
		case entry.Key == e.deps.Codec.ConfigKey():
			e.takeConfig(kv.Event{Entry: entry}, sent)
		case strings.HasPrefix(entry.Key, daemonPrefix):
			e.handleRegistration(entry.Key, entry.Value)
		}
	}
	e.publishRunners()
}

// watch follows the changes until the service fails to answer, has lost them, or relays
// pass them on.
//
// It goes on from the last change that it was told, not from the revision that
// the service says it is at: a watch that goes blind for a moment ends without a
// change while the revision moves on, and from there the change would never be
// told. All keys are watched, so a revision that moves on without a change is no
// proof of anything either.
func (e *Edge) watch(ctx context.Context) error {
	together := true
	for ctx.Err() == nil && !e.feedIsCurrent() {
		at := kv.Revision(e.dir.reached())
		wait := e.watchWait(together)
		sent := e.deps.Steady()
		events, next, err := e.deps.Store.Watch(ctx, everything, at, wait)
		if err != nil {
			return err
		}
		if len(events) == 0 && next > at {
			e.log.Note("watch_blind", decisions.F("at", uint64(at)), decisions.F("service_at", uint64(next)))
		} else if len(events) == 0 {
			e.provedByWait(sent, wait)
		}
		e.apply(events, at, sent)
		together = len(events) > 0
		if together {
			// Changes are told without gaps, so when the service answered there was no
			// newer configuration than those among them; it answered after it was asked.
			e.provedByWatch(sent)
			// Changes come in groups: runners start and leave together.
			pause.For(ctx, e.gather())
		}
	}
	return nil
}

// watchWait is how long the next watch waits. A change answers the watches of
// all daemons together; so that their next empty answers come in turn, each then
// waits its place in the order of names first.
func (e *Edge) watchWait(together bool) time.Duration {
	if !e.allWatch.Load() {
		return relayedWatch
	}
	place, size := e.rank()
	if together {
		size = place + 1
	}
	return min(maxWatch, watchPerDaemon*time.Duration(size))
}

// rank is this daemon's place in the order of names among those that watch, and their
// number.
func (e *Edge) rank() (place, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placeAmong(e.set.ID, e.plan.OtherWatchers)
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

// provedByWait dates the proof of an empty answer. The service answered after it
// had waited, so it found no change up to then; one that came sooner is dated
// by its question.
func (e *Edge) provedByWait(sent, wait time.Duration) {
	at := sent
	if e.deps.Steady()-sent >= wait {
		at = sent + wait
	}
	e.provedByWatch(at)
}

// provedByWatch takes the configuration in force for the newest at a time. It isn't if
// the watch has told a newer one that can't be read.
func (e *Edge) provedByWatch(at time.Duration) {
	e.dir.mu.Lock()
	e.dir.current = max(e.dir.current, at)
	e.dir.mu.Unlock()
	e.mu.Lock()
	revision := e.fresh.Revision()
	newest := !e.unreadable
	e.mu.Unlock()
	if revision > 0 && newest {
		e.proved(revision, at)
	}
}

// gather is how long to let changes come together.
func (e *Edge) gather() time.Duration {
	switch {
	case e.fleetSize() <= relays.AllWatchFleet:
		return gatherFor
	case e.duties.holder.Token() != 0:
		return gatherOrders
	case e.deps.Steady()-e.began < youngFor:
		return gatherYoung
	}
	return gatherLong
}

// apply takes in changes up to a revision, or up to the last of them if that is later.
func (e *Edge) apply(events []kv.Event, through kv.Revision, sent time.Duration) {
	now := time.Now()
	changed := false
	e.takeOrders(events)
	e.dir.mu.Lock()
	for _, event := range events {
		through = max(through, event.Revision)
		if !e.fedToFollowers(event.Key) || !e.dir.newer(event.Key, event.Revision) {
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
			e.noteDuty("")
		case strings.HasPrefix(event.Key, holder.KeyPrefix):
			e.noteDuty(ident.Incarnation(event.Value))
		}
	}
	e.dir.log.Apply(e.feedChanges(events), uint64(through))
	e.dir.at = max(e.dir.at, through)
	e.dir.mu.Unlock()
	for _, event := range events {
		switch {
		case event.Key == e.deps.Codec.ConfigKey():
			e.takeConfig(event, sent)
		case strings.HasPrefix(event.Key, daemonPrefix) && !event.Deleted:
			e.handleRegistration(event.Key, event.Value)
		}
	}
	if changed {
		e.publishRunners()
	}
}

// noteDuty notes who holds the duties; called with dir.mu held.
func (e *Edge) noteDuty(holding ident.Incarnation) {
	if e.dir.dutyHolder != "" && holding == "" || e.dir.dutyFree == 0 {
		e.dir.dutyFree = max(1, e.deps.Steady())
	}
	e.dir.dutyHolder = holding
}

// takeConfig puts an operator's configuration into force unless it is older than
// the one in force. Operators' versions grow, and so do the service's revisions;
// a stale answer must not bring back what was taken away.
func (e *Edge) takeConfig(event kv.Event, sent time.Duration) {
	if event.Deleted {
		e.log.Note("config_ignored", decisions.F("reason", "deleted"), decisions.F("revision", uint64(event.Revision)))
		return
	}
	config, err := e.deps.Codec.Config(event.Value)
	if err != nil {
		e.log.Note("config_ignored", decisions.F("reason", err.Error()), decisions.F("revision", uint64(event.Revision)))
		e.mu.Lock()
		e.unreadable = true
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.table.Load()
	changed := e.fresh.RecordRead(uint64(event.Revision), sent)
	e.unreadable = e.unreadable && !changed
	if changed && (before == nil || config.Version > before.Version()) {
		e.putInForce(route.NewTable(config), event.Revision)
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

// putInForce is called with mu held.
func (e *Edge) putInForce(t *route.Table, revision kv.Revision) {
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
