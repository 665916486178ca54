package prefix

// maxMatchDepths bounds the different depths that Match tells apart. A prompt is
// rarely cached to more than a few depths, and the deepest are found first.
const maxMatchDepths = 4

// MatchResult holds how many blocks of one chain each slot has.
type MatchResult struct {
	// Held are the slots with at least one block.
	Held Set
	// Deepest are the slots that share the greatest depth.
	Deepest Set
	Blocks  [Slots]uint16
}

// Match finds how many of the chain's blocks each slot holds. As every hash
// stands for the whole prefix before it, presence falls along the chain and a
// binary search finds the end; where a runner has dropped a block but not a
// later one, the answer is too high until that runner's next event.
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

// deepest returns the greatest number of blocks that a slot outside known
// holds, and the slots that hold them.
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
