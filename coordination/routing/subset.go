package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

type ranked struct {
	runner view.Runner
	score  uint64
}

// Subset returns the runners that one gateway deals with: at most size of them,
// the same for the same list, spread over the failure domains. Within a failure
// domain the runners with the highest rendezvous hash of gateway and runner go
// first, so that one runner's coming or going changes one place only.
func Subset(self ident.DaemonID, runners []view.Runner, size int) []view.Runner {
	if len(runners) <= size {
		return slices.Clone(runners)
	}
	domains := rankByDomain(self, runners)
	names := make([]ident.FailureDomain, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	chosen := make([]view.Runner, 0, size)
	for place := 0; len(chosen) < size; place++ {
		for _, name := range names {
			if place < len(domains[name]) && len(chosen) < size {
				chosen = append(chosen, domains[name][place].runner)
			}
		}
	}
	return chosen
}

func rankByDomain(self ident.DaemonID, runners []view.Runner) map[ident.FailureDomain][]ranked {
	domains := map[ident.FailureDomain][]ranked{}
	for _, r := range runners {
		d := r.FailureDomain
		domains[d] = append(domains[d], ranked{r, rendezvous(self, r.ID)})
	}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.runner.ID, b.runner.ID))
		})
	}
	return domains
}

func rendezvous(self ident.DaemonID, id ident.RunnerID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(self))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
