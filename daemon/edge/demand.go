package edge

import (
	"cmp"
	"math"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/view"
)

// Every daemon measures the demand for runners, not only the one that orders them: a
// successor that began to measure when it took over would know nothing for seconds,
// and what is there would stand for what is needed.

// defaultAcceptableWait is what callers are taken to bear where no route tells it.
const defaultAcceptableWait = 500 * time.Millisecond

// demandConfig is the measure's without what the policy leaves out.
func demandConfig(p Policy) fleet.DemandConfig {
	c := fleet.DefaultDemand()
	if !p.Uses(RoomForStreams) {
		c.Slowdown = math.Inf(1)
	}
	if !p.Uses(RoomForChance) {
		c.Risk, c.Ample = 0, 0
	}
	return c
}

// measureDemand takes in the work that has come to a service.
func (p *pool) measureDemand(now time.Duration) {
	wait := defaultAcceptableWait
	if t := p.edge.table.Load(); t != nil {
		wait = cmp.Or(t.Bearable(p.name), defaultAcceptableWait)
	}
	offered := p.edge.peerOfferedTokens(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.edge.relayMode.Load() {
		// The primary of a follower tells of this daemon's part among all others'.
		p.countedOffered += p.offered - p.lastOffered
	}
	p.lastOffered = p.offered
	w := fleet.Work{PromptTokens: p.countedOffered + offered, PrefillRate: p.prefillModel.Rate(), Wait: wait}
	if p.service.Engine != nil {
		w.Slots = p.service.Engine.Slots
	}
	for _, own := range p.table.OwnLoads(nil) {
		r, ok := p.runners[own.Runner]
		if !ok || r.State == view.Leaving {
			continue
		}
		w.Runners++
		if p.service.Engine == nil {
			w.Slots = max(w.Slots, r.Slots)
		}
		w.Requests += own.Requests + p.peerLoads[own.Runner].Requests
	}
	p.demand.Sample(now, w)
	p.work = w
}

// currentDemand is the work as it was measured last, and what it needs.
func (p *pool) currentDemand() (fleet.Work, fleet.Estimate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work, p.demand.Estimate()
}
