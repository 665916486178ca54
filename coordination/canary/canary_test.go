package canary_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/canary"
)

var seeds = flag.Uint64("seeds", 12, "orders played of each kind")

// rollbackTime is how long a bad version may still get requests after its fiftieth bad answer.
const rollbackTime = 5 * time.Second

var badVersions = map[string]version{
	"fails all":        {failureRate: 1},
	"fails half":       {failureRate: 0.5},
	"fails 30%":        {failureRate: 0.3},
	"fails lookups":    {failureRate: 0.5, route: "lookup"},
	"fails pledges":    {failureRate: 0.5, route: "pledge"},
	"slow all x4":      {slowFraction: 1, slowFactor: 4},
	"slow half x5":     {slowFraction: 0.5, slowFactor: 5},
	"slow lookups x4":  {slowFraction: 1, slowFactor: 4, route: "lookup"},
	"fails from 5 s":   {failureRate: 0.4, badFrom: 5 * time.Second},
	"slow from 6 s":    {slowFraction: 1, slowFactor: 4, badFrom: 6 * time.Second},
	"fails under load": {failureRate: 0.6, minInFlight: 3},
	"slow under load":  {slowFraction: 1, slowFactor: 5, minInFlight: 3},
}

// withinBounds reports whether a bad version got at most exposureShare of all requests plus
// exposureSlack, got none later than rollbackTime after its fiftieth failed answer, and whether the
// verdict stayed final.
func (p *simulation) withinBounds() bool {
	return float64(p.newVersionRequests) <= exposureShare*float64(p.totalRequests)+exposureSlack &&
		(p.fiftiethFailureAt == 0 || p.lastNewVersionRequestAt <= p.fiftiethFailureAt+rollbackTime) && !p.verdictChanged
}

// Guards against a bad version that is promoted, or that gets more requests than the
// bound allows before it is found to be bad. Each case is bad in a different way.
func TestBadVersionsAreRolledBack(t *testing.T) {
	for name, v := range badVersions {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range *seeds {
				p := newSimulation(seed)
				p.newVersion = v
				p.run()
				is.Equal(p.record.State, canary.RolledBack)
				is.True(p.withinBounds())
				is.Equal(p.refused, 0)
			}
		})
	}
}

// Guards against a good version that is rolled back by chance, and against requests that are
// interrupted or refused when the old runners are stopped.
func TestGoodVersionsAreCompleted(t *testing.T) {
	is := is.New(t)
	for seed := range *seeds {
		p := newSimulation(seed).run()
		is.Equal(p.record.State, canary.Completed)
		is.Equal(p.interruptedRequests+p.refused, 0)
		is.True(p.completedAt < p.orderDuration)
	}
}

// Guards against exposure beyond the bound, late requests to the new version and verdicts that
// change, when messages are lost, daemons restart, and a former holder goes on for a while after
// a new one has taken over.
func TestExposureHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimulation(rapid.Uint64().Draw(t, "seed"))
		p.daemons = rapid.IntRange(1, 60).Draw(t, "daemons")
		p.messageLoss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		p.daemonRestartRate = rapid.Float64Range(0, 0.5).Draw(t, "ends")
		p.bootTime = time.Duration(rapid.IntRange(0, 60).Draw(t, "boot")) * 100 * time.Millisecond
		p.newRunners = rapid.IntRange(1, 6).Draw(t, "runners")
		for at := time.Duration(0); len(p.holderReplacementTimes) < rapid.IntRange(0, 3).Draw(t, "holders"); {
			at += time.Duration(rapid.IntRange(5, 40).Draw(t, "tenure")) * 100 * time.Millisecond
			p.holderReplacementTimes = append(p.holderReplacementTimes, at)
		}
		p.newVersion = version{failureRate: rapid.Float64Range(0.3, 1).Draw(t, "fails"), badFrom: time.Duration(rapid.IntRange(0, 4).Draw(t, "from")) * time.Second}
		p.run()
		if !p.withinBounds() {
			t.Fatalf("%d of %d requests exposed, %d bad answers, fiftieth at %v, last request at %v, verdict changed: %v", p.newVersionRequests, p.totalRequests, p.newVersionFailures, p.fiftiethFailureAt, p.lastNewVersionRequestAt, p.verdictChanged)
		}
		if p.record.State != canary.RolledBack {
			t.Fatalf("state of the bad version is %s, want rolled_back", p.record.State)
		}
	})
}

// Guards against a CUSUM that detects bad versions so late that more requests go to them than with
// fixedSteps, a Comparison that judges batches of a fixed number of answers.
func TestCUSUMExposesLessThanFixedSteps(t *testing.T) {
	is := is.New(t)
	newVersionRequests := func(compare func() canary.Comparison) (sum int) {
		for _, v := range badVersions {
			for seed := range *seeds {
				p := newSimulation(seed)
				p.newVersion, p.compare = v, compare
				sum += p.run().newVersionRequests
			}
		}
		return sum
	}
	sums := newVersionRequests(func() canary.Comparison { return canary.NewCUSUM() })
	short := newVersionRequests(func() canary.Comparison { return newSteps(15) })
	long := newVersionRequests(func() canary.Comparison { return newSteps(30) })
	t.Logf("requests exposed to bad versions: CUSUM %d, fixed steps of 15 %d, fixed steps of 30 %d", sums, short, long)
	is.True(sums < short)
	is.True(short < long)
}

// Guards against requests to the target of an earlier order after another order was placed.
func TestFormerTargetsAreAvoided(t *testing.T) {
	is := is.New(t)
	first := canary.Record{Service: "app", Target: "v2", Order: 3, State: canary.Running}
	second := canary.Order{Service: "app", Target: "v3", Duration: time.Second, Revision: 9}
	g := canary.NewGate(second)
	g.SetRecord(0, first)
	is.True(g.Avoids("v2") && g.Avoids("v3") && !g.Avoids("v1"))
	h := canary.NewHolder(canary.Bounds{}, second, first, "me", 0)
	g.SetRecord(0, h.Record())
	is.True(g.Avoids("v2") && g.Avoids("v3") && !g.Avoids("v1"))
	again := canary.NewHolder(canary.Bounds{}, canary.Order{Service: "app", Target: "v2", Revision: 12}, h.Record(), "me", 0)
	is.Equal(again.Record().Avoid, []canary.Version{"v3"})
	first.State = canary.Completed
	is.Equal(len(canary.NewHolder(canary.Bounds{}, second, first, "me", 0).Record().Avoid), 0)
}

// Guards against an allowance that arrives late or answers a report that the daemon has
// replaced. The holder may have granted that part of the budget to other daemons by then.
func TestLateAllowancesAreVoid(t *testing.T) {
	is := is.New(t)
	g := canary.NewGate(canary.Order{Service: "app", Target: "v2", Revision: 1})
	first := g.Report(0, 0)
	g.Report(time.Second/4, 0)
	g.SetAllowance(canary.Allowance{Order: 1, Ask: first.Ask, Ceiling: 5, Share: 1, Runners: 1})
	is.Equal(g.PlaceRequest(time.Second/4, "r", 0), canary.OldOnly)
	third := g.Report(time.Second/2, 0)
	g.SetAllowance(canary.Allowance{Order: 1, Ask: third.Ask, Ceiling: 1, Share: 1, Runners: 1})
	is.Equal(g.PlaceRequest(2*time.Second, "r", 0), canary.OldOnly)
	is.Equal(g.PlaceRequest(time.Second, "r", 0), canary.Trial)
	is.Equal(g.PlaceRequest(time.Second, "r", 0), canary.OldOnly)
}
