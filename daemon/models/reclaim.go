package models

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/reclaim"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
)

// CapacitySource is implemented by pickers that know the free capacity of
// runners. For other pickers, Models estimates it from the streams of this
// daemon.
type CapacitySource interface {
	Targets(service string) []reclaim.Target
}

// Transfer describes the cost of moving KV caches and the speed of streams, for
// planning reclaims. Zero fields get defaults.
type Transfer struct {
	BytesPerToken int64
	// LinkBytesPerSecond is the total rate of all transfers that run at the
	// same time. The gateways plan independently of each other, so each gateway
	// uses an equal share of it.
	LinkBytesPerSecond float64
	// Setup is the fixed time that each transfer takes besides sending bytes.
	Setup time.Duration
	// DecodeRate is the number of tokens per second that a single stream gets
	// at least.
	DecodeRate float64
	// Notice is the assumed time until a leaving VM ends, if its end is not
	// known.
	Notice time.Duration
}

// The first five defaults replace zero fields of Transfer: bytes per token of KV
// cache, bytes per second, setup time of a transfer, tokens per second of a
// stream, and time until a leaving VM ends. The other defaults describe the
// capacity of one runner if the picker is no CapacitySource: concurrent streams,
// free tokens of KV cache, and prefilled tokens per second.
const (
	defaultBytesPerToken    = 128 << 10
	defaultLinkRate         = 1.25e9
	defaultSetup            = 20 * time.Millisecond
	defaultDecodeRate       = 15
	defaultNotice           = 10 * time.Second
	defaultStreamsPerRunner = 16
	defaultFreeTokens       = 64 << 10
	defaultPrefillRate      = 8000
	// minFreeTokens is the share of free tokens that covers one long stream.
	minFreeTokens = 16 << 10
)

func (t Transfer) withDefaults() Transfer {
	setDefault(&t.BytesPerToken, defaultBytesPerToken)
	setDefault(&t.LinkBytesPerSecond, defaultLinkRate)
	setDefault(&t.Setup, defaultSetup)
	setDefault(&t.DecodeRate, defaultDecodeRate)
	setDefault(&t.Notice, defaultNotice)
	return t
}

// reclaimPlan is the decision that was made for an attempt whose runner is
// leaving.
type reclaimPlan struct {
	attempt ident.AttemptID
	kind    reclaim.Kind
	target  ident.RunnerID
	endsAt  time.Time
}

// planReclaims makes a plan for each stream that runs at a leaving runner and
// has no plan yet, or whose planned target has received a reclaim notice since.
func (m *Models) planReclaims() {
	byService := map[string][]*requestState{}
	for _, rs := range m.inProgress() {
		byService[rs.service] = append(byService[rs.service], rs)
	}
	for service, requests := range byService {
		m.planServiceReclaims(service, requests)
	}
}

func (m *Models) planServiceReclaims(service string, requests []*requestState) {
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
	pending, streams, link := m.collectUnplanned(requests, listed, leaving)
	if len(streams) == 0 {
		return
	}
	b := reclaim.Batch{
		Streams:      streams,
		Targets:      m.targetShares(service, requests),
		Link:         m.link(now, link),
		SafetyMargin: m.c.Limits.ReclaimMargin,
	}
	for _, r := range leaving {
		b.Sources = append(b.Sources, m.newSource(r, now))
	}
	for _, d := range reclaim.Plan(b) {
		m.count("reclaim.planned." + string(d.Kind))
		pending[d.Request].schedulePlan(d, now, findSource(b.Sources, d.Runner).TimeLeft-b.SafetyMargin)
	}
}

// collectUnplanned returns the requests whose attempt runs at a leaving runner
// and has no valid plan, the streams of these attempts, and the time until which
// the KV cache transfers of earlier plans occupy the network link.
func (m *Models) collectUnplanned(requests []*requestState, listed map[ident.RunnerID]view.Runner, leaving []view.Runner) (map[ident.RequestID]*requestState, []reclaim.Stream, time.Time) {
	pending := map[ident.RequestID]*requestState{}
	var streams []reclaim.Stream
	var linkBusyUntil time.Time
	for _, rs := range requests {
		for _, r := range leaving {
			rs.step(request.RunnerLeaving{Runner: r.ID})
		}
		s, plan, ok := rs.reclaimStream(m.c.Transfer.BytesPerToken)
		if !ok || listed[s.Runner].State != view.Leaving {
			continue
		}
		if plan.isValid(listed) {
			linkBusyUntil = plan.linkBusyUntilAfter(linkBusyUntil)
			continue
		}
		pending[rs.req.ID] = rs
		streams = append(streams, s)
	}
	return pending, streams, linkBusyUntil
}

// isValid reports whether the plan can still be carried out: a later reclaim
// notice may concern its target.
func (p reclaimPlan) isValid(listed map[ident.RunnerID]view.Runner) bool {
	if p.kind == "" || p.target == "" {
		return p.kind != ""
	}
	r, ok := listed[p.target]
	return ok && r.State != view.Leaving
}

