// Package reclaim plans what happens to the streams at runners whose VMs are about to be
// reclaimed. It makes one decision per stream, for a whole batch of streams at once, given the
// link over which KV caches are moved and the capacity of the remaining runners. The package
// does no I/O and reads no clock.
package reclaim

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Stream is the output of one attempt of a request that a leaving runner is generating.
type Stream struct {
	Request ident.RequestID
	Runner  ident.RunnerID
	// Urgent streams have a caller who reads the output as it arrives; others may wait.
	Urgent bool
	// Context is the number of prompt tokens and emitted tokens, which a resume at another
	// runner has to compute again.
	Context int
	// Remaining is the maximum number of tokens that the stream may still emit.
	Remaining int
	// CacheBytes is the size of the stream's KV cache.
	CacheBytes int64
	// Pinned streams can't be moved: their KV cache can't be exported from the runner, for example
	// because it was exported before.
	Pinned bool
	// CachedAt maps runners to the number of context tokens that they have cached.
	CachedAt map[ident.RunnerID]int
}

// Source is a leaving runner.
type Source struct {
	Runner ident.RunnerID
	// TimeLeft is the time from the plan until the leaving runner's VM is reclaimed.
	TimeLeft time.Duration
	// DecodeRate is the number of tokens per second that each of its streams emits.
	DecodeRate float64
}

// Target is a runner that can take over streams from leaving runners.
type Target struct {
	Runner ident.RunnerID
	// Slots is the number of streams that the runner can decode at once in addition to its
	// current ones.
	Slots int
	// FreeTokens is the free space in its KV cache, in tokens.
	FreeTokens int
	// PrefillRate is the number of prompt tokens that it computes per second.
	PrefillRate float64
	// QueuedTokens is the number of prompt tokens queued at the runner.
	QueuedTokens int
	// Risk is the expected number of reclaims of the runner's VM per hour.
	Risk float64
}

// Link describes the network link that transfers KV caches, one at a time.
type Link struct {
	BytesPerSecond float64
	// Setup is the fixed time of each transfer, in addition to the time for its bytes.
	Setup time.Duration
	// BusyFor is the time until the transfers in progress are done.
	BusyFor time.Duration
}

// Batch is the input of Plan.
type Batch struct {
	Sources []Source
	Streams []Stream
	Targets []Target
	Link    Link
	// SafetyMargin is how long before the reclaim of a source its streams must have ended or left.
	SafetyMargin time.Duration
}

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	// Finish leaves the stream at its runner, where it ends in time.
	Finish Kind = "finish"
	// Move transfers the KV cache to the target, where the stream continues.
	Move Kind = "move"
	// Resume computes the prompt and the emitted tokens again at the target.
	Resume Kind = "resume"
	// Wait lets the stream run until its runner is reclaimed. After that the stream waits
	// for capacity.
	Wait Kind = "wait"
)

// Decision is what to do with one stream.
type Decision struct {
	Request ident.RequestID
	Runner  ident.RunnerID
	Kind    Kind
	// Target is empty for Finish and Wait.
	Target ident.RunnerID
	// Start and End are offsets from the time of the plan: those of the transfer for Move,
	// those of the computation for Resume.
	Start, End time.Duration
	// Recomputed is the number of context tokens that a runner has to compute a second time because
	// of the decision.
	Recomputed int
}

// plan is the state of one call of Plan.
type plan struct {
	b         Batch
	sources   map[ident.RunnerID]Source
	targets   []*targetState
	decisions []Decision
}

// targetState is a target and its remaining capacity.
type targetState struct {
	Target
	freeSlots  int
	freeTokens int
	// prefillBusyUntil is when the target has computed all prompt tokens that were queued there
	// at the time of the plan and all context tokens that the plan has assigned to it so far. It
	// is an offset from the time of the plan.
	prefillBusyUntil time.Duration
}

// candidate is a stream that may not finish at its source in time, with the target assigned to it.
// savedTokens is the number of context tokens that a transfer of the KV cache saves the target from
// computing again.
type candidate struct {
	Stream
	target           *targetState
	deadline         time.Duration
	savedTokens      int
	transferDuration time.Duration
}

