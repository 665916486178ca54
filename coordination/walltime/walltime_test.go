package walltime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/walltime"
)

// A daemon starts while its VM's clock is two seconds ahead. On its own it would count
// requests into the wrong accounting window; with two peers it does not.
func TestMedianCorrectsWrongStart(t *testing.T) {
	is := is.New(t)
	trueTime := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	e := walltime.New(trueTime.Add(2*time.Second), 5*time.Second)
	is.Equal(e.At(6*time.Second), trueTime.Add(3*time.Second))
	e.Receive("a", trueTime.Add(time.Second), 6*time.Second)
	e.Receive("b", trueTime.Add(time.Second+time.Millisecond), 6*time.Second)
	is.Equal(e.At(7*time.Second), trueTime.Add(2*time.Second+time.Millisecond))
	e.PeerEnded("a")
	e.PeerEnded("b")
	is.Equal(e.At(7*time.Second), trueTime.Add(4*time.Second))
}
