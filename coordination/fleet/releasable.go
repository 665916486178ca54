package fleet

import (
	"cmp"
	"slices"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Releasable returns the IDs of the VMs that may be stopped while reclaimable VMs are
// scarce, in order of falling price. During that time the cloud may reclaim any
// reclaimable VM at any moment, so only the non-reclaimable ones count. At least
// minNonReclaimable of these stay, and at least minPerDomain in each failure domain. VMs
// that are still starting may fail and are ignored.
func Releasable(vms []VM, offers []Offer, minNonReclaimable, minPerDomain int) []string {
	nonReclaimablePrice := map[Pool]float64{}
	for _, o := range offers {
		if !o.Reclaimable {
			nonReclaimablePrice[o.Pool] = o.PricePerHour
		}
	}
	var nonReclaimable []VM
	inDomain := map[ident.FailureDomain]int{}
	for _, v := range vms {
		if _, ok := nonReclaimablePrice[v.Pool]; ok && !v.Starting && !v.Leaving {
			nonReclaimable = append(nonReclaimable, v)
			inDomain[v.Pool.FailureDomain]++
		}
	}
	slices.SortFunc(nonReclaimable, func(a, b VM) int {
		return cmp.Or(cmp.Compare(nonReclaimablePrice[b.Pool], nonReclaimablePrice[a.Pool]), compareByPoolAndID(&a, &b))
	})
	var releasable []string
	for _, v := range nonReclaimable {
		if len(nonReclaimable)-len(releasable) <= minNonReclaimable {
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
