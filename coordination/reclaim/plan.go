// Package reclaim decides what becomes of the streams at runners whose VMs
// have been given notice: one decision for each stream, taken for the whole
// batch at once, over the link that KV caches are moved by and the capacity
// that is left. It is pure.
package reclaim

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Stream is one attempt that runs at a leaving runner.
type Stream struct {
	Request ident.RequestID
	Runner  ident.RunnerID
	// Urgent streams have a caller who reads; the others may wait.
	Urgent bool
	// Context is the prompt and the emitted tokens: what a resume elsewhere
	// computes anew.
	Context int
	// Remaining is the most tokens that it may still emit.
	Remaining int
	// CacheBytes is the size of its KV cache.
	CacheBytes int64
	// Pinned streams can't be exported (again).
	Pinned bool
	// CachedAt has the tokens of the context that a runner holds already.
	CachedAt map[ident.RunnerID]int
}

// Source is a leaving runner.
type Source struct {
	Runner ident.RunnerID
	// TimeLeft is the time until its VM goes.
	TimeLeft time.Duration
	// DecodeRate is the tokens that each of its streams emits a second.
	DecodeRate float64
}

// Target is a runner that may take streams over.
type Target struct {
	Runner ident.RunnerID
	// Slots is the number of streams that it can decode at once besides those
	// it has.
	Slots int
	// FreeTokens is the room in its KV cache.
	FreeTokens int
	// PrefillRate is the prompt tokens that it computes a second.
	PrefillRate float64
	// QueuedTokens wait to be computed there.
	QueuedTokens int
	// Risk orders targets that are otherwise equal: lower first.
	Risk float64
}

// Link carries one KV cache after the other.
type Link struct {
	BytesPerSecond float64
	// Setup is spent on each transfer besides its bytes.
	Setup time.Duration
	// BusyFor is the time that transfers under way still take.
	BusyFor time.Duration
}

// Batch is all that one plan is made for.
type Batch struct {
	Sources []Source
	Streams []Stream
	Targets []Target
	Link    Link
	// SafetyMargin is kept free before each source's end.
	SafetyMargin time.Duration
}

// Kind is what becomes of a stream.
type Kind string

// Kinds of decisions.
const (
	// Finish leaves the stream where it is: it ends in time.
	Finish Kind = "finish"
	// Move exports the KV cache to the target and goes on there.
	Move Kind = "move"
	// Resume computes prompt and emitted tokens anew at the target.
	Resume Kind = "resume"
	// Wait lets the stream run until its runner goes; then it waits for
	// capacity.
	Wait Kind = "wait"
)

// Decision is what to do with one stream.
type Decision struct {
	Request ident.RequestID
	Runner  ident.RunnerID
	Kind    Kind
	// Target is empty for Finish and Wait.
	Target ident.RunnerID
	// Start and End are from the time of the plan on: a move's transfer, or a
	// resume's computing.
	Start, End time.Duration
	// Recomputed is the tokens that are computed a second time.
	Recomputed int
}

// plan is the work in progress on a batch.
type plan struct {
	b         Batch
	sources   map[ident.RunnerID]Source
	targets   []*targetState
	decisions []Decision
}

// targetState is what is left of a target.
type targetState struct {
	Target
	freeSlots  int
	freeTokens int
	// prefillBusyUntil is until when its prefill is taken.
	prefillBusyUntil time.Duration
}

// candidate is a stream that can't stay, with its target.
type candidate struct {
	Stream
	target      *targetState
	deadline    time.Duration
	savedTokens int
	duration    time.Duration
}

// Plan decides on every stream of the batch, in the order of their IDs.
//
// Capacity is given to urgent streams first. The link is given to the moves
// that save the most recomputed tokens for each second of transfer. What does
// not fit on the link is resumed elsewhere, urgent streams first, one after
// the other at each target, so that none waits behind the whole wave.
func Plan(b Batch) []Decision {
	p := newPlan(b)
	unfinished := p.decideFinish()
	placed := p.assignTargets(unfinished)
	rest := p.scheduleMoves(placed)
	p.scheduleResumes(rest)
	slices.SortFunc(p.decisions, func(a, b Decision) int { return cmp.Compare(a.Request, b.Request) })
	return p.decisions
}

