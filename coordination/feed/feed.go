// Package feed passes changes of the key-value service from daemons that watch it to
// daemons that don't, so that only a few daemons watch.
//
// The service numbers its changes with revisions. A daemon that watches keeps a Log. A
// daemon that doesn't asks for the changes after the revision up to which it knows
// everything, and gets a Batch. Since the revisions are the service's own, it can switch to
// the Log of another daemon at any revision, and a batch that is lost or arrives twice does
// no harm. A daemon that has just started gets everything in the same way, with an empty copy
// as its Position.
//
// The package does no I/O and reads no clock. A Log is not safe for concurrent use.
package feed

import (
	"cmp"
	"slices"
)

// Change is a write or the deletion of a key.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Position is how far a receiver's copy of the service's keys has come. A receiver with an
// empty copy starts at the zero Position.
type Position struct {
	// At is the revision up to which the receiver has all changes.
	At uint64
	// Log is the log that sent only a part of what changed, zero if the copy is complete. Only
	// that log can go on: it skipped changes that later ones superseded, so that the copy is
	// not what existed at At.
	Log uint64
	// Floor is the revision from which that log has to know all deletions.
	Floor uint64
}

// Complete reports whether the copy holds what existed at the revision At.
func (p Position) Complete() bool { return p.At != 0 && p.Log == 0 }

// deletionsKnown returns the revision up to which the copy misses no deletion.
func (p Position) deletionsKnown() uint64 {
	if p.Log != 0 {
		return p.Floor
	}
	return p.At
}

// Batch holds changes after a position.
type Batch struct {
	// After is the position that was asked for.
	After Position
	// Next is the receiver's position after it has applied Changes.
	Next    Position
	Changes []Change
}

// Follows reports whether a receiver at the position may apply the batch. A batch that ends
// complete may begin earlier than a complete position. Any other one must begin at the position,
// since an older batch may hold keys that were deleted since.
func (b Batch) Follows(p Position) bool {
	if b.Next.At <= p.At {
		return false
	}
	return b.After == p || p.Complete() && b.After.Complete() && b.Next.Complete() && b.After.At < p.At
}

const (
	// maxDeletions is the maximum number of deletions that a Log remembers.
	maxDeletions = 4000
	// maxGaps is the maximum number of gaps that a Log remembers.
	maxGaps = 16
	// changeOverhead is the size in bytes that counts for a change in addition to its key
	// and value.
	changeOverhead = 24
)

// Log holds the last change of each key in the order of revisions.
type Log struct {
	// id distinguishes this log from those of other daemons.
	id uint64
	// revision is the revision up to which the log is complete.
	revision uint64
	// forgottenThrough is the revision of the latest deletion that was forgotten.
	forgottenThrough uint64
	// gaps holds the ranges of revisions that the log skipped because it was reset from a
	// list of keys instead of following a watch.
	gaps []gap
	// changes is sorted by revision. Changes that latest doesn't refer to are superseded.
	changes   []Change
	latest    map[string]uint64
	deletions int
	// unsettled is set until the first Apply, and from a Reset until the next. The list may have
	// been read after its revision, so until then the log doesn't know what existed at any one
	// revision. settledAt is the revision at which it knew that last, and missing holds the keys
	// that it held and the list lacked, with the revisions of their last writes.
	unsettled bool
	settledAt uint64
	missing   map[string]uint64
}

// gap is a range of revisions, exclusive at both ends, within which the log doesn't know
// every change. A list shows only the keys that exist at its revision, so the log knows
// nothing of a key that was both written and deleted within the range. A follower whose
// revision lies within the range may still hold such a key.
type gap struct{ from, to uint64 }

// NewLog returns an empty log with an ID other than zero.
func NewLog(id uint64) *Log { return &Log{id: id, latest: map[string]uint64{}, unsettled: true} }

// LastRevision returns the revision up to which the log is complete, or zero if the log is
// empty.
func (l *Log) LastRevision() uint64 { return l.revision }

// Reset applies a complete list of the service's keys that was read at the given revision
// or later. The log has no news for anybody until the next Apply.
func (l *Log) Reset(list []Change, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.Key] = true
	}
	if l.missing == nil {
		l.missing = map[string]uint64{}
	}
	for _, c := range l.changes {
		if l.latest[c.Key] == c.Revision && !c.Deleted && !listed[c.Key] {
			l.missing[c.Key] = c.Revision
		}
	}
	if !l.unsettled {
		l.unsettled, l.settledAt = true, l.revision
	}
	l.add(list)
	l.revision = max(l.revision, revision)
}

