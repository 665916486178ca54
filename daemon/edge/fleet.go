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
	// orderSlackTime is how much longer than a runner's boot time an order may take until the
	// runner is registered.
	orderSlackTime = 3 * time.Second
	// minRefusalBackoff and maxRefusalBackoff bound the time until a class of runners that the
	// cloud has refused is asked for again. They are short because runners that cost a fraction
	// of the full price are worth a call every few seconds.
	minRefusalBackoff = 2 * time.Second
	maxRefusalBackoff = 4 * time.Second
	// surplusHold is how long a runner must be superfluous before it is given back. The
	// estimated demand already falls slowly; this time only bridges short fluctuations.
	surplusHold = 300 * time.Millisecond
	// minMoveSaving is the share of the cost that replacing runners by cheaper ones must save.
	// All runners concerned are replaced at the same time: the old ones are given back only
	// when the new ones serve, and replacing them in parts would incur the full price for
	// several boot times.
	minMoveSaving = 0.1
	// scarcityPeriod is how long a scarcity lasts, in which runners are kept that would
	// otherwise be given back: the time after a reclaim, which is the cloud's withdrawal of a
	// reclaimable runner, or after an order that the cloud has refused. Refusals last for ten to
	// fifteen seconds, and reclaims come a few seconds apart.
	scarcityPeriod = 8 * time.Second
	// scarcityHeadroom times the needed number of runners are kept at the full price during
	// that period. The needed number already has headroom (see fleet.DemandConfig); this covers
	// the growth of the demand until another runner has started.
	scarcityHeadroom = 1.25
	// registrationPeriod is how long after the first runner has been seen at the fleet's first
	// start other runners may still register: each registers with its next heartbeat.
	registrationPeriod = 2500 * time.Millisecond
	// workSettlePeriod is how long the work of most of a large fleet must have been known
	// before runners are given back: the time until the estimate of the demand has settled.
	workSettlePeriod = 5 * time.Second
	// maxSpareRate is the price of reclaimable runners, as a part of the full price, up to
	// which spare runners are kept.
	maxSpareRate = 0.5
	// scarcityRetryInterval is the time between attempts to order reclaimable runners during a
	// scarcity. The runners that replace them cost several times as much, so the cost of a call
	// is negligible.
	scarcityRetryInterval = 400 * time.Millisecond
	// demandLogInterval is the time between log lines about the demand.
	demandLogInterval = 2 * time.Second
)

// fleetScaler orders the runners of one service.
type fleetScaler struct {
	edge     *Edge
	service  route.Service
	planner  *fleet.Planner
	orders   *fleet.Orders
	loggedAt time.Duration
	// scarceUntil is the time until which reclaimable runners are assumed to be hard to get,
	// and nextRetryAt the time of the next attempt to order some during that period.
	scarceUntil time.Duration
	nextRetryAt time.Duration
	// reclaimableRetries counts these attempts.
	reclaimableRetries int
	// firstRunnerAt is when the first runner was seen.
	firstRunnerAt time.Duration
	// runnersOnTrial is the number of runners of a new software version whose trial has not been
	// decided yet.
	runnersOnTrial int
}

func newFleetScaler(e *Edge, s *route.Service) *fleetScaler {
	limits := fleet.DefaultLimits()
	limits.FirstBackoff, limits.MaxBackoff = minRefusalBackoff, maxRefusalBackoff
	limits.SurplusHold = surplusHold
	limits.MinMoveSaving = minMoveSaving
	limits.MaxMoves = math.MaxInt
	limits.ReclaimCost = 0
	return &fleetScaler{
		edge:    e,
		service: *s,
		planner: fleet.New(limits),
		orders:  fleet.NewOrders(s.Scaling.BootTime + orderSlackTime),
	}
}

// round compares the runners with the demand once, and orders or gives back runners.
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
	f.runnersOnTrial = f.edge.countRunnersOnTrial(pool)
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

// decide plans the orders and suppresses giving back runners while the demand isn't known. A
// daemon that has started together with all others doesn't know the demand yet, or in a large
// fleet only that of its own callers. At the fleet's first start it waits until it has seen
// which runners exist.
func (f *fleetScaler) decide(now time.Duration, demand fleet.Estimate) (fleet.Decision, fleet.Target) {
	d, w := f.plan(now, demand)
	if !f.edge.workKnownFor(now, workSettlePeriod) {
		d.Stops = nil
	}
	if f.runnersOnTrial > 0 {
		// It isn't known yet which version's runners would be given back.
		d.Stops = nil
	}
	if !demand.Settled && (!f.edge.firstStart.Load() || now < f.firstRunnerAt+registrationPeriod) {
		d.Stops = nil
	}
	return d, w
}

