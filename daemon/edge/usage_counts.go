package edge

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Counts of usage, as daemons tell them to those that may report them: a follower to its
// relays, relays to each other, those of daemons that have ended by turns, and those that
// one lacks when it asks.

const (
	// followerCountMessages is how many messages a relay tells the counts of all its followers in,
	// or more where they are longer than countsBytes in one of them.
	followerCountMessages = 3
	maxCountsBytes        = 8 << 10
	// refollowWithin is how long a daemon may be unheard of that has lost both relays that
	// it followed, one after the other.
	refollowWithin = 4500 * time.Millisecond
	// countsRelayedWithin is how long relays take to tell each other what they know of a daemon
	// that has ended.
	countsRelayedWithin = 2400 * time.Millisecond
	// requestCountsAfter is how long a relay waits for a daemon's counts before it asks others
	// for what they know.
	requestCountsAfter = 2 * time.Second
	// maxSuccessors is how many relays that may follow the holder of the duties are told
	// the counts, too.
	maxSuccessors = 12
)

// addAllCounts tells this daemon's counts, and those of one that is not heard any more;
// called with mu held.
func (e *Edge) addAllCounts(now time.Duration, h *peersv1.Hello) {
	e.addOwnCounts(now, h)
	h.Ended = e.endedCounts(now)
}

// addOwnCounts tells this daemon's counts; called with mu held.
func (e *Edge) addOwnCounts(now time.Duration, h *peersv1.Hello) {
	h.Counts = true
	h.Windows = e.openWindowCounts(now, e.self)
	h.Workspaces = convertNames[string](e.book.Workspaces())
}

// openWindowCounts are a daemon's counts of open windows, by the places of the book's workspaces;
// called with mu held.
func (e *Edge) openWindowCounts(now time.Duration, id ident.Incarnation) []*peersv1.Window {
	return encodeWindows(e.book.Workspaces(), e.book.OpenWindows(e.wall.At(now), id))
}

// relayCounts are what relays that may report windows are told in a message.
type relayCounts struct {
	// recipients are those relays.
	recipients map[ident.Incarnation]bool
	// hello holds this relay's counts or those of some followers, ended those of one daemon
	// that has ended.
	hello *peersv1.Hello
	ended []*peersv1.Ended
	// missing are daemons whose counts were not told lately.
	missing []ident.Incarnation
}

// requestFor is the daemon whose counts one of the relays is asked for in a message, by its place
// among them; empty is none.
func (c relayCounts) requestFor(messageNumber uint64, place int) string {
	if len(c.missing) == 0 {
		return ""
	}
	return string(c.missing[(messageNumber/2+uint64(place))%uint64(len(c.missing))])
}

// countsForRelays gathers what relays that may report are told, nothing in a small fleet, in
// which all are told the same; called with mu held. This relay's counts, with a roster, and
// its followers' take turns: in one message they would outgrow all else.
func (e *Edge) countsForRelays(now time.Duration, messageNumber uint64) relayCounts {
	if e.plan.Direct {
		return relayCounts{}
	}
	c := relayCounts{recipients: e.reportingRelays(), hello: &peersv1.Hello{}, ended: e.endedCounts(now)}
	if sendsRoster(messageNumber) {
		e.addOwnCounts(now, c.hello)
		return c
	}
	c.missing = e.missingCounts(now, max(e.standing.RelaySince(), now-requestCountsAfter))
	c.hello.Workspaces = convertNames[string](e.book.Workspaces())
	c.hello.Ended = e.followerCounts(now)
	return c
}

// addRelayCounts tells one relay its part; called with mu held.
func (e *Edge) addRelayCounts(now time.Duration, to ident.Incarnation, c relayCounts, h *peersv1.Hello) {
	if !c.recipients[to] {
		return
	}
	h.Counts, h.Windows, h.Workspaces = c.hello.Counts, c.hello.Windows, c.hello.Workspaces
	h.Ended = append(slices.Clone(c.hello.Ended), e.requestedCounts(now, to, c.ended)...)
}

