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

// closedGrace is how long after the socket's end the daemon's may follow.
const closedGrace = 100 * time.Millisecond

// receive takes the others' messages in until the context ends. The socket is closed when
// it returns: a message that comes as the context ends lets it return before the close
// that the end brings about, and the address would still be taken when a daemon is started
// there next.
func (e *Edge) receive(ctx context.Context) error {
	defer e.deps.Datagrams.Close()
	stop := context.AfterFunc(ctx, func() { e.deps.Datagrams.Close() })
	defer stop()
	buffer := make([]byte, datagramBytes+1)
	for {
		n, _, err := e.deps.Datagrams.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			// Whoever ends the daemon may close the socket before the end is seen here.
			pause.For(ctx, closedGrace)
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
		e.grant(d.Ask)
	case d.Grant != nil:
		e.granted(d.Grant)
	case d.Refund != nil:
		e.refunded(d.Refund)
	case d.TrialReport != nil:
		e.receiveTrialReport(d.TrialReport)
	case d.TrialAllowance != nil:
		e.receiveAllowance(d.TrialAllowance)
	case d.Hello != nil:
		e.heard(ctx, d.Hello)
	}
}

// heard takes in what a daemon tells.
func (e *Edge) heard(ctx context.Context, h *peersv1.Hello) {
	if h.Feed != nil {
		// First of all, so that a newer configuration need not be read once more.
		e.takeFeed(h.Feed)
	}
	id := ident.Incarnation(h.Incarnation)
	now := e.deps.Steady()
	e.mu.Lock()
	fresh, ended := e.peers.Heard(now, peers.Member{
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
	e.heardMembers(now, id, h, ended)
	e.stamps[id] = freshness.Stamp{Sent: time.Duration(h.StampNs), Received: now}
	e.wallClock.Heard(id, time.Unix(0, h.TimeUnixNs), now)
	e.heardUses(now, id, h)
	e.heardCounts(now, id, h)
	behind := e.fresh.Heard(freshness.Word{
		Revision: h.ConfigRevision, Echo: time.Duration(h.EchoNs), Lag: time.Duration(h.LagNs), Proved: h.Proved,
	})
	e.refreshPhase(now)
	source := e.sourceOf(id, h)
	e.mu.Unlock()
	if behind && e.table.Load() != nil {
		go e.confirmConfig(ctx)
	}
	e.receiveLeaving(h.Leaving)
	e.receiveWork(id, h, source)
	e.receivePlacements(h.Placed, source == fromFollower)
}

// heardMembers takes in whom a daemon knows; called with mu held.
func (e *Edge) heardMembers(now time.Duration, id ident.Incarnation, h *peersv1.Hello, ended []ident.Incarnation) {
	if h.Roster != nil {
		rows := make([]peers.Row, 0, len(h.Roster.Rows))
		for _, r := range h.Roster.Rows {
			rows = append(rows, rowOf(r))
		}
		if h.Roster.Followers {
			e.followElsewhere(rows)
		}
		ended = append(ended, e.peers.Told(now, id, rows, int(h.Roster.Fleet), int(h.Roster.Domains))...)
	}
	for _, r := range h.Introduced {
		e.peers.Refer(now, rowOf(r))
	}
	for _, a := range h.Addresses {
		e.peers.Learn(now, a)
	}
	for _, former := range ended {
		e.forget(former, "replaced")
	}
	e.noteFollower(now, id, h)
	e.heardRelay(now, id, h)
}

// followElsewhere takes in that daemons follow a relay: they give out no quotas. While a
// fleet starts each daemon takes itself for a relay for a moment, and those that never
// hear of it again would keep a part for it. Called with mu held.
func (e *Edge) followElsewhere(rows []peers.Row) {
	for _, r := range rows {
		e.limiter.Left(r.Incarnation)
	}
}

// heardUses takes in what another relay took of the quotas; called with mu held. One
// that follows takes nothing itself.
func (e *Edge) heardUses(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if !e.relayPlan.Relay {
		return
	}
	if !h.Relay {
		e.limiter.Left(id)
		return
	}
	if !e.relayPlan.Direct && !e.elects(id) {
		// It takes itself for a relay, as any daemon does that has just started, and gives
		// out nothing until another one takes it for one, too; or it doesn't know yet that
		// the fleet is no small one any more, and gives out its small part a moment longer.
		e.limiter.Left(id)
		return
	}
	if h.Elects || e.relayPlan.Direct {
		e.limiter.Heard(now, id, time.Duration(h.AgeNs), usesOf(h))
	}
}

// source is what a daemon's account of work at the runners stands for.
type source int

const (
	// fromNobody is not counted.
	fromNobody source = iota
	// fromFollower is that daemon's own, which nobody else counts.
	fromFollower
	// fromRelay is that of a relay and its followers.
	fromRelay
	// fromPrimary is that of all daemons, this one included.
	fromPrimary
)

// sourceOf tells what a message's account of work stands for; called with mu held.
func (e *Edge) sourceOf(id ident.Incarnation, h *peersv1.Hello) source {
	switch {
	case h.Follows && h.Primary:
		return fromFollower
	case h.Follows:
		return fromNobody
	case e.relayPlan.Relay && h.Relay:
		return fromRelay
	case len(e.relayPlan.Own) > 0 && e.relayPlan.Own[0].Incarnation == id:
		return fromPrimary
	}
	return fromNobody
}
