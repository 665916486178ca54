package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/streamversion"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
)

// This file carries the records of the streams' versions to the daemon that saves them.

const (
	// streamBatchInterval is the time between two messages with records for the saver.
	streamBatchInterval = gossipInterval
	// maxSavedPerSecond bounds the records of the whole fleet that are saved. Each takes eight bytes of a
	// message to the saver, and eleven of each of at most ten writes, which every relay watches.
	maxSavedPerSecond = 1000
	// maxUnsaved bounds the records that wait while there is no saver.
	maxUnsaved = 1000
)

// addUnsaved adds a record that the saver lacks.
func (v *streamVersions) addUnsaved(s streamversion.Stream, version canary.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.saver.records) < maxUnsaved {
		v.saver.records[s] = version
	}
}

// takeUnsaved takes at most n records that the saver lacks.
func (v *streamVersions) takeUnsaved(n int) map[streamversion.Stream]canary.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	taken := map[streamversion.Stream]canary.Version{}
	for s, version := range v.saver.records {
		if len(taken) == n {
			break
		}
		taken[s] = version
		delete(v.saver.records, s)
	}
	return taken
}

// passOnUnsaved hands the records that have come since to the saver, or to the relay that this daemon follows.
func (e *Edge) passOnUnsaved(now time.Duration) {
	if now-e.streams.saver.passedOnAt < streamBatchInterval {
		return
	}
	to, senders := e.streamSaverAddress()
	if to == "" {
		return
	}
	e.streams.saver.passedOnAt = now
	records := e.streams.takeUnsaved(max(1, int(streamBatchInterval.Seconds()*maxSavedPerSecond)/senders))
	switch {
	case len(records) == 0:
	case to == e.settings.PeerAddress:
		e.keepForSaving(records)
	default:
		e.sendTo(to, &peersv1.Datagram{StreamBatch: encodeStreamBatch(records)})
	}
}

// streamSaverAddress returns where this daemon sends its records, and the number of daemons that send to the saver. The
// saver is the holder of the duties; while there is none alive, the first relay in the order of daemon IDs.
func (e *Edge) streamSaverAddress() (address string, senders int) {
	dutyHolder := e.dir.holder()
	e.mu.Lock()
	defer e.mu.Unlock()
	senders = 1 + len(e.relayPlan.OtherRelays)
	if followed := e.relayPlan.Followed; len(followed) > 0 {
		return followed[0].PeerAddress, senders
	}
	if dutyHolder == e.self {
		return e.settings.PeerAddress, senders
	}
	first := e.peers.Self()
	for _, m := range e.relayPlan.OtherRelays {
		if m.Incarnation == dutyHolder {
			return m.PeerAddress, senders
		}
		if m.ID < first.ID {
			first = m
		}
	}
	return first.PeerAddress, senders
}

// keepForSaving takes up records as the saver.
func (e *Edge) keepForSaving(records map[streamversion.Stream]canary.Version) {
	at := e.timeOfDay(e.deps.Steady())
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	for s, v := range records {
		e.streams.saver.saved.Add(at, s, v)
	}
}

// handleStreamBatch takes up records for the saver, which may be another daemon.
func (e *Edge) handleStreamBatch(b *peersv1.StreamBatch) {
	records := decodeStreamBatch(b)
	if to, _ := e.streamSaverAddress(); to == e.settings.PeerAddress {
		e.keepForSaving(records)
		return
	}
	for s, v := range records {
		e.streams.addUnsaved(s, v)
	}
}

func encodeStreamBatch(records map[streamversion.Stream]canary.Version) *peersv1.StreamBatch {
	byVersion := map[canary.Version]*peersv1.VersionStreams{}
	b := &peersv1.StreamBatch{}
	for s, v := range records {
		if byVersion[v] == nil {
			byVersion[v] = &peersv1.VersionStreams{Version: string(v)}
			b.Versions = append(b.Versions, byVersion[v])
		}
		byVersion[v].Streams = append(byVersion[v].Streams, uint64(s))
	}
	return b
}

func decodeStreamBatch(b *peersv1.StreamBatch) map[streamversion.Stream]canary.Version {
	records := map[streamversion.Stream]canary.Version{}
	for _, v := range b.Versions {
		for _, s := range v.Streams {
			records[streamversion.Stream(s)] = canary.Version(v.Version)
		}
	}
	return records
}
