package fleet

import (
	"math"
	"time"
)

// DemandConfig says how much more than the mean of the work runners must bear.
type DemandConfig struct {
	// Risk is the standard deviations of the work that comes within Work.Wait
	// for which there must be room, Ample the same where runners cost little.
	Risk, Ample float64
	// Slowdown is how many times as long as alone a request may last: prompts are
	// read between the tokens of streams, and the fuller a batch or the more places
	// are taken, the longer each request takes.
	Slowdown float64
	// Rise and Fall are the time constants of the mean. A burst must be answered
	// before it is over. AmpleFall is used where runners cost little: they are kept
	// for the next wave, which may come sooner than others start.
	Rise, Fall, AmpleFall time.Duration
	// Memory is the time constant of the variance.
	Memory time.Duration
	// Settle is how long there must have been work before it says what is
	// needed; until then FirstShare of what is there is taken to be, or
	// AmpleFirst where runners cost little.
	Settle                 time.Duration
	FirstShare, AmpleFirst float64
}

// DefaultDemand suits engines that start in seconds.
func DefaultDemand() DemandConfig {
	return DemandConfig{
		Risk:       0.5,
		Ample:      2.5,
		Slowdown:   3,
		Rise:       1500 * time.Millisecond,
		Fall:       5 * time.Second,
		AmpleFall:  15 * time.Second,
		Memory:     15 * time.Second,
		Settle:     4 * time.Second,
		FirstShare: 0.5,
		AmpleFirst: 0.8,
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
	// fresh says that the service has not served before.
	fresh bool
	// reading is the work of reading prompts, batch the requests in progress.
	reading, batch load
	// ample are the same as they are remembered for runners that cost little.
	ample struct{ reading, batch load }
	wait  time.Duration
	slots int
	// at and tokens are of the end of the last block.
	at      time.Duration
	tokens  float64
	sampled bool
	// began is the first sample, working the first with work, now the last.
	began   time.Duration
	working time.Duration
	now     time.Duration
	// resumes is when blocks count again after a suspension.
	resumes time.Duration
	// first is the runners that were there at the beginning.
	first int
}

// load is the mean of some work and its variance over a second.
type load struct {
	mean, variance float64
	blocks         int
}

// add takes in the work of a span of time. The first spans count alike: a mean that
// rose slowly from nothing would seem to be a variance.
func (l *load) add(cfg *DemandConfig, fall time.Duration, work float64, span time.Duration) {
	l.blocks++
	equal := 1 / float64(l.blocks)
	off := work - l.mean
	constant := cfg.Rise
	if off < 0 {
		constant = fall
	}
	l.mean += off * max(equal, weight(span, constant))
	if l.blocks > 1 {
		l.variance += (off*off*span.Seconds() - l.variance) * max(equal, weight(span, cfg.Memory))
	}
}

func weight(span, constant time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/constant.Seconds())
}

// blockSpan is the least time that is taken as one. In a shorter one the daemons'
// word, which comes every 100 to 200 ms, would seem to be a variance of the work.
const blockSpan = 390 * time.Millisecond

// longestSpan is the longest time that is taken as one. A daemon that was suspended
// reads in a moment what the others told in seconds, so for as long after that the
// totals say nothing.
const longestSpan = 5 * blockSpan

// NewDemand returns a measure that has seen nothing; fresh says that the service has
// not served before, so that what is there stands for what is needed.
func NewDemand(cfg DemandConfig, fresh bool) *Demand { return &Demand{cfg: cfg, fresh: fresh} }

// Sample takes in the work at a moment.
func (d *Demand) Sample(now time.Duration, w Work) {
	d.now, d.wait, d.slots = now, w.Wait, w.Slots
	if !d.sampled {
		d.began = now
	}
	if now-d.began < d.cfg.Settle {
		// What is there at first, before any order shows.
		d.first = max(d.first, w.Runners)
	}
	if d.working == 0 && w.Requests > 0 {
		d.working = now
	}
	span, tokens := now-d.at, w.PromptTokens-d.tokens
	if d.sampled && span < blockSpan {
		return
	}
	first := !d.sampled
	d.at, d.tokens, d.sampled = now, w.PromptTokens, true
	if span > longestSpan {
		d.resumes = now + longestSpan
	}
	if first || d.working == 0 || now < d.resumes {
		return
	}
	if w.PrefillRate > 0 {
		busy := tokens / w.PrefillRate / span.Seconds()
		d.reading.add(&d.cfg, d.cfg.Fall, busy, span)
		d.ample.reading.add(&d.cfg, d.cfg.AmpleFall, busy, span)
	}
	d.batch.add(&d.cfg, d.cfg.Fall, float64(w.Requests), span)
	d.ample.batch.add(&d.cfg, d.cfg.AmpleFall, float64(w.Requests), span)
}

// withRoom is what some work needs, with room for chance and so much that whatever is
// in progress beside it is not slowed down too far.
func (d *Demand) withRoom(mean, chance float64) float64 {
	return max(mean+chance, mean/(1-1/d.cfg.Slowdown))
}

// runners is how many bear the work with room for so many standard deviations.
func (d *Demand) runners(reading, batch *load, deviations, firstShare float64) int {
	needed := d.withRoom(reading.mean, deviations*d.deviation(reading))
	if d.slots > 0 {
		requests := d.withRoom(batch.mean, deviations*math.Sqrt(batch.mean))
		needed = max(needed, requests/float64(d.slots))
	}
	n := int(math.Ceil(needed))
	if d.fresh && !d.settled() {
		n = max(n, int(math.Ceil(firstShare*float64(d.first))))
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
		Runners:     d.runners(&d.reading, &d.batch, d.cfg.Risk, d.cfg.FirstShare),
		Comfortable: d.runners(&d.ample.reading, &d.ample.batch, d.cfg.Ample, d.cfg.AmpleFirst),
		Busy:        d.reading.mean,
		Deviation:   d.deviation(&d.reading),
		Settled:     d.settled(),
	}
}

func (d *Demand) deviation(reading *load) float64 {
	if d.wait <= 0 {
		return 0
	}
	return math.Sqrt(reading.variance / d.wait.Seconds())
}

// settled tells whether there has been work for long enough to say what is needed.
func (d *Demand) settled() bool { return d.working != 0 && d.now-d.working >= d.cfg.Settle }
