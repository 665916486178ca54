package prefix

import (
	"iter"
	"math/bits"
)

const (
	// Slots is the most runners that one index can tell apart. A service that is
	// spread over more is dealt with in parts, and what lies cached at a runner
	// outside a daemon's part is read again: with 64 that began at 65 runners, and
	// daemons in front of 90 read 37 million tokens of shared parts again in a minute.
	Slots = 256
	// wordBits is the slots in a word of a Set.
	wordBits = 64
)

// Set is a set of slots, one bit each.
type Set [Slots / wordBits]uint64

// Has tells whether the slot is in the set.
func (s Set) Has(slot int) bool { return s[slot/wordBits]&(1<<(slot%wordBits)) != 0 }

// With returns the set and the slot.
func (s Set) With(slot int) Set {
	s[slot/wordBits] |= 1 << (slot % wordBits)
	return s
}

// Without returns the set less the slot.
func (s Set) Without(slot int) Set {
	s[slot/wordBits] &^= 1 << (slot % wordBits)
	return s
}

// Empty tells whether no slot is in the set.
func (s Set) Empty() bool { return s == Set{} }

// And returns the slots that are in both sets.
func (s Set) And(o Set) Set {
	for i := range s {
		s[i] &= o[i]
	}
	return s
}

// Or returns the slots that are in either set.
func (s Set) Or(o Set) Set {
	for i := range s {
		s[i] |= o[i]
	}
	return s
}

// Minus returns the slots that are not in the other set.
func (s Set) Minus(o Set) Set {
	for i := range s {
		s[i] &^= o[i]
	}
	return s
}

// Len counts the slots in the set.
func (s Set) Len() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// First returns the lowest slot; the set must not be empty.
func (s Set) First() int {
	for i, word := range s {
		if word != 0 {
			return i*wordBits + bits.TrailingZeros64(word)
		}
	}
	return Slots
}

// Not returns the slots that are not in the set.
func (s Set) Not() Set {
	for i := range s {
		s[i] = ^s[i]
	}
	return s
}

// All yields the slots of the set, the lowest first.
func (s Set) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, word := range s {
			for ; word != 0; word &= word - 1 {
				if !yield(i*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}
