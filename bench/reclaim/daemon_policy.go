package reclaim

import (
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/bench/enginemodel"
	planner "geraniumstack.org/geraniumstack/coordination/reclaim"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/protocol/stream"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	safetyMargin  = 2 * time.Second
	bytesPerToken = 128 << 10
	// linkRate is the bandwidth that all transfers share, in bytes per second.
	linkRate  = 2.5e9
	linkSetup = 20 * time.Millisecond
	// guaranteedRate is the decode rate in tokens per second that a stream gets at
	// least.
	guaranteedRate = 20
	// slackShare divides the first-token target of long requests: they may wait up to
	// a quarter of the target longer for a runner with less reclaim risk. The daemon
	// uses the same share.
	slackShare         = 4
	modelName          = "m"
	noRunnerRetryAfter = time.Second
	deadline           = time.Hour
	// silence is long enough to disable the timeout for silent streams: engines in
	// virtual time don't lose connections.
	silence = 24 * time.Hour
)

// daemonPolicy is the project's own policy. It uses the routing table, the request
// state machine and the reclaim planner of the daemon.
type daemonPolicy struct {
	w        *simulation
	table    *routing.Table
	choices  map[ident.RunnerID]*runner
	tickets  map[int]*ticket
	linkFree time.Duration
	chains   map[enginemodel.Key][]prefix.Hash
}

type ticket struct {
	routing.Ticket
	first bool
}

func newDaemonPolicy(w *simulation, ignorePrefix, ignoreRisk bool) *daemonPolicy {
	cfg := routing.Default("gw", failureDomain(0))
	cfg.IgnorePrefix = ignorePrefix
	cfg.IgnoreRisk = ignoreRisk
	cfg.Seed = w.wave.seed
	cfg.PrefillRate = engineConfig().PrefillRate()
	cfg.DecodeRate = guaranteedRate
	m := &daemonPolicy{
		w: w, table: routing.New(cfg),
		choices: map[ident.RunnerID]*runner{},
		tickets: map[int]*ticket{},
		chains:  map[enginemodel.Key][]prefix.Hash{},
	}
	m.table.SetModels([]manifest.Model{{Name: modelName, Version: "1", Service: service}})
	m.replayReclaimHistory()
	m.runnersChanged()
	return m
}

// replayReclaimHistory feeds the risk estimate a day of reclaims at the hazards of the
// failure domains, evenly spaced. Each reclaimed VM is replaced by one with a new
// name; the run starts with the last ones.
func (m *daemonPolicy) replayReclaimHistory() {
	const step = 10 * time.Minute
	due := make([]float64, domains)
	for t := -24 * time.Hour; t < 0; t += step {
		for d := range domains {
			due[d] += hazards[d] * step.Hours() * runnersPerDomain
		}
		var list []view.Runner
		for i, r := range m.w.runners {
			if due[r.domain] >= 1 {
				due[r.domain]--
				r.ID = ident.RunnerID(fmt.Sprintf("runner-%02d-%d", i, int(t/step)))
			}
			list = append(list, r.Runner)
		}
		m.table.SetRunners(at(t), list)
	}
}

func (m *daemonPolicy) runnersChanged() {
	var list []view.Runner
	for _, r := range m.w.runners {
		m.choices[r.ID] = r
		if r.State != view.Gone {
			list = append(list, r.Runner)
		}
	}
	m.table.SetRunners(at(m.w.now), list)
	m.loadsReported()
}

func (m *daemonPolicy) loadsReported() {
	for _, r := range m.w.runners {
		if r.dead {
			continue
		}
		m.table.Report(at(m.w.now), r.ID, load.Report{
			AsOf: at(m.w.now), Running: r.report.Running, Waiting: r.report.Waiting,
			MaxRunning: engineConfig().Slots, QueuedTokens: r.report.QueuedTokens,
			KVBlocksTotal: engineConfig().KVTokens / prefix.BlockTokens,
			KVBlocksFree:  max(r.report.FreeTokens, 0) / prefix.BlockTokens,
			PrefillRate:   engineConfig().PrefillRate(),
			Models:        []load.Model{{Name: modelName, Version: "1"}},
			Leaving:       r.State == view.Leaving,
		})
	}
}

