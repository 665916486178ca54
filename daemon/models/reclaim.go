package models

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/reclaim"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
)

// CapacitySource is implemented by pickers that know what runners have left;
// for others Models counts its own streams.
type CapacitySource interface {
	Targets(service string) []reclaim.Target
}

// Transfer says what moving KV caches costs; zero fields get defaults.
type Transfer struct {
	BytesPerToken int64
	// LinkBytesPerSecond is the rate that a batch of transfers gets in all.
	// The gateways plan apart, so each takes its share of it.
	LinkBytesPerSecond float64
	Setup              time.Duration
	// DecodeRate is the tokens that one stream surely gets a second.
	DecodeRate float64
	// Notice is assumed where a leaving VM's end is not known.
	Notice time.Duration
}

// Rates and sizes that hold until a picker knows better.
const (
	defaultBytesPerToken = 128 << 10
	defaultLinkRate      = 1.25e9
	defaultSetup         = 20 * time.Millisecond
	defaultDecodeRate    = 15
	defaultNotice        = 10 * time.Second
	defaultSlots         = 16
	defaultFreeTokens    = 64 << 10
	defaultPrefillRate   = 8000
	leastRoom            = 16 << 10
)

func (t Transfer) withDefaults() Transfer {
	setDefault(&t.BytesPerToken, defaultBytesPerToken)
	setDefault(&t.LinkBytesPerSecond, defaultLinkRate)
	setDefault(&t.Setup, defaultSetup)
	setDefault(&t.DecodeRate, defaultDecodeRate)
	setDefault(&t.Notice, defaultNotice)
	return t
}

// planned is what was decided for a live request's attempt.
type planned struct {
	attempt ident.AttemptID
	kind    reclaim.Kind
	target  ident.RunnerID
	ends    time.Time
}

// reclaim plans for the streams at leaving runners that have no plan, or whose
// plan a further notice has spoilt.
func (m *Models) reclaim() {
	byService := map[string][]*live{}
	for _, l := range m.inProgress() {
		byService[l.service] = append(byService[l.service], l)
	}
	for service, lives := range byService {
		m.reclaimService(service, lives)
	}
}

func (m *Models) reclaimService(service string, lives []*live) {
	listed := map[ident.RunnerID]view.Runner{}
	var leaving []view.Runner
	for _, r := range m.c.Directory.Runners(service) {
		listed[r.ID] = r
		if r.State == view.Leaving {
			leaving = append(leaving, r)
		}
	}
	if len(leaving) == 0 {
		return
	}
	now := time.Now()
	todo, streams, link := m.unplanned(lives, listed, leaving)
	if len(streams) == 0 {
		return
	}
	b := reclaim.Batch{
		Streams:      streams,
		Targets:      m.targets(service, lives),
		Link:         m.link(now, link),
		SafetyMargin: m.c.Limits.ReclaimMargin,
	}
	for _, r := range leaving {
		b.Sources = append(b.Sources, m.source(r, now))
	}
	for _, d := range reclaim.Plan(b) {
		m.count("reclaim.planned." + string(d.Kind))
		todo[d.Request].follow(d, now, sourceOf(b.Sources, d.Runner).TimeLeft-b.SafetyMargin)
	}
}

// unplanned lists the streams to plan for, and until when moves that were
// planned before use the link.
func (m *Models) unplanned(lives []*live, listed map[ident.RunnerID]view.Runner, leaving []view.Runner) (map[ident.RequestID]*live, []reclaim.Stream, time.Time) {
	todo := map[ident.RequestID]*live{}
	var streams []reclaim.Stream
	var link time.Time
	for _, l := range lives {
		for _, r := range leaving {
			l.step(request.RunnerLeaving{Runner: r.ID})
		}
		s, plan, ok := l.reclaimStream(m.c.Transfer.BytesPerToken)
		if !ok || listed[s.Runner].State != view.Leaving {
			continue
		}
		if plan.holds(listed) {
			link = plan.busy(link)
			continue
		}
		todo[l.req.ID] = l
		streams = append(streams, s)
	}
	return todo, streams, link
}

// holds tells whether a plan is still good: a further notice may have hit its
// target.
func (p planned) holds(listed map[ident.RunnerID]view.Runner) bool {
	if p.kind == "" || p.target == "" {
		return p.kind != ""
	}
	r, ok := listed[p.target]
	return ok && r.State != view.Leaving
}

// busy is until when the link is taken, this plan's move included.
func (p planned) busy(link time.Time) time.Time {
	if p.kind == reclaim.Move && p.ends.After(link) {
		return p.ends
	}
	return link
}

