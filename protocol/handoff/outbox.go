package handoff

import (
	"cmp"
	"slices"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Renewal is one record that its keeper must be sent.
type Renewal struct {
	ID     ident.RequestID
	Keeper view.Daemon
	// From is the offset of the first token that the keeper lacks; zero asks
	// for the whole record.
	From int
}

// Progress is how far a request has come.
type Progress struct {
	Offset int
	Done   bool
}

type recordState struct {
	keeper   ident.Incarnation
	acked    int
	done     bool
	complete bool
}

// Outbox knows which of this daemon's requests are recorded where. It is not
// safe for concurrent use.
type Outbox struct {
	entries map[ident.RequestID]*recordState
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{entries: map[ident.RequestID]*recordState{}} }

// Track makes a request one that needs a record.
func (o *Outbox) Track(id ident.RequestID) {
	if _, ok := o.entries[id]; !ok {
		o.entries[id] = &recordState{}
	}
}

// Tracked tells whether a request needs a record.
func (o *Outbox) Tracked(id ident.RequestID) bool {
	_, ok := o.entries[id]
	return ok
}

// Untrack forgets a request and returns who keeps its record; empty if no one.
func (o *Outbox) Untrack(id ident.RequestID) ident.Incarnation {
	e, ok := o.entries[id]
	if !ok {
		return ""
	}
	delete(o.entries, id)
	return e.keeper
}

// Stored notes what a keeper has acknowledged.
func (o *Outbox) Stored(id ident.RequestID, keeper ident.Incarnation, p Progress) {
	e, ok := o.entries[id]
	if !ok {
		return
	}
	*e = recordState{keeper: keeper, acked: p.Offset, done: p.Done, complete: true}
}

// Lost notes that a keeper lacks a record or a part of it.
func (o *Outbox) Lost(id ident.RequestID) {
	if e, ok := o.entries[id]; ok {
		*e = recordState{}
	}
}

// DueRenewals lists the records that their keepers lack, in the order of their IDs. A
// keeper that is no longer live is replaced: its record would go with it.
func (o *Outbox) DueRenewals(self view.Daemon, daemons []view.Daemon, progress func(ident.RequestID) Progress) []Renewal {
	live := map[ident.Incarnation]view.Daemon{}
	for _, d := range daemons {
		if d.State == view.Live {
			live[d.Incarnation] = d
		}
	}
	var due []Renewal
	for id, e := range o.entries {
		keeper, ok := live[e.keeper]
		if !ok || !e.complete {
			ranked := RankKeepers(id, self, daemons)
			if len(ranked) == 0 {
				continue
			}
			due = append(due, Renewal{ID: id, Keeper: ranked[0]})
			continue
		}
		p := progress(id)
		if p.Offset > e.acked || p.Done != e.done {
			due = append(due, Renewal{ID: id, Keeper: keeper, From: e.acked})
		}
	}
	slices.SortFunc(due, func(a, b Renewal) int { return cmp.Compare(a.ID, b.ID) })
	return due
}
