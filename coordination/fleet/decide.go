package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

func decayFactor(halfLives float64) float64 { return math.Exp2(-halfLives) }

// planningRound is the state of one call of Decide, which derives changes from the current
// VMs and the plan.
type planningRound struct {
	p       *Planner
	now     time.Duration
	target  Target
	offers  []Offer
	vms     []VM
	current map[Pool]int
	plan    map[Pool]int
}

// planChanges sets the starts and stops of the decision without rebuilding the fleet at
// each change of price. VMs that are needed to meet the target start at once. If the
// current VMs already meet it, a cheaper plan must save MinMoveSaving of the cost for the
// time SurplusHold, and then only a few VMs move at a time.
func (t *planningRound) planChanges(d *Decision) {
	starts := t.missingStarts()
	if !t.domainTotals(t.current).meets(t.target) {
		t.p.hasSurplus = false
		t.p.hasMoves = false
		d.Starts = t.requiredStarts(starts)
		return
	}
	if len(starts) == 0 || !t.worthMoving() {
		t.p.hasMoves = false
		d.Stops = t.surplusStops()
		return
	}
	t.p.hasSurplus = false
	d.Starts = t.allowedMoves(starts)
}

// missingStarts returns one start for each VM by which a pool has fewer VMs than the plan.
func (t *planningRound) missingStarts() []Start {
	var starts []Start
	for id, n := range t.plan {
		for range n - t.current[id] {
			starts = append(starts, Start{Pool: id})
		}
	}
	slices.SortFunc(starts, func(a, b Start) int {
		return cmp.Or(cmp.Compare(a.Pool.FailureDomain, b.Pool.FailureDomain), cmp.Compare(a.Pool.Class, b.Pool.Class))
	})
	return starts
}

// requiredStarts returns as many of the given starts, from the first on, as are needed to
// meet the target together with all current VMs, including those in pools that the plan
// would not choose.
func (t *planningRound) requiredStarts(starts []Start) []Start {
	totals := t.domainTotals(t.current)
	for i, s := range starts {
		if totals.meets(t.target) {
			return starts[:i]
		}
		totals.add(s.Pool, 1)
	}
	return starts
}

// worthMoving reports whether the plan costs less than the current VMs without the surplus,
// by at least the fraction MinMoveSaving. The surplus is the VMs that the target does not
// need. If it were included in the current cost, removing it would look like a saving of
// the plan, and new VMs would be started in place of VMs that could simply be kept.
func (t *planningRound) worthMoving() bool {
	currentCost := cost(t.withoutSurplus(), t.offers)
	return currentCost-cost(t.plan, t.offers) >= t.p.limits.MinMoveSaving*currentCost
}

// withoutSurplus counts, by pool, the VMs that remain when VMs are removed in order of
// falling price as long as the target is met.
func (t *planningRound) withoutSurplus() map[Pool]int {
	vms := slices.DeleteFunc(slices.Clone(t.vms), func(v VM) bool { return v.Leaving })
	t.sortByPriceDescending(vms)
	remaining := t.domainTotals(countByPool(vms))
	kept := map[Pool]int{}
	for _, v := range vms {
		remaining.add(v.Pool, -1)
		if remaining.meets(t.target) {
			continue
		}
		remaining.add(v.Pool, 1)
		kept[v.Pool]++
	}
	return kept
}

// allowedMoves returns the starts that may be made now to move the fleet towards the cheaper
// plan: none until SurplusHold has passed, then at most MaxMoves at a time.
func (t *planningRound) allowedMoves(starts []Start) []Start {
	if !t.p.hasMoves {
		t.p.hasMoves = true
		t.p.movesSince = t.now
	}
	if t.now < t.p.movesSince+t.p.limits.SurplusHold && !t.p.skipMoveHold {
		return nil
	}
	t.p.skipMoveHold = false
	// VMs that are still starting were ordered as moves in earlier rounds and count
	// towards MaxMoves.
	movesLeft := max(t.p.limits.MaxMoves-countStarting(t.vms), 0)
	return starts[:min(len(starts), movesLeft)]
}

func countStarting(vms []VM) int {
	n := 0
	for _, v := range vms {
		if v.Starting && !v.Leaving {
			n++
		}
	}
	return n
}

// surplusStops returns the IDs of the VMs to stop once the surplus has lasted for
// SurplusHold.
func (t *planningRound) surplusStops() []string {
	vmIDs := t.removableVMIDs()
	if len(vmIDs) == 0 {
		t.p.hasSurplus = false
		return nil
	}
	if !t.p.hasSurplus {
		t.p.hasSurplus = true
		t.p.surplusSince = t.now
	}
	if t.now < t.p.surplusSince+t.p.limits.SurplusHold {
		return nil
	}
	return vmIDs
}

