// Package relays decides which daemons of a large fleet relay the messages of the others.
//
// In a small fleet all daemons are relays: each sends to every other. In a larger fleet the
// number of such messages would grow with the square of the number of daemons, so each
// failure domain has a few relays. Every other daemon follows two of them. It sends its
// state to both, and the first one, its primary, counts its work. Relays send each other
// the sums over their followers, and send the sums over all daemons to their followers.
//
// Each daemon elects the relays on its own, from the daemons that it knows. Two daemons
// that know different daemons may elect different relays for a moment. A daemon that is
// addressed as a relay acts as one, and the guarantees for callers depend only on what
// relays hear of each other, not on who elected them.
//
// The package does no I/O and reads no clock.
package relays

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// AllWatchFleet is the largest number of daemons with which every daemon watches the
	// key-value service itself. DirectFleet is the default for the largest number of
	// daemons with which every daemon sends to every other.
	AllWatchFleet = 10
	DirectFleet   = 36
	// RelaysPerFollower is how many relays a daemon follows. If one ends, the other already
	// has the daemon's state.
	RelaysPerFollower = 2
	// granterCount is the number of relays, in all failure domains together, that share the
	// quotas. It doesn't grow with the fleet: they tell each other their use several times
	// a second, and the share of one of them must hold several prompts.
	granterCount = 12
)

// View is what a daemon knows of its fleet.
type View struct {
	Self peers.Member
	// Alive holds the other daemons that are considered alive. It must include all daemons
	// in this daemon's own failure domain and, on a relay, those of all domains.
	Alive []peers.Member
	// FleetSize is the number of daemons and DomainCount the number of failure domains
	// known to relays. They may exceed what this daemon knows itself; zero means unknown.
	FleetSize   int
	DomainCount int
	// DirectFleet is the largest fleet in which every daemon sends to every other; zero
	// selects the constant DirectFleet.
	DirectFleet int
}

// Plan says to whom a daemon sends messages, and which daemons watch the key-value
// service.
type Plan struct {
	// Relay is set if this daemon is a relay itself.
	Relay bool
	// OtherRelays holds the other relays of all failure domains, sorted by incarnation. On
	// a daemon that is not a relay it may be incomplete.
	OtherRelays []peers.Member
	// Followed holds the relays that this daemon follows, with the primary first. It is
	// empty for a relay.
	Followed []peers.Member
	// Granter is set if this daemon is one of the relays that share the quotas among
	// themselves. OtherGranters holds the others, sorted by incarnation; on a daemon that is
	// not a relay it may lack those of other failure domains.
	Granter       bool
	OtherGranters []peers.Member
	// WatchesStore is set if this daemon watches the key-value service for others.
	// OtherWatchers holds the other daemons that do, sorted by incarnation. A relay that
	// doesn't watch gets the changes from WatchSource, the first relay of its failure domain.
	WatchesStore  bool
	OtherWatchers []peers.Member
	WatchSource   peers.Member
	// RelaysPerDomain is the number of relays that each failure domain should have.
	// DomainCount is the number of failure domains that this daemon knows itself. Only
	// DomainCount is sent to other daemons: if RelaysPerDomain were sent and used, daemons
	// with a wrong value would confirm each other's value.
	RelaysPerDomain int
	DomainCount     int
	// Direct is set if the fleet is small enough for all daemons to be relays, AllWatch if
	// it is small enough for all to watch the key-value service.
	Direct, AllWatch bool
}

