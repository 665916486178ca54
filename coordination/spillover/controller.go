package spillover

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// domainLoad is the smoothed load of one domain.
type domainLoad struct {
	Load
	// countedBusy and countedBacklog are means of Load.Busy and Load.Backlog; busy and backlog are
	// the same without requests that are counted twice. growth is the rate at which the backlog grows.
	countedBusy, countedBacklog float64
	busy, backlog, growth       float64
	// servers is the effective number of servers.
	servers float64
	// flows are the means of the requests in progress here by the domain of their callers.
	flows map[ident.FailureDomain]float64
}

// arriving returns the work that arrives at the domain's runners in a second.
func (d *domainLoad) arriving() float64 { return max(0, d.busy*d.Capacity+d.growth) }

func (d *domainLoad) utilisation() float64 { return d.arriving() / d.Capacity }

// pair is the state of the share for one other domain.
type pair struct {
	share float64
	on    bool
	// startSteps counts the consecutive steps with clearly different waits.
	startSteps int
	// sent is the work that this daemon has sent to the domain, forgotten with loadTime.
	sent float64
	link link
	// The values of the last step, for Status.
	home, away, cost time.Duration
}

// Controller holds the shares of one service for the traffic of one failure domain.
type Controller struct {
	self  ident.FailureDomain
	price Price
	loads map[ident.FailureDomain]*domainLoad
	pairs map[ident.FailureDomain]*pair
	// recorded is the work of this daemon's requests, forgotten with loadTime like pair.sent. bytes
	// is the mean size of a request with its answer.
	recorded, bytes float64
	steppedAt       time.Duration
	// withFlows says that the latest loads came with flows.
	withFlows bool
	// offered is the mean of the work that the callers of all domains bring in a second.
	offered float64
}

// New returns a controller whose shares are zero.
func New(self ident.FailureDomain, price Price) *Controller {
	return &Controller{self: self, price: price, loads: map[ident.FailureDomain]*domainLoad{}, pairs: map[ident.FailureDomain]*pair{}}
}

// Share returns the probability with which a request that would profit from it may go to a domain.
func (c *Controller) Share(to ident.FailureDomain) float64 {
	if p, ok := c.pairs[to]; ok {
		return p.share
	}
	return 0
}

// bytesWeight is the weight of one request in the mean size.
const bytesWeight = 0.05

// Record records a request that this daemon sends to a domain: its work, and the size of the
// request with its expected answer.
func (c *Controller) Record(to ident.FailureDomain, work, bytes float64) {
	if c.bytes == 0 {
		c.bytes = bytes
	}
	c.bytes += bytesWeight * (bytes - c.bytes)
	c.recorded += work
	if p, ok := c.pairs[to]; ok {
		p.sent += work
	}
}

// MeanCost returns the cost of crossing for a request of mean size.
func (c *Controller) MeanCost(roundTrip time.Duration) time.Duration {
	return c.price.Cost(roundTrip, c.bytes)
}

// Status is the state of one pair of domains after a step.
type Status struct {
	To               ident.FailureDomain
	Share            float64
	Home, Away, Cost time.Duration
}

// Statuses returns the state of all pairs, sorted by domain.
func (c *Controller) Statuses() []Status {
	var list []Status
	for to, p := range c.pairs {
		list = append(list, Status{to, p.share, p.home, p.away, p.cost})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.To, b.To) })
	return list
}

// Step updates the shares from the loads of all domains that have runners. It must be called
// every StepInterval, also if no new loads are known. roundTrip returns the round trip to a domain.
// offered is the work that the callers of all domains bring in a second; zero if it is not known.
func (c *Controller) Step(now time.Duration, loads map[ident.FailureDomain]Load, flows Flows, offered float64, roundTrip func(ident.FailureDomain) time.Duration) {
	elapsed := now - c.steppedAt
	if c.steppedAt == 0 || elapsed <= 0 {
		elapsed = StepInterval
	}
	c.steppedAt = now
	c.smooth(elapsed, loads, flows, offered)
	for to := range c.loads {
		if _, ok := c.pairs[to]; !ok && to != c.self {
			c.pairs[to] = &pair{}
		}
	}
	c.withFlows = flows != nil
	traffic := c.traffic()
	for to, p := range c.pairs {
		if c.loads[to] == nil {
			// No runner there is healthy now. The state of the link is kept.
			p.share, p.on, p.startSteps = 0, false, 0
			continue
		}
		p.cost = c.MeanCost(roundTrip(to))
		c.updateState(p, to, traffic)
	}
	for to, target := range c.targets(traffic) {
		p := c.pairs[to]
		if !p.link.usable(now) {
			p.share = 0
			continue
		}
		p.share += min(MaxStep, max(-MaxStep, target-p.share))
	}
}

// The waits of a domain are compared with those of the formula while its utilisation is between
// minCalibration and maxCalibration: below there are hardly any, above they depend on the past.
const minCalibration, maxCalibration = 0.1, 0.95