// removableVMIDs returns the IDs of VMs that can be stopped without missing the target, in
// order of falling price. It takes them only from pools that hold more VMs than the plan.
// If a VM of any other pool were stopped, the pool would have fewer VMs than planned, and
// the planner would start a VM there again in a later round.
//
// Only serving VMs count towards the target, because a VM that is still starting may fail
// and must not replace one that is stopped. A fleet that costs more than MaxCostPerHour
// shrinks to the plan even if the target is then missed.
func (t *planningRound) removableVMIDs() []string {
	excess := t.excessByPool()
	if len(excess) == 0 {
		return nil
	}
	serving := slices.DeleteFunc(slices.Clone(t.vms), func(v VM) bool { return v.Starting || v.Leaving })
	remaining := t.domainTotals(countByPool(serving))
	serving = slices.DeleteFunc(serving, func(v VM) bool { return v.ID == "" || excess[v.Pool] == 0 })
	t.sortByPriceDescending(serving)
	overBudget := t.target.MaxCostPerHour > 0 && cost(t.current, t.offers) > t.target.MaxCostPerHour
	var vmIDs []string
	for _, v := range serving {
		if excess[v.Pool] == 0 {
			continue
		}
		remaining.add(v.Pool, -1)
		if !overBudget && !remaining.meets(t.target) {
			remaining.add(v.Pool, 1)
			continue
		}
		excess[v.Pool]--
		vmIDs = append(vmIDs, v.ID)
	}
	return vmIDs
}

// excessByPool returns, for each pool that holds more VMs than the plan, by how many.
func (t *planningRound) excessByPool() map[Pool]int {
	surplus := map[Pool]int{}
	for id, n := range t.current {
		if n > t.plan[id] {
			surplus[id] = n - t.plan[id]
		}
	}
	return surplus
}

func compareByPoolAndID(a, b *VM) int {
	return cmp.Or(
		cmp.Compare(a.Pool.FailureDomain, b.Pool.FailureDomain),
		cmp.Compare(a.Pool.Class, b.Pool.Class),
		cmp.Compare(a.ID, b.ID))
}

func (t *planningRound) sortByPriceDescending(vms []VM) {
	price := map[Pool]float64{}
	for _, o := range t.offers {
		price[o.Pool] = o.PricePerHour
	}
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(price[b.Pool], price[a.Pool]), cmp.Compare(a.ID, b.ID))
	})
}

// domainTotals counts the VMs of a fleet in total and by failure domain.
type domainTotals struct {
	total   int
	domains map[ident.FailureDomain]int
	// atRisk counts, for each failure domain, the VMs that are lost if the domain is lost.
	atRisk map[ident.FailureDomain]int
	// notAtRisk holds the pools whose VMs are assumed to survive the loss of their failure
	// domain: those that are not reclaimable if the target only has to survive reclaims.
	notAtRisk map[Pool]bool
}

func (s *domainTotals) add(id Pool, n int) {
	s.total += n
	s.domains[id.FailureDomain] += n
	if !s.notAtRisk[id] {
		s.atRisk[id.FailureDomain] += n
	}
}

// domainTotals counts the VMs of the pools in all failure domains of the plan, including
// those without VMs.
func (t *planningRound) domainTotals(pools map[Pool]int) *domainTotals {
	s := &domainTotals{domains: map[ident.FailureDomain]int{}, atRisk: map[ident.FailureDomain]int{}, notAtRisk: map[Pool]bool{}}
	for _, o := range t.offers {
		s.notAtRisk[o.Pool] = t.target.ReclaimsOnly && !o.Reclaimable
	}
	for id, n := range pools {
		s.add(id, n)
	}
	for id := range t.plan {
		s.add(id, 0)
	}
	return s
}

// meets reports whether the VMs meet the target. If the target must survive the loss of a
// failure domain, the domain with the most VMs at risk is assumed to be lost.
func (s *domainTotals) meets(target Target) bool {
	for _, n := range s.domains {
		if n < target.MinPerDomain {
			return false
		}
	}
	if !target.SurviveLoss {
		return s.total >= target.Runners
	}
	maxLoss := 0
	for _, n := range s.atRisk {
		maxLoss = max(maxLoss, n)
	}
	return s.total-maxLoss >= target.Runners
}
