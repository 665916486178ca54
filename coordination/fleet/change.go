package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

func halve(halfLives float64) float64 { return math.Exp2(-halfLives) }

// turn is the work of one Decide: the way from what is there to the plan.
type turn struct {
	p      *Planner
	now    time.Duration
	wanted Wanted
	offers []Offer
	vms    []VM
	have   map[Pool]int
	plan   map[Pool]int
}

// decide keeps the fleet from being rebuilt at each change of price. VMs that
// are needed for the target start at once; where what runs already holds the
// target, a cheaper plan must save MoveGain of the cost for SurplusHold, and
// then a few VMs move at a time.
func (t *turn) decide(d *Decision) {
	starts := t.missing()
	if !t.spread(t.have).holds(t.wanted) {
		t.p.hasSurplus = false
		t.p.hasMoves = false
		d.Starts = t.needed(starts)
		return
	}
	if len(starts) == 0 || !t.worthMoving() {
		t.p.hasMoves = false
		d.Stops = t.surplus()
		return
	}
	t.p.hasSurplus = false
	d.Starts = t.moves(starts)
}

// missing lists what the plan has and the fleet has not.
func (t *turn) missing() []Start {
	var starts []Start
	for id, n := range t.plan {
		for range n - t.have[id] {
			starts = append(starts, Start{Pool: id})
		}
	}
	slices.SortFunc(starts, func(a, b Start) int {
		return cmp.Or(cmp.Compare(a.Pool.FailureDomain, b.Pool.FailureDomain), cmp.Compare(a.Pool.Class, b.Pool.Class))
	})
	return starts
}

// needed drops the starts that are not needed to hold the target given what
// runs already in pools that the plan would not choose.
func (t *turn) needed(starts []Start) []Start {
	trial := t.spread(t.have)
	for i, s := range starts {
		if trial.holds(t.wanted) {
			return starts[:i]
		}
		trial.add(s.Pool, 1)
	}
	return starts
}

// worthMoving compares the plan with what would be left of the fleet without its
// surplus. Against the whole fleet a surplus alone would look like a gain of moving,
// and VMs be started in place of ones that only had to stay.
func (t *turn) worthMoving() bool {
	now := cost(t.trimmed(), t.offers)
	return now-cost(t.plan, t.offers) >= t.p.limits.MoveGain*now
}

// trimmed counts the VMs that are left when the dearest go as long as the target holds.
func (t *turn) trimmed() map[Pool]int {
	vms := slices.DeleteFunc(slices.Clone(t.vms), func(v VM) bool { return v.Leaving })
	t.dearestFirst(vms)
	left := t.spread(countPools(vms))
	kept := map[Pool]int{}
	for _, v := range vms {
		left.add(v.Pool, -1)
		if left.holds(t.wanted) {
			continue
		}
		left.add(v.Pool, 1)
		kept[v.Pool]++
	}
	return kept
}

func (t *turn) moves(starts []Start) []Start {
	if !t.p.hasMoves {
		t.p.hasMoves = true
		t.p.movesFrom = t.now
	}
	if t.now < t.p.movesFrom+t.p.limits.SurplusHold && !t.p.reopened {
		return nil
	}
	t.p.reopened = false
	// VMs that are on their way in were moves of an earlier turn.
	room := max(t.p.limits.MaxMoves-starting(t.vms), 0)
	return starts[:min(len(starts), room)]
}

func starting(vms []VM) int {
	n := 0
	for _, v := range vms {
		if v.Starting && !v.Leaving {
			n++
		}
	}
	return n
}

// surplus picks VMs to let go after SurplusHold.
func (t *turn) surplus() []string {
	extra := t.removable()
	if len(extra) == 0 {
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
	return extra
}

// removable lists VMs of pools that hold more than the plan does, the dearest
// first, as long as the target holds without them. Letting others go would only
// make the planner start them again: the fleet would be superfluous in one turn
// and worth moving in the next.
//
// Only VMs that serve count: one that is still starting may fail to, and must
// not stand in for one that is let go. A fleet that costs more than it may
// shrinks to the plan whatever becomes of the target.
func (t *turn) removable() []string {
	excess := t.excess()
	if len(excess) == 0 {
		return nil
	}
	serving := slices.DeleteFunc(slices.Clone(t.vms), func(v VM) bool { return v.Starting || v.Leaving })
	left := t.spread(countPools(serving))
	serving = slices.DeleteFunc(serving, func(v VM) bool { return v.ID == "" || excess[v.Pool] == 0 })
	t.dearestFirst(serving)
	overBudget := t.wanted.MaxCostPerHour > 0 && cost(t.have, t.offers) > t.wanted.MaxCostPerHour
	var out []string
	for _, v := range serving {
		if excess[v.Pool] == 0 {
			continue
		}
		left.add(v.Pool, -1)
		if !overBudget && !left.holds(t.wanted) {
			left.add(v.Pool, 1)
			continue
		}
		excess[v.Pool]--
		out = append(out, v.ID)
	}
	return out
}

// excess is what the fleet has over the plan; pools without any are left out.
func (t *turn) excess() map[Pool]int {
	out := map[Pool]int{}
	for id, n := range t.have {
		if n > t.plan[id] {
			out[id] = n - t.plan[id]
		}
	}
	return out
}

func compareVMs(a, b *VM) int {
	return cmp.Or(
		cmp.Compare(a.Pool.FailureDomain, b.Pool.FailureDomain),
		cmp.Compare(a.Pool.Class, b.Pool.Class),
		cmp.Compare(a.ID, b.ID))
}

func (t *turn) dearestFirst(vms []VM) {
	price := map[Pool]float64{}
	for _, o := range t.offers {
		price[o.Pool] = o.PricePerHour
	}
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(price[b.Pool], price[a.Pool]), cmp.Compare(a.ID, b.ID))
	})
}

// spread counts VMs by failure domain.
type spread struct {
	total   int
	domains map[ident.FailureDomain]int
	// atRisk counts those that go with their failure domain.
	atRisk map[ident.FailureDomain]int
	// safe pools lose nothing.
	safe map[Pool]bool
}

func (s *spread) add(id Pool, n int) {
	s.total += n
	s.domains[id.FailureDomain] += n
	if !s.safe[id] {
		s.atRisk[id.FailureDomain] += n
	}
}

// spread counts the VMs of pools in all failure domains of the plan, empty ones
// included.
func (t *turn) spread(pools map[Pool]int) *spread {
	s := &spread{domains: map[ident.FailureDomain]int{}, atRisk: map[ident.FailureDomain]int{}, safe: map[Pool]bool{}}
	for _, o := range t.offers {
		s.safe[o.Pool] = t.wanted.ReclaimsOnly && !o.Reclaimable
	}
	for id, n := range pools {
		s.add(id, n)
	}
	for id := range t.plan {
		s.add(id, 0)
	}
	return s
}

// holds tells whether the target holds, with the fullest failure domain lost if
// it must survive that.
func (s *spread) holds(w Wanted) bool {
	for _, n := range s.domains {
		if n < w.MinPerDomain {
			return false
		}
	}
	if !w.SurviveLoss {
		return s.total >= w.Runners
	}
	most := 0
	for _, n := range s.atRisk {
		most = max(most, n)
	}
	return s.total-most >= w.Runners
}
