package relays_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/relays"
)

// Guards against use above a quota. A daemon may wrongly consider itself a relay while the
// actual relays divide the entire quota among themselves and don't count that daemon. It
// must grant nothing until another relay confirms it.
func TestRelayThatNobodyElectsSharesNothing(t *testing.T) {
	is := is.New(t)
	var s relays.Confirmation
	s.Start(0)
	is.True(s.Receive(time.Second, false))
	is.True(!s.Receive(2*time.Second, false)) // only the first contradiction is reported, so it is logged once
	is.True(!s.MayShare(time.Hour, true))
	s.Receive(time.Hour, true)
	is.True(s.MayShare(time.Hour, true))
	is.True(s.MayShare(time.Hour+relays.ConfirmedFor, true))
	is.True(!s.MayShare(time.Hour+relays.ConfirmedFor+1, true))
	s.Start(time.Hour)
	is.True(!s.MayShare(time.Hour, true))
}

// Guards against the last relay of a fleet waiting for other relays forever.
func TestIsolatedRelaySharesAfterDelay(t *testing.T) {
	is := is.New(t)
	var s relays.Confirmation
	s.Start(0)
	is.True(!s.MayShare(time.Second, false))
	is.True(s.MayShare(2*time.Second, false))
}
