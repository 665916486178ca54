package spread

import (
	"math/rand/v2"
	"time"
)

// AntiEntropy exchanges versions with a few randomly chosen members at every tick, by push
// and pull, and sends nothing in between.
type AntiEntropy struct {
	version uint64
	peers   []Peer
	fanout  int
	random  *rand.Rand
}

var _ Strategy = (*AntiEntropy)(nil)

// NewAntiEntropy returns the strategy of one member.
func NewAntiEntropy(fanout int, seed uint64) *AntiEntropy {
	return &AntiEntropy{fanout: fanout, random: rand.New(rand.NewPCG(seed, uint64(fanout)))}
}

// SetMembers replaces the list of other members.
func (a *AntiEntropy) SetMembers(_ time.Time, peers []Peer) []Send {
	a.peers = peers
	return nil
}

// Publish raises the version; it is sent with the next tick.
func (a *AntiEntropy) Publish(_ time.Time, version uint64) []Send {
	a.version = max(a.version, version)
	return nil
}

// Receive adopts a higher version and replies to a push with its own version.
func (a *AntiEntropy) Receive(_ time.Time, from string, m Message) []Send {
	a.version = max(a.version, m.Version)
	if m.Kind != Push {
		return nil
	}
	return []Send{{To: from, Message: Message{Kind: Reply, Version: a.version}}}
}

// Tick sends to randomly chosen members. Suspect members are as likely to be chosen as
// others, so a false suspicion has no effect.
func (a *AntiEntropy) Tick(time.Time) []Send {
	var sends []Send
	for range min(a.fanout, len(a.peers)) {
		p := a.peers[a.random.IntN(len(a.peers))]
		sends = append(sends, Send{To: p.ID, Message: Message{Kind: Push, Version: a.version}})
	}
	return sends
}

// Interval returns the time between ticks, the same as that of Neighbours in a small
// fleet.
func (a *AntiEntropy) Interval() time.Duration { return SmallFleetInterval }

// Version returns the highest known version.
func (a *AntiEntropy) Version() uint64 { return a.version }
