package handoff

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Transfer is a request that a leaving daemon must pass on to a peer.
type Transfer struct {
	ID   ident.RequestID
	Peer view.Daemon
	// Epoch is the epoch with which the peer runs the request.
	Epoch uint64
}

// pendingTransfer is the state of a request that has not been passed on yet.
// peerEpoch is the epoch with which assignedPeer would run the request.
type pendingTransfer struct {
	lastEpoch  uint64
	targetPeer ident.Incarnation
	inFlight   bool
	attempts   int
}

// Drain decides in which order and to which peers a leaving daemon passes its
// requests on. It is not safe for concurrent use.
type Drain struct {
	self        view.Daemon
	acceptUntil time.Time
	pending     map[ident.RequestID]*pendingTransfer
}

// NewDrain starts a drain. The daemon still accepts new requests until
// acceptUntil, because callers cache the list of gateways for a while.
func NewDrain(self view.Daemon, acceptUntil time.Time) *Drain {
	return &Drain{self: self, acceptUntil: acceptUntil, pending: map[ident.RequestID]*pendingTransfer{}}
}

// Accepting reports whether the daemon still accepts new requests.
func (d *Drain) Accepting(now time.Time) bool { return now.Before(d.acceptUntil) }

// Add adds a request that this daemon runs with the given epoch.
func (d *Drain) Add(id ident.RequestID, lastEpoch uint64) {
	if _, ok := d.pending[id]; !ok {
		d.pending[id] = &pendingTransfer{lastEpoch: lastEpoch}
	}
}

// Remove removes a request that ended here or was passed on.
func (d *Drain) Remove(id ident.RequestID) { delete(d.pending, id) }

// Remaining returns the number of requests still to be passed on.
func (d *Drain) Remaining() int { return len(d.pending) }

// NextTransfers returns the transfers to start now, ordered by request ID. If
// the acknowledgement of a transfer was lost, the transfer is repeated to the
// same peer with the same epoch, since a second peer would run the request
// beside the first. The request goes to another peer, with a higher epoch that
// supersedes the first peer's, only if the first peer is no longer live.
func (d *Drain) NextTransfers(daemons []view.Daemon) []Transfer {
	var next []Transfer
	for id, p := range d.pending {
		if p.inFlight {
			continue
		}
		ranked := RankKeepers(id, d.self, daemons)
		if len(ranked) == 0 {
			continue
		}
		targetPeer := ranked[0]
		i := slices.IndexFunc(ranked, func(c view.Daemon) bool { return c.Incarnation == p.targetPeer })
		if i >= 0 {
			targetPeer = ranked[i]
		}
		if targetPeer.Incarnation != p.targetPeer {
			p.lastEpoch++
			p.targetPeer = targetPeer.Incarnation
		}
		p.inFlight = true
		p.attempts++
		next = append(next, Transfer{ID: id, Peer: targetPeer, Epoch: p.lastEpoch})
	}
	slices.SortFunc(next, func(a, b Transfer) int { return cmp.Compare(a.ID, b.ID) })
	return next
}

// TransferFailed records that the outcome of a transfer is unknown.
func (d *Drain) TransferFailed(id ident.RequestID) {
	if p, ok := d.pending[id]; ok {
		p.inFlight = false
	}
}

// TransferRefused records that the peer refused a request. The request has not
// run there, so it may go to another peer.
func (d *Drain) TransferRefused(id ident.RequestID, daemons []view.Daemon) {
	p, ok := d.pending[id]
	if !ok {
		return
	}
	p.inFlight = false
	ranked := RankKeepers(id, d.self, daemons)
	if len(ranked) == 0 {
		return
	}
	p.targetPeer = ranked[p.attempts%len(ranked)].Incarnation
	p.lastEpoch++
}
