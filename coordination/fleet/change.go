package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

func halve(halfLives float64) float64 { return math.Exp2(-halfLives) }

// missing lists what the plan has and the fleet has not.
func missing(plan, have map[Pool]int) []Start {
	var starts []Start
	for id, n := range plan {
		for range n - have[id] {
			starts = append(starts, Start{Pool: id})
		}
	}
	slices.SortFunc(starts, func(a, b Start) int {
		return cmp.Or(cmp.Compare(a.Pool.FailureDomain, b.Pool.FailureDomain), cmp.Compare(a.Pool.Class, b.Pool.Class))
	})
	return starts
}

// limitMoves keeps the fleet from being rebuilt at each change of price. VMs
// that are needed for the target start at once; where what runs already holds
// the target, a cheaper place must save MoveGain of the cost for SurplusHold,
// and then a few move at a time.
func (p *Planner) limitMoves(now time.Duration, w Wanted, d Decision, plan map[Pool]int, offers []Offer, vms []VM) Decision {
	have := countPools(vms)
	if !holdsTarget(have, w) {
		p.hasMoves = false
		d.Starts = needed(d.Starts, have, w)
		return d
	}
	saving := cost(have, offers) - cost(plan, offers)
	if saving < p.limits.MoveGain*cost(have, offers) {
		p.hasMoves = false
		d.Starts = nil
		d.Stops = p.surplus(now, w, offers, vms)
		return d
	}
	if !p.hasMoves {
		p.hasMoves = true
		p.movesFrom = now
	}
	if now < p.movesFrom+p.limits.SurplusHold {
		d.Starts = nil
		return d
	}
	// VMs that are on their way in were moves of an earlier turn.
	room := max(p.limits.MaxMoves-starting(vms), 0)
	d.Starts = d.Starts[:min(len(d.Starts), room)]
	return d
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

func holdsTarget(have map[Pool]int, w Wanted) bool {
	total := 0
	for _, n := range have {
		total += n
	}
	if w.SurviveLoss {
		total -= worst(have)
	}
	return total >= w.Runners
}

// needed drops the starts that are not needed to hold the target given what
// runs already in pools that the plan would not choose.
func needed(starts []Start, have map[Pool]int, w Wanted) []Start {
	trial := maps.Clone(have)
	var out []Start
	for _, s := range starts {
		if holdsTarget(trial, w) {
			break
		}
		trial[s.Pool]++
		out = append(out, s)
	}
	return out
}

// surplus picks VMs to let go after SurplusHold, the dearest first, as long as
// the target holds without them.
func (p *Planner) surplus(now time.Duration, w Wanted, offers []Offer, vms []VM) []string {
	extra := removable(w, offers, vms)
	if len(extra) == 0 {
		p.hasSurplus = false
		return nil
	}
	if !p.hasSurplus {
		p.hasSurplus = true
		p.surplusSince = now
	}
	if now < p.surplusSince+p.limits.SurplusHold {
		return nil
	}
	return extra
}

// removable counts only VMs that serve: one that is still starting may fail to,
// and must not stand in for one that is let go.
func removable(w Wanted, offers []Offer, vms []VM) []string {
	serving := slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.Starting || v.Leaving })
	have := countPools(serving)
	price := map[Pool]float64{}
	for _, o := range offers {
		price[o.Pool] = o.PricePerHour
	}
	slices.SortStableFunc(serving, func(a, b VM) int {
		return cmp.Or(cmp.Compare(price[b.Pool], price[a.Pool]), cmp.Compare(domainSize(have, b.Pool.FailureDomain), domainSize(have, a.Pool.FailureDomain)), cmp.Compare(a.ID, b.ID))
	})
	trial := maps.Clone(have)
	var out []string
	for _, v := range serving {
		if v.ID == "" {
			continue
		}
		trial[v.Pool]--
		if !holdsTarget(trial, w) {
			trial[v.Pool]++
			continue
		}
		out = append(out, v.ID)
	}
	return out
}

func domainSize(have map[Pool]int, d ident.FailureDomain) int {
	n := 0
	for id, count := range have {
		if id.FailureDomain == d {
			n += count
		}
	}
	return n
}
