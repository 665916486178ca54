package engine

import (
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Exported is a KV cache on its way: what it covers, in place of the numbers.
type Exported struct {
	Model   string   `json:"model"`
	Adapter string   `json:"adapter,omitempty"`
	Seed    uint64   `json:"seed,string"`
	Blocks  []uint64 `json:"blocks"`
	Tokens  int      `json:"tokens"`
	Bytes   int64    `json:"bytes"`
}

// handle is a cache that was exported here or imported for an attempt to come.
type handle struct {
	Exported
	name     string
	imported bool
	tokens   int
	// acquired blocks are kept from eviction until the handle is used.
	acquired int
	// partial is one private block for tokens after the last whole block.
	partial int
	expires time.Time
}

// matches reports whether a sequence goes on from what the cache covers.
func (h *handle) matches(s *sequence) bool {
	if h.Model != s.Model || h.Adapter != s.Adapter || h.Seed != s.Seed || h.tokens > s.known {
		return false
	}
	whole := min(len(h.Blocks), h.tokens/prefixhash.BlockTokens)
	return whole == 0 || (whole <= len(s.chain) && s.chain[whole-1] == h.Blocks[whole-1])
}

// Export offers what is computed of an attempt to another engine. The attempt
// goes on; tokens that it makes later are not covered.
func (c *Core) Export(now time.Time, attemptID string) (engineapi.ExportResponse, error) {
	c.advance(now)
	s := c.attempts[attemptID]
	if s == nil {
		return engineapi.ExportResponse{}, &UnknownAttemptError{AttemptID: attemptID}
	}
	whole := min(s.computed/prefixhash.BlockTokens, len(s.chain))
	h := &handle{
		Exported: Exported{
			Model:   s.Model,
			Adapter: s.Adapter,
			Seed:    s.Seed,
			Blocks:  append([]uint64(nil), s.chain[:whole]...),
			Tokens:  s.computed,
			Bytes:   int64(s.computed) * c.cfg.BytesPerToken,
		},
		expires: now.Add(c.cfg.HandleLifetime),
	}
	name := c.keep(h)
	return engineapi.ExportResponse{Handle: name, Tokens: h.Tokens, Bytes: h.Bytes}, nil
}

// Fetch returns an exported cache and when its transfer is over. Transfers of
// one engine go over its link one after another.
func (c *Core) Fetch(now time.Time, name string) (Exported, time.Time, error) {
	c.advance(now)
	h := c.handle(name)
	if h == nil || h.imported {
		return Exported{}, now, &UnknownHandleError{Handle: name}
	}
	start := now
	if c.linkFree.After(now) {
		start = c.linkFree
	}
	c.linkFree = start.Add(time.Duration(float64(h.Bytes) / c.cfg.ExportBandwidth * float64(time.Second)))
	return h.Exported, c.linkFree, nil
}

// Import takes a cache that has arrived, as much of it as there is memory for.
// An attempt that names the handle computes only what it does not cover.
func (c *Core) Import(now time.Time, e Exported) engineapi.ImportResponse {
	c.advance(now)
	h := &handle{Exported: e, imported: true, expires: now.Add(c.cfg.HandleLifetime)}
	for _, hash := range e.Blocks {
		if b := c.cache.stored[hash]; b != nil {
			c.cache.refer(b)
		} else if !c.cache.reserve(1) {
			break
		} else {
			c.cache.store(hash)
		}
		h.acquired++
	}
	h.tokens = min(h.acquired*prefixhash.BlockTokens, e.Tokens)
	if h.acquired == len(e.Blocks) && h.tokens < e.Tokens && c.cache.reserve(1) {
		h.partial = 1
		h.tokens = e.Tokens
	}
	return engineapi.ImportResponse{Handle: c.keep(h), Tokens: h.tokens}
}

func (c *Core) keep(h *handle) string {
	c.lastID++
	h.name = fmt.Sprintf("%s/%d", c.cfg.RunnerID, c.lastID)
	c.handles = append(c.handles, h)
	return h.name
}

func (c *Core) handle(name string) *handle {
	for _, h := range c.handles {
		if h.name == name {
			return h
		}
	}
	return nil
}

// drop forgets a handle; what was imported with it may be evicted then.
func (c *Core) drop(h *handle) {
	if h.imported {
		c.cache.release(h.Blocks[:h.acquired])
		c.cache.private -= h.partial
	}
	c.handles = slices.DeleteFunc(c.handles, func(other *handle) bool { return other == h })
}

func (c *Core) expireHandles(now time.Time) {
	for len(c.handles) > 0 && !c.handles[0].expires.After(now) {
		c.drop(c.handles[0])
	}
}

// dropImported gives up the oldest imported cache that the sequence does not
// name, its own last, and reports whether there was one. Without it, caches
// whose attempts never come would keep the queue waiting for memory.
func (c *Core) dropImported(s *sequence) bool {
	var victim *handle
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
	c.drop(victim)
	return true
}
