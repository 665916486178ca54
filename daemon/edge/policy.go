package edge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"geraniumstack.org/geraniumstack/coordination/relays"
)

// Mechanism names an optional improvement of quality or cost. Each can be switched off
// separately so that its effect can be measured on any deployment. Nothing that is required to
// keep a promise to callers is a Mechanism.
type Mechanism string

// Mechanisms that a policy can switch off.
const (
	// PlaceByPrefix sends prompts to runners that have their shared parts cached. CopyParts
	// copies shared parts between runners' caches. TellPlacements tells the other daemons where
	// prompts were sent.
	PlaceByPrefix  Mechanism = "place-by-prefix"
	CopyParts      Mechanism = "copy-parts"
	TellPlacements Mechanism = "tell-placements"
	// TrustHomes assumes after a restart, when no placements are known, that prompts are cached
	// at their home runners.
	TrustHomes Mechanism = "trust-homes"
	// LearnSpeed measures how fast engines read prompts.
	LearnSpeed Mechanism = "learn-speed"
	// RoomForStreams orders enough runners that reading prompts doesn't slow down running
	// streams. RoomForChance adds headroom for the variance of the load.
	RoomForStreams Mechanism = "room-for-streams"
	RoomForChance  Mechanism = "room-for-chance"
	// SpareRunners keeps more runners than needed where they are cheap. TwoReclaims keeps
	// enough of them to survive two reclaims.
	SpareRunners Mechanism = "spare-runners"
	TwoReclaims  Mechanism = "two-reclaims"
	// Scarcity replaces reclaimable runners that are hard to get by runners at the full price.
	// AskOften keeps asking for reclaimable ones meanwhile.
	Scarcity Mechanism = "scarcity"
	AskOften Mechanism = "ask-often"
	// TellLeaving tells the other daemons which runners are leaving.
	TellLeaving Mechanism = "tell-leaving"
	// Ejection excludes failing runners. ProbeSilent checks the health of runners that have
	// gone silent.
	Ejection    Mechanism = "ejection"
	ProbeSilent Mechanism = "probe-silent"
	// Retries repeats failed attempts that are safe to repeat.
	Retries Mechanism = "retries"
	// RefuseEarly immediately refuses a request whose answer is expected to come too late.
	RefuseEarly Mechanism = "refuse-early"
	// RunnerSpeeds learns the speed of each runner where a service's runners differ.
	RunnerSpeeds Mechanism = "runner-speeds"
	// FairShare keeps workspaces within their shares while a service has too little capacity.
	FairShare Mechanism = "fair-share"
	// Spillover decides how much traffic leaves a failure domain.
	Spillover Mechanism = "spillover"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		PlaceByPrefix, CopyParts, TellPlacements, TrustHomes, LearnSpeed, RoomForStreams, RoomForChance, SpareRunners,
		TwoReclaims, Scarcity, AskOften, TellLeaving, Ejection, ProbeSilent, Retries, RefuseEarly, RunnerSpeeds, FairShare, Spillover,
	}
}

// Policy says which mechanisms are in use, and up to which fleet size all daemons exchange
// messages directly, without relays. The zero value uses all mechanisms and relays.DirectFleet.
type Policy struct {
	without     map[Mechanism]bool
	directFleet int
}

// MaxDirectFleet is the largest fleet whose daemons may exchange messages directly: the number
// of messages grows with the square of the fleet's size.
const MaxDirectFleet = 100

// DirectFleetError says that a fleet size isn't allowed as the limit for direct messages.
type DirectFleetError struct{ Daemons int }

func (e *DirectFleetError) Error() string {
	return fmt.Sprintf("direct fleet of %d daemons: must be %d to %d", e.Daemons, relays.AllWatchFleet, MaxDirectFleet)
}

// WithDirectFleet returns a copy of the policy in which fleets of up to the given number of
// daemons exchange messages directly. All daemons of a fleet must use the same number. It fails
// with *DirectFleetError.
func (p Policy) WithDirectFleet(daemons int) (Policy, error) {
	if daemons < relays.AllWatchFleet || daemons > MaxDirectFleet {
		return Policy{}, &DirectFleetError{daemons}
	}
	p.directFleet = daemons
	return p, nil
}

// UnknownMechanismError says that there is no mechanism of that name.
type UnknownMechanismError struct{ Name string }

func (e *UnknownMechanismError) Error() string { return fmt.Sprintf("unknown mechanism %q", e.Name) }

// Without returns a policy that switches off the mechanisms in a comma-separated list, which
// may be empty. It fails with *UnknownMechanismError.
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

// DirectFleet returns the largest number of daemons that exchange messages directly.
func (p Policy) DirectFleet() int { return cmp.Or(p.directFleet, relays.DirectFleet) }

// Uses reports whether a mechanism is in use.
func (p Policy) Uses(m Mechanism) bool { return !p.without[m] }

// String lists the mechanisms that are switched off.
func (p Policy) String() string {
	var names []string
	for _, m := range Mechanisms() {
		if !p.Uses(m) {
			names = append(names, string(m))
		}
	}
	return strings.Join(names, ",")
}
