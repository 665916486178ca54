// Package engine is a stand-in for a model engine: a pure core that batches,
// caches and decodes (Core), an HTTP server around it (Engine), and switches
// for its faults. docs/protocols/engine.md describes it.
package engine

import (
	"time"

	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Config is an engine's size, speed and habits.
type Config struct {
	RunnerID string
	// Models are loaded at the start.
	Models []engineapi.LoadedModel
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// StepTime is one decode step of the whole batch.
	StepTime time.Duration
	// ChunkTokens bounds the prompt tokens that are computed between two
	// decode steps.
	ChunkTokens int
	// MaxBatch bounds the sequences that are computed together.
	MaxBatch int
	// MaxQueue bounds those that wait; zero is no bound.
	MaxQueue int
	// PreemptRunning puts a running sequence of lower priority back into the
	// queue where one of higher priority finds no room.
	PreemptRunning bool
	// KVBlocks is the memory, in blocks of prefixhash.BlockTokens tokens.
	KVBlocks      int
	BytesPerToken int64
	// ExportBandwidth is in bytes per second over all exports of the engine.
	ExportBandwidth float64
	// HandleLifetime is how long an exported or imported cache is kept.
	HandleLifetime time.Duration
	// LoadPeriod is the time between two load reports.
	LoadPeriod time.Duration
	// EventDelay is the time until a cache event is published.
	EventDelay time.Duration
	// DropEveryNthEvent drops each so many-th cache event; zero drops none.
	DropEveryNthEvent uint64
	// MaxRetainedEvents bounds the cache events that can be read again.
	MaxRetainedEvents int
	// LoadTime is how long loading a model or adapter takes.
	LoadTime time.Duration
	// WeightTransferTime, if set, is how long the weights of an order that begins at now
	// take to arrive, before OrderTime.
	WeightTransferTime func(now time.Time, o engineapi.Order) time.Duration
	// CheckFencing refuses orders with an older fencing number than one seen.
	CheckFencing bool
	// RefuseWhenLeaving refuses new attempts once a notice has come.
	RefuseWhenLeaving bool
}

// DefaultConfig is a middling engine with one model loaded.
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

// Line is one line of an attempt's stream, made at a time.
type Line struct {
	At    time.Time
	Event engineapi.GenerateEvent
}

// Work says that the tokens From up to but not To of a request's prompt and
// output were computed.
type Work struct {
	RequestID string
	AttemptID string
	From, To  int
	// Decoded tokens are output, others were put in.
	Decoded bool
}

// Result is what a step brought about. Its slices are good until the next call
// of Step.
type Result struct {
	Lines []Line
	Work  []Work
}

// Core is a model engine without I/O and without a clock: each call gets the
// time, which must not go back, and Step does all work that is due. Not safe
// for concurrent use.
//
// It computes in iterations. One takes the time of a decode step if any
// sequence decodes, and of up to ChunkTokens tokens of prompt; at its end each
// decoding sequence and each one whose prompt became complete has one token
// more.
type Core struct {
	cfg              Config
	cache            *blockCache
	queue            []*sequence // best first
	running          []*sequence // best first
	attempts         map[string]*sequence
	nextArrival      uint64
	iteration        iteration
	result           Result
	previousResult   Result // what the last step returned
	now              time.Time
	handles          []*cacheHandle // oldest first
	lastHandleID     int
	exportLinkFreeAt time.Time
	control          control
	events           eventLog
	report           report
	counters         Counters
}

// Counters add up over an engine's life.
type Counters struct {
	Accepted  int `json:"accepted"`
	Refused   int `json:"refused"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Preempted int `json:"preempted"`
	// ComputedTokens were put in and computed, ResumedTokens those of them
	// that belonged to attempts with emitted tokens.
	ComputedTokens int `json:"computed_tokens"`
	ResumedTokens  int `json:"resumed_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	DecodedTokens  int `json:"decoded_tokens"`
	// AcceptedLeaving are attempts that came after a notice; the last of them
	// came LastAfterNotice after it.
	AcceptedLeaving int           `json:"accepted_leaving"`
	LastAfterNotice time.Duration `json:"last_after_notice_ns"`
	// StaleOrders were carried out with an older fencing number than one seen.
	StaleOrders   int `json:"stale_orders"`
	RefusedOrders int `json:"refused_orders"`
}

type sequence struct {
	Attempt
	arrivalOrder uint64
	// blockHashes holds the hashes of the whole blocks of what is known.
	blockHashes  []uint64
	partialBlock []string
	// knownTokens is the prompt and output so far, in tokens.
	knownTokens int
	// computedTokens of the known tokens are in memory.
	computedTokens int
	// acquiredBlocks blocks of the chain are stored and referred to.
	acquiredBlocks int
	privateBlocks  int
	cachedTokens   int
	// prefillTokens is how many tokens had to be computed before the first new one.
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

// NewCore returns an idle engine that starts now.
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

// Submit takes an attempt. A refusal has one of this package's error types and
// nothing of the attempt was run.
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

// Cancel ends an attempt with a last line and reports whether it was there.
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

// Step does all work that is due and returns what it brought about.
func (c *Core) Step(now time.Time) Result {
	c.advance(now)
	r := c.result
	c.result = Result{Lines: c.previousResult.Lines[:0], Work: c.previousResult.Work[:0]}
	c.previousResult = r
	return r
}

// Next is when Step has to be called again; false if nothing is due before the
// next other call.
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

// processDeadlines lets time go on with nothing computed meanwhile.
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

// startIteration plans the next iteration, unless one is on or there is no work.
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

// finishIteration does what the present iteration computed. A sequence that was
// cancelled meanwhile is left out.
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

// emitToken adds the next output token, unless the output is complete.
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

// appendToken appends an output token to what is known and in memory.
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

// storeBlocks makes the blocks that are computed whole available to others.
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

// releaseMemory gives a sequence's memory back; what it stored stays until evicted.
func (c *Core) releaseMemory(s *sequence) {
	c.cache.release(s.blockHashes[:s.acquiredBlocks])
	c.cache.privateBlocks -= s.privateBlocks
	s.acquiredBlocks, s.privateBlocks, s.computedTokens = 0, 0, 0
}
