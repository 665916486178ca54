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

// maxLostEvents is how many of a slot's events may be lost before it is cleared. Few
// of them are evictions that matter, and clearing costs many hits.
const maxLostEvents = 64

type entry struct {
	hash Hash
	set  Set
	// newer and older link the entries by the time of their last change.
	newer, older int32
}

const noEntry = int32(-1)

// Index maps prefixes to the slots that are thought to hold them. It keeps at
// most its capacity of prefixes and drops the longest unchanged one first. It
// is approximate: events come late, and what own routing will lead to is
// written down before it happened. It is not safe for concurrent use.
type Index struct {
	byHash     map[Hash]int32
	entries    []entry
	newest     int32
	oldest     int32
	freeList   int32
	cursor     [Slots]uint64
	lostEvents [Slots]uint64
}

// NewIndex returns an empty index for at most capacity prefixes.
func NewIndex(capacity int) *Index {
	return &Index{
		byHash:   make(map[Hash]int32, capacity),
		entries:  make([]entry, 0, max(capacity, 1)),
		newest:   noEntry,
		oldest:   noEntry,
		freeList: noEntry,
	}
}

// Len is the number of prefixes in the index.
func (x *Index) Len() int { return len(x.byHash) }

// Holders returns the slots that are thought to hold the prefix.
func (x *Index) Holders(h Hash) Set {
	i, ok := x.byHash[h]
	if !ok {
		return Set{}
	}
	return x.entries[i].set
}

// Cursor is the sequence number from which to read the slot's events.
func (x *Index) Cursor(slot int) uint64 { return x.cursor[slot] }

// ApplyPage takes a page of the slot's events in. Events that were seen before are
// ignored. When too many were lost, or the runner's numbers began anew, the slot
// is cleared before the rest of the page and GapError returned: lost evictions
// would otherwise leave prefixes that send work to the wrong runner for as long
// as nothing corrects them, while lost stores only cost a hit.
func (x *Index) ApplyPage(slot int, p Page) error {
	var gap error
	if p.Next < x.cursor[slot] {
		gap = x.resetSlot(slot, p.First, x.cursor[slot]-p.Next)
	}
	for _, e := range p.Events {
		if e.Sequence < x.cursor[slot] {
			continue
		}
		if lost := x.advanceCursor(slot, e.Sequence); lost > maxLostEvents {
			gap = x.resetSlot(slot, e.Sequence, lost)
		}
		x.cursor[slot] = e.Sequence + 1
		if e.Stored {
			x.store(slot, e.Block)
		} else {
			x.evict(slot, e.Block)
		}
	}
	if lost := x.advanceCursor(slot, p.Next); lost > maxLostEvents {
		gap = x.resetSlot(slot, p.Next, lost)
	}
	return gap
}

// advanceCursor moves the slot's cursor up to the sequence number and returns how many
// events were lost since the slot was last cleared. Of a slot that was never
// read nothing is lost.
func (x *Index) advanceCursor(slot int, to uint64) uint64 {
	from := x.cursor[slot]
	x.cursor[slot] = max(from, to)
	if from > 0 && to > from {
		x.lostEvents[slot] += to - from
	}
	return x.lostEvents[slot]
}

func (x *Index) resetSlot(slot int, cursor, lost uint64) error {
	x.Clear(slot)
	x.cursor[slot] = cursor
	return &GapError{Lost: lost}
}

// AddExpected notes that the slot is about to compute the chain.
func (x *Index) AddExpected(slot int, chain []Hash) {
	// From the far end, so that the shared beginnings are changed last and
	// dropped last.
	for i := len(chain) - 1; i >= 0; i-- {
		x.store(slot, chain[i])
	}
}

// RemoveExpected takes back what was assumed of the slot beyond the first kept blocks
// of the chain, where the work did not start.
func (x *Index) RemoveExpected(slot int, chain []Hash, started int) {
	for _, h := range chain[min(started, len(chain)):] {
		x.evict(slot, h)
	}
}

// Clear forgets all of a slot, as when its runner is replaced.
func (x *Index) Clear(slot int) {
	for i := x.oldest; i != noEntry; {
		next := x.entries[i].newer
		x.removeSlot(i, slot)
		i = next
	}
	x.cursor[slot], x.lostEvents[slot] = 0, 0
}

func (x *Index) store(slot int, h Hash) {
	i, ok := x.byHash[h]
	if !ok {
		i = x.allocate(h)
	} else {
		x.unlink(i)
	}
	x.entries[i].set = x.entries[i].set.With(slot)
	x.link(i)
}

func (x *Index) evict(slot int, h Hash) {
	if i, ok := x.byHash[h]; ok {
		x.removeSlot(i, slot)
	}
}

func (x *Index) removeSlot(i int32, slot int) {
	e := &x.entries[i]
	e.set = e.set.Without(slot)
	if e.set.Empty() {
		x.remove(i)
	}
}

func (x *Index) allocate(h Hash) int32 {
	if x.freeList == noEntry && len(x.entries) == cap(x.entries) {
		x.remove(x.oldest)
	}
	i := x.freeList
	if i == noEntry {
		i = int32(len(x.entries))
		x.entries = append(x.entries, entry{})
	} else {
		x.freeList = x.entries[i].newer
	}
	x.entries[i] = entry{hash: h}
	x.byHash[h] = i
	return i
}

func (x *Index) remove(i int32) {
	x.unlink(i)
	delete(x.byHash, x.entries[i].hash)
	x.entries[i] = entry{newer: x.freeList}
	x.freeList = i
}

func (x *Index) link(i int32) {
	e := &x.entries[i]
	e.newer, e.older = noEntry, x.newest
	if x.newest != noEntry {
		x.entries[x.newest].newer = i
	} else {
		x.oldest = i
	}
	x.newest = i
}

func (x *Index) unlink(i int32) {
	e := &x.entries[i]
	if e.newer != noEntry {
		x.entries[e.newer].older = e.older
	} else {
		x.newest = e.older
	}
	if e.older != noEntry {
		x.entries[e.older].newer = e.newer
	} else {
		x.oldest = e.newer
	}
}
