// Package reclaim measures the cost of waves of reclaims under the project's policy
// and under simpler ones, in virtual time. Every arm gets the same requests, engines,
// notices and faults.
package reclaim

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"geraniumstack.org/geraniumstack/bench"
	planner "geraniumstack.org/geraniumstack/coordination/reclaim"
)

// Experiment is the bench experiment "reclaim".
type Experiment struct{}

var _ bench.Experiment = Experiment{}

// Name implements bench.Experiment.
func (Experiment) Name() string { return "reclaim" }

// Synopsis implements bench.Experiment.
func (Experiment) Synopsis() string {
	return "waves of reclaims with 30 s of notice: recomputed tokens, cost, latency and losses"
}

// workers limits concurrent runs, because other processes may use the machine.
const workers = 3

type arm struct {
	name   string
	policy func(*simulation) policy
}

var arms = []arm{
	{"policy", func(w *simulation) policy { return newDaemonPolicy(w, false, false) }},
	{"restart", func(w *simulation) policy { return &baseline{w: w} }},
	{"resume", func(w *simulation) policy { return &baseline{w: w, resume: true, leastLoaded: true} }},
	{"no_prefix", func(w *simulation) policy { return newDaemonPolicy(w, true, false) }},
	{"no_risk", func(w *simulation) policy { return newDaemonPolicy(w, false, true) }},
}

// Run implements bench.Experiment. Each seed gives one wave per round, and figures
// aggregate all waves. Names of figures of the scenarios "half" (every second runner
// is reclaimed) and "second" (a second domain follows 8 s later) end in the scenario's
// name.
func (Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	report := bench.Report{Experiment: "reclaim", Seeds: o.Seeds, Notes: notes()}
	for _, a := range arms {
		if !o.Wants(a.name) {
			continue
		}
		figures := map[string]float64{}
		for _, s := range scenarios {
			st, err := runScenario(ctx, o, a, s, requestsPerSecond)
			if err != nil {
				return bench.Report{}, err
			}
			st.figures(figures, s.name)
			fmt.Fprintf(o.Progress, "reclaim: %s, %s: %d waves\n", a.name, s.name, st.waves)
		}
		if err := costAtTarget(ctx, o, a, figures); err != nil {
			return bench.Report{}, err
		}
		report.Arms = append(report.Arms, bench.Arm{Name: a.name, Figures: figures})
	}
	return report, nil
}

func notes() []string {
	return []string{
		fmt.Sprintf("Virtual time; %d runners in %d failure domains, %.0f requests a second for %v, notice of %v at %v, cold replacements at %v.",
			domains*runnersPerDomain, domains, requestsPerSecond, arrivalsEnd, notice, noticeAt, replacedAt),
		"recomputed_tokens is the mean of a wave; lost_accepted is the sum over all waves.",
		fmt.Sprintf("cost_per_million_tokens is the fleet's price until the arrivals end by the tokens of answers within their target, at requests_per_second_at_target: the highest rate of requests at which the whole run, wave included, meets the targets (p95 first token %v urgent, %v long; p95 between tokens %v and %v; nothing lost), over at most %d seeds.",
			classes[0].first, classes[2].first, classes[0].between, classes[2].between, costSeeds),
		"resume sees loads without a lag and takes streams off 2 s before their runner goes; restart begins anew when it is gone.",
		fmt.Sprintf("One runner of the wave dies half way through its notice in %.0f%% of the waves, %.0f%% of transfers fail.", earlyDeathShare*100, exportFailures*100),
	}
}

func runScenario(ctx context.Context, o bench.Options, a arm, s scenario, perSecond float64) (*stats, error) {
	total := newStats()
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(min(workers, runtime.GOMAXPROCS(0)))
	for _, seed := range o.Seeds {
		for round := range max(o.Rounds, 1) {
			g.Go(func() error {
				if err := ctx.Err(); err != nil {
					return fmt.Errorf("reclaim: %w", err)
				}
				st := newStats()
				newSimulation(newWave(seed+uint64(round)<<32, perSecond), s, a, st).runAll()
				mu.Lock()
				total.merge(st)
				mu.Unlock()
				return nil
			})
		}
	}
	return total, g.Wait()
}

