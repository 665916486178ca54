package spread

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// OutDegree is the number of members that each contacts by itself. As
	// many contact it, so the overlay is a random graph of twice the degree.
	OutDegree = 4
	// HeartbeatInterval is the time between two exchanges with a neighbour. With
	// OutDegree links, as many incoming and 1,012 bytes an exchange it comes to
	// 4.0 KB/s.
	HeartbeatInterval = 2 * time.Second
	// SmallFleetInterval is the same where OutDegree links reach everybody: a small
	// fleet finds out sooner that a daemon is down.
	SmallFleetInterval = time.Second
)

// Neighbours spreads over a random graph that stays the same while the members
// do: each member exchanges versions with the OutDegree others that rank first
// by a hash of the pair, at every tick and at once when its version rises. With
// no more than OutDegree others it is one to all. Links that stay are what
// bounds connections; a version that a push missed comes with the next tick.
type Neighbours struct {
	self        string
	version     uint64
	links       []string
	suspects    []string
	nextSuspect int
	reachesAll  bool
	// ranks remembers the hashes of pairs.
	ranks map[string]uint64
}

var _ Strategy = (*Neighbours)(nil)

// NewNeighbours returns the machine of one member.
func NewNeighbours(self string) *Neighbours {
	return &Neighbours{self: self, ranks: map[string]uint64{}}
}

// SetMembers ranks the members anew. Suspects are left out, so a link to a
// crashed one moves to the next in rank.
func (n *Neighbours) SetMembers(_ time.Time, peers []Peer) []Send {
	n.reachesAll = len(peers) <= OutDegree
	n.suspects = n.suspects[:0]
	n.links = n.links[:0]
	if len(n.ranks) > 2*len(peers) {
		clear(n.ranks)
	}
	for _, p := range peers {
		if p.Suspect {
			n.suspects = append(n.suspects, p.ID)
			continue
		}
		n.insertLink(p.ID)
	}
	return nil
}

// insertLink keeps the links to be the first OutDegree by rank.
func (n *Neighbours) insertLink(id string) {
	rank := n.rank(id)
	position := sort.Search(len(n.links), func(i int) bool { return n.rank(n.links[i]) > rank })
	if position == OutDegree {
		return
	}
	n.links = slices.Insert(n.links, position, id)
	n.links = n.links[:min(OutDegree, len(n.links))]
}

func (n *Neighbours) rank(id string) uint64 {
	rank, known := n.ranks[id]
	if !known {
		rank = xxhash.Sum64String(n.self + "\x00" + id)
		n.ranks[id] = rank
	}
	return rank
}

// Links lists the members that this one contacts by itself.
func (n *Neighbours) Links() []string { return n.links }

// Publish raises the version and pushes it to every link.
func (n *Neighbours) Publish(_ time.Time, version uint64) []Send {
	return n.raiseVersion(version, "")
}

// Receive adopts a higher version and answers a push with its own.
func (n *Neighbours) Receive(_ time.Time, from string, m Message) []Send {
	sends := n.raiseVersion(m.Version, from)
	if m.Kind == Push {
		sends = append(sends, Send{To: from, Message: Message{Kind: Reply, Version: n.version}})
	}
	return sends
}

// Tick exchanges with every link and with one suspect in turn. Guards against
// two members, or two regions, that suspect each other: without a probe
// neither would contact the other again and the suspicion would never end.
func (n *Neighbours) Tick(time.Time) []Send {
	sends := n.pushToLinks("")
	if len(n.suspects) > 0 {
		n.nextSuspect++
		suspect := n.suspects[n.nextSuspect%len(n.suspects)]
		sends = append(sends, Send{To: suspect, Message: Message{Kind: Push, Version: n.version}})
	}
	return sends
}

// Interval depends on whether the links reach everybody.
func (n *Neighbours) Interval() time.Duration {
	if n.reachesAll {
		return SmallFleetInterval
	}
	return HeartbeatInterval
}

// Version is the highest known.
func (n *Neighbours) Version() uint64 { return n.version }

func (n *Neighbours) raiseVersion(version uint64, from string) []Send {
	if version <= n.version {
		return nil
	}
	n.version = version
	return n.pushToLinks(from)
}

func (n *Neighbours) pushToLinks(except string) []Send {
	var sends []Send
	for _, id := range n.links {
		if id != except {
			sends = append(sends, Send{To: id, Message: Message{Kind: Push, Version: n.version}})
		}
	}
	return sends
}
