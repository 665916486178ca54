package edge

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/quota"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// maxTold bounds the addresses in a message. They only help daemons that have
	// just started, which hear several daemons ten times a second.
	maxTold = 4
	// countTurns is between two messages of a relay with counts of usage.
	countTurns = relayTurns
	// cellMessages is how many messages a relay tells the counts of all its followers in:
	// all in one would grow with their number.
	cellMessages = 3
	// followsAnewWithin is how long a daemon may be unheard of that has lost both relays that
	// it followed, one after the other.
	followsAnewWithin = 4500 * time.Millisecond
	// countsAskedAfter is how long a relay waits for a daemon's counts before it asks others
	// for what they know.
	countsAskedAfter = 2 * time.Second
	// successors is how many relays that may follow the holder of the duties are told
	// the counts, too.
	successors = 12
)

// noticeTold is how long the others are told of a runner's notice: as long as one may
// need to read it, and a few messages.
const noticeTold = gatherLong + time.Second

// presence is what everybody is told; called with mu held.
func (e *Edge) presence(now time.Duration) *peersv1.Hello {
	self := e.peers.Self()
	e.seq++
	h := &peersv1.Hello{
		Daemon:        string(self.ID),
		Incarnation:   string(self.Incarnation),
		FailureDomain: string(self.FailureDomain),
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
		Phase:         uint32(self.Phase),
		StartedUnixMs: self.Started,
		Seq:           e.seq,
		StampNs:       int64(now),
		AgeNs:         int64(e.limiter.Age(now)),
		TimeUnixNs:    e.wall.Own(now).UnixNano(),
		Relay:         e.plan.Relay,
		Joining:       e.hearsNobody(now),
	}
	if e.set.Policy.Uses(TellLeaving) {
		for _, id := range e.dir.noticedSince(now - noticeTold) {
			h.Leaving = append(h.Leaving, string(id))
		}
	}
	if e.plan.Direct {
		h.Addresses = inTurn(e.peers.Addresses(), e.seq, maxTold)
	}
	return h
}

// addUses tells what this relay took of the quotas; called with mu held.
func (e *Edge) addUses(now time.Duration, h *peersv1.Hello) {
	for ws, use := range e.limiter.Uses(now) {
		h.Uses = append(h.Uses, &peersv1.Use{Workspace: string(ws), Taken: use.Taken, Level: use.Level})
	}
}

// addWork tells of work at the runners.
func addWork(h *peersv1.Hello, w work) {
	for _, l := range w.loads {
		if l.Requests > 0 {
			h.Loads = append(h.Loads, &peersv1.Load{
				Runner: string(l.Runner), PrefillTokens: uint32(l.Prefill), Requests: uint32(l.Requests), KvTokens: uint32(l.KV),
			})
		}
	}
	for service, tokens := range w.offered {
		h.Offered = append(h.Offered, &peersv1.Offered{Service: service, PromptTokens: tokens})
	}
	h.Placed = w.placed
}

// addAllCounts tells this daemon's counts, and those of one that is not heard any more;
// called with mu held.
func (e *Edge) addAllCounts(now time.Duration, h *peersv1.Hello) {
	e.addOwnCounts(now, h)
	h.Ended = e.endedCounts(now)
}

// addOwnCounts tells this daemon's counts.
func (e *Edge) addOwnCounts(now time.Duration, h *peersv1.Hello) {
	h.Counts = true
	h.Windows = tellWindows(e.book.Open(e.wall.At(now), e.self))
}

// cellCounts are those of this relay and of some followers, and those of one daemon that has
// ended, for relays that may report them; called with mu held. Its own, with a roster, and the
// followers' counts take turns: in one message they would outgrow all else.
func (e *Edge) cellCounts(now time.Duration, turn uint64) (h *peersv1.Hello, ended []*peersv1.Ended) {
	h = &peersv1.Hello{}
	if e.plan.Direct || !countsDue(turn) {
		return h, nil
	}
	ended = e.endedCounts(now)
	if rosterTurn(turn) {
		e.addOwnCounts(now, h)
		return h, ended
	}
	at := e.wall.At(now)
	for _, id := range e.followersInTurn(turn) {
		h.Ended = append(h.Ended, &peersv1.Ended{Incarnation: string(id), Windows: tellWindows(e.book.Open(at, id)), Follows: true})
	}
	return h, ended
}

// lackedCounts are those that another relay asks for, or else some that all are told; called
// with mu held. The relay that a daemon followed may have ended before that daemon finds it
// out, and a relay that has just become one knows only what it was told since.
func (e *Edge) lackedCounts(now time.Duration, to ident.Incarnation, otherwise []*peersv1.Ended) []*peersv1.Ended {
	id, asked := e.lacked[to]
	if !asked {
		return otherwise
	}
	delete(e.lacked, to)
	open := e.book.Open(e.wall.At(now), id)
	if len(open) == 0 {
		return otherwise
	}
	return []*peersv1.Ended{{Incarnation: string(id), Windows: tellWindows(open)}}
}

