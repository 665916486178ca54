package edge

import (
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A runner that has lost its power or its network says nothing: its connections
// stay open, its entry lapses after several heartbeats, and until then requests go
// to it and wait. But a runner with work in progress is heard all the time, since
// engines send tokens many times a second. One that has work and has been silent on
// all connections is asked on a new one whether it is there. If it is not, it is
// ejected, and what may be repeated goes on elsewhere while its callers still wait.

const (
	// silentAfter is how long a runner with work may be unheard. Prompts are read
	// between the tokens of others, so only a runner that reads a single long
	// prompt is silent for as long; it costs one probe.
	silentAfter = 500 * time.Millisecond
	// askSpacing is the time between two probes of a runner for its silence.
	askSpacing = 2 * time.Second
)

// activity is what this daemon has heard of one runner and waits for from it.
type activity struct {
	// heard is the Unix time in nanoseconds of the last byte.
	heard atomic.Int64
	// attempts are in progress; guarded by the pool's lock.
	attempts map[*attempt]bool
	asked    time.Time
}

func (a *activity) note(now time.Time) { a.heard.Store(now.UnixNano()) }

// begin counts an attempt as in progress.
func (p *pool) begin(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	act, ok := p.activities[a.choice.Runner]
	if !ok {
		act = &activity{attempts: map[*attempt]bool{}}
		p.activities[a.choice.Runner] = act
	}
	act.attempts[a] = true
	a.activity = act
}

// end counts it out.
func (p *pool) end(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(a.activity.attempts, a)
	if len(a.activity.attempts) == 0 {
		delete(p.activities, a.choice.Runner)
	}
}

// silent lists the runners that should be asked whether they are there. Called
// with the pool's lock held.
func (p *pool) silent(now time.Time) []ident.RunnerID {
	var silent []ident.RunnerID
	for id, act := range p.activities {
		since := time.Unix(0, act.heard.Load())
		for a := range act.attempts {
			// What the runner was expected to need is no silence.
			if due := a.sent.Add(a.choice.Estimate); since.Before(due) {
				since = due
			}
		}
		if now.Sub(since) < silentAfter || now.Sub(act.asked) < askSpacing {
			continue
		}
		act.asked = now
		silent = append(silent, id)
	}
	return silent
}

// watchSilence asks the silent runners.
func (p *pool) watchSilence(now time.Time) {
	p.mu.Lock()
	silent := p.silent(now)
	p.mu.Unlock()
	for _, id := range silent {
		p.observe(id, health.SilentConnection)
	}
}

// abandon gives up the attempts at a runner that is not there, as far as their
// requests may be repeated. The others may have run; only the runner can tell.
func (p *pool) abandon(id ident.RunnerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	act, ok := p.activities[id]
	if !ok {
		return
	}
	for a := range act.attempts {
		if a.s.exchange.Terms.Repeatable {
			a.abandoned.Store(true)
			a.cancel()
		}
	}
}