// stats aggregates the results of waves.
type stats struct {
	waves       int
	recomputed  float64
	lost        int
	refused     int
	cost        float64
	tokens      float64
	decisions   map[planner.Kind]int
	first, gaps map[bool]*hdrhistogram.Histogram // by urgent
	longest     map[bool]*hdrhistogram.Histogram
}

func newStats() *stats {
	st := &stats{
		decisions: map[planner.Kind]int{},
		first:     map[bool]*hdrhistogram.Histogram{},
		gaps:      map[bool]*hdrhistogram.Histogram{},
		longest:   map[bool]*hdrhistogram.Histogram{},
	}
	for _, urgent := range []bool{true, false} {
		st.first[urgent] = newHistogram()
		st.gaps[urgent] = newHistogram()
		st.longest[urgent] = newHistogram()
	}
	return st
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, runLimit.Microseconds(), 3)
}

// record adds a duration, limited to the length of a run.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(min(d, runLimit).Microseconds(), 1))
}

func (s *stats) planned(k planner.Kind) { s.decisions[k]++ }

func (s *stats) gap(j *job, now time.Duration) {
	if j.emitted > 1 {
		record(s.gaps[j.class.urgent], now-j.last)
	}
}

func (s *stats) collect(w *simulation) {
	s.waves++
	for _, j := range w.jobs {
		s.recomputed += float64(j.recomputed)
		if !j.done {
			s.countLost(j)
			continue
		}
		record(s.first[j.class.urgent], j.first)
		if j.moved {
			record(s.longest[j.class.urgent], j.longest)
		}
		if j.first <= j.class.first && meanGap(j) <= j.class.between {
			s.tokens += float64(j.output)
		}
	}
	for _, r := range w.runners {
		s.cost += w.vmCost(r)
	}
}

func (s *stats) countLost(j *job) {
	if j.class.urgent {
		s.refused++
		return
	}
	s.lost++
}

func meanGap(j *job) time.Duration {
	if j.output < 2 {
		return 0
	}
	return (j.end - j.at - j.first) / time.Duration(j.output-1)
}

// vmCost is the price of a VM for the time that it runs, up to the end of arrivals.
func (w *simulation) vmCost(r *runner) float64 {
	from, to := time.Duration(0), arrivalsEnd
	if r.endsAt > 0 {
		to = min(r.endsAt, arrivalsEnd)
	}
	if r.cold {
		from = min(replacedAt, arrivalsEnd)
	}
	return r.PricePerHour * (to - from).Hours()
}

func (s *stats) merge(o *stats) {
	s.waves += o.waves
	s.recomputed += o.recomputed
	s.lost += o.lost
	s.refused += o.refused
	s.cost += o.cost
	s.tokens += o.tokens
	for k, n := range o.decisions {
		s.decisions[k] += n
	}
	for _, urgent := range []bool{true, false} {
		s.first[urgent].Merge(o.first[urgent])
		s.gaps[urgent].Merge(o.gaps[urgent])
		s.longest[urgent].Merge(o.longest[urgent])
	}
}

func (s *stats) figures(into map[string]float64, scenario string) {
	suffix := ""
	if scenario != scenarios[0].name {
		suffix = "_" + scenario
	}
	waves := float64(max(s.waves, 1))
	set := func(name string, v float64) { into[name+suffix] = v }
	set("recomputed_tokens", s.recomputed/waves)
	set("lost_accepted", float64(s.lost))
	set("refused_urgent", float64(s.refused))
	set("ttft_p95_seconds", p95(s.first[true]))
	set("ttft_p95_seconds_long", p95(s.first[false]))
	set("tbt_p95_seconds", p95(s.gaps[true]))
	set("tbt_p95_seconds_long", p95(s.gaps[false]))
	set("max_gap_p95_seconds", p95(s.longest[true]))
	set("max_gap_p95_seconds_long", p95(s.longest[false]))
	for k, n := range s.decisions {
		set("planned_"+string(k), float64(n)/waves)
	}
}

func p95(h *hdrhistogram.Histogram) float64 {
	return (time.Duration(h.ValueAtPercentile(95)) * time.Microsecond).Seconds()
}
