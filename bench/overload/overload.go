// Package overload measures what callers get when the load exceeds the capacity of the
// runners: goodput of urgent requests, fairness between workspaces, and refusals.
// Gateways use the real admission, routing and polling code against the core of the
// stand-in engine in virtual time, so equal seeds give equal figures.
package overload

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/coordination/polling"
)

// Experiment implements bench.Experiment.
type Experiment struct{}

// Name implements bench.Experiment.
func (Experiment) Name() string { return "overload" }

// Synopsis implements bench.Experiment.
func (Experiment) Synopsis() string {
	return "urgent goodput, fairness and refusals at 1x, 2x and 5x of the capacity"
}

// multiples lists the offered loads as multiples of the capacity. Names of figures of
// the last one have no suffix.
var multiples = []float64{1, 2, 5}

// Run implements bench.Experiment.
func (Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	report := bench.Report{Experiment: "overload", Seeds: o.Seeds, Notes: notes()}
	for _, a := range arms() {
		if !o.Wants(a.name) {
			continue
		}
		sums := map[string]*mean{}
		for _, seed := range o.Seeds {
			if err := ctx.Err(); err != nil {
				return report, fmt.Errorf("overload: %w", err)
			}
			fmt.Fprintf(o.Progress, "overload: %s, seed %d\n", a.name, seed)
			for i, multiple := range multiples {
				add(sums, runArm(a, seed, multiple, wholeSpan), suffix(i))
			}
		}
		figures := map[string]float64{}
		for name, m := range sums {
			figures[name] = m.sum / m.n
		}
		report.Arms = append(report.Arms, bench.Arm{Name: a.name, Figures: figures})
	}
	return report, nil
}

func suffix(i int) string {
	if i == len(multiples)-1 {
		return ""
	}
	return fmt.Sprintf("_%gx", multiples[i])
}

type mean struct{ sum, n float64 }

func add(sums map[string]*mean, figures map[string]float64, suffix string) {
	for name, v := range figures {
		m := sums[name+suffix]
		if m == nil {
			m = &mean{}
			sums[name+suffix] = m
		}
		m.sum += v
		m.n++
	}
}

func notes() []string {
	return []string{
		fmt.Sprintf("virtual time; %d stand-in engines (batch %d, %d prompt tokens/s, %s a step), %d gateways; load reports at most every %s", engines, batch, prefillRate, step, gateways, polling.Default().Interval),
		"read_bytes_per_second: of one gateway for load reports and cache events, over load and drain",
		fmt.Sprintf("load for %s after %s of warm-up; 1x is %.1f requests/s, worked out with nothing cached", wholeSpan.load-wholeSpan.warmUp, wholeSpan.warmUp, capacity()),
		"figures without suffix are at 5x; urgent work at 5x takes 0.42 of the capacity",
		"urgent_goodput_ratio: urgent requests answered in full with the first token and the mean between tokens within their targets, of all offered",
		"fairness_index: Jain's index of the engine time each workspace got, over its max-min fair share by weight and demand",
		"refusal_cost: mean seconds until a refused caller was told",
	}
}

// runArm runs one arm under one load and returns its figures.
func runArm(a arm, seed uint64, multiple float64, s span) map[string]float64 {
	all := arrivals(seed, multiple, s.load)
	r := newRun(a, seed, all)
	r.runUntil(s.end())
	measured := slices.DeleteFunc(all, func(q *request) bool { return q.at.Before(s.from()) })
	figures := map[string]float64{
		"read_bytes_per_second":    r.readBytes() / (s.load + s.drain).Seconds(),
		"useful_work_ratio":        usefulWork(measured, s.to()) / (s.load - s.warmUp).Seconds() / engines,
		"refused_ratio":            ratio(measured, func(q *request) bool { return !q.refused.IsZero() }),
		"cached_prompt_ratio":      cachedRatio(measured),
		"urgent_goodput_ratio":     goodput(measured, urgent),
		"review_goodput_ratio":     goodput(measured, review),
		"bulletin_completed_ratio": goodput(measured, bulletin),
		"small_urgent_goodput":     goodput(ofSmall(measured), urgent),
	}
	if index, ok := fairness(measured, s.to()); ok {
		figures["fairness_index"] = index
	}
	putQuantile(figures, "ttft_p95_seconds", measured, s, firstToken)
	putQuantile(figures, "tbt_p95_seconds", measured, s, betweenTokens)
	if cost, ok := refusalCost(measured); ok {
		figures["refusal_cost"] = cost
	}
	return figures
}

// readBytes is the mean number of bytes read per gateway.
func (r *run) readBytes() float64 {
	sum := 0
	for _, g := range r.gateways {
		sum += g.bytes
	}
	return float64(sum) / gateways
}

func ofSmall(all []*request) []*request {
	var small []*request
	for _, q := range all {
		if q.tenant != 0 {
			small = append(small, q)
		}
	}
	return small
}

func ofClass(all []*request, class string) []*request {
	var some []*request
	for _, q := range all {
		if q.kind.class == class {
			some = append(some, q)
		}
	}
	return some
}

func ratio(all []*request, is func(*request) bool) float64 {
	n := 0
	for _, q := range all {
		if is(q) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(all)))
}

func goodput(all []*request, class string) float64 {
	return ratio(ofClass(all, class), (*request).metTargets)
}

// metTargets reports whether the request was answered within the latency targets of
// its class. Deferrable requests only need an answer.
func (q *request) metTargets() bool {
	if q.done.IsZero() {
		return false
	}
	for _, c := range classes {
		if c.Name != q.kind.class {
			continue
		}
		if c.Deferrable {
			return true
		}
		ttft := time.Duration(c.TTFTMillis) * time.Millisecond
		tbt := time.Duration(c.TBTMillis) * time.Millisecond
		return firstToken(q) <= ttft && betweenTokens(q) <= tbt
	}
	return false
}

func firstToken(q *request) time.Duration { return q.first.Sub(q.at) + 2*oneWay }

func betweenTokens(q *request) time.Duration {
	if q.output < 2 {
		return 0
	}
	return q.done.Sub(q.first) / time.Duration(q.output-1)
}

// putQuantile adds the 95th percentile over urgent requests that were not refused. A
// request without a complete answer counts as the length of the whole run.
func putQuantile(figures map[string]float64, name string, all []*request, s span, value func(*request) time.Duration) {
	var values []float64
	for _, q := range ofClass(all, urgent) {
		switch {
		case !q.refused.IsZero():
		case q.done.IsZero():
			values = append(values, (s.load + s.drain).Seconds())
		default:
			values = append(values, value(q).Seconds())
		}
	}
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	figures[name] = values[len(values)*95/100]
}

func refusalCost(all []*request) (float64, bool) {
	sum, n := 0.0, 0.0
	for _, q := range all {
		if !q.refused.IsZero() {
			sum += q.refused.Sub(q.at).Seconds()
			n++
		}
	}
	return sum / max(1, n), n > 0
}

func cachedRatio(all []*request) float64 {
	cached, prompt := 0, 0
	for _, q := range all {
		if !q.first.IsZero() {
			cached += q.cached
			prompt += q.promptTokens()
		}
	}
	return float64(cached) / float64(max(1, prompt))
}

// work is the engine time that a request took, in seconds.
func (q *request) work() float64 {
	return float64(q.tokens)/batch*step.Seconds() + float64(q.promptTokens()-q.cached)/prefillRate
}

func usefulWork(all []*request, end time.Time) float64 {
	sum := 0.0
	for _, q := range all {
		if q.metTargets() {
			sum += q.workUntil(end)
		}
	}
	return sum
}
