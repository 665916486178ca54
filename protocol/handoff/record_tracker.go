package handoff

import (
	"cmp"
	"slices"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Renewal is a record, or the latest part of one, that must be sent to its
// keeper.
type Renewal struct {
	ID     ident.RequestID
	Keeper view.Daemon
	// From is the offset of the first token that the keeper lacks. Zero means
	// that the whole record must be sent.
	From int
}

// Progress is the current token offset of a request and whether it is
// complete.
type Progress struct {
	Offset int
	Done   bool
}

// recordState is what the keeper of a request's record has acknowledged.
// stored is false if the whole record must be sent.
type recordState struct {
	keeper      ident.Incarnation
	ackedOffset int
	ackedDone   bool
	stored      bool
}

// RecordTracker tracks which keeper holds the record of each of this daemon's
// requests and how many of the emitted tokens the keeper has acknowledged. It is not safe for concurrent use.
type RecordTracker struct {
	entries map[ident.RequestID]*recordState
}

// NewRecordTracker returns a tracker of no requests.
func NewRecordTracker() *RecordTracker {
	return &RecordTracker{entries: map[ident.RequestID]*recordState{}}
}

// Track adds a request that needs a record.
func (o *RecordTracker) Track(id ident.RequestID) {
	if _, ok := o.entries[id]; !ok {
		o.entries[id] = &recordState{}
	}
}

// Tracked reports whether a request needs a record.
func (o *RecordTracker) Tracked(id ident.RequestID) bool {
	_, ok := o.entries[id]
	return ok
}

// Untrack removes a request. It returns the keeper of its record, or an empty
// value if there is none.
func (o *RecordTracker) Untrack(id ident.RequestID) ident.Incarnation {
	e, ok := o.entries[id]
	if !ok {
		return ""
	}
	delete(o.entries, id)
	return e.keeper
}

// Stored records what a keeper has acknowledged.
func (o *RecordTracker) Stored(id ident.RequestID, keeper ident.Incarnation, p Progress) {
	e, ok := o.entries[id]
	if !ok {
		return
	}
	*e = recordState{keeper: keeper, ackedOffset: p.Offset, ackedDone: p.Done, stored: true}
}

// Lost records that the keeper lacks the record or a part of it, so that the
// whole record must be sent again.
func (o *RecordTracker) Lost(id ident.RequestID) {
	if e, ok := o.entries[id]; ok {
		*e = recordState{}
	}
}

// DueRenewals returns the renewals that keepers lack, ordered by request ID. A
// keeper that is no longer live is replaced, since its copy of the record
// disappears with it.
func (o *RecordTracker) DueRenewals(self view.Daemon, daemons []view.Daemon, progress func(ident.RequestID) Progress) []Renewal {
	live := map[ident.Incarnation]view.Daemon{}
	for _, d := range daemons {
		if d.State == view.Live {
			live[d.Incarnation] = d
		}
	}
	var due []Renewal
	for id, e := range o.entries {
		keeper, ok := live[e.keeper]
		if !ok || !e.stored {
			ranked := RankKeepers(id, self, daemons)
			if len(ranked) == 0 {
				continue
			}
			due = append(due, Renewal{ID: id, Keeper: ranked[0]})
			continue
		}
		p := progress(id)
		if p.Offset > e.ackedOffset || p.Done != e.ackedDone {
			due = append(due, Renewal{ID: id, Keeper: keeper, From: e.ackedOffset})
		}
	}
	slices.SortFunc(due, func(a, b Renewal) int { return cmp.Compare(a.ID, b.ID) })
	return due
}