// linkBusyUntilAfter returns the time until which the network link is busy once
// this plan is counted too: the later of linkBusyUntil and, if the plan moves a
// KV cache, the end of that transfer.
func (p reclaimPlan) linkBusyUntilAfter(linkBusyUntil time.Time) time.Time {
	if p.kind == reclaim.Move && p.endsAt.After(linkBusyUntil) {
		return p.endsAt
	}
	return linkBusyUntil
}

func findSource(sources []reclaim.Source, id ident.RunnerID) reclaim.Source {
	for _, s := range sources {
		if s.Runner == id {
			return s
		}
	}
	return reclaim.Source{}
}

func (m *Models) newSource(r view.Runner, now time.Time) reclaim.Source {
	timeLeft := m.c.Transfer.Notice
	if !r.LeavesAt.IsZero() {
		timeLeft = r.LeavesAt.Sub(now)
	}
	return reclaim.Source{Runner: r.ID, TimeLeft: timeLeft, DecodeRate: m.c.Transfer.DecodeRate}
}

// gatewayCount returns the number of gateways that may plan for the same
// reclaim at the same time, at least one. The gateways plan without
// coordination, because a reclaim notice leaves no time for it; each uses an
// equal share of the link and of the free capacity.
func (m *Models) gatewayCount() int {
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
		BytesPerSecond: m.c.Transfer.LinkBytesPerSecond / float64(m.gatewayCount()),
		Setup:          m.c.Transfer.Setup,
		BusyFor:        max(busyUntil.Sub(now), 0),
	}
}

// targetShares returns this gateway's share of the free capacity of each live
// runner. The share of free tokens covers at least one long stream
// (minFreeTokens), even if the shares of all gateways then add up to more than
// what is free: engines queue the excess, and a queued stream whose KV cache
// was moved costs less than a stream that loses its KV cache.
func (m *Models) targetShares(service string, requests []*requestState) []reclaim.Target {
	var targetShares []reclaim.Target
	if c, ok := m.c.Picker.(CapacitySource); ok {
		targetShares = c.Targets(service)
	} else {
		targetShares = m.estimateTargets(service, requests)
	}
	n := m.gatewayCount()
	for i := range targetShares {
		targetShares[i].Slots = (targetShares[i].Slots + n - 1) / n
		targetShares[i].FreeTokens = max(targetShares[i].FreeTokens/n, min(targetShares[i].FreeTokens, minFreeTokens))
	}
	return targetShares
}

// estimateTargets estimates the free capacity of live runners from the default
// values and the streams of this gateway only.
func (m *Models) estimateTargets(service string, requests []*requestState) []reclaim.Target {
	ownStreams := map[ident.RunnerID]int{}
	for _, rs := range requests {
		rs.mu.Lock()
		ownStreams[rs.machine.Runner()]++
		rs.mu.Unlock()
	}
	var targets []reclaim.Target
	for _, r := range m.c.Directory.Runners(service) {
		if r.State != view.Live {
			continue
		}
		targets = append(targets, reclaim.Target{
			Runner:      r.ID,
			Slots:       max(defaultStreamsPerRunner-ownStreams[r.ID], 0),
			FreeTokens:  defaultFreeTokens,
			PrefillRate: defaultPrefillRate,
		})
	}
	return targets
}

// reclaimStream describes the current attempt for planning, with its present
// plan. It returns false if no attempt is running.
func (rs *requestState) reclaimStream(bytesPerToken int64) (reclaim.Stream, reclaimPlan, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	runner := rs.machine.Runner()
	if runner == "" {
		return reclaim.Stream{}, reclaimPlan{}, false
	}
	emitted := rs.machine.Answer().Offset()
	contextTokens := promptTokens(rs.req.Prompt) + emitted
	plan := rs.plan
	if plan.attempt != rs.machine.Attempt() {
		plan = reclaimPlan{}
	}
	return reclaim.Stream{
		Request:    rs.req.ID,
		Runner:     runner,
		Urgent:     !rs.spec.Deferrable,
		Context:    contextTokens,
		Remaining:  rs.req.MaxTokens - emitted,
		CacheBytes: int64(contextTokens) * bytesPerToken,
	}, plan, true
}

// promptTokens counts whitespace-separated words, which is how the engine API
// counts tokens.
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

// schedulePlan carries out a decision at its start time. A stream that is to
// finish in place, or to wait, is evicted from the runner after evictAfter if
// it is still running then: when the VM ends, the stream would break without
// any notification.
func (rs *requestState) schedulePlan(d reclaim.Decision, now time.Time, evictAfter time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	attempt := rs.machine.Attempt()
	rs.plan = reclaimPlan{attempt: attempt, kind: d.Kind, target: d.Target, endsAt: now.Add(d.End)}
	delay := d.Start
	input := request.Input(request.Relocate{Attempt: attempt, Target: d.Target, Export: d.Kind == reclaim.Move})
	if d.Target == "" {
		delay = evictAfter
		input = request.Evict{Attempt: attempt}
	}
	if rs.planTimer != nil {
		rs.planTimer.Stop()
	}
	rs.planTimer = time.AfterFunc(max(delay, 0), func() { rs.step(input) })
}

func (m *Models) inProgress() []*requestState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var requests []*requestState
	for _, rs := range m.requestState {
		if rs.inProgress() {
			requests = append(requests, rs)
		}
	}
	return requests
}

func (rs *requestState) inProgress() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.ended.IsZero()
}
