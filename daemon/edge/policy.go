package edge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"geraniumstack.org/geraniumstack/coordination/relays"
)

// Mechanism names a way in which a daemon serves better or for less. Each can be
// switched off alone, so that what it is worth can be measured on any deployment. What
// keeps a promise to callers is none.
type Mechanism string

// Mechanisms.
const (
	// PlaceByPrefix sends prompts where their shared parts are cached, CopyParts has
	// them copied from there, and TellPlacements tells the other daemons.
	PlaceByPrefix  Mechanism = "place-by-prefix"
	CopyParts      Mechanism = "copy-parts"
	TellPlacements Mechanism = "tell-placements"
	// TrustHomes takes prompts for cached that nobody remembers after a restart.
	TrustHomes Mechanism = "trust-homes"
	// LearnSpeed learns how fast engines read.
	LearnSpeed Mechanism = "learn-speed"
	// RoomForStreams keeps prompts from starving streams, RoomForChance follows the
	// variance of the work.
	RoomForStreams Mechanism = "room-for-streams"
	RoomForChance  Mechanism = "room-for-chance"
	// SpareRunners keeps more than are needed where they cost little, TwoReclaims
	// enough of them to last two.
	SpareRunners Mechanism = "spare-runners"
	TwoReclaims  Mechanism = "two-reclaims"
	// Scarcity stands in for reclaimable runners that are hard to get, AskOften asks
	// for them all the while.
	Scarcity Mechanism = "scarcity"
	AskOften Mechanism = "ask-often"
	// TellLeaving tells the other daemons of runners that are leaving.
	TellLeaving Mechanism = "tell-leaving"
	// Ejection takes runners that fail out, ProbeSilent asks silent ones whether they
	// are there.
	Ejection    Mechanism = "ejection"
	ProbeSilent Mechanism = "probe-silent"
	// Retries sends what may be repeated again.
	Retries Mechanism = "retries"
	// RefuseEarly refuses at once what is expected to come too late.
	RefuseEarly Mechanism = "refuse-early"
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{
		PlaceByPrefix, CopyParts, TellPlacements, TrustHomes, LearnSpeed, RoomForStreams, RoomForChance, SpareRunners,
		TwoReclaims, Scarcity, AskOften, TellLeaving, Ejection, ProbeSilent, Retries, RefuseEarly,
	}
}

// Policy says which mechanisms are in use, and in how large a fleet the daemons tell each
// other directly; the zero value is all, and relays.DirectFleet.
type Policy struct {
	without     map[Mechanism]bool
	directFleet int
}

// MostDirectFleet is the largest fleet whose daemons may tell each other directly: messages
// grow with the square of it.
const MostDirectFleet = 100

// DirectFleetError says that a fleet is too small or too large for its daemons to tell each
// other directly up to that size.
type DirectFleetError struct{ Daemons int }

func (e *DirectFleetError) Error() string {
	return fmt.Sprintf("direct fleet %d: must be %d to %d daemons", e.Daemons, relays.AllWatchFleet, MostDirectFleet)
}

// WithDirectFleet returns the policy by which the daemons of a fleet of so many at the most
// tell each other directly. It must be the same for all of a fleet. It fails with
// *DirectFleetError.
func (p Policy) WithDirectFleet(daemons int) (Policy, error) {
	if daemons < relays.AllWatchFleet || daemons > MostDirectFleet {
		return Policy{}, &DirectFleetError{daemons}
	}
	p.directFleet = daemons
	return p, nil
}

// UnknownMechanismError says that there is no mechanism of a name.
type UnknownMechanismError struct{ Name string }

func (e *UnknownMechanismError) Error() string { return fmt.Sprintf("no mechanism %q", e.Name) }

// Without returns the policy that leaves out the mechanisms of a list, separated by
// commas; an empty list is none. It fails with *UnknownMechanismError.
func Without(list string) (Policy, error) {
	p := Policy{without: map[Mechanism]bool{}}
	for name := range strings.SplitSeq(list, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(Mechanisms(), Mechanism(name)) {
			return Policy{}, &UnknownMechanismError{name}
		}
		p.without[Mechanism(name)] = true
	}
	return p, nil
}

// DirectFleet is the number of daemons up to which all of a fleet tell each other directly.
func (p Policy) DirectFleet() int { return cmp.Or(p.directFleet, relays.DirectFleet) }

// Uses tells whether a mechanism is in use.
func (p Policy) Uses(m Mechanism) bool { return !p.without[m] }

// String lists what is left out.
func (p Policy) String() string {
	var names []string
	for _, m := range Mechanisms() {
		if !p.Uses(m) {
			names = append(names, string(m))
		}
	}
	return strings.Join(names, ",")
}
