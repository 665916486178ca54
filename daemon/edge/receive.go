package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
)

// socketCloseGrace is how long after the socket's end the daemon's may follow.
const socketCloseGrace = 100 * time.Millisecond

// receiveDatagrams takes the others' messages in until the context ends. The socket is closed when
// it returns: a message that comes as the context ends lets it return before the close
// that the end brings about, and the address would still be taken when a daemon is started
// there next.
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
			// Whoever ends the daemon may close the socket before the end is seen here.
			pause.For(ctx, socketCloseGrace)
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("receive datagrams: %w", err)
		}
		if err != nil {
			// A datagram to a closed port comes back as an error of the next read.
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
		e.heardReport(d.TrialReport)
	case d.TrialAllowance != nil:
		e.heardAllowance(d.TrialAllowance)
	case d.Hello != nil:
		e.handleHello(ctx, d.Hello)
	}
}

// handleHello takes in what a daemon tells.
func (e *Edge) handleHello(ctx context.Context, h *peersv1.Hello) {
	if h.Feed != nil {
		// First of all, so that a newer configuration need not be read once more.
		e.applyFeed(h.Feed)
	}
	id := ident.Incarnation(h.Incarnation)
	now := e.deps.Steady()
	e.mu.Lock()
	isNew, ended := e.peers.Receive(now, peers.Member{
		ID: ident.DaemonID(h.Daemon), Incarnation: id, FailureDomain: ident.FailureDomain(h.FailureDomain),
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Phase: peers.Phase(h.Phase), Started: h.StartedUnixMs,
	}, h.Seq)
	if !isNew {
		e.mu.Unlock()
		return
	}
	if _, known := e.stamps[id]; !known {
		e.log.Note("daemon_heard", decisions.F("incarnation", id), decisions.F("address", h.PeerAddress))
	}
	e.updateMembers(now, id, h, ended)
	e.stamps[id] = freshness.Stamp{Sent: time.Duration(h.StampNs), Received: now}
	e.wall.Receive(id, time.Unix(0, h.TimeUnixNs), now)
	e.updateQuotaUses(now, id, h)
	e.handleCounts(now, id, h)
	behind := e.fresh.Receive(freshness.Statement{
		Revision: h.ConfigRevision, Echo: time.Duration(h.EchoNs), Lag: time.Duration(h.LagNs), Proved: h.Proved,
	})
	e.refreshPhase(now)
	source := e.workSourceOf(id, h)
	e.mu.Unlock()
	if behind && e.table.Load() != nil {
		go e.confirm(ctx)
	}
	e.heardLeaving(h.Leaving)
	e.heardWork(id, h, source)
	e.heardPlaced(h.Placed, source == sourceFollower)
}

// updateMembers takes in whom a daemon knows; called with mu held.
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
		e.peers.Learn(now, a)
	}
	for _, former := range ended {
		e.removePeer(former, "replaced")
	}
	e.updateFollower(now, id, h)
	e.handleRelayClaim(now, id, h)
}

// dropFollowersQuotaUse takes in that daemons follow a relay: they give out no quotas. While a
// fleet starts each daemon takes itself for a relay for a moment, and those that never
// hear of it again would keep a part for it. Called with mu held.
func (e *Edge) dropFollowersQuotaUse(rows []peers.Row) {
	for _, r := range rows {
		e.limiter.PeerLeft(r.Incarnation)
	}
}

// updateQuotaUses takes in what another relay took of the quotas; called with mu held. One
// that follows takes nothing itself.
func (e *Edge) updateQuotaUses(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if !e.plan.Relay {
		return
	}
	if !h.Relay {
		e.limiter.PeerLeft(id)
		return
	}
	if !e.plan.Direct && !e.elects(id) {
		// It takes itself for a relay, as any daemon does that has just started, and gives
		// out nothing until another one takes it for one, too; or it doesn't know yet that
		// the fleet is no small one any more, and gives out its small part a moment longer.
		e.limiter.PeerLeft(id)
		return
	}
	if h.Elects || e.plan.Direct {
		e.limiter.ApplyPeerState(now, id, time.Duration(h.AgeNs), decodeUses(h))
	}
}

// workSource is what a daemon's account of work at the runners stands for.
type workSource int

const (
	// sourceIgnored is not counted.
	sourceIgnored workSource = iota
	// sourceFollower is that daemon's own, which nobody else counts.
	sourceFollower
	// sourceRelay is that of a relay and its followers.
	sourceRelay
	// sourcePrimary is that of all daemons, this one included.
	sourcePrimary
)

// workSourceOf tells what a message's account of work stands for; called with mu held.
func (e *Edge) workSourceOf(id ident.Incarnation, h *peersv1.Hello) workSource {
	switch {
	case h.Follows && h.Primary:
		return sourceFollower
	case h.Follows:
		return sourceIgnored
	case e.plan.Relay && h.Relay:
		return sourceRelay
	case len(e.plan.Followed) > 0 && e.plan.Followed[0].Incarnation == id:
		return sourcePrimary
	}
	return sourceIgnored
}
