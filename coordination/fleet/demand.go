package fleet

import (
	"math"
	"time"
)

// DemandConfig sets how much capacity above the mean load runners must provide.
type DemandConfig struct {
	// HeadroomDeviations is the number of standard deviations of the work arriving within
	// Work.MaxPromptWait that must fit on top of the mean. ComfortableHeadroomDeviations
	// is the same for runners that cost little.
	HeadroomDeviations, ComfortableHeadroomDeviations float64
	// MaxSlowdown is by what factor a request may take longer than when it runs alone.
	// Prompts are read between the tokens of streams, so each request slows down as a batch
	// fills up or more slots are taken.
	MaxSlowdown float64
	// RiseTime and FallTime are the time constants with which the mean follows rising and
	// falling load. RiseTime is short, because the runners for a burst must be ordered
	// before the burst is over. ComfortableFallTime replaces FallTime for runners that
	// cost little: they are kept for the next wave of load, which may come sooner than new
	// runners start.
	RiseTime, FallTime, ComfortableFallTime time.Duration
	// VarianceTime is the time constant with which the variance follows changes of the
	// load.
	VarianceTime time.Duration
	// MinWorkTime is how much time must pass between the first sample with requests in
	// progress and the last sample before the estimate relies on samples alone. Until then, the
	// estimate for a service that has never served is at least InitialShare (for
	// Estimate.Runners) or ComfortableInitialShare (for Estimate.Comfortable) of the
	// largest number of runners seen within MinWorkTime after the first sample that has any.
	MinWorkTime                           time.Duration
	InitialShare, ComfortableInitialShare float64
}

// DefaultDemand returns a configuration for engines that start within seconds.
func DefaultDemand() DemandConfig {
	return DemandConfig{
		HeadroomDeviations:            0.5,
		ComfortableHeadroomDeviations: 2.5,
		MaxSlowdown:                   3,
		RiseTime:                      1500 * time.Millisecond,
		FallTime:                      5 * time.Second,
		ComfortableFallTime:           15 * time.Second,
		VarianceTime:                  15 * time.Second,
		MinWorkTime:                   4 * time.Second,
		InitialShare:                  0.5,
		ComfortableInitialShare:       0.8,
	}
}

// Work is the load that callers put on a service's runners.
type Work struct {
	// Runners is the number of runners that take new work.
	Runners int
	// PromptTokens is the total of prompt tokens of all requests so far, whether or not the
	// requests were served.
	PromptTokens float64
	// PrefillRate is the number of prompt tokens that a runner reads per second.
	PrefillRate float64
	// MaxPromptWait is how long a prompt may wait before its answer counts as late.
	MaxPromptWait time.Duration
	// Requests is the number of requests in progress, SlotsPerRunner the number of slots
	// in the batch of one runner.
	Requests       int
	SlotsPerRunner int
}

// Demand estimates how many runners a service needs. Work arrives unevenly, and what
// arrives within the time that a prompt may wait must be read in that time. The standard
// deviation of the work grows more slowly than its mean, so a large fleet can run at a
// higher utilisation than a small one, and prompts that may wait longer need fewer runners.
// A Demand is not safe for concurrent use.
type Demand struct {
	cfg DemandConfig
	// neverServed is set if the service has not served before.
	neverServed bool
	// prefill is the load of reading prompts, as the number of runners that it keeps busy;
	// batch is the load of requests in progress, as their number.
	prefill, batch loadStats
	// comfortable holds the same loads with ComfortableFallTime, for runners that cost
	// little.
	comfortable    struct{ prefill, batch loadStats }
	maxPromptWait  time.Duration
	slotsPerRunner int
	// lastBlockEnd and promptTokens are the time and the value of Work.PromptTokens at the end
	// of the last block.
	lastBlockEnd time.Duration
	promptTokens float64
	hasSample    bool
	// firstRunnersAt is the time of the first sample with runners, firstWorkAt that of the first
	// one with requests in progress, both zero before; lastSampleAt is that of the last sample.
	firstRunnersAt time.Duration
	firstWorkAt    time.Duration
	lastSampleAt   time.Duration
	// resumesAt is when blocks are evaluated again after one that was longer than
	// maxBlock.
	resumesAt time.Duration
	// initialRunners is the largest number of runners in any sample taken within
	// MinWorkTime after firstRunnersAt.
	initialRunners int
}

// loadStats holds the mean of a load, and the variance that the load would have if it were
// measured in blocks of one second. Only the variance is scaled by the length of the
// measured blocks, because the mean does not depend on that length.
type loadStats struct {
	mean, variance float64
	blockCount     int
}

// add adds the work of a span of time. The first spans have equal weights, because the slow
// rise of the mean from zero would otherwise count as variance.
func (l *loadStats) add(cfg *DemandConfig, fall time.Duration, work float64, span time.Duration) {
	l.blockCount++
	equalWeight := 1 / float64(l.blockCount)
	diff := work - l.mean
	timeConstant := cfg.RiseTime
	if diff < 0 {
		timeConstant = fall
	}
	l.mean += diff * max(equalWeight, smoothingWeight(span, timeConstant))
	if l.blockCount > 1 {
		l.variance += (diff*diff*span.Seconds() - l.variance) * max(equalWeight, smoothingWeight(span, cfg.VarianceTime))
	}
}

func smoothingWeight(span, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/timeConstant.Seconds())
}

