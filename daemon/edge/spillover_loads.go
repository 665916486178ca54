package edge

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/spillover"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// This file sums the loads, requests in progress and demand by failure domain, for the decisions in
// spillover.go and for the orders of runners.

// updateOffered updates the rates at which callers bring tokens to the domains.
func (s *poolSpillover) updateOffered(now time.Duration, totals map[ident.FailureDomain]float64, total float64) {
	if s.totalAt == 0 || now-s.totalAt >= totalRateInterval {
		if s.totalAt != 0 {
			s.totalRate = (total - s.total) / (now - s.totalAt).Seconds()
		}
		s.total, s.totalAt = total, now
	}
	elapsed := (now - s.offeredAt).Seconds()
	if s.offered != nil && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed/offeredRateTime.Seconds())
		for domain, total := range totals {
			if before, known := s.offered[domain]; known {
				s.offeredRates[domain] += weight * ((total-before)/elapsed - s.offeredRates[domain])
			}
		}
	}
	s.offered, s.offeredAt = totals, now
}

// domainLoads sums the load of the runners of each failure domain. The caller must hold mu.
func (p *pool) domainLoads() map[ident.FailureDomain]spillover.Load {
	own := map[ident.RunnerID]routing.OwnLoad{}
	for _, l := range p.table.OwnLoads(nil) {
		own[l.Runner] = l
	}
	type sums struct{ busyRate, running, slots, runners float64 }
	loads, all := map[ident.FailureDomain]spillover.Load{}, map[ident.FailureDomain]sums{}
	for id, r := range p.runners {
		wait, usable := p.table.QueueWait(id, 0)
		_, inTable := own[id]
		if r.State != view.Live || inTable && !usable {
			continue
		}
		report := p.loadReport(time.Time{}, r, own[id], p.peerLoads[id])
		slots := float64(p.slotsOf(id))
		l, known := loads[r.FailureDomain]
		s := all[r.FailureDomain]
		if usable && (!known || wait < l.Wait) {
			l.Wait = wait
		}
		s.runners++
		s.slots += slots
		s.running += min(slots, float64(report.Running))
		if p.service.Engine == nil {
			// A request counts as one token of work. report.PrefillRate favours runners with free slots.
			l.Capacity += slots * report.DecodeRate
			l.Backlog += float64(report.Running)
		} else {
			l.Capacity += report.PrefillRate
			l.Backlog += float64(report.QueuedTokens)
			if report.QueuedTokens > 0 {
				s.busyRate += report.PrefillRate
			}
		}
		loads[r.FailureDomain], all[r.FailureDomain] = l, s
	}
	for domain, s := range all {
		l := loads[domain]
		if l.Capacity <= 0 || s.slots <= 0 {
			delete(loads, domain)
			continue
		}
		l.Busy = max(s.busyRate/l.Capacity, s.running/s.slots)
		l.Servers = s.runners
		if p.service.Engine == nil {
			l.Servers = s.slots
		}
		l.ServiceTime = time.Duration(l.Servers * p.spill.meanWork / l.Capacity * float64(time.Second))
		loads[domain] = l
	}
	return loads
}

// domainFlows counts the requests in progress by the failure domains of their daemons and of their
// runners. The caller must hold mu.
func (p *pool) domainFlows() spillover.Flows {
	flows := spillover.Flows{}
	add := func(from ident.FailureDomain, loads []routing.OwnLoad) {
		to := flows[from]
		if to == nil {
			to = map[ident.FailureDomain]float64{}
			flows[from] = to
		}
		for _, l := range loads {
			if r, ok := p.runners[l.Runner]; ok && l.Requests > 0 {
				to[r.FailureDomain] += float64(l.Requests)
			}
		}
	}
	add(p.edge.settings.FailureDomain, p.table.OwnLoads(nil))
	p.edge.reported.mu.Lock()
	defer p.edge.reported.mu.Unlock()
	for _, load := range p.edge.reported.byDaemon {
		add(load.domain, load.runnerLoads)
	}
	return flows
}

// logSpillover logs the share that has changed most since it was last logged. The caller must hold
// mu.
func (p *pool) logSpillover(now time.Duration) {
	s := p.spill
	if now-s.loggedAt < minSpilloverLogInterval {
		return
	}
	var most spillover.Status
	change := 0.0
	for _, status := range s.controller.Statuses() {
		logged := s.loggedShares[status.To]
		d := math.Abs(status.Share - logged)
		if d >= loggedShareChange || d > 0 && (status.Share == 0 || logged == 0) {
			if d > change {
				most, change = status, d
			}
		}
	}
	if change == 0 {
		return
	}
	s.loggedAt, s.loggedShares[most.To] = now, most.Share
	p.edge.log.Note("spillover", decisions.F("service", p.name), decisions.F("from", p.edge.settings.FailureDomain), decisions.F("to", most.To),
		decisions.F("share", round(most.Share)), decisions.F("wait_home", most.Home), decisions.F("wait_away", most.Away), decisions.F("cost", most.Cost))
}

// withTrafficPrice adds to offers what the traffic costs if their runners serve callers of other
// domains. An hour of waiting is valued by the time that callers accept to wait: a runner whose
// requests all lose a tenth of it is worth a tenth less.
func (f *fleetScaler) withTrafficPrice(offers []fleet.Offer) []fleet.Offer {
	p := f.edge.pool(f.service.Name)
	if p == nil || p.spill == nil {
		return offers
	}
	work, demand := p.currentDemand()
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0.0
	for _, rate := range p.spill.offeredRates {
		total += rate
	}
	if total <= 0 || work.MaxPromptWait <= 0 {
		return offers
	}
	for i := range offers {
		o := &offers[i]
		cost := p.spill.controller.MeanCost(p.edge.spill.roundTrip(o.FailureDomain))
		o.TrafficPrice = o.PricePerHour * min(1, cost.Seconds()/work.MaxPromptWait.Seconds())
		o.LocalVMs = int(math.Ceil(float64(demand.Runners) * p.spill.offeredRates[o.FailureDomain] / total))
	}
	return offers
}
