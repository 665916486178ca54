// Package spread holds strategies to propagate a growing version number (of an accepted
// configuration generation or a membership change) from one member to all others: one
// interface with four implementations that do no I/O. Daemons run Neighbours; Flat,
// AntiEntropy and VCubeTree exist for comparison.
package spread

import (
	"time"
)

// Kind is the type of a message.
type Kind string

// Push and Reply are the two messages of one exchange, as in a remote call. Tree, Deliver
// and Ack are the messages of VCubeTree.
const (
	Push    Kind = "push"
	Reply   Kind = "reply"
	Tree    Kind = "tree"
	Deliver Kind = "deliver"
	Ack     Kind = "ack"
)

// Message is what one member sends another to spread the version or to check that it is
// running.
type Message struct {
	Kind Kind
	// Version is the highest version that the sender knows.
	Version uint64
	// Source is the member that started the broadcast. It is set only for Tree, Deliver and
	// Ack.
	Source string
}

// Send is a message with its receiver.
type Send struct {
	To      string
	Message Message
}

// Peer is another member.
type Peer struct {
	ID string
	// Suspect is set if the member hasn't answered for a while, though it may still be
	// running.
	Suspect bool
}

// Strategy is the state of one member in a way to propagate versions. It does no I/O: its
// methods return the messages to send. Implementations are not safe for concurrent use.
type Strategy interface {
	// SetMembers replaces the list of other members.
	SetMembers(now time.Time, peers []Peer) []Send
	// Publish raises the version at this member.
	Publish(now time.Time, version uint64) []Send
	// Receive handles a message from another member.
	Receive(now time.Time, from string, m Message) []Send
	// Tick must be called once per Interval.
	Tick(now time.Time) []Send
	// Interval returns the time between ticks.
	Interval() time.Duration
	// Version returns the highest known version.
	Version() uint64
}
