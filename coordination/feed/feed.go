// Package feed passes on what was written into the key-value service, so that a few
// daemons watch it for all.
//
// The service numbers its changes. A daemon that watches keeps a Log; one that doesn't
// asks for what came after the revision up to which it knows everything, and gets a
// Part. Since revisions are the service's own, any daemon's Log goes on where another's
// ended, and a part that is lost or comes twice is of no consequence.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package feed

import (
	"cmp"
	"slices"
)

// Change is a key as it was written, or its end.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Batch is what a Log holds after a revision.
type Batch struct {
	// After is the revision that was asked for.
	After uint64
	// Through is the revision up to which nothing is missing after these changes.
	Through uint64
	Changes []Change
}

const (
	// maxDeletions bounds the ends of keys that are remembered.
	maxDeletions = 4000
	// maxGaps bounds the gaps that are remembered.
	maxGaps = 16
	// changeOverhead is counted for a change beside its key and value, in bytes.
	changeOverhead = 24
)

// Log is a copy of the service's keys in the order in which they were written last.
type Log struct {
	// revision is the revision up to which nothing is missing.
	revision uint64
	// forgottenThrough is the latest end that is forgotten.
	forgottenThrough uint64
	// gaps are the spans of revisions of which only the outcome was listed.
	gaps []gap
	// changes by revision; those that latest doesn't point at are superseded.
	changes   []Change
	latest    map[string]uint64
	deletions int
}

// gap is a span of revisions, without its ends, in which keys may have been written and
// removed that the log never heard of. Whoever knows everything up to a revision within
// it may hold one of them.
type gap struct{ from, to uint64 }

// NewLog returns a log that knows nothing.
func NewLog() *Log { return &Log{latest: map[string]uint64{}} }

// LastRevision is the revision up to which nothing is missing; zero knows nothing.
func (l *Log) LastRevision() uint64 { return l.revision }

// Reset takes in a list of all keys that was made after the revision at.
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

// Apply takes in the changes of a watch, which has told all up to at.
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

// compact drops what is superseded and the older half of the ends.
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
	drop := l.deletions - maxDeletions/2
	l.changes = slices.DeleteFunc(l.changes, func(c Change) bool {
		if !c.Deleted || drop == 0 {
			return false
		}
		drop--
		l.deletions--
		l.forgottenThrough = c.Revision
		delete(l.latest, c.Key)
		return true
	})
}

// Since returns what came after a revision, as far as it fits into so many bytes but
// at least one change. It returns false if it no longer knows what has ended since.
func (l *Log) Since(after uint64, maxBytes int) (Batch, bool) {
	if after < l.forgottenThrough || l.revision == 0 || slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < after && after < g.to }) {
		return Batch{}, false
	}
	p := Batch{After: after, Through: l.revision}
	from, _ := slices.BinarySearchFunc(l.changes, after+1, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	size := 0
	for _, c := range l.changes[from:] {
		if l.latest[c.Key] != c.Revision {
			continue
		}
		size += len(c.Key) + len(c.Value) + changeOverhead
		// What was written together is passed on together.
		if n := len(p.Changes); size > maxBytes && n > 0 && c.Revision > p.Changes[n-1].Revision {
			p.Through = min(p.Through, c.Revision-1)
			break
		}
		p.Changes = append(p.Changes, c)
	}
	return p, true
}
