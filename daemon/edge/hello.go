package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/quota"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// maxAddresses bounds the peer addresses in one message. They only help daemons that have
	// just started, and those receive messages of several daemons ten times a second.
	maxAddresses = 4
	// noticeRepeatPeriod is the time for which messages list a runner that has given notice
	// that it leaves: the longest time that a daemon may need to read the notice from the
	// key-value service, and a few messages more.
	noticeRepeatPeriod = largeFleetBatchDelay + time.Second
	// maxLeaving bounds the leaving runners listed in one message. When more leave at once, the
	// changes of their entries, which are compressed, arrive sooner than their hashes would.
	maxLeaving = 256
)

// baseHello returns a new message with the fields that every recipient gets. The caller must
// hold e.mu.
func (e *Edge) baseHello(now time.Duration) *peersv1.Hello {
	self := e.peers.Self()
	e.seq++
	h := &peersv1.Hello{
		Daemon:        string(self.ID),
		Incarnation:   string(self.Incarnation),
		FailureDomain: string(self.FailureDomain),
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
		Phase:         uint32(self.Phase),
		StartedUnixMs: self.Started,
		Seq:           e.seq,
		StampNs:       int64(now),
		AgeNs:         int64(e.limiter.Age(now)),
		TimeUnixNs:    e.wallClock.LocalTime(now).UnixNano(),
		Relay:         e.relayPlan.Relay,
		Joining:       !e.hearsAny(now, e.alive),
	}
	if e.settings.Policy.Uses(TellLeaving) {
		h.Leaving = rotatingSubset(e.dir.leavingHashesSince(now-noticeRepeatPeriod), e.seq, maxLeaving)
	}
	h.Unreachable = e.unreachableServices()
	h.Limits = e.runnerLimits.statements(now, e.seq)
	e.addVersionHistory(now, h)
	h.Causes = e.failureCauses.statements(now, e.seq)
	h.Ranks = e.ranksWithFollowers()
	sent := e.usageLedger.Sent()
	h.UsageSentThrough, h.UsageSentComplete = int64(sent.ToTell()), sent.Complete()
	if e.relayPlan.Direct {
		h.Addresses = rotatingSubset(e.peers.Addresses(), e.seq, maxAddresses)
	}
	return h
}

// quotaUses returns a message with what this daemon took out of the quotas, or nil if it doesn't
// share them. The caller must hold e.mu.
func (e *Edge) quotaUses(now time.Duration) *peersv1.Hello {
	if !e.relayPlan.Granter {
		return nil
	}
	h := &peersv1.Hello{}
	for ws, use := range e.limiter.Uses(now) {
		h.Uses = append(h.Uses, &peersv1.Use{Workspace: string(ws), Taken: use.Taken, Level: use.Level})
	}
	return h
}

// addWork adds work in progress at the runners, the prompt tokens that callers brought, and
// recent placements.
func addWork(h *peersv1.Hello, w workSummary) {
	for _, l := range w.loads {
		if l.Requests > 0 {
			h.Loads = append(h.Loads, &peersv1.Load{
				Runner: string(l.Runner), PrefillTokens: uint32(l.Prefill), Requests: uint32(l.Requests), KvTokens: uint32(l.KV),
			})
		}
	}
	for service, tokens := range w.offeredTokens {
		h.Offered = append(h.Offered, &peersv1.Offered{Service: service, PromptTokens: tokens})
	}
	h.Placed = w.placed
}

// stampReply returns the fields by which one daemon learns how recent its configuration is: the
// echo of its last time stamp and this daemon's configuration version. The caller must hold
// e.mu.
func (e *Edge) stampReply(to ident.Incarnation) *peersv1.Hello {
	var stamp *freshness.Stamp
	if s, ok := e.stamps[to]; ok {
		stamp = &s
	}
	w := e.fresh.StatementFor(stamp)
	return &peersv1.Hello{EchoNs: int64(w.Echo), LagNs: int64(w.Lag), Proved: w.Proved, ConfigVersion: w.Version, ConfigWanted: e.fresh.Lost()}
}

func encodeRow(r peers.Row) *peersv1.Row {
	return &peersv1.Row{
		Daemon: string(r.ID), Incarnation: string(r.Incarnation), FailureDomain: string(r.FailureDomain),
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, Phase: uint32(r.Phase), Seq: r.Seq, StartedUnixMs: r.Started,
	}
}

func decodeRow(r *peersv1.Row) peers.Row {
	return peers.Row{Seq: r.Seq, Member: peers.Member{
		ID: ident.DaemonID(r.Daemon), Incarnation: ident.Incarnation(r.Incarnation), FailureDomain: ident.FailureDomain(r.FailureDomain),
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, Phase: peers.Phase(r.Phase), Started: r.StartedUnixMs,
	}}
}

func decodeUses(h *peersv1.Hello) map[ident.Workspace]quota.Use {
	uses := make(map[ident.Workspace]quota.Use, len(h.Uses))
	for _, u := range h.Uses {
		uses[ident.Workspace(u.Workspace)] = quota.Use{Taken: u.Taken, Level: u.Level}
	}
	return uses
}
