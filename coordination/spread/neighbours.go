package spread

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// OutDegree is the number of members to which each member opens a link. On average as
	// many members open one to it, so the overlay is a random graph of twice this degree.
	OutDegree = 4
	// HeartbeatInterval is the time between two exchanges over a link. With OutDegree
	// outgoing links, as many incoming ones and 1,012 bytes per exchange, the traffic is
	// 4.0 KB/s.
	HeartbeatInterval = 2 * time.Second
	// SmallFleetInterval replaces HeartbeatInterval if OutDegree links reach all other
	// members, so that a small fleet detects sooner that a daemon is down.
	SmallFleetInterval = time.Second
)

// Neighbours spreads versions over a random graph that stays the same as long as the
// members do. Each member exchanges versions with the OutDegree other members that come
// first in the order of a hash of both IDs, at every tick and at once when its version
// rises. With at most OutDegree other members it reaches all of them directly. Stable links
// limit the number of connections. A version that a lost push didn't deliver is delivered
// at the next tick.
type Neighbours struct {
	self        string
	version     uint64
	links       []string
	suspects    []string
	nextSuspect int
	reachesAll  bool
	// ranks caches the hashes of the pairs of IDs.
	ranks map[string]uint64
}

var _ Strategy = (*Neighbours)(nil)

// NewNeighbours returns the strategy of the member self.
func NewNeighbours(self string) *Neighbours {
	return &Neighbours{self: self, ranks: map[string]uint64{}}
}

// SetMembers selects the links from the members. Suspect members are left out, so that a
// link to a crashed member is replaced by one to the next member in rank.
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

// insertLink inserts a member into the sorted links and keeps the first OutDegree.
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

// Links returns the members to which this member opens a link.
func (n *Neighbours) Links() []string { return n.links }

// Publish raises the version and pushes it to every link.
func (n *Neighbours) Publish(_ time.Time, version uint64) []Send {
	return n.raiseVersion(version, "")
}

// Receive adopts a higher version and replies to a push with its own version.
func (n *Neighbours) Receive(_ time.Time, from string, m Message) []Send {
	sends := n.raiseVersion(m.Version, from)
	if m.Kind == Push {
		sends = append(sends, Send{To: from, Message: Message{Kind: Reply, Version: n.version}})
	}
	return sends
}

// Tick pushes to every link and to one of the suspect members, in turn. Without the latter,
// two members or regions that suspect each other would never contact each other again, and
// the suspicion would never end.
func (n *Neighbours) Tick(time.Time) []Send {
	sends := n.pushToLinks("")
	if len(n.suspects) > 0 {
		n.nextSuspect++
		suspect := n.suspects[n.nextSuspect%len(n.suspects)]
		sends = append(sends, Send{To: suspect, Message: Message{Kind: Push, Version: n.version}})
	}
	return sends
}

// Interval returns the time between ticks, which is shorter if the links reach all members.
func (n *Neighbours) Interval() time.Duration {
	if n.reachesAll {
		return SmallFleetInterval
	}
	return HeartbeatInterval
}

// Version returns the highest known version.
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
