// Package prefix maintains an approximate index of the prompt prefixes that
// the runners hold in their KV caches. A prefix is identified by the hash of
// its last block, which package prefixhash computes over the whole prefix.
// Each runner occupies a numbered slot of the index. A block is a run of
// BlockTokens tokens, and a chain is the list of the hashes of a prompt's
// blocks in order.
package prefix

import (
	"fmt"

	"geraniumstack.org/geraniumstack/state/prefixhash"
)

// BlockTokens is the number of tokens in a block.
const BlockTokens = prefixhash.BlockTokens

// Hash identifies a prefix that ends with a complete block.
type Hash = uint64

// Event is one change of a runner's cache.
type Event struct {
	Sequence uint64
	Block    Hash
	Stored   bool
}

// Page is the result of one read of a runner's cache events.
type Page struct {
	// First is the oldest sequence number that the runner still has.
	First uint64
	// Next is the sequence number at which the next read must start.
	Next   uint64
	Events []Event
}

// GapError reports that a slot was cleared because too many cache events were
// lost.
type GapError struct{ Lost uint64 }

func (e *GapError) Error() string { return fmt.Sprintf("%d cache events lost", e.Lost) }

// maxLostEvents is the number of events of a slot that may be lost since the
// slot was last cleared before the
// slot is cleared. Only few lost events are evictions that matter, while
// clearing the slot costs many cache hits.
const maxLostEvents = 64

type entry struct {
	hash Hash
	set  Set
	// newer and older link the entries in the order of their last change.
	newer, older int32
}

const noEntry = int32(-1)

// Index maps prefixes to the slots that probably hold them. If its capacity is
// reached, it drops the prefix that has not changed for the longest time. The
// index is approximate: events arrive late, and prefixes that routing
// decisions will produce are added in advance. It is not safe for concurrent
// use.
type Index struct {
	byHash       map[Hash]int32
	entries      []entry
	newest       int32
	oldest       int32
	freeList     int32
	nextSequence [Slots]uint64
	lostEvents   [Slots]uint64
}

// NewIndex returns an empty index of at most capacity prefixes.
func NewIndex(capacity int) *Index {
	return &Index{
		byHash:   make(map[Hash]int32, capacity),
		entries:  make([]entry, 0, max(capacity, 1)),
		newest:   noEntry,
		oldest:   noEntry,
		freeList: noEntry,
	}
}

// Len returns the number of prefixes in the index.
func (x *Index) Len() int { return len(x.byHash) }

// Holders returns the slots that probably hold the prefix.
func (x *Index) Holders(h Hash) Set {
	i, ok := x.byHash[h]
	if !ok {
		return Set{}
	}
	return x.entries[i].set
}

// Cursor returns the sequence number at which the next read of the slot's
// events must start.
func (x *Index) Cursor(slot int) uint64 { return x.nextSequence[slot] }

// ApplyPage applies a page of the slot's events and ignores events that were
// applied before. If too many events were lost, or if the runner's sequence
// numbers started anew, it clears the slot before it applies the rest of the
// page, and returns a *GapError. Lost evictions would otherwise leave prefixes
// in the index that send requests to the wrong runner until something corrects
// them, while lost additions only cost a cache hit.
func (x *Index) ApplyPage(slot int, p Page) error {
	var gap error
	if p.Next < x.nextSequence[slot] {
		gap = x.resetSlot(slot, p.First, x.nextSequence[slot]-p.Next)
	}
	for _, e := range p.Events {
		if e.Sequence < x.nextSequence[slot] {
			continue
		}
		if lost := x.advanceCursor(slot, e.Sequence); lost > maxLostEvents {
			gap = x.resetSlot(slot, e.Sequence, lost)
		}
		x.nextSequence[slot] = e.Sequence + 1
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

// advanceCursor moves the cursor of the slot forward to the sequence number
// and returns the number of events lost since the slot was last cleared. The
// first read of a slot counts no events as lost.
func (x *Index) advanceCursor(slot int, to uint64) uint64 {
	from := x.nextSequence[slot]
	x.nextSequence[slot] = max(from, to)
	if from > 0 && to > from {
		x.lostEvents[slot] += to - from
	}
	return x.lostEvents[slot]
}

// resetSlot clears the slot and sets its cursor after a gap in the sequence
// numbers.
func (x *Index) resetSlot(slot int, nextSequence, lostEvents uint64) error {
	x.Clear(slot)
	x.nextSequence[slot] = nextSequence
	return &GapError{Lost: lostEvents}
}

// Assume adds the prefixes of a request that is about to be computed at
// the slot. chain holds the hashes of the prompt's blocks in order.
func (x *Index) Assume(slot int, chain []Hash) {
	// The last block is added first. The beginnings, which many prompts share,
	// are thus the most recently changed entries and are dropped last.
	for i := len(chain) - 1; i >= 0; i-- {
		x.store(slot, chain[i])
	}
}

// WithdrawAssumed removes the prefixes that Assume added for a request that
// did not start at the slot. It keeps the first blocks of the chain, whose
// number is started.
func (x *Index) WithdrawAssumed(slot int, chain []Hash, started int) {
	for _, h := range chain[min(started, len(chain)):] {
		x.evict(slot, h)
	}
}

// Clear removes everything known about a slot, for example because its runner
// was replaced.
func (x *Index) Clear(slot int) {
	for i := x.oldest; i != noEntry; {
		next := x.entries[i].newer
		x.removeSlot(i, slot)
		i = next
	}
	x.nextSequence[slot], x.lostEvents[slot] = 0, 0
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

// removeSlot removes the slot from an entry, and the entry if no other slot
// holds its prefix.
func (x *Index) removeSlot(i int32, slot int) {
	e := &x.entries[i]
	e.set = e.set.Without(slot)
	if e.set.Empty() {
		x.remove(i)
	}
}

// allocate returns an unused entry for the prefix. If the index is full, it
// drops the entry that has not changed for the longest time.
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

// link makes the entry the most recently changed one.
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
