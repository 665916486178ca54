package fleet

import (
	"math"
	"time"
)

// DemandConfig says how much more than the mean of the work runners must bear.
type DemandConfig struct {
	// Headroom is the standard deviations of the work that comes within Work.Wait
	// for which there must be room, ComfortableHeadroom the same where runners cost little.
	Headroom, ComfortableHeadroom float64
	// MaxSlowdown is how many times as long as alone a request may last: prompts are
	// read between the tokens of streams, and the fuller a batch or the more places
	// are taken, the longer each request takes.
	MaxSlowdown float64
	// RiseTime and FallTime are the time constants of the mean. A burst must be answered
	// before it is over. ComfortableFallTime is used where runners cost little: they are kept
	// for the next wave, which may come sooner than others start.
	RiseTime, FallTime, ComfortableFallTime time.Duration
	// VarianceTime is the time constant of the variance.
	VarianceTime time.Duration
	// Settle is how long there must have been work before it says what is
	// needed; until then FirstShare of what is there is taken to be, or
	// AmpleFirst where runners cost little.
	Settle                                time.Duration
	InitialShare, ComfortableInitialShare float64
}

// DefaultDemand suits engines that start in seconds.
func DefaultDemand() DemandConfig {
	return DemandConfig{
		Headroom:                0.5,
		ComfortableHeadroom:     2.5,
		MaxSlowdown:             3,
		RiseTime:                1500 * time.Millisecond,
		FallTime:                5 * time.Second,
		ComfortableFallTime:     15 * time.Second,
		VarianceTime:            15 * time.Second,
		Settle:                  4 * time.Second,
		InitialShare:            0.5,
		ComfortableInitialShare: 0.8,
	}
}

// Work is what callers bring to a service's runners.
type Work struct {
	// Runners that take new work.
	Runners int
	// PromptTokens is all that were brought so far and must be read, whether or
	// not the requests were served.
	PromptTokens float64
	// PrefillRate is prompt tokens that a runner reads in a second.
	PrefillRate float64
	// Wait is how long a prompt may wait before its answer is late.
	Wait time.Duration
	// Requests in progress and the places of one runner's batch.
	Requests int
	Slots    int
}

// Demand measures how many runners a service needs. Work comes unevenly, and what
// comes within the time that a prompt may wait must be read in that time. Its
// standard deviation grows more slowly than its mean: a large fleet can be fuller
// than a small one, and prompts that may wait longer need fewer runners. It is not
// safe for concurrent use.
type Demand struct {
	cfg DemandConfig
	// neverServed says that the service has not served before.
	neverServed bool
	// prefill is the work of prefill prompts, batch the requests in progress.
	prefill, batch loadStats
	// comfortable are the same as they are remembered for runners that cost little.
	comfortable struct{ prefill, batch loadStats }
	wait        time.Duration
	slots       int
	// blockEnd and tokens are of the end of the last block.
	blockEnd     time.Duration
	promptTokens float64
	sampled      bool
	// firstSample is the first sample, working the first with work, now the last.
	firstSample time.Duration
	firstWork   time.Duration
	now         time.Duration
	// resumesAt is when blocks count again after a suspension.
	resumesAt time.Duration
	// initial is the runners that were there at the beginning.
	initial int
}

// loadStats is the mean of some work and its variance over a second.
type loadStats struct {
	mean, variance float64
	blocks         int
}

// add takes in the work of a span of time. The first spans count alike: a mean that
// rose slowly from nothing would seem to be a variance.
func (l *loadStats) add(cfg *DemandConfig, fall time.Duration, work float64, span time.Duration) {
	l.blocks++
	equalWeight := 1 / float64(l.blocks)
	diff := work - l.mean
	timeConstant := cfg.RiseTime
	if diff < 0 {
		timeConstant = fall
	}
	l.mean += diff * max(equalWeight, weight(span, timeConstant))
	if l.blocks > 1 {
		l.variance += (diff*diff*span.Seconds() - l.variance) * max(equalWeight, weight(span, cfg.VarianceTime))
	}
}

func weight(span, constant time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/constant.Seconds())
}

// minBlock is the least time that is taken as one. In a shorter one the daemons'
// word, which comes every 100 to 200 ms, would seem to be a variance of the work.
const minBlock = 390 * time.Millisecond