func newPlan(b Batch) *plan {
	p := &plan{b: b, sources: map[ident.RunnerID]Source{}}
	for _, s := range b.Sources {
		p.sources[s.Runner] = s
	}
	for _, t := range b.Targets {
		if _, leaving := p.sources[t.Runner]; leaving {
			continue
		}
		r := &targetState{Target: t, freeSlots: t.Slots, freeTokens: t.FreeTokens}
		r.prefillBusyUntil = r.prefillTime(t.QueuedTokens)
		p.targets = append(p.targets, r)
	}
	return p
}

func (r *targetState) prefillTime(tokens int) time.Duration {
	if r.PrefillRate <= 0 {
		return 0
	}
	return secondsToDuration(float64(tokens) / r.PrefillRate)
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// deadline is when the last thing for a stream must be over at its source.
func (p *plan) deadline(s Stream) time.Duration {
	return p.sources[s.Runner].TimeLeft - p.b.SafetyMargin
}

func (p *plan) decide(s Stream, d Decision) {
	d.Request = s.Request
	d.Runner = s.Runner
	p.decisions = append(p.decisions, d)
}

// decideFinish leaves the streams that surely end in time and returns the others,
// urgent ones first, those with more to lose before the others.
func (p *plan) decideFinish() []Stream {
	var rest []Stream
	for _, s := range p.b.Streams {
		rate := p.sources[s.Runner].DecodeRate
		if rate > 0 && secondsToDuration(float64(s.Remaining)/rate) <= p.deadline(s) {
			p.decide(s, Decision{Kind: Finish})
			continue
		}
		rest = append(rest, s)
	}
	slices.SortStableFunc(rest, func(a, b Stream) int {
		if a.Urgent != b.Urgent {
			return orderFirst(a.Urgent)
		}
		return cmp.Or(cmp.Compare(b.Context, a.Context), cmp.Compare(a.Request, b.Request))
	})
	return rest
}

func orderFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// assignTargets gives each stream a target; those without room wait.
func (p *plan) assignTargets(streams []Stream) []*candidate {
	var placed []*candidate
	for _, s := range streams {
		target := p.bestTarget(s)
		if target == nil {
			p.decide(s, Decision{Kind: Wait, Recomputed: s.Context})
			continue
		}
		target.freeSlots--
		target.freeTokens -= s.Context + s.Remaining
		c := &candidate{Stream: s, target: target, deadline: p.deadline(s)}
		c.savedTokens = max(s.Context-s.CachedAt[target.Runner], 0)
		c.duration = p.b.Link.transferTime(s.CacheBytes)
		placed = append(placed, c)
	}
	return placed
}

func (l Link) transferTime(bytes int64) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	return l.Setup + secondsToDuration(float64(bytes)/l.BytesPerSecond)
}

// bestTarget prefers the target that holds most of the context, then the one with
// most room. Streams that may wait are also put where no slot is free, as long
// as their KV cache has room there: they wait at the engine without losing it.
func (p *plan) bestTarget(s Stream) *targetState {
	var bestTarget *targetState
	for _, t := range p.targets {
		if t.freeTokens < s.Context+s.Remaining || (s.Urgent && t.freeSlots <= 0) {
			continue
		}
		if bestTarget == nil || betterTarget(s, t, bestTarget) {
			bestTarget = t
		}
	}
	return bestTarget
}

func betterTarget(s Stream, a, b *targetState) bool {
	order := cmp.Or(
		cmp.Compare(s.CachedAt[b.Runner], s.CachedAt[a.Runner]),
		cmp.Compare(min(b.freeSlots, 1), min(a.freeSlots, 1)),
		cmp.Compare(a.crowdRank(), b.crowdRank()),
		compareRisk(s, a, b),
		cmp.Compare(b.freeSlots, a.freeSlots),
		cmp.Compare(b.freeTokens, a.freeTokens),
		cmp.Compare(a.Runner, b.Runner),
	)
	return order < 0
}

