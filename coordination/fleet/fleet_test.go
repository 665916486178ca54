package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
)

func offer(domain ident.FailureDomain, class string, price float64, reclaimable bool) fleet.Offer {
	return fleet.Offer{Pool: fleet.Pool{FailureDomain: domain, Class: class}, PricePerHour: price, Reclaimable: reclaimable}
}

func applyStarts(d fleet.Decision, vms []fleet.VM) []fleet.VM {
	for _, s := range d.Starts {
		vms = append(vms, fleet.VM{ID: fmt.Sprintf("vm%d", len(vms)), Pool: s.Pool})
	}
	return vms
}

func remaining(vms []fleet.VM, lost ident.FailureDomain) int {
	n := 0
	for _, v := range vms {
		if v.Pool.FailureDomain != lost && !v.Leaving {
			n++
		}
	}
	return n
}

// For any prices and refusals at the time of planning, the runners that remain after the
// loss of any one failure domain must meet the target.
func TestPlanSurvivesLossOfAnyFailureDomain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := []ident.FailureDomain{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(rt, "domains")]
		var offers []fleet.Offer
		for _, d := range domains {
			offers = append(offers,
				offer(d, "spot", rapid.Float64Range(0.2, 2).Draw(rt, "spot"), true),
				offer(d, "on-demand", rapid.Float64Range(1, 4).Draw(rt, "on-demand"), false))
		}
		p := fleet.New(fleet.DefaultLimits())
		for _, o := range offers {
			if o.Reclaimable && rapid.Bool().Draw(rt, "refused") {
				p.RecordRefusal(0, o.Pool)
			}
		}
		target := fleet.Target{Runners: rapid.IntRange(1, 20).Draw(rt, "runners"), SurviveLoss: true}
		d := p.Decide(time.Second, target, offers, nil)
		vms := applyStarts(d, nil)
		for _, lost := range domains {
			if remaining(vms, lost) < target.Runners {
				rt.Fatalf("%d runners remain of %d after the loss of %s", remaining(vms, lost), target.Runners, lost)
			}
		}
	})
}

func TestPlanTakesCheapestMix(t *testing.T) {
	is := is.New(t)
	offers := []fleet.Offer{
		offer("a", "spot", 1, true), offer("b", "spot", 1, true),
		offer("c", "spot", 1, true), offer("d", "spot", 10, true),
	}
	p := fleet.New(fleet.DefaultLimits())
	d := p.Decide(0, fleet.Target{Runners: 12, SurviveLoss: true}, offers, nil)
	is.Equal(len(d.Starts), 18) // 6 in each of three domains is cheaper than 4 in each of four
	is.Equal(d.CostPerHour, 18.0)
}

// The cloud refuses a start in the cheapest pool, e.g. because it reclaims the VMs there.
// The planner must use the next pool at once and return to the refused pool after its
// backoff.
func TestRefusedStartMovesToNextPool(t *testing.T) {
	is := is.New(t)
	spot, onDemand := offer("a", "spot", 1, true), offer("a", "on-demand", 3, false)
	offers := []fleet.Offer{spot, onDemand}
	p := fleet.New(fleet.DefaultLimits())
	target := fleet.Target{Runners: 1}
	is.Equal(p.Decide(0, target, offers, nil).Starts[0].Pool, spot.Pool)
	p.RecordRefusal(0, spot.Pool)
	is.Equal(p.Decide(time.Second, target, offers, nil).Starts[0].Pool, onDemand.Pool)
	is.Equal(p.Decide(time.Minute, target, offers, nil).Starts[0].Pool, spot.Pool)
}

// Prices change every minute. Without SurplusHold the fleet would be rebuilt each time, and
// each rebuild loads weights and moves requests.
func TestSwingingPricesDoNotMoveTheFleet(t *testing.T) {
	is := is.New(t)
	p := fleet.New(fleet.DefaultLimits())
	target := fleet.Target{Runners: 4}
	var vms []fleet.VM
	starts, stops := 0, 0
	for minute := range 120 {
		a, b := 1.0, 1.5
		if minute%2 == 1 {
			a, b = b, a
		}
		d := p.Decide(time.Duration(minute)*time.Minute, target, []fleet.Offer{offer("a", "spot", a, true), offer("b", "spot", b, true)}, vms)
		vms = applyStarts(d, vms)
		starts += len(d.Starts)
		stops += len(d.Stops)
	}
	is.Equal(starts, 4)
	is.Equal(stops, 0)
}

