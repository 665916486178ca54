package engine

import "container/list"

// blockCache manages the engine's memory for KV blocks. Stored blocks have a
// prefix hash and can be shared between sequences; private blocks are
// reserved by one sequence for tokens that are not computed yet. Stored
// blocks without references are evicted in least-recently-used order.
type blockCache struct {
	total         int
	privateBlocks int
	stored        map[uint64]*block
	idle          *list.List // of *block without references, least recently used first
	onChange      func(hash uint64, stored bool)
}

type block struct {
	hash uint64
	refs int
	idle *list.Element
}

func newBlockCache(total int, onChange func(hash uint64, stored bool)) *blockCache {
	return &blockCache{
		total:    total,
		stored:   map[uint64]*block{},
		idle:     list.New(),
		onChange: onChange,
	}
}

// free returns the number of blocks that are unused or can be evicted.
func (c *blockCache) free() int {
	return c.total - c.privateBlocks - len(c.stored) + c.idle.Len()
}

// matchPrefix returns how many leading blocks of the chain are stored.
func (c *blockCache) matchPrefix(chain []uint64) int {
	for i, hash := range chain {
		if c.stored[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// acquire adds a reference to every block of the chain, all of which must be
// stored.
func (c *blockCache) acquire(chain []uint64) {
	for _, hash := range chain {
		c.addReference(c.stored[hash])
	}
}

func (c *blockCache) addReference(b *block) {
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
	b.refs++
}

// release removes a reference from every block of the chain. The last block
// becomes idle first, so that eviction never removes a block before the
// blocks that follow it.
func (c *blockCache) release(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		b := c.stored[chain[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// reserve takes n private blocks, evicting idle blocks if needed. It takes
// none and returns false if fewer than n can be freed.
func (c *blockCache) reserve(n int) bool {
	if c.free() < n {
		return false
	}
	c.privateBlocks += n
	for c.privateBlocks+len(c.stored) > c.total {
		c.evict()
	}
	return true
}

func (c *blockCache) evict() {
	b := c.idle.Remove(c.idle.Front()).(*block)
	delete(c.stored, b.hash)
	c.onChange(b.hash, false)
}

// store turns one private block into a stored block and adds a reference to
// it. If another sequence has stored the same block already, the private
// block is freed.
func (c *blockCache) store(hash uint64) {
	c.privateBlocks--
	b := c.stored[hash]
	if b == nil {
		b = &block{hash: hash}
		c.stored[hash] = b
		c.onChange(hash, true)
	}
	c.addReference(b)
}
