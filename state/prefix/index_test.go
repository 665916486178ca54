package prefix

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
)

func newChain(blocks int) []Hash {
	chain := make([]Hash, blocks)
	for i := range chain {
		chain[i] = Hash(100 + i)
	}
	return chain
}

func TestMatchFindsEachSlotsDepth(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	chain := newChain(10)
	x.Assume(3, chain[:2])
	x.Assume(5, chain[:7])
	x.Assume(9, chain[:7])
	var d MatchResult
	x.Match(chain, &d)
	is.Equal(d.Deepest, Set{}.With(5).With(9))
	is.Equal(d.Held, Set{}.With(3).With(5).With(9))
	is.Equal(d.Blocks[3], uint16(2))
	is.Equal(d.Blocks[5], uint16(7))
	x.WithdrawAssumed(5, chain, 1)
	x.Match(chain, &d)
	is.Equal(d.Blocks[5], uint16(1))
}

// Guards against requests that are sent to a runner that evicted their prefix
// long ago, and wait for a prefill that would not be needed at another runner.
// This happens if the reader of cache events falls behind and the event log of
// the runner wraps around before an eviction is read. The sequence numbers
// then have a gap.
func TestEventGapClearsSlotAndReadingContinues(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	is.NoErr(x.ApplyPage(2, Page{Next: 2, Events: []Event{{0, 11, true}, {1, 12, true}}}))
	x.Assume(4, []Hash{11})
	// A few lost events do not clear the slot.
	is.NoErr(x.ApplyPage(2, Page{First: 9, Next: 10, Events: []Event{{9, 13, true}}}))
	is.Equal(x.Holders(12), Set{}.With(2))
	err := x.ApplyPage(2, Page{First: 99, Next: 101, Events: []Event{{99, 15, true}, {100, 15, false}}})
	var gap *GapError
	is.True(errors.As(err, &gap))
	is.Equal(gap.Lost, uint64(96))
	is.Equal(x.Holders(11), Set{}.With(4))
	is.Equal(x.Holders(12), Set{})
	is.Equal(x.Cursor(2), uint64(101))
	is.NoErr(x.ApplyPage(2, Page{First: 99, Next: 102, Events: []Event{{100, 14, true}, {101, 12, true}}}))
	is.Equal(x.Holders(14), Set{}) // an event that was read before is ignored
	is.Equal(x.Holders(12), Set{}.With(2))
}

// TestIndexIsBounded makes random calls and compares the index with a plain
// map. The index must never exceed its capacity or hold a prefix that the map
// lacks.
func TestIndexIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		x := NewIndex(capacity)
		want := map[Hash]Set{}
		hash := rapid.Custom(func(t *rapid.T) Hash { return Hash(rapid.IntRange(1, 20).Draw(t, "hash")) })
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			slot := rapid.IntRange(0, 3).Draw(t, "slot")
			chain := rapid.SliceOfN(hash, 1, 4).Draw(t, "chain")
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				x.Assume(slot, chain)
				for _, h := range chain {
					want[h] = want[h].With(slot)
				}
			case 1:
				x.WithdrawAssumed(slot, chain, 0)
				for _, h := range chain {
					want[h] = want[h].Without(slot)
				}
			case 2:
				x.Clear(slot)
				for h := range want {
					want[h] = want[h].Without(slot)
				}
			}
			if x.Len() > capacity || len(x.entries) > capacity {
				t.Fatalf("%d prefixes in %d entries, capacity %d", x.Len(), len(x.entries), capacity)
			}
			for h, set := range want {
				if got := x.Holders(h); !got.Minus(set).Empty() || capacity >= 20 && got != set {
					t.Fatalf("holders of %d: %b, want %b", h, got, set)
				}
			}
		}
	})
}
