// Package spillover decides when requests leave the failure domain of the daemon that received
// them, and how many. It handles load that is uneven between failure domains: one has more
// callers than its runners can serve, while others have free runners, and traffic between
// domains is slow and costs money.
//
// The package promises:
//
//   - A request leaves only if the expected wait at home exceeds that elsewhere by more than the
//     cost of crossing (Price.Cost), and with at most the probability of the pair's share.
//   - The shares of all domains for one domain, applied to their traffic, add up to no more than
//     that domain has free: its capacity, less what its own callers use, less Reserve. Where this
//     would make its own callers wait more than MaxLoss longer, they add up to less.
//   - A share changes by at most MaxStep in one step. It rises only after the waits have differed
//     clearly for StartSteps steps, and falls again once the difference is under the cost.
//   - While the loads are older than MaxAge, shares fall to zero in steps. When a link fails, its
//     share is zero at once, and rises again in steps.
//
// The waits that decide whether a share rises or falls are those that the domains would have if
// all callers were served at home. The measured waits become equal as soon as traffic leaves, so
// a share that followed them would swing.
//
// Each daemon decides on its own, from the loads that all daemons know. Requests draw at random,
// so daemons that know the same loads do not all send to the same domain at once.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package spillover

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// StepInterval is the time between two steps of the shares.
	StepInterval = 200 * time.Millisecond
	// MaxStep is the largest change of a share in one step.
	MaxStep = 0.1
	// StartSteps is the number of consecutive steps for which the waits must differ before a share
	// rises from zero, and startMargin the factor by which the wait at home must then exceed the
	// wait elsewhere plus the cost.
	StartSteps  = 3
	startMargin = 1.2
	// Reserve is the part of a domain's capacity that other domains never use.
	Reserve = 0.1
	// MaxLoss is the part by which the waits of a domain's own callers may grow because of others.
	MaxLoss = 0.1
	// plannedLoss is what the shares aim at, so that MaxLoss holds in spite of errors in the loads.
	// Daemons that know only sums aim at sumsLoss: they take others' requests for those of the domain's
	// own callers, and leave a part unused for that.
	plannedLoss = 0.6 * MaxLoss
	sumsLoss    = 0.75 * MaxLoss
	// MaxAge is the age up to which loads are used. Daemons are taken for silent after the same time
	// (peers.RelayedAliveFor).
	MaxAge = 1600 * time.Millisecond
	// loadTime is the time constant of the means of loads. It covers several messages of daemons and
	// several requests of each runner.
	loadTime = 2 * time.Second
	// drainTime is the time within which a queue at home should be gone.
	drainTime = time.Second
	// minShare is the least share that a pair in need asks for. Waits at home can be long although
	// the capacity there would do, for example if few runners hold the prompts' cached parts.
	minShare = 0.02
	// maxWait stands for the wait in a domain whose callers bring more than its runners can serve.
	maxWait = time.Minute
)

// Price is what traffic between failure domains is worth: the waiting time that one megabyte (a
// million bytes) equals. Zero switches the package off.
type Price time.Duration

// Cost returns the cost of crossing for traffic of the given size, as waiting time.
func (p Price) Cost(roundTrip time.Duration, bytes float64) time.Duration {
	return roundTrip + time.Duration(float64(p)*bytes/1e6)
}

// Verdict is the decision about one request.
type Verdict int

// The decisions about a request.
const (
	// Stay means that leaving does not pay off for the request.
	Stay Verdict = iota
	// Kept means that leaving would pay off, but the share for the domain is used up.
	Kept
	// Leave means that the request goes to the other domain.
	Leave
)

// Decide decides about one request. home and away are the expected waits at the best runners of
// its own and of another domain without the cost of crossing; draw is a random number in [0, 1).
func Decide(home, away, cost time.Duration, share, draw float64) Verdict {
	switch {
	case home <= away+cost:
		return Stay
	case draw >= share:
		return Kept
	}
	return Leave
}

// Load is the load of the runners in one failure domain. Work is measured in any unit that is the
// same for all domains of a service, for example prompt tokens.
type Load struct {
	// Capacity is the work that all runners together do in a second, Busy the part of it that is
	// in use, from 0 to 1, and Backlog the work that has arrived and isn't done.
	Capacity, Busy, Backlog float64
	// Servers is the number of requests that the domain serves at a time without slowing them down.
	Servers float64
	// Wait is the expected wait at the best runner, ServiceTime the time that a request takes there
	// after it.
	Wait, ServiceTime time.Duration
	// Age is the age of the oldest part of the load. It is zero if no other daemon sends requests to
	// the domain.
	Age time.Duration
}

// Flows holds the requests in progress by the domain of their callers and the domain of their
// runners. It is nil for a daemon that knows only sums.
type Flows map[ident.FailureDomain]map[ident.FailureDomain]float64

// queueFactor returns the mean time that a request waits for one of several servers, as a
// multiple of its service time, by Sakasegawa's approximation for random arrivals.
func queueFactor(utilisation, servers float64) float64 {
	if utilisation >= 1 {
		return math.Inf(1)
	}
	return math.Pow(max(0, utilisation), math.Sqrt(2*(servers+1))-1) / (servers * (1 - utilisation))
}

// effectiveServers returns the number of servers, up to the given one, with which requests wait as
// long as they do: factor times their service time. Daemons know the loads late, so that one request
// waits while another runner is idle, as if the runners were fewer.
func effectiveServers(utilisation, factor, servers float64) float64 {
	return largest(1, max(1, servers), func(n float64) bool { return queueFactor(utilisation, n) >= factor })
}

// expectedWait returns the wait in a domain at a utilisation, at most maxWait.
func expectedWait(utilisation float64, l *Load) time.Duration {
	wait := queueFactor(utilisation, l.Servers) * l.ServiceTime.Seconds()
	if math.IsNaN(wait) || wait > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(wait * float64(time.Second))
}

// bisections is the number of halvings of an interval of utilisations, after which the error is
// below a ten-thousandth.
const bisections = 14

// largest returns the largest number between low and high for which fits holds, which must hold
// for all smaller ones, too; low if there is none.
func largest(low, high float64, fits func(float64) bool) float64 {
	if fits(high) {
		return high
	}
	for range bisections {
		if middle := (low + high) / 2; fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// utilisationAt returns the utilisation of a domain's runners, at most 1-Reserve, up to which
// callers wait no longer than the given time.
func utilisationAt(wait time.Duration, l *Load) float64 {
	return largest(0, 1-Reserve, func(u float64) bool { return expectedWait(u, l) <= wait })
}

// Free returns the part of a domain's capacity that others may use while its own callers use the
// part own: at most what is left beside Reserve, and so much that the wait and service of its own
// callers grow by at most MaxLoss.
func Free(own, servers float64) float64 { return free(own, servers, plannedLoss) }

// free is Free for a part by which the waits may grow.
func free(own, servers, loss float64) float64 {
	limit := 1 - Reserve - own
	if limit <= 0 {
		return 0
	}
	bound := (1 + loss) * (1 + queueFactor(own, servers))
	return largest(0, limit, func(others float64) bool { return 1+queueFactor(own+others, servers) <= bound })
}
