// Package placement measures what long work loses to reclaims when it is placed
// by the estimated hazard of each failure domain and VM class, and when it is
// placed as any other work. Virtual time; equal seeds give equal figures.
package placement

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Sizes of the run.
const (
	perDomain    = 4
	places       = 16
	prefillRate  = 8000
	decodeRate   = 50
	onDemand     = 3.0
	notice       = 30 * time.Second
	replaced     = 2 * time.Minute
	reportEvery  = time.Second
	shortOutput  = 100
	longOutput   = 6000
	longPrompt   = 3000
	shortPrompt  = 300
	occupancy    = 0.5
	longShare    = 0.5
	slack        = 1250 * time.Millisecond
	modelName    = "m"
	modelVersion = "1"
)

// hazards are the true reclaims per VM and hour of each failure domain.
var hazards = []float64{0.05, 0.2, 0.8, 3}

// span is how long a run is and which part of it is not measured.
type span struct{ whole, warmUp time.Duration }

var wholeSpan = span{whole: 4 * time.Hour, warmUp: time.Hour}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Experiment implements bench.Experiment.
type Experiment struct{}

// Name implements bench.Experiment.
func (Experiment) Name() string { return "placement" }

// Synopsis implements bench.Experiment.
func (Experiment) Synopsis() string {
	return "long work interrupted by reclaims, placed with and without their hazard"
}

type arm struct {
	name string
	set  func(*routing.Config)
}

var arms = []arm{
	{"policy", func(*routing.Config) {}},
	{"policy_no_price", func(c *routing.Config) { c.PriceWeight = 0 }},
	{"ignore_risk", func(c *routing.Config) { c.IgnoreRisk = true }},
}

// Run implements bench.Experiment.
func (Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	report := bench.Report{Experiment: "placement", Seeds: o.Seeds, Notes: []string{
		fmt.Sprintf("virtual time; %d failure domains of %d VMs (one on demand at %g times the price), true hazards %v per VM hour, %s of notice, a new VM %s after", len(hazards), perDomain, onDemand, hazards, notice, replaced),
		fmt.Sprintf("%s after %s of warm-up; half of the places taken, half of that by answers of %d tokens", wholeSpan.whole-wholeSpan.warmUp, wholeSpan.warmUp, longOutput),
		"a long request that has not ended with its VM is computed anew elsewhere; cost is places times price, in VM hours",
	}}
	for _, a := range arms {
		if !o.Wants(a.name) {
			continue
		}
		figures := map[string]float64{}
		for _, seed := range o.Seeds {
			if err := ctx.Err(); err != nil {
				return report, fmt.Errorf("placement: %w", err)
			}
			fmt.Fprintf(o.Progress, "placement: %s, seed %d\n", a.name, seed)
			for name, v := range measure(a, seed, wholeSpan) {
				figures[name] += v / float64(len(o.Seeds))
			}
		}
		report.Arms = append(report.Arms, bench.Arm{Name: a.name, Figures: figures})
	}
	return report, nil
}

// vm is one incarnation of a runner.
type vm struct {
	view.Runner
	running map[*request]bool
	gone    bool
}

type request struct {
	long   bool
	left   int
	prompt int
	vm     *vm
	ticket routing.Ticket
	routed routing.Request
	ends   time.Time
	began  time.Time
}

type event struct {
	at  time.Time
	run func(time.Time)
	seq int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one run.
type world struct {
	table  *routing.Table
	rng    *rand.Rand
	queue  events
	seq    int
	vms    []*vm
	byID   map[ident.RunnerID]*vm
	lastVM int
	// from is when measuring begins.
	from time.Time

	long, interrupted, full, waited float64
	recomputed, cost                float64
}

func measure(a arm, seed uint64, s span) map[string]float64 {
	cfg := routing.Default("gateway", domain(0))
	cfg.Seed = seed
	a.set(&cfg)
	w := &world{table: routing.New(cfg), rng: rand.New(rand.NewPCG(seed, 5)), byID: map[ident.RunnerID]*vm{}, from: epoch.Add(s.warmUp)}
	w.table.SetModels([]manifest.Model{{Name: modelName, Version: modelVersion}})
	for d := range hazards {
		for i := range perDomain {
			w.start(epoch, d, i == 0)
		}
	}
	w.list(epoch)
	w.at(epoch, w.report)
	w.at(epoch, w.arrive)
	for end := epoch.Add(s.whole); len(w.queue) > 0; {
		e := heap.Pop(&w.queue).(event)
		if e.at.After(end) {
			break
		}
		e.run(e.at)
	}
	return map[string]float64{
		"interrupted_ratio":         w.interrupted / w.long,
		"recomputed_tokens":         w.recomputed,
		"cost_per_long_request":     w.cost / w.long,
		"found_no_place_ratio":      w.full / w.waited,
		"long_requests":             w.long,
		"interrupted_long_requests": w.interrupted,
	}
}

func (w *world) at(t time.Time, run func(time.Time)) {
	w.seq++
	heap.Push(&w.queue, event{t, run, w.seq})
}

func domain(d int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprint("domain", d)) }

