package overload

import (
	"fmt"
	"strconv"
	"time"

	"geraniumstack.org/geraniumstack/coordination/polling"
	"geraniumstack.org/geraniumstack/protocol/admission"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Sizes of the simulated fleet.
const (
	engines     = 12
	gateways    = 5
	batch       = 16
	prefillRate = 8000
	step        = 20 * time.Millisecond
	model       = "m"
	version     = "1"
	tick        = 20 * time.Millisecond
	// Sizes of reads on the network, headers included: measured means of the stand-in
	// engine's responses.
	loadBytes      = 650
	eventPageBytes = 400
	eventBytes     = 55
	// defaultReadBudget is the read budget of each of five daemons, in bytes per
	// second.
	defaultReadBudget = 256_000
	// eventLimit is the maximum number of cache events in one read.
	eventLimit = 512
	// oneWay is the network latency between a gateway and an engine in one direction.
	oneWay = time.Millisecond
)

// span holds how long requests arrive, the part at the start that is not measured, and
// the time left to finish after the last arrival.
type span struct{ load, warmUp, drain time.Duration }

func (s span) from() time.Time { return epoch.Add(s.warmUp) }
func (s span) to() time.Time   { return epoch.Add(s.load) }
func (s span) end() time.Time  { return epoch.Add(s.load + s.drain) }

var wholeSpan = span{load: 60 * time.Second, warmUp: 15 * time.Second, drain: 60 * time.Second}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run is the simulation of one arm under one load.
type run struct {
	arm      arm
	now      time.Time
	requests []*request
	next     int
	gateways []*gateway
	cores    []*engine.Core
	nextTick time.Time
}

func newRun(a arm, seed uint64, requests []*request) *run {
	r := &run{arm: a, now: epoch, requests: requests, nextTick: epoch}
	for i := range gateways {
		r.gateways = append(r.gateways, newGateway(a, i, seed))
	}
	for i := range engines {
		cfg := engine.DefaultConfig(string(runnerID(i)), model, version)
		cfg.PrefillRate = prefillRate
		cfg.StepTime = step
		cfg.MaxBatch = batch
		r.cores = append(r.cores, engine.NewCore(cfg, epoch))
	}
	return r
}

// runUntil runs the simulation until end, the end of the drain time.
func (r *run) runUntil(end time.Time) {
	for {
		r.now = r.nextEvent()
		if r.now.After(end) {
			return
		}
		r.stepEngines()
		r.poll()
		r.tick()
		r.arrive()
	}
}

func (r *run) nextEvent() time.Time {
	at := r.nextTick
	if r.next < len(r.requests) && r.requests[r.next].at.Before(at) {
		at = r.requests[r.next].at
	}
	for _, c := range r.cores {
		if next, ok := c.Next(); ok && next.Before(at) {
			at = next
		}
	}
	return at
}

func (r *run) stepEngines() {
	for _, c := range r.cores {
		for _, line := range c.Step(r.now).Lines {
			r.handleLine(line)
		}
	}
}

func (r *run) handleLine(line engine.Line) {
	id, err := strconv.Atoi(line.Event.AttemptID)
	if err != nil {
		panic(fmt.Errorf("attempt of this run: %w", err)) // submit creates all attempt IDs
	}
	q := r.requests[id]
	g := r.gateways[q.gateway]
	if line.Event.Done {
		q.done = line.At
		r.applyEffects(q.gateway, g.finished(r.now, q))
		return
	}
	q.tokens++
	if q.tokens == 1 {
		q.first = line.At
		q.cached = line.Event.CachedTokens
		g.firstToken(r.now, q)
	}
}

// poll performs the reads that are due at each gateway. It runs at every event, and
// ticks are frequent enough that reads are hardly late.
func (r *run) poll() {
	for _, g := range r.gateways {
		for read, _, ok := g.planner.Next(r.now); ok; read, _, ok = g.planner.Next(r.now) {
			r.read(g, read)
		}
	}
}

func (r *run) read(g *gateway, read polling.Read) {
	i := engineOf(read.Target.Runner)
	g.report(r.now, i, r.cores[i].Load(r.now))
	result := polling.Result{LoadBytes: loadBytes}
	if read.Events {
		events := r.cores[i].CacheEvents(r.now, g.table.Cursor(read.Target.Runner), eventLimit)
		result.Gap = g.cacheEvents(i, events) != nil
		result.EventBytes = eventPageBytes + eventBytes*len(events.Events)
	}
	g.bytes += result.LoadBytes + result.EventBytes
	g.planner.HandleResult(r.now, read, result)
}

func (r *run) tick() {
	if r.now.Before(r.nextTick) {
		return
	}
	r.nextTick = r.nextTick.Add(tick)
	for i, g := range r.gateways {
		if g.admission != nil {
			r.applyEffects(i, g.admission.Tick(r.now, g.effects[:0]))
		}
	}
}

func (r *run) arrive() {
	for r.next < len(r.requests) && !r.requests[r.next].at.After(r.now) {
		q := r.requests[r.next]
		r.next++
		g := r.gateways[q.gateway]
		if g.admission == nil {
			r.submit(q)
			continue
		}
		r.applyEffects(q.gateway, g.offer(r.now, q))
	}
}

func (r *run) applyEffects(_ int, effects []admission.Effect) {
	for _, e := range effects {
		q := r.requests[int(e.ID)]
		if e.Kind == admission.Refuse {
			q.refused = r.now
			continue
		}
		r.submit(q)
	}
}

func (r *run) submit(q *request) {
	q.admitted = r.now
	q.engine = r.gateways[q.gateway].pick(r.now, q)
	priority := 0
	if r.arm.priorities {
		priority = classNamed(q.kind.class).Priority
	}
	attempt := engine.Attempt{
		RequestID:    strconv.Itoa(q.id),
		AttemptID:    strconv.Itoa(q.id),
		Model:        model,
		Seed:         uint64(q.id),
		PromptTokens: q.promptTokens(),
		Blocks:       q.blocks,
		MaxTokens:    q.output,
		Priority:     priority,
	}
	if err := r.cores[q.engine].Submit(r.now, attempt); err != nil {
		panic(fmt.Errorf("submit: %w", err)) // cannot fail: the queue is unlimited
	}
}

func classNamed(name string) manifest.Class {
	for _, c := range classes {
		if c.Name == name {
			return c
		}
	}
	return manifest.Class{}
}
