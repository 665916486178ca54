package handoff

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// PutOutcome is what became of a record that was sent to a keeper.
type PutOutcome int

// Outcomes of a Put.
const (
	// Stored records are safe against the loss of their owner.
	Stored PutOutcome = iota
	// Superseded records belong to another daemon by now.
	Superseded
	// Incomplete ones lack a part that the keeper never got: send them whole.
	Incomplete
	// Full keepers take no further record.
	Full
)

// Claim is who owns a request.
type Claim struct {
	Owner ident.Incarnation
	Epoch uint64
}

// Keeper holds the records of other daemons' requests. It is not safe for
// concurrent use.
type Keeper struct {
	limit     int
	records   map[ident.RequestID]*Record
	claims    map[ident.RequestID]Claim
	lastHeard map[ident.Incarnation]time.Time
}

// NewKeeper returns a keeper of at most limit records.
func NewKeeper(limit int) *Keeper {
	return &Keeper{
		limit:     limit,
		records:   map[ident.RequestID]*Record{},
		claims:    map[ident.RequestID]Claim{},
		lastHeard: map[ident.Incarnation]time.Time{},
	}
}

// Len is the number of records.
func (k *Keeper) Len() int { return len(k.records) }

// Get returns a record; it must not be changed.
func (k *Keeper) Get(id ident.RequestID) (Record, bool) {
	r, ok := k.records[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Claim notes that a daemon (perhaps this one) owns a request. An owner that
// was only paused renews its records when it wakes up; without this note it
// would go on with a request that runs elsewhere, and two answers would be
// read under one ID.
func (k *Keeper) Claim(id ident.RequestID, c Claim) {
	old, ok := k.claims[id]
	if !ok || supersedes(c.Epoch, c.Owner, old.Epoch, old.Owner) {
		k.claims[id] = c
	}
}

// ReleaseClaim forgets the claim of an owner that keeps a request no longer.
func (k *Keeper) ReleaseClaim(id ident.RequestID, owner ident.Incarnation) {
	if k.claims[id].Owner == owner {
		delete(k.claims, id)
	}
}

// Put stores a record or a renewal. The claim is who owns the request if the
// outcome is Superseded.
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

// applyRenewal takes the tokens that are new; a late renewal changes nothing.
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

// Delete forgets a record on its owner's word.
func (k *Keeper) Delete(owner ident.Incarnation, id ident.RequestID) {
	if r, ok := k.records[id]; ok && r.Owner == owner {
		delete(k.records, id)
		delete(k.claims, id)
	}
}

// Forget drops what is known of a request that is kept no longer.
func (k *Keeper) Forget(id ident.RequestID) {
	delete(k.records, id)
	delete(k.claims, id)
}

// Adopt returns the records whose owner is gone, with this daemon as their
// owner and the next epoch, in the order of their IDs; they are kept here no
// longer. Present tells whether a daemon is still known. An owner that put a
// record within quiet is alive whatever the directory says.
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