// smooth updates the means of the loads, and forgets a part of the recorded work.
func (c *Controller) smooth(elapsed time.Duration, loads map[ident.FailureDomain]Load, flows Flows, offered float64) {
	kept := math.Exp(-elapsed.Seconds() / loadTime.Seconds())
	c.recorded *= kept
	for _, p := range c.pairs {
		p.sent *= kept
	}
	maps.DeleteFunc(c.loads, func(d ident.FailureDomain, _ *domainLoad) bool { _, ok := loads[d]; return !ok })
	for domain, l := range loads {
		d, known := c.loads[domain]
		if !known {
			d = &domainLoad{countedBusy: l.Busy, countedBacklog: l.Backlog, servers: max(1, l.Servers), flows: map[ident.FailureDomain]float64{}}
			c.loads[domain] = d
		}
		d.Load = l
		d.countedBusy += (1 - kept) * (l.Busy - d.countedBusy)
		d.countedBacklog += (1 - kept) * (l.Backlog - d.countedBacklog)
		d.growth = (l.Backlog - d.countedBacklog) / loadTime.Seconds()
		for from := range d.flows {
			d.flows[from] *= kept
		}
		for from, to := range flows {
			d.flows[from] += (1 - kept) * to[domain]
		}
	}
	if c.offered == 0 {
		c.offered = offered
	}
	c.offered += (1 - kept) * (offered - c.offered)
	times := c.timesCounted()
	for _, d := range c.loads {
		d.busy, d.backlog, d.growth = d.busyOnce(times), d.countedBacklog/times, d.growth/times
		if d.busy >= minCalibration && d.busy <= maxCalibration && d.ServiceTime > 0 {
			// By Little's law requests take as long as the backlog needs to pass.
			took := d.backlog / (d.busy * d.Capacity)
			n := effectiveServers(d.busy, took/d.ServiceTime.Seconds()-1, d.Servers)
			d.servers += (1 - kept) * (n - d.servers)
		}
		d.Servers = d.servers
	}
}

// busyOnce returns the part of the capacity in use if each request is counted the given number of
// times: a runner then looks idle only if none of its counts shows a request.
func (d *domainLoad) busyOnce(times float64) float64 {
	return 1 - math.Pow(1-min(1, d.countedBusy), 1/times)
}

// maxTimesCounted bounds the result of timesCounted.
const maxTimesCounted = 4

// timesCounted returns how many times requests are counted in the loads. A relay adds the requests
// for which it has recommended a runner to those that its followers report late, so that many are
// counted twice. The work that callers bring is counted once.
func (c *Controller) timesCounted() float64 {
	if c.offered <= 0 {
		return 1
	}
	return largest(1, maxTimesCounted, func(times float64) bool {
		work := 0.0
		for _, d := range c.loads {
			work += d.busyOnce(times)*d.Capacity + d.growth/times
		}
		return work >= c.offered
	})
}

// traffic is the work that the callers of each domain bring in a second, and how much of that its
// own runners do.
type traffic map[ident.FailureDomain]struct{ total, atHome float64 }

// traffic attributes the work at the runners to the domains of the callers. With flows it divides
// each domain's work by the requests in progress there. Without flows it takes this daemon's own
// requests for typical ones of its domain, and all other work for that of the domain's own callers.
func (c *Controller) traffic() traffic {
	t := traffic{}
	if !c.withFlows {
		for domain, d := range c.loads {
			v := t[domain]
			v.total, v.atHome = d.arriving(), d.arriving()
			t[domain] = v
		}
		own := t[c.self]
		away := 0.0
		for _, p := range c.pairs {
			away += c.part(p)
		}
		own.total /= max(MaxStep, 1-away)
		t[c.self] = own
		return t
	}
	for domain, d := range c.loads {
		sum := 0.0
		for _, n := range d.flows {
			sum += n
		}
		for from, n := range d.flows {
			if sum <= 0 {
				break
			}
			v := t[from]
			v.total += d.arriving() * n / sum
			if from == domain {
				v.atHome = d.arriving() * n / sum
			}
			t[from] = v
		}
	}
	return t
}

// part returns the part of this daemon's work that has gone to a pair's domain lately.
func (c *Controller) part(p *pair) float64 {
	if c.recorded <= 0 {
		return 0
	}
	return min(1, p.sent/c.recorded)
}

// ownPartTrust is the weight of what this daemon itself sends in its estimate of what its domain
// sends. Below one, the shares of daemons that differ by chance come together again, and requests
// that two domains exchange become fewer.
const ownPartTrust = 0.9

// othersAtHome returns the work of another domain's own callers at its runners. Without flows it
// includes what third domains send there: this leaves a part of what is free unused, but daemons of
// several domains never use it twice.
func (c *Controller) othersAtHome(p *pair, d *domainLoad, to ident.FailureDomain, t traffic) float64 {
	if c.withFlows {
		return t[to].atHome
	}
	return max(0, d.arriving()-ownPartTrust*c.part(p)*t[c.self].total)
}