// requestedCounts are those that another relay asks for, or else some that all are told; called
// with mu held. The relay that a daemon followed may have ended before that daemon finds it
// out, and a relay that has just become one knows only what it was told since.
func (e *Edge) requestedCounts(now time.Duration, to ident.Incarnation, otherwise []*peersv1.Ended) []*peersv1.Ended {
	id, asked := e.lacked[to]
	if !asked {
		return otherwise
	}
	delete(e.lacked, to)
	open := e.openWindowCounts(now, id)
	if len(open) == 0 {
		return otherwise
	}
	return []*peersv1.Ended{{Incarnation: string(id), Windows: open}}
}

// missingCounts are the daemons, those that may have lost their relays among them, whose counts were
// not told since a time; called with mu held.
func (e *Edge) missingCounts(now, since time.Duration) []ident.Incarnation {
	return e.coverage.Missing(e.peers.SeenSince(now-refollowWithin), since)
}

// followerCounts are those of some followers, by turns; called with mu held.
func (e *Edge) followerCounts(now time.Duration) []*peersv1.Ended {
	var ids []ident.Incarnation
	for id, f := range e.followers {
		if f.primary {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	next, found := slices.BinarySearch(ids, e.lastFollower)
	if found {
		next++
	}
	ids = slices.Concat(ids[next:], ids[:next])
	var told []*peersv1.Ended
	bytes := 0
	for _, id := range ids[:(len(ids)+followerCountMessages-1)/followerCountMessages] {
		one := &peersv1.Ended{Incarnation: string(id), Windows: e.openWindowCounts(now, id), Follows: true}
		bytes += proto.Size(one)
		if bytes > maxCountsBytes && len(told) > 0 {
			break
		}
		told = append(told, one)
		e.lastFollower = id
	}
	return told
}

// endedCounts are those of one of the daemons that are not alive, by turns; called with mu
// held.
func (e *Edge) endedCounts(now time.Duration) []*peersv1.Ended {
	alive := map[ident.Incarnation]bool{}
	for _, m := range e.alive {
		alive[m.Incarnation] = true
	}
	id, ok := e.book.NextEndedDaemon(e.wall.At(now), e.lastEnded, alive)
	if !ok {
		return nil
	}
	e.lastEnded = id
	return []*peersv1.Ended{{Incarnation: string(id), Windows: e.openWindowCounts(now, id)}}
}

// reportingRelays are the relays that are told of usage: the holder of the duties and those
// that would follow it.
func (e *Edge) reportingRelays() map[ident.Incarnation]bool {
	ids := map[ident.Incarnation]bool{e.dir.holder(): true}
	for _, m := range firstByID(e.plan.OtherRelays, maxSuccessors) {
		ids[m.Incarnation] = true
	}
	return ids
}

// encodeWindows counts by the places of some workspaces.
func encodeWindows(workspaces []ident.Workspace, counts map[accounting.Window]accounting.Counts) []*peersv1.Window {
	windows := make([]*peersv1.Window, 0, len(counts))
	for w, c := range counts {
		windows = append(windows, &peersv1.Window{Number: int64(w), ByPlace: accounting.ByPlace(workspaces, c)})
	}
	return windows
}

// convertNames is a list of names as another type of names.
func convertNames[To, From ~string](list []From) []To {
	names := make([]To, len(list))
	for i, name := range list {
		names[i] = To(name)
	}
	return names
}

// handleCounts takes in counts of usage, and which the sender lacks; called with mu held.
func (e *Edge) handleCounts(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	workspaces := convertNames[ident.Workspace](h.Workspaces)
	e.book.Receive(id, decodeWindows(workspaces, h.Windows))
	if h.Counts {
		e.coverage.Receive(now, id)
	}
	for _, one := range h.Ended {
		of := ident.Incarnation(one.Incarnation)
		e.book.Receive(of, decodeWindows(workspaces, one.Windows))
		if one.Follows {
			e.coverage.ReceiveRelayed(now, of)
		}
	}
	if h.Lacks != "" {
		e.lacked[id] = ident.Incarnation(h.Lacks)
	}
}

func decodeWindows(workspaces []ident.Workspace, encoded []*peersv1.Window) map[accounting.Window]accounting.Counts {
	windows := make(map[accounting.Window]accounting.Counts, len(encoded))
	for _, w := range encoded {
		windows[accounting.Window(w.Number)] = accounting.FromPlaces(workspaces, w.ByPlace)
	}
	return windows
}
