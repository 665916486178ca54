package engine

import (
	"sort"

	"geraniumstack.org/geraniumstack/state/prefixhash"
)

func removeSequence(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// scheduledBefore orders sequences by priority, highest first, then by
// arrival.
func scheduledBefore(a, b *sequence) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.arrivalOrder < b.arrivalOrder
}

func insertSorted(list []*sequence, s *sequence) []*sequence {
	i := sort.Search(len(list), func(i int) bool { return scheduledBefore(s, list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = s
	return list
}

func (c *Core) enqueue(s *sequence) { c.queue = insertSorted(c.queue, s) }

// fillBatch moves sequences from the head of the queue into the batch while
// there is room.
func (c *Core) fillBatch() {
	for len(c.queue) > 0 {
		head := c.queue[0]
		if !c.admitToBatch(head) && !(c.preempt(head) && c.admitToBatch(head)) {
			return
		}
		c.queue = removeSequence(c.queue, head)
		c.running = insertSorted(c.running, head)
	}
}

// admitToBatch reserves memory for the sequence's whole prompt and output, so
// that no running sequence runs out of memory. It returns false if the batch
// or the memory is full.
func (c *Core) admitToBatch(s *sequence) bool {
	if len(c.running) >= c.cfg.MaxBatch {
		return false
	}
	for !c.allocate(s) {
		if !c.evictImportedHandle(s) {
			return false
		}
	}
	s.computedTokens = c.reusableTokens(s)
	s.cachedTokens += s.computedTokens
	c.counters.CachedTokens += s.computedTokens
	return true
}

func (c *Core) allocate(s *sequence) bool {
	matched := c.cache.matchPrefix(s.blockHashes)
	c.cache.acquire(s.blockHashes[:matched])
	need := blocksFor(s.knownTokens+max(s.MaxTokens-s.nextOffset, 0)) - matched
	if !c.cache.reserve(need) {
		c.cache.release(s.blockHashes[:matched])
		return false
	}
	s.acquiredBlocks = matched
	s.privateBlocks = need
	return true
}

// reusableTokens returns how many known tokens need no prefill because a
// cached block or the imported cache covers them. The last known token is
// always computed, because its result is the next output token.
func (c *Core) reusableTokens(s *sequence) int {
	matched := s.acquiredBlocks * prefixhash.BlockTokens
	if h := c.cacheHandle(s.ImportedHandle); h != nil && h.imported && h.matches(s) {
		matched = max(matched, h.tokens)
		c.releaseHandle(h)
	}
	return max(0, min(matched, s.knownTokens-1))
}

// preempt moves the running sequence that is last in scheduling order back to
// the queue if its priority is lower than that of s. It reports whether it
// did.
func (c *Core) preempt(s *sequence) bool {
	if !c.cfg.PreemptRunning || len(c.running) == 0 {
		return false
	}
	victim := c.running[len(c.running)-1]
	if victim.Priority >= s.Priority {
		return false
	}
	c.counters.Preempted++
	c.running = c.running[:len(c.running)-1]
	c.releaseMemory(victim)
	c.enqueue(victim)
	return true
}

func blocksFor(tokens int) int {
	return (tokens + prefixhash.BlockTokens - 1) / prefixhash.BlockTokens
}
