package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A large fleet starts at the full price; before cheaper runners have come, the first
// reclaim makes them hard to get. What runs at the full price beyond the need was all
// kept until that was over: 90 runners for 35.
func TestSpareOnesGoWhileReclaimableOnesAreHardToGet(t *testing.T) {
	is := is.New(t)
	var vms []fleet.VM
	var offers []fleet.Offer
	for d, price := range map[ident.FailureDomain]float64{"north": 1, "south": 0.8} {
		full := fleet.Pool{FailureDomain: d, Class: "on_demand"}
		cheap := fleet.Pool{FailureDomain: d, Class: "reclaimable"}
		offers = append(offers, fleet.Offer{Pool: full, PricePerHour: price}, fleet.Offer{Pool: cheap, Reclaimable: true, PricePerHour: price / 5})
		for i := range 10 {
			vms = append(vms, fleet.VM{ID: fmt.Sprintf("%s/full/%d", d, i), Pool: full}, fleet.VM{ID: fmt.Sprintf("%s/cheap/%d", d, i), Pool: cheap})
		}
		vms = append(vms, fleet.VM{Pool: full, Starting: true})
	}
	gone := func(keep, least int) (n int, byDomain map[byte]int) {
		byDomain = map[byte]int{}
		for _, id := range fleet.Spare(vms, offers, keep, least) {
			is.True(id[5:10] == "/full")
			byDomain[id[0]]++
			n++
		}
		return n, byDomain
	}
	n, by := gone(12, 1)
	is.Equal(n, 8)
	is.Equal(by['n'], 8) // the dearest first
	n, by = gone(2, 4)
	is.Equal(n, 12)
	is.Equal(by['n'], 6)
	n, _ = gone(20, 1)
	is.Equal(n, 0)
	n, _ = gone(30, 1)
	is.Equal(n, 0)
}
