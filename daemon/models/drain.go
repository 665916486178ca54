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

// Drain passes every request on to peers in other failure domains, and returns
// when none is left or ctx is done. New requests are taken for a few seconds
// more, as long as callers keep the gateways' list. Readers are sent on by
// their stream until Run ends.
func (m *Models) Drain(ctx context.Context) error {
	m.mu.Lock()
	if m.drain == nil {
		m.drain = handoff.NewDrain(m.cfg.Directory.Self(), time.Now().Add(m.cfg.Limits.DrainAcceptPeriod))
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

// onlyFinishedLeft tells whether all that is left are answers kept for late readers and
// there is nobody to take them. Waiting on would only make the shutdown of the
// last daemon take its whole grace.
func (m *Models) onlyFinishedLeft() bool {
	for _, d := range m.cfg.Directory.Daemons() {
		if d.Incarnation != m.cfg.Self && d.State != view.Leaving && d.State != view.Gone {
			return false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.requests {
		if l.inProgress() {
			return false
		}
	}
	return true
}

// DrainIncompleteError says how many requests could not be passed on.
type DrainIncompleteError struct{ Remaining int }

func (e *DrainIncompleteError) Error() string { return "requests were not passed on in time" }

// transferRequests starts the passing of what is due and returns what is left. Records of
// owners that are no longer listed are passed on as well: they would end with
// this daemon before the time after which it would run them.
func (m *Models) transferRequests(ctx context.Context) int {
	m.adoptOrphans(0)
	daemons := m.cfg.Directory.Daemons()
	m.mu.Lock()
	for id, l := range m.requests {
		if l.transferable() {
			m.drain.Add(id, l.spec.Epoch)
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

// transferable requests are in progress here, or ended here with an answer.
func (l *localRequest) transferable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.movedTo == "" && l.machine.Refusal() == nil
}

// transferBatch stops the requests first: what an attempt emits while its record
// is under way would reach readers here, and be computed again, perhaps
// otherwise, at the peer.
func (m *Models) transferBatch(ctx context.Context, batch []handoff.Transfer, daemons []view.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	req := &requestv1.AdoptRequest{From: string(m.cfg.Self)}
	for _, transfer := range batch {
		l := m.find(transfer.ID)
		if l == nil {
			continue
		}
		l.step(request.Suspend{})
		r := l.record(0)
		r.Epoch = transfer.Epoch
		req.Records = append(req.Records, r)
	}
	resp, err := m.cfg.Peers.Requests(batch[0].Peer.PeerAddress).Adopt(ctx, connect.NewRequest(req))
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
	l := m.find(transfer.ID)
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
	if l == nil {
		return
	}
	if accepted {
		m.count("requests.passed_on")
		l.markMoved(transfer.Peer.Incarnation)
		return
	}
	m.count("requests.pass_failed")
	l.step(request.Resume{})
}
