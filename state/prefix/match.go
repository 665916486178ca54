package prefix

// maxMatchDepths is the number of different depths that Match distinguishes. A
// prompt is rarely cached at more than a few depths, and the greatest ones are
// found first.
const maxMatchDepths = 4

// MatchResult holds the number of blocks of one prompt that each slot holds.
type MatchResult struct {
	// Held is the set of slots that hold at least one block.
	Held Set
	// Deepest is the set of slots that hold the greatest number of blocks.
	Deepest Set
	Blocks  [Slots]uint16
}

// Match finds how many blocks of the chain each slot holds. Since each hash
// covers the whole prefix before it, a slot that holds a block normally holds
// all earlier ones, and a binary search finds the last one. If a runner has
// evicted a block but still holds a later one, the result for that runner is
// too high until the runner evicts the later block or stores the missing block
// again, and the index has applied that event.
//
// Only the maxMatchDepths greatest depths are distinguished. Slots that hold
// fewer blocks than these depths are reported as holding none.
func (x *Index) Match(chain []Hash, d *MatchResult) {
	d.Held, d.Deepest = Set{}, Set{}
	limit := min(len(chain), int(^uint16(0)))
	for round := 0; round < maxMatchDepths && limit > 0; round++ {
		depth, fresh := x.deepest(chain[:limit], d.Held)
		if depth == 0 {
			return
		}
		if round == 0 {
			d.Deepest = fresh
		}
		d.Held = d.Held.Or(fresh)
		for slot := range fresh.All() {
			d.Blocks[slot] = uint16(depth)
		}
		limit = depth - 1
	}
}

// deepest returns the greatest number of blocks that any slot outside known
// holds, and the slots that hold that many.
func (x *Index) deepest(chain []Hash, known Set) (int, Set) {
	low, high := 0, len(chain)
	var found Set
	for low < high {
		mid := int(uint(low+high+1) >> 1)
		holders := x.Holders(chain[mid-1]).Minus(known)
		if holders.Empty() {
			high = mid - 1
			continue
		}
		low, found = mid, holders
	}
	return low, found
}
