package spread

import (
	"time"
)

// Flat exchanges versions with every other member at every tick, and at once when a version
// is published at this member.
type Flat struct {
	version uint64
	peers   []Peer
}

var _ Strategy = (*Flat)(nil)

// NewFlat returns the strategy of one member.
func NewFlat() *Flat { return &Flat{} }

// SetMembers replaces the list of other members.
func (f *Flat) SetMembers(_ time.Time, peers []Peer) []Send {
	f.peers = peers
	return nil
}

// Publish raises the version and pushes it to all members.
func (f *Flat) Publish(now time.Time, version uint64) []Send {
	if version <= f.version {
		return nil
	}
	f.version = version
	return f.Tick(now)
}

// Receive adopts a higher version and replies to a push with its own version.
func (f *Flat) Receive(_ time.Time, from string, m Message) []Send {
	f.version = max(f.version, m.Version)
	if m.Kind != Push {
		return nil
	}
	return []Send{{To: from, Message: Message{Kind: Reply, Version: f.version}}}
}

// Tick pushes the version to all members, including suspect ones.
func (f *Flat) Tick(time.Time) []Send {
	sends := make([]Send, 0, len(f.peers))
	for _, p := range f.peers {
		sends = append(sends, Send{To: p.ID, Message: Message{Kind: Push, Version: f.version}})
	}
	return sends
}

// Interval returns the time between ticks, the same as that of Neighbours in a small
// fleet.
func (f *Flat) Interval() time.Duration { return SmallFleetInterval }

// Version returns the highest known version.
func (f *Flat) Version() uint64 { return f.version }
