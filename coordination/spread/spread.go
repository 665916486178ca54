// Package spread holds the ways to bring a growing version number (an accepted
// generation, a change of membership) from one member to all: one interface,
// four pure machines. Neighbours is the one that daemons run; Flat,
// AntiEntropy and Tree are what it was weighed against.
package spread

import (
	"time"
)

// Kind tells messages apart.
type Kind string

// Kinds of messages. Push and Reply are one exchange, as in one remote call;
// Tree, Deliver and Ack are those of the hierarchical broadcast.
const (
	Push    Kind = "push"
	Reply   Kind = "reply"
	Tree    Kind = "tree"
	Deliver Kind = "deliver"
	Ack     Kind = "ack"
)

// Message is what members send each other.
type Message struct {
	Kind Kind
	// Version is the highest that the sender has.
	Version uint64
	// Source started the broadcast; only with Tree, Deliver and Ack.
	Source string
}

// Send is a message on its way.
type Send struct {
	To      string
	Message Message
}

// Peer is another member.
type Peer struct {
	ID string
	// Suspect ones have been silent, which proves nothing.
	Suspect bool
}

// Strategy is one member's side of a way to spread versions. Implementations
// are not safe for concurrent use.
type Strategy interface {
	// SetMembers replaces what is known of the other members.
	SetMembers(now time.Time, peers []Peer) []Send
	// Publish raises the version from outside.
	Publish(now time.Time, version uint64) []Send
	// Receive takes in a message.
	Receive(now time.Time, from string, m Message) []Send
	// Tick is called every Interval.
	Tick(now time.Time) []Send
	// Interval is the time between ticks.
	Interval() time.Duration
	// Version is the highest known.
	Version() uint64
}