// A replacement is still starting. If the VM that it replaces were stopped now and the
// start then failed, the target would be missed, so only serving VMs count.
func TestStartingVMDoesNotReplaceServingVM(t *testing.T) {
	is := is.New(t)
	p := fleet.New(fleet.DefaultLimits())
	offers := []fleet.Offer{offer("a", "spot", 1, true), offer("b", "spot", 5, true)}
	vms := []fleet.VM{
		{ID: "old", Pool: offers[1].Pool},
		{ID: "new", Pool: offers[0].Pool, Starting: true},
	}
	target := fleet.Target{Runners: 1}
	for minute := range 20 {
		is.Equal(len(p.Decide(time.Duration(minute)*time.Minute, target, offers, vms).Stops), 0)
	}
	vms[1].Starting = false
	var stops []string
	for minute := range 10 {
		stops = append(stops, p.Decide(time.Duration(20+minute)*time.Minute, target, offers, vms).Stops...)
	}
	is.Equal(stops[0], "old")
}

func TestHazardRaisesPrice(t *testing.T) {
	is := is.New(t)
	p := fleet.New(fleet.DefaultLimits())
	risky, stable := offer("a", "spot", 1, true), offer("b", "spot", 1.05, true)
	target := fleet.Target{Runners: 1}
	is.Equal(p.Decide(0, target, []fleet.Offer{risky, stable}, nil).Starts[0].Pool, risky.Pool)
	p.RecordReclaims(0, risky.Pool, 10)
	is.Equal(p.Decide(0, target, []fleet.Offer{risky, stable}, nil).Starts[0].Pool, stable.Pool)
}

func TestCostLimitCutsSpareVMsBeforeRunners(t *testing.T) {
	is := is.New(t)
	p := fleet.New(fleet.DefaultLimits())
	offers := []fleet.Offer{offer("a", "spot", 1, true), offer("b", "spot", 1, true)}
	d := p.Decide(0, fleet.Target{Runners: 4, SurviveLoss: true, MaxCostPerHour: 5}, offers, nil)
	is.Equal(len(d.Starts), 5) // all runners, and as many spare VMs as the cost limit allows
	is.Equal(d.Shortfall, 0)
	d = p.Decide(0, fleet.Target{Runners: 4, SurviveLoss: true, MaxCostPerHour: 3}, offers, nil)
	is.Equal(len(d.Starts), 3)
	is.Equal(d.Shortfall, 1)
}

// After reclaims the fleet holds more VMs than planned in some failure domains and fewer in
// others. Stopping the most expensive VMs regardless of their domain would unbalance the
// fleet, and the planner would start the same VMs again some minutes later.
func TestSurplusStopsLeadToPlan(t *testing.T) {
	is := is.New(t)
	var offers []fleet.Offer
	var vms []fleet.VM
	for i, d := range []ident.FailureDomain{"a", "b", "c", "d"} {
		offers = append(offers, offer(d, "spot", 1+float64(i)/1000, true))
		for n := range 6 {
			vms = append(vms, fleet.VM{ID: fmt.Sprintf("%s%d", d, n), Pool: offers[i].Pool})
		}
	}
	p := fleet.New(fleet.DefaultLimits())
	target := fleet.Target{Runners: 12, SurviveLoss: true}
	stopped := map[string]bool{}
	for minute := range 30 {
		d := p.Decide(time.Duration(minute)*time.Minute, target, offers, vms)
		is.Equal(len(d.Starts), 0)
		for _, id := range d.Stops {
			stopped[id] = true
		}
		vms = slices.DeleteFunc(vms, func(v fleet.VM) bool { return stopped[v.ID] })
	}
	is.Equal(len(vms), 16)
	for _, o := range offers {
		is.Equal(remaining(vms, o.FailureDomain), 12)
	}
}

// An operator lowers the cost limit. The running VMs meet the target, but the limit takes
// precedence: the fleet must shrink to it.
func TestLoweredCostLimitShrinksFleet(t *testing.T) {
	is := is.New(t)
	p := fleet.New(fleet.DefaultLimits())
	offers := []fleet.Offer{offer("a", "spot", 1, true), offer("b", "spot", 1, true)}
	vms := applyStarts(p.Decide(0, fleet.Target{Runners: 8}, offers, nil), nil)
	target := fleet.Target{Runners: 8, MaxCostPerHour: 5}
	p.Decide(time.Minute, target, offers, vms)
	is.Equal(len(p.Decide(10*time.Minute, target, offers, vms).Stops), 3)
}

