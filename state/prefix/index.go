// Package prefix keeps an approximate index of the prompt prefixes that runners
// hold in their caches. Prefixes are named as package prefixhash does: one hash
// stands for the whole prefix up to the end of its block.
package prefix

import (
	"fmt"

	"geraniumstack.org/geraniumstack/state/prefixhash"
)

// BlockTokens is the number of tokens in a block.
const BlockTokens = prefixhash.BlockTokens

// Hash stands for a prefix that ends with a whole block.
type Hash = uint64

// Event is one change of a runner's cache.
type Event struct {
	Sequence uint64
	Block    Hash
	Stored   bool
}

// Page is one answer to a read of a runner's cache events.
type Page struct {
	// First is the oldest sequence number that the runner still keeps.
	First uint64
	// Next is the sequence number to read from next.
	Next   uint64
	Events []Event
}

// GapError says that so many cache events were lost that the slot was cleared.
type GapError struct{ Lost uint64 }

func (e *GapError) Error() string { return fmt.Sprintf("%d cache events lost", e.Lost) }

// maxLost is how many of a slot's events may be lost before it is cleared. Few
// of them are evictions that matter, and clearing costs many hits.
const maxLost = 64

type entry struct {
	hash Hash
	set  Set
	// newer and older link the entries by the time of their last change.
	newer, older int32
}

const none = int32(-1)

// Index maps prefixes to the slots that are thought to hold them. It keeps at
// most its capacity of prefixes and drops the longest unchanged one first. It
// is approximate: events come late, and what own routing will lead to is
// written down before it happened. It is not safe for concurrent use.
type Index struct {
	at      map[Hash]int32
	entries []entry
	newest  int32
	oldest  int32
	free    int32
	cursor  [Slots]uint64
	lost    [Slots]uint64
}

// NewIndex returns an empty index for at most capacity prefixes.
func NewIndex(capacity int) *Index {
	return &Index{
		at:      make(map[Hash]int32, capacity),
		entries: make([]entry, 0, max(capacity, 1)),
		newest:  none,
		oldest:  none,
		free:    none,
	}
}

// Len is the number of prefixes in the index.
func (x *Index) Len() int { return len(x.at) }

// Holders returns the slots that are thought to hold the prefix.
func (x *Index) Holders(h Hash) Set {
	i, ok := x.at[h]
	if !ok {
		return Set{}
	}
	return x.entries[i].set
}

// Cursor is the sequence number from which to read the slot's events.
func (x *Index) Cursor(slot int) uint64 { return x.cursor[slot] }

// Apply takes a page of the slot's events in. Events that were seen before are
// ignored. When too many were lost, or the runner's numbers began anew, the slot
// is cleared before the rest of the page and GapError returned: lost evictions
// would otherwise leave prefixes that send work to the wrong runner for as long
// as nothing corrects them, while lost stores only cost a hit.
func (x *Index) Apply(slot int, p Page) error {
	var gap error
	if p.Next < x.cursor[slot] {
		gap = x.resync(slot, p.First, x.cursor[slot]-p.Next)
	}
	for _, e := range p.Events {
		if e.Sequence < x.cursor[slot] {
			continue
		}
		if lost := x.skip(slot, e.Sequence); lost > maxLost {
			gap = x.resync(slot, e.Sequence, lost)
		}
		x.cursor[slot] = e.Sequence + 1
		if e.Stored {
			x.store(slot, e.Block)
		} else {
			x.evict(slot, e.Block)
		}
	}
	if lost := x.skip(slot, p.Next); lost > maxLost {
		gap = x.resync(slot, p.Next, lost)
	}
	return gap
}

// skip moves the slot's cursor up to the sequence number and returns how many
// events were lost since the slot was last cleared. Of a slot that was never
// read nothing is lost.
func (x *Index) skip(slot int, to uint64) uint64 {
	from := x.cursor[slot]
	x.cursor[slot] = max(from, to)
	if from > 0 && to > from {
		x.lost[slot] += to - from
	}
	return x.lost[slot]
}

func (x *Index) resync(slot int, cursor, lost uint64) error {
	x.Clear(slot)
	x.cursor[slot] = cursor
	return &GapError{Lost: lost}
}

// Assume notes that the slot is about to compute the chain.
func (x *Index) Assume(slot int, chain []Hash) {
	// From the far end, so that the shared beginnings are changed last and
	// dropped last.
	for i := len(chain) - 1; i >= 0; i-- {
		x.store(slot, chain[i])
	}
}

// Withdraw takes back what was assumed of the slot beyond the first kept blocks
// of the chain, where the work did not start.
func (x *Index) Withdraw(slot int, chain []Hash, kept int) {
	for _, h := range chain[min(kept, len(chain)):] {
		x.evict(slot, h)
	}
}

// Clear forgets all of a slot, as when its runner is replaced.
func (x *Index) Clear(slot int) {
	for i := x.oldest; i != none; {
		next := x.entries[i].newer
		x.drop(i, slot)
		i = next
	}
	x.cursor[slot], x.lost[slot] = 0, 0
}

func (x *Index) store(slot int, h Hash) {
	i, ok := x.at[h]
	if !ok {
		i = x.take(h)
	} else {
		x.unlink(i)
	}
	x.entries[i].set = x.entries[i].set.With(slot)
	x.link(i)
}

func (x *Index) evict(slot int, h Hash) {
	if i, ok := x.at[h]; ok {
		x.drop(i, slot)
	}
}

func (x *Index) drop(i int32, slot int) {
	e := &x.entries[i]
	e.set = e.set.Without(slot)
	if e.set.Empty() {
		x.remove(i)
	}
}

func (x *Index) take(h Hash) int32 {
	if x.free == none && len(x.entries) == cap(x.entries) {
		x.remove(x.oldest)
	}
	i := x.free
	if i == none {
		i = int32(len(x.entries))
		x.entries = append(x.entries, entry{})
	} else {
		x.free = x.entries[i].newer
	}
	x.entries[i] = entry{hash: h}
	x.at[h] = i
	return i
}

func (x *Index) remove(i int32) {
	x.unlink(i)
	delete(x.at, x.entries[i].hash)
	x.entries[i] = entry{newer: x.free}
	x.free = i
}

func (x *Index) link(i int32) {
	e := &x.entries[i]
	e.newer, e.older = none, x.newest
	if x.newest != none {
		x.entries[x.newest].newer = i
	} else {
		x.oldest = i
	}
	x.newest = i
}

func (x *Index) unlink(i int32) {
	e := &x.entries[i]
	if e.newer != none {
		x.entries[e.newer].older = e.older
	} else {
		x.newest = e.older
	}
	if e.older != none {
		x.entries[e.older].newer = e.newer
	} else {
		x.oldest = e.newer
	}
}