// Apply applies the changes of a watch that is complete up to the given revision. After a Reset,
// the watch must have been answered after the list was read. Keys that the list lacked are then
// recorded as deleted. The first changes of an empty log are another log's content, without the keys
// that were deleted before.
func (l *Log) Apply(changes []Change, revision uint64) {
	l.add(changes)
	l.revision = max(l.revision, revision)
	if !l.unsettled {
		return
	}
	var deletions []Change
	for key, revision := range l.missing {
		if l.latest[key] == revision {
			deletions = append(deletions, Change{Key: key, Revision: l.revision, Deleted: true})
		}
	}
	l.unsettled, l.missing = false, nil
	l.add(deletions)
	l.addGap(gap{l.settledAt, l.revision})
}

func (l *Log) addGap(g gap) {
	if g.from >= g.to {
		return
	}
	l.gaps = append(l.gaps, g)
	if len(l.gaps) > maxGaps {
		l.forgottenThrough = max(l.forgottenThrough, l.gaps[0].to)
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}
}

func (l *Log) add(changes []Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Revision <= l.latest[c.Key] {
			continue
		}
		l.latest[c.Key] = c.Revision
		l.changes = append(l.changes, c)
		if c.Deleted {
			l.deletions++
		}
	}
	slices.SortStableFunc(l.changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(l.changes) > 2*len(l.latest) || l.deletions > maxDeletions {
		l.compact()
	}
}

// compact drops superseded changes. If more than maxDeletions deletions remain, it also
// drops the oldest until half of maxDeletions is left.
func (l *Log) compact() {
	l.changes = slices.DeleteFunc(l.changes, func(c Change) bool { return l.latest[c.Key] != c.Revision })
	l.deletions = 0
	for _, c := range l.changes {
		if c.Deleted {
			l.deletions++
		}
	}
	if l.deletions <= maxDeletions {
		return
	}
	toDrop := l.deletions - maxDeletions/2
	l.changes = slices.DeleteFunc(l.changes, func(c Change) bool {
		if !c.Deleted || toDrop == 0 {
			return false
		}
		toDrop--
		l.deletions--
		l.forgottenThrough = c.Revision
		delete(l.latest, c.Key)
		return true
	})
}

// Since returns the changes after a position that fit into maxBytes, but at least one if
// there is any. It returns false if the log has no news for the position: because it doesn't
// hold any more which keys were deleted since, because the copy is another log's to complete, or
// because it has just been reset.
func (l *Log) Since(after Position, maxBytes int) (Batch, bool) {
	if l.unsettled || l.revision == 0 || after.Log != 0 && after.Log != l.id || l.Forgot(after) {
		return Batch{}, false
	}
	floor := after.deletionsKnown()
	if after.At == 0 {
		floor = l.revision
	}
	batch := Batch{After: after, Next: Position{At: l.revision}}
	firstIndex, _ := slices.BinarySearchFunc(l.changes, after.At+1, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	size := 0
	for _, c := range l.changes[firstIndex:] {
		isKnown := c.Deleted && c.Revision <= floor
		if l.latest[c.Key] != c.Revision || isKnown {
			continue
		}
		size += len(c.Key) + len(c.Value) + changeOverhead
		// Changes with the same revision are never split between two batches.
		if n := len(batch.Changes); size > maxBytes && n > 0 && c.Revision > batch.Changes[n-1].Revision {
			batch.Next = Position{At: c.Revision - 1, Log: l.id, Floor: floor}
			break
		}
		batch.Changes = append(batch.Changes, c)
	}
	return batch, true
}

// Forgot reports whether the log doesn't hold any more which keys were deleted since a position
// that it could go on from. The receiver must then start again with an empty copy.
func (l *Log) Forgot(after Position) bool {
	if l.revision == 0 || after.At == 0 || after.Log != 0 && after.Log != l.id {
		return false
	}
	from := after.deletionsKnown()
	return from < l.forgottenThrough || slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < from && from < g.to })
}
