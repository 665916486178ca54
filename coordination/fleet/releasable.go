package fleet

import (
	"cmp"
	"slices"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Releasable lists the VMs that may be let go while reclaimable ones are hard to get,
// the dearest first. All reclaimable ones may go at any moment then, so only the
// others count: keep of them must stay, and minPerDomain in each failure domain.
// Ones that are still starting may fail to and count for nothing.
func Releasable(vms []VM, offers []Offer, keep, minPerDomain int) []string {
	price := map[Pool]float64{}
	for _, o := range offers {
		if !o.Reclaimable {
			price[o.Pool] = o.PricePerHour
		}
	}
	var nonReclaimable []VM
	inDomain := map[ident.FailureDomain]int{}
	for _, v := range vms {
		if _, ok := price[v.Pool]; ok && !v.Starting && !v.Leaving {
			nonReclaimable = append(nonReclaimable, v)
			inDomain[v.Pool.FailureDomain]++
		}
	}
	slices.SortFunc(nonReclaimable, func(a, b VM) int {
		return cmp.Or(cmp.Compare(price[b.Pool], price[a.Pool]), compareVMs(&a, &b))
	})
	var releasable []string
	for _, v := range nonReclaimable {
		if len(nonReclaimable)-len(releasable) <= keep {
			break
		}
		if inDomain[v.Pool.FailureDomain] <= minPerDomain {
			continue
		}
		inDomain[v.Pool.FailureDomain]--
		releasable = append(releasable, v.ID)
	}
	return releasable
}
