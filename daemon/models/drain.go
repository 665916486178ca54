package models

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/view"
	requestv1 "geraniumstack.org/geraniumstack/gen/geranium/request/v1"
	"geraniumstack.org/geraniumstack/protocol/handoff"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	drainInterval = 100 * time.Millisecond
	adoptTimeout  = 2 * time.Second
)

func (m *Models) accepting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drain == nil || m.drain.Accepting(time.Now())
}

// Drain transfers every request to other daemons in other failure domains. It
// returns when none is left or ctx is done. New requests are still accepted for
// DrainAcceptPeriod, because callers go on using their list of gateways for a
// while. Until Run ends, open streams tell readers where their requests have
// moved.
func (m *Models) Drain(ctx context.Context) error {
	m.mu.Lock()
	if m.drain == nil {
		m.drain = handoff.NewDrain(m.c.Directory.Self(), time.Now().Add(m.c.Limits.DrainAcceptPeriod))
	}
	m.mu.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		remaining := m.transferRequests(ctx)
		if remaining == 0 && !m.accepting() {
			return nil
		}
		if !m.accepting() && m.onlyFinishedLeft() {
			return &DrainIncompleteError{Remaining: remaining}
		}
		select {
		case <-ctx.Done():
			return &DrainIncompleteError{Remaining: remaining}
		case <-ticker.C:
		}
	}
}

// onlyFinishedLeft reports whether only ended requests, kept for late readers,
// are left, and no other daemon could take them. Drain then stops waiting:
// otherwise the shutdown of the last daemon would always last its whole grace
// period.
func (m *Models) onlyFinishedLeft() bool {
	for _, d := range m.c.Directory.Daemons() {
		if d.Incarnation != m.c.Self && d.State != view.Leaving && d.State != view.Gone {
			return false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rs := range m.requestState {
		if rs.inProgress() {
			return false
		}
	}
	return true
}

// DrainIncompleteError is returned when Drain could not transfer all requests.
type DrainIncompleteError struct{ Remaining int }

func (e *DrainIncompleteError) Error() string {
	return "some requests were not transferred to other daemons"
}

// transferRequests starts the transfers that are due and returns the number of
// requests that are left. It first adopts the requests of owners that are
// missing from the directory, so that they are transferred as well: this daemon
// would end before OwnerTimeout has passed, after which it would run them.
func (m *Models) transferRequests(ctx context.Context) int {
	m.adoptOrphans(0)
	daemons := m.c.Directory.Daemons()
	m.mu.Lock()
	for id, rs := range m.requestState {
		if rs.transferable() {
			m.drain.Add(id, rs.spec.Epoch)
		} else {
			m.drain.Remove(id)
		}
	}
	byPeer := map[ident.Incarnation][]handoff.Transfer{}
	for _, transfer := range m.drain.NextTransfers(daemons) {
		byPeer[transfer.Peer.Incarnation] = append(byPeer[transfer.Peer.Incarnation], transfer)
	}
	remaining := m.drain.Remaining()
	m.mu.Unlock()
	for _, all := range byPeer {
		for batch := range slices.Chunk(all, maxBatchRecords) {
			m.spawn(func() { m.transferBatch(ctx, batch, daemons) })
		}
	}
	return remaining
}

// transferable reports whether this daemon owns the request and the request is
// in progress or has an answer.
func (rs *requestState) transferable() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.movedTo == "" && rs.machine.Refusal() == nil
}

// transferBatch sends the records of the requests to one peer. It suspends the
// requests first: tokens that an attempt emits while its record is being sent
// would reach readers at this daemon, and the peer would compute these tokens
// again, possibly with a different result.
func (m *Models) transferBatch(ctx context.Context, batch []handoff.Transfer, daemons []view.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	req := &requestv1.AdoptRequest{From: string(m.c.Self)}
	for _, transfer := range batch {
		rs := m.find(transfer.ID)
		if rs == nil {
			continue
		}
		rs.step(request.Suspend{})
		r := rs.record(0)
		r.Epoch = transfer.Epoch
		req.Records = append(req.Records, r)
	}
	resp, err := m.c.Peers.Requests(batch[0].Peer.PeerAddress).Adopt(ctx, connect.NewRequest(req))
	accepted := map[ident.RequestID]bool{}
	if err == nil {
		for _, id := range resp.Msg.AcceptedIds {
			accepted[ident.RequestID(id)] = true
		}
	}
	for _, transfer := range batch {
		m.handleTransferResult(transfer, accepted[transfer.ID], err, daemons)
	}
}

func (m *Models) handleTransferResult(transfer handoff.Transfer, accepted bool, err error, daemons []view.Daemon) {
	rs := m.find(transfer.ID)
	m.mu.Lock()
	switch {
	case accepted:
		m.drain.Remove(transfer.ID)
	case err != nil:
		m.drain.TransferFailed(transfer.ID)
	default:
		m.drain.TransferRefused(transfer.ID, daemons)
	}
	m.mu.Unlock()
	if rs == nil {
		return
	}
	if accepted {
		m.count("requests.passed_on")
		rs.markMoved(transfer.Peer.Incarnation)
		return
	}
	m.count("requests.pass_failed")
	rs.step(request.Resume{})
}
