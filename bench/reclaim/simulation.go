package reclaim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/bench/enginemodel"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	domains          = 4
	runnersPerDomain = 3
	service          = "asistente"
	vmClass          = "gpu-reclaimable"
	reportEvery      = 500 * time.Millisecond
	// runLimit ends a run; requests without a complete answer by then are lost.
	runLimit    = 10 * time.Minute
	ownKeyBase  = 1 << 20
	historyBase = 48 * time.Hour
)

// epoch is the time at which runs begin. It leaves room for the earlier history that
// the risk estimate is fed.
var epoch = time.Unix(0, 0).Add(historyBase)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// runner is one engine on a VM.
type runner struct {
	view.Runner
	domain int
	engine *enginemodel.Engine
	dead   bool
	// cold marks a VM that was started as a replacement.
	cold   bool
	endsAt time.Duration
	wake   time.Duration
	report enginemodel.Load
	jobs   map[int]*job
}

// job is a request and its progress.
type job struct {
	arrival
	id      int
	request ident.RequestID
	runner  *runner
	// sequence is the engine's sequence ID for the current attempt.
	sequence int
	attempts int
	// emitted counts the tokens that the caller has received. reached is the longest
	// context computed so far, in tokens.
	emitted, reached int
	recomputed       int
	first, last, end time.Duration
	done             bool
	refused          bool
	// moved marks jobs that were on a runner when it got its notice.
	moved   bool
	longest time.Duration
	machine *request.Machine
	attempt ident.AttemptID
	// exported is the context size of the current transfer, in tokens.
	exported int
	wake     time.Duration
}

func (j *job) prompt() int { return j.class.shared + j.own }

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if e[i].at != e[k].at {
		return e[i].at < e[k].at
	}
	return e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs one arm through one wave.
type simulation struct {
	wave     wave
	scenario scenario
	arm      arm
	rng      *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	nextID   int
	runners  []*runner
	jobs     []*job
	open     int
	policy   policy
	stats    *stats
}

// policy decides where jobs run; each arm has its own.
type policy interface {
	arrived(j *job)
	token(j *job, ev enginemodel.Event)
	finished(j *job)
	// lost is called for a job whose runner is gone before the job finished.
	lost(j *job)
	noticeGiven(leaving []*runner)
	loadsReported()
	runnersChanged()
}

func newSimulation(w wave, s scenario, a arm, st *stats) *simulation {
	x := &simulation{wave: w, scenario: s, arm: a, stats: st}
	x.rng = rand.New(rand.NewPCG(w.seed, 7))
	for i := range domains * runnersPerDomain {
		x.add(i/runnersPerDomain, i)
	}
	x.policy = a.policy(x)
	return x
}

func (w *simulation) add(domain, index int) {
	id := ident.RunnerID(fmt.Sprintf("runner-%02d", index))
	w.runners = append(w.runners, &runner{
		Runner: view.Runner{
			ID: id, Address: string(id), Service: service, State: view.Live,
			FailureDomain: failureDomain(domain), VMClass: vmClass,
			Reclaimable: true, PricePerHour: prices[domain],
		},
		domain: domain,
		engine: enginemodel.New(engineConfig()),
		jobs:   map[int]*job{},
	})
}

func engineConfig() enginemodel.Config {
	return enginemodel.Default()
}

func failureDomain(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", i))
}

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + max(d, 0), seq: w.seq, run: run})
}

