package orders

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

type daemons struct {
	view.Directory
	self ident.DaemonID
	list []view.Daemon
}

func (d daemons) Self() view.Daemon      { return view.Daemon{ID: d.self, State: view.Live} }
func (d daemons) Daemons() []view.Daemon { return d.list }

func manyDaemons(n int) daemons {
	var d daemons
	for i := range n {
		id := ident.DaemonID(fmt.Sprintf("daemon-%04d", i))
		d.list = append(d.list, view.Daemon{ID: id, State: view.Live})
	}
	d.self = d.list[0].ID
	return d
}

// Too few candidates and a dead holder has no successor; too many and the
// key-value service's calls grow with the daemons.
func TestEachResponsibilityHasThreeCandidates(t *testing.T) {
	is := is.New(t)
	d := manyDaemons(30)
	most := 0
	standing := map[string]int{}
	for _, daemon := range d.list {
		d.self = daemon.ID
		e := newElectorate(d)
		own := 0
		for shard := range 157 {
			if name := fmt.Sprintf("rollout/chat/157/%d", shard); e.chooses(name) {
				standing[name]++
				own++
			}
		}
		most = max(most, own)
	}
	is.Equal(len(standing), 157)
	for _, n := range standing {
		is.Equal(n, candidatesPerResponsibility)
	}
	is.True(most < 40) // spread evenly: the mean is 16
}

func BenchmarkCandidacies(b *testing.B) {
	d := New(Config{Directory: manyDaemons(1800)})
	m := &manifest.Manifest{Services: []manifest.Service{{Name: "chat", Kind: manifest.KindModel, Runners: 10_000}}}
	for b.Loop() {
		d.candidacies(m)
	}
}
