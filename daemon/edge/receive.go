package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
)

// socketCloseGrace is the time in which the context must end after the socket was closed, for
// the close to count as part of the shutdown.
const socketCloseGrace = 100 * time.Millisecond

// receiveDatagrams handles the datagrams of other daemons until the context ends. It closes the
// socket itself before it returns: the close that the end of the context triggers may come
// later, and a daemon that is started at the same address next would find the address in use.
func (e *Edge) receiveDatagrams(ctx context.Context) error {
	defer e.deps.Datagrams.Close()
	stop := context.AfterFunc(ctx, func() { e.deps.Datagrams.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, _, err := e.deps.Datagrams.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			// During shutdown the socket may be closed just before the context ends.
			pause.For(ctx, socketCloseGrace)
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("receive datagrams: %w", err)
		}
		if err != nil {
			// A datagram sent to a closed port surfaces as an error of the next read.
			e.log.Count("peers.receive_failed")
			continue
		}
		var d peersv1.Datagram
		if err := proto.Unmarshal(buffer[:n], &d); err != nil {
			e.log.Note("message_ignored", decisions.F("reason", err.Error()))
			continue
		}
		e.dispatch(ctx, &d)
	}
}

func (e *Edge) dispatch(ctx context.Context, d *peersv1.Datagram) {
	switch {
	case d.Ask != nil:
		e.handleAsk(d.Ask)
	case d.Grant != nil:
		e.handleGrant(d.Grant)
	case d.Refund != nil:
		e.handleRefund(d.Refund)
	case d.TrialReport != nil:
		e.receiveTrialReport(d.TrialReport)
	case d.TrialAllowance != nil:
		e.receiveAllowance(d.TrialAllowance)
	case d.PermitRequest != nil:
		e.handlePermitRequest(d.PermitRequest)
	case d.Permit != nil:
		e.handlePermit(d.Permit)
	case d.PermitReturn != nil:
		e.handlePermitReturn(d.PermitReturn)
	case d.LimitNews != nil:
		e.handleLimitNews(d.LimitNews)
	case d.StreamRecord != nil:
		e.handleStreamRecord(d.StreamRecord)
	case d.StreamRecordAck != nil:
		e.streams.sends.answer(d.StreamRecordAck.Id, struct{}{})
	case d.StreamBatch != nil:
		e.handleStreamBatch(d.StreamBatch)
	case d.StreamAsk != nil:
		e.handleStreamAsk(d.StreamAsk)
	case d.StreamAnswer != nil:
		e.streams.asks.answer(d.StreamAnswer.Id, canary.Version(d.StreamAnswer.Version))
	case d.CauseNews != nil:
		e.handleCauseNews(d.CauseNews)
	case d.CauseProbeAsk != nil:
		e.handleCauseProbeAsk(d.CauseProbeAsk)
	case d.CauseProbeAnswer != nil:
		e.failureCauses.asks.answer(d.CauseProbeAnswer.Id, d.CauseProbeAnswer.Granted)
	case d.Hello != nil:
		e.handleHello(ctx, d.Hello)
	}
}

// handleHello processes the state that another daemon sent.
func (e *Edge) handleHello(ctx context.Context, h *peersv1.Hello) {
	if h.Feed != nil {
		// The feed comes first, so that a newer configuration in it need not be read from the
		// key-value service.
		e.applyFeed(h.Feed)
	}
	id := ident.Incarnation(h.Incarnation)
	now := e.deps.Steady()
	e.mu.Lock()
	fresh, ended := e.peers.Receive(now, peers.Member{
		ID: ident.DaemonID(h.Daemon), Incarnation: id, FailureDomain: ident.FailureDomain(h.FailureDomain),
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Phase: peers.Phase(h.Phase), Started: h.StartedUnixMs,
	}, h.Seq)
	if !fresh {
		e.mu.Unlock()
		return
	}
	if _, known := e.stamps[id]; !known {
		e.log.Note("daemon_heard", decisions.F("incarnation", id), decisions.F("address", h.PeerAddress))
	}
	e.updateMembers(now, id, h, ended)
	e.stamps[id] = freshness.Stamp{Sent: time.Duration(h.StampNs), Received: now}
	e.wallClock.Receive(id, time.Unix(0, h.TimeUnixNs), now)
	e.fair.ranks[id] = h.Ranks
	e.updateQuotaUses(now, id, h)
	e.handleCounts(now, id, h)
	if sent := accounting.Window(h.UsageSentThrough); sent <= e.usageLedger.WindowAt(e.wallClock.At(now)) {
		// A clock that runs far ahead must not end the reports of the fleet.
		e.usageLedger.Sent().Learn(sent, h.UsageSentComplete)
	}
	e.receiveUnreachable(now, id, h.Unreachable)
	if e.fresh.Receive(now, freshness.Statement{
		Version: h.ConfigVersion, Echo: time.Duration(h.EchoNs), Lag: time.Duration(h.LagNs), Proved: h.Proved,
	}) && e.configBehindSince == 0 {
		e.configBehindSince = max(1, now)
	}
	readConfig := e.shouldReadConfig(now)
	e.refreshPhase(now)
	source := e.workSourceOf(id, h)
	reply := e.replyAtOnce(now, id, h)
	e.mu.Unlock()
	e.sendMulticast(reply)
	if readConfig {
		go e.confirmConfig(ctx)
	}
	e.receiveLeaving(h.Leaving)
	e.receiveRunnerLimits(h.PeerAddress, h.Limits)
	e.receiveVersionHistory(now, h)
	e.receiveCauses(h.Causes)
	e.receiveReturns(now, h)
	e.receiveWork(id, h, source)
	e.receiveSpeeds(id, h, source)
	e.receivePlacements(h.Placed, source == sourceFollower)
}

