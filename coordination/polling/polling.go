// Package polling decides which runner a gateway reads next, so that all its
// reads of load reports and cache events together stay within a byte budget,
// whatever the number of services and runners.
//
// It is pure: it reads no clock and does no I/O. Load reports come first;
// cache events get what they leave over.
package polling

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Target is a runner of a service whose reports are read.
type Target struct {
	Service string
	Runner  ident.RunnerID
}

// Config sets how reads are spread.
type Config struct {
	// Interval is the least time between two reads of one target.
	Interval time.Duration
	// IdleInterval is the same while this daemon has used no target for IdleAfter.
	IdleInterval time.Duration
	IdleAfter    time.Duration
	// InitialReadBytes is taken for the size of a load report until one was read.
	InitialReadBytes float64
	// MaxSaved is how long an unused budget is kept.
	MaxSaved time.Duration
	// EventsBackoff is how long a target's cache events are left alone after a
	// page that did not follow the last one; it doubles up to EventsPauseMost.
	EventsBackoff    time.Duration
	MaxEventsBackoff time.Duration
}

// Default returns the settings in use.
func Default() Config {
	return Config{
		Interval:         500 * time.Millisecond,
		IdleInterval:     2 * time.Second,
		IdleAfter:        5 * time.Second,
		InitialReadBytes: 600,
		MaxSaved:         time.Second,
		EventsBackoff:    10 * time.Minute,
		MaxEventsBackoff: time.Hour,
	}
}

// meanGain is the weight of the newest report in the mean size.
const meanGain = 0.1

// Read is one read to make: a load report, and a page of cache events if asked.
type Read struct {
	Target Target
	Events bool
	charge float64
}

// Result is what a read took. Bytes count both directions; zero is not known.
type Result struct {
	LoadBytes  int
	EventBytes int
	// Gap says that cache events between this page and the last were lost.
	Gap bool
}

type target struct {
	reading  bool
	lastRead time.Time
	// used counts the own attempts that began or ended since the last read.
	used          int
	eventsAfter   time.Time
	eventsBackoff time.Duration
}

// Planner holds one daemon's budget and targets. It is not safe for concurrent
// use.
type Planner struct {
	cfg     Config
	budget  float64
	targets map[Target]*target
	// loadCredit is what load reports may use now, events what cache events may, in
	// bytes; a read that took more than was there leaves a debt.
	loadCredit    float64
	events        float64
	filledAt      time.Time
	meanReadBytes float64
	started       bool
	// used is set by Used until the next look, which gives it its time.
	used     bool
	lastUsed time.Time
}

// New returns a planner without targets and without a budget.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, targets: map[Target]*target{}, meanReadBytes: cfg.InitialReadBytes}
}

// SetBudget sets the bytes a second that all reads together may take.
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

// RecordUse counts an own attempt that began or ended at a target: what is known of
// its load is older than it seems.
func (p *Planner) RecordUse(t Target) {
	p.used = true
	if s := p.targets[t]; s != nil {
		s.used++
	}
}

// addCredit adds what the budget gave since the last call. What load reports do not
// use up goes to cache events, whose debt is their own: a large page must not
// hold up the load reports.
func (p *Planner) addCredit(now time.Time) {
	if !p.started {
		p.started, p.filledAt, p.lastUsed = true, now, now
	}
	p.loadCredit += p.budget * max(0, now.Sub(p.filledAt).Seconds())
	p.filledAt = now
	limit := max(p.budget*p.cfg.MaxSaved.Seconds(), p.meanReadBytes)
	if p.loadCredit > limit {
		p.events = min(p.events+p.loadCredit-limit, limit)
		p.loadCredit = limit
	}
}

// Next returns a read to make now, or else how long to wait before asking again.
func (p *Planner) Next(now time.Time) (read Read, wait time.Duration, ok bool) {
	p.addCredit(now)
	if p.loadCredit < p.meanReadBytes {
		return Read{}, p.waitForCredit(), false
	}
	next, wait := p.mostUrgent(now)
	if next == (Target{}) {
		return Read{}, wait, false
	}
	s := p.targets[next]
	s.reading, s.lastRead, s.used = true, now, 0
	p.loadCredit -= p.meanReadBytes
	events := p.events > 0 && !now.Before(s.eventsAfter)
	return Read{Target: next, Events: events, charge: p.meanReadBytes}, 0, true
}

func (p *Planner) waitForCredit() time.Duration {
	if p.budget <= 0 {
		return p.cfg.Interval
	}
	seconds := (p.meanReadBytes - p.loadCredit) / p.budget
	return min(p.cfg.Interval, time.Duration(math.Ceil(seconds*float64(time.Second))))
}

// mostUrgent returns the target with the greatest age of its report times the
// own attempts since, among those whose turn it is; one never read goes first.
// An unused target is read too, once it is old enough.
func (p *Planner) mostUrgent(now time.Time) (best Target, wait time.Duration) {
	wait = p.cfg.Interval
	interval := p.interval(now)
	most := -1.0
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
		if urgency > most || urgency == most && less(t, best) {
			best, most = t, urgency
		}
	}
	return best, wait
}

// interval is longer while the daemon has nothing to route: its reads then cost
// more than all else that it does. The first request ends that at the next look.
func (p *Planner) interval(now time.Time) time.Duration {
	if p.used {
		p.used, p.lastUsed = false, now
	}
	if now.Sub(p.lastUsed) > p.cfg.IdleAfter {
		return p.cfg.IdleInterval
	}
	return p.cfg.Interval
}

// less orders equally urgent targets, so that runs repeat.
func less(a, b Target) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Runner < b.Runner
}

// HandleResult charges a read for what it took.
func (p *Planner) HandleResult(now time.Time, read Read, result Result) {
	p.addCredit(now)
	if result.LoadBytes > 0 {
		p.loadCredit += read.charge - float64(result.LoadBytes)
		p.meanReadBytes += meanGain * (float64(result.LoadBytes) - p.meanReadBytes)
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

// delayEvents leaves a target's cache events alone for a while after a gap.
// Guards against events that come faster than the budget reads them: each page
// would be followed by a gap, at which the index drops all that it knows of the
// runner, what this gateway itself sent there included.
func (p *Planner) delayEvents(now time.Time, s *target, gap bool) {
	if !gap {
		s.eventsBackoff = p.cfg.EventsBackoff
		return
	}
	s.eventsAfter = now.Add(s.eventsBackoff)
	s.eventsBackoff = min(2*s.eventsBackoff, p.cfg.MaxEventsBackoff)
}