// Plan decides on every stream of the batch and returns the decisions sorted by request ID.
//
// Urgent streams get capacity first. The link is used for the moves that save the most
// recomputed tokens per second of transfer. Streams that don't fit on the link are resumed at
// other runners, urgent ones first. Each target resumes one stream after another, so that the
// first ones need not wait for the prefill of all others.
func Plan(b Batch) []Decision {
	p := newPlan(b)
	mayNotFinish := p.decideFinish()
	placed := p.assignTargets(mayNotFinish)
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

// deadline returns the time by which a stream must have ended at its source or left it, as an offset
// from the time of the plan.
func (p *plan) deadline(s Stream) time.Duration {
	return p.sources[s.Runner].TimeLeft - p.b.SafetyMargin
}

func (p *plan) decide(s Stream, d Decision) {
	d.Request = s.Request
	d.Runner = s.Runner
	p.decisions = append(p.decisions, d)
}

// decideFinish decides on the streams that are certain to end in time. It returns the others:
// urgent streams first, then those with the longer context.
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
			return compareFirst(a.Urgent)
		}
		return cmp.Or(cmp.Compare(b.Context, a.Context), cmp.Compare(a.Request, b.Request))
	})
	return rest
}

// compareFirst returns the comparison result that sorts the first of two streams before the second if
// first is set, and after it otherwise.
func compareFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// assignTargets assigns a target to each stream. Streams for which no target has capacity wait.
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
		c.transferDuration = p.b.Link.transferTime(s.CacheBytes)
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

// bestTarget returns the target that has cached most of the context, then the one with the most
// capacity. Streams that aren't urgent may also get a target without a free slot if its KV cache
// has space for them: they wait at the engine without losing their cache.
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

// betterTarget reports whether target a suits the stream better than target b.
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

// slotsPerCrowdRank is how many free slots more improve a target's crowdRank by one.
const slotsPerCrowdRank = 8

// crowdRank ranks targets coarsely by their free slots, so that the streams of a whole batch
// are not all assigned to the runner with the lowest risk, where they would slow each other
// down.
func (r *targetState) crowdRank() int { return -r.freeSlots / slotsPerCrowdRank }

// compareRisk keeps streams that aren't urgent off VMs that are likely to be reclaimed next.
func compareRisk(s Stream, a, b *targetState) int {
	if s.Urgent {
		return 0
	}
	return cmp.Compare(a.Risk, b.Risk)
}

// scheduleMoves schedules the transfers and returns the streams that don't fit on the link.
func (p *plan) scheduleMoves(placed []*candidate) []*candidate {
	byBenefit := slices.Clone(placed)
	slices.SortStableFunc(byBenefit, func(a, b *candidate) int {
		return cmp.Compare(b.savedTokensPerSecond(), a.savedTokensPerSecond())
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
		p.decide(c.Stream, Decision{Kind: Move, Target: c.target.Runner, Start: at, End: at + c.transferDuration})
		at += c.transferDuration
	}
	return rest
}

// savedTokensPerSecond returns savedTokens per second of transfer time.
func (c *candidate) savedTokensPerSecond() float64 {
	if c.transferDuration <= 0 {
		return 0
	}
	return float64(c.savedTokens) / c.transferDuration.Seconds()
}

// schedule holds the accepted transfers on the link by deadline. Transfers run in the order of
// their deadlines, the first one at busyUntil. deadlines holds the different deadlines of all
// candidates in ascending order, and load[i] is the total duration of the accepted transfers with the
// deadline deadlines[i]. All times are offsets from the time of the plan.
type schedule struct {
	busyUntil time.Duration
	deadlines []time.Duration
	load      []time.Duration
}

func newSchedule(busyUntil time.Duration, candidates []*candidate) *schedule {
	s := &schedule{busyUntil: busyUntil}
	for _, c := range candidates {
		s.deadlines = append(s.deadlines, c.deadline)
	}
	slices.Sort(s.deadlines)
	s.deadlines = slices.Compact(s.deadlines)
	s.load = make([]time.Duration, len(s.deadlines))
	return s
}

// tryAdd adds the transfer if all transfers accepted so far still meet their deadlines.
func (s *schedule) tryAdd(c *candidate) bool {
	index, _ := slices.BinarySearch(s.deadlines, c.deadline)
	s.load[index] += c.transferDuration
	end := s.busyUntil
	for i, load := range s.load {
		end += load
		if load > 0 && end > s.deadlines[i] {
			s.load[index] -= c.transferDuration
			return false
		}
	}
	return true
}

// scheduleResumes starts the remaining streams at their targets, one after the other per target.
// If a target is busy past a stream's deadline, an urgent stream starts at the deadline all the
// same, because its source is reclaimed then; any other stream waits.
func (p *plan) scheduleResumes(rest []*candidate) {
	slices.SortStableFunc(rest, func(a, b *candidate) int {
		if a.Urgent != b.Urgent {
			return compareFirst(a.Urgent)
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
