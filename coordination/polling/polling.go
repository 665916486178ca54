// Package polling decides which runner a gateway reads next, so that all its reads of load
// reports and cache events together stay within a byte budget for any number of services and
// runners.
//
// The package does no I/O and reads no clock. Load reports have priority; cache events get the
// part of the budget that load reports leave unused.
package polling

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Target is a runner of a service whose load reports and cache events are read.
type Target struct {
	Service string
	Runner  ident.RunnerID
}

// Config sets the rate of the reads.
type Config struct {
	// Interval is the minimum time between two reads of one target.
	Interval time.Duration
	// IdleInterval replaces Interval once RecordUse has not been called for the time IdleAfter:
	// this daemon has started and ended no attempt at any target.
	IdleInterval time.Duration
	IdleAfter    time.Duration
	// InitialReportBytes is the assumed size of a load report until one has been read.
	InitialReportBytes float64
	// MaxSaved bounds the unused credit: at most as many bytes as the budget allows in this time.
	MaxSaved time.Duration
	// EventsBackoff is how long a target's cache events are not read after a read that
	// showed a gap: events between its page and the previous page were lost. It doubles with each
	// such read in a row, up to MaxEventsBackoff.
	EventsBackoff    time.Duration
	MaxEventsBackoff time.Duration
}

// Default returns the settings used in production.
func Default() Config {
	return Config{
		Interval:           500 * time.Millisecond,
		IdleInterval:       2 * time.Second,
		IdleAfter:          5 * time.Second,
		InitialReportBytes: 600,
		MaxSaved:           time.Second,
		EventsBackoff:      10 * time.Minute,
		MaxEventsBackoff:   time.Hour,
	}
}

// reportSizeWeight is the weight of the latest load report in the moving average of report sizes.
const reportSizeWeight = 0.1

// Read is one read to make: a load report and, if Events is set, a page of cache events.
type Read struct {
	Target Target
	Events bool
	// chargedBytes is the expected size that Next has already subtracted from the credit for load
	// reports. HandleResult corrects it to the real size.
	chargedBytes float64
}

// Result describes a completed read. Byte counts include both directions; zero means unknown.
type Result struct {
	LoadBytes  int
	EventBytes int
	// Gap says that cache events between this page and the previous one were lost.
	Gap bool
}

type target struct {
	reading  bool
	lastRead time.Time
	// used counts this daemon's attempts that started or ended since the last read.
	used            int
	eventsNotBefore time.Time
	eventsBackoff   time.Duration
}

// Planner holds the budget and the targets of one daemon. It is not safe for concurrent use.
type Planner struct {
	cfg Config
	// budget is the number of bytes per second that all reads together may use.
	budget  float64
	targets map[Target]*target
	// loadCredit is the number of bytes that reads of load reports may use now. events is the
	// number of bytes that reads of cache events may use now. Each of the two becomes negative
	// after a read that used more bytes than were left.
	loadCredit      float64
	events          float64
	creditAddedAt   time.Time
	meanReportBytes float64
	started         bool
	// used says that RecordUse was called since the last call of Next. lastUsed is when Next
	// last found it set.
	used     bool
	lastUsed time.Time
}

// New returns a planner without targets and with a zero budget.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, targets: map[Target]*target{}, meanReportBytes: cfg.InitialReportBytes}
}

// SetBudget sets the bytes per second that all reads together may use.
func (p *Planner) SetBudget(now time.Time, bytesPerSecond float64) {
	p.addCredit(now)
	p.budget = bytesPerSecond
}

// SetTargets replaces the targets of a service.
func (p *Planner) SetTargets(service string, runners []ident.RunnerID) {
	listed := make(map[Target]bool, len(runners))
	for _, id := range runners {
		t := Target{service, id}
		listed[t] = true
		if p.targets[t] == nil {
			p.targets[t] = &target{eventsBackoff: p.cfg.EventsBackoff}
		}
	}
	for t := range p.targets {
		if t.Service == service && !listed[t] {
			delete(p.targets, t)
		}
	}
}

// RecordUse records that an attempt of this daemon started or ended at a target, which makes the
// target's last report less accurate.
func (p *Planner) RecordUse(t Target) {
	p.used = true
	if s := p.targets[t]; s != nil {
		s.used++
	}
}

