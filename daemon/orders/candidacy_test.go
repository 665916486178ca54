package orders

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

type fakeDirectory struct {
	view.Directory
	self ident.DaemonID
	list []view.Daemon
}

func (d fakeDirectory) Self() view.Daemon      { return view.Daemon{ID: d.self, State: view.Live} }
func (d fakeDirectory) Daemons() []view.Daemon { return d.list }

func directoryWith(n int) fakeDirectory {
	var d fakeDirectory
	for i := range n {
		id := ident.DaemonID(fmt.Sprintf("daemon-%04d", i))
		d.list = append(d.list, view.Daemon{ID: id, State: view.Live})
	}
	d.self = d.list[0].ID
	return d
}

// With too few candidates a crashed holder would have no successor; with too many
// the calls to the key-value service would grow with the number of daemons.
func TestEachResponsibilityHasThreeCandidates(t *testing.T) {
	is := is.New(t)
	d := directoryWith(30)
	maxPerDaemon := 0
	candidates := map[string]int{}
	for _, daemon := range d.list {
		d.self = daemon.ID
		e := newCandidateSelector(d)
		candidacies := 0
		for shard := range 157 {
			if name := fmt.Sprintf("rollout/chat/157/%d", shard); e.selectsSelf(name) {
				candidates[name]++
				candidacies++
			}
		}
		maxPerDaemon = max(maxPerDaemon, candidacies)
	}
	is.Equal(len(candidates), 157)
	for _, n := range candidates {
		is.Equal(n, candidatesPerResponsibility)
	}
	is.True(maxPerDaemon < 40) // evenly distributed: the mean is 16
}

func BenchmarkCandidateDuties(b *testing.B) {
	d := New(Config{Directory: directoryWith(1800)})
	m := &manifest.Manifest{Services: []manifest.Service{{Name: "chat", Kind: manifest.KindModel, Runners: 10_000}}}
	for b.Loop() {
		d.candidateDuties(m)
	}
}
