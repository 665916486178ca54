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

// A part of a prompt may make each runner fail that begins to answer it. The daemons tell each other
// under which requests runners fail, and refuse requests with such a part; package quarantine makes the
// decisions.

const (
	// maxEventsAtFailure is the number of events up to which an answer is at its beginning.
	maxEventsAtFailure = 2
	// maxPartsPerMessage bounds the parts in one message.
	maxPartsPerMessage = 16
	// probeAskTimeout is the time that the daemon that decides about probes has to answer.
	probeAskTimeout = 40 * time.Millisecond
	// failingPartRetryAfter is the least retry time of a request with a quarantined part.
	failingPartRetryAfter = 10 * time.Second
)

// failingParts holds what this daemon knows of parts under which runners have failed.
type failingParts struct {
	mu    sync.Mutex
	table *quarantine.Table
	// asks holds the unanswered questions for probes.
	asks asks[bool]
	news news[quarantine.Part]
}

func (f *failingParts) init() {
	f.table = quarantine.New()
	f.asks.init()
	f.news = news[quarantine.Part]{}
}

func (f *failingParts) expire(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Expire(now)
}

// partsOf returns the parts of a prompt that other prompts to the service may hold, too.
func partsOf(service string, p *Prompt) []quarantine.Part {
	shared := p.SharedParts()
	if len(shared) == 0 {
		return nil
	}
	parts := make([]quarantine.Part, 0, len(shared))
	for _, hash := range shared {
		parts = append(parts, quarantine.PartOf(service, hash))
	}
	return parts
}

// checkParts refuses a request with a part that makes runners fail, unless the request probes that
// part. A request that has seen a runner fail is not repeated once one of its parts is suspected.
func (s *requestHandler) checkParts(ctx context.Context) *refusal.Refusal {
	probed := s.probed
	if s.exchange.Sent() > 0 {
		// A probe is a single send.
		probed = 0
	}
	quarantined, suspected := s.edge.failingParts.find(s.parts, probed)
	blocked := quarantined
	if s.sawFailure {
		blocked = append(blocked, suspected...)
	}
	if len(blocked) == 0 || len(quarantined) == 1 && s.mayProbe(ctx, quarantined[0]) {
		return nil
	}
	now := s.edge.deps.Steady()
	wait := max(failingPartRetryAfter, s.edge.failingParts.probeAt(blocked[0])-now)
	return s.orUnknown(refusal.New(refusal.FailingPart, "runners fail under prompt part %v", blocked[0]).After(wait))
}

// find returns the quarantined and the suspected ones of the parts, other than the one that the request
// probes.
func (f *failingParts) find(parts []quarantine.Part, probed quarantine.Part) (quarantined, suspected []quarantine.Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Len() == 0 {
		return nil, nil
	}
	for _, p := range parts {
		switch v := f.table.Verdict(p); {
		case p == probed:
		case v == quarantine.Quarantined:
			quarantined = append(quarantined, p)
		case v == quarantine.Suspected:
			suspected = append(suspected, p)
		}
	}
	return quarantined, suspected
}

func (f *failingParts) probeAt(p quarantine.Part) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, _ := f.table.ProbeAt(p)
	return at
}

// mayProbe reports whether the request may be sent to a runner although it holds a quarantined part. One
// that has been sent before may not, and of one that is delegated the helper decides.
func (s *requestHandler) mayProbe(ctx context.Context, p quarantine.Part) bool {
	e := s.edge
	if s.exchange.Sent() > 0 || s.delegates() || e.deps.Steady() < e.failingParts.probeAt(p) || !e.askForProbe(ctx, p) {
		return false
	}
	s.probed = p
	s.note("part_probed", decisions.F("part", p))
	return true
}

// askForProbe asks the daemon that decides about the probes of a part.
func (e *Edge) askForProbe(ctx context.Context, p quarantine.Part) bool {
	to := e.followedRelays()
	forwarded := len(to) == 0
	if forwarded {
		to = e.rankedGranters(uint64(p), 1)
	}
	if len(to) == 0 {
		return false
	}
	if to[0] == e.settings.PeerAddress {
		return e.takeProbe(p)
	}
	id, answers := e.failingParts.asks.add()
	defer e.failingParts.asks.remove(id)
	e.sendTo(to[0], &peersv1.Datagram{PartProbeAsk: &peersv1.PartProbeAsk{Id: id, PeerAddress: e.settings.PeerAddress, Part: uint64(p), Forwarded: forwarded}})
	granted, answered := awaitAnswer(ctx, answers, probeAskTimeout)
	return answered && granted
}

