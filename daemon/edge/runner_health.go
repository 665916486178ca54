package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// healthInterval is the least time between two health checks of the pools.
	healthInterval = 200 * time.Millisecond
	// A runner whose probe gets no answer is not used for new requests, and is probed
	// furtherProbes more times before its requests are sent elsewhere, too: a sound runner may be
	// silent for a second or so and go on. Each probe opens a new connection, since the kernel
	// sends a lost SYN again only after a second.
	furtherProbes       = 2
	furtherProbeTimeout = 150 * time.Millisecond
)

// healthDue reports whether the health checks are due, and counts them as done.
func (e *Edge) healthDue() bool {
	now := e.deps.Steady()
	if now-e.healthCheckedAt < healthInterval {
		return false
	}
	e.healthCheckedAt = now
	return true
}

// tickHealth removes runner entries that have lapsed and advances the time-based state of the
// pools: retry budgets, ejections and measured demand.
func (e *Edge) tickHealth() {
	e.expireLapsed()
	e.useRevivedRunners()
	e.expireLeaving()
	e.expireRunnerLimits()
	e.expireRests()
	e.failureCauses.expire(e.deps.Steady())
	size := e.fleetSize()
	retryDaemons := e.retryDaemons.Observe(e.deps.Steady(), size)
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		p.setSamples(size)
		p.setRetryShare(e.settings.Bounds, retryDaemons)
		p.tick(time.Now())
		p.updateSpeeds(e.deps.Steady())
		if e.settings.Policy.Uses(ProbeSilent) {
			p.probeSilentRunners(time.Now())
		}
		p.probePaths()
		if p.isScaled() || p.spill != nil {
			p.measureDemand(e.deps.Steady())
		}
	}
}

func healthConfig() health.Config {
	c := health.Default()
	// Requests are limited to seconds, so an ejected runner must be retried within seconds,
	// too.
	c.FirstEjection = time.Second
	c.MaxEjection = 8 * time.Second
	c.Window = 3 * time.Second
	// A working runner answers its health check within milliseconds.
	c.ProbeTimeout = 400 * time.Millisecond
	return c
}

// observe records the outcome of a request or connection to a runner, which may eject the runner
// or start a probe of its health.
func (p *pool) observe(id ident.RunnerID, o health.Outcome) {
	if !p.edge.settings.Policy.Uses(Ejection) {
		return
	}
	p.mu.Lock()
	now := time.Now()
	effects := p.tracker.HandleOutcome(now, id, o, nil)
	p.table.SetFailureChance(id, p.tracker.FailureChance(now, id))
	p.mu.Unlock()
	p.applyHealthEffects(effects)
}

func (p *pool) tick(now time.Time) {
	p.mu.Lock()
	effects := p.tracker.Tick(now, nil)
	// A request that finds out whether a runner serves may need a retry.
	p.tracker.FailureChances(now, p.retry.Affords(now), p.table.SetFailureChance)
	p.mu.Unlock()
	p.applyHealthEffects(effects)
}

func (p *pool) applyHealthEffects(effects []health.Effect) {
	for _, f := range effects {
		switch f.Kind {
		case health.Eject, health.Readmit:
			p.mu.Lock()
			p.table.SetEjected(f.Runner, f.Kind == health.Eject)
			p.mu.Unlock()
			p.edge.log.Note("runner_"+decisions.Event(f.Kind), decisions.F("runner", f.Runner), decisions.F("service", p.name))
		case health.Probe:
			go p.probeRunner(f.Runner)
		}
	}
}

// probeRunner probes a runner, and suspects the attempts there if it answers none of several probes.
func (p *pool) probeRunner(id ident.RunnerID) {
	start := time.Now()
	r, ok := p.entryToProbe(id)
	health := NoAnswer
	if ok {
		health = p.checkHealth(r, healthConfig().ProbeTimeout)
	}
	p.mu.Lock()
	effects := p.tracker.HandleProbe(time.Now(), id, health == Healthy, nil)
	p.mu.Unlock()
	p.edge.log.Note("runner_probed", decisions.F("runner", id), decisions.F("health", health))
	p.applyHealthEffects(effects)
	for n := 0; n < furtherProbes && ok && health == NoAnswer; n++ {
		health = p.checkHealth(r, furtherProbeTimeout)
	}
	if health == NoAnswer && !p.heardSince(id, start) {
		p.suspectAttempts(id)
	} else {
		p.clearSilence(id)
	}
}

// checkHealth probes a runner. A probe is a request, too: without a permit for one, the runner
// counts as healthy, and the next request that gets a permit shows whether it works.
func (p *pool) checkHealth(r Runner, timeout time.Duration) Health {
	ctx, cancel := context.WithTimeout(p.edge.probing, timeout)
	defer cancel()
	permit, granted := p.takePermit(ctx, r.ID, timeout)
	if !granted {
		return Healthy
	}
	defer func() { p.edge.returnPermit(permit, false) }()
	p.mu.Lock()
	path := p.service.HealthPath
	p.mu.Unlock()
	answer := p.edge.deps.Runners.CheckHealth(ctx, r.Address, path, r.ID)
	if answer.Health == NoAnswer {
		p.recordNoAnswer(r.ID, answer.Heard)
		return NoAnswer
	}
	permit.accepted = answer.Health == Healthy
	if answer.Leaving {
		p.edge.recordLeavingAnswer(r.ID)
	}
	if answer.RetryAfter > 0 {
		p.edge.recordRest(r.ID, answer.RetryAfter)
	}
	p.recordHeard()
	return answer.Health
}
