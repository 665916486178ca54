package runnerlimit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
)

// Guards against lifting a limit because an answer without one was overtaken by one that states it.
func TestOvertakenAnswerLiftsNoLimit(t *testing.T) {
	is := is.New(t)
	k := runnerlimit.New()
	is.True(!k.Observe(1*time.Second, 0, "r", runnerlimit.Limits{}))
	is.True(k.Observe(2*time.Second, time.Second, "r", runnerlimit.Limits{Rate: 0.5}))
	is.True(!k.Observe(3*time.Second, time.Second, "r", runnerlimit.Limits{})) // sent before the limit was stated
	is.Equal(k.Limits("r").Rate, 0.5)
	is.True(k.Observe(4*time.Second, 3*time.Second, "r", runnerlimit.Limits{}))
	is.Equal(k.Limits("r"), runnerlimit.Limits{})
}

// Guards against requests that a brittle runner has no room for, once a rejection has shown it.
func TestRejectionLowersRoom(t *testing.T) {
	is := is.New(t)
	k := runnerlimit.New()
	k.Observe(0, 0, "r", runnerlimit.Limits{Brittle: true, MaxRejections: 3})
	d := runnerlimit.Demand{Hold: time.Minute, Slots: 3}
	var leases []uint64
	for range 3 {
		p := k.Take(time.Second, "r", d)
		is.True(p.Granted)
		leases = append(leases, p.Lease)
	}
	is.True(k.Take(time.Second, "r", d).Busy)
	k.Return(time.Second, "r", leases[0], true)
	is.True(k.Take(time.Second, "r", d).Busy)
	k.Return(time.Second, "r", leases[1], false)
	is.True(k.Take(time.Second, "r", d).Granted)
	is.True(!k.Take(time.Second, "r", d).Granted)
	k.Observe(10*time.Second, 9*time.Second, "r", runnerlimit.Limits{})
	is.True(k.Take(10*time.Second, "r", d).Granted)
}

// Guards against places that stay taken because the message that returns them was lost.
func TestLeaseOfPlaceExpires(t *testing.T) {
	is := is.New(t)
	k := runnerlimit.New()
	k.Observe(0, 0, "r", runnerlimit.Limits{Brittle: true})
	d := runnerlimit.Demand{Hold: time.Second, Slots: 1}
	is.True(k.Take(0, "r", d).Granted)
	is.True(!k.Take(999*time.Millisecond, "r", d).Granted)
	is.True(k.Take(time.Second, "r", d).Granted)
}
