package accounting_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Guards against a report that uses counts received long ago although the daemon has
// counted more since.
func TestCoverageLacksWhoWasNotToldOfSince(t *testing.T) {
	is := is.New(t)
	var c accounting.Coverage
	daemons := []ident.Incarnation{"b", "a", "c"}
	is.Equal(c.Missing(daemons, 0), []ident.Incarnation{"a", "b", "c"})
	c.Receive(time.Second, "a")
	c.Receive(2*time.Second, "b")
	is.Equal(c.Missing(daemons, 2*time.Second), []ident.Incarnation{"a", "c"})
	c.PeerEnded(3*time.Second, "b")
	is.Equal(c.Missing(daemons, 2*time.Second), []ident.Incarnation{"a", "b", "c"})
}

// Guards against a report that is made before the counts that other daemons know of a
// daemon that has just ended have arrived.
func TestCoverageWaitsForWhatIsPassedOnOfTheEnded(t *testing.T) {
	is := is.New(t)
	const within = 2 * time.Second
	var c accounting.Coverage
	c.Receive(time.Second, "a")
	c.Receive(4*time.Second, "b")
	c.PeerEnded(5*time.Second, "a")
	c.PeerEnded(5*time.Second, "b")
	is.Equal(c.InTransit(6*time.Second, within, 3*time.Second), []ident.Incarnation{"a"})
	is.Equal(len(c.InTransit(7*time.Second, within, 3*time.Second)), 0)
	c.ReceiveRelayed(6*time.Second, "b")
	is.Equal(c.Missing([]ident.Incarnation{"b"}, 3*time.Second), []ident.Incarnation{"b"}) // the relay of b did not know yet that b had ended
	c.Receive(6*time.Second, "b")
	is.Equal(len(c.Missing([]ident.Incarnation{"b"}, 3*time.Second)), 0) // b had not ended, it had only been silent
	c.PeerEnded(5*time.Minute, "c")
	is.Equal(c.InTransit(5*time.Minute, time.Hour, 3*time.Second), []ident.Incarnation{"c"}) // the ends of a and b have been dropped
}
