package engine

import "container/list"

// blockCache is the engine's memory for KV blocks: stored ones, which have a
// prefix hash and can be shared, and private ones, which sequences hold for
// tokens to come. Stored blocks that nothing refers to are evicted, least
// recently used first.
type blockCache struct {
	total         int
	privateBlocks int
	stored        map[uint64]*block
	idle          *list.List // of *block without references, least recent first
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

// free is the number of blocks that can be had, by eviction too.
func (c *blockCache) free() int {
	return c.total - c.privateBlocks - len(c.stored) + c.idle.Len()
}

// matchPrefix is how many leading blocks of a chain are stored.
func (c *blockCache) matchPrefix(chain []uint64) int {
	for i, hash := range chain {
		if c.stored[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// acquire refers to the stored blocks of the chain.
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

// release drops the references to the chain. Its end becomes idle first, so
// that eviction never leaves a block whose prefix is gone.
func (c *blockCache) release(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		b := c.stored[chain[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// reserve takes n private blocks, evicting idle ones, or none if there are not
// so many.
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

// store turns one private block into a stored one with a reference. Where
// another sequence stored the same before, the private one is given back.
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