func (m *daemonPolicy) arrived(j *job) {
	limits := request.DefaultLimits()
	limits.SilenceTimeout = silence
	j.machine = request.New(request.Spec{
		ID: j.request, Epoch: 1, MaxTokens: j.limit,
		Deferrable: !j.class.urgent, Deadline: at(m.w.now + deadline),
	}, limits)
	m.step(j, request.Start{})
}

func (m *daemonPolicy) step(j *job, in request.Input) {
	for _, e := range j.machine.Step(at(m.w.now), in) {
		m.applyEffect(j, e)
	}
}

func (m *daemonPolicy) applyEffect(j *job, e request.Effect) {
	switch e := e.(type) {
	case request.Pick:
		m.w.after(0, func() { m.pick(j, e) })
	case request.Generate:
		m.w.after(0, func() { m.generate(j, e) })
		j.attempt = e.Attempt
	case request.AbandonAttempt:
		m.abandon(j)
	case request.ExportCache:
		m.export(j, e)
	case request.Answered:
		m.w.finish(j, false)
	case request.Failed:
		m.w.finish(j, true)
	case request.WakeAt:
		m.wakeAt(j, e.Time.Sub(epoch))
	}
}

// wakeAt keeps one timer per job and sets it anew for an earlier time.
func (m *daemonPolicy) wakeAt(j *job, when time.Duration) {
	if j.machine.Runner() != "" || (j.wake > m.w.now && j.wake <= when) {
		return
	}
	j.wake = when
	m.w.after(when-m.w.now, func() {
		if !j.done && !j.refused {
			m.step(j, request.Tick{})
		}
	})
}

func (m *daemonPolicy) chain(a arrival) []prefix.Hash {
	c, ok := m.chains[a.shared]
	if !ok {
		for i := range a.class.shared / prefix.BlockTokens {
			c = append(c, prefix.Hash(a.shared)<<20|prefix.Hash(i+1))
		}
		m.chains[a.shared] = c
	}
	return c
}

func (m *daemonPolicy) routingRequest(j *job) *routing.Request {
	return &routing.Request{
		Model: modelName, Prefix: m.chain(j.arrival),
		PromptTokens: j.prompt() + j.emitted, OutputTokens: j.class.output,
		Long: !j.class.urgent, Slack: j.class.first / slackShare,
	}
}

func (m *daemonPolicy) pick(j *job, p request.Pick) {
	r := m.routingRequest(j)
	r.Exclude = m.table.Exclude(p.Exclude...)
	c, err := m.table.Pick(at(m.w.now), r)
	if err != nil {
		m.step(j, request.PickRefused{Refusal: refusal.New(refusal.NoRunner, "%v", err).After(noRunnerRetryAfter)})
		return
	}
	m.tickets[j.id] = &ticket{Ticket: m.table.Dispatch(at(m.w.now), c, r)}
	m.step(j, request.Picked{Runner: c.Runner})
}

func (m *daemonPolicy) generate(j *job, g request.Generate) {
	if g.Attempt != j.machine.Attempt() {
		return
	}
	imported := 0
	if g.Handle != "" {
		imported = j.exported
	}
	if !m.w.dispatch(j, m.choices[g.Runner], j.machine.Answer().Offset(), imported) {
		m.step(j, request.StreamClosed{Attempt: g.Attempt, NotStarted: true, Cause: request.Unreachable})
	}
}

func (m *daemonPolicy) abandon(j *job) {
	m.w.cancel(j)
	if t := m.tickets[j.id]; t != nil {
		m.table.Finished(at(m.w.now), &t.Ticket)
		delete(m.tickets, j.id)
	}
}

