package edge

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/reachability"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A daemon may lose its paths to all runners of a service while callers, the other daemons and
// the key-value service still reach it.

const (
	// pathProbeInterval is the time between two rounds of probes while it is doubtful whether a
	// daemon reaches the runners, pathProbes the number of runners probed in each.
	pathProbeInterval = 400 * time.Millisecond
	pathProbes        = 3
)

// paths tracks whether this daemon reaches the runners of one service.
type paths struct {
	// tracker and probedAt, a time of Deps.Steady, are guarded by pool.mu.
	tracker  reachability.Tracker
	probedAt time.Duration
	// heardAt is when any runner last sent something, in nanoseconds of Deps.Steady. doubtful is
	// set while tracker holds failures, so that data from runners is recorded without a lock
	// otherwise. lost is set while the runners count as unreachable.
	heardAt  atomic.Int64
	doubtful atomic.Bool
	lost     atomic.Bool
}

// recordHeard records that data has arrived from a runner.
func (p *pool) recordHeard() {
	now := p.edge.deps.Steady()
	p.paths.heardAt.Store(int64(now))
	if !p.paths.doubtful.Load() {
		return
	}
	p.mu.Lock()
	failed, since := p.paths.tracker.Failures()
	regained := p.paths.tracker.Reached(now)
	p.paths.doubtful.Store(false)
	p.paths.lost.Store(false)
	p.mu.Unlock()
	if regained {
		p.edge.log.Note("paths_regained", decisions.F("service", p.name), decisions.F("failed", failed), decisions.F("since", now-since))
	}
}

// recordNoAnswer records that a call to a runner brought no answer. heard says that bytes of the runner have arrived,
// which shows that it is reached.
func (p *pool) recordNoAnswer(id ident.RunnerID, heard bool) {
	if heard {
		p.recordHeard()
		return
	}
	p.recordPathFailure(id)
}

// recordPathFailure records that a connection to a runner could not be opened, broke, or went
// silent.
func (p *pool) recordPathFailure(id ident.RunnerID) {
	p.recordLinkFailure(id)
	now := p.edge.deps.Steady()
	heardAt := time.Duration(p.paths.heardAt.Load())
	p.mu.Lock()
	t := &p.paths.tracker
	if !t.Suspected() {
		t.Reached(heardAt)
	}
	lost := t.Failed(now, id, len(p.runners))
	failed, since := t.Failures()
	p.paths.doubtful.Store(true)
	p.paths.lost.Store(t.Unreachable())
	p.mu.Unlock()
	if lost {
		p.edge.log.Note("paths_lost", decisions.F("service", p.name), decisions.F("failed", failed), decisions.F("since", now-since), decisions.F("heard", now-heardAt))
		p.suspectAll()
	}
}

// probePaths probes some runners while it is doubtful whether this daemon reaches any.
func (p *pool) probePaths() {
	if !p.paths.doubtful.Load() {
		return
	}
	now := p.edge.deps.Steady()
	p.mu.Lock()
	if now-p.paths.probedAt < pathProbeInterval {
		p.mu.Unlock()
		return
	}
	p.paths.probedAt = now
	var runners []Runner
	for _, r := range p.runners {
		if r.State != view.Leaving {
			runners = append(runners, r)
		}
	}
	p.mu.Unlock()
	for _, r := range p.edge.pathProbeTargets(runners) {
		go p.checkHealth(r, healthConfig().ProbeTimeout)
	}
}

// pathProbeTargets returns a few random ones of the runners, if possible such that state no limit
// on their requests.
func (e *Edge) pathProbeTargets(runners []Runner) []Runner {
	rand.Shuffle(len(runners), func(i, j int) { runners[i], runners[j] = runners[j], runners[i] })
	var free, limited []Runner
	for _, r := range runners {
		if e.runnerLimits.limited(r.ID) {
			limited = append(limited, r)
			continue
		}
		if free = append(free, r); len(free) == pathProbes {
			return free
		}
	}
	targets := slices.Concat(free, limited)
	return targets[:min(pathProbes, len(targets))]
}
