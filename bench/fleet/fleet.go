// Package fleet measures fleet planning on prices, reclaim waves and refused
// starts made by a seeded generator, in virtual time.
package fleet

import (
	"context"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/coordination/fleet"
)

const (
	step    = 10 * time.Second
	length  = 24 * time.Hour
	warmUp  = 10 * time.Minute
	runners = 12
)

// Arms of the experiment.
const (
	armPolicy   = "policy"
	armOnDemand = "all_on_demand"
	armCheapest = "cheapest_first"
	armNoSpare  = "no_spare"
)

// Experiment implements bench.Experiment.
type Experiment struct{}

// Name of the experiment.
func (Experiment) Name() string { return "fleet" }

// Synopsis for the command's help.
func (Experiment) Synopsis() string {
	return "cost of a fleet that holds its target against all on-demand and cheapest first"
}

// arm decides on one step of one run.
type arm interface {
	decide(now time.Duration, m *market) fleet.Decision
	refused(now time.Duration, p fleet.Pool)
	waves(now time.Duration, list []wave, m *market)
}

// Run plays each seed's day once for each arm.
func (Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	report := bench.Report{
		Experiment: "fleet", Seeds: o.Seeds,
		Notes: []string{fmt.Sprintf("%d runners wanted, 4 failure domains, %v in steps of %v, virtual time", runners, length, step)},
	}
	for _, name := range []string{armPolicy, armOnDemand, armCheapest, armNoSpare} {
		if !o.Wants(name) {
			continue
		}
		var sum totals
		for _, seed := range o.Seeds {
			if err := ctx.Err(); err != nil {
				return report, fmt.Errorf("fleet: %w", err)
			}
			sum.add(play(seed, newArm(name)))
		}
		fmt.Fprintf(o.Progress, "fleet: %s done\n", name)
		report.Arms = append(report.Arms, bench.Arm{Name: name, Figures: sum.figures()})
	}
	compare(report.Arms)
	return report, nil
}

// compare adds each arm's cost as a share of all on-demand's, if that was run.
func compare(arms []bench.Arm) {
	for _, base := range arms {
		if base.Name != armOnDemand {
			continue
		}
		for _, a := range arms {
			a.Figures["cost_ratio_to_on_demand"] = a.Figures["cost_per_hour"] / base.Figures["cost_per_hour"]
		}
	}
}

type totals struct {
	steps, met, spare, starts, stops int
	shortest                         int
	cost                             float64
	runs                             int
}

func (t *totals) add(o totals) {
	t.steps += o.steps
	t.met += o.met
	t.spare += o.spare
	t.starts += o.starts
	t.stops += o.stops
	t.cost += o.cost
	t.shortest += o.shortest
	t.runs++
}

func (t *totals) figures() map[string]float64 {
	return map[string]float64{
		"cost_per_hour":           t.cost / (float64(t.runs) * length.Hours()),
		"target_met_ratio":        float64(t.met) / float64(t.steps),
		"survives_loss_ratio":     float64(t.spare) / float64(t.steps),
		"fewest_runners_mean":     float64(t.shortest) / float64(t.runs),
		"starts_per_day":          float64(t.starts) / float64(t.runs),
		"voluntary_stops_per_day": float64(t.stops) / float64(t.runs),
	}
}

func play(seed uint64, a arm) totals {
	m := newMarket(seed)
	t := totals{shortest: runners}
	for now := time.Duration(0); now < length; now += step {
		a.waves(now, m.advance(now, step), m)
		t.apply(now, m, a, a.decide(now, m))
		if now >= warmUp {
			t.observe(m.serving(now))
		}
	}
	t.cost = m.spent
	return t
}

func (t *totals) apply(now time.Duration, m *market, a arm, d fleet.Decision) {
	for _, s := range d.Starts {
		if !m.start(now, s.Pool) {
			a.refused(now, s.Pool)
			continue
		}
		t.starts++
	}
	for _, id := range d.Stops {
		m.stop(now, id)
		t.stops++
	}
}

func (t *totals) observe(total, most int) {
	t.steps++
	if total >= runners {
		t.met++
	}
	if total-most >= runners {
		t.spare++
	}
	t.shortest = min(t.shortest, total)
}
