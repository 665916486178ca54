package edge

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/route"
)

const (
	// orderSlackTime is how much longer than its boot time an order may take to show.
	orderSlackTime = 3 * time.Second
	// Refused pools are asked again soon: runners that can be had for a fraction
	// of the price are worth a call every few seconds.
	minRefusalBackoff = 2 * time.Second
	maxRefusalBackoff = 4 * time.Second
	// surplusHold is how long a runner must be superfluous. The demand falls
	// slowly by itself; this only passes over what is in flux.
	surplusHold = 300 * time.Millisecond
	// minMoveSaving is the share of the cost that moving to cheaper runners must save.
	// All of them move at once: those that serve go only when the others serve, and
	// a fleet that moved by parts would pay the full price for several boot times.
	minMoveSaving = 0.1
	// scarcityPeriod is how long after a reclaim or a refused order runners are kept
	// that would be given back otherwise. Refusals last for ten to fifteen seconds
	// and reclaims come some seconds apart.
	scarcityPeriod = 8 * time.Second
	// scarcityHeadroom times the needed runners are kept at the full price meanwhile. The
	// need has headroom of its own (fleet.DemandConfig); this is for what the demand
	// may rise by while one more starts.
	scarcityHeadroom = 1.25
	// registrationPeriod is how long after the first runners have shown up at the first start
	// others may: they register once in a heartbeat.
	registrationPeriod = 2500 * time.Millisecond
	// workSettlePeriod is how long the work of most of a large fleet must have been known before
	// runners are given back: as long as the measure takes to settle.
	workSettlePeriod = 5 * time.Second
	// maxSpareRate is the part of the full price up to which runners are kept to spare.
	maxSpareRate = 0.5
	// scarcityRetryInterval is the time between two tries to get reclaimable ones meanwhile. What
	// stands in for them costs several times as much, and a call costs next to
	// nothing beside it.
	scarcityRetryInterval = 400 * time.Millisecond
	// demandLogInterval is the time between two lines on the demand.
	demandLogInterval = 2 * time.Second
)

// fleetScaler orders the runners of one service.
type fleetScaler struct {
	edge     *Edge
	service  route.Service
	planner  *fleet.Planner
	orders   *fleet.Orders
	loggedAt time.Duration
	// scarceUntil is how long reclaimable runners are taken to be hard to get,
	// askAgain when to try meanwhile.
	scarceUntil time.Duration
	nextRetryAt time.Duration
	// retries counts those tries.
	retries int
	// firstRunnerAt is when the first runners were.
	firstRunnerAt time.Duration
	// awaitingTrial is how many runners of a new software version wait for the decision on it.
	awaitingTrial int
}

func newFleetScaler(e *Edge, s *route.Service) *fleetScaler {
	limits := fleet.DefaultLimits()
	limits.FirstBackoff, limits.MaxBackoff = minRefusalBackoff, maxRefusalBackoff
	limits.SurplusHold = surplusHold
	limits.MoveGain = minMoveSaving
	limits.MaxMoves = math.MaxInt
	limits.ReclaimCost = 0
	return &fleetScaler{
		edge:    e,
		service: *s,
		planner: fleet.New(limits),
		orders:  fleet.NewOrders(s.Scaling.BootTime + orderSlackTime),
	}
}

// round looks at the fleet and orders what it lacks or has too much of.
func (f *fleetScaler) round(ctx context.Context) {
	now := f.edge.deps.Steady()
	pool := f.edge.pool(f.service.Name)
	if pool == nil {
		return
	}
	present := f.countPresent(pool)
	f.orders.Sync(now, present)
	work, demand := pool.currentDemand()
	if f.firstRunnerAt == 0 && work.Runners > 0 {
		f.firstRunnerAt = now
	}
	f.awaitingTrial = f.edge.awaitingDecision(pool)
	d, wanted := f.decide(now, demand)
	if now-f.loggedAt >= demandLogInterval {
		f.loggedAt = now
		f.edge.log.Note("demand", decisions.F("service", f.service.Name), decisions.F("needed", wanted.Runners),
			decisions.F("runners", work.Runners), decisions.F("full_price", countOnDemand(present)), decisions.F("scarce", now < f.scarceUntil),
			decisions.F("prompt_tokens", int(work.PromptTokens)), decisions.F("prefill_rate", int(work.PrefillRate)),
			decisions.F("busy", round(demand.Busy)), decisions.F("deviation", round(demand.Deviation)),
			decisions.F("requests", work.Requests), decisions.F("settled", demand.Settled))
	}
	f.applyDecision(ctx, now, d, wanted)
}

// decide plans for plenty or for scarcity. Reclaimable runners cost a fraction, so
// while they are to be had there are more of them than needed, and enough to lose
// a failure domain's. A reclaim often comes with others, and none are to be had
// again for seconds: then what is needed and lacking is ordered at the full price,
// and only what goes far beyond that is given back.
//
// A daemon that has just started with all others knows nothing of the demand, or in a
// large fleet that of its own callers only. It lets nobody go before it does, or at the
// first start of all until it has seen which runners there are.
func (f *fleetScaler) decide(now time.Duration, demand fleet.Estimate) (fleet.Decision, fleet.Wanted) {
	d, w := f.plan(now, demand)
	if !f.edge.workKnownFor(now, workSettlePeriod) {
		d.Stops = nil
	}
	if f.awaitingTrial > 0 {
		// Which version's runners would go is not known.
		d.Stops = nil
	}
	if !demand.Settled && (!f.edge.settings.FirstStart || now < f.firstRunnerAt+registrationPeriod) {
		d.Stops = nil
	}
	return d, w
}

