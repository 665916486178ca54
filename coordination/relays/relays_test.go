package relays_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/state/ident"
)

// fleet returns n daemons, assigned to the failure domains in turn and sorted from the
// longest running to the newest.
func fleet(n, domains int) []peers.Member {
	members := make([]peers.Member, n)
	for i := range members {
		id := fmt.Sprintf("d%03d", i)
		members[i] = peers.Member{
			ID: ident.DaemonID(id), Incarnation: ident.Incarnation(id + "~1"), Started: int64(1000 + i),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i%domains)), Phase: peers.Ready,
		}
	}
	return members
}

func planFor(members []peers.Member, i int) relays.Plan {
	others := slices.Delete(slices.Clone(members), i, i+1)
	return relays.Elect(relays.View{Self: members[i], Alive: others, FleetSize: len(members)})
}

func TestAllDaemonsOfSmallFleetAreRelays(t *testing.T) {
	is := is.New(t)
	members := fleet(relays.AllWatchFleet, 4)
	for i := range members {
		p := planFor(members, i)
		is.True(p.Relay)
		is.True(p.Direct)
		is.Equal(len(p.OtherRelays), relays.AllWatchFleet-1)
	}
}

// Guards against a number of links per daemon that grows in proportion to the fleet, so
// that messages grow with its square.
func TestLinksGrowSlowerThanFleet(t *testing.T) {
	is := is.New(t)
	for n, maxLinks := range map[int]int{30: 40, 119: 50, 300: 60, 1828: 160} {
		members := fleet(n, 6)
		linksByRelay := map[ident.Incarnation]int{}
		relayCount := 0
		for i := range members {
			p := planFor(members, i)
			if p.Relay {
				relayCount++
				linksByRelay[members[i].Incarnation] += len(p.OtherRelays)
				continue
			}
			is.Equal(len(p.Followed), relays.RelaysPerFollower)
			for _, r := range p.Followed {
				is.Equal(r.FailureDomain, members[i].FailureDomain)
				linksByRelay[r.Incarnation]++
			}
		}
		is.Equal(len(linksByRelay), relayCount)
		for _, links := range linksByRelay {
			is.True(links <= maxLinks)
		}
	}
}

// Guards against relays that change whenever a daemon joins.
func TestNewDaemonReplacesNoRelay(t *testing.T) {
	is := is.New(t)
	members := fleet(60, 6)
	before := planFor(members, 59)
	members = append(members, fleet(66, 6)[60:]...)
	after := planFor(members, 59)
	is.Equal(after.Followed, before.Followed)
	is.Equal(after.OtherRelays, before.OtherRelays)
}

// Guards against followers that stay with a relay that is shutting down.
func TestDrainingDaemonIsNoRelay(t *testing.T) {
	is := is.New(t)
	members := fleet(60, 6)
	firstRelay := planFor(members, 59).Followed[0]
	i := slices.IndexFunc(members, func(m peers.Member) bool { return m.Incarnation == firstRelay.Incarnation })
	members[i].Phase = peers.Draining
	for _, r := range planFor(members, 59).Followed {
		is.True(r.Incarnation != firstRelay.Incarnation)
	}
	is.True(!planFor(members, i).Relay)
}

// Guards against a daemon that waits for a relay in a failure domain without one.
func TestOnlyDaemonOfDomainIsRelay(t *testing.T) {
	is := is.New(t)
	members := fleet(40, 4)
	members[39].FailureDomain = "apart"
	p := planFor(members, 39)
	is.True(p.Relay)
	is.Equal(len(p.Followed), 0)
}

// Guards against a daemon that stays an additional relay in its failure domain. The total
// number of relays is divided by the number of failure domains, so a daemon that used only
// the few domains that it knows itself would compute too many relays for each of them. The
// number of domains known to the relays must count.
func TestKnowingFewDomainsElectsNoExtraRelays(t *testing.T) {
	is := is.New(t)
	members := fleet(119, 6)
	known := slices.DeleteFunc(slices.Clone(members[:118]), func(m peers.Member) bool {
		return m.FailureDomain != members[118].FailureDomain && m.FailureDomain != members[0].FailureDomain
	})
	p := relays.Elect(relays.View{Self: members[118], Alive: known[:6], FleetSize: len(members), DomainCount: 6})
	is.Equal(p.RelaysPerDomain, relays.RelaysPerDomain(119, 6))
	is.True(!p.Relay)
}

// Guards against shares of quotas that get smaller than a prompt, and relays that hear each other
// too seldom to share them, as the fleet grows.
func TestGrantersDontGrowWithFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{60, 300, 1000, 1828} {
		members := fleet(n, 6)
		granters := 0
		for i := range members {
			p := planFor(members, i)
			if !p.Granter {
				continue
			}
			granters++
			is.True(p.Relay)
		}
		is.Equal(granters, 12)
	}
}
