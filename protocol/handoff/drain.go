package handoff

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Transfer is one request to be passed on.
type Transfer struct {
	ID   ident.RequestID
	Peer view.Daemon
	// Epoch that the peer runs it with.
	Epoch uint64
}

type pendingTransfer struct {
	epoch    uint64
	peer     ident.Incarnation
	inFlight bool
	attempts int
}

// Drain is the order in which a leaving daemon passes its requests on. It is
// not safe for concurrent use.
type Drain struct {
	self        view.Daemon
	acceptUntil time.Time
	pending     map[ident.RequestID]*pendingTransfer
}

// NewDrain begins a drain; new requests are still taken until the given time,
// because callers keep the gateways' list for a while.
func NewDrain(self view.Daemon, acceptUntil time.Time) *Drain {
	return &Drain{self: self, acceptUntil: acceptUntil, pending: map[ident.RequestID]*pendingTransfer{}}
}

// Accepting tells whether a new request is still taken.
func (d *Drain) Accepting(now time.Time) bool { return now.Before(d.acceptUntil) }

// Add takes a live request that runs here with the epoch.
func (d *Drain) Add(id ident.RequestID, epoch uint64) {
	if _, ok := d.pending[id]; !ok {
		d.pending[id] = &pendingTransfer{epoch: epoch}
	}
}

// Remove forgets a request that ended here or was passed on.
func (d *Drain) Remove(id ident.RequestID) { delete(d.pending, id) }

// Remaining is the number of requests still to be passed on.
func (d *Drain) Remaining() int { return len(d.pending) }

// NextTransfers lists what to pass to whom, in the order of the IDs. A request whose
// acknowledgement was lost goes to the same peer with the same epoch again:
// a second peer would run it beside the first. Only when that peer is no
// longer live does it go elsewhere, with an epoch that beats the first one's.
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
		peer := ranked[0]
		i := slices.IndexFunc(ranked, func(c view.Daemon) bool { return c.Incarnation == p.peer })
		if i >= 0 {
			peer = ranked[i]
		}
		if peer.Incarnation != p.peer {
			p.epoch++
			p.peer = peer.Incarnation
		}
		p.inFlight = true
		p.attempts++
		next = append(next, Transfer{ID: id, Peer: peer, Epoch: p.epoch})
	}
	slices.SortFunc(next, func(a, b Transfer) int { return cmp.Compare(a.ID, b.ID) })
	return next
}

// TransferFailed notes that the outcome of a passing is not known.
func (d *Drain) TransferFailed(id ident.RequestID) {
	if p, ok := d.pending[id]; ok {
		p.inFlight = false
	}
}

// TransferRefused notes that the peer did not take a request: it has not run there, so
// another peer may have it.
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
	p.peer = ranked[p.attempts%len(ranked)].Incarnation
	p.epoch++
}
