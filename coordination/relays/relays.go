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
	// SmallFleet is the number of daemons up to which each watches the key-value service
	// itself, DirectFleet that up to which each tells every other where nothing else is set.
	SmallFleet  = 10
	DirectFleet = 36
	// Followed is how many relays a daemon follows: when one ends, the other has
	// heard of it.
	Followed = 2
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
	// Others are the other relays of all failure domains, by incarnation. A daemon
	// that is no relay knows some of them.
	Others []peers.Member
	// Own are the relays that the daemon follows, the primary first; none for a relay.
	Own []peers.Member
	// Watches says that the daemon watches the key-value service for others; Watchers are
	// the other daemons that do. A relay that does not is told by Source, the first relay
	// of its failure domain.
	Watches  bool
	Watchers []peers.Member
	Source   peers.Member
	// PerDomain is the number of relays that a failure domain should have, Domains that of
	// failure domains that the daemon knows itself. Only what it knows itself is told on: if
	// PerDomain were, daemons that are wrong of it would confirm each other.
	PerDomain int
	Domains   int
	// Direct says that the fleet is small enough for all to be relays, AllWatch that it is
	// small enough for all to watch.
	Direct, AllWatch bool
}

// Make elects the relays.
func Make(v View) Plan {
	members := append(slices.Clone(v.Alive), v.Self)
	domains := byDomain(members)
	fleet := max(v.Fleet, len(members))
	direct := cmp.Or(v.DirectFleet, DirectFleet)
	p := Plan{
		PerDomain: perDomain(fleet, max(v.Domains, len(domains)), direct), Domains: len(domains),
		Direct: fleet <= direct, AllWatch: fleet <= SmallFleet,
	}
	var own []peers.Member
	for domain, of := range domains {
		first := elect(slices.Clone(of), 1)
		if !p.Direct {
			of = elect(of, p.PerDomain)
		}
		for _, r := range of {
			if p.AllWatch || len(first) > 0 && r.Incarnation == first[0].Incarnation {
				p.watch(v.Self, r)
			}
			if r.Incarnation == v.Self.Incarnation {
				p.Relay = true
				continue
			}
			p.Others = append(p.Others, r)
			if domain == v.Self.FailureDomain {
				own = append(own, r)
			}
		}
	}
	slices.SortFunc(p.Others, func(a, b peers.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	switch {
	case len(own) == 0:
		// There is nobody to follow.
		p.Relay, p.Watches = true, true
	case !p.Relay:
		p.Own = follow(v.Self.ID, own)
	}
	return p
}

// watch notes that a daemon watches the key-value service.
func (p *Plan) watch(self, r peers.Member) {
	if r.Incarnation == self.Incarnation {
		p.Watches = true
		return
	}
	p.Watchers = append(p.Watchers, r)
	if r.FailureDomain == self.FailureDomain {
		p.Source = r
	}
}

// perDomain is how many relays each failure domain has. With one for each square root of the
// fleet a relay hears about as many followers as other relays.
func perDomain(daemons, domains, direct int) int {
	if daemons <= direct {
		return daemons
	}
	return max(Followed, int(math.Ceil(math.Sqrt(float64(daemons))/float64(max(1, domains)))))
}

func byDomain(members []peers.Member) map[ident.FailureDomain][]peers.Member {
	domains := map[ident.FailureDomain][]peers.Member{}
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	return domains
}

// elect takes the daemons that run for longest, so that one that joins displaces
// nobody. Those that are shutting down are no relays.
func elect(domain []peers.Member, n int) []peers.Member {
	domain = slices.DeleteFunc(domain, func(m peers.Member) bool { return m.Phase == peers.Draining })
	slices.SortFunc(domain, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return domain[:min(n, len(domain))]
}

// follow spreads the followers over the relays: each takes those with the highest hash
// of both, so that a relay's end moves only its own followers.
func follow(self ident.DaemonID, relays []peers.Member) []peers.Member {
	slices.SortFunc(relays, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(rank(self, b), rank(self, a)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return relays[:min(Followed, len(relays))]
}

func rank(self ident.DaemonID, relay peers.Member) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(relay.Incarnation))
}
