package spread

import (
	"math/bits"
	"sort"
	"time"
)

// treeInterval is the time between two rounds of probes. With the eleven clusters of 1,800
// members it costs about as much traffic as OutDegree links at HeartbeatInterval.
const treeInterval = 5 * time.Second

// VCubeTree is the reliable broadcast of Jeanneau, Rodrigues, Arantes and Duarte
// over VCube ("An autonomic hierarchical reliable broadcast protocol for asynchronous
// distributed systems with failure detection"). A member groups the others into clusters of
// doubling size. It sends a Tree message to the first member of each cluster that it does
// not suspect, which forwards the message into its own smaller clusters. Suspect members
// before that one get a Deliver message, which is not forwarded. As versions only grow,
// only the newest one is broadcast.
type VCubeTree struct {
	self    int
	members []string
	index   map[string]int
	suspect map[int]bool

	version uint64
	source  string
	// pending holds the children that have not acknowledged the current version.
	pending map[int]pendingAck
	// sentTo holds the members to which this member has sent the current version.
	sentTo map[int]bool
}

// pendingAck is an acknowledgement that this member waits for from a child. Once all
// children to which a message from a parent was forwarded have acknowledged it, this
// member sends an acknowledgement to that parent.
type pendingAck struct{ parent int }

// noParent is the parent of a broadcast that this member started.
const noParent = -1

var _ Strategy = (*VCubeTree)(nil)

// NewVCubeTree returns the strategy of the member self. The argument members is the
// complete sorted list and must be the same at every member; only suspicions change.
func NewVCubeTree(self string, members []string) *VCubeTree {
	t := &VCubeTree{members: members, index: map[string]int{}, suspect: map[int]bool{}}
	for i, id := range members {
		t.index[id] = i
	}
	t.self = t.index[self]
	t.resetBroadcast()
	return t
}

func (t *VCubeTree) resetBroadcast() {
	t.pending = map[int]pendingAck{}
	t.sentTo = map[int]bool{}
}

// cluster appends to into the members of c(i,s), the cluster of member i with size index s
// in the paper named at VCubeTree: first the member whose index is i with bit s-1
// inverted, then that member's own clusters with a smaller size index. For example, the
// clusters of member 0 are c(0,1) = 1, c(0,2) = 2, 3 and c(0,3) = 4, 5, 6, 7.
func cluster(i, s int, into []int) []int {
	first := i ^ (1 << (s - 1))
	into = append(into, first)
	for k := 1; k < s; k++ {
		into = cluster(first, k, into)
	}
	return into
}

// clusterOf returns the size index s for which the cluster c(i,s) of member i contains
// member j.
func clusterOf(i, j int) int { return bits.Len(uint(i ^ j)) }

func (t *VCubeTree) dimensions() int { return bits.Len(uint(len(t.members) - 1)) }

// SetMembers updates the suspicions. If a newly suspected member has not acknowledged the
// current version, the version is sent to the next member of its cluster instead. If the
// source of the current broadcast is newly suspected, this member starts the broadcast
// again.
func (t *VCubeTree) SetMembers(_ time.Time, peers []Peer) []Send {
	previous := t.suspect
	t.suspect = map[int]bool{}
	var newlySuspected []int
	for _, p := range peers {
		if !p.Suspect {
			continue
		}
		j, ok := t.index[p.ID]
		if !ok {
			continue
		}
		t.suspect[j] = true
		if !previous[j] {
			newlySuspected = append(newlySuspected, j)
		}
	}
	sort.Ints(newlySuspected)
	var sends []Send
	for _, j := range newlySuspected {
		sends = append(sends, t.handleSuspected(j)...)
	}
	return sends
}

func (t *VCubeTree) handleSuspected(j int) []Send {
	var sends []Send
	if ack, ok := t.pending[j]; ok {
		delete(t.pending, j)
		sends = append(sends, t.broadcastCluster(clusterOf(t.self, j), ack.parent)...)
		sends = append(sends, t.checkAcks(ack.parent)...)
	}
	if t.version > 0 && t.members[j] == t.source {
		sends = append(sends, t.broadcastTree(t.dimensions(), noParent)...)
	}
	return sends
}

// Publish starts a broadcast from this member.
func (t *VCubeTree) Publish(_ time.Time, version uint64) []Send {
	if version <= t.version {
		return nil
	}
	t.version = version
	t.source = t.members[t.self]
	t.resetBroadcast()
	return t.broadcastTree(t.dimensions(), noParent)
}

// Receive handles the three messages of the paper; Push and Reply are probes.
func (t *VCubeTree) Receive(_ time.Time, from string, m Message) []Send {
	j := t.index[from]
	switch m.Kind {
	case Push:
		return []Send{{To: from, Message: Message{Kind: Reply, Version: t.version}}}
	case Deliver:
		return t.adoptVersion(m)
	case Tree:
		sends := t.adoptVersion(m)
		sends = append(sends, t.broadcastTree(clusterOf(t.self, j)-1, j)...)
		return append(sends, t.checkAcks(j)...)
	case Ack:
		ack, ok := t.pending[j]
		if !ok || m.Version != t.version {
			return nil
		}
		delete(t.pending, j)
		return t.checkAcks(ack.parent)
	}
	return nil
}

// adoptVersion adopts a version that is not known yet. If its source is suspected, this
// member starts the broadcast again.
func (t *VCubeTree) adoptVersion(m Message) []Send {
	if m.Version <= t.version {
		return nil
	}
	t.version = m.Version
	t.source = m.Source
	t.resetBroadcast()
	if t.suspect[t.index[m.Source]] {
		return t.broadcastTree(t.dimensions(), noParent)
	}
	return nil
}

func (t *VCubeTree) broadcastTree(height, parent int) []Send {
	var sends []Send
	for s := 1; s <= height; s++ {
		sends = append(sends, t.broadcastCluster(s, parent)...)
	}
	return sends
}

func (t *VCubeTree) broadcastCluster(s, parent int) []Send {
	var sends []Send
	for _, k := range cluster(t.self, s, nil) {
		if k >= len(t.members) {
			continue
		}
		kind := Tree
		if t.suspect[k] {
			kind = Deliver
		}
		if !t.sentTo[k] {
			t.sentTo[k] = true
			sends = append(sends, t.send(k, kind))
			if kind == Tree {
				t.pending[k] = pendingAck{parent: parent}
			}
		}
		if kind == Tree {
			return sends
		}
	}
	return sends
}

func (t *VCubeTree) checkAcks(parent int) []Send {
	if parent == noParent {
		return nil
	}
	for _, ack := range t.pending {
		if ack.parent == parent {
			return nil
		}
	}
	return []Send{t.send(parent, Ack)}
}

func (t *VCubeTree) send(to int, kind Kind) Send {
	return Send{To: t.members[to], Message: Message{Kind: kind, Version: t.version, Source: t.source}}
}

// Tick probes the first member of each cluster that is not suspected.
func (t *VCubeTree) Tick(time.Time) []Send {
	var sends []Send
	for s := 1; s <= t.dimensions(); s++ {
		for _, k := range cluster(t.self, s, nil) {
			if k < len(t.members) && !t.suspect[k] {
				sends = append(sends, Send{To: t.members[k], Message: Message{Kind: Push, Version: t.version}})
				break
			}
		}
	}
	return sends
}

// Interval returns the time between two rounds of probes, which is the same for any number
// of members.
func (t *VCubeTree) Interval() time.Duration { return treeInterval }

// Version returns the highest known version.
func (t *VCubeTree) Version() uint64 { return t.version }