// updateState decides whether the waits of the own and another domain differ enough for traffic to
// leave.
func (c *Controller) updateState(p *pair, to ident.FailureDomain, t traffic) {
	home, away := c.loads[c.self], c.loads[to]
	if home == nil || home.Age > MaxAge || away.Age > MaxAge {
		p.on, p.startSteps = false, 0
		return
	}
	p.away = max(away.Wait, expectedWait(c.othersAtHome(p, away, to, t)/away.Capacity, &away.Load))
	p.home = max(home.Wait, expectedWait(t[c.self].total/home.Capacity, &home.Load))
	switch {
	case p.home-p.away < p.cost:
		p.on, p.startSteps = false, 0
	case p.home.Seconds() > startMargin*(p.away+p.cost).Seconds():
		p.startSteps++
		p.on = p.on || p.startSteps >= StartSteps
	default:
		p.startSteps = 0
	}
}

// need returns the work per second that a domain's runners should leave to others so that callers
// there wait no longer than wait, with the part that clears its queue within drainTime.
func (c *Controller) need(d *domainLoad, total float64, wait time.Duration) float64 {
	waiting := max(0, d.backlog-d.Capacity*d.ServiceTime.Seconds())
	return max(0, total+waiting/drainTime.Seconds()-utilisationAt(wait, &d.Load)*d.Capacity)
}

// needOfOthers returns what the domains other than this one and to should leave to others, where
// this one should leave need.
func (c *Controller) needOfOthers(t traffic, to ident.FailureDomain, wait time.Duration, need float64) float64 {
	sum := 0.0
	for other, d := range c.loads {
		if other == c.self || other == to {
			continue
		}
		n := c.need(d, t[other].total, wait)
		if !c.withFlows && max(d.Wait, expectedWait(d.utilisation(), &d.Load)) >= wait {
			// What leaves a domain is not known, but one that sends requests away has long waits itself.
			n = max(n, need*d.Capacity/c.loads[c.self].Capacity)
		}
		sum += n
	}
	return sum
}

// offer is what another domain may take of this domain's traffic.
type offer struct {
	to   ident.FailureDomain
	load *domainLoad
	cost time.Duration
	// portion is this domain's part of the offer, atHome the work of the domain's own callers, free
	// the work that it may take.
	portion, atHome, free float64
}

// room returns the work that may go to the domain so that requests wait there, cost included, no
// longer than wait.
func (o *offer) room(wait time.Duration) float64 {
	return max(0, min(o.free, o.portion*(utilisationAt(wait-o.cost, &o.load.Load)*o.load.Capacity-o.atHome)))
}

// levelBisections is the number of halvings of the wait in targets, from maxWait to a millisecond.
const levelBisections = 16

// targets returns the shares towards which those of the pairs move. Traffic leaves until requests
// wait at home as long as elsewhere with the cost.
func (c *Controller) targets(t traffic) map[ident.FailureDomain]float64 {
	own, targets := t[c.self].total, map[ident.FailureDomain]float64{}
	var offers []offer
	loss := plannedLoss
	if !c.withFlows {
		loss = sumsLoss
	}
	for to, p := range c.pairs {
		targets[to] = 0
		if !p.on || own <= 0 {
			continue
		}
		d := c.loads[to]
		need := max(minShare*own, c.need(c.loads[c.self], own, p.away+p.cost))
		o := offer{to: to, load: d, cost: p.cost, atHome: c.othersAtHome(p, d, to, t)}
		o.portion = need / (need + c.needOfOthers(t, to, p.away+p.cost, need))
		o.free = o.portion * free(o.atHome/d.Capacity, d.Servers, loss) * d.Capacity
		offers = append(offers, o)
	}
	if len(offers) == 0 {
		return targets
	}
	low, high := time.Duration(0), maxWait
	for range levelBisections {
		level := (low + high) / 2
		if room(offers, level) < c.need(c.loads[c.self], own, level) {
			low = level
		} else {
			high = level
		}
	}
	for i := range offers {
		to := offers[i].to
		targets[to] = min(1, offers[i].room(high)/own)
		if !c.withFlows {
			targets[to] = max(0, min(targets[to], c.evenPart(c.pairs[to], offers[i].load, own)))
		}
	}
	return targets
}

// evenPart returns the part of the traffic with which a domain's runners would be used as much as
// those at home. Two domains that know no flows could otherwise take each other's requests for their
// own callers', and exchange more and more of them.
func (c *Controller) evenPart(p *pair, away *domainLoad, own float64) float64 {
	home := c.loads[c.self]
	work := (home.utilisation() - away.utilisation()) / (1/home.Capacity + 1/away.Capacity)
	return ownPartTrust*c.part(p) + work/own
}

func room(offers []offer, wait time.Duration) float64 {
	sum := 0.0
	for i := range offers {
		sum += offers[i].room(wait)
	}
	return sum
}