func (m *daemonPolicy) token(j *job, ev enginemodel.Event) {
	if t := m.tickets[j.id]; t != nil && !t.first {
		t.first = true
		m.table.FirstToken(at(m.w.now), &t.Ticket)
	}
	m.step(j, request.EventArrived{Event: stream.Event{Request: j.request, Attempt: j.attempt, Offset: ev.Emitted - 1, Token: "w"}})
}

func (m *daemonPolicy) finished(j *job) {
	if t := m.tickets[j.id]; t != nil {
		m.table.Finished(at(m.w.now), &t.Ticket)
		delete(m.tickets, j.id)
	}
	m.step(j, request.EventArrived{Event: stream.Event{Request: j.request, Attempt: j.attempt, Offset: j.output, Done: true}})
}

func (m *daemonPolicy) lost(j *job) {
	m.step(j, request.StreamClosed{Attempt: j.machine.Attempt(), Cause: request.Truncated})
}

// export simulates a KV cache transfer on the link that all transfers share. The
// transfer fails if its source or target is gone at its end, if the target is leaving,
// or at random.
func (m *daemonPolicy) export(j *job, e request.ExportCache) {
	from, to := m.choices[e.From], m.choices[e.To]
	j.exported = from.engine.Context(j.sequence)
	takes := linkSetup + time.Duration(float64(j.exported*bytesPerToken)/linkRate*float64(time.Second))
	m.linkFree = max(m.linkFree, m.w.now) + takes
	failed := m.w.rng.Float64() < m.w.wave.fault.exportFailure
	m.w.after(m.linkFree-m.w.now, func() {
		in := request.CacheExported{Attempt: e.Attempt, Target: e.To, Handle: "h"}
		if failed || from.dead || to.dead || to.State != view.Live {
			in.Handle = ""
		}
		m.step(j, in)
	})
}

func (m *daemonPolicy) noticeGiven(leaving []*runner) {
	m.replan()
}

// replan plans for all streams on leaving runners. It also covers streams that already
// have a plan, because a later notice may affect the target of their move.
func (m *daemonPolicy) replan() {
	b := planner.Batch{SafetyMargin: safetyMargin, Link: planner.Link{
		BytesPerSecond: linkRate, Setup: linkSetup, BusyFor: max(m.linkFree-m.w.now, 0),
	}}
	b.Targets = m.table.Targets()
	byID := map[ident.RequestID]*job{}
	for _, r := range m.w.runners {
		switch r.State {
		case view.Leaving:
			b.Sources = append(b.Sources, planner.Source{Runner: r.ID, TimeLeft: r.endsAt - m.w.now, DecodeRate: guaranteedRate})
			for _, j := range sorted(r.jobs) {
				byID[j.request] = j
				b.Streams = append(b.Streams, plannerStream(j, r))
				for _, g := range m.w.runners {
					if g.State == view.Leaving {
						m.step(j, request.RunnerLeaving{Runner: g.ID})
					}
				}
			}
		}
	}
	for _, d := range planner.Plan(b) {
		m.w.stats.planned(d.Kind)
		m.applyDecision(byID[d.Request], d)
	}
}

func plannerStream(j *job, r *runner) planner.Stream {
	context := j.prompt() + j.emitted
	return planner.Stream{
		Request: j.request, Runner: r.ID, Urgent: j.class.urgent,
		Context: context, Remaining: j.limit - j.emitted,
		CacheBytes: int64(context) * bytesPerToken,
		Pinned:     r.engine.Context(j.sequence) == 0,
	}
}

func (m *daemonPolicy) applyDecision(j *job, d planner.Decision) {
	when := d.Start
	in := request.Input(request.Relocate{Attempt: j.attempt, Target: d.Target, Export: d.Kind == planner.Move})
	if d.Target == "" {
		when = j.runner.endsAt - safetyMargin - m.w.now
		in = request.Evict{Attempt: j.attempt}
	}
	m.w.after(when, func() {
		if r := m.choices[d.Target]; r != nil && r.State != view.Live {
			return // a later notice has replaced this plan
		}
		m.step(j, in)
	})
}