// maxBlock is the longest time that is taken as one. A daemon that was suspended
// reads in a moment what the others told in seconds, so for as long after that the
// totals say nothing.
const maxBlock = 5 * minBlock

// NewDemand returns a measure that has seen nothing; fresh says that the service has
// not served before, so that what is there stands for what is needed.
func NewDemand(cfg DemandConfig, neverServed bool) *Demand {
	return &Demand{cfg: cfg, neverServed: neverServed}
}

// Sample takes in the work at a moment.
func (d *Demand) Sample(now time.Duration, w Work) {
	d.now, d.wait, d.slots = now, w.Wait, w.Slots
	if !d.sampled {
		d.firstSample = now
	}
	if now-d.firstSample < d.cfg.Settle {
		// What is there at first, before any order shows.
		d.initial = max(d.initial, w.Runners)
	}
	if d.firstWork == 0 && w.Requests > 0 {
		d.firstWork = now
	}
	span, promptTokens := now-d.blockEnd, w.PromptTokens-d.promptTokens
	if d.sampled && span < minBlock {
		return
	}
	initial := !d.sampled
	d.blockEnd, d.promptTokens, d.sampled = now, w.PromptTokens, true
	if span > maxBlock {
		d.resumesAt = now + maxBlock
	}
	if initial || d.firstWork == 0 || now < d.resumesAt {
		return
	}
	if w.PrefillRate > 0 {
		busy := promptTokens / w.PrefillRate / span.Seconds()
		d.prefill.add(&d.cfg, d.cfg.FallTime, busy, span)
		d.comfortable.prefill.add(&d.cfg, d.cfg.ComfortableFallTime, busy, span)
	}
	d.batch.add(&d.cfg, d.cfg.FallTime, float64(w.Requests), span)
	d.comfortable.batch.add(&d.cfg, d.cfg.ComfortableFallTime, float64(w.Requests), span)
}

// withHeadroom is what some work needs, with room for chance and so much that whatever is
// in progress beside it is not slowed down too far.
func (d *Demand) withHeadroom(mean, deviation float64) float64 {
	return max(mean+deviation, mean/(1-1/d.cfg.MaxSlowdown))
}

// requiredRunners is how many bear the work with room for so many standard deviations.
func (d *Demand) requiredRunners(prefill, batch *loadStats, deviations, initialShare float64) int {
	needed := d.withHeadroom(prefill.mean, deviations*d.deviation(prefill))
	if d.slots > 0 {
		requests := d.withHeadroom(batch.mean, deviations*math.Sqrt(batch.mean))
		needed = max(needed, requests/float64(d.slots))
	}
	n := int(math.Ceil(needed))
	if d.neverServed && !d.settled() {
		n = max(n, int(math.Ceil(initialShare*float64(d.initial))))
	}
	return max(1, n)
}

// Estimate is what Demand says at a moment.
type Estimate struct {
	// Runners are needed; Comfortable is how many there should be where they cost
	// little.
	Runners, Comfortable int
	// Busy is how many runners the mean of the work keeps reading, Deviation the
	// standard deviation of what comes while a prompt may wait, in the same unit.
	Busy, Deviation float64
	// Settled says that there has been work for long enough to tell.
	Settled bool
}

// Estimate tells what is needed.
func (d *Demand) Estimate() Estimate {
	return Estimate{
		Runners:     d.requiredRunners(&d.prefill, &d.batch, d.cfg.Headroom, d.cfg.InitialShare),
		Comfortable: d.requiredRunners(&d.comfortable.prefill, &d.comfortable.batch, d.cfg.ComfortableHeadroom, d.cfg.ComfortableInitialShare),
		Busy:        d.prefill.mean,
		Deviation:   d.deviation(&d.prefill),
		Settled:     d.settled(),
	}
}

func (d *Demand) deviation(prefill *loadStats) float64 {
	if d.wait <= 0 {
		return 0
	}
	return math.Sqrt(prefill.variance / d.wait.Seconds())
}

// settled tells whether there has been work for long enough to say what is needed.
func (d *Demand) settled() bool { return d.firstWork != 0 && d.now-d.firstWork >= d.cfg.Settle }