// slotsPerCrowdRank is the slots that make one step of crowd.
const slotsPerCrowdRank = 8

// crowdRank ranks targets coarsely by their free slots, so that a whole wave is
// not put on the one safest runner, whose streams would all slow down.
func (r *targetState) crowdRank() int { return -r.freeSlots / slotsPerCrowdRank }

// compareRisk keeps long work off VMs that are likely to go next.
func compareRisk(s Stream, a, b *targetState) int {
	if s.Urgent {
		return 0
	}
	return cmp.Compare(a.Risk, b.Risk)
}

// scheduleMoves schedules the transfers and returns the streams that don't fit.
func (p *plan) scheduleMoves(placed []*candidate) []*candidate {
	byBenefit := slices.Clone(placed)
	slices.SortStableFunc(byBenefit, func(a, b *candidate) int {
		return cmp.Compare(b.tokensPerSecond(), a.tokensPerSecond())
	})
	link := newSchedule(p.b.Link.BusyFor, byBenefit)
	var moved, rest []*candidate
	for _, c := range byBenefit {
		if !c.Pinned && p.b.Link.BytesPerSecond > 0 && c.savedTokens > 0 && link.tryAdd(c) {
			moved = append(moved, c)
			continue
		}
		rest = append(rest, c)
	}
	slices.SortStableFunc(moved, func(a, b *candidate) int { return cmp.Compare(a.deadline, b.deadline) })
	at := p.b.Link.BusyFor
	for _, c := range moved {
		p.decide(c.Stream, Decision{Kind: Move, Target: c.target.Runner, Start: at, End: at + c.duration})
		at += c.duration
	}
	return rest
}

// tokensPerSecond is the recomputed tokens saved for each second of transfer.
func (c *candidate) tokensPerSecond() float64 {
	if c.duration <= 0 {
		return 0
	}
	return float64(c.savedTokens) / c.duration.Seconds()
}

// schedule keeps the transfers that the link carries before their limits, the
// earliest limit first.
type schedule struct {
	busy      time.Duration
	deadlines []time.Duration
	load      []time.Duration
}

func newSchedule(busy time.Duration, candidates []*candidate) *schedule {
	s := &schedule{busy: busy}
	for _, c := range candidates {
		s.deadlines = append(s.deadlines, c.deadline)
	}
	slices.Sort(s.deadlines)
	s.deadlines = slices.Compact(s.deadlines)
	s.load = make([]time.Duration, len(s.deadlines))
	return s
}

// tryAdd takes the transfer if every one taken so far still ends in time.
func (s *schedule) tryAdd(c *candidate) bool {
	index, _ := slices.BinarySearch(s.deadlines, c.deadline)
	s.load[index] += c.duration
	end := s.busy
	for i, load := range s.load {
		end += load
		if load > 0 && end > s.deadlines[i] {
			s.load[index] -= c.duration
			return false
		}
	}
	return true
}

// scheduleResumes starts the rest at their targets, one after the other at each. A
// stream whose turn comes too late starts at its limit all the same, since
// its runner goes then; one that may wait does so.
func (p *plan) scheduleResumes(rest []*candidate) {
	slices.SortStableFunc(rest, func(a, b *candidate) int {
		if a.Urgent != b.Urgent {
			return orderFirst(a.Urgent)
		}
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.Request, b.Request))
	})
	for _, c := range rest {
		start := c.target.prefillBusyUntil
		if start > c.deadline && !c.Urgent {
			p.decide(c.Stream, Decision{Kind: Wait, Recomputed: c.Context})
			continue
		}
		start = max(min(start, c.deadline), 0)
		c.target.prefillBusyUntil = max(c.target.prefillBusyUntil, start) + c.target.prefillTime(c.savedTokens)
		p.decide(c.Stream, Decision{
			Kind: Resume, Target: c.target.Runner,
			Start: start, End: c.target.prefillBusyUntil, Recomputed: c.savedTokens,
		})
	}
}
