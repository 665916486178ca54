// Package enginemodel is a model engine in virtual time for experiments:
// continuous batching in iterations with chunked prefill, priorities, a prefix
// cache with least-recently-used eviction and KV cache imports. It counts
// tokens and holds no text, so that thousands of runs take seconds. Times are
// durations since the start of the experiment.
package enginemodel

import (
	"cmp"
	"slices"
	"time"
)

// Config sets an engine's capacity.
type Config struct {
	// Slots is the number of sequences that run at once.
	Slots int
	// KVTokens is the room for running sequences and cached prefixes.
	KVTokens int
	// Chunk is the prompt tokens that one iteration takes at most.
	Chunk int
	// Base is an iteration's time without any work; PerPrompt and
	// PerSequence are added for each prompt token and decoding sequence.
	Base, PerPrompt, PerSequence time.Duration
}

// Default is an engine that prefills about 7,000 tokens a second and decodes
// 16 sequences at 24 ms a token, 32 at 32 ms.
func Default() Config {
	return Config{
		Slots:       32,
		KVTokens:    200_000,
		Chunk:       256,
		Base:        16 * time.Millisecond,
		PerPrompt:   80 * time.Microsecond,
		PerSequence: 500 * time.Microsecond,
	}
}

// PrefillRate is the prompt tokens that an engine computes a second at most.
func (c Config) PrefillRate() float64 {
	return float64(c.Chunk) / (c.Base + time.Duration(c.Chunk)*c.PerPrompt).Seconds()
}

// TokenTime is the time between tokens with so many sequences.
func (c Config) TokenTime(sequences int) time.Duration {
	return c.Base + time.Duration(sequences)*c.PerSequence
}

// Key names a cached prefix.
type Key uint64

// Sequence is one attempt.
type Sequence struct {
	// ID is unique at the engine.
	ID int
	// Priority orders the queue; higher first.
	Priority int
	// Prompt and Emitted are the tokens to compute before the next output
	// token; Output is the length of the whole answer.
	Prompt, Emitted, Output int
	// Shared names the prefix that the prompt begins with, of SharedTokens.
	Shared       Key
	SharedTokens int
	// Own names the request's own context, which stays cached here when the
	// attempt ends.
	Own Key
	// Imported is the tokens of the context whose KV cache was brought along.
	Imported int
}

// Kind is what an event tells.
type Kind int

// Kinds of events.
const (
	// Token is one output token.
	Token Kind = iota
	// Done follows the last one.
	Done
)

// Event is something that a sequence did.
type Event struct {
	ID   int
	Kind Kind
	// Emitted is the tokens of the answer so far.
	Emitted int
	// Computed is set with an attempt's first token: the context tokens that
	// this engine computed for it.
	Computed int
	// First says that it is the attempt's first token.
	First bool
}

type running struct {
	Sequence
	left     int // context tokens still to compute
	computed int
	first    bool
}

func (s *running) reserved() int { return s.Prompt + s.Output }

func (s *running) context() int { return s.Prompt + s.Emitted - s.left }

type cached struct {
	tokens int
	used   int64
}

// Engine is one engine. It is not safe for concurrent use.
type Engine struct {
	cfg      Config
	queue    []*running
	batch    []*running
	cache    map[Key]cached
	reserved int
	inCache  int
	clock    int64
	ends     time.Duration
	busy     bool
	taken    map[*running]int
}

// New returns an idle engine.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, cache: map[Key]cached{}, taken: map[*running]int{}}
}

// Submit queues a sequence. Call Next afterwards: an idle engine wakes up.
func (e *Engine) Submit(now time.Duration, s Sequence) {
	r := &running{Sequence: s, first: true}
	i, _ := slices.BinarySearchFunc(e.queue, r, func(a, b *running) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), -1)
	})
	e.queue = slices.Insert(e.queue, i, r)
	if !e.busy {
		e.begin(now)
	}
}

// Cancel ends a sequence; its context stays cached. It returns the tokens
// emitted and whether the sequence was known.
func (e *Engine) Cancel(id int) (emitted int, ok bool) {
	for i, s := range e.queue {
		if s.ID == id {
			e.queue = slices.Delete(e.queue, i, i+1)
			return s.Emitted, true
		}
	}
	for i, s := range e.batch {
		if s.ID == id {
			e.leave(i)
			return s.Emitted, true
		}
	}
	return 0, false
}

// leave takes a running sequence out and caches its context.
func (e *Engine) leave(i int) {
	s := e.batch[i]
	e.batch = slices.Delete(e.batch, i, i+1)
	delete(e.taken, s)
	e.reserved -= s.reserved()
	e.store(s.Shared, min(s.SharedTokens, s.context()))
	e.store(s.Own, s.context())
}

