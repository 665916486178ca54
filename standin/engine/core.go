// Package engine is a stand-in for a model engine. Core is a deterministic
// simulation without I/O that batches requests, caches prefixes and decodes
// tokens; Engine serves it over HTTP; Faults injects failures.
// docs/protocols/engine.md describes the protocol.
package engine

import (
	"time"

	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Config sets the capacity, speed and behaviour of an engine.
type Config struct {
	RunnerID string
	// Models are loaded when the engine starts.
	Models []engineapi.LoadedModel
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepTime is the duration of one decode step of the whole batch.
	StepTime time.Duration
	// ChunkTokens bounds the prompt tokens that are computed between two
	// decode steps.
	ChunkTokens int
	// MaxBatch bounds the sequences that are computed together.
	MaxBatch int
	// MaxQueue bounds the sequences that wait for the batch; zero means no
	// bound.
	MaxQueue int
	// PreemptRunning moves a running sequence back into the queue when a
	// waiting sequence of higher priority finds no room in the batch.
	PreemptRunning bool
	// KVBlocks is the size of the KV cache memory, in blocks of
	// prefixhash.BlockTokens tokens.
	KVBlocks      int
	BytesPerToken int64
	// ExportBandwidth is in bytes per second, shared by all exports of the
	// engine.
	ExportBandwidth float64
	// HandleLifetime is how long an exported or imported cache is kept.
	HandleLifetime time.Duration
	// LoadPeriod is the interval between two load reports.
	LoadPeriod time.Duration
	// EventDelay is the time between a change of the cache and the
	// publication of its event.
	EventDelay time.Duration
	// DropEveryNthEvent drops the cache events whose sequence number is a
	// multiple of it; zero drops none.
	DropEveryNthEvent uint64
	// MaxRetainedEvents bounds the cache events that can still be read after
	// their publication; zero means no bound.
	MaxRetainedEvents int
	// LoadTime is how long loading a model or adapter takes.
	LoadTime time.Duration
	// WeightTransferTime, if set, returns how long the weights take to arrive
	// for an order received at now. LoadTime is added to it.
	WeightTransferTime func(now time.Time, o engineapi.Order) time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing number is
	// lower than the highest one seen.
	ChecksFencing bool
	// RefuseWhenLeaving makes the engine refuse new attempts after a reclaim
	// notice.
	RefuseWhenLeaving bool
}

// DefaultConfig returns the configuration of a medium-sized engine with one
// model loaded.
func DefaultConfig(runnerID, model, version string) Config {
	return Config{
		RunnerID:          runnerID,
		Models:            []engineapi.LoadedModel{{Model: model, Version: version}},
		PrefillRate:       8000,
		StepTime:          20 * time.Millisecond,
		ChunkTokens:       512,
		MaxBatch:          16,
		KVBlocks:          4096,
		BytesPerToken:     128 << 10,
		ExportBandwidth:   1.25e9,
		HandleLifetime:    time.Minute,
		LoadPeriod:        500 * time.Millisecond,
		EventDelay:        time.Second,
		MaxRetainedEvents: 4096,
		LoadTime:          5 * time.Second,
	}
}

// Line is one line of an attempt's response stream and the time at which it
// was produced.
type Line struct {
	At    time.Time
	Event engineapi.GenerateEvent
}

// Work records that the tokens [From, To) of a request's prompt and output
// were computed.
type Work struct {
	RequestID string
	AttemptID string
	From, To  int
	// Decoded means that the tokens are output; otherwise they are prefilled
	// input.
	Decoded bool
}

// Result holds what a call of Step produced. Its slices are valid until the
// next call of Step.
type Result struct {
	Lines []Line
	Work  []Work
}

// Core simulates a model engine without I/O and without a clock: every call
// takes the present time, which must not decrease, and Step does all work
// that is due. Core is not safe for concurrent use.
//
// Core computes in iterations. An iteration prefills up to ChunkTokens prompt
// tokens, and lasts as long as the prefill plus one decode step if any
// sequence decodes. At its end, every decoding sequence and every sequence
// whose prefill is complete gets one more output token.
type Core struct {
	cfg              Config
	cache            *blockCache
	queue            []*sequence // in scheduling order
	running          []*sequence // in scheduling order
	attempts         map[string]*sequence
	nextArrival      uint64
	iteration        iteration
	result           Result
	previousResult   Result // returned by the last Step; its slices are reused
	now              time.Time
	handles          []*cacheHandle // oldest first
	lastHandleID     int
	exportLinkFreeAt time.Time
	control          control
	events           eventLog
	report           report
	counters         Counters
}

// Counters are totals since the engine started.
type Counters struct {
	Accepted  int `json:"accepted"`
	Refused   int `json:"refused"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Preempted int `json:"preempted"`
	// ComputedTokens counts the input tokens that were prefilled.
	// ResumedTokens counts the part of them that belongs to attempts which
	// resume earlier output (EmittedTokens > 0).
	ComputedTokens int `json:"computed_tokens"`
	ResumedTokens  int `json:"resumed_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	DecodedTokens  int `json:"decoded_tokens"`
	// AcceptedLeaving counts attempts that were accepted after a reclaim
	// notice. LastAfterNotice is the time from the notice to the last of
	// them.
	AcceptedLeaving int           `json:"accepted_leaving"`
	LastAfterNotice time.Duration `json:"last_after_notice_ns"`
	// StaleOrders counts orders that were carried out although their fencing
	// number was lower than the highest one seen.
	StaleOrders   int `json:"stale_orders"`
	RefusedOrders int `json:"refused_orders"`
}

type sequence struct {
	Attempt
	arrivalOrder uint64
	// blockHashes are the prefix hashes of all complete blocks of the known
	// tokens, and partialBlock holds the tokens after them.
	blockHashes  []uint64
	partialBlock []string
	// knownTokens is the length of the prompt and the output so far.
	knownTokens int
	// computedTokens is how many of the known tokens have their KV cache in
	// memory.
	computedTokens int
	// acquiredBlocks is how many leading blockHashes the sequence holds a
	// reference to in the cache. privateBlocks is the memory reserved for the
	// remaining tokens.
	acquiredBlocks int
	privateBlocks  int
	cachedTokens   int
	// prefillTokens is how many tokens were computed before the first new
	// output token.
	prefillTokens int
	nextOffset    int
	statsSent     bool
}

type iteration struct {
	active  bool
	end     time.Time
	prefill []chunk
	decode  []*sequence
}

type chunk struct {
	seq    *sequence
	tokens int
}

// NewCore returns an idle engine whose time starts at now.
func NewCore(cfg Config, now time.Time) *Core {
	c := &Core{
		cfg:      cfg,
		attempts: map[string]*sequence{},
		now:      now,
	}
	c.events = eventLog{delay: cfg.EventDelay, dropEveryNth: cfg.DropEveryNthEvent, maxRetained: cfg.MaxRetainedEvents, first: 1, next: 1}
	c.cache = newBlockCache(cfg.KVBlocks, func(hash uint64, stored bool) { c.events.add(c.now, hash, stored) })
	c.control.models = append(c.control.models, cfg.Models...)
	c.report.next = now
	c.publishLoad(now)
	return c
}

// Submit queues an attempt. On refusal it returns one of this package's error
// types, and nothing of the attempt was executed.
func (c *Core) Submit(now time.Time, a Attempt) error {
	c.advance(now)
	if err := c.checkAdmission(a); err != nil {
		c.counters.Refused++
		return err
	}
	c.counters.Accepted++
	if c.control.leaving {
		c.counters.AcceptedLeaving++
		c.counters.LastAfterNotice = now.Sub(c.control.noticeTime)
	}
	s := &sequence{
		Attempt:      a,
		arrivalOrder: c.nextArrival,
		blockHashes:  append([]uint64(nil), a.Blocks...),
		partialBlock: append([]string(nil), a.Tail...),
		knownTokens:  a.knownTokens(),
		nextOffset:   a.EmittedTokens,
	}
	c.nextArrival++
	c.attempts[a.AttemptID] = s
	c.enqueue(s)
	c.startIteration(now)
	return nil
}

func (c *Core) checkAdmission(a Attempt) error {
	switch {
	case c.control.dead:
		return &DeadError{}
	case c.control.leaving && c.cfg.RefuseWhenLeaving:
		return &LeavingError{}
	case !c.control.servesModel(a.Model, a.Adapter):
		return &NotLoadedError{Model: a.Model, Adapter: a.Adapter}
	case c.attempts[a.AttemptID] != nil:
		return &DuplicateAttemptError{AttemptID: a.AttemptID}
	case c.cfg.MaxQueue > 0 && len(c.queue) >= c.cfg.MaxQueue:
		return &QueueFullError{Waiting: len(c.queue)}
	case blocksFor(a.PromptTokens+max(a.MaxTokens, a.EmittedTokens)) > c.cfg.KVBlocks:
		return &TooLongError{Tokens: a.PromptTokens + a.MaxTokens, Limit: c.cfg.KVBlocks * prefixhash.BlockTokens}
	default:
		return nil
	}
}

// Cancel ends an attempt with a final line and reports whether the attempt
// existed.
func (c *Core) Cancel(now time.Time, attemptID string) bool {
	c.advance(now)
	s := c.attempts[attemptID]
	if s == nil {
		return false
	}
	c.counters.Cancelled++
	c.finish(s, FinishCancelled)
	return true
}

// Step does all work that is due and returns the lines and work since the
// last call.
func (c *Core) Step(now time.Time) Result {
	c.advance(now)
	r := c.result
	c.result = Result{Lines: c.previousResult.Lines[:0], Work: c.previousResult.Work[:0]}
	c.previousResult = r
	return r
}

// Next returns the time at which Step has to be called again. It returns
// false if nothing is due until another method is called.
func (c *Core) Next() (time.Time, bool) {
	if len(c.result.Lines) > 0 {
		return c.now, true
	}
	next, ok := c.control.nextEventTime()
	if c.iteration.active && (!ok || c.iteration.end.Before(next)) {
		return c.iteration.end, true
	}
	return next, ok
}

// Counters returns the totals so far.
func (c *Core) Counters() Counters { return c.counters }

func (c *Core) advance(now time.Time) {
	for c.iteration.active && !c.iteration.end.After(now) && !c.control.dead {
		end := c.iteration.end
		c.processDeadlines(end)
		if c.control.dead {
			return
		}
		c.finishIteration()
		c.startIteration(end)
	}
	c.processDeadlines(now)
}

// processDeadlines publishes load reports, finishes loads, expires handles
// and terminates a reclaimed engine, as far as they are due at now. It
// computes no tokens.
func (c *Core) processDeadlines(now time.Time) {
	c.publishLoad(now)
	c.control.finishLoads(now)
	c.expireHandles(now)
	if c.control.leaving && !now.Before(c.control.deadline) {
		c.Die(c.control.deadline)
	}
	if now.After(c.now) {
		c.now = now
	}
}

// startIteration plans the next iteration, unless one is in progress or there
// is no work.
func (c *Core) startIteration(now time.Time) {
	if c.iteration.active || c.control.dead {
		return
	}
	c.fillBatch()
	it := iteration{active: true, prefill: c.iteration.prefill[:0], decode: c.iteration.decode[:0]}
	budget := max(c.cfg.ChunkTokens, 1)
	for _, s := range c.running {
		missing := s.knownTokens - s.computedTokens
		if missing == 0 {
			it.decode = append(it.decode, s)
			continue
		}
		if n := min(missing, budget); n > 0 {
			it.prefill = append(it.prefill, chunk{seq: s, tokens: n})
			budget -= n
		}
	}
	it.active = len(it.prefill)+len(it.decode) > 0
	it.end = now.Add(c.duration(it, max(c.cfg.ChunkTokens, 1)-budget))
	c.iteration = it
}

func (c *Core) duration(it iteration, promptTokens int) time.Duration {
	d := time.Duration(float64(promptTokens) / c.cfg.PrefillRate * float64(time.Second))
	if len(it.decode) > 0 {
		d += c.cfg.StepTime
	}
	return max(d, time.Microsecond)
}

// finishIteration applies the results of the present iteration. Sequences
// that were cancelled during the iteration are skipped.
func (c *Core) finishIteration() {
	c.iteration.active = false
	for _, p := range c.iteration.prefill {
		if c.attempts[p.seq.AttemptID] == p.seq {
			c.finishPrefillChunk(p.seq, p.tokens)
		}
	}
	for _, s := range c.iteration.decode {
		if c.attempts[s.AttemptID] == s {
			c.emitToken(s)
		}
	}
}

func (c *Core) finishPrefillChunk(s *sequence, tokens int) {
	c.result.Work = append(c.result.Work, Work{RequestID: s.RequestID, AttemptID: s.AttemptID, From: s.computedTokens, To: s.computedTokens + tokens})
	s.computedTokens += tokens
	s.prefillTokens += tokens
	c.counters.ComputedTokens += tokens
	if s.EmittedTokens > 0 {
		c.counters.ResumedTokens += tokens
	}
	c.storeBlocks(s)
	if s.computedTokens == s.knownTokens {
		c.emitToken(s)
	}
}

// emitToken adds the next output token, and finishes the sequence once it has
// MaxTokens output tokens.
func (c *Core) emitToken(s *sequence) {
	if s.nextOffset < s.MaxTokens {
		c.decodeToken(s)
	}
	if s.nextOffset >= s.MaxTokens {
		c.counters.Finished++
		c.finish(s, FinishLength)
	}
}

func (c *Core) decodeToken(s *sequence) {
	token := TokenFromSeed(s.Seed, s.nextOffset)
	line := c.line(s)
	line.Event.Token = token
	if !s.statsSent {
		s.statsSent = true
		line.Event.CachedTokens = s.cachedTokens
		line.Event.ComputedTokens = s.prefillTokens
	}
	c.result.Lines = append(c.result.Lines, line)
	c.result.Work = append(c.result.Work, Work{RequestID: s.RequestID, AttemptID: s.AttemptID, From: s.knownTokens, To: s.knownTokens + 1, Decoded: true})
	c.counters.DecodedTokens++
	s.nextOffset++
	c.appendToken(s, token)
}

// appendToken adds an output token to the known and computed tokens.
func (c *Core) appendToken(s *sequence, token string) {
	s.knownTokens++
	s.computedTokens++
	s.partialBlock = append(s.partialBlock, token)
	if len(s.partialBlock) < prefixhash.BlockTokens {
		return
	}
	previous := prefixhash.Root(s.Model, s.Adapter)
	if len(s.blockHashes) > 0 {
		previous = s.blockHashes[len(s.blockHashes)-1]
	}
	s.blockHashes = append(s.blockHashes, prefixhash.Next(previous, s.partialBlock))
	s.partialBlock = s.partialBlock[:0]
	c.storeBlocks(s)
}

// storeBlocks moves the complete computed blocks into the shared cache, where
// other sequences can use them.
func (c *Core) storeBlocks(s *sequence) {
	completeBlocks := min(s.computedTokens/prefixhash.BlockTokens, len(s.blockHashes))
	for s.acquiredBlocks < completeBlocks && s.privateBlocks > 0 {
		c.cache.store(s.blockHashes[s.acquiredBlocks])
		s.acquiredBlocks++
		s.privateBlocks--
	}
}

func (c *Core) line(s *sequence) Line {
	return Line{At: c.now, Event: engineapi.GenerateEvent{
		RequestID: s.RequestID,
		AttemptID: s.AttemptID,
		Offset:    s.nextOffset,
	}}
}

func (c *Core) finish(s *sequence, reason string) {
	line := c.line(s)
	line.Event.Done = true
	line.Event.FinishReason = reason
	line.Event.CachedTokens = s.cachedTokens
	line.Event.ComputedTokens = s.prefillTokens
	c.result.Lines = append(c.result.Lines, line)
	delete(c.attempts, s.AttemptID)
	c.queue = removeSequence(c.queue, s)
	c.running = removeSequence(c.running, s)
	c.releaseMemory(s)
}

// releaseMemory returns a sequence's memory. Its stored blocks stay in the
// cache until they are evicted.
func (c *Core) releaseMemory(s *sequence) {
	c.cache.release(s.blockHashes[:s.acquiredBlocks])
	c.cache.privateBlocks -= s.privateBlocks
	s.acquiredBlocks, s.privateBlocks, s.computedTokens = 0, 0, 0
}