// Four starts refused in one round have one cause. If they counted as four refusals, the
// pool would not be used for minutes after it has VMs again.
func TestRefusalsOfOneRoundCountOnce(t *testing.T) {
	is := is.New(t)
	spot, onDemand := offer("a", "spot", 1, true), offer("a", "on-demand", 3, false)
	p := fleet.New(fleet.DefaultLimits())
	for range 4 {
		p.RecordRefusal(0, spot.Pool)
	}
	d := p.Decide(fleet.DefaultLimits().FirstBackoff, fleet.Target{Runners: 1}, []fleet.Offer{spot, onDemand}, nil)
	is.Equal(d.Starts[0].Pool, spot.Pool)
}

func BenchmarkDecide(b *testing.B) {
	const runners, domains = 10_000, 8
	var offers []fleet.Offer
	for i := range domains {
		d := ident.FailureDomain(fmt.Sprintf("fd%d", i))
		offers = append(offers, offer(d, "spot", 1+float64(i)/100, true), offer(d, "on-demand", 3, false))
	}
	target := fleet.Target{Runners: runners, SurviveLoss: true}
	vms := applyStarts(fleet.New(fleet.DefaultLimits()).Decide(0, target, offers, nil), nil)
	p := fleet.New(fleet.DefaultLimits())
	for b.Loop() {
		p.Decide(time.Second, target, offers, vms)
	}
}

// A fleet is twice as large as needed and evenly spread over domains with equal prices. The
// surplus may be stopped, but starting VMs in the failure domain that the plan would fill
// first would only add cost.
func TestSurplusAloneCausesNoMoves(t *testing.T) {
	is := is.New(t)
	var offers []fleet.Offer
	var vms []fleet.VM
	for _, domain := range []ident.FailureDomain{"a", "b", "c", "d"} {
		offers = append(offers, offer(domain, "on-demand", 1, false))
		for i := range 5 {
			vms = append(vms, fleet.VM{ID: fmt.Sprint(domain, i), Pool: fleet.Pool{FailureDomain: domain, Class: "on-demand"}})
		}
	}
	limits := fleet.DefaultLimits()
	limits.SurplusHold = 0
	p := fleet.New(limits)
	target := fleet.Target{Runners: 10, MaxPerDomain: 10}
	for range 2 {
		d := p.Decide(time.Second, target, offers, vms)
		is.Equal(len(d.Starts), 0)
		is.Equal(len(d.Stops), 10)
	}
}

// Reclaimable VMs run out in all failure domains and every start is refused, so every pool
// is in backoff. Then reclaimable VMs are available again. After ResetBackoff the planner
// must use the reclaimable pools at once instead of starting on-demand VMs until the end
// of each backoff.
func TestResetBackoffAllowsAllPools(t *testing.T) {
	is := is.New(t)
	offers := []fleet.Offer{offer("a", "spot", 0.2, true), offer("b", "spot", 0.2, true), offer("a", "on-demand", 1, false)}
	p := fleet.New(fleet.DefaultLimits())
	for _, domain := range []ident.FailureDomain{"a", "b"} {
		p.RecordRefusal(0, fleet.Pool{FailureDomain: domain, Class: "spot"})
	}
	target := fleet.Target{Runners: 2}
	for _, s := range p.Decide(time.Second, target, offers, nil).Starts {
		is.Equal(s.Pool.Class, "on-demand")
	}
	p.ResetBackoff()
	for _, s := range p.Decide(time.Second, target, offers, nil).Starts {
		is.Equal(s.Pool.Class, "spot")
	}
}

// Guards against runners that are ordered far from the callers to save less than their traffic costs.
func TestRunnersElsewhereMustSaveMoreThanTheirTraffic(t *testing.T) {
	is := is.New(t)
	for price, elsewhere := range map[float64]int{0.95: 0, 0.85: 4} {
		home, other := offer("a", "on-demand", 1, false), offer("b", "on-demand", price, false)
		home.LocalVMs, home.TrafficPrice = 4, 0.1
		other.LocalVMs, other.TrafficPrice = 1, 0.1
		d := fleet.New(fleet.DefaultLimits()).Decide(0, fleet.Target{Runners: 5}, []fleet.Offer{home, other}, nil)
		n := 0
		for _, s := range d.Starts {
			if s.Pool.FailureDomain == "b" {
				n++
			}
		}
		is.Equal(len(d.Starts), 5)
		is.Equal(n, 1+elsewhere) // b's own callers need one
	}
}