// takeProbe decides about a probe of a part and tells the other daemons if it is made.
func (e *Edge) takeProbe(p quarantine.Part) bool {
	e.failingParts.mu.Lock()
	defer e.failingParts.mu.Unlock()
	if !e.failingParts.table.TakeProbe(e.deps.Steady(), p) {
		return false
	}
	e.spreadPartLocked(p, false)
	return true
}

// handlePartProbeAsk decides about a probe, or forwards the question to the daemon that does.
func (e *Edge) handlePartProbeAsk(ask *peersv1.PartProbeAsk) {
	p := quarantine.Part(ask.Part)
	decides := e.rankedGranters(ask.Part, 1)
	if !ask.Forwarded && len(decides) > 0 && decides[0] != e.settings.PeerAddress {
		ask.Forwarded = true
		e.sendTo(decides[0], &peersv1.Datagram{PartProbeAsk: ask})
		return
	}
	e.sendTo(ask.PeerAddress, &peersv1.Datagram{PartProbeAnswer: &peersv1.PartProbeAnswer{Id: ask.Id, Granted: e.takeProbe(p)}})
}

// recordRunnerFailure records the parts of the request's prompt if its runner has failed at the
// beginning of the answer.
func (a *attempt) recordRunnerFailure(ctx context.Context, failure *forward.FailedAttempt) {
	s := a.s
	if len(s.parts) == 0 || failure.Reason != retry.Broken || !failure.Sent || a.eventCount() > maxEventsAtFailure {
		return
	}
	now := s.edge.deps.Steady()
	sent := now - time.Since(a.sent)
	if !a.runnerHasFallen(ctx) {
		return
	}
	s.sawFailure = s.sawFailure || a.begun
	f := quarantine.Failure{Runner: runnerHash(a.choice.Runner), At: now, Sent: sent, Begun: a.begun}
	s.edge.recordPartFailure(s.parts, f)
	s.note("runner_failed", decisions.F("runner", a.choice.Runner), decisions.F("begun", a.begun), decisions.F("events", a.eventCount()), decisions.F("parts", fmt.Sprint(s.parts)))
}

func (e *Edge) recordPartFailure(parts []quarantine.Part, f quarantine.Failure) {
	e.failingParts.mu.Lock()
	defer e.failingParts.mu.Unlock()
	for _, p := range parts {
		before := e.failingParts.table.Verdict(p)
		e.failingParts.table.RecordFailure(p, f)
		e.notePartVerdictLocked(p, before)
		e.spreadPartLocked(p, false)
	}
}

// recordPartsAnswered records that an answer has gone beyond its beginning, so that the parts of its
// prompt did not make the runner fail.
func (a *attempt) recordPartsAnswered() {
	s := a.s
	if a.partsAnswered || a.helper != "" || len(s.parts) == 0 {
		return
	}
	a.partsAnswered = true
	f := &s.edge.failingParts
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Len() == 0 {
		return
	}
	now := s.edge.deps.Steady()
	for _, p := range s.parts {
		before := f.table.Verdict(p)
		if f.table.RecordAnswer(now, p) {
			s.edge.notePartVerdictLocked(p, before)
			s.edge.spreadPartLocked(p, false)
		}
	}
}

// notePartVerdictLocked logs a change of the verdict about a part. The caller must hold
// failingParts.mu.
func (e *Edge) notePartVerdictLocked(p quarantine.Part, before quarantine.Verdict) {
	after := e.failingParts.table.Verdict(p)
	if after == before {
		return
	}
	s, _ := e.failingParts.table.Statement(p)
	e.log.Note("part_verdict", decisions.F("part", p), decisions.F("verdict", after), decisions.F("before", before),
		decisions.F("failures", len(s.Failures)), decisions.F("probes", s.Probes))
}