func (w *world) start(now time.Time, d int, demand bool) {
	w.lastVM++
	v := &vm{running: map[*request]bool{}, Runner: view.Runner{
		ID:            ident.RunnerID(fmt.Sprint("vm", w.lastVM)),
		FailureDomain: domain(d),
		VMClass:       "reclaimable",
		Reclaimable:   true,
		PricePerHour:  1,
		State:         view.Live,
	}}
	if demand {
		v.VMClass, v.Reclaimable, v.PricePerHour = "on_demand", false, onDemand
	} else {
		life := time.Duration(w.rng.ExpFloat64() / hazards[d] * float64(time.Hour))
		w.at(now.Add(life), func(t time.Time) { w.notice(t, v, d) })
	}
	w.vms = append(w.vms, v)
	w.byID[v.ID] = v
}

func (w *world) notice(now time.Time, v *vm, d int) {
	v.State = view.Leaving
	w.list(now)
	w.at(now.Add(notice), func(t time.Time) { w.end(t, v) })
	w.at(now.Add(notice+replaced), func(t time.Time) {
		w.start(t, d, false)
		w.list(t)
	})
}

// end takes a VM away and starts what it had not finished elsewhere.
func (w *world) end(now time.Time, v *vm) {
	v.gone = true
	delete(w.byID, v.ID)
	for i, other := range w.vms {
		if other == v {
			w.vms = append(w.vms[:i], w.vms[i+1:]...)
			break
		}
	}
	w.list(now)
	for _, q := range inOrder(v.running) {
		emitted := q.left - int(q.ends.Sub(now).Seconds()*decodeRate)
		emitted = max(0, min(q.left, emitted))
		if q.long && now.After(w.from) {
			w.interrupted++
			w.recomputed += float64(q.prompt + emitted)
		}
		q.left -= emitted
		q.prompt += emitted
		w.place(now, q)
	}
}

// inOrder makes the order of a map's requests that of their ends.
func inOrder(set map[*request]bool) []*request {
	var list []*request
	for q := range set {
		i := len(list)
		for i > 0 && q.ends.Before(list[i-1].ends) {
			i--
		}
		list = append(list[:i], append([]*request{q}, list[i:]...)...)
	}
	return list
}

func (w *world) list(now time.Time) {
	runners := make([]view.Runner, len(w.vms))
	for i, v := range w.vms {
		runners[i] = v.Runner
	}
	w.table.SetRunners(now, runners)
}

func (w *world) report(now time.Time) {
	for _, v := range w.vms {
		w.table.Report(now, v.ID, load.Report{
			AsOf:          now,
			Running:       len(v.running),
			MaxRunning:    places,
			KVBlocksTotal: 1 << 20,
			KVBlocksFree:  1 << 20,
			PrefillRate:   prefillRate,
			DecodeRate:    decodeRate,
			Models:        []load.Model{{Name: modelName, Version: modelVersion}},
			Leaving:       v.State == view.Leaving,
		})
	}
	w.at(now.Add(reportEvery), w.report)
}

// arrive places one request and draws the time of the next.
func (w *world) arrive(now time.Time) {
	all := float64(len(hazards) * perDomain * places)
	longRate := all * occupancy * longShare * decodeRate / longOutput
	shortRate := all * occupancy * (1 - longShare) * decodeRate / shortOutput
	q := &request{left: shortOutput, prompt: shortPrompt}
	if w.rng.Float64() < longRate/(longRate+shortRate) {
		q.long, q.left, q.prompt = true, longOutput/2+w.rng.IntN(longOutput), longPrompt
		if now.After(w.from) {
			w.long++
		}
	}
	w.place(now, q)
	next := w.rng.ExpFloat64() / (longRate + shortRate)
	w.at(now.Add(time.Duration(next*float64(time.Second))), w.arrive)
}

func (w *world) place(now time.Time, q *request) {
	q.routed = routing.Request{
		Model:        modelName,
		PromptTokens: q.prompt,
		OutputTokens: q.left,
		Long:         q.long,
		Slack:        slack,
	}
	choice, err := w.table.Pick(now, &q.routed)
	if err != nil {
		panic(fmt.Errorf("pick: %w", err)) // the on-demand VMs stay
	}
	q.vm = w.byID[choice.Runner]
	w.waited++
	if len(q.vm.running) >= places {
		w.full++
	}
	q.vm.running[q] = true
	q.ticket = w.table.Dispatch(now, choice, &q.routed)
	w.table.FirstToken(now, &q.ticket)
	q.began = now
	q.ends = now.Add(time.Duration(q.left) * time.Second / decodeRate)
	v := q.vm
	w.at(q.ends, func(t time.Time) {
		if v.gone {
			return
		}
		delete(v.running, q)
		w.table.Finished(t, &q.ticket)
		w.table.RecordOutputLength(q.left)
		if q.long && t.After(w.from) {
			w.cost += v.PricePerHour * t.Sub(q.began).Hours() / places
		}
	})
}
