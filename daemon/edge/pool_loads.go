package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// This file gives the routing table the load of each runner.

// setPeerLoads sets the other daemons' load at this pool's runners.
func (p *pool) setPeerLoads(now time.Time, peerLoads map[ident.RunnerID]routing.OwnLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerLoads, p.peerLoadsAt = peerLoads, p.edge.deps.Steady()
	p.updateLoadsLocked(now)
}

// updateLoadsLocked updates each runner's total load, this daemon's own included, in the
// routing table. The runners' own load reports are not used: all of their work comes from these
// daemons, whose counts are more recent. The caller must hold mu.
func (p *pool) updateLoadsLocked(now time.Time) {
	var reports []routing.RunnerReport
	for _, own := range p.table.OwnLoads(nil) {
		r, ok := p.runners[own.Runner]
		if !ok {
			continue
		}
		other := p.peerLoads[own.Runner]
		report := p.loadReport(now, r, own, other)
		idle := report.Running == 0 && report.QueuedTokens == 0 && report.RunningTokens == 0
		if rate, reported := p.reportedIdle[own.Runner]; idle && reported && rate == report.PrefillRate {
			continue
		}
		delete(p.reportedIdle, own.Runner)
		if idle {
			p.reportedIdle[own.Runner] = report.PrefillRate
		}
		reports = append(reports, routing.RunnerReport{Runner: own.Runner, Report: report})
	}
	p.table.ReportAll(now, reports)
}

func (p *pool) loadReport(now time.Time, r Runner, own, other routing.OwnLoad) load.Report {
	rep := load.Report{
		AsOf:          now,
		Running:       own.Requests + other.Requests,
		MaxRunning:    r.Slots,
		QueuedTokens:  own.Prefill + other.Prefill,
		RunningTokens: own.KV + other.KV,
		Models:        r.Models,
	}
	if len(rep.Models) == 0 {
		// Requests to a plain service name no model.
		rep.Models = []load.Model{{}}
	}
	if p.service.Engine == nil {
		rep.DecodeRate = 1 / p.serviceTime.Seconds()
		rep.PrefillRate = plainPrefillFactor * float64(p.slotsOf(r.ID)) * rep.DecodeRate
	} else {
		rep.KVBlocksTotal = p.service.Engine.KVTokens / prefix.BlockTokens
		rep.PrefillRate = p.prefillModel.Rate()
		p.speeds.scale(r.ID, &rep)
	}
	return rep
}

// loads appends this daemon's own load at the pool's runners to dst.
func (p *pool) loads(dst []routing.OwnLoad) []routing.OwnLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.OwnLoads(dst)
}
