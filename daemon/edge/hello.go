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
	// maxAddresses bounds the addresses in a message. They only help daemons that have
	// just started, which hear several daemons ten times a second.
	maxAddresses = 4
	// noticeRepeatPeriod is how long the others are told of a runner's notice: as long as one may
	// need to read it, and a few messages.
	noticeRepeatPeriod = gatherLong + time.Second
	// maxLeaving bounds the runners that are told to be leaving in one message.
	maxLeaving = 3000
)

// baseHello is what everybody is told; called with mu held.
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
		TimeUnixNs:    e.wall.LocalTime(now).UnixNano(),
		Relay:         e.plan.Relay,
		Joining:       !e.hearsAny(now, e.alive),
	}
	if e.set.Policy.Uses(TellLeaving) {
		h.Leaving = rotatingSubset(e.dir.noticedSince(now-noticeRepeatPeriod), e.seq, maxLeaving)
	}
	if e.plan.Direct {
		h.Addresses = rotatingSubset(e.peers.Addresses(), e.seq, maxAddresses)
	}
	return h
}

// addQuotaUses tells what this relay took of the quotas; called with mu held.
func (e *Edge) addQuotaUses(now time.Duration, h *peersv1.Hello) {
	for ws, use := range e.limiter.Uses(now) {
		h.Uses = append(h.Uses, &peersv1.Use{Workspace: string(ws), Taken: use.Taken, Level: use.Level})
	}
}

// addWork tells of work at the runners.
func addWork(h *peersv1.Hello, w work) {
	for _, l := range w.loads {
		if l.Requests > 0 {
			h.Loads = append(h.Loads, &peersv1.Load{
				Runner: string(l.Runner), PrefillTokens: uint32(l.Prefill), Requests: uint32(l.Requests), KvTokens: uint32(l.KV),
			})
		}
	}
	for service, tokens := range w.offered {
		h.Offered = append(h.Offered, &peersv1.Offered{Service: service, PromptTokens: tokens})
	}
	h.Placed = w.placed
}

// stampReply is what one daemon is told of its last stamp; called with mu held.
func (e *Edge) stampReply(to ident.Incarnation) *peersv1.Hello {
	var stamp *freshness.Stamp
	if s, ok := e.stamps[to]; ok {
		stamp = &s
	}
	w := e.fresh.StatementFor(stamp)
	return &peersv1.Hello{EchoNs: int64(w.Echo), LagNs: int64(w.Lag), Proved: w.Proved, ConfigRevision: w.Revision}
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
