package edge

import (
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A runner that has lost its power or network sends nothing: its connections stay open, and its
// entry lapses only after several missed heartbeats. Until then requests are sent to it and
// wait.
//
// A runner with work in progress normally sends data all the time, since engines send tokens
// many times a second. One that has work and has sent nothing on any connection is therefore
// probed on a new connection. If the probe fails, the runner is ejected. If further probes fail,
// too, its requests that may be repeated are sent to other runners as well.

const (
	// silenceBeforeProbe is the time without data after which a runner with work is probed.
	// Engines alternate between reading a prompt and generating tokens of other requests, so
	// only a runner that processes a single long prompt is silent for that long without a fault;
	// it costs one probe.
	silenceBeforeProbe = 500 * time.Millisecond
	// silenceProbeInterval is the time between two probes of one silent runner.
	silenceProbeInterval = 2 * time.Second
)

// activity tracks this daemon's attempts at one runner and the last data received from it.
type activity struct {
	// lastHeard is the Unix time of the last byte received, in nanoseconds.
	lastHeard atomic.Int64
	// silent is set while the runner has answered no probe and sent nothing since.
	silent atomic.Bool
	// attempts are those in progress, guarded by pool.mu.
	attempts  map[*attempt]bool
	lastProbe time.Time
}

// recordHeard records that data has arrived from the attempt's runner.
func (a *attempt) recordHeard() {
	a.activity.lastHeard.Store(time.Now().UnixNano())
	a.activity.silent.Store(false)
	if a.helper == "" {
		a.s.pool.recordHeard()
	}
}

// beginAttempt registers an attempt as in progress.
func (p *pool) beginAttempt(a *attempt) {
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

// endAttempt removes an attempt that is no longer in progress.
func (p *pool) endAttempt(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(a.activity.attempts, a)
	if len(a.activity.attempts) == 0 {
		delete(p.activities, a.choice.Runner)
	}
}

// silentRunners lists the runners to probe for their silence. The caller must hold p.mu.
func (p *pool) silentRunners(now time.Time) []ident.RunnerID {
	var silentRunners []ident.RunnerID
	for id, act := range p.activities {
		if now.Sub(act.silentSince()) < silenceBeforeProbe || now.Sub(act.lastProbe) < silenceProbeInterval {
			continue
		}
		act.lastProbe = now
		silentRunners = append(silentRunners, id)
	}
	return silentRunners
}

// silentSince returns since when the runner has sent nothing though it was due to. The time that it was expected to need for
// its earliest attempt doesn't count; later attempts don't extend that, or a runner that goes on getting requests would
// never be found silent. The caller must hold pool.mu.
func (act *activity) silentSince() time.Time {
	var earliest time.Time
	for a := range act.attempts {
		if due := a.sent.Add(a.choice.Estimate); earliest.IsZero() || due.Before(earliest) {
			earliest = due
		}
	}
	if heard := time.Unix(0, act.lastHeard.Load()); heard.After(earliest) {
		return heard
	}
	return earliest
}

// probeSilentRunners starts a probe of each runner that is due for one.
func (p *pool) probeSilentRunners(now time.Time) {
	p.mu.Lock()
	silentRunners := p.silentRunners(now)
	p.mu.Unlock()
	for _, id := range silentRunners {
		if p.isTracked(id) {
			p.observe(id, health.SilentConnection)
			continue
		}
		go p.probeRunner(id)
	}
}

// isTracked reports whether the runner is one of those that new requests may be sent to.
func (p *pool) isTracked(id ident.RunnerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Tracks(id)
}

// entryToProbe returns the entry of a runner that is listed, or has been when an attempt in progress was sent to it: one whose
// entry has lapsed may go on with its requests, or be lost.
func (p *pool) entryToProbe(id ident.RunnerID) (Runner, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.runners[id]; ok {
		return r, true
	}
	if act, ok := p.activities[id]; ok {
		for a := range act.attempts {
			return a.entry, true
		}
	}
	return Runner{}, false
}

// heardSince reports whether a runner with work in progress has sent something since a time.
func (p *pool) heardSince(id ident.RunnerID, start time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	act, ok := p.activities[id]
	return ok && act.lastHeard.Load() > start.UnixNano()
}

// suspectAttempts suspects those attempts at a silent runner whose requests may be repeated. The others may have
// run; only the runner can tell.
func (p *pool) suspectAttempts(id ident.RunnerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	act, ok := p.activities[id]
	if !ok {
		return
	}
	act.silent.Store(true)
	for a := range act.attempts {
		if a.s.exchange.Terms.Repeatable {
			a.dark.Store(true)
			a.doubt(noProbeAnswered, a.connected.Load())
		}
	}
}

// suspectAll suspects, once the runners count as unreachable, the attempts whose requests may be repeated or
// have not been sent.
func (p *pool) suspectAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, act := range p.activities {
		for a := range act.attempts {
			if connected := a.connected.Load(); a.s.exchange.Terms.Repeatable || !connected {
				a.doubt(pathsLost, connected)
			}
		}
	}
}

// doubt ends an attempt that has sent nothing yet, and lets the request of another one be sent to a second runner,
// too.
func (a *attempt) doubt(why suspicion, connected bool) {
	if connected {
		a.suspect(why)
		return
	}
	a.s.edge.log.Note("attempt_abandoned", decisions.F("request", a.s.req.ID), decisions.F("runner", a.choice.Runner), decisions.F("why", why))
	a.s.edge.log.Count("attempt_abandoned." + string(why))
	a.abandoned.Store(true)
	a.cancel()
}

// clearSilence records that a runner has sent something.
func (p *pool) clearSilence(id ident.RunnerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if act, ok := p.activities[id]; ok {
		act.silent.Store(false)
	}
}

// silentRunnerIDs lists the runners that have answered no probe and sent nothing since.
func (p *pool) silentRunnerIDs() []ident.RunnerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []ident.RunnerID
	for id, act := range p.activities {
		if act.silent.Load() {
			ids = append(ids, id)
		}
	}
	return ids
}
