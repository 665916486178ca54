package handoff

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// PutOutcome is the result of sending a record to a keeper.
type PutOutcome int

// Results of Keeper.Put.
const (
	// Stored means that the keeper holds the record, which now survives the
	// loss of its owner.
	Stored PutOutcome = iota
	// Superseded means that another daemon owns the request now, with a claim
	// that takes precedence.
	Superseded
	// Incomplete means that the keeper lacks an earlier part of the record, so
	// that the sender must send the whole record.
	Incomplete
	// Full means that the keeper accepts no further records.
	Full
)

// Claim identifies the owner of a request.
type Claim struct {
	Owner ident.Incarnation
	Epoch uint64
}

// Keeper holds copies of the records of other daemons' requests, so that
// another daemon can continue these requests if their owner fails. It is not
// safe for concurrent use.
type Keeper struct {
	limit     int
	records   map[ident.RequestID]*Record
	claims    map[ident.RequestID]Claim
	lastHeard map[ident.Incarnation]time.Time
}

// NewKeeper returns a keeper that holds at most limit records.
func NewKeeper(limit int) *Keeper {
	return &Keeper{
		limit:     limit,
		records:   map[ident.RequestID]*Record{},
		claims:    map[ident.RequestID]Claim{},
		lastHeard: map[ident.Incarnation]time.Time{},
	}
}

// Len returns the number of records.
func (k *Keeper) Len() int { return len(k.records) }

// Get returns a record. The caller must not modify it.
func (k *Keeper) Get(id ident.RequestID) (Record, bool) {
	r, ok := k.records[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Claim records that a daemon, possibly this one, owns a request, unless a
// newer claim is known. An owner that was only paused renews its records when
// it resumes, and the claim tells it that another daemon has taken over.
// Otherwise both daemons would run the request, and readers would see two
// answers under one ID.
func (k *Keeper) Claim(id ident.RequestID, c Claim) {
	old, ok := k.claims[id]
	if !ok || supersedes(c.Epoch, c.Owner, old.Epoch, old.Owner) {
		k.claims[id] = c
	}
}

// ReleaseClaim removes the claim on a request if the given daemon holds it.
func (k *Keeper) ReleaseClaim(id ident.RequestID, owner ident.Incarnation) {
	if k.claims[id].Owner == owner {
		delete(k.claims, id)
	}
}

// Put stores a record or a renewal of a record. If the outcome is Superseded,
// the returned claim identifies the current owner.
func (k *Keeper) Put(now time.Time, r Record) (PutOutcome, Claim) {
	k.lastHeard[r.Owner] = now
	c, claimed := k.claims[r.ID]
	if claimed && supersedes(c.Epoch, c.Owner, r.Epoch, r.Owner) {
		return Superseded, c
	}
	old, ok := k.records[r.ID]
	same := ok && old.Owner == r.Owner && old.Epoch == r.Epoch
	if r.EmittedFrom > 0 && !same {
		return Incomplete, Claim{}
	}
	if !ok && len(k.records) >= k.limit {
		return Full, Claim{}
	}
	k.Claim(r.ID, Claim{Owner: r.Owner, Epoch: r.Epoch})
	if r.EmittedFrom == 0 {
		k.records[r.ID] = &r
		return Stored, Claim{}
	}
	return old.applyRenewal(r), Claim{}
}

// applyRenewal appends the tokens of the renewal that the record lacks. A
// renewal that arrives late appends nothing.
func (r *Record) applyRenewal(renewal Record) PutOutcome {
	end := renewal.EmittedFrom + len(renewal.Emitted)
	if renewal.EmittedFrom > len(r.Emitted) {
		return Incomplete
	}
	if end >= len(r.Emitted) {
		fresh := renewal.Emitted[len(r.Emitted)-renewal.EmittedFrom:]
		r.Emitted = append(slices.Clip(r.Emitted), fresh...)
		r.Runner = renewal.Runner
	}
	r.MayHaveRun = r.MayHaveRun || renewal.MayHaveRun
	if renewal.Done {
		r.Done = true
		r.FinishReason = renewal.FinishReason
	}
	return Stored
}

// Delete removes a record at the request of its owner.
func (k *Keeper) Delete(owner ident.Incarnation, id ident.RequestID) {
	if r, ok := k.records[id]; ok && r.Owner == owner {
		delete(k.records, id)
		delete(k.claims, id)
	}
}

// Forget removes the record and the claim of a request, whoever owns it.
func (k *Keeper) Forget(id ident.RequestID) {
	delete(k.records, id)
	delete(k.claims, id)
}

// Adopt removes the records whose owner is gone and returns them, ordered by
// request ID, with this daemon as the owner and with the next epoch. An owner
// counts as gone only if isPresent returns false for it and if it has sent no
// record to this keeper for at least the duration silence: an owner that still sends records is
// alive even if it is missing from the list of daemons.
func (k *Keeper) Adopt(now time.Time, self ident.Incarnation, silence time.Duration, isPresent func(ident.Incarnation) bool) []Record {
	var adopted []Record
	for id, r := range k.records {
		if isPresent(r.Owner) {
			k.lastHeard[r.Owner] = now
			continue
		}
		if now.Sub(k.lastHeard[r.Owner]) < silence {
			continue
		}
		next := *r
		next.Owner = self
		next.Epoch++
		delete(k.records, id)
		k.Claim(id, Claim{Owner: self, Epoch: next.Epoch})
		adopted = append(adopted, next)
	}
	slices.SortFunc(adopted, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return adopted
}
