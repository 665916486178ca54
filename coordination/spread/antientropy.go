package spread

import (
	"math/rand/v2"
	"time"
)

// AntiEntropy exchanges with a few members drawn anew at every tick, push and
// pull, and sends nothing in between.
type AntiEntropy struct {
	version uint64
	peers   []Peer
	fanout  int
	random  *rand.Rand
}

var _ Strategy = (*AntiEntropy)(nil)

// NewAntiEntropy returns the machine of one member.
func NewAntiEntropy(fanout int, seed uint64) *AntiEntropy {
	return &AntiEntropy{fanout: fanout, random: rand.New(rand.NewPCG(seed, uint64(fanout)))}
}

// SetMembers replaces the members.
func (a *AntiEntropy) SetMembers(_ time.Time, peers []Peer) []Send {
	a.peers = peers
	return nil
}

// Publish raises the version; the next tick carries it.
func (a *AntiEntropy) Publish(_ time.Time, version uint64) []Send {
	a.version = max(a.version, version)
	return nil
}

// Receive adopts a higher version and answers a push with its own.
func (a *AntiEntropy) Receive(_ time.Time, from string, m Message) []Send {
	a.version = max(a.version, m.Version)
	if m.Kind != Push {
		return nil
	}
	return []Send{{To: from, Message: Message{Kind: Reply, Version: a.version}}}
}

// Tick draws the next partners; a suspect is as likely as any other, so a
// false suspicion costs nothing.
func (a *AntiEntropy) Tick(time.Time) []Send {
	var sends []Send
	for range min(a.fanout, len(a.peers)) {
		p := a.peers[a.random.IntN(len(a.peers))]
		sends = append(sends, Send{To: p.ID, Message: Message{Kind: Push, Version: a.version}})
	}
	return sends
}

// Interval is SmallInterval.
func (a *AntiEntropy) Interval() time.Duration { return SmallFleetInterval }

// Version is the highest known.
func (a *AntiEntropy) Version() uint64 { return a.version }
