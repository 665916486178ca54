package edge

import (
	"context"
	"fmt"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/quarantine"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// A part of a prompt, or a request as a whole, may make each runner fail that gets it. The daemons tell each
// other under which requests runners fail, and refuse requests with such a cause; package quarantine makes
// the decisions.

const (
	// maxEventsAtFailure is the number of events up to which an answer is at its beginning.
	maxEventsAtFailure = 2
	// probeAskTimeout is the time that the daemon that decides about probes has to answer.
	probeAskTimeout = 40 * time.Millisecond
	// failingRetryAfter is the least retry time of a request under which runners fail.
	failingRetryAfter = 10 * time.Second
)

// failureCauses holds what this daemon knows of causes under which runners have failed.
type failureCauses struct {
	mu    sync.Mutex
	table *quarantine.Table
	// asks holds the unanswered questions for probes.
	asks asks[bool]
	news news[quarantine.Cause]
	// toldSuspects is the number of causes that count for maxNewSuspectsPerSecond in the second that began
	// at toldSince.
	toldSuspects int
	toldSince    time.Duration
}

func (f *failureCauses) init() {
	f.table = quarantine.New()
	f.asks.init()
	f.news = news[quarantine.Cause]{}
}

// isEmpty reports whether no runner has failed lately.
func (f *failureCauses) isEmpty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Len() == 0
}

func (f *failureCauses) expire(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Expire(now)
}

// partsOf returns the parts of a prompt that other prompts to the service may hold, too.
func partsOf(service string, p *Prompt) []quarantine.Cause {
	shared := p.SharedParts()
	if len(shared) == 0 {
		return nil
	}
	parts := make([]quarantine.Cause, 0, len(shared))
	for _, hash := range shared {
		parts = append(parts, quarantine.PartOf(service, hash))
	}
	return parts
}

// content returns the cause that is the request itself.
func (s *requestHandler) content() quarantine.Cause {
	if !s.contentKnown {
		s.contentKnown = true
		s.contentCause = quarantine.Cause{Kind: quarantine.Request, Hash: uint64(contentOf(s.req, s.workspace))}
	}
	return s.contentCause
}

// checkCauses refuses a request under which runners fail, for itself or for a part of its prompt, unless the
// request probes that cause.
func (s *requestHandler) checkCauses(ctx context.Context) *refusal.Refusal {
	blocked := s.blockingCauses()
	if len(blocked) == 0 || len(blocked) == 1 && s.mayProbe(ctx, blocked[0]) {
		return nil
	}
	reason, description := refusal.FailingPart, "prompt part"
	if blocked[0].Kind == quarantine.Request {
		reason, description = refusal.FailingRequest, "the request with content"
	}
	now := s.edge.deps.Steady()
	probe, _ := s.edge.failureCauses.probeTime(now, blocked[0])
	wait := max(failingRetryAfter, probe-now)
	return refusal.New(reason, "runners fail under %s %v", description, blocked[0]).After(wait)
}

// blockingCauses returns the causes for which the request may not be sent to a runner now, the request itself
// first: those in quarantine, and those suspected ones under which it has already seen a runner fail.
func (s *requestHandler) blockingCauses() []quarantine.Cause {
	f := &s.edge.failureCauses
	if f.isEmpty() {
		return nil
	}
	probed := s.probed
	if s.exchange.Sent() > 0 {
		// A probe is a single send.
		probed = nil
	}
	content := s.content()
	var blocked []quarantine.Cause
	now := s.edge.deps.Steady()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range append([]quarantine.Cause{content}, s.parts...) {
		sawFailure := s.sawFailure
		if c == content {
			// Whatever became of an earlier attempt, it must not be the third runner that fails.
			sawFailure = s.exchange.MayHaveRun()
		}
		v := f.table.Verdict(now, c)
		if v == quarantine.Quarantined && (probed == nil || *probed != c) || v == quarantine.Suspected && sawFailure {
			blocked = append(blocked, c)
		}
	}
	return blocked
}

// probeTime returns when a cause may be probed next, and false if it is not quarantined.
func (f *failureCauses) probeTime(now time.Duration, c quarantine.Cause) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.ProbeAt(now, c)
}

// mayProbe reports whether the request may be sent to a runner although it holds a quarantined cause. One
// that has been sent before may not, and of one that is delegated the helper decides.
func (s *requestHandler) mayProbe(ctx context.Context, c quarantine.Cause) bool {
	e := s.edge
	at, quarantined := e.failureCauses.probeTime(s.edge.deps.Steady(), c)
	if !quarantined || s.exchange.Sent() > 0 || s.delegates() || e.deps.Steady() < at || !e.askForProbe(ctx, c) {
		return false
	}
	s.probed = &c
	s.note(causeEvents[c.Kind].probed, causeField(c))
	return true
}

// causeEvents are the events in the log that concern causes of each kind.
var causeEvents = map[quarantine.Kind]struct{ verdict, probed decisions.Event }{
	quarantine.Part:    {"part_verdict", "part_probed"},
	quarantine.Request: {"request_verdict", "request_probed"},
}

func causeField(c quarantine.Cause) decisions.Field {
	if c.Kind == quarantine.Request {
		return decisions.F("content", c)
	}
	return decisions.F("part", c)
}

