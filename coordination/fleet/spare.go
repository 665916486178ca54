package fleet

import (
	"cmp"
	"slices"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Spare lists the VMs that may be let go while reclaimable ones are hard to get,
// the dearest first. All reclaimable ones may go at any moment then, so only the
// others count: keep of them must stay, and minPerDomain in each failure domain.
// Ones that are still starting may fail to and count for nothing.
func Spare(vms []VM, offers []Offer, keep, minPerDomain int) []string {
	price := map[Pool]float64{}
	for _, o := range offers {
		if !o.Reclaimable {
			price[o.Pool] = o.PricePerHour
		}
	}
	var safe []VM
	inDomain := map[ident.FailureDomain]int{}
	for _, v := range vms {
		if _, ok := price[v.Pool]; ok && !v.Starting && !v.Leaving {
			safe = append(safe, v)
			inDomain[v.Pool.FailureDomain]++
		}
	}
	slices.SortFunc(safe, func(a, b VM) int {
		return cmp.Or(cmp.Compare(price[b.Pool], price[a.Pool]), compareVMs(&a, &b))
	})
	var spare []string
	for _, v := range safe {
		if len(safe)-len(spare) <= keep {
			break
		}
		if inDomain[v.Pool.FailureDomain] <= minPerDomain {
			continue
		}
		inDomain[v.Pool.FailureDomain]--
		spare = append(spare, v.ID)
	}
	return spare
}
