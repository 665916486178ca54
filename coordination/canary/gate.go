package canary

import (
	"slices"
	"time"
)

const (
	// allowanceTTL is how long an allowance lets requests through after it was asked for. A
	// verdict is in force everywhere after this time, whoever hears of it.
	allowanceTTL = time.Second
	// preferNewFor is how long after it was completed an order's old runners, which are being
	// stopped, are still used last. Their entries lapse meanwhile.
	preferNewFor = 10 * time.Second
	// favouredFactor and others times its share are tried of the route of which the least is known,
	// and of the others meanwhile.
	favouredFactor = 3.0
	otherFactor    = 0.75
)

// Placement says which runners a request may go to.
type Placement int

// Sides.
const (
	// AnyVersion is every runner.
	AnyVersion Placement = iota
	// OldOnly keeps to the version that serves, and never goes to the new one.
	OldOnly
	// NewPreferred goes to the new version, to others only where it has no runner.
	NewPreferred
	// Trial is a request that an allowance lets through to the new version.
	Trial
)

// Gate is what one daemon lets through to the new version of an order.
type Gate struct {
	order  Order
	record Record
	// completedAt is when the order was seen to be completed.
	completedAt time.Duration
	// sent is all that went to the new version while Running, total all requests.
	sent, total int
	ask         uint64
	asked       time.Duration
	allowance   Allowance
	expiresAt   time.Duration
	tally       Tally
}

// Allowance lets a daemon send to the new version.
type Allowance struct {
	Order uint64
	// Ask is the number of the report that it answers.
	Ask uint64
	// Ceiling is on all that the daemon ever sent there for the order.
	Ceiling int
	// Share is the part of the daemon's requests to send there, Runners how many of the new
	// runners to use: so many take the load that each has when the new version has it all.
	Share   float64
	Runners int
	// FavouredRoute is the route of which the least is known; empty is none.
	FavouredRoute string
	// Halt stops everything to the new version: a verdict against it is being written.
	Halt bool
}

// Report is what a daemon tells the holder.
type Report struct {
	Order uint64
	// Ask numbers the reports of one daemon.
	Ask uint64
	// Total is the requests to the service, Sent those that went to the new version while
	// Running, Ceiling the most that the former allowance lets through, zero if it has ended.
	Total, Sent, Ceiling int
	// Knows is the state that the daemon goes by, OldInFlight what it has in progress at old
	// runners.
	Knows       State
	OldInFlight int
	Tally       Tally
}

// NewGate returns the gate of an order that nobody has decided on yet.
func NewGate(o Order) *Gate { return &Gate{order: o, tally: Tally{}} }

// Order is the order that the gate is of.
func (g *Gate) Order() Order { return g.order }

// Record is what is known of the order. It may be of a former one of the same service.
func (g *Gate) Record() Record { return g.record }

// State is how far the order is known to be.
func (g *Gate) State() State {
	if g.record.Order != g.order.Revision {
		return Running
	}
	return g.record.State
}

// SetRecord takes in what is written of the service's orders.
func (g *Gate) SetRecord(now time.Duration, r Record) {
	before := g.State()
	g.record = r
	if g.State() == Completed && before != Completed {
		g.completedAt = now
	}
}

// TakenUp tells whether a holder has taken the order up.
func (g *Gate) TakenUp() bool { return g.record.Order == g.order.Revision }

// Avoids tells whether runners of a version get no new requests: while the order is open or
// after it was taken back, those of its target and of earlier targets that were not completed.
func (g *Gate) Avoids(v Version) bool {
	if g.record.Order != g.order.Revision {
		return v == g.order.Target || slices.Contains(g.record.versionsToAvoid(g.order.Target), v)
	}
	return v == g.order.Target || slices.Contains(g.record.Avoid, v)
}

// PlaceRequest decides where a new request of a route goes. luck is drawn evenly from 0 to 1.
func (g *Gate) PlaceRequest(now time.Duration, route string, random float64) Placement {
	side := g.PlaceRetry(now)
	if side != OldOnly || g.State() != Running {
		return side
	}
	if now >= g.expiresAt || g.sent >= g.allowance.Ceiling || random >= g.trialShare(route) {
		return OldOnly
	}
	g.sent++
	return Trial
}

// trialShare is the part of a route's requests to try.
func (g *Gate) trialShare(route string) float64 {
	switch g.allowance.FavouredRoute {
	case "":
		return g.allowance.Share
	case route:
		return g.allowance.Share * favouredFactor
	}
	return g.allowance.Share * otherFactor
}

// PlaceRetry decides where a request goes once more after an attempt has failed.
func (g *Gate) PlaceRetry(now time.Duration) Placement {
	switch g.State() {
	case Promoting:
		if g.allowance.Halt {
			return OldOnly
		}
		return NewPreferred
	case Completed:
		if now-g.completedAt < preferNewFor {
			return NewPreferred
		}
		return AnyVersion
	}
	return OldOnly
}

// Dispatched counts a request that is being sent for the first time.
func (g *Gate) Dispatched() { g.total++ }

// TrialRunners is how many of the new runners trials use.
func (g *Gate) TrialRunners() int { return g.allowance.Runners }

// Tally is where answers are counted.
func (g *Gate) Tally() Tally { return g.tally }

// Report asks for an allowance. What former reports asked for is void from now on unless it
// has come. oldInFlight is what the daemon has in progress at old runners.
func (g *Gate) Report(now time.Duration, oldInFlight int) Report {
	g.ask++
	g.asked = now
	r := Report{
		Order: g.order.Revision, Ask: g.ask, Total: g.total, Sent: g.sent,
		Knows: g.State(), OldInFlight: oldInFlight, Tally: g.tally.clone(),
	}
	if now < g.expiresAt {
		r.Ceiling = g.allowance.Ceiling
	}
	return r
}

// Allow takes in an allowance.
func (g *Gate) Allow(a Allowance) {
	if a.Order != g.order.Revision || a.Ask != g.ask {
		return
	}
	a.Halt = a.Halt || g.allowance.Halt
	g.allowance, g.expiresAt = a, g.asked+allowanceTTL
}
