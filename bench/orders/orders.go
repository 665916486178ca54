// Package orders measures the guard that keeps the orders of two holders of one
// responsibility apart before runners that don't check fencing tokens: seeded
// pauses of the holder up to the guard's stated bound, in virtual time.
package orders

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/coordination/lease"
)

// pauses of each arm, shared among the seeds.
const pauses = 10_000

// Arms of the experiment.
const (
	armPolicy       = "policy"
	armNoQuarantine = "no_quarantine"
	armNoMargin     = "no_lease_margin"
)

// forever is a lease that no holder's own clock sees the end of.
const forever = 1000 * time.Hour

// arm is a guard, whole or with a part left out.
type arm struct {
	name string
	// timing is what the candidates go by.
	timing lease.Timing
	// skipQuarantine lets a new holder order at once.
	skipQuarantine bool
}

func arms() []arm {
	noMargin := lease.DefaultTiming()
	noMargin.TTL = forever
	return []arm{
		{name: armPolicy, timing: lease.DefaultTiming()},
		{name: armNoQuarantine, timing: lease.DefaultTiming(), skipQuarantine: true},
		{name: armNoMargin, timing: noMargin},
	}
}

// Experiment implements bench.Experiment.
type Experiment struct{}

// Name of the experiment.
func (Experiment) Name() string { return "orders" }

// Synopsis for the command's help.
func (Experiment) Synopsis() string {
	return "orders by stale holders accepted by runners that don't check fencing tokens"
}

// Run plays every pause once for each arm.
func (Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	report := bench.Report{
		Experiment: "orders", Seeds: o.Seeds,
		Notes: []string{fmt.Sprintf("%d pauses of up to %v, half with the holder cut off from the key-value service; %d candidates, clocks up to %g %% apart, orders of up to %v, virtual time",
			pauses, lease.DefaultTiming().MaxPause, candidates, 100*lease.DefaultTiming().Drift, lease.DefaultTiming().MaxOrderLatency)},
	}
	for _, a := range arms() {
		if !o.Wants(a.name) {
			continue
		}
		t, err := play(ctx, a, o.Seeds, pauses)
		if err != nil {
			return report, err
		}
		fmt.Fprintf(o.Progress, "orders: %s done\n", a.name)
		report.Arms = append(report.Arms, bench.Arm{Name: a.name, Figures: t.figures()})
	}
	return report, nil
}

func play(ctx context.Context, a arm, seeds []uint64, pauses int) (*totals, error) {
	t := &totals{}
	for i := range pauses {
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("orders: %w", err)
		}
		e := newEpisode(a, seeds[i%len(seeds)], uint64(i))
		e.run()
		t.add(e)
	}
	return t, nil
}

type totals struct {
	stale, orders, calls int
	took                 time.Duration
	takeovers            []time.Duration
}

func (t *totals) add(e *episode) {
	t.stale += e.staleAccepted()
	t.orders += len(e.orders)
	t.calls += e.service.calls
	t.took += e.now
	if d, ok := e.takeover(); ok {
		t.takeovers = append(t.takeovers, d)
	}
}

func (t *totals) figures() map[string]float64 {
	f := map[string]float64{
		"stale_orders_accepted":                  float64(t.stale),
		"orders":                                 float64(t.orders),
		"takeovers":                              float64(len(t.takeovers)),
		"kv_calls_per_second_per_responsibility": float64(t.calls) / t.took.Seconds(),
	}
	if len(t.takeovers) > 0 {
		slices.Sort(t.takeovers)
		f["takeover_seconds_p95"] = t.takeovers[len(t.takeovers)*95/100].Seconds()
	}
	return f
}
