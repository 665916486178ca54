package spread

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// OutDegree is the number of members that each contacts by itself. As
	// many contact it, so the overlay is a random graph of twice the degree.
	OutDegree = 4
	// HeartbeatInterval is the time between two exchanges with a neighbour.
	HeartbeatInterval = time.Second
)

// Neighbours spreads over a random graph that stays the same while the members
// do: each member exchanges versions with the OutDegree others that rank first
// by a hash of the pair, at every tick and at once when its version rises. With
// no more than OutDegree others it is one to all. Links that stay are what
// bounds connections; a version that a push missed comes with the next tick.
type Neighbours struct {
	self     string
	version  uint64
	links    []string
	suspects []string
	turn     int
}

var _ Strategy = (*Neighbours)(nil)

// NewNeighbours returns the machine of one member.
func NewNeighbours(self string) *Neighbours { return &Neighbours{self: self} }

// SetMembers ranks the members anew. Suspects are left out, so a link to a
// crashed one moves to the next in rank.
func (n *Neighbours) SetMembers(_ time.Time, peers []Peer) []Send {
	type ranked struct {
		id   string
		rank uint64
	}
	candidates := make([]ranked, 0, len(peers))
	n.suspects = n.suspects[:0]
	for _, p := range peers {
		if p.Suspect {
			n.suspects = append(n.suspects, p.ID)
			continue
		}
		candidates = append(candidates, ranked{p.ID, xxhash.Sum64String(n.self + "\x00" + p.ID)})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].rank < candidates[j].rank })
	n.links = n.links[:0]
	for _, c := range candidates[:min(OutDegree, len(candidates))] {
		n.links = append(n.links, c.id)
	}
	return nil
}

// Links lists the members that this one contacts by itself.
func (n *Neighbours) Links() []string { return n.links }

// Publish raises the version and pushes it to every link.
func (n *Neighbours) Publish(_ time.Time, version uint64) []Send {
	return n.adopt(version, "")
}

// Receive adopts a higher version and answers a push with its own.
func (n *Neighbours) Receive(_ time.Time, from string, m Message) []Send {
	sends := n.adopt(m.Version, from)
	if m.Kind == Push {
		sends = append(sends, Send{To: from, Message: Message{Kind: Reply, Version: n.version}})
	}
	return sends
}

// Tick exchanges with every link and with one suspect in turn. Guards against
// two members, or two regions, that suspect each other: without a probe
// neither would contact the other again and the suspicion would never end.
func (n *Neighbours) Tick(time.Time) []Send {
	sends := n.push("")
	if len(n.suspects) > 0 {
		n.turn++
		suspect := n.suspects[n.turn%len(n.suspects)]
		sends = append(sends, Send{To: suspect, Message: Message{Kind: Push, Version: n.version}})
	}
	return sends
}

// Interval is HeartbeatInterval.
func (n *Neighbours) Interval() time.Duration { return HeartbeatInterval }

// Version is the highest known.
func (n *Neighbours) Version() uint64 { return n.version }

func (n *Neighbours) adopt(version uint64, from string) []Send {
	if version <= n.version {
		return nil
	}
	n.version = version
	return n.push(from)
}

func (n *Neighbours) push(except string) []Send {
	var sends []Send
	for _, id := range n.links {
		if id != except {
			sends = append(sends, Send{To: id, Message: Message{Kind: Push, Version: n.version}})
		}
	}
	return sends
}
