package fleet

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const unlimited = int(^uint(0) >> 1)

// candidate is an offer with the number of VMs that a plan may place in it. An offer whose traffic has
// a price is two candidates: one for the callers of its failure domain (local), one for others'.
type candidate struct {
	Offer
	local         bool
	expectedPrice float64
	maxVMs        int
	domainIndex   int
}

// candidates are the offers sorted by expected price, and the number of failure domains
// that they cover.
type candidates struct {
	sortedOffers []candidate
	domainCount  int
}

// listCandidates returns the offers as candidates, sorted by expected price. A pool in
// backoff can hold at most its current VMs.
func (p *Planner) listCandidates(now time.Duration, offers []Offer, have map[Pool]int) candidates {
	domainIndexes := map[ident.FailureDomain]int{}
	sorted := make([]candidate, 0, len(offers))
	for _, o := range offers {
		if _, ok := domainIndexes[o.FailureDomain]; !ok {
			domainIndexes[o.FailureDomain] = len(domainIndexes)
		}
		c := candidate{Offer: o, expectedPrice: p.expectedPrice(o), maxVMs: unlimited, domainIndex: domainIndexes[o.FailureDomain]}
		if s, ok := p.pools[o.Pool]; ok && now < s.backoffUntil {
			c.maxVMs = have[o.Pool]
		}
		sorted = append(sorted, c.split()...)
	}
	slices.SortStableFunc(sorted, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.expectedPrice, b.expectedPrice), cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Class, b.Class))
	})
	return candidates{sortedOffers: sorted, domainCount: len(domainIndexes)}
}

// split divides a candidate whose traffic has a price.
func (c candidate) split() []candidate {
	if c.TrafficPrice <= 0 {
		return []candidate{c}
	}
	local, others := c, c
	local.local, local.maxVMs = true, min(c.maxVMs, c.LocalVMs)
	others.expectedPrice += c.TrafficPrice
	if c.maxVMs < unlimited {
		others.maxVMs = max(0, c.maxVMs-c.LocalVMs)
	}
	return []candidate{local, others}
}

// allocation is a tentative number of VMs for each offer. One allocation is reused for all
// attempts, because planning a large service takes thousands of them.
type allocation struct {
	candidates
	counts      []int
	vmsByDomain []int
	// atRisk is, for each failure domain, the number of VMs that are lost if the domain is
	// lost.
	atRisk        []int
	allocated     int
	expectedPrice float64
	target        Target
	maxCost       float64
}

func newAllocation(c candidates, target Target) *allocation {
	return &allocation{candidates: c, counts: make([]int, len(c.sortedOffers)), vmsByDomain: make([]int, c.domainCount), atRisk: make([]int, c.domainCount), target: target, maxCost: target.MaxCostPerHour}
}

// allocate places total VMs in the cheapest candidates, after giving each failure domain
// the MinPerDomain of the target. If any one failure domain is lost, at most maxAtRisk VMs
// may be lost with it.
func (f *allocation) allocate(total, maxAtRisk int) {
	clear(f.counts)
	clear(f.vmsByDomain)
	clear(f.atRisk)
	f.allocated, f.expectedPrice = 0, 0
	maxPerDomain := unlimited
	if f.target.MaxPerDomain > 0 {
		maxPerDomain = f.target.MaxPerDomain
	}
	f.addCheapest(unlimited, f.target.MinPerDomain, maxAtRisk)
	f.addCheapest(total, maxPerDomain, maxAtRisk)
}

// lostWithDomain reports whether a candidate's VMs are lost if their failure domain is
// lost.
func (f *allocation) lostWithDomain(c *candidate) bool {
	return c.Reclaimable || !f.target.ReclaimsOnly
}

