package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// ranked is one runner of a list with its rendezvous hash.
type ranked struct {
	// index is the runner's position in the list.
	index int
	hash  uint64
}

// Subset returns at most size runners for one gateway. It is deterministic for the same
// list and spreads the runners over the failure domains. Within a failure domain it takes
// the runners with the highest rendezvous hash of gateway and runner, so that adding or
// removing one runner changes at most one entry.
func Subset(self ident.DaemonID, runners []view.Runner, size int) []view.Runner {
	if len(runners) <= size {
		return slices.Clone(runners)
	}
	domains := rankByDomain(self, runners, size)
	names := make([]ident.FailureDomain, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	chosen := make([]view.Runner, 0, size)
	for place := 0; len(chosen) < size; place++ {
		for _, name := range names {
			if best := domains[name].best; place < len(best) && len(chosen) < size {
				chosen = append(chosen, runners[best[place].index])
			}
		}
	}
	return chosen
}

// ranking holds the highest-scored runners of a failure domain, highest first.
type ranking struct{ best []ranked }

// rankByDomain keeps the size highest-scored runners of each failure domain. Most runners
// of a long list are rejected by comparing their hash with the lowest one kept, so a
// changed list costs little more than hashing its entries.
func rankByDomain(self ident.DaemonID, runners []view.Runner, size int) map[ident.FailureDomain]*ranking {
	domains := map[ident.FailureDomain]*ranking{}
	var current *ranking
	for i := range runners {
		name := runners[i].FailureDomain
		if i == 0 || name != runners[i-1].FailureDomain {
			current = domains[name]
		}
		if current == nil {
			current = &ranking{best: make([]ranked, 0, size)}
			domains[name] = current
		}
		current.insert(runners, ranked{i, rendezvousHash(self, runners[i].ID)}, size)
	}
	return domains
}

func (r *ranking) insert(runners []view.Runner, candidate ranked, size int) {
	compare := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(runners[a.index].ID, runners[b.index].ID))
	}
	if len(r.best) == size {
		if compare(candidate, r.best[size-1]) >= 0 {
			return
		}
		r.best = r.best[:size-1]
	}
	index, _ := slices.BinarySearchFunc(r.best, candidate, compare)
	r.best = slices.Insert(r.best, index, candidate)
}

func rendezvousHash(self ident.DaemonID, id ident.RunnerID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(self))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
