package engine

import (
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// ExportedCache is a KV cache on its way: what it covers, in place of the numbers.
type ExportedCache struct {
	Model   string   `json:"model"`
	Adapter string   `json:"adapter,omitempty"`
	Seed    uint64   `json:"seed,string"`
	Blocks  []uint64 `json:"blocks"`
	Tokens  int      `json:"tokens"`
	Bytes   int64    `json:"bytes"`
}

// cacheHandle is a cache that was exported here or imported for an attempt to come.
type cacheHandle struct {
	ExportedCache
	name     string
	imported bool
	tokens   int
	// acquiredBlocks blocks are kept from eviction until the handle is used.
	acquiredBlocks int
	// partialBlocks is one private block for tokens after the last whole block.
	partialBlocks int
	expires       time.Time
}

// matches reports whether a sequence goes on from what the cache covers.
func (h *cacheHandle) matches(s *sequence) bool {
	if h.Model != s.Model || h.Adapter != s.Adapter || h.Seed != s.Seed || h.tokens > s.knownTokens {
		return false
	}
	completeBlocks := min(len(h.Blocks), h.tokens/prefixhash.BlockTokens)
	return completeBlocks == 0 || (completeBlocks <= len(s.blockHashes) && s.blockHashes[completeBlocks-1] == h.Blocks[completeBlocks-1])
}

// Export offers what is computed of an attempt to another engine. The attempt
// goes on; tokens that it makes later are not covered.
func (c *Core) Export(now time.Time, attemptID string) (engineapi.ExportResponse, error) {
	c.advance(now)
	s := c.attempts[attemptID]
	if s == nil {
		return engineapi.ExportResponse{}, &UnknownAttemptError{AttemptID: attemptID}
	}
	completeBlocks := min(s.computedTokens/prefixhash.BlockTokens, len(s.blockHashes))
	h := &cacheHandle{
		ExportedCache: ExportedCache{
			Model:   s.Model,
			Adapter: s.Adapter,
			Seed:    s.Seed,
			Blocks:  append([]uint64(nil), s.blockHashes[:completeBlocks]...),
			Tokens:  s.computedTokens,
			Bytes:   int64(s.computedTokens) * c.cfg.BytesPerToken,
		},
		expires: now.Add(c.cfg.HandleLifetime),
	}
	name := c.addHandle(h)
	return engineapi.ExportResponse{Handle: name, Tokens: h.Tokens, Bytes: h.Bytes}, nil
}

// StartTransfer returns an exported cache and when its transfer is over. Transfers of
// one engine go over its link one after another.
func (c *Core) StartTransfer(now time.Time, name string) (ExportedCache, time.Time, error) {
	c.advance(now)
	h := c.cacheHandle(name)
	if h == nil || h.imported {
		return ExportedCache{}, now, &UnknownHandleError{Handle: name}
	}
	start := now
	if c.exportLinkFreeAt.After(now) {
		start = c.exportLinkFreeAt
	}
	c.exportLinkFreeAt = start.Add(time.Duration(float64(h.Bytes) / c.cfg.ExportBandwidth * float64(time.Second)))
	return h.ExportedCache, c.exportLinkFreeAt, nil
}

// Import takes a cache that has arrived, as much of it as there is memory for.
// An attempt that names the handle computes only what it does not cover.
func (c *Core) Import(now time.Time, e ExportedCache) engineapi.ImportResponse {
	c.advance(now)
	h := &cacheHandle{ExportedCache: e, imported: true, expires: now.Add(c.cfg.HandleLifetime)}
	for _, hash := range e.Blocks {
		if b := c.cache.stored[hash]; b != nil {
			c.cache.addReference(b)
		} else if !c.cache.reserve(1) {
			break
		} else {
			c.cache.store(hash)
		}
		h.acquiredBlocks++
	}
	h.tokens = min(h.acquiredBlocks*prefixhash.BlockTokens, e.Tokens)
	if h.acquiredBlocks == len(e.Blocks) && h.tokens < e.Tokens && c.cache.reserve(1) {
		h.partialBlocks = 1
		h.tokens = e.Tokens
	}
	return engineapi.ImportResponse{Handle: c.addHandle(h), Tokens: h.tokens}
}

func (c *Core) addHandle(h *cacheHandle) string {
	c.lastHandleID++
	h.name = fmt.Sprintf("%s/%d", c.cfg.RunnerID, c.lastHandleID)
	c.handles = append(c.handles, h)
	return h.name
}

func (c *Core) cacheHandle(name string) *cacheHandle {
	for _, h := range c.handles {
		if h.name == name {
			return h
		}
	}
	return nil
}

// releaseHandle forgets a handle; what was imported with it may be evicted then.
func (c *Core) releaseHandle(h *cacheHandle) {
	if h.imported {
		c.cache.release(h.Blocks[:h.acquiredBlocks])
		c.cache.privateBlocks -= h.partialBlocks
	}
	c.handles = slices.DeleteFunc(c.handles, func(other *cacheHandle) bool { return other == h })
}

func (c *Core) expireHandles(now time.Time) {
	for len(c.handles) > 0 && !c.handles[0].expires.After(now) {
		c.releaseHandle(c.handles[0])
	}
}

// evictImportedHandle gives up the oldest imported cache that the sequence does not
// name, its own last, and reports whether there was one. Without it, caches
// whose attempts never come would keep the queue waiting for memory.
func (c *Core) evictImportedHandle(s *sequence) bool {
	var victim *cacheHandle
	for _, h := range c.handles {
		if !h.imported {
			continue
		}
		if victim == nil || victim.name == s.ImportedHandle {
			victim = h
		}
	}
	if victim == nil {
		return false
	}
	c.releaseHandle(victim)
	return true
}
