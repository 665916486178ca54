package edge

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/view"
)

// Every daemon estimates the demand for runners, not only the duty holder that orders them. A
// new duty holder that only then began to measure would know no demand for seconds, and would
// have to take the number of existing runners for the number needed.

// defaultAcceptableWait is how long callers are assumed to accept waiting if no route says so.
const defaultAcceptableWait = 500 * time.Millisecond

// demandConfig returns the parameters of the demand estimate, without the mechanisms that the
// policy switches off.
func demandConfig(p Policy) fleet.DemandConfig {
	c := fleet.DefaultDemand()
	if !p.Uses(RoomForStreams) {
		c.MaxSlowdown = math.Inf(1)
	}
	if !p.Uses(RoomForChance) {
		c.HeadroomDeviations, c.ComfortableHeadroomDeviations = 0, 0
	}
	return c
}

// measureDemand samples the work that has arrived for a service.
func (p *pool) measureDemand(now time.Duration) {
	wait := defaultAcceptableWait
	if t := p.edge.table.Load(); t != nil {
		wait = cmp.Or(t.TightestTargetLatency(p.name), defaultAcceptableWait)
	}
	offeredTokens := p.edge.peerOfferedTokens(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.edge.relayMode.Load() {
		// A follower's primary already includes this daemon's part in its total.
		p.countedOfferedTokens += p.offeredTokens - p.sampledOfferedTokens
	}
	p.sampledOfferedTokens = p.offeredTokens
	w := fleet.Work{PromptTokens: p.countedOfferedTokens + offeredTokens, PrefillRate: p.prefillModel.Rate(), MaxPromptWait: wait}
	if p.service.Engine != nil {
		w.SlotsPerRunner = p.service.Engine.Slots
	}
	var factors []float64
	for _, own := range p.table.OwnLoads(nil) {
		r, ok := p.runners[own.Runner]
		if !ok || r.State == view.Leaving {
			continue
		}
		w.Runners++
		factors = append(factors, p.speeds.factor(own.Runner))
		if p.service.Engine == nil {
			w.SlotsPerRunner = max(w.SlotsPerRunner, r.Slots)
		}
		w.Requests += own.Requests + p.peerLoads[own.Runner].Requests
	}
	if p.speeds.factors != nil && w.Runners > 0 {
		w.PrefillRate *= typicalFactor(factors)
	}
	p.demand.Sample(now, w)
	p.work = w
}

// currentDemand returns the latest sample of the work and the demand estimated from it.
func (p *pool) currentDemand() (fleet.Work, fleet.Estimate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work, p.demand.Estimate()
}

// typicalFactor returns the median of the factors. The mean would count the fast runners' capacity as if it
// could be ordered: what comes on top of the present load is read by a typical runner, since the fast
// ones are in use already, and an order brings a typical one.
func typicalFactor(factors []float64) float64 {
	slices.Sort(factors)
	return factors[len(factors)/2]
}
