package fleet

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
)

func newArm(name string) arm {
	planner := &planned{planner: fleet.New(fleet.DefaultLimits()), wanted: fleet.Target{Runners: runners, SurviveLoss: true}}
	switch name {
	case armOnDemand:
		planner.onDemandOnly = true
	case armNoSpare:
		planner.wanted.SurviveLoss = false
	case armCheapest:
		return cheapestFirst{}
	}
	return planner
}

// planned is the shipped planner, or the same without reclaimable VMs or spare.
type planned struct {
	planner      *fleet.Planner
	wanted       fleet.Target
	onDemandOnly bool
}

func (a *planned) decide(now time.Duration, m *market) fleet.Decision {
	vms := m.list(now)
	for pool, n := range running(vms) {
		a.planner.RecordExposure(now, pool, n, step)
	}
	offers := m.offers()
	if a.onDemandOnly {
		offers = slices.DeleteFunc(offers, func(o fleet.Offer) bool { return o.Reclaimable })
	}
	return a.planner.Decide(now, a.wanted, offers, vms)
}

func running(vms []fleet.VM) map[fleet.Pool]int {
	have := map[fleet.Pool]int{}
	for _, v := range vms {
		if !v.Leaving {
			have[v.Pool]++
		}
	}
	return have
}

func (a *planned) refused(now time.Duration, p fleet.Pool) { a.planner.RecordRefusal(now, p) }

func (a *planned) waves(now time.Duration, list []wave, _ *market) {
	for _, w := range list {
		a.planner.RecordReclaims(now, spot(w.domain), w.count)
	}
}

// cheapestFirst starts what is missing in the cheapest pool, whichever that is.
type cheapestFirst struct{}

func (cheapestFirst) decide(now time.Duration, m *market) fleet.Decision {
	offers := m.offers()
	slices.SortFunc(offers, func(a, b fleet.Offer) int {
		if a.PricePerHour < b.PricePerHour {
			return -1
		}
		return 1
	})
	have := 0
	for _, n := range running(m.list(now)) {
		have += n
	}
	var d fleet.Decision
	for range runners - have {
		d.Starts = append(d.Starts, fleet.Start{Pool: offers[0].Pool})
	}
	return d
}

func (cheapestFirst) refused(time.Duration, fleet.Pool) {}

func (cheapestFirst) waves(time.Duration, []wave, *market) {}
