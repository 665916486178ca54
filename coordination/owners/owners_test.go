package owners_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/owners"
	"geraniumstack.org/geraniumstack/coordination/view"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
)

func daemon(number, domain int, state view.State) view.Daemon {
	id := ident.DaemonID(fmt.Sprintf("entry-%d", number))
	return view.Daemon{
		ID:            id,
		Incarnation:   ident.NewIncarnation(id, []byte{1}),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", domain)),
		State:         state,
	}
}

var states = []view.State{view.Live, view.Live, view.Live, view.Leaving, view.Suspect, view.Gone}

func drawFleet(t *rapid.T) (daemons []view.Daemon, limit int) {
	domains := rapid.IntRange(1, 12).Draw(t, "domains")
	for i := range rapid.IntRange(1, 60).Draw(t, "daemons") {
		domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
		daemons = append(daemons, daemon(i, domain, rapid.SampledFrom(states).Draw(t, "state")))
	}
	return daemons, rapid.IntRange(1, 12).Draw(t, "limit")
}

func countByDomain(daemons []view.Daemon) map[ident.FailureDomain]int {
	counts := map[ident.FailureDomain]int{}
	for _, d := range daemons {
		counts[d.FailureDomain]++
	}
	return counts
}

func filterLive(daemons []view.Daemon) []view.Daemon {
	return slices.DeleteFunc(slices.Clone(daemons), func(d view.Daemon) bool { return d.State != view.Live })
}

// Checks that the selection has the right size, contains only live daemons, does not depend on the
// order of the directory, and is balanced: no domain has two more than another one that has
// unselected daemons.
func TestSelect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		daemons, limit := drawFleet(t)
		chosen := owners.Select(daemons, limit)
		live := filterLive(daemons)
		is.Equal(len(chosen), min(limit, len(live)))
		is.Equal(len(filterLive(chosen)), len(chosen))

		shuffled := slices.Clone(daemons)
		random := rand.New(rand.NewPCG(1, uint64(len(daemons))))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		is.Equal(owners.Select(shuffled, limit), chosen)

		counts, available := countByDomain(chosen), countByDomain(live)
		for a := range counts {
			for b := range available {
				if counts[b] < available[b] {
					is.True(counts[a] <= counts[b]+1)
				}
			}
		}
	})
}

// Checks that removing a daemon changes only that daemon's selection, which one other takes over.
func TestSelectIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		daemons, limit := drawFleet(t)
		before := owners.Select(daemons, limit)
		i := rapid.IntRange(0, len(daemons)-1).Draw(t, "leaver")
		leaving := daemons[i].Incarnation
		daemons[i].State = view.Leaving
		after := owners.Select(daemons, limit)
		added := 0
		for _, d := range after {
			if !owners.Contains(before, d.Incarnation) {
				added++
			}
		}
		for _, d := range before {
			is.True(d.Incarnation == leaving || owners.Contains(after, d.Incarnation))
		}
		if owners.Contains(before, leaving) {
			is.True(added <= 1)
		} else {
			is.Equal(added, 0)
		}
	})
}

// Checks that the daemons of a failure domain are distributed evenly over its owners.
func TestNearest(t *testing.T) {
	is := is.New(t)
	daemons := fleet(1800)
	issuing := owners.Select(daemons, owners.DefaultMax)
	load := map[ident.DaemonID]int{}
	for _, d := range daemons {
		nearest := owners.Nearest(d, issuing)
		is.Equal(nearest[0].FailureDomain, d.FailureDomain)
		is.Equal(len(nearest), owners.DefaultMax)
		load[nearest[0].ID]++
	}
	for id, n := range load {
		t.Logf("%s serves %d daemons", id, n)
		is.True(n <= 360) // the two owners of a domain have a fair share of 300 daemons each
	}
}

func fleet(size int) []view.Daemon {
	var daemons []view.Daemon
	for i := range size {
		daemons = append(daemons, daemon(i, i%3, view.Live))
	}
	return daemons
}

func BenchmarkIssuing(b *testing.B) {
	daemons := fleet(1800)
	for b.Loop() {
		owners.Select(daemons, owners.DefaultMax)
	}
}
