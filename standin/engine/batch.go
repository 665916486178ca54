package engine

import (
	"sort"

	"geraniumstack.org/geraniumstack/state/prefixhash"
)

func without(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

func before(a, b *sequence) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.arrival < b.arrival
}

func insert(list []*sequence, s *sequence) []*sequence {
	i := sort.Search(len(list), func(i int) bool { return before(s, list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = s
	return list
}

func (c *Core) enqueue(s *sequence) { c.queue = insert(c.queue, s) }

// fill moves the queue's head into the batch while there is room.
func (c *Core) fill() {
	for len(c.queue) > 0 {
		head := c.queue[0]
		if !c.place(head) && !(c.preempt(head) && c.place(head)) {
			return
		}
		c.queue = without(c.queue, head)
		c.running = insert(c.running, head)
	}
}

// place takes memory for all that a sequence will need, so that none runs out
// of it half way.
func (c *Core) place(s *sequence) bool {
	if len(c.running) >= c.cfg.MaxBatch {
		return false
	}
	for !c.allocate(s) {
		if !c.dropImported(s) {
			return false
		}
	}
	s.computed = c.usable(s)
	s.cached += s.computed
	c.counters.CachedTokens += s.computed
	return true
}

func (c *Core) allocate(s *sequence) bool {
	matched := c.cache.match(s.chain)
	c.cache.acquire(s.chain[:matched])
	need := blocksFor(s.known+max(s.MaxTokens-s.offset, 0)) - matched
	if !c.cache.reserve(need) {
		c.cache.release(s.chain[:matched])
		return false
	}
	s.acquired = matched
	s.private = need
	return true
}

// usable is how many known tokens need no computing: those of matched blocks
// or of the imported cache, but never the last one, whose output is wanted.
func (c *Core) usable(s *sequence) int {
	matched := s.acquired * prefixhash.BlockTokens
	if h := c.handle(s.ImportedHandle); h != nil && h.imported && h.matches(s) {
		matched = max(matched, h.tokens)
		c.drop(h)
	}
	return max(0, min(matched, s.known-1))
}

// preempt makes room for a sequence by putting back the worst running one of
// lower priority, and reports whether it did.
func (c *Core) preempt(s *sequence) bool {
	if !c.cfg.PreemptRunning || len(c.running) == 0 {
		return false
	}
	worst := c.running[len(c.running)-1]
	if worst.Priority >= s.Priority {
		return false
	}
	c.counters.Preempted++
	c.running = c.running[:len(c.running)-1]
	c.vacate(worst)
	c.enqueue(worst)
	return true
}

func blocksFor(tokens int) int {
	return (tokens + prefixhash.BlockTokens - 1) / prefixhash.BlockTokens
}