// spreadPartLocked tells other daemons of a part, together with the other news of the next moment. The
// caller must hold failingParts.mu.
func (e *Edge) spreadPartLocked(p quarantine.Part, byRelay bool) {
	e.failingParts.news.add(p, byRelay, e.sendPartNews)
}

// sendPartNews sends the news of parts on, like sendLimitNews.
func (e *Edge) sendPartNews() {
	now := e.deps.Steady()
	f := &e.failingParts
	f.mu.Lock()
	var own, relayed []*peersv1.PartState
	for p, byRelay := range f.news {
		s, known := f.table.Statement(p)
		if !known {
			continue
		}
		m := encodePart(now, s)
		if relayed = append(relayed, m); !byRelay {
			own = append(own, m)
		}
	}
	clear(f.news)
	f.mu.Unlock()
	relays, followers, isRelay := e.newsRecipients()
	e.sendParts(relays, own, isRelay)
	e.sendParts(followers, relayed, isRelay)
}

func (e *Edge) sendParts(addresses []string, parts []*peersv1.PartState, relayed bool) {
	for start := 0; start < len(parts); start += maxPartsPerMessage {
		end := min(start+maxPartsPerMessage, len(parts))
		e.sendToAll(addresses, &peersv1.Datagram{PartNews: &peersv1.PartNews{Parts: parts[start:end], Relayed: relayed}})
	}
}

// handlePartNews records news of parts, and a relay passes on what it did not know.
func (e *Edge) handlePartNews(n *peersv1.PartNews) {
	changed := e.receiveParts(n.Parts)
	if !e.relayMode.Load() || e.directMode.Load() {
		return
	}
	e.failingParts.mu.Lock()
	defer e.failingParts.mu.Unlock()
	for _, p := range changed {
		e.spreadPartLocked(p, n.Relayed)
	}
}

// receiveParts records what another daemon knows of parts, and returns those of which it knew more.
func (e *Edge) receiveParts(parts []*peersv1.PartState) []quarantine.Part {
	if len(parts) == 0 {
		return nil
	}
	now := e.deps.Steady()
	e.failingParts.mu.Lock()
	defer e.failingParts.mu.Unlock()
	var changed []quarantine.Part
	for _, m := range parts {
		s := decodePart(now, m)
		before := e.failingParts.table.Verdict(s.Part)
		if e.failingParts.table.Merge(s) {
			changed = append(changed, s.Part)
			e.notePartVerdictLocked(s.Part, before)
		}
	}
	return changed
}

// statements returns a part of what this daemon knows of parts, for the message with the number seq.
func (f *failingParts) statements(now time.Duration, seq uint64) []*peersv1.PartState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Len() == 0 {
		return nil
	}
	var list []*peersv1.PartState
	for _, s := range rotatingSubset(f.table.Statements(), seq, maxPartsPerMessage) {
		list = append(list, encodePart(now, s))
	}
	return list
}

func encodePart(now time.Duration, s quarantine.Statement) *peersv1.PartState {
	m := &peersv1.PartState{Part: uint64(s.Part), Answered: s.Answered, Probes: uint32(s.Probes)}
	if s.Answered {
		m.AnsweredAgeNs = int64(now - s.AnsweredAt)
	}
	if s.Probes > 0 {
		m.ProbedAgeNs = int64(now - s.ProbedAt)
	}
	for _, f := range s.Failures {
		m.Failures = append(m.Failures, &peersv1.PartFailure{Runner: f.Runner, AgeNs: int64(now - f.At), SentAgeNs: int64(now - f.Sent), Begun: f.Begun})
	}
	return m
}

func decodePart(now time.Duration, m *peersv1.PartState) quarantine.Statement {
	s := quarantine.Statement{Part: quarantine.Part(m.Part), Answered: m.Answered, Probes: int(m.Probes)}
	if s.Answered {
		s.AnsweredAt = now - time.Duration(m.AnsweredAgeNs)
	}
	if s.Probes > 0 {
		s.ProbedAt = now - time.Duration(m.ProbedAgeNs)
	}
	for _, f := range m.Failures {
		s.Failures = append(s.Failures, quarantine.Failure{Runner: f.Runner, At: now - time.Duration(f.AgeNs), Sent: now - time.Duration(f.SentAgeNs), Begun: f.Begun})
	}
	return s
}
