// Package owners selects the daemons that issue action tokens. An owner is a daemon that issues
// tokens for actions, executes these actions and keeps a journal of them (see package journal).
// Each daemon makes the selection from its view of the directory. If views differ, a few more daemons
// keep journals for a while; no guarantee is lost, because any daemon can be an owner.
package owners

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// DefaultMax is the default limit for Select. Each owner makes at most 30 writes per
// second, together 240 of the several hundred that the key-value service handles.
const DefaultMax = 8

// candidate is a live daemon with its sort keys. idHash and domainHash are the hashes of its ID and of
// the name of its failure domain.
type candidate struct {
	daemon *view.Daemon
	idHash uint64
	// rankInDomain is the daemon's position among the candidates of its failure domain in
	// descending order of idHash, from zero.
	rankInDomain int
	domainHash   uint64
}

// Select returns the daemons that issue tokens: limit of the live ones, or all if there are
// fewer. It takes daemons from the failure domains in turn, so that each domain has an equal share
// or all of its daemons. Adding or removing one daemon changes at most one other selection.
func Select(daemons []view.Daemon, limit int) []view.Daemon {
	list := liveCandidates(daemons)
	rankWithinDomains(list)
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rankInDomain, b.rankInDomain),
			cmp.Compare(b.domainHash, a.domainHash),
			cmp.Compare(a.daemon.FailureDomain, b.daemon.FailureDomain),
		)
	})
	chosen := make([]view.Daemon, 0, min(max(limit, 0), len(list)))
	for _, c := range list[:cap(chosen)] {
		chosen = append(chosen, *c.daemon)
	}
	return chosen
}

func liveCandidates(daemons []view.Daemon) []candidate {
	var list []candidate
	for i := range daemons {
		d := &daemons[i]
		if d.State != view.Live {
			continue
		}
		list = append(list, candidate{
			daemon:     d,
			idHash:     xxhash.Sum64String(string(d.ID)),
			domainHash: xxhash.Sum64String(string(d.FailureDomain)),
		})
	}
	return list
}

func rankWithinDomains(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		if a.idHash != b.idHash {
			return cmp.Compare(b.idHash, a.idHash)
		}
		return cmp.Or(
			cmp.Compare(a.daemon.ID, b.daemon.ID),
			cmp.Compare(a.daemon.Incarnation, b.daemon.Incarnation),
		)
	})
	ranks := map[ident.FailureDomain]int{}
	for i := range list {
		domain := list[i].daemon.FailureDomain
		list[i].rankInDomain = ranks[domain]
		ranks[domain]++
	}
}

// Contains reports whether a daemon with the incarnation is in the list.
func Contains(daemons []view.Daemon, incarnation ident.Incarnation) bool {
	return slices.ContainsFunc(daemons, func(d view.Daemon) bool {
		return d.Incarnation == incarnation
	})
}

// Nearest sorts owners by preference for one daemon: those of its failure domain first, then by a
// hash of both IDs, which distributes the daemons of a domain evenly over its owners.
func Nearest(self view.Daemon, owners []view.Daemon) []view.Daemon {
	ordered := slices.Clone(owners)
	slices.SortFunc(ordered, func(a, b view.Daemon) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(pairHash(self, b), pairHash(self, a)),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return ordered
}

func distance(a, b view.Daemon) int {
	if a.FailureDomain == b.FailureDomain {
		return 0
	}
	return 1
}

func pairHash(self, owner view.Daemon) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(self.ID))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(owner.ID))
	return d.Sum64()
}