func sourceOf(sources []reclaim.Source, id ident.RunnerID) reclaim.Source {
	for _, s := range sources {
		if s.Runner == id {
			return s
		}
	}
	return reclaim.Source{}
}

func (m *Models) source(r view.Runner, now time.Time) reclaim.Source {
	left := m.c.Transfer.Notice
	if !r.LeavesAt.IsZero() {
		left = r.LeavesAt.Sub(now)
	}
	return reclaim.Source{Runner: r.ID, TimeLeft: left, DecodeRate: m.c.Transfer.DecodeRate}
}

// sharers is the gateways that may plan for the same wave at the same time.
// They plan without asking each other, since a notice leaves no time for it:
// each takes its part of the link and of the room.
func (m *Models) sharers() int {
	n := 0
	for _, d := range m.c.Directory.Daemons() {
		if d.State == view.Live || d.Incarnation == m.c.Self {
			n++
		}
	}
	return max(n, 1)
}

func (m *Models) link(now, busyUntil time.Time) reclaim.Link {
	return reclaim.Link{
		BytesPerSecond: m.c.Transfer.LinkBytesPerSecond / float64(m.sharers()),
		Setup:          m.c.Transfer.Setup,
		BusyFor:        max(busyUntil.Sub(now), 0),
	}
}

// targets lists this gateway's part of the room that is left, but at least what
// one long stream takes: engines queue what is too much, and streams that wait
// with their KV cache at hand cost less than those that lose it.
func (m *Models) targets(service string, lives []*live) []reclaim.Target {
	var targets []reclaim.Target
	if c, ok := m.c.Picker.(CapacitySource); ok {
		targets = c.Targets(service)
	} else {
		targets = m.ownTargets(service, lives)
	}
	n := m.sharers()
	for i := range targets {
		targets[i].Slots = (targets[i].Slots + n - 1) / n
		targets[i].FreeTokens = max(targets[i].FreeTokens/n, min(targets[i].FreeTokens, leastRoom))
	}
	return targets
}

// ownTargets counts nothing but this gateway's own streams.
func (m *Models) ownTargets(service string, lives []*live) []reclaim.Target {
	own := map[ident.RunnerID]int{}
	for _, l := range lives {
		l.mu.Lock()
		own[l.machine.Runner()]++
		l.mu.Unlock()
	}
	var targets []reclaim.Target
	for _, r := range m.c.Directory.Runners(service) {
		if r.State != view.Live {
			continue
		}
		targets = append(targets, reclaim.Target{
			Runner:      r.ID,
			Slots:       max(defaultSlots-own[r.ID], 0),
			FreeTokens:  defaultFreeTokens,
			PrefillRate: defaultPrefillRate,
		})
	}
	return targets
}

// reclaimStream describes the current attempt to the plan; false if there is
// none.
func (l *live) reclaimStream(bytesPerToken int64) (reclaim.Stream, planned, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runner := l.machine.Runner()
	if runner == "" {
		return reclaim.Stream{}, planned{}, false
	}
	emitted := l.machine.Answer().Offset()
	context := promptTokens(l.req.Prompt) + emitted
	plan := l.plan
	if plan.attempt != l.machine.Attempt() {
		plan = planned{}
	}
	return reclaim.Stream{
		Request:    l.req.ID,
		Runner:     runner,
		Urgent:     !l.spec.Deferrable,
		Context:    context,
		Remaining:  l.req.MaxTokens - emitted,
		CacheBytes: int64(context) * bytesPerToken,
	}, plan, true
}

// promptTokens counts words, as the engines' interface does.
func promptTokens(prompt string) int {
	n := 0
	inWord := false
	for _, r := range prompt {
		space := r == ' ' || r == '\n' || r == '\t' || r == '\r'
		if !space && !inWord {
			n++
		}
		inWord = !space
	}
	return n
}

// follow carries a decision out at its time. What was to finish or to wait is
// taken off the runner at the limit: there it would break without a word.
func (l *live) follow(d reclaim.Decision, now time.Time, limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	attempt := l.machine.Attempt()
	l.plan = planned{attempt: attempt, kind: d.Kind, target: d.Target, ends: now.Add(d.End)}
	at := d.Start
	in := request.Input(request.Relocate{Attempt: attempt, Target: d.Target, Export: d.Kind == reclaim.Move})
	if d.Target == "" {
		at = limit
		in = request.Evict{Attempt: attempt}
	}
	if l.follows != nil {
		l.follows.Stop()
	}
	l.follows = time.AfterFunc(max(at, 0), func() { l.step(in) })
}

func (m *Models) inProgress() []*live {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lives []*live
	for _, l := range m.live {
		if l.inProgress() {
			lives = append(lives, l)
		}
	}
	return lives
}

func (l *live) inProgress() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended.IsZero()
}
