// Package actions measures the cost of at-most-once actions: calls of the key-value
// service, added latency, service during an outage, and the share of actions with an
// unknown outcome after a crash. The real action owners run in virtual time against a
// model of the key-value service, so equal seeds give equal figures.
package actions

import (
	"context"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/bench"
)

// Experiment implements bench.Experiment.
type Experiment struct{}

// Name implements bench.Experiment.
func (Experiment) Name() string { return "actions" }

// Synopsis implements bench.Experiment.
func (Experiment) Synopsis() string {
	return "cost, latency, outage service and truth of at-most-once actions, against a record per action"
}

const (
	gateways = 5
	// writeLatencyMin and writeLatencyMax bound the latency of a write to the unloaded
	// key-value service.
	writeLatencyMin = 2 * time.Millisecond
	writeLatencyMax = 6 * time.Millisecond
	// serviceRate is the number of writes per second that the service can handle.
	serviceRate = 400
	// storeTimeout is the timeout of a call to the service.
	storeTimeout = time.Second
	runnerTime   = 5 * time.Millisecond
	// duplicateShare is the fraction of actions that are sent twice.
	duplicateShare = 0.1
	// tokenAge is how long callers use a token before they get a new one.
	tokenAge = 5 * time.Second
	// callerTries is how often a caller tries an action, following the advice of
	// refusals.
	callerTries = 4

	steadyWarmUp   = 10 * time.Second
	outageWarmUp   = 30 * time.Second
	outageTime     = 10 * time.Minute
	outageRate     = 100
	crashWarmUp    = 12 * time.Second
	crashes        = 20
	crashLookBack  = 10 * time.Second
	measuredSample = 30 * time.Second
)

// rates lists the actions per second over all gateways. Names of figures at the last
// rate have no suffix.
var rates = []float64{1, 100, 2000}

// arm is one configuration that runs actions at most once.
type arm struct {
	name string
	// perAction writes a record per action instead of a journal.
	perAction bool
	// writesPerSecond is an owner's write budget; zero means the default. Arms that
	// set it are measured at the last rate only.
	writesPerSecond float64
	// lifetime is the lifetime of tokens; zero means the default.
	lifetime time.Duration
}

func arms() []arm {
	return []arm{
		{name: "policy"},
		{name: "record_per_action", perAction: true},
		{name: "policy_budget_10", writesPerSecond: 10},
		{name: "policy_budget_60", writesPerSecond: 60},
	}
}

// Run implements bench.Experiment.
func (Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	report := bench.Report{Experiment: "actions", Seeds: o.Seeds, Notes: notes()}
	for _, a := range arms() {
		if !o.Wants(a.name) {
			continue
		}
		sums := map[string]*mean{}
		for _, seed := range o.Seeds {
			if err := ctx.Err(); err != nil {
				return report, fmt.Errorf("actions: %w", err)
			}
			fmt.Fprintf(o.Progress, "actions: %s, seed %d\n", a.name, seed)
			measure(a, seed, sums)
		}
		report.Arms = append(report.Arms, bench.Arm{Name: a.name, Figures: means(sums)})
	}
	return report, nil
}

// mean averages a figure over the seeds. Counts of violations are summed instead.
type mean struct {
	sum, n float64
	total  bool
}

func means(sums map[string]*mean) map[string]float64 {
	figures := map[string]float64{}
	for name, m := range sums {
		figures[name] = m.sum
		if !m.total {
			figures[name] /= m.n
		}
	}
	return figures
}

func put(sums map[string]*mean, name string, v float64, total bool) {
	m := sums[name]
	if m == nil {
		m = &mean{total: total}
		sums[name] = m
	}
	m.sum += v
	m.n++
}

func measure(a arm, seed uint64, sums map[string]*mean) {
	last := len(rates) - 1
	steady(a, seed, rates[last], "", sums)
	if a.writesPerSecond > 0 {
		return
	}
	for _, rate := range rates[:last] {
		suffix := fmt.Sprintf("_%g", rate)
		steady(a, seed, rate, suffix, sums)
		crash(a, seed, rate, suffix, sums)
	}
	crash(a, seed, rates[last], "", sums)
	outage(a, seed, sums)
}

