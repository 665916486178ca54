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
	// cellMessages is how many messages a relay tells the counts of all its followers in,
	// or more where they are longer than countsBytes in one of them.
	cellMessages = 3
	countsBytes  = 8 << 10
	// followsAnewWithin is how long a daemon may be unheard of that has lost both relays that
	// it followed, one after the other.
	followsAnewWithin = 4500 * time.Millisecond
	// passedOnWithin is how long relays take to tell each other what they know of a daemon
	// that has ended.
	passedOnWithin = 2400 * time.Millisecond
	// countsAskedAfter is how long a relay waits for a daemon's counts before it asks others
	// for what they know.
	countsAskedAfter = 2 * time.Second
	// successors is how many relays that may follow the holder of the duties are told
	// the counts, too.
	successors = 12
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
	h.Windows = e.openCounts(now, e.self)
	h.Workspaces = retyped[string](e.usageBook.Workspaces())
}

// openCounts are a daemon's counts of open windows, by the places of the book's workspaces;
// called with mu held.
func (e *Edge) openCounts(now time.Duration, id ident.Incarnation) []*peersv1.Window {
	return tellWindows(e.usageBook.Workspaces(), e.usageBook.Open(e.wallClock.At(now), id))
}

// relayCounts are what relays that may report windows are told in a message.
type relayCounts struct {
	// to are those relays.
	to map[ident.Incarnation]bool
	// hello holds this relay's counts or those of some followers, ended those of one daemon
	// that has ended.
	hello *peersv1.Hello
	ended []*peersv1.Ended
	// lacking are daemons whose counts were not told lately.
	lacking []ident.Incarnation
}

// lacked is the daemon whose counts one of the relays is asked for in a message, by its place
// among them; empty is none.
func (c relayCounts) lacked(beat uint64, place int) string {
	if len(c.lacking) == 0 {
		return ""
	}
	return string(c.lacking[(beat/2+uint64(place))%uint64(len(c.lacking))])
}

// countsForRelays gathers what relays that may report are told, nothing in a small fleet, in
// which all are told the same; called with mu held. This relay's counts, with a roster, and
// its followers' take turns: in one message they would outgrow all else.
func (e *Edge) countsForRelays(now time.Duration, beat uint64) relayCounts {
	if e.relayPlan.Direct {
		return relayCounts{}
	}
	c := relayCounts{to: e.counters(), hello: &peersv1.Hello{}, ended: e.endedCounts(now)}
	if rosterBeat(beat) {
		e.addOwnCounts(now, c.hello)
		return c
	}
	c.lacking = e.lacking(now, max(e.relayStanding.Began(), now-countsAskedAfter))
	c.hello.Workspaces = retyped[string](e.usageBook.Workspaces())
	c.hello.Ended = e.followersCounts(now)
	return c
}

// addRelayCounts tells one relay its part; called with mu held.
func (e *Edge) addRelayCounts(now time.Duration, to ident.Incarnation, c relayCounts, h *peersv1.Hello) {
	if !c.to[to] {
		return
	}
	h.Counts, h.Windows, h.Workspaces = c.hello.Counts, c.hello.Windows, c.hello.Workspaces
	h.Ended = append(slices.Clone(c.hello.Ended), e.lackedCounts(now, to, c.ended)...)
}

// lackedCounts are those that another relay asks for, or else some that all are told; called
// with mu held. The relay that a daemon followed may have ended before that daemon finds it
// out, and a relay that has just become one knows only what it was told since.
func (e *Edge) lackedCounts(now time.Duration, to ident.Incarnation, otherwise []*peersv1.Ended) []*peersv1.Ended {
	id, asked := e.requestedCounts[to]
	if !asked {
		return otherwise
	}
	delete(e.requestedCounts, to)
	open := e.openCounts(now, id)
	if len(open) == 0 {
		return otherwise
	}
	return []*peersv1.Ended{{Incarnation: string(id), Windows: open}}
}

// lacking are the daemons, those that may have lost their relays among them, whose counts were
// not told since a time; called with mu held.
func (e *Edge) lacking(now, since time.Duration) []ident.Incarnation {
	return e.coverage.Lacking(e.peers.SeenSince(now-followsAnewWithin), since)
}

// followersCounts are those of some followers, by turns; called with mu held.
func (e *Edge) followersCounts(now time.Duration) []*peersv1.Ended {
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
	var told []*peersv1.Ended
	bytes := 0
	for _, id := range ids[:(len(ids)+cellMessages-1)/cellMessages] {
		one := &peersv1.Ended{Incarnation: string(id), Windows: e.openCounts(now, id), Follows: true}
		bytes += proto.Size(one)
		if bytes > countsBytes && len(told) > 0 {
			break
		}
		told = append(told, one)
		e.lastFollowerSent = id
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
	id, ok := e.usageBook.NextEnded(e.wallClock.At(now), e.lastEndedSent, alive)
	if !ok {
		return nil
	}
	e.lastEndedSent = id
	return []*peersv1.Ended{{Incarnation: string(id), Windows: e.openCounts(now, id)}}
}

// counters are the relays that are told of usage: the holder of the duties and those
// that would follow it.
func (e *Edge) counters() map[ident.Incarnation]bool {
	ids := map[ident.Incarnation]bool{e.dir.holder(): true}
	for _, m := range firstByName(e.relayPlan.Others, successors) {
		ids[m.Incarnation] = true
	}
	return ids
}

// tellWindows counts by the places of some workspaces.
func tellWindows(workspaces []ident.Workspace, counts map[accounting.Window]accounting.Counts) []*peersv1.Window {
	windows := make([]*peersv1.Window, 0, len(counts))
	for w, c := range counts {
		windows = append(windows, &peersv1.Window{Number: int64(w), ByPlace: accounting.ByPlace(workspaces, c)})
	}
	return windows
}

// retyped is a list of names as another type of names.
func retyped[To, From ~string](list []From) []To {
	names := make([]To, len(list))
	for i, name := range list {
		names[i] = To(name)
	}
	return names
}

// heardCounts takes in counts of usage, and which the sender lacks; called with mu held.
func (e *Edge) heardCounts(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	workspaces := retyped[ident.Workspace](h.Workspaces)
	e.usageBook.Heard(id, windowsOf(workspaces, h.Windows))
	if h.Counts {
		e.coverage.Heard(now, id)
	}
	for _, one := range h.Ended {
		of := ident.Incarnation(one.Incarnation)
		e.usageBook.Heard(of, windowsOf(workspaces, one.Windows))
		if one.Follows {
			e.coverage.Told(now, of)
		}
	}
	if h.Lacks != "" {
		e.requestedCounts[id] = ident.Incarnation(h.Lacks)
	}
}

func windowsOf(workspaces []ident.Workspace, told []*peersv1.Window) map[accounting.Window]accounting.Counts {
	windows := make(map[accounting.Window]accounting.Counts, len(told))
	for _, w := range told {
		windows[accounting.Window(w.Number)] = accounting.FromPlaces(workspaces, w.ByPlace)
	}
	return windows
}
