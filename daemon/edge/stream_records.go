package edge

import (
	"context"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/streamversion"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// This file sends the records of the streams' versions to the daemons that keep them, and asks these.

const (
	// streamAskTimeout is the time that holders have to answer before they are asked again, longer
	// than a message takes to another failure domain and back.
	streamAskTimeout = 60 * time.Millisecond
	// streamRecordTimeout is the time that a holder has to acknowledge a record.
	streamRecordTimeout = 60 * time.Millisecond
	// maxStreamAsks is how often the holders are asked about one stream. A record may arrive later
	// than the question of a caller that has returned at once.
	maxStreamAsks = 3
)

// askHolders asks the daemons that may keep the record of a stream.
func (e *Edge) askHolders(ctx context.Context, stream streamversion.Stream) (canary.Version, bool) {
	id, answers := e.streams.asks.add()
	defer e.streams.asks.remove(id)
	ask := &peersv1.StreamAsk{Id: id, PeerAddress: e.settings.PeerAddress, Stream: uint64(stream)}
	for round := range maxStreamAsks {
		ask.Wide = round > 0
		if relays := e.followedRelays(); len(relays) > 0 {
			e.sendToAll(relays, &peersv1.Datagram{StreamAsk: ask})
		} else {
			e.sendStreamAsk(ask)
		}
		if v, ok := awaitAnswer(ctx, answers, streamAskTimeout); ok {
			return v, true
		}
	}
	e.log.Count("stream_asks_unanswered")
	return "", false
}

// sendStreamAsk sends a question to the daemons that may keep the record, other than this one.
func (e *Edge) sendStreamAsk(ask *peersv1.StreamAsk) {
	ask.Forwarded = true
	holders := streamversion.Asked
	if ask.Wide {
		holders = streamversion.MaxHolders
	}
	to := e.rankedGranters(ask.Stream, holders)
	to = slices.DeleteFunc(to, func(address string) bool { return address == e.settings.PeerAddress })
	e.sendToAll(to, &peersv1.Datagram{StreamAsk: ask})
}

// handleStreamAsk answers a question, or forwards it to the daemons that may keep the record.
func (e *Edge) handleStreamAsk(ask *peersv1.StreamAsk) {
	v, known := e.streams.get(e.deps.Steady(), streamversion.Stream(ask.Stream))
	switch {
	case known:
		e.sendTo(ask.PeerAddress, &peersv1.Datagram{StreamAnswer: &peersv1.StreamAnswer{Id: ask.Id, Version: string(v)}})
	case !ask.Forwarded:
		e.sendStreamAsk(ask)
	}
}

// recordStream records the version that began a stream, here and at the holders.
func (e *Edge) recordStream(stream streamversion.Stream, v canary.Version) {
	e.putStream(stream, v, fromFirstEvent)
	for rank := range streamversion.Copies {
		r := &peersv1.StreamRecord{Stream: uint64(stream), Version: string(v), PeerAddress: e.settings.PeerAddress, Copy: uint32(rank)}
		acknowledged := e.sendStreamRecord(r)
		go e.ensureStreamRecord(r, acknowledged)
	}
}

// ensureStreamRecord waits until a holder has acknowledged a record that was sent, and sends it to
// others otherwise.
func (e *Edge) ensureStreamRecord(r *peersv1.StreamRecord, acknowledged <-chan struct{}) {
	for sends := 1; ; sends++ {
		_, ok := awaitAnswer(e.probing, acknowledged, streamRecordTimeout)
		e.streams.sends.remove(r.Id)
		if ok || e.probing.Err() != nil {
			return
		}
		if sends == streamversion.MaxSends {
			e.log.Count("stream_records_unacknowledged")
			return
		}
		r.Copy += streamversion.Copies
		acknowledged = e.sendStreamRecord(r)
	}
}

// sendStreamRecord sends a record to the holder of its rank, by one of the relays that this daemon
// follows if there are any.
func (e *Edge) sendStreamRecord(r *peersv1.StreamRecord) (acknowledged <-chan struct{}) {
	r.Id, acknowledged = e.streams.sends.add()
	if relays := e.followedRelays(); len(relays) > 0 {
		r.Forwarded = false
		e.sendTo(relays[int(r.Copy)%len(relays)], &peersv1.Datagram{StreamRecord: r})
		return acknowledged
	}
	e.forwardStreamRecord(r)
	return acknowledged
}

// forwardStreamRecord sends a record to the holder of its rank, other than this daemon.
func (e *Edge) forwardStreamRecord(r *peersv1.StreamRecord) {
	r.Forwarded = true
	holders := e.rankedGranters(r.Stream, streamversion.MaxHolders)
	holders = slices.DeleteFunc(holders, func(address string) bool { return address == e.settings.PeerAddress })
	if int(r.Copy) < len(holders) {
		e.sendTo(holders[r.Copy], &peersv1.Datagram{StreamRecord: r})
	}
}

// handleStreamRecord keeps a record, or forwards it to the daemon that should.
func (e *Edge) handleStreamRecord(r *peersv1.StreamRecord) {
	if !r.Forwarded {
		e.forwardStreamRecord(r)
		return
	}
	e.putStream(streamversion.Stream(r.Stream), canary.Version(r.Version), fromHolder)
	e.sendTo(r.PeerAddress, &peersv1.Datagram{StreamRecordAck: &peersv1.StreamRecordAck{Id: r.Id}})
}

// followedRelays returns the addresses of the relays that this daemon follows; none in a direct fleet
// and at a relay.
func (e *Edge) followedRelays() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return addressesOf(e.relayPlan.Followed)
}

// rankedGranters returns the addresses of the n daemons that rank first for a key among those that share
// the quotas, which relays know, too.
func (e *Edge) rankedGranters(key uint64, n int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	members := e.relayPlan.OtherGranters
	if e.relayPlan.Granter {
		members = append(slices.Clone(members), e.peers.Self())
	}
	byID := make(map[ident.DaemonID]peers.Member, len(members))
	ids := make([]ident.DaemonID, 0, len(members))
	for _, m := range members {
		if m.Phase != peers.Draining {
			byID[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	streamversion.Rank(key, ids)
	addresses := make([]string, 0, n)
	for _, id := range ids[:min(n, len(ids))] {
		addresses = append(addresses, byID[id].PeerAddress)
	}
	return addresses
}

func addressesOf(members []peers.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}
