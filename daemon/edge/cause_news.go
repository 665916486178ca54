package edge

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/quarantine"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
)

// This file tells other daemons under which causes runners fail, and takes up what they tell.

const (
	// maxCausesPerMessage bounds the causes in one message.
	maxCausesPerMessage = 16
	// maxNewSuspectsPerSecond bounds the causes told of at once, in a second, that are sound by all that is
	// known. When a failure domain is lost, each of thousands of requests has seen one failure, which says
	// little of any of them.
	maxNewSuspectsPerSecond = 128
	// requestNewsDelay is the time for which runners' failures are collected that a request is told with: those of the same
	// moment must be known together, or they look like several.
	requestNewsDelay = 5 * time.Millisecond
)

// spreadCauseLocked tells other daemons of a cause: at once if it is suspected or quarantined, soon if it is a request, since
// it may come back at any of them within milliseconds, otherwise together with the other news of the next moment. The
// caller must hold failureCauses.mu.
func (e *Edge) spreadCauseLocked(c quarantine.Cause, byRelay bool) {
	e.failureCauses.news.add(c, byRelay, e.sendCauseNews)
	switch {
	case e.failureCauses.table.Verdict(e.deps.Steady(), c) != quarantine.Sound:
		go e.sendCauseNews()
	case c.Kind == quarantine.Request:
		time.AfterFunc(requestNewsDelay, e.sendCauseNews)
	}
}

// sendCauseNews sends the news of causes on, like sendLimitNews.
func (e *Edge) sendCauseNews() {
	now := e.deps.Steady()
	f := &e.failureCauses
	f.mu.Lock()
	own, relayed := takeNews(f.news, func(c quarantine.Cause) (*peersv1.CauseState, bool) {
		s, known := f.table.Statement(c)
		if !known || !f.mayTellLocked(now, c) {
			return nil, false
		}
		return encodeCause(now, s), true
	})
	f.mu.Unlock()
	relays, followers, isRelay := e.newsRecipients()
	e.sendCauses(relays, own, isRelay)
	e.sendCauses(followers, relayed, isRelay)
}

// mayTellLocked reports whether a cause may be told of at once. The caller must hold mu.
func (f *failureCauses) mayTellLocked(now time.Duration, c quarantine.Cause) bool {
	if f.table.Verdict(now, c) != quarantine.Sound {
		return true
	}
	if now >= f.toldSince+time.Second {
		f.toldSince, f.toldSuspects = now, 0
	}
	f.toldSuspects++
	return f.toldSuspects <= maxNewSuspectsPerSecond
}

func (e *Edge) sendCauses(addresses []string, causes []*peersv1.CauseState, relayed bool) {
	for part := range slices.Chunk(causes, maxCausesPerMessage) {
		e.sendToAll(addresses, &peersv1.Datagram{CauseNews: &peersv1.CauseNews{Causes: part, Relayed: relayed}})
	}
}

// handleCauseNews records news of causes, and a relay passes on what it did not know.
func (e *Edge) handleCauseNews(n *peersv1.CauseNews) {
	changed := e.receiveCauses(n.Causes)
	if !e.relayMode.Load() || e.directMode.Load() {
		return
	}
	e.failureCauses.mu.Lock()
	defer e.failureCauses.mu.Unlock()
	for _, c := range changed {
		e.spreadCauseLocked(c, n.Relayed)
	}
}

// receiveCauses records what another daemon knows of causes, and returns those of which it knew more.
func (e *Edge) receiveCauses(causes []*peersv1.CauseState) []quarantine.Cause {
	if len(causes) == 0 {
		return nil
	}
	now := e.deps.Steady()
	e.failureCauses.mu.Lock()
	defer e.failureCauses.mu.Unlock()
	var changed []quarantine.Cause
	for _, m := range causes {
		s := decodeCauseState(now, m)
		before := e.failureCauses.table.Verdict(now, s.Cause)
		if e.failureCauses.table.Merge(s) {
			changed = append(changed, s.Cause)
			e.noteVerdictLocked(s.Cause, before)
		}
	}
	return changed
}

// statements returns a part of what this daemon knows of causes, for the message with the number seq.
func (f *failureCauses) statements(now time.Duration, seq uint64) []*peersv1.CauseState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Len() == 0 {
		return nil
	}
	var list []*peersv1.CauseState
	for _, s := range rotatingSubset(f.table.Repeated(now), seq, maxCausesPerMessage) {
		list = append(list, encodeCause(now, s))
	}
	return list
}

func decodeCause(hash uint64, request bool) quarantine.Cause {
	c := quarantine.Cause{Kind: quarantine.Part, Hash: hash}
	if request {
		c.Kind = quarantine.Request
	}
	return c
}

func encodeCause(now time.Duration, s quarantine.Statement) *peersv1.CauseState {
	m := &peersv1.CauseState{Hash: s.Cause.Hash, Request: s.Cause.Kind == quarantine.Request, Answered: s.Answered, Probes: uint32(s.Probes)}
	if s.Answered {
		m.AnsweredAgeNs = int64(now - s.AnsweredAt)
	}
	if s.Probes > 0 {
		m.ProbedAgeNs = int64(now - s.ProbedAt)
	}
	for _, f := range s.Failures {
		m.Failures = append(m.Failures, &peersv1.CauseFailure{Runner: f.Runner, AgeNs: int64(now - f.At), SentAgeNs: int64(now - f.Sent), Begun: f.Begun})
	}
	return m
}

func decodeCauseState(now time.Duration, m *peersv1.CauseState) quarantine.Statement {
	s := quarantine.Statement{Cause: decodeCause(m.Hash, m.Request), Answered: m.Answered, Probes: int(m.Probes)}
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