// lacks is one of the daemons whose counts were not told lately, or since this one became a
// relay, another one for each relay and turn; empty is none. Called with mu held.
func (e *Edge) lacks(now time.Duration, turn uint64) string {
	lacking := e.lacking(now, max(e.limiterBegan, now-countsAskedAfter))
	if len(lacking) == 0 {
		return ""
	}
	return string(lacking[turn%uint64(len(lacking))])
}

// lacking are the daemons, those that may have lost their relays among them, whose counts were
// not told since a time; called with mu held.
func (e *Edge) lacking(now, since time.Duration) []ident.Incarnation {
	return e.coverage.Lacking(e.peers.SeenSince(now-followsAnewWithin), since)
}

// followersInTurn are those whose counts are told in a turn.
func (e *Edge) followersInTurn(turn uint64) []ident.Incarnation {
	var ids []ident.Incarnation
	for id, f := range e.followers {
		if f.primary {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return inTurn(ids, turn/(2*relayTurns), (len(ids)+cellMessages-1)/cellMessages)
}

// countsDue tells whether a relay tells counts of usage in a turn.
func countsDue(turn uint64) bool { return turn%countTurns == 0 }

// rosterTurn tells whether a relay tells the others of its roster, if that is due, instead
// of its followers' counts.
func rosterTurn(turn uint64) bool { return turn/relayTurns%2 == 1 }

// endedCounts are those of one of the daemons that are not alive, by turns; called with mu
// held.
func (e *Edge) endedCounts(now time.Duration) []*peersv1.Ended {
	alive := map[ident.Incarnation]bool{}
	for _, m := range e.alive {
		alive[m.Incarnation] = true
	}
	at := e.wall.At(now)
	id, ok := e.book.NextEnded(at, e.lastEnded, alive)
	if !ok {
		return nil
	}
	e.lastEnded = id
	return []*peersv1.Ended{{Incarnation: string(id), Windows: tellWindows(e.book.Open(at, id))}}
}

// counters are the relays that are told of usage: the holder of the duties and those
// that would follow it.
func (e *Edge) counters() map[ident.Incarnation]bool {
	ids := map[ident.Incarnation]bool{e.dir.holder(): true}
	for _, m := range firstByName(e.plan.Others, successors) {
		ids[m.Incarnation] = true
	}
	return ids
}

func tellWindows(counts map[accounting.Window]accounting.Counts) []*peersv1.Window {
	windows := make([]*peersv1.Window, 0, len(counts))
	for w, c := range counts {
		window := &peersv1.Window{Number: int64(w), Counts: make(map[string]int64, len(c))}
		for ws, n := range c {
			window.Counts[string(ws)] = n
		}
		windows = append(windows, window)
	}
	return windows
}

// answer is what one daemon is told of its last stamp; called with mu held.
func (e *Edge) answer(to ident.Incarnation) *peersv1.Hello {
	var stamp *freshness.Stamp
	if s, ok := e.stamps[to]; ok {
		stamp = &s
	}
	w := e.fresh.Answer(stamp)
	return &peersv1.Hello{EchoNs: int64(w.Echo), LagNs: int64(w.Lag), Proved: w.Proved, ConfigRevision: w.Revision}
}

func tellRow(r peers.Row) *peersv1.Row {
	return &peersv1.Row{
		Daemon: string(r.ID), Incarnation: string(r.Incarnation), FailureDomain: string(r.FailureDomain),
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, Phase: uint32(r.Phase), Seq: r.Seq, StartedUnixMs: r.Started,
	}
}

func rowOf(r *peersv1.Row) peers.Row {
	return peers.Row{Seq: r.Seq, Member: peers.Member{
		ID: ident.DaemonID(r.Daemon), Incarnation: ident.Incarnation(r.Incarnation), FailureDomain: ident.FailureDomain(r.FailureDomain),
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, Phase: peers.Phase(r.Phase), Started: r.StartedUnixMs,
	}}
}

func usesOf(h *peersv1.Hello) map[ident.Workspace]quota.Use {
	uses := make(map[ident.Workspace]quota.Use, len(h.Uses))
	for _, u := range h.Uses {
		uses[ident.Workspace(u.Workspace)] = quota.Use{Taken: u.Taken, Level: u.Level}
	}
	return uses
}

func windowsOf(told []*peersv1.Window) map[accounting.Window]accounting.Counts {
	windows := make(map[accounting.Window]accounting.Counts, len(told))
	for _, w := range told {
		counts := make(accounting.Counts, len(w.Counts))
		for ws, n := range w.Counts {
			counts[ident.Workspace(ws)] = n
		}
		windows[accounting.Window(w.Number)] = counts
	}
	return windows
}
