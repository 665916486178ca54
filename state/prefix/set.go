package prefix

import (
	"iter"
	"math/bits"
)

const (
	// Slots is the maximum number of runners that one index can distinguish. A
	// daemon handles only a part of the runners of a larger service, and
	// prefixes cached at runners without a slot are computed again. With 64
	// slots, runners were without a slot from the 65th runner of a service on,
	// and daemons in front of 90 runners computed 37 million tokens of shared
	// prefixes again per minute.
	Slots = 256
	// wordBits is the number of slots in one word of a Set.
	wordBits = 64
)

// Set is a set of slots with one bit per slot.
type Set [Slots / wordBits]uint64

// Has reports whether the set contains the slot.
func (s Set) Has(slot int) bool { return s[slot/wordBits]&(1<<(slot%wordBits)) != 0 }

// With returns the set with the slot added.
func (s Set) With(slot int) Set {
	s[slot/wordBits] |= 1 << (slot % wordBits)
	return s
}

// Without returns the set with the slot removed.
func (s Set) Without(slot int) Set {
	s[slot/wordBits] &^= 1 << (slot % wordBits)
	return s
}

// Empty reports whether the set contains no slot.
func (s Set) Empty() bool { return s == Set{} }

// And returns the intersection of the sets.
func (s Set) And(o Set) Set {
	for i := range s {
		s[i] &= o[i]
	}
	return s
}

// Or returns the union of the sets.
func (s Set) Or(o Set) Set {
	for i := range s {
		s[i] |= o[i]
	}
	return s
}

// Minus returns the slots of s that are not in o.
func (s Set) Minus(o Set) Set {
	for i := range s {
		s[i] &^= o[i]
	}
	return s
}

// Len returns the number of slots in the set.
func (s Set) Len() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// First returns the lowest slot in the set, or Slots if the set is empty.
func (s Set) First() int {
	for i, word := range s {
		if word != 0 {
			return i*wordBits + bits.TrailingZeros64(word)
		}
	}
	return Slots
}

// At returns the slot at a position, from zero, in the order of slots; Slots if the set has no more than that.
func (s Set) At(position int) int {
	for i, word := range s {
		if n := bits.OnesCount64(word); position >= n {
			position -= n
			continue
		}
		for ; position > 0; position-- {
			word &= word - 1
		}
		return i*wordBits + bits.TrailingZeros64(word)
	}
	return Slots
}

// Not returns the complement of the set.
func (s Set) Not() Set {
	for i := range s {
		s[i] = ^s[i]
	}
	return s
}

// All iterates over the slots of the set in ascending order.
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
