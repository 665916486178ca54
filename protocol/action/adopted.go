package action

import (
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Record is one final or doubtful action of an owner that has ended.
type Record struct {
	ID       actionkey.ID
	BodyHash string
	State    State
	Result   Result
}

// Export returns the whole table of an owner that has ended and the time, by
// its clock, from which on no expired key can be missing from it. Before the
// end it returns false: a table that can still grow proves nothing.
func (o *Owner) Export(now time.Time) (records []Record, complete time.Time, ok bool) {
	if !o.ended {
		return nil, time.Time{}, false
	}
	records = make([]Record, 0, len(o.records))
	for _, rec := range o.records {
		records = append(records, rec.export())
	}
	return records, now, true
}

func (r *record) export() Record {
	out := Record{ID: r.id, BodyHash: r.bodyHash, State: r.state, Result: r.retainedResult()}
	if !r.state.final() {
		// Its runner's answer, if one comes, reaches only the old owner.
		out.State = Unknown
		out.Result = Result{Refusal: refusal.New(refusal.OutcomeUnknown,
			"in progress when its owner ended").Unknown()}
	}
	return out
}

// AdoptedTable is the table of an ended owner at its one successor. Nothing in it
// is ever dispatched.
type AdoptedTable struct {
	owner    ident.Incarnation
	records  map[actionkey.ID]Record
	parts    map[uint32]bool
	total    uint32
	complete time.Time
	bytes    int
}

// NewAdoptedTable returns a table of which no part has come yet.
func NewAdoptedTable(owner ident.Incarnation) *AdoptedTable {
	return &AdoptedTable{owner: owner, records: map[actionkey.ID]Record{}, parts: map[uint32]bool{}}
}

// TablePart is one piece of a table. Parts may come in any order and twice.
type TablePart struct {
	Number uint32
	// Last has the highest number and carries Complete.
	Last     bool
	Complete time.Time
	Records  []Record
}

// AddPart takes a part in.
func (a *AdoptedTable) AddPart(p TablePart) {
	if a.parts[p.Number] {
		return
	}
	a.parts[p.Number] = true
	if p.Last {
		a.total = p.Number + 1
		a.complete = p.Complete
	}
	for _, r := range p.Records {
		a.records[r.ID] = r
		a.bytes += len(r.ID.Key) + answerSize(r.Result.Answer)
	}
}

// Complete tells whether every part has come.
func (a *AdoptedTable) Complete() bool { return a.total > 0 && uint32(len(a.parts)) == a.total }

// SizeBytes is about what the table holds.
func (a *AdoptedTable) SizeBytes() int { return a.bytes }

// AllKeysExpired tells whether all its keys are over at wall-clock time now.
func (a *AdoptedTable) AllKeysExpired(now time.Time, lifetime time.Duration) bool {
	return a.Complete() && now.After(a.complete.Add(lifetime))
}

// Lookup tells what is known of an action; an empty hash asks by key alone. It
// returns false where the table proves nothing, since a part of it is missing.
//
// A key that is not in a whole table was never dispatched: its owner ended
// before it passed the table on. Only an expired one may have been dropped.
func (a *AdoptedTable) Lookup(id actionkey.ID, bodyHash string) (Result, bool) {
	if !a.Complete() {
		return Result{}, false
	}
	if r, ok := a.records[id]; ok {
		if bodyHash != "" && bodyHash != r.BodyHash {
			return Result{Refusal: refusal.New(refusal.KeyReused, "another call holds this key").Unknown()}, true
		}
		return r.Result, true
	}
	key, err := actionkey.Parse(id.Key)
	if err != nil || key.Owner != a.owner {
		return Result{}, false
	}
	if !a.complete.Before(key.Expires()) {
		return Result{Refusal: refusal.New(refusal.KeyExpired, "key is over").Unknown()}, true
	}
	return Result{Refusal: refusal.New(refusal.OwnerGone, "owner has ended; take a new token").After(newKeyRetryAfter)}, true
}