// Elect chooses the relays and watchers from what a daemon knows of its fleet.
func Elect(v View) Plan {
	members := append(slices.Clone(v.Alive), v.Self)
	domains := groupByDomain(members)
	fleetSize := max(v.FleetSize, len(members))
	direct := cmp.Or(v.DirectFleet, DirectFleet)
	p := Plan{
		RelaysPerDomain: relaysPerDomain(fleetSize, max(v.DomainCount, len(domains)), direct), DomainCount: len(domains),
		Direct: fleetSize <= direct, AllWatch: fleetSize <= AllWatchFleet,
	}
	granters := grantersPerDomain(max(v.DomainCount, len(domains)))
	var relaysInOwnDomain []peers.Member
	for domain, membersInDomain := range domains {
		oldest := longestRunning(slices.Clone(membersInDomain), 1)
		if !p.Direct {
			membersInDomain = longestRunning(membersInDomain, p.RelaysPerDomain)
		}
		for place, r := range membersInDomain {
			if p.Direct || place < granters {
				p.addGranter(v.Self, r)
			}
			if p.AllWatch || len(oldest) > 0 && r.Incarnation == oldest[0].Incarnation {
				p.addWatcher(v.Self, r)
			}
			if r.Incarnation == v.Self.Incarnation {
				p.Relay = true
				continue
			}
			p.OtherRelays = append(p.OtherRelays, r)
			if domain == v.Self.FailureDomain {
				relaysInOwnDomain = append(relaysInOwnDomain, r)
			}
		}
	}
	sortByIncarnation(p.OtherRelays)
	sortByIncarnation(p.OtherGranters)
	sortByIncarnation(p.OtherWatchers)
	switch {
	case len(relaysInOwnDomain) == 0:
		// This daemon knows no other relay in its failure domain to follow, so it must be
		// one.
		p.Relay, p.WatchesStore, p.Granter = true, true, true
	case !p.Relay:
		p.Followed = chooseRelays(v.Self.ID, relaysInOwnDomain)
	}
	return p
}

// addWatcher records that the daemon r watches the key-value service.
func (p *Plan) addWatcher(self, r peers.Member) {
	if r.Incarnation == self.Incarnation {
		p.WatchesStore = true
		return
	}
	p.OtherWatchers = append(p.OtherWatchers, r)
	if r.FailureDomain == self.FailureDomain {
		p.WatchSource = r
	}
}

// addGranter records that the relay r shares the quotas.
func (p *Plan) addGranter(self, r peers.Member) {
	if r.Incarnation == self.Incarnation {
		p.Granter = true
		return
	}
	p.OtherGranters = append(p.OtherGranters, r)
}

func sortByIncarnation(members []peers.Member) {
	slices.SortFunc(members, func(a, b peers.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
}

// grantersPerDomain returns the number of relays of each failure domain that share the
// quotas: at least two, so that one can end.
func grantersPerDomain(domains int) int {
	return max(RelaysPerFollower, (granterCount+domains-1)/max(1, domains))
}

// relaysPerDomain returns the number of relays in each failure domain. The total is about
// the square root of the number of daemons, so that a relay hears about as many followers
// as other relays.
func relaysPerDomain(daemons, domains, directFleet int) int {
	if daemons <= directFleet {
		return daemons
	}
	return max(RelaysPerFollower, int(math.Ceil(math.Sqrt(float64(daemons))/float64(max(1, domains)))))
}

func groupByDomain(members []peers.Member) map[ident.FailureDomain][]peers.Member {
	domains := map[ident.FailureDomain][]peers.Member{}
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	return domains
}

// longestRunning returns the n daemons of a failure domain that have been running for
// longest, so that a daemon that joins replaces no relay. Daemons that are shutting down
// are left out.
func longestRunning(domain []peers.Member, n int) []peers.Member {
	domain = slices.DeleteFunc(domain, func(m peers.Member) bool { return m.Phase == peers.Draining })
	slices.SortFunc(domain, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return domain[:min(n, len(domain))]
}

// chooseRelays returns the relays that the daemon follower follows. It distributes the
// followers by rendezvous hashing: each follower takes the relays with the highest hash of
// both IDs, so that the end of a relay moves only its own followers.
func chooseRelays(follower ident.DaemonID, relays []peers.Member) []peers.Member {
	slices.SortFunc(relays, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(follower, b), rendezvousHash(follower, a)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return relays[:min(RelaysPerFollower, len(relays))]
}

func rendezvousHash(follower ident.DaemonID, relay peers.Member) uint64 {
	return xxhash.Sum64String(string(follower) + "\x00" + string(relay.Incarnation))
}
