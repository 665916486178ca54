package edge

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// This file sends and receives usage counts, so that each daemon that may report them knows all
// of them. A follower sends its counts to its relays, and relays send theirs to each other,
// with those of their followers. The counts of daemons that have ended are sent in rotation,
// and a relay that lacks a daemon's counts asks for them.

const (
	// followerCountRounds is the time, in rounds, in which a relay sends the counts of all its
	// followers to the relays that report them. It takes longer if those counts exceed
	// maxCountsBytes in one message.
	followerCountRounds = 12
	maxCountsBytes      = 8 << 10
	// maxRefollowTime is the longest time for which the relays may not hear a running daemon whose
	// two followed relays ended one after the other, until it follows new ones.
	maxRefollowTime = 4500 * time.Millisecond
	// countsRelayedWithin is the time within which relays have sent each other the usage counts
	// that they hold of a daemon that has ended.
	countsRelayedWithin = 2400 * time.Millisecond
	// requestCountsAfter is the time without a daemon's counts after which a relay asks the
	// other relays for them.
	requestCountsAfter = 2 * time.Second
	// maxSuccessors is the number of relays beside the holder of the duties that are sent
	// counts: those that would take over the duties first.
	maxSuccessors = 12
)

// addAllCounts adds this daemon's counts and those of one daemon that has ended. The caller
// must hold e.mu.
func (e *Edge) addAllCounts(now time.Duration, h *peersv1.Hello) {
	e.addOwnCounts(now, h)
	h.Ended = e.endedCounts(now)
}

// addOwnCounts adds this daemon's counts. The caller must hold e.mu.
func (e *Edge) addOwnCounts(now time.Duration, h *peersv1.Hello) {
	h.Counts = true
	h.Windows = e.openWindowCounts(now, e.self)
	h.Workspaces = convertNames[string](e.usageLedger.Workspaces())
}

// openWindowCounts returns a daemon's counts for the windows that can still be reported.
// Workspaces are encoded by their index in the usage ledger's list. The caller must hold e.mu.
func (e *Edge) openWindowCounts(now time.Duration, id ident.Incarnation) []*peersv1.Window {
	return encodeWindows(e.usageLedger.Workspaces(), e.usageLedger.OpenWindows(e.wallClock.At(now), id))
}

// relayCounts holds the counts that one message carries to the relays that may report windows.
type relayCounts struct {
	// to are the relays that are sent counts.
	to map[ident.Incarnation]bool
	// hello holds the counts of this relay or of some of its followers; ended holds those of
	// one daemon that has ended.
	hello *peersv1.Hello
	ended []*peersv1.Ended
	// uncounted lists the daemons without recent counts.
	uncounted []ident.Incarnation
}

// requestFor returns the daemon whose counts this message asks one relay for, or an empty
// string for none. Messages and relays go through the uncounted daemons in rotation.
func (c relayCounts) requestFor(messageNumber uint64, relayIndex int) string {
	if len(c.uncounted) == 0 {
		return ""
	}
	return string(c.uncounted[(messageNumber/2+uint64(relayIndex))%uint64(len(c.uncounted))])
}

// countsForRelays returns the counts for the other relays that may report windows. Messages
// alternate between this relay's own counts, together with its roster, and its followers'
// counts, which would make a single message too long. In a direct fleet the result is empty,
// since all daemons are sent the same counts there. The caller must hold e.mu.
func (e *Edge) countsForRelays(now time.Duration, messageNumber uint64) relayCounts {
	if e.relayPlan.Direct {
		return relayCounts{}
	}
	c := relayCounts{to: e.reportingRelays(), hello: &peersv1.Hello{}, ended: e.endedCounts(now)}
	if sendsRoster(messageNumber) {
		e.addOwnCounts(now, c.hello)
		return c
	}
	c.uncounted = e.uncounted(now, max(e.relayConfirmation.RelaySince(), now-requestCountsAfter))
	c.hello.Workspaces = convertNames[string](e.usageLedger.Workspaces())
	c.hello.Ended = e.followerCounts(now)
	return c
}

// addRelayCounts adds the counts for one relay to the message sent to it. The caller must hold
// e.mu.
func (e *Edge) addRelayCounts(now time.Duration, to ident.Incarnation, c relayCounts, h *peersv1.Hello) {
	if !c.to[to] {
		return
	}
	h.Counts, h.Windows, h.Workspaces = c.hello.Counts, c.hello.Windows, c.hello.Workspaces
	h.Ended = append(slices.Clone(c.hello.Ended), e.endedCountsFor(now, to, c.ended)...)
}