func (f *fleetScaler) plan(now time.Duration, demand fleet.Estimate) (fleet.Decision, fleet.Wanted) {
	// Runners that wait for the decision on a trial serve next to nothing.
	demand.Runners += f.awaitingTrial
	demand.Comfortable += f.awaitingTrial
	needed := fleet.Wanted{
		Runners:      demand.Runners,
		MinPerDomain: f.service.Scaling.Min,
		MaxPerDomain: f.service.Scaling.Max,
	}
	plenty := needed
	plenty.Runners = f.spareTarget(demand)
	plenty.SurviveLoss, plenty.ReclaimsOnly = f.uses(SpareRunners), true
	offers, vms := f.offers(false), f.orders.VMs()
	if now >= f.scarceUntil || !f.uses(Scarcity) {
		d := f.planner.Decide(now, plenty, offers, vms)
		if len(d.Stops) == 0 {
			// What is to come at a fraction of the price needs no more than is
			// needed to stand in for it.
			d.Stops = fleet.Spare(vms, offers, needed.Runners, needed.MinPerDomain)
		}
		return d, plenty
	}
	d := f.planner.Decide(now, needed, offers, vms)
	d.Stops = fleet.Spare(vms, offers, int(math.Ceil(scarcityHeadroom*float64(needed.Runners))), needed.MinPerDomain)
	if len(d.Starts) == 0 {
		left := plenty
		left.Runners = needed.Runners
		d.Starts = f.planner.Decide(now, left, offers, vms).Starts
	}
	if now >= f.nextRetryAt && f.uses(AskOften) {
		f.nextRetryAt = now + scarcityRetryInterval
		d.Starts = append(d.Starts, f.retryReclaimable(plenty.Runners)...)
	}
	return d, needed
}

// retryReclaimable tries one failure domain after the other for its part of the reclaimable
// runners that there should be.
func (f *fleetScaler) retryReclaimable(runners int) []fleet.Start {
	offers := f.offers(true)
	if len(offers) == 0 {
		return nil
	}
	slices.SortFunc(offers, func(a, b fleet.Offer) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	pool := offers[f.retries%len(offers)].Pool
	f.retries++
	part := (runners + len(offers) - 1) / len(offers)
	return slices.Repeat([]fleet.Start{{Pool: pool}}, max(0, part-f.orders.Wanted(pool)))
}

// spareTarget is how many runners should be left after the reclaim of a failure domain
// while reclaimable ones are to be had: enough for a second reclaim in another one,
// since they follow each other sooner than a runner that is ordered at the first one
// serves. More than reclaimable ones can give are not worth the full price, and where
// those cost nearly as much as others, or there are none, nothing is spare.
func (f *fleetScaler) spareTarget(demand fleet.Estimate) int {
	rate := f.service.Scaling.ReclaimableRate
	if rate <= 0 || rate > maxSpareRate || !f.uses(SpareRunners) {
		return demand.Runners
	}
	domains := len(f.service.Scaling.Prices)
	spareTarget := demand.Comfortable
	if domains > 2 && f.uses(TwoReclaims) {
		spareTarget = max(spareTarget, (demand.Runners*(domains-1)+domains-3)/(domains-2))
	}
	if most := f.service.Scaling.Max * (domains - 1); f.service.Scaling.Max > 0 {
		spareTarget = min(spareTarget, max(most, demand.Runners))
	}
	return max(spareTarget, demand.Runners)
}

func (f *fleetScaler) uses(m Mechanism) bool { return f.edge.settings.Policy.Uses(m) }

// countPresent counts the runners of each pool that take new work.
func (f *fleetScaler) countPresent(p *pool) map[fleet.Pool]int {
	present := map[fleet.Pool]int{}
	for domain := range f.service.Scaling.Prices {
		present[fleet.Pool{FailureDomain: domain, Class: onDemand}] = 0
		if f.service.Scaling.ReclaimableRate > 0 {
			present[fleet.Pool{FailureDomain: domain, Class: reclaimable}] = 0
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runners {
		if r.State != view.Leaving {
			present[poolOf(&r)]++
			continue
		}
		if r.Reclaimable && !r.LeavesAt.IsZero() {
			f.scarceUntil = f.edge.deps.Steady() + scarcityPeriod
			f.orders.Reclaimed(poolOf(&r))
		}
	}
	return present
}

// round keeps two digits, for a line of the log.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// countOnDemand is how many of the runners are not reclaimable.
func countOnDemand(present map[fleet.Pool]int) int {
	sum := 0
	for pool, n := range present {
		if pool.Class == onDemand {
			sum += n
		}
	}
	return sum
}
