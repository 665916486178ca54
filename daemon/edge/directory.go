package edge

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/feed"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// directory is this daemon's copy of the key-value service, read from the service itself or
// received from relays.
type directory struct {
	mu sync.Mutex
	// changeLog holds all entries and changes that followers need, except unlogged ones: those
	// of a part of what changed, which it gets when the rest has come. batches holds the changes
	// after the positions that were asked for, while the log is complete up to batchesHead.
	changeLog   *feed.Log
	unlogged    []feed.Change
	batches     map[feed.Position]packedBatch
	batchesHead uint64
	// position says which changes of the key-value service this copy has, unless incomplete is
	// set. justListed is set from a listing until the next watch was answered.
	position feed.Position
	// historySince is when this daemon first had a copy of the service's present history; Never if
	// that is the fleet's first one.
	historySince time.Duration
	firstStart   bool
	incomplete   bool
	justListed   bool
	// snapshot collects the whole content from relays; nil if that isn't needed.
	// snapshotProgressAt is when the last part of it arrived.
	snapshot           *feed.Snapshot
	snapshotProgressAt time.Duration
	// currentAt is the last time at which the copy was known to be up to date.
	currentAt time.Duration
	// revisions holds the latest known revision of each key.
	revisions map[string]kv.Revision
	// runners is indexed by the key of the runner's entry.
	runners map[string]Runner
	// lapsed holds the runners that are still used although their entry has expired.
	lapsed  map[string]lapsedRunner
	leaving leavingRunners
	removed removedRunners
	// withdrawn are the runners that were found to be leaving or gone since the pools were told.
	// unpublished says that the pools lack other changes, too; they were last told a long list
	// at publishedAt.
	withdrawn   []ident.RunnerID
	unpublished bool
	publishedAt time.Duration
	// publications is the number of the latest list or withdrawal that was taken for the pools.
	publications publication
	// storeFailedAt is when the service last failed to answer.
	storeFailedAt time.Duration
	// dutyHolder is the daemon that holds the lease of the duties; empty if no daemon does.
	dutyHolder ident.Incarnation
	// leaseFreeSince is the time since when no daemon has held the lease of the duties; zero until
	// the key-value service has been read.
	leaseFreeSince time.Duration
}

func (f *directory) init(self ident.Incarnation) {
	f.changeLog = feed.NewLog(max(1, xxhash.Sum64String(string(self))))
	f.currentAt = freshness.Never
	f.revisions = map[string]kv.Revision{}
	f.runners = map[string]Runner{}
	f.lapsed = map[string]lapsedRunner{}
	f.leaving.marks = map[uint64]leavingMark{}
	f.removed = newRemovedRunners()
}

// advance sets the position unless the copy has come further. The caller must hold dir.mu.
func (f *directory) advance(now time.Duration, p feed.Position) {
	if p.At < f.position.At {
		return
	}
	isFirst := f.position.At == 0
	switch {
	case isFirst && f.firstStart:
		f.historySince = freshness.Never
	case isFirst, kv.Revision(p.At).History() != kv.Revision(f.position.At).History():
		f.historySince = now
	}
	f.position = p
}

// inHistoryFor returns how long this daemon has known the service's present history.
func (f *directory) inHistoryFor(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.historySince
}

// presentHistory returns the number of the history of this daemon's copy, and when this daemon first had
// a copy of that history; Never if that is the fleet's first one.
func (f *directory) presentHistory() (number uint64, since time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return kv.Revision(f.position.At).History(), f.historySince
}

// hasCopy reports whether this daemon has a copy without missed changes and isn't collecting a new
// one. The caller must hold dir.mu.
func (f *directory) hasCopy() bool {
	return f.position.At != 0 && !f.incomplete && f.snapshot == nil
}

// revisionReached returns the revision up to which this copy has every change.
func (f *directory) revisionReached() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position.At
}

// holder returns the daemon that holds the duties; empty if nobody does.
func (f *directory) holder() ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dutyHolder
}

// markIncomplete records that changes have been missed because the service has discarded a part
// of its history.
func (f *directory) markIncomplete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incomplete = true
}

// isJustListed reports whether no watch was answered since the last listing.
func (f *directory) isJustListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.justListed
}

// askForFeed adds to a message what this daemon has of the key-value service's content.
func (f *directory) askForFeed(h *peersv1.Hello) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.position
	if f.snapshot != nil {
		p = f.snapshot.Position()
	}
	h.FeedWanted, h.FeedAt, h.FeedLog, h.FeedFloor = true, p.At, p.Log, p.Floor
}

// noteCurrent records that this copy is as recent as one that has everything up to a revision.
func (f *directory) noteCurrent(head uint64, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if head != 0 && f.snapshot == nil && f.position.Complete() && f.position.At >= head {
		f.currentAt = max(f.currentAt, at)
	}
}

// freshness returns how long ago this copy was last known to be up to date, and whether the service has failed
// to answer since.
func (f *directory) freshness(now time.Duration) (age time.Duration, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.currentAt, f.storeFailedAt > f.currentAt
}

// copyAge returns how long ago this daemon's copy of the key-value service was last known to be up to date.
func (e *Edge) copyAge() time.Duration {
	age, _ := e.dir.freshness(e.deps.Steady())
	return age
}

// startSnapshot begins to collect the whole content of the service from relays. The copy stays in
// use until then. The caller must hold dir.mu.
func (f *directory) startSnapshot(now time.Duration) {
	f.snapshot, f.snapshotProgressAt = &feed.Snapshot{}, now
}

// startFirstSnapshot begins a snapshot if there is neither a copy nor a snapshot, and reports
// whether it did.
func (f *directory) startFirstSnapshot(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position.At != 0 || f.snapshot != nil {
		return false
	}
	f.startSnapshot(now)
	return true
}

// wantsSnapshot reports whether this daemon collects the whole content of the service.
func (f *directory) wantsSnapshot() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot != nil
}

// addToSnapshot adds a batch to the snapshot. It reports whether the batch followed, and whether
// the snapshot is complete. The caller must hold dir.mu.
func (f *directory) addToSnapshot(now time.Duration, b feed.Batch) (added, complete bool) {
	added = f.snapshot.Add(b)
	if added {
		f.snapshotProgressAt = now
	}
	return added, f.snapshot.Complete()
}
