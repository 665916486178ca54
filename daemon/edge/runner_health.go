package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// healthInterval is the least time between two health checks of the pools.
const healthInterval = 200 * time.Millisecond

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
	e.expireRunnerLimits()
	size := e.fleetSize()
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		p.setRetryShare(e.settings.Bounds, size)
		p.tick(time.Now())
		if e.settings.Policy.Uses(ProbeSilent) {
			p.probeSilentRunners(time.Now())
		}
		p.probePaths()
		if p.isScaled() {
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
	effects := p.tracker.HandleOutcome(time.Now(), id, o, nil)
	p.mu.Unlock()
	p.applyHealthEffects(effects)
}

func (p *pool) tick(now time.Time) {
	p.mu.Lock()
	effects := p.tracker.Tick(now, nil)
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

func (p *pool) probeRunner(id ident.RunnerID) {
	p.mu.Lock()
	r, ok := p.runners[id]
	path := p.service.HealthPath
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.edge.probing, healthConfig().ProbeTimeout)
	defer cancel()
	healthy := ok && p.checkHealth(ctx, r, path)
	p.mu.Lock()
	effects := p.tracker.HandleProbe(time.Now(), id, healthy, nil)
	p.mu.Unlock()
	if !healthy {
		p.abandonAttempts(id)
	}
	p.edge.log.Note("runner_probed", decisions.F("runner", id), decisions.F("healthy", healthy))
	p.applyHealthEffects(effects)
}

// checkHealth probes a runner. A probe is a request, too: without a permit for one, the runner
// counts as healthy, and the next request that gets a permit shows whether it works.
func (p *pool) checkHealth(ctx context.Context, r Runner, path string) bool {
	if !p.edge.takePermit(ctx, r.ID) {
		return true
	}
	health := p.edge.deps.Runners.CheckHealth(ctx, r.Address, path, r.ID)
	if health == NoAnswer {
		p.recordPathFailure(r.ID)
		return false
	}
	p.recordHeard()
	return health == Healthy
}
