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
	// EventLag is the time until a cache event is published.
	EventLag time.Duration
	// EventGap drops each so many-th cache event; zero drops none.
	EventGap uint64
	// EventsKept bounds the cache events that can be read again.
	EventsKept int
	// OrderTime is how long loading a model or adapter takes.
	OrderTime time.Duration
	// Transfer, if set, is how long the weights of an order that begins at now
	// take to arrive, before OrderTime.
	Transfer func(now time.Time, o engineapi.Order) time.Duration
	// ChecksFencing refuses orders with an older fencing number than one seen.
	ChecksFencing bool
	// RefuseWhenLeaving refuses new attempts once a notice has come.
	RefuseWhenLeaving bool
}

// DefaultConfig is a middling engine with one model loaded.
func DefaultConfig(runnerID, model, version string) Config {
	return Config{
		RunnerID:        runnerID,
		Models:          []engineapi.LoadedModel{{Model: model, Version: version}},
		PrefillRate:     8000,
		StepTime:        20 * time.Millisecond,
		ChunkTokens:     512,
		MaxBatch:        16,
		KVBlocks:        4096,
		BytesPerToken:   128 << 10,
		ExportBandwidth: 1.25e9,
		HandleLifetime:  time.Minute,
		LoadPeriod:      500 * time.Millisecond,
		EventLag:        time.Second,
		EventsKept:      4096,
		OrderTime:       5 * time.Second,
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
	cfg       Config
	cache     *blockCache
	queue     []*sequence // best first
	running   []*sequence // best first
	attempts  map[string]*sequence
	arrivals  uint64
	iteration iteration
	result    Result
	spare     Result // what the last step returned
	now       time.Time
	handles   []*handle // oldest first
	lastID    int
	linkFree  time.Time
	control   control
	events    eventLog
	report    report
	counters  Counters
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
	arrival uint64
	// chain holds the hashes of the whole blocks of what is known.
	chain []uint64
	tail  []string
	// known is the prompt and output so far, in tokens.
	known int
	// computed of the known tokens are in memory.
	computed int
	// acquired blocks of the chain are stored and referred to.
	acquired int
	private  int
	cached   int
	// anew is how many tokens had to be computed before the first new one.
	anew   int
	offset int
	told   bool
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
	c.events = eventLog{lag: cfg.EventLag, gap: cfg.EventGap, keep: cfg.EventsKept, first: 1, next: 1}
	c.cache = newBlockCache(cfg.KVBlocks, func(hash uint64, stored bool) { c.events.add(c.now, hash, stored) })
	c.control.models = append(c.control.models, cfg.Models...)
	c.report.next = now
	c.publish(now)
	return c
}

// Submit takes an attempt. A refusal has one of this package's error types and
// nothing of the attempt was run.
func (c *Core) Submit(now time.Time, a Attempt) error {
	c.advance(now)
	if err := c.admissible(a); err != nil {
		c.counters.Refused++
		return err
	}
	c.counters.Accepted++
	if c.control.leaving {
		c.counters.AcceptedLeaving++
		c.counters.LastAfterNotice = now.Sub(c.control.noticed)
	}
	s := &sequence{
		Attempt: a,
		arrival: c.arrivals,
		chain:   append([]uint64(nil), a.Blocks...),
		tail:    append([]string(nil), a.Tail...),
		known:   a.known(),
		offset:  a.EmittedTokens,
	}
	c.arrivals++
	c.attempts[a.AttemptID] = s
	c.enqueue(s)
	c.begin(now)
	return nil
}

func (c *Core) admissible(a Attempt) error {
	switch {
	case c.control.dead:
		return &DeadError{}
	case c.control.leaving && c.cfg.RefuseWhenLeaving:
		return &LeavingError{}
	case !c.control.serves(a.Model, a.Adapter):
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
	c.result = Result{Lines: c.spare.Lines[:0], Work: c.spare.Work[:0]}
	c.spare = r
	return r
}

// Next is when Step has to be called again; false if nothing is due before the
// next other call.
func (c *Core) Next() (time.Time, bool) {
	if len(c.result.Lines) > 0 {
		return c.now, true
	}
	next, ok := c.control.nextDone()
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
		c.elapse(end)
		if c.control.dead {
			return
		}
		c.complete()
		c.begin(end)
	}
	c.elapse(now)
}

// elapse lets time go on with nothing computed meanwhile.
func (c *Core) elapse(now time.Time) {
	c.publish(now)
	c.control.finishOrders(now)
	c.expireHandles(now)
	if c.control.leaving && !now.Before(c.control.deadline) {
		c.Die(c.control.deadline)
	}
	if now.After(c.now) {
		c.now = now
	}
}

// begin plans the next iteration, unless one is on or there is no work.
func (c *Core) begin(now time.Time) {
	if c.iteration.active || c.control.dead {
		return
	}
	c.fill()
	it := iteration{active: true, prefill: c.iteration.prefill[:0], decode: c.iteration.decode[:0]}
	budget := max(c.cfg.ChunkTokens, 1)
	for _, s := range c.running {
		missing := s.known - s.computed
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

func (c *Core) duration(it iteration, tokens int) time.Duration {
	d := time.Duration(float64(tokens) / c.cfg.PrefillRate * float64(time.Second))
	if len(it.decode) > 0 {
		d += c.cfg.StepTime
	}
	return max(d, time.Microsecond)
}

// complete does what the present iteration computed. A sequence that was
// cancelled meanwhile is left out.
func (c *Core) complete() {
	c.iteration.active = false
	for _, p := range c.iteration.prefill {
		if c.attempts[p.seq.AttemptID] == p.seq {
			c.prefilled(p.seq, p.tokens)
		}
	}
	for _, s := range c.iteration.decode {
		if c.attempts[s.AttemptID] == s {
			c.emit(s)
		}
	}
}

func (c *Core) prefilled(s *sequence, tokens int) {
	c.result.Work = append(c.result.Work, Work{RequestID: s.RequestID, AttemptID: s.AttemptID, From: s.computed, To: s.computed + tokens})
	s.computed += tokens
	s.anew += tokens
	c.counters.ComputedTokens += tokens
	if s.EmittedTokens > 0 {
		c.counters.ResumedTokens += tokens
	}
	c.storeBlocks(s)
	if s.computed == s.known {
		c.emit(s)
	}
}

// emit adds the next output token, unless the output is complete.
func (c *Core) emit(s *sequence) {
	if s.offset < s.MaxTokens {
		c.decode(s)
	}
	if s.offset >= s.MaxTokens {
		c.counters.Finished++
		c.finish(s, FinishLength)
	}
}

func (c *Core) decode(s *sequence) {
	token := SeedToken(s.Seed, s.offset)
	line := c.line(s)
	line.Event.Token = token
	if !s.told {
		s.told = true
		line.Event.CachedTokens = s.cached
		line.Event.ComputedTokens = s.anew
	}
	c.result.Lines = append(c.result.Lines, line)
	c.result.Work = append(c.result.Work, Work{RequestID: s.RequestID, AttemptID: s.AttemptID, From: s.known, To: s.known + 1, Decoded: true})
	c.counters.DecodedTokens++
	s.offset++
	c.extend(s, token)
}

// extend appends an output token to what is known and in memory.
func (c *Core) extend(s *sequence, token string) {
	s.known++
	s.computed++
	s.tail = append(s.tail, token)
	if len(s.tail) < prefixhash.BlockTokens {
		return
	}
	previous := prefixhash.Root(s.Model, s.Adapter)
	if len(s.chain) > 0 {
		previous = s.chain[len(s.chain)-1]
	}
	s.chain = append(s.chain, prefixhash.Next(previous, s.tail))
	s.tail = s.tail[:0]
	c.storeBlocks(s)
}

// storeBlocks makes the blocks that are computed whole available to others.
func (c *Core) storeBlocks(s *sequence) {
	whole := min(s.computed/prefixhash.BlockTokens, len(s.chain))
	for s.acquired < whole && s.private > 0 {
		c.cache.store(s.chain[s.acquired])
		s.acquired++
		s.private--
	}
}

func (c *Core) line(s *sequence) Line {
	return Line{At: c.now, Event: engineapi.GenerateEvent{
		RequestID: s.RequestID,
		AttemptID: s.AttemptID,
		Offset:    s.offset,
	}}
}

func (c *Core) finish(s *sequence, reason string) {
	line := c.line(s)
	line.Event.Done = true
	line.Event.FinishReason = reason
	line.Event.CachedTokens = s.cached
	line.Event.ComputedTokens = s.anew
	c.result.Lines = append(c.result.Lines, line)
	delete(c.attempts, s.AttemptID)
	c.queue = without(c.queue, s)
	c.running = without(c.running, s)
	c.vacate(s)
}

// vacate gives a sequence's memory back; what it stored stays until evicted.
func (c *Core) vacate(s *sequence) {
	c.cache.release(s.chain[:s.acquired])
	c.cache.private -= s.private
	s.acquired, s.private, s.computed = 0, 0, 0
}