// addCredit adds the budget for the time since the last call. Credit that load reports leave
// unused beyond the limit goes to cache events. A page of cache events that is larger than the credit
// for cache events does not reduce the credit for load reports, so it does not delay them.
func (p *Planner) addCredit(now time.Time) {
	if !p.started {
		p.started, p.creditAddedAt, p.lastUsed = true, now, now
	}
	p.loadCredit += p.budget * max(0, now.Sub(p.creditAddedAt).Seconds())
	p.creditAddedAt = now
	limit := max(p.budget*p.cfg.MaxSaved.Seconds(), p.meanReportBytes)
	if p.loadCredit > limit {
		p.events = min(p.events+p.loadCredit-limit, limit)
		p.loadCredit = limit
	}
}

// Next returns a read to make now, or else the time to wait before the next call.
func (p *Planner) Next(now time.Time) (read Read, wait time.Duration, ok bool) {
	p.addCredit(now)
	if p.loadCredit < p.meanReportBytes {
		return Read{}, p.waitForCredit(), false
	}
	next, wait := p.mostUrgent(now)
	if next == (Target{}) {
		return Read{}, wait, false
	}
	s := p.targets[next]
	s.reading, s.lastRead, s.used = true, now, 0
	p.loadCredit -= p.meanReportBytes
	events := p.events > 0 && !now.Before(s.eventsNotBefore)
	return Read{Target: next, Events: events, chargedBytes: p.meanReportBytes}, 0, true
}

func (p *Planner) waitForCredit() time.Duration {
	if p.budget <= 0 {
		return p.cfg.Interval
	}
	seconds := (p.meanReportBytes - p.loadCredit) / p.budget
	return min(p.cfg.Interval, time.Duration(math.Ceil(seconds*float64(time.Second))))
}

// mostUrgent returns the target with the highest urgency among those that are due: the age of its
// last report in seconds times one more than the number of this daemon's attempts there since. A
// target that has never been read comes first. If no target is due, wait is the time until one is,
// at most Config.Interval.
func (p *Planner) mostUrgent(now time.Time) (best Target, wait time.Duration) {
	wait = p.cfg.Interval
	interval := p.interval(now)
	highestUrgency := -1.0
	for t, s := range p.targets {
		age := now.Sub(s.lastRead)
		switch {
		case s.reading:
			continue
		case age < interval:
			wait = min(wait, interval-age)
			continue
		}
		urgency := age.Seconds() * float64(1+s.used)
		if urgency > highestUrgency || urgency == highestUrgency && less(t, best) {
			best, highestUrgency = t, urgency
		}
	}
	return best, wait
}

// interval returns a longer interval while the daemon routes no requests, because idle polling
// would be the largest part of its work. The first request ends this at the next call of Next.
func (p *Planner) interval(now time.Time) time.Duration {
	if p.used {
		p.used, p.lastUsed = false, now
	}
	if now.Sub(p.lastUsed) > p.cfg.IdleAfter {
		return p.cfg.IdleInterval
	}
	return p.cfg.Interval
}

// less orders equally urgent targets, which makes runs reproducible.
func less(a, b Target) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Runner < b.Runner
}

// HandleResult charges a completed read to the budget.
func (p *Planner) HandleResult(now time.Time, read Read, result Result) {
	p.addCredit(now)
	if result.LoadBytes > 0 {
		p.loadCredit += read.chargedBytes - float64(result.LoadBytes)
		p.meanReportBytes += reportSizeWeight * (float64(result.LoadBytes) - p.meanReportBytes)
	}
	p.events -= float64(result.EventBytes)
	s := p.targets[read.Target]
	if s == nil {
		return
	}
	s.reading = false
	if read.Events {
		p.delayEvents(now, s, result.Gap)
	}
}

// delayEvents suspends the reads of a target's cache events for s.eventsBackoff after a read that
// showed a gap, and doubles s.eventsBackoff. After a read without a gap it resets s.eventsBackoff.
// If events arrive faster than the budget allows to read them, every read would show a gap without
// the delay. At each gap the prefix index drops all that it knows of the runner's cache, including
// the prompts that this gateway itself sent there.
func (p *Planner) delayEvents(now time.Time, s *target, gap bool) {
	if !gap {
		s.eventsBackoff = p.cfg.EventsBackoff
		return
	}
	s.eventsNotBefore = now.Add(s.eventsBackoff)
	s.eventsBackoff = min(2*s.eventsBackoff, p.cfg.MaxEventsBackoff)
}
