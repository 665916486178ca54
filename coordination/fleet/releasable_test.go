package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A large fleet starts with on-demand VMs, and the first reclaim makes reclaimable VMs
// scarce before any could be started. All on-demand VMs beyond the need used to be kept
// until the scarcity ended: 90 runners where 35 were needed.
func TestReleasableDuringScarcity(t *testing.T) {
	is := is.New(t)
	var vms []fleet.VM
	var offers []fleet.Offer
	for d, price := range map[ident.FailureDomain]float64{"north": 1, "south": 0.8} {
		onDemand := fleet.Pool{FailureDomain: d, Class: "on_demand"}
		reclaimable := fleet.Pool{FailureDomain: d, Class: "reclaimable"}
		offers = append(offers, fleet.Offer{Pool: onDemand, PricePerHour: price}, fleet.Offer{Pool: reclaimable, Reclaimable: true, PricePerHour: price / 5})
		for i := range 10 {
			vms = append(vms, fleet.VM{ID: fmt.Sprintf("%s/full/%d", d, i), Pool: onDemand}, fleet.VM{ID: fmt.Sprintf("%s/cheap/%d", d, i), Pool: reclaimable})
		}
		vms = append(vms, fleet.VM{Pool: onDemand, Starting: true})
	}
	releasedVMs := func(minNonReclaimable, minPerDomain int) (n int, byDomain map[byte]int) {
		byDomain = map[byte]int{}
		for _, id := range fleet.Releasable(vms, offers, minNonReclaimable, minPerDomain) {
			is.True(id[5:10] == "/full")
			byDomain[id[0]]++
			n++
		}
		return n, byDomain
	}
	n, perDomain := releasedVMs(12, 1)
	is.Equal(n, 8)
	is.Equal(perDomain['n'], 8) // the most expensive first
	n, perDomain = releasedVMs(2, 4)
	is.Equal(n, 12)
	is.Equal(perDomain['n'], 6)
	n, _ = releasedVMs(20, 1)
	is.Equal(n, 0)
	n, _ = releasedVMs(30, 1)
	is.Equal(n, 0)
}
