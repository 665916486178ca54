package canary

import (
	"slices"
	"time"
)

const (
	// allowanceTTL is how long an allowance is valid, counted from the daemon's report that asked
	// for the allowance. Once this time has passed after the holder's verdict against the new
	// version, no daemon sends trial requests any more, even a daemon that has not received the
	// verdict.
	allowanceTTL = time.Second
	// preferNewFor is how long after the gate has learned that the order is completed old runners
	// get requests only if there are no new runners. The old runners are being stopped, but the
	// directory lists them until their entries expire.
	preferNewFor = 10 * time.Second
	// favouredFactor and otherFactor scale Allowance.Share: the former for requests of
	// Allowance.FavouredRoute, the latter for requests of all other routes.
	favouredFactor = 3.0
	otherFactor    = 0.75
)

// Placement is the set of runners that a request may go to, by their version.
type Placement int

// Values of Placement.
const (
	// AnyVersion allows all runners.
	AnyVersion Placement = iota
	// OldOnly allows only runners of the old version.
	OldOnly
	// NewPreferred allows runners of the old version only if the new one has none.
	NewPreferred
	// Trial allows only the first Gate.TrialRunners runners of the new version. It is the
	// placement of the requests that an allowance admits to the new version while Running.
	Trial
)

// Gate decides in one daemon which requests go to the new version of an order.
type Gate struct {
	order  Order
	record Record
	// completedAt is the time at which the gate learned that the order is completed.
	completedAt time.Duration
	// trialRequests counts the requests sent to the new version while Running, totalRequests all
	// requests to the service, both since the daemon created the gate.
	trialRequests, totalRequests int
	// reportNumber and reportedAt are the number and time of the latest report.
	reportNumber       uint64
	reportedAt         time.Duration
	allowance          Allowance
	allowanceExpiresAt time.Duration
	tally              Tally
}

// Allowance permits a daemon to send requests to the new version.
type Allowance struct {
	Order uint64
	// Ask is the number of the Report that the allowance answers.
	Ask uint64
	// Ceiling is the most requests that the daemon may send to the new version while the order is
	// in state Running, counted since the daemon created the order's gate. Requests that earlier
	// allowances permitted count, too.
	Ceiling int
	// Share is the fraction of the daemon's requests to send to the new version. Runners is
	// how many of the new runners to use. The two are chosen together so that each of these
	// runners gets the load that it will have when the new version serves all requests.
	Share   float64
	Runners int
	// FavouredRoute is the route with the fewest answers of the new version; empty if none.
	FavouredRoute string
	// Halt stops all requests to the new version, because the holder has found the new version bad
	// and is about to write the rollback to the record.
	Halt bool
}

// Report tells the holder what one daemon has sent and counted.
type Report struct {
	Order uint64
	// Ask numbers the reports of one daemon.
	Ask uint64
	// Total counts the daemon's requests to the service since the daemon created the order's gate.
	// Sent counts those of them that went to the new version while the order was in state Running.
	// Ceiling is Allowance.Ceiling of the daemon's latest allowance, zero if that has expired or
	// there is none. Allowance.Ceiling limits Sent.
	Total, Sent, Ceiling int
	// KnownState is the latest state of the order that the daemon knows of. OldInFlight is
	// the number of its requests in progress at old runners.
	KnownState  State
	OldInFlight int
	Tally       Tally
}

// NewGate returns the gate of an order for which no record is known yet.
func NewGate(o Order) *Gate { return &Gate{order: o, tally: Tally{}} }

// Order returns the order that the gate belongs to.
func (g *Gate) Order() Order { return g.order }

// Record returns the latest known record, which may belong to an earlier order of the
// same service.
func (g *Gate) Record() Record { return g.record }

// State returns the latest known state of the order.
func (g *Gate) State() State {
	if g.record.Order != g.order.Revision {
		return Running
	}
	return g.record.State
}

// SetRecord sets the service's record as read from the key-value service.
func (g *Gate) SetRecord(now time.Duration, r Record) {
	previous := g.State()
	g.record = r
	if g.State() == Completed && previous != Completed {
		g.completedAt = now
	}
}

// HasRecord reports whether the latest known record belongs to the gate's order.
func (g *Gate) HasRecord() bool { return g.record.Order == g.order.Revision }

// Avoids reports whether v is the order's target or the target of an earlier order that was not
// completed. A request with placement OldOnly must not go to runners of such a version. Avoids
// ignores the state of the order: once the order is completed, no request has the placement OldOnly.
func (g *Gate) Avoids(v Version) bool {
	if g.record.Order != g.order.Revision {
		return v == g.order.Target || slices.Contains(g.record.versionsToAvoid(g.order.Target), v)
	}
	return v == g.order.Target || slices.Contains(g.record.Avoid, v)
}

// PlaceRequest decides where a new request of a route goes. random is uniform in [0, 1).
func (g *Gate) PlaceRequest(now time.Duration, route string, random float64) Placement {
	placement := g.PlaceRetry(now)
	if placement != OldOnly || g.State() != Running {
		return placement
	}
	if now >= g.allowanceExpiresAt || g.trialRequests >= g.allowance.Ceiling || random >= g.trialShare(route) {
		return OldOnly
	}
	g.trialRequests++
	return Trial
}

// trialShare returns the fraction of a route's requests that this daemon sends to the new version
// while Running.
func (g *Gate) trialShare(route string) float64 {
	switch g.allowance.FavouredRoute {
	case "":
		return g.allowance.Share
	case route:
		return g.allowance.Share * favouredFactor
	}
	return g.allowance.Share * otherFactor
}

// PlaceRetry decides where a request goes after a failed attempt. Unlike PlaceRequest it never
// returns Trial, so a retry does not use up the allowance.
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

// Dispatched counts a request to the service at its first attempt, whichever version gets it.
func (g *Gate) Dispatched() { g.totalRequests++ }

// TrialRunners returns how many of the new runners may get trial requests.
func (g *Gate) TrialRunners() int { return g.allowance.Runners }

// Tally returns the counters for the answers of both versions.
func (g *Gate) Tally() Tally { return g.tally }

// Report returns a report that asks the holder for an allowance. Allowances that answer
// earlier reports are ignored from now on unless they have already arrived. oldInFlight is
// the number of the daemon's requests in progress at old runners.
func (g *Gate) Report(now time.Duration, oldInFlight int) Report {
	g.reportNumber++
	g.reportedAt = now
	r := Report{
		Order: g.order.Revision, Ask: g.reportNumber, Total: g.totalRequests, Sent: g.trialRequests,
		KnownState: g.State(), OldInFlight: oldInFlight, Tally: g.tally.clone(),
	}
	if now < g.allowanceExpiresAt {
		r.Ceiling = g.allowance.Ceiling
	}
	return r
}

// SetAllowance applies an allowance if it answers the latest report. Once an allowance has had Halt
// set, all later ones count as if they had it set.
func (g *Gate) SetAllowance(a Allowance) {
	if a.Order != g.order.Revision || a.Ask != g.reportNumber {
		return
	}
	a.Halt = a.Halt || g.allowance.Halt
	g.allowance, g.allowanceExpiresAt = a, g.reportedAt+allowanceTTL
}
