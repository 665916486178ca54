package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/state/ident"
)

var northSpot = fleet.Pool{FailureDomain: "north", Class: "spot"}

func TestOrdersArriveAndExpire(t *testing.T) {
	is := is.New(t)
	o := fleet.NewOrders(6 * time.Second)
	o.Sync(0, map[fleet.Pool]int{northSpot: 2})
	o.Change(0, northSpot, 2)
	is.Equal(o.Target(northSpot), 4)
	o.Sync(4*time.Second, map[fleet.Pool]int{northSpot: 3})
	is.Equal(o.Target(northSpot), 4) // one more VM is still starting
	is.Equal(len(o.VMs()), 4)
	o.Sync(6*time.Second, map[fleet.Pool]int{northSpot: 3})
	is.Equal(o.Target(northSpot), 3) // the VM never came
}

// The cloud reclaims all VMs of a pool. Orders in that pool must not count as starting, or
// nothing would be ordered elsewhere until the orders expire.
func TestReclaimedVMsDoNotCountAsStarting(t *testing.T) {
	is := is.New(t)
	o := fleet.NewOrders(6 * time.Second)
	o.Sync(0, map[fleet.Pool]int{northSpot: 4})
	o.Sync(time.Second, map[fleet.Pool]int{northSpot: 0})
	is.Equal(o.Target(northSpot), 0)
	is.Equal(len(o.VMs()), 0)
}

func TestReduceAndUndo(t *testing.T) {
	is := is.New(t)
	o := fleet.NewOrders(6 * time.Second)
	o.Sync(0, map[fleet.Pool]int{northSpot: 4})
	o.Change(0, northSpot, -3)
	is.Equal(o.Target(northSpot), 1)
	o.Sync(time.Second, map[fleet.Pool]int{northSpot: 2})
	is.Equal(o.Target(northSpot), 1)
	o.Undo(northSpot, -1)
	is.Equal(o.Target(northSpot), 2)
}

// The plan respects the limits of each failure domain for any number of runners.
func TestPlanRespectsVMLimitsPerDomain(t *testing.T) {
	is := is.New(t)
	var offers []fleet.Offer
	for _, d := range []ident.FailureDomain{"a", "b", "c"} {
		offers = append(offers, offer(d, "spot", 0.2, true), offer(d, "on-demand", 1, false))
	}
	for runners := 1; runners < 20; runners++ {
		target := fleet.Target{Runners: runners, SurviveLoss: true, MinPerDomain: 1, MaxPerDomain: 4}
		d := fleet.New(fleet.DefaultLimits()).Decide(0, target, offers, nil)
		inDomain := map[ident.FailureDomain]int{}
		for _, s := range d.Starts {
			inDomain[s.Pool.FailureDomain]++
		}
		for _, n := range inDomain {
			is.True(n >= 1)
			is.True(n <= 4)
		}
		is.Equal(len(inDomain), 3)
	}
}

// Five VMs are starting in a failure domain when its reclaimable VMs get notice. The five
// VMs never come. They used to count as starting until their orders timed out, and
// replacements were ordered seven seconds too late.
func TestReclaimDropsPendingStarts(t *testing.T) {
	is := is.New(t)
	spot := fleet.Pool{FailureDomain: "a", Class: "spot"}
	other := fleet.Pool{FailureDomain: "b", Class: "spot"}
	o := fleet.NewOrders(7 * time.Second)
	o.Sync(0, map[fleet.Pool]int{spot: 2, other: 2})
	o.Change(0, spot, 5)
	o.Change(0, other, 1)
	is.Equal(len(o.VMs()), 10)
	o.Sync(time.Second, map[fleet.Pool]int{spot: 0, other: 2})
	o.RecordReclaims(spot)
	is.Equal(len(o.VMs()), 3)
	is.Equal(o.Target(spot), 0)
	is.Equal(o.Target(other), 3)
}

// A reclaim takes the reclaimable VMs of a failure domain and leaves the others there. The
// plan must keep the required runners after any one reclaim, and must not pay for spare VMs
// that no reclaim can take.
func TestPlanSurvivesReclaimOfAnyFailureDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offers []fleet.Offer
		domains := []ident.FailureDomain{"a", "b", "c", "d"}
		for _, d := range domains {
			offers = append(offers, offer(d, "spot", 0.15, true), offer(d, "on-demand", 1, false))
		}
		p := fleet.New(fleet.DefaultLimits())
		refusedDomains := rapid.IntRange(0, 4).Draw(t, "dry domains")
		var vms []fleet.VM
		for i, d := range domains {
			for n := range rapid.IntRange(0, 4).Draw(t, "have") {
				vms = append(vms, fleet.VM{ID: fmt.Sprintf("%s%d", d, n), Pool: fleet.Pool{FailureDomain: d, Class: "spot"}})
			}
			if i < refusedDomains {
				p.RecordRefusal(0, fleet.Pool{FailureDomain: d, Class: "spot"})
			}
		}
		target := fleet.Target{Runners: rapid.IntRange(1, 16).Draw(t, "runners"), SurviveLoss: true, ReclaimsOnly: true}
		d := p.Decide(time.Second, target, offers, vms)
		vms = applyStarts(d, vms)
		for _, lost := range domains {
			remaining, onDemand := 0, 0
			for _, v := range vms {
				if v.Pool.Class == "on-demand" {
					onDemand++
				}
				if v.Pool.Class == "on-demand" || v.Pool.FailureDomain != lost {
					remaining++
				}
			}
			if remaining < target.Runners {
				t.Fatalf("%d runners remain of %d after a reclaim in %s", remaining, target.Runners, lost)
			}
			if onDemand > target.Runners {
				t.Fatalf("%d on-demand VMs for %d runners", onDemand, target.Runners)
			}
		}
	})
}