// plan plans orders for times of plenty or of scarcity. Reclaimable runners cost a fraction of
// the full price. While they are available, more of them are kept than needed, enough to
// survive the loss of a failure domain. A reclaim often comes together with others, and no
// reclaimable runners are available for seconds after it. During that scarcity, missing runners
// are ordered at the full price, and only what far exceeds the need is given back.
func (f *fleetScaler) plan(now time.Duration, demand fleet.Estimate) (fleet.Decision, fleet.Target) {
	// Runners whose trial hasn't been decided serve very few requests.
	demand.Runners += f.runnersOnTrial
	demand.Comfortable += f.runnersOnTrial
	needed := fleet.Target{
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
			// Until the reclaimable runners on order serve, only as many full-price runners are
			// kept as are needed to replace them.
			d.Stops = fleet.Releasable(vms, f.pricesBySpeed(offers), needed.Runners, needed.MinPerDomain)
		}
		return d, plenty
	}
	d := f.planner.Decide(now, needed, offers, vms)
	d.Stops = fleet.Releasable(vms, f.pricesBySpeed(offers), int(math.Ceil(scarcityHeadroom*float64(needed.Runners))), needed.MinPerDomain)
	if len(d.Starts) == 0 {
		remaining := plenty
		remaining.Runners = needed.Runners
		d.Starts = f.planner.Decide(now, remaining, offers, vms).Starts
	}
	if now >= f.nextRetryAt && f.uses(AskOften) {
		f.nextRetryAt = now + scarcityRetryInterval
		d.Starts = append(d.Starts, f.retryReclaimable(plenty.Runners)...)
	}
	return d, needed
}

// retryReclaimable tries to order the missing reclaimable runners of one failure domain, the
// next one with each call.
func (f *fleetScaler) retryReclaimable(runners int) []fleet.Start {
	offers := f.offers(true)
	if len(offers) == 0 {
		return nil
	}
	slices.SortFunc(offers, func(a, b fleet.Offer) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	pool := offers[f.reclaimableRetries%len(offers)].Pool
	f.reclaimableRetries++
	part := (runners + len(offers) - 1) / len(offers)
	return slices.Repeat([]fleet.Start{{Pool: pool}}, max(0, part-f.orders.Target(pool)))
}

// spareTarget returns how many runners should be left after the reclaim of a failure domain
// while reclaimable ones are available: enough for a second reclaim in another failure domain,
// since reclaims follow each other sooner than a runner ordered at the first one serves.
// Runners beyond what reclaimable ones can provide aren't worth the full price. If reclaimable
// runners cost nearly as much as others, or there are none, no spare runners are kept.
func (f *fleetScaler) spareTarget(demand fleet.Estimate) int {
	rate := f.service.Scaling.ReclaimablePriceRatio
	if rate <= 0 || rate > maxSpareRate || !f.uses(SpareRunners) {
		return demand.Runners
	}
	domains := len(f.service.Scaling.Prices)
	spareTarget := demand.Comfortable
	if domains > 2 && f.uses(TwoReclaims) {
		spareTarget = max(spareTarget, (demand.Runners*(domains-1)+domains-3)/(domains-2))
	}
	if maxReclaimable := f.service.Scaling.Max * (domains - 1); f.service.Scaling.Max > 0 {
		spareTarget = min(spareTarget, max(maxReclaimable, demand.Runners))
	}
	return max(spareTarget, demand.Runners)
}

func (f *fleetScaler) uses(m Mechanism) bool { return f.edge.settings.Policy.Uses(m) }

// countPresent counts the runners of each class and failure domain that accept new work. A
// runner that is being reclaimed starts or extends the scarcity.
func (f *fleetScaler) countPresent(p *pool) map[fleet.Pool]int {
	present := map[fleet.Pool]int{}
	for domain := range f.service.Scaling.Prices {
		present[fleet.Pool{FailureDomain: domain, Class: onDemand}] = 0
		if f.service.Scaling.ReclaimablePriceRatio > 0 {
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
			f.orders.RecordReclaims(poolOf(&r))
		}
	}
	return present
}

// round rounds to two decimal places for the log.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// countOnDemand returns the number of runners that aren't reclaimable.
func countOnDemand(present map[fleet.Pool]int) int {
	sum := 0
	for pool, n := range present {
		if pool.Class == onDemand {
			sum += n
		}
	}
	return sum
}