// updateMembers updates the peer table by the daemons that a message lists. The caller must
// hold e.mu.
func (e *Edge) updateMembers(now time.Duration, id ident.Incarnation, h *peersv1.Hello, ended []ident.Incarnation) {
	if h.Roster != nil {
		rows := make([]peers.Row, 0, len(h.Roster.Rows))
		for _, r := range h.Roster.Rows {
			rows = append(rows, decodeRow(r))
		}
		if h.Roster.Followers {
			e.dropFollowersQuotaUse(rows)
		}
		ended = append(ended, e.peers.ReceiveRoster(now, id, rows, int(h.Roster.Fleet), int(h.Roster.Domains))...)
	}
	for _, r := range h.Introduced {
		e.peers.Reintroduce(now, decodeRow(r))
	}
	for _, a := range h.Addresses {
		e.peers.LearnAddress(now, a)
	}
	for _, former := range ended {
		e.removePeer(former, "replaced")
	}
	e.updateFollower(now, id, h)
	e.handleRelayClaim(now, id, h)
}

// dropFollowersQuotaUse notes that the followers of another relay grant no quota. While a fleet
// starts, each daemon briefly claims to be a relay. Relays that receive no further message of
// such a daemon would otherwise keep a share of the quotas for it. The caller must hold e.mu.
func (e *Edge) dropFollowersQuotaUse(rows []peers.Row) {
	for _, r := range rows {
		e.limiter.PeerLeft(r.Incarnation)
	}
}

// updateQuotaUses records what the sender of a message took out of the quotas. Only granters, the
// relays that share the quotas, take from them. Therefore nothing is recorded if this daemon is
// none, and a sender that this daemon doesn't elect as one is noted as taking nothing. The caller
// must hold e.mu.
func (e *Edge) updateQuotaUses(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if !e.relayPlan.Granter {
		return
	}
	if !h.Relay {
		e.limiter.PeerLeft(id)
		return
	}
	if !e.relayPlan.Direct && !e.sharesQuotas(id) {
		// This daemon doesn't elect the sender. Either the sender has just started and claims
		// to be a relay, as every daemon does at first, and grants nothing until another
		// relay elects it. Or it doesn't know yet that the fleet has outgrown the direct
		// mode, and grants its small share for a moment longer.
		e.limiter.PeerLeft(id)
		return
	}
	if h.ElectsGranter || e.relayPlan.Direct {
		e.limiter.ApplyPeerState(now, id, time.Duration(h.AgeNs), decodeUses(h))
	}
}

// workSource says whose work at the runners a message covers, and with it which counter of this
// daemon the message updates.
type workSource int

const (
	// sourceIgnored is work that this daemon doesn't count, for example that of a follower whose
	// primary is another relay.
	sourceIgnored workSource = iota
	// sourceFollower is the work of one follower whose primary relay is this daemon, so that no
	// other relay counts it.
	sourceFollower
	// sourceRelay is the work of a relay and its followers.
	sourceRelay
	// sourcePrimary is the work of all daemons, this one included.
	sourcePrimary
)

// workSourceOf returns whose work a message covers. The caller must hold e.mu.
func (e *Edge) workSourceOf(id ident.Incarnation, h *peersv1.Hello) workSource {
	switch {
	case h.Follows && h.Primary:
		return sourceFollower
	case h.Follows:
		return sourceIgnored
	case e.relayPlan.Relay && h.Relay:
		return sourceRelay
	case len(e.relayPlan.Followed) > 0 && e.relayPlan.Followed[0].Incarnation == id:
		return sourcePrimary
	}
	return sourceIgnored
}
