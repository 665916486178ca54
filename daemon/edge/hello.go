package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/routing"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// maxTold bounds the addresses in a message. They only help daemons that have
// just started, which hear several daemons ten times a second.
const maxTold = 4

// noticeTold is how long the others are told of a runner's notice: as long as one may
// need to read it, and a few messages.
const noticeTold = gatherLong + time.Second

// hello is what all others are told; called with mu held.
func (e *Edge) hello(loads []routing.OwnLoad) *peersv1.Hello {
	now := e.deps.Steady()
	self := e.peers.Self()
	e.seq++
	h := &peersv1.Hello{
		Daemon:        string(self.ID),
		Incarnation:   string(self.Incarnation),
		FailureDomain: string(self.FailureDomain),
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
		Phase:         uint32(self.Phase),
		Seq:           e.seq,
		StampNs:       int64(now),
		AgeNs:         int64(now - e.began),
		TimeUnixNs:    e.wall.Own(now).UnixNano(),
	}
	for ws, use := range e.limiter.Uses(now) {
		h.Uses = append(h.Uses, &peersv1.Use{Workspace: string(ws), Taken: use.Taken, Level: use.Level})
	}
	h.Windows = tellWindows(e.book.Open(e.wall.At(now), e.self))
	h.Ended = e.ended(now)
	for _, l := range loads {
		if l.Requests > 0 {
			h.Loads = append(h.Loads, &peersv1.Load{
				Runner: string(l.Runner), PrefillTokens: uint32(l.Prefill), Requests: uint32(l.Requests), KvTokens: uint32(l.KV),
			})
		}
	}
	if e.set.Policy.Uses(TellLeaving) {
		for _, id := range e.dir.noticedSince(now - noticeTold) {
			h.Leaving = append(h.Leaving, string(id))
		}
	}
	h.Addresses = inTurn(e.peers.Addresses(), e.seq)
	return h
}

// inTurn picks the addresses for one message: all of them within a few.
func inTurn(addresses []string, seq uint64) []string {
	if len(addresses) <= maxTold {
		return addresses
	}
	told := make([]string, 0, maxTold)
	from := seq * maxTold
	for i := range uint64(maxTold) {
		told = append(told, addresses[(from+i)%uint64(len(addresses))])
	}
	return told
}

// ended is what one of the daemons that are not heard counted; called with mu held.
func (e *Edge) ended(now time.Duration) []*peersv1.Ended {
	alive := map[ident.Incarnation]bool{}
	for _, m := range e.peers.Alive(now) {
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