// minBlock is the shortest time that is evaluated as one block. In shorter blocks the
// intervals of 100 to 200 ms between the daemons' messages would look like variance of the
// work.
const minBlock = 390 * time.Millisecond

// maxBlock is the longest time that is evaluated as one block. A daemon that was suspended
// reads in one moment what the others sent over seconds, so the totals are unusable for a
// while. After a block longer than maxBlock, further blocks are ignored for the time
// maxBlock.
const maxBlock = 5 * minBlock

// NewDemand returns a Demand without samples. neverServed states that the service has not
// served before, so that the runners present at the start stand in for an estimate.
func NewDemand(cfg DemandConfig, neverServed bool) *Demand {
	return &Demand{cfg: cfg, neverServed: neverServed}
}

// Sample records the work at the time now.
func (d *Demand) Sample(now time.Duration, w Work) {
	d.lastSampleAt, d.maxPromptWait, d.slotsPerRunner = now, w.MaxPromptWait, w.SlotsPerRunner
	if d.firstRunnersAt == 0 && w.Runners > 0 {
		d.firstRunnersAt = now
	}
	if now-d.firstRunnersAt < d.cfg.MinWorkTime {
		// Only the runners from before any order could take effect count. Otherwise the
		// runners that are ordered because of this minimum would raise the minimum.
		d.initialRunners = max(d.initialRunners, w.Runners)
	}
	if d.firstWorkAt == 0 && w.Requests > 0 {
		d.firstWorkAt = now
	}
	span, promptTokens := now-d.lastBlockEnd, w.PromptTokens-d.promptTokens
	if d.hasSample && span < minBlock {
		return
	}
	isFirstSample := !d.hasSample
	d.lastBlockEnd, d.promptTokens, d.hasSample = now, w.PromptTokens, true
	if span > maxBlock {
		d.resumesAt = now + maxBlock
	}
	if isFirstSample || d.firstWorkAt == 0 || now < d.resumesAt {
		return
	}
	if w.PrefillRate > 0 {
		busyRunners := promptTokens / w.PrefillRate / span.Seconds()
		d.prefill.add(&d.cfg, d.cfg.FallTime, busyRunners, span)
		d.comfortable.prefill.add(&d.cfg, d.cfg.ComfortableFallTime, busyRunners, span)
	}
	d.batch.add(&d.cfg, d.cfg.FallTime, float64(w.Requests), span)
	d.comfortable.batch.add(&d.cfg, d.cfg.ComfortableFallTime, float64(w.Requests), span)
}

// neededCapacity returns the capacity needed for a load: the mean plus the given deviation,
// but at least enough to keep requests in progress within MaxSlowdown. A request on a
// runner with utilisation u takes about 1/(1-u) times as long as alone. The slowdown stays
// within MaxSlowdown if u = mean/capacity is at most 1-1/MaxSlowdown, so the capacity must
// be at least mean/(1-1/MaxSlowdown).
func (d *Demand) neededCapacity(mean, deviation float64) float64 {
	return max(mean+deviation, mean/(1-1/d.cfg.MaxSlowdown))
}

// requiredRunners returns how many runners can handle the load with headroom for the given
// number of standard deviations, and at least the initial minimum of a service that has
// never served (see DemandConfig.MinWorkTime).
func (d *Demand) requiredRunners(prefill, batch *loadStats, deviations, initialShare float64) int {
	neededRunners := d.neededCapacity(prefill.mean, deviations*d.deviation(prefill))
	if d.slotsPerRunner > 0 {
		neededSlots := d.neededCapacity(batch.mean, deviations*math.Sqrt(batch.mean))
		neededRunners = max(neededRunners, neededSlots/float64(d.slotsPerRunner))
	}
	n := int(math.Ceil(neededRunners))
	if d.neverServed && !d.settled() {
		n = max(n, int(math.Ceil(initialShare*float64(d.initialRunners))))
	}
	return max(1, n)
}

// Estimate is the result of Demand.Estimate.
type Estimate struct {
	// Runners is the number of runners needed, Comfortable the number that there should be
	// if runners cost little.
	Runners, Comfortable int
	// Busy is the mean number of runners kept busy by reading prompts. Deviation is the
	// standard deviation of the prefill work arriving while a prompt may wait, in the same
	// unit.
	Busy, Deviation float64
	// Settled is set if at least DemandConfig.MinWorkTime has passed between the first
	// sample with requests in progress and the last sample.
	Settled bool
}

// Estimate returns the number of runners needed as of the last sample.
func (d *Demand) Estimate() Estimate {
	return Estimate{
		Runners:     d.requiredRunners(&d.prefill, &d.batch, d.cfg.HeadroomDeviations, d.cfg.InitialShare),
		Comfortable: d.requiredRunners(&d.comfortable.prefill, &d.comfortable.batch, d.cfg.ComfortableHeadroomDeviations, d.cfg.ComfortableInitialShare),
		Busy:        d.prefill.mean,
		Deviation:   d.deviation(&d.prefill),
		Settled:     d.settled(),
	}
}

func (d *Demand) deviation(prefill *loadStats) float64 {
	if d.maxPromptWait <= 0 {
		return 0
	}
	return math.Sqrt(prefill.variance / d.maxPromptWait.Seconds())
}

// settled reports whether there has been work for long enough to rely on the measurements.
func (d *Demand) settled() bool {
	return d.firstWorkAt != 0 && d.lastSampleAt-d.firstWorkAt >= d.cfg.MinWorkTime
}