// steady measures cost and latency in the steady state, when entries are collected as
// fast as they are written.
func steady(a arm, seed uint64, rate float64, suffix string, sums map[string]*mean) {
	r := newRun(a, seed)
	length := r.retention() + steadyWarmUp
	sample := max(measuredSample, time.Duration(float64(minSample)/rate*float64(time.Second)))
	r.offer(rate, 0, length+sample)
	r.runUntil(length)
	r.startSample()
	r.runUntil(length + sample)
	calls := r.service.calls
	r.finish()
	put(sums, "kv_calls_per_action"+suffix, float64(calls)/float64(r.offered), false)
	p50, p99 := r.latency()
	put(sums, "added_latency_p50_seconds"+suffix, p50, false)
	put(sums, "added_latency_p99_seconds"+suffix, p99, false)
	put(sums, "served_ratio"+suffix, r.servedRatio(), false)
	r.putViolations(sums)
}

// minSample is the minimum number of actions that a figure is based on.
const minSample = 200

// outage measures the share of actions that are served while the key-value service is
// down.
func outage(a arm, seed uint64, sums map[string]*mean) {
	r := newRun(a, seed)
	r.service.down = [2]time.Duration{outageWarmUp, outageWarmUp + outageTime}
	r.offer(outageRate, 0, outageWarmUp+outageTime)
	r.runUntil(outageWarmUp)
	r.startSample()
	r.runUntil(outageWarmUp + outageTime)
	r.finish()
	put(sums, "served_in_outage_ratio", r.servedRatio(), false)
	put(sums, "served_in_outage_first_try_ratio", float64(r.servedFirst)/float64(r.offered), false)
	_, p99 := r.latency()
	put(sums, "added_latency_p99_seconds_outage", p99, false)
	r.putViolations(sums)
}

// crash measures the outcomes that are unknown from the sealed logs after an owner's
// crash.
func crash(a arm, seed uint64, rate float64, suffix string, sums map[string]*mean) {
	var total verdicts
	for n := range uint64(crashes) {
		r := newRun(a, seed*crashes+n)
		// Writes are periodic. A random time avoids a crash at the same phase in each
		// run.
		at := crashWarmUp + time.Duration(r.rng.Int64N(int64(time.Second)))
		r.offer(rate, 0, at)
		r.runUntil(at)
		total.add(r.crashOwner(0, crashLookBack))
		r.putViolations(sums)
	}
	if total.open > 0 {
		put(sums, "unknown_after_crash_ratio"+suffix, float64(total.openUnknown)/float64(total.open), false)
	}
	if total.recent > 0 {
		put(sums, "unknown_of_last_10s_ratio"+suffix, float64(total.recentUnknown)/float64(total.recent), false)
	}
}

func notes() []string {
	return []string{
		fmt.Sprintf("virtual time; %d gateways, each the owner of the keys it gives out; %.0f%% of the actions are sent twice; a runner takes %s", gateways, 100*duplicateShare, runnerTime),
		fmt.Sprintf("key-value service: %s to %s a call, %d writes a second, calls behind a full queue time out after %s; reads don't occur", writeLatencyMin, writeLatencyMax, serviceRate, storeTimeout),
		"figures without suffix are at 2000 actions a second over all gateways, _1 and _100 at fewer; deletions of old entries count as calls",
		"a record per action takes one call before the dispatch and one for the outcome; its removal is left to a lease and not counted",
		"added latency: from the gateway's receipt to the dispatch, of the actions that were dispatched",
		fmt.Sprintf("served_in_outage: %d actions a second over %s on a route whose policy is run; a caller that is refused follows the refusal's advice up to %d times with a fresh token; callers keep a token for %s", outageRate, outageTime, callerTries, tokenAge),
		fmt.Sprintf("unknown_after_crash: of the actions that callers waited for when one of the %d owners crashed, over %d crashes a seed; unknown_of_last_10s: of all it received in the last 10 s", gateways, crashes),
		"run_twice and false_not_executed are counts over all runs of the arm",
	}
}