func (w *simulation) runAll() {
	for i := range w.wave.arrivals {
		w.after(w.wave.arrivals[i].at, func() { w.arrive(w.wave.arrivals[i]) })
	}
	w.after(noticeAt, func() { w.notice(w.firstReclaimed()) })
	if w.scenario.second > 0 {
		w.after(noticeAt+w.scenario.second, func() { w.notice(w.domainRunners(w.wave.order[1])) })
	}
	w.after(replacedAt, w.replace)
	w.after(0, w.reports)
	w.open = len(w.wave.arrivals)
	for w.open > 0 && len(w.queue) > 0 && w.now < runLimit {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.stats.collect(w)
}

func (w *simulation) arrive(a arrival) {
	w.nextID++
	j := &job{arrival: a, id: w.nextID, request: ident.RequestID(fmt.Sprintf("r%d", w.nextID)), last: w.now}
	w.jobs = append(w.jobs, j)
	w.policy.arrived(j)
}

func (w *simulation) reports() {
	for _, r := range w.runners {
		if !r.dead {
			r.report = r.engine.Load()
		}
	}
	w.policy.loadsReported()
	w.after(reportEvery, w.reports)
}

func (w *simulation) firstReclaimed() []*runner {
	rank := make([]int, domains)
	for i, d := range w.wave.order {
		rank[d] = i
	}
	var taken []*runner
	for i, r := range w.runners {
		if w.scenario.reclaims(rank[r.domain], i) {
			taken = append(taken, r)
		}
	}
	return taken
}

func (w *simulation) domainRunners(domain int) []*runner {
	var list []*runner
	for _, r := range w.runners {
		if r.domain == domain && !r.dead && r.State == view.Live {
			list = append(list, r)
		}
	}
	return list
}

// notice gives runners their notice. Each terminates at the end of the notice; at most
// one per call terminates half way through it.
func (w *simulation) notice(leaving []*runner) {
	for i, r := range leaving {
		r.State = view.Leaving
		r.endsAt = w.now + notice
		r.LeavesAt = at(r.endsAt)
		for _, j := range r.jobs {
			j.moved = true
			j.longest = 0
		}
		left := notice
		if i == w.wave.fault.earlyDeath {
			left = notice / 2
		}
		w.after(left, func() { w.terminate(r) })
	}
	w.policy.runnersChanged()
	w.policy.noticeGiven(leaving)
}

func (w *simulation) terminate(r *runner) {
	r.dead = true
	r.State = view.Gone
	r.engine = enginemodel.New(engineConfig())
	lost := r.jobs
	r.jobs = map[int]*job{}
	w.policy.runnersChanged()
	for _, j := range sorted(lost) {
		j.runner = nil
		w.policy.lost(j)
	}
}

// replace starts as many cold VMs as were reclaimed, in the two failure domains that
// the wave takes last.
func (w *simulation) replace() {
	gone := 0
	for _, r := range w.runners {
		if r.State != view.Live {
			gone++
		}
	}
	for i := range gone {
		w.add(w.wave.order[2+i%2], len(w.runners))
		w.runners[len(w.runners)-1].cold = true
	}
	w.policy.runnersChanged()
}

// dispatch starts a job's next attempt. It returns false if the runner is dead.
func (w *simulation) dispatch(j *job, r *runner, emitted, imported int) bool {
	if r.dead {
		return false
	}
	w.nextID++
	j.attempts++
	j.sequence = w.nextID
	j.runner = r
	r.jobs[j.sequence] = j
	r.engine.Submit(w.now, enginemodel.Sequence{
		ID: j.sequence, Priority: j.class.priority(),
		Prompt: j.prompt(), Emitted: emitted, Output: j.output,
		Shared: j.shared, SharedTokens: j.class.shared, Own: enginemodel.Key(ownKeyBase + j.id),
		Imported: imported,
	})
	w.schedule(r)
	return true
}

// cancel cancels the job's current attempt, if it has one.
func (w *simulation) cancel(j *job) {
	r := j.runner
	if r == nil {
		return
	}
	j.reached = max(j.reached, r.engine.Context(j.sequence))
	r.engine.Cancel(j.sequence)
	delete(r.jobs, j.sequence)
	j.runner = nil
	w.schedule(r)
}

func (w *simulation) schedule(r *runner) {
	next, busy := r.engine.Next()
	if !busy || r.wake == next {
		return
	}
	r.wake = next
	engine := r.engine
	w.after(next-w.now, func() {
		if r.engine == engine {
			w.step(r)
		}
	})
}

func (w *simulation) step(r *runner) {
	for _, ev := range r.engine.Step(w.now) {
		j, ok := r.jobs[ev.ID]
		if !ok {
			continue
		}
		if ev.Kind == enginemodel.Done {
			delete(r.jobs, ev.ID)
			j.runner = nil
			w.policy.finished(j)
			continue
		}
		w.token(j, ev)
		w.policy.token(j, ev)
	}
	w.schedule(r)
}

// token counts recomputed tokens and records the times of new ones.
func (w *simulation) token(j *job, ev enginemodel.Event) {
	if ev.First && j.attempts > 1 {
		j.recomputed += min(ev.Computed, j.reached)
	}
	j.reached = max(j.reached, j.prompt()+ev.Emitted)
	if ev.Emitted <= j.emitted {
		j.recomputed++
		return
	}
	j.emitted = ev.Emitted
	w.stats.gap(j, w.now)
	if j.emitted == 1 {
		j.first = w.now - j.at
	} else {
		j.longest = max(j.longest, w.now-j.last)
	}
	j.last = w.now
}

func (w *simulation) finish(j *job, refused bool) {
	if j.done || j.refused {
		return
	}
	j.done, j.refused = !refused, refused
	j.end = w.now
	w.open--
}
