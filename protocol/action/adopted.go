package action

import (
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Record is one action of an owner that has ended. Its state is final; an action
// that was still in progress is recorded as Unknown.
type Record struct {
	ID       actionkey.ID
	BodyHash string
	State    State
	Result   Result
}

// Export returns the whole table of an owner that has ended and the time of the
// export by the owner's clock. The table holds every key that the owner accepted
// and that had not expired by that time. Before the owner has ended, Export
// returns false: absence from a table that can still grow proves nothing.
func (o *Owner) Export(now time.Time) (records []Record, exportedAt time.Time, ok bool) {
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
		// If the runner still answers, the answer reaches only the ended owner.
		out.State = Unknown
		out.Result = Result{Refusal: refusal.New(refusal.OutcomeUnknown,
			"in progress when its owner ended").Unknown()}
	}
	return out
}

// AdoptedTable is the copy of an ended owner's table at the successor of that
// owner. It answers questions about the actions; it never dispatches them.
type AdoptedTable struct {
	owner      ident.Incarnation
	records    map[actionkey.ID]Record
	parts      map[uint32]bool
	total      uint32
	exportedAt time.Time
	bytes      int
}

// NewAdoptedTable returns a table that has received no parts yet.
func NewAdoptedTable(owner ident.Incarnation) *AdoptedTable {
	return &AdoptedTable{owner: owner, records: map[actionkey.ID]Record{}, parts: map[uint32]bool{}}
}

// TablePart is one piece of an exported table. Parts may arrive in any order and
// more than once.
type TablePart struct {
	Number uint32
	// Last marks the part with the highest number.
	Last bool
	// ExportedAt is the time of the export by the clock of the exporting owner. It
	// is set only in the last part.
	ExportedAt time.Time
	Records    []Record
}

// AddPart adds the records of a part unless the table already holds that part.
func (a *AdoptedTable) AddPart(p TablePart) {
	if a.parts[p.Number] {
		return
	}
	a.parts[p.Number] = true
	if p.Last {
		a.total = p.Number + 1
		a.exportedAt = p.ExportedAt
	}
	for _, r := range p.Records {
		a.records[r.ID] = r
		a.bytes += len(r.ID.Key) + answerSize(r.Result.Answer)
	}
}

// Complete reports whether every part has been received.
func (a *AdoptedTable) Complete() bool { return a.total > 0 && uint32(len(a.parts)) == a.total }

// SizeBytes returns the approximate memory size of the keys and answers.
func (a *AdoptedTable) SizeBytes() int { return a.bytes }

// AllKeysExpired reports whether all keys of the ended owner have expired at
// the time now of this daemon's clock, given the lifetime of the owner's tokens.
// It compares now to the time of the export by the owner's clock, so that the
// result is off by the difference between the two clocks.
func (a *AdoptedTable) AllKeysExpired(now time.Time, tokenLifetime time.Duration) bool {
	return a.Complete() && now.After(a.exportedAt.Add(tokenLifetime))
}

// ResultFor returns what is known about an action. An empty bodyHash looks the
// action up by its key alone. ResultFor returns false if the table can't tell: a
// part of it is missing, or the key does not belong to its owner.
//
// A key that is absent from a complete table was never dispatched, since its
// owner exported the table only after it had ended. The exception are keys that
// expired before the export: their records may have been dropped.
func (a *AdoptedTable) ResultFor(id actionkey.ID, bodyHash string) (Result, bool) {
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
	if !a.exportedAt.Before(key.Expires()) {
		return Result{Refusal: refusal.New(refusal.KeyExpired, "key is over").Unknown()}, true
	}
	return Result{Refusal: refusal.New(refusal.OwnerGone, "owner has ended; take a new token").After(newKeyRetryAfter)}, true
}