// addCheapest goes through the offers from the cheapest to the most expensive one and adds
// as many VMs of each as the limits allow: total VMs in the allocation, maxPerDomain VMs
// in a failure domain, maxAtRisk VMs that are lost with their failure domain, the maxVMs
// of the offer, and the cost limit. An offer without room is skipped, and the following
// ones are still tried.
func (f *allocation) addCheapest(total, maxPerDomain, maxAtRisk int) {
	for i := range f.sortedOffers {
		c := &f.sortedOffers[i]
		n := min(total-f.allocated, maxPerDomain-f.vmsByDomain[c.domainIndex], c.maxVMs-f.counts[i])
		if c.local {
			n = min(n, c.LocalVMs-f.vmsByDomain[c.domainIndex])
		}
		if f.lostWithDomain(c) {
			n = min(n, maxAtRisk-f.atRisk[c.domainIndex])
		}
		if f.maxCost > 0 {
			n = min(n, int((f.maxCost-f.expectedPrice)/c.PricePerHour))
		}
		if n <= 0 {
			continue
		}
		f.counts[i] += n
		f.vmsByDomain[c.domainIndex] += n
		if f.lostWithDomain(c) {
			f.atRisk[c.domainIndex] += n
		}
		f.allocated += n
		f.expectedPrice += float64(n) * c.expectedPrice
	}
}

func (f *allocation) plan() map[Pool]int {
	plan := map[Pool]int{}
	for i, n := range f.counts {
		if n > 0 {
			plan[f.sortedOffers[i].Pool] += n
		}
	}
	return plan
}

// cheapestPlan returns the plan of least expected cost, and the number of runners of the
// target that the pools and the cost limit don't allow.
func cheapestPlan(target Target, c candidates) (map[Pool]int, int) {
	f := newAllocation(c, target)
	if !target.SurviveLoss {
		f.allocate(target.Runners, target.Runners)
		return f.plan(), target.Runners - f.allocated
	}
	bestMaxAtRisk, bestCost := 0, 0.0
	minAtRisk := minInFullestDomain(target.Runners, c.domainCount)
	if target.ReclaimsOnly {
		minAtRisk = 0
	}
	found := false
	for maxAtRisk := minAtRisk; maxAtRisk <= target.Runners; maxAtRisk++ {
		f.allocate(target.Runners+maxAtRisk, maxAtRisk)
		if f.allocated-slices.Max(f.atRisk) < target.Runners {
			continue
		}
		if !found || f.expectedPrice < bestCost {
			found, bestMaxAtRisk, bestCost = true, maxAtRisk, f.expectedPrice
		}
	}
	if !found {
		return f.degradedPlan(target)
	}
	f.allocate(target.Runners+bestMaxAtRisk, bestMaxAtRisk)
	return f.plan(), 0
}

// minInFullestDomain returns the smallest possible number of VMs in the fullest failure
// domain if the other domains must hold all runners. It returns runners + 1 if there is no
// other domain.
func minInFullestDomain(runners, domains int) int {
	if domains < 2 {
		return runners + 1
	}
	return (runners + domains - 2) / (domains - 1)
}

// degradedPlan is used if the pools or the cost limit don't allow enough VMs to survive the
// loss of a failure domain. It gives up the spare VMs for such a loss before runners that
// must serve now.
func (f *allocation) degradedPlan(target Target) (map[Pool]int, int) {
	evenVMsPerDomain := (target.Runners + f.domainCount - 1) / max(f.domainCount, 1)
	bestMaxAtRisk, bestAllocated, bestCost := 0, -1, 0.0
	for maxAtRisk := max(evenVMsPerDomain, 1); maxAtRisk <= target.Runners+evenVMsPerDomain; maxAtRisk++ {
		f.allocate(target.Runners+evenVMsPerDomain, maxAtRisk)
		if f.allocated > bestAllocated || f.allocated == bestAllocated && f.expectedPrice < bestCost {
			bestMaxAtRisk, bestAllocated, bestCost = maxAtRisk, f.allocated, f.expectedPrice
		}
	}
	f.allocate(target.Runners+evenVMsPerDomain, bestMaxAtRisk)
	return f.plan(), max(target.Runners-bestAllocated, 0)
}
