package relays_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/relays"
)

// Guards against a daemon that gives out a whole quota beside relays that don't count it.
func TestRelayThatNobodyElectsSharesNothing(t *testing.T) {
	is := is.New(t)
	var s relays.Standing
	s.Begin(0)
	is.True(s.Heard(time.Second, false))
	is.True(!s.Heard(2*time.Second, false)) // one doubt is one line of the log
	is.True(!s.Shares(time.Hour, true))
	s.Heard(time.Hour, true)
	is.True(s.Shares(time.Hour, true))
	is.True(s.Shares(time.Hour+relays.ElectedFor, true))
	is.True(!s.Shares(time.Hour+relays.ElectedFor+1, true))
	s.Begin(time.Hour)
	is.True(!s.Shares(time.Hour, true))
}

// Guards against the last relay of a fleet that waits for others for ever.
func TestRelayThatHearsNoOtherSharesAfterAWhile(t *testing.T) {
	is := is.New(t)
	var s relays.Standing
	s.Begin(0)
	is.True(!s.Shares(time.Second, false))
	is.True(s.Shares(2*time.Second, false))
}
