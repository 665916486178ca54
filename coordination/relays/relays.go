// Package relays decides which daemons of a large fleet pass on what the others tell.
//
// The daemons of a small fleet are all relays: each tells every other. In a larger
// one that would grow with the square of the fleet. There each failure domain has a
// few relays. Every other daemon follows two of them: it tells both its state, and the
// first of them, its primary, counts its work. The relays tell each other the sums over
// their followers, and their followers the sums over all.
//
// Each daemon elects by what it knows. Two that know different daemons may elect
// different relays for a moment; whoever is told as a relay answers as one, and the
// promises rest on what relays hear of each other, not on who elected them.
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
	// AllWatchFleet is the number of daemons up to which each watches the key-value service
	// itself, DirectFleet that up to which each tells every other where nothing else is set.
	AllWatchFleet = 10
	DirectFleet   = 36
	// RelaysPerFollower is how many relays a daemon follows: when one ends, the other has
	// heard of it.
	RelaysPerFollower = 2
)

// View is what a daemon knows of its fleet.
type View struct {
	Self peers.Member
	// Alive are the other daemons that are taken to be alive. All of the own failure
	// domain must be among them; a relay must know those of all.
	Alive []peers.Member
	// Fleet is the number of daemons, Domains that of failure domains, as far as relays
	// know more than this one; zero is not told.
	Fleet   int
	Domains int
	// DirectFleet is the number of daemons up to which each tells every other; zero is the
	// constant of that name.
	DirectFleet int
}

// Plan is whom a daemon tells.
type Plan struct {
	// Relay says that the daemon is a relay itself.
	Relay bool
	// OtherRelays are the other relays of all failure domains, by incarnation. A daemon
	// that is no relay knows some of them.
	OtherRelays []peers.Member
	// Followed are the relays that the daemon follows, the primary first; none for a relay.
	Followed []peers.Member
	// WatchesStore says that the daemon watches the key-value service for others; Watchers are
	// the other daemons that do. A relay that does not is told by Source, the first relay
	// of its failure domain.
	WatchesStore  bool
	OtherWatchers []peers.Member
	WatchSource   peers.Member
	// RelaysPerDomain is the number of relays that a failure domain should have, Domains that of
	// failure domains that the daemon knows itself. Only what it knows itself is told on: if
	// RelaysPerDomain were, daemons that are wrong of it would confirm each other.
	RelaysPerDomain int
	Domains         int
	// Direct says that the fleet is small enough for all to be relays, AllWatch that it is
	// small enough for all to watch.
	Direct, AllWatch bool
}

// Elect elects the relays.
func Elect(v View) Plan {
	members := append(slices.Clone(v.Alive), v.Self)
	domains := groupByDomain(members)
	fleet := max(v.Fleet, len(members))
	direct := cmp.Or(v.DirectFleet, DirectFleet)
	p := Plan{
		RelaysPerDomain: relaysPerDomain(fleet, max(v.Domains, len(domains)), direct), Domains: len(domains),
		Direct: fleet <= direct, AllWatch: fleet <= AllWatchFleet,
	}
	var candidates []peers.Member
	for domain, inDomain := range domains {
		first := longestRunning(slices.Clone(inDomain), 1)
		if !p.Direct {
			inDomain = longestRunning(inDomain, p.RelaysPerDomain)
		}
		for _, r := range inDomain {
			if p.AllWatch || len(first) > 0 && r.Incarnation == first[0].Incarnation {
				p.addWatcher(v.Self, r)
			}
			if r.Incarnation == v.Self.Incarnation {
				p.Relay = true
				continue
			}
			p.OtherRelays = append(p.OtherRelays, r)
			if domain == v.Self.FailureDomain {
				candidates = append(candidates, r)
			}
		}
	}
	slices.SortFunc(p.OtherRelays, func(a, b peers.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	switch {
	case len(candidates) == 0:
		// There is nobody to follow.
		p.Relay, p.WatchesStore = true, true
	case !p.Relay:
		p.Followed = chooseRelays(v.Self.ID, candidates)
	}
	return p
}

// addWatcher notes that a daemon watches the key-value service.
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

// relaysPerDomain is how many relays each failure domain has. With one for each square root of the
// fleet a relay hears about as many followers as other relays.
func relaysPerDomain(daemons, domains, direct int) int {
	if daemons <= direct {
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

// longestRunning takes the daemons that run for longest, so that one that joins displaces
// nobody. Those that are shutting down are no relays.
func longestRunning(domain []peers.Member, n int) []peers.Member {
	domain = slices.DeleteFunc(domain, func(m peers.Member) bool { return m.Phase == peers.Draining })
	slices.SortFunc(domain, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return domain[:min(n, len(domain))]
}

// chooseRelays spreads the followers over the relays: each takes those with the highest hash
// of both, so that a relay's end moves only its own followers.
func chooseRelays(self ident.DaemonID, relays []peers.Member) []peers.Member {
	slices.SortFunc(relays, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(rank(self, b), rank(self, a)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return relays[:min(RelaysPerFollower, len(relays))]
}

func rank(self ident.DaemonID, relay peers.Member) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(relay.Incarnation))
}
