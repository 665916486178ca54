package engine

import (
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// ExportedCache describes a transferred KV cache: which tokens it covers, in
// place of the tensors.
type ExportedCache struct {
	Model   string   `json:"model"`
	Adapter string   `json:"adapter,omitempty"`
	Seed    uint64   `json:"seed,string"`
	Blocks  []uint64 `json:"blocks"`
	Tokens  int      `json:"tokens"`
	Bytes   int64    `json:"bytes"`
}

// cacheHandle refers to a cache that was exported by this engine, or imported
// for a later attempt.
type cacheHandle struct {
	ExportedCache
	name     string
	imported bool
	tokens   int
	// acquiredBlocks is how many leading blocks the handle protects from
	// eviction until it is used.
	acquiredBlocks int
	// partialBlocks is 1 if a private block holds the tokens after the last
	// complete block, and 0 otherwise.
	partialBlocks int
	expires       time.Time
}

// matches reports whether the cache covers a prefix of the sequence's known
// tokens.
func (h *cacheHandle) matches(s *sequence) bool {
	if h.Model != s.Model || h.Adapter != s.Adapter || h.Seed != s.Seed || h.tokens > s.knownTokens {
		return false
	}
	completeBlocks := min(len(h.Blocks), h.tokens/prefixhash.BlockTokens)
	return completeBlocks == 0 || (completeBlocks <= len(s.blockHashes) && s.blockHashes[completeBlocks-1] == h.Blocks[completeBlocks-1])
}

// Export creates a handle with which another engine can download the computed
// tokens of an attempt. The attempt continues; tokens computed after the call
// are not part of the export.
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

// StartTransfer returns an exported cache and the time at which its transfer
// ends. The transfers of one engine share its link and run one after another.
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

// Import stores a downloaded cache, as much of it as fits into memory. An
// attempt that names the returned handle prefills only the tokens that the
// cache does not cover.
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

// releaseHandle removes a handle. The blocks of an imported cache become
// evictable.
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

// evictImportedHandle releases the oldest imported cache, preferring those
// that the sequence does not name, and reports whether there was one. Without
// it, imported caches whose attempts never arrive would hold the memory that
// queued sequences wait for.
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