// endedCountsFor returns the counts that a relay has asked for, or else the fallback. A relay
// may need to ask because the relay that a daemon followed may end before that daemon notices,
// and because a new relay knows only what it was sent since its election. The caller must hold
// e.mu.
func (e *Edge) endedCountsFor(now time.Duration, to ident.Incarnation, fallback []*peersv1.Ended) []*peersv1.Ended {
	id, asked := e.requestedCountsByRelay[to]
	if !asked {
		return fallback
	}
	delete(e.requestedCountsByRelay, to)
	open := e.openWindowCounts(now, id)
	if len(open) == 0 {
		return fallback
	}
	return []*peersv1.Ended{{Incarnation: string(id), Windows: open}}
}

// uncounted returns the daemons whose usage counts have not been received since the given time. It
// includes daemons that were last heard up to maxRefollowTime ago, since they may still run and
// only have lost both relays that they followed. The caller must hold e.mu.
func (e *Edge) uncounted(now, since time.Duration) []ident.Incarnation {
	return e.coverage.Missing(e.peers.MentionedSince(now-maxRefollowTime), since)
}

// followerCounts returns the counts of some of the followers whose primary this relay is, in
// rotation. The caller must hold e.mu.
func (e *Edge) followerCounts(now time.Duration) []*peersv1.Ended {
	var ids []ident.Incarnation
	for id, f := range e.followers {
		if f.primary {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	next, found := slices.BinarySearch(ids, e.lastFollowerSent)
	if found {
		next++
	}
	ids = slices.Concat(ids[next:], ids[:next])
	var selected []*peersv1.Ended
	bytes := 0
	// Every second message to the relays carries followers' counts.
	messages := max(1, followerCountRounds/(2*int(e.relayMessageRounds())))
	for _, id := range ids[:(len(ids)+messages-1)/messages] {
		one := &peersv1.Ended{Incarnation: string(id), Windows: e.openWindowCounts(now, id), Follows: true}
		bytes += proto.Size(one)
		if bytes > maxCountsBytes && len(selected) > 0 {
			break
		}
		selected = append(selected, one)
		e.lastFollowerSent = id
	}
	return selected
}

// endedCounts returns the counts of one daemon that is not alive, in rotation. The caller must
// hold e.mu.
func (e *Edge) endedCounts(now time.Duration) []*peersv1.Ended {
	alive := map[ident.Incarnation]bool{}
	for _, m := range e.alive {
		alive[m.Incarnation] = true
	}
	id, ok := e.usageLedger.NextEndedDaemon(e.wallClock.At(now), e.lastEndedSent, alive)
	if !ok {
		return nil
	}
	e.lastEndedSent = id
	return []*peersv1.Ended{{Incarnation: string(id), Windows: e.openWindowCounts(now, id)}}
}

// reportingRelays returns the relays that are sent counts: the holder of the duties and those
// that would take them over.
func (e *Edge) reportingRelays() map[ident.Incarnation]bool {
	ids := map[ident.Incarnation]bool{e.dir.holder(): true}
	for _, m := range firstByID(e.relayPlan.OtherRelays, maxSuccessors) {
		ids[m.Incarnation] = true
	}
	return ids
}

// encodeWindows encodes the counts of windows, with workspaces by their index in the given
// list.
func encodeWindows(workspaces []ident.Workspace, counts map[accounting.Window]accounting.Counts) []*peersv1.Window {
	windows := make([]*peersv1.Window, 0, len(counts))
	for w, c := range counts {
		windows = append(windows, &peersv1.Window{Number: int64(w), ByPlace: accounting.IndexedCounts(workspaces, c)})
	}
	return windows
}

// convertNames converts a list of names to another string type.
func convertNames[To, From ~string](list []From) []To {
	names := make([]To, len(list))
	for i, name := range list {
		names[i] = To(name)
	}
	return names
}

// handleCounts records the counts in a message, and which daemon's counts the sender asks for.
// The caller must hold e.mu.
func (e *Edge) handleCounts(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	workspaces := convertNames[ident.Workspace](h.Workspaces)
	e.usageLedger.Receive(id, decodeWindows(workspaces, h.Windows))
	if h.Counts {
		e.coverage.Receive(now, id)
	}
	for _, one := range h.Ended {
		ended := ident.Incarnation(one.Incarnation)
		e.usageLedger.Receive(ended, decodeWindows(workspaces, one.Windows))
		if one.Follows {
			e.coverage.ReceiveRelayed(now, ended)
		}
	}
	if h.Lacks != "" {
		e.requestedCountsByRelay[id] = ident.Incarnation(h.Lacks)
	}
}

func decodeWindows(workspaces []ident.Workspace, encoded []*peersv1.Window) map[accounting.Window]accounting.Counts {
	windows := make(map[accounting.Window]accounting.Counts, len(encoded))
	for _, w := range encoded {
		windows[accounting.Window(w.Number)] = accounting.CountsFromIndexed(workspaces, w.ByPlace)
	}
	return windows
}
