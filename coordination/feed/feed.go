// Package feed passes changes of the key-value service from daemons that watch it to
// daemons that don't, so that only a few daemons watch.
//
// The service numbers its changes with revisions. A daemon that watches keeps a Log. A
// daemon that doesn't asks for the changes after the revision up to which it knows
// everything, and gets a Batch. Since the revisions are the service's own, it can switch to
// the Log of another daemon at any revision, and a batch that is lost or arrives twice does
// no harm.
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

// Batch holds changes after a revision.
type Batch struct {
	// After is the revision that was asked for.
	After uint64
	// Through is the revision through which the receiver has all changes after it has
	// applied Changes, provided that it had all changes through After.
	Through uint64
	Changes []Change
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
}

// gap is a range of revisions, exclusive at both ends, within which the log doesn't know
// every change. A list shows only the keys that exist at its revision, so the log knows
// nothing of a key that was both written and deleted within the range. A follower whose
// revision lies within the range may still hold such a key.
type gap struct{ from, to uint64 }

// NewLog returns an empty log.
func NewLog() *Log { return &Log{latest: map[string]uint64{}} }

// LastRevision returns the revision up to which the log is complete, or zero if the log is
// empty.
func (l *Log) LastRevision() uint64 { return l.revision }

// Reset applies a complete list of the service's keys that was read at the given revision
// or later. Keys that the log holds and the list lacks are recorded as deleted.
func (l *Log) Reset(list []Change, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.Key] = true
	}
	var deletions []Change
	for _, c := range l.changes {
		if l.latest[c.Key] == c.Revision && !c.Deleted && !listed[c.Key] && c.Revision <= revision {
			deletions = append(deletions, Change{Key: c.Key, Revision: revision, Deleted: true})
		}
	}
	l.add(append(deletions, list...))
	if revision > l.revision {
		l.gaps = append(l.gaps, gap{l.revision, revision})
	}
	if len(l.gaps) > maxGaps {
		l.forgottenThrough = max(l.forgottenThrough, l.gaps[0].to)
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}
	l.revision = max(l.revision, revision)
}

// Apply applies the changes of a watch that is complete up to the given revision.
func (l *Log) Apply(changes []Change, revision uint64) {
	l.add(changes)
	l.revision = max(l.revision, revision)
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

// Since returns the changes after a revision that fit into maxBytes, but at least one if
// there is any. It returns false if the log can't tell which keys were deleted since that
// revision; the follower must then list the keys itself.
func (l *Log) Since(after uint64, maxBytes int) (Batch, bool) {
	if after < l.forgottenThrough || l.revision == 0 || slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < after && after < g.to }) {
		return Batch{}, false
	}
	batch := Batch{After: after, Through: l.revision}
	firstIndex, _ := slices.BinarySearchFunc(l.changes, after+1, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	size := 0
	for _, c := range l.changes[firstIndex:] {
		if l.latest[c.Key] != c.Revision {
			continue
		}
		size += len(c.Key) + len(c.Value) + changeOverhead
		// Changes with the same revision are never split between two batches.
		if n := len(batch.Changes); size > maxBytes && n > 0 && c.Revision > batch.Changes[n-1].Revision {
			batch.Through = min(batch.Through, c.Revision-1)
			break
		}
		batch.Changes = append(batch.Changes, c)
	}
	return batch, true
}