// Context is the tokens whose KV cache a running sequence has here.
func (e *Engine) Context(id int) int {
	for _, s := range e.batch {
		if s.ID == id {
			return s.context()
		}
	}
	return 0
}

// Cached is the tokens of a context that would not be computed here.
func (e *Engine) Cached(s Sequence) int {
	shared := min(e.cache[s.Shared].tokens, s.SharedTokens)
	own := min(e.cache[s.Own].tokens, s.Prompt+s.Emitted)
	return max(shared, own, min(s.Imported, s.Prompt+s.Emitted))
}

// Load is what an engine can report of itself.
type Load struct {
	Running, Waiting int
	// QueuedTokens are still to be computed before first tokens.
	QueuedTokens int
	// FreeTokens is the room that no running sequence reserves.
	FreeTokens int
}

// Load returns the load as of now.
func (e *Engine) Load() Load {
	l := Load{Running: len(e.batch), Waiting: len(e.queue), FreeTokens: e.cfg.KVTokens - e.reserved}
	for _, s := range e.batch {
		l.QueuedTokens += s.left
	}
	for _, s := range e.queue {
		l.QueuedTokens += s.Prompt + s.Emitted - e.Cached(s.Sequence)
		l.FreeTokens -= s.reserved()
	}
	return l
}

// Next is when the iteration under way ends; false if the engine is idle.
func (e *Engine) Next() (time.Duration, bool) { return e.ends, e.busy }

// Step ends the iteration under way and begins the next one. The events are
// valid until the next call.
func (e *Engine) Step(now time.Duration) []Event {
	if !e.busy || now < e.ends {
		return nil
	}
	var events []Event
	for i := 0; i < len(e.batch); {
		s := e.batch[i]
		if e.advance(s) {
			events = append(events, e.token(s))
		}
		if s.left == 0 && s.Emitted >= s.Output {
			events = append(events, Event{ID: s.ID, Kind: Done, Emitted: s.Emitted})
			e.leave(i)
			continue
		}
		i++
	}
	e.begin(now)
	return events
}

// advance takes the iteration's work of a sequence; it reports whether that
// ended with a token.
func (e *Engine) advance(s *running) bool {
	took, ok := e.taken[s]
	if !ok {
		return false
	}
	s.left -= took
	s.computed += took
	return s.left == 0 && s.Emitted < s.Output
}

func (e *Engine) token(s *running) Event {
	s.Emitted++
	ev := Event{ID: s.ID, Kind: Token, Emitted: s.Emitted, First: s.first}
	if s.first {
		ev.Computed = s.computed
		e.store(s.Shared, min(s.SharedTokens, s.Prompt))
	}
	s.first = false
	return ev
}

// begin fills the batch and starts an iteration, if there is anything to do.
func (e *Engine) begin(now time.Duration) {
	e.fill()
	clear(e.taken)
	e.busy = len(e.batch) > 0
	if !e.busy {
		return
	}
	budget := e.cfg.Chunk
	decoding := 0
	for _, s := range e.batch {
		take := min(s.left, budget)
		if s.left > 0 && take == 0 {
			continue
		}
		if s.left == 0 {
			decoding++
		}
		budget -= take
		e.taken[s] = take
	}
	prompt := e.cfg.Chunk - budget
	e.ends = now + e.cfg.Base + time.Duration(prompt)*e.cfg.PerPrompt + time.Duration(decoding)*e.cfg.PerSequence
}

func (e *Engine) fill() {
	for len(e.queue) > 0 && len(e.batch) < e.cfg.Slots {
		s := e.queue[0]
		if e.reserved+s.reserved() > e.cfg.KVTokens && len(e.batch) > 0 {
			return
		}
		e.queue = e.queue[1:]
		e.reserved += s.reserved()
		s.left = s.Prompt + s.Emitted - e.Cached(s.Sequence)
		e.touch(s.Shared)
		e.touch(s.Own)
		e.batch = append(e.batch, s)
		e.evict()
	}
}

func (e *Engine) touch(k Key) {
	if c, ok := e.cache[k]; ok {
		e.clock++
		c.used = e.clock
		e.cache[k] = c
	}
}

func (e *Engine) store(k Key, tokens int) {
	if k == 0 || tokens <= 0 {
		return
	}
	e.clock++
	old := e.cache[k]
	e.cache[k] = cached{tokens: max(tokens, old.tokens), used: e.clock}
	e.inCache += max(tokens-old.tokens, 0)
	e.evict()
}

// evict drops the longest unused prefixes until the rest fits beside the
// running sequences.
func (e *Engine) evict() {
	for e.inCache > 0 && e.inCache+e.reserved > e.cfg.KVTokens {
		oldest, at := Key(0), int64(-1)
		for k, c := range e.cache {
			if at < 0 || c.used < at {
				oldest, at = k, c.used
			}
		}
		e.inCache -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
}
