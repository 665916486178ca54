package edge_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon/edge"
)

func TestWithoutDisablesNamedMechanisms(t *testing.T) {
	is := is.New(t)
	all, err := edge.Without("")
	is.NoErr(err)
	is.Equal(all.String(), "")
	p, err := edge.Without("retries,copy-parts")
	is.NoErr(err)
	is.Equal(p.String(), "copy-parts,retries")
	for _, m := range edge.Mechanisms() {
		is.True(edge.Policy{}.Uses(m))
		is.True(all.Uses(m))
		is.Equal(p.Uses(m), m != edge.Retries && m != edge.CopyParts)
	}
	_, err = edge.Without("retries,guess")
	var unknown *edge.UnknownMechanismError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Name, "guess")
}

func TestDirectFleetIsChecked(t *testing.T) {
	is := is.New(t)
	for _, daemons := range []int{relays.AllWatchFleet, relays.DirectFleet, edge.MaxDirectFleet} {
		_, err := edge.Policy{}.WithDirectFleet(daemons)
		is.NoErr(err)
	}
	for _, daemons := range []int{-1, 0, relays.AllWatchFleet - 1, edge.MaxDirectFleet + 1} {
		_, err := edge.Policy{}.WithDirectFleet(daemons)
		var wrong *edge.DirectFleetError
		is.True(errors.As(err, &wrong))
		is.Equal(wrong.Daemons, daemons)
	}
}