// askForProbe asks the daemon that decides about the probes of a cause.
func (e *Edge) askForProbe(ctx context.Context, c quarantine.Cause) bool {
	to := e.followedRelays()
	forwarded := len(to) == 0
	if forwarded {
		to = e.rankedGranters(c.Hash, 1)
	}
	if len(to) == 0 {
		return false
	}
	if to[0] == e.settings.PeerAddress {
		return e.takeProbe(c)
	}
	id, answers := e.failureCauses.asks.add()
	defer e.failureCauses.asks.remove(id)
	e.sendTo(to[0], &peersv1.Datagram{CauseProbeAsk: &peersv1.CauseProbeAsk{
		Id: id, PeerAddress: e.settings.PeerAddress, Hash: c.Hash, Request: c.Kind == quarantine.Request, Forwarded: forwarded,
	}})
	granted, answered := awaitAnswer(ctx, answers, probeAskTimeout)
	return answered && granted
}

// takeProbe decides about a probe of a cause and tells the other daemons if it is made.
func (e *Edge) takeProbe(c quarantine.Cause) bool {
	e.failureCauses.mu.Lock()
	defer e.failureCauses.mu.Unlock()
	if !e.failureCauses.table.TakeProbe(e.deps.Steady(), c) {
		return false
	}
	e.spreadCauseLocked(c, false)
	return true
}

// handleCauseProbeAsk decides about a probe, or forwards the question to the daemon that does.
func (e *Edge) handleCauseProbeAsk(ask *peersv1.CauseProbeAsk) {
	c := decodeCause(ask.Hash, ask.Request)
	decides := e.rankedGranters(ask.Hash, 1)
	if !ask.Forwarded && len(decides) > 0 && decides[0] != e.settings.PeerAddress {
		ask.Forwarded = true
		e.sendTo(decides[0], &peersv1.Datagram{CauseProbeAsk: ask})
		return
	}
	e.sendTo(ask.PeerAddress, &peersv1.Datagram{CauseProbeAnswer: &peersv1.CauseProbeAnswer{Id: ask.Id, Granted: e.takeProbe(c)}})
}

// recordRunnerFailure records the causes that the request holds if its runner has failed. The parts of the
// prompt count only at the beginning of the answer.
func (a *attempt) recordRunnerFailure(ctx context.Context, failure *forward.FailedAttempt) {
	s := a.s
	now := s.edge.deps.Steady()
	sent := now - time.Since(a.sent)
	if !failure.Sent || ctx.Err() != nil || !a.runnerHasFailed(ctx, failure.Reason) {
		return
	}
	causes := []quarantine.Cause{s.content()}
	if failure.Reason == retry.Broken && a.eventCount() <= maxEventsAtFailure {
		causes = append(causes, s.parts...)
		s.sawFailure = s.sawFailure || a.begun
	}
	s.edge.recordFailure(causes, quarantine.Failure{Runner: runnerHash(a.choice.Runner), At: now, Sent: sent, Begun: a.begun})
	s.note("runner_failed", decisions.F("runner", a.choice.Runner), decisions.F("reason", failure.Reason), decisions.F("begun", a.begun),
		decisions.F("events", a.eventCount()), causeField(causes[0]), decisions.F("parts", fmt.Sprint(causes[1:])))
}

// runnerHasFailed reports whether the attempt's runner has failed, rather than its connection. One that is leaving ends
// whatever it is asked.
func (a *attempt) runnerHasFailed(ctx context.Context, reason retry.Reason) bool {
	if a.s.edge.isLeaving(a.entry.ID) {
		return false
	}
	switch reason {
	case retry.Broken:
		return a.runnerHasFallen(ctx)
	case retry.Silent:
		return a.runnerIsDark(ctx)
	}
	return false
}

func (e *Edge) recordFailure(causes []quarantine.Cause, f quarantine.Failure) {
	e.failureCauses.mu.Lock()
	defer e.failureCauses.mu.Unlock()
	now := e.deps.Steady()
	for _, c := range causes {
		before := e.failureCauses.table.Verdict(now, c)
		e.failureCauses.table.RecordFailure(c, f)
		e.noteVerdictLocked(c, before)
		e.spreadCauseLocked(c, false)
	}
}

// recordPartsAnswered records that an answer has gone beyond its beginning, so that the parts of its
// prompt did not make the runner fail.
func (a *attempt) recordPartsAnswered() {
	if a.partsAnswered || a.helper != "" {
		return
	}
	a.partsAnswered = true
	a.s.edge.recordAnswer(a.s.parts)
}

// recordAnswered records that the request has been answered in full.
func (a *attempt) recordAnswered() {
	a.recordPartsAnswered()
	a.recordShareAnswer()
	if a.helper == "" && !a.s.edge.failureCauses.isEmpty() {
		a.s.edge.recordAnswer([]quarantine.Cause{a.s.content()})
	}
}

func (e *Edge) recordAnswer(causes []quarantine.Cause) {
	f := &e.failureCauses
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Len() == 0 {
		return
	}
	now := e.deps.Steady()
	for _, c := range causes {
		before := f.table.Verdict(now, c)
		if f.table.RecordAnswer(now, c) {
			e.noteVerdictLocked(c, before)
			e.spreadCauseLocked(c, false)
		}
	}
}

// noteVerdictLocked logs a change of the verdict about a cause. The caller must hold failureCauses.mu.
func (e *Edge) noteVerdictLocked(c quarantine.Cause, before quarantine.Verdict) {
	after := e.failureCauses.table.Verdict(e.deps.Steady(), c)
	if after == before {
		return
	}
	s, _ := e.failureCauses.table.Statement(c)
	e.log.Note(causeEvents[c.Kind].verdict, causeField(c), decisions.F("verdict", after), decisions.F("before", before),
		decisions.F("failures", len(s.Failures)), decisions.F("probes", s.Probes))
}
