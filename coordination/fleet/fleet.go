// Package fleet decides which VMs to order from the cloud: in which failure domain and
// class, so that the cost is minimal while the target is met with any one failure domain
// lost; what to do if starts are refused; and when to stop a VM.
//
// The choice is optimal for a single service. With at most m VMs in any failure domain, the
// service needs target+m VMs to keep the target after the worst loss. For each m, the
// cheapest allocation fills the cheapest failure domains first, with m VMs each; the
// planner tries every m. On-demand VMs count as lost with their failure domain, too, since
// a failure takes all VMs in it, unless the target only has to survive reclaims.
//
// A reclaim is the cloud's taking back of a VM that it offers at a lower price on this
// condition (a reclaimable VM); on-demand VMs are not reclaimed. A move replaces a running
// VM by one of a cheaper pool. A surplus is VMs that are not needed to meet the target.
//
// A Planner does no I/O and reads no clock. It is not safe for concurrent use.
package fleet

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Pool is a source of VMs: a failure domain and a VM class.
type Pool struct {
	FailureDomain ident.FailureDomain
	Class         string
}

// Offer is a pool with its current price.
type Offer struct {
	Pool
	Reclaimable  bool
	PricePerHour float64
	// TrafficPrice is what the traffic of one VM costs an hour that serves callers of other failure
	// domains. The callers of this domain need LocalVMs VMs; further ones serve others.
	TrafficPrice float64
	LocalVMs     int
}

// VM is a VM of the service, as known from the VM list and the record of starts.
type VM struct {
	ID   string
	Pool Pool
	// Token identifies the request to the cloud that starts the VM. It is set instead of ID
	// while the VM is not yet in the VM list.
	Token string
	// Leaving VMs are ignored.
	Leaving bool
	// Starting VMs are paid for but don't serve yet.
	Starting bool
}

// Target is what a service needs from its fleet: how many runners, what loss they must
// survive, and at what cost.
type Target struct {
	// Runners is the number of runners that must serve.
	Runners int
	// SurviveLoss requires that Runners remain if any one failure domain is lost.
	SurviveLoss bool
	// ReclaimsOnly limits the loss to survive to the reclaimable VMs of the failure domain.
	ReclaimsOnly bool
	// MaxCostPerHour limits the cost; zero means no limit. To stay within it, spare VMs for
	// the loss of a failure domain are given up first, then runners.
	MaxCostPerHour float64
	// MinPerDomain and MaxPerDomain limit the VMs in each failure domain; a MaxPerDomain of
	// zero means no limit.
	MinPerDomain, MaxPerDomain int
}

// Limits holds the planner's waiting times, costs and thresholds.
type Limits struct {
	// FirstBackoff is how long a pool is not used after a refused start. It doubles with
	// each further refusal up to MaxBackoff.
	FirstBackoff, MaxBackoff time.Duration
	// ReclaimCost is the cost of one reclaim in hours of the VM's price: a new start,
	// loading weights, and repeating lost work.
	ReclaimCost float64
	// HazardHalfLife is the half-life with which past reclaims of a pool lose weight.
	HazardHalfLife time.Duration
	// SurplusHold is how long a surplus must last before VMs are stopped, and how long a
	// cheaper plan must save at least MinMoveSaving before VMs are moved to it.
	SurplusHold time.Duration
	// MinMoveSaving is the fraction of the cost that a cheaper plan must save before
	// running VMs are moved to it.
	MinMoveSaving float64
	// MaxMoves limits the VMs that are being replaced because of their price at any time.
	MaxMoves int
}

// DefaultLimits returns limits for VMs that start within a minute or two.
func DefaultLimits() Limits {
	return Limits{
		FirstBackoff:   30 * time.Second,
		MaxBackoff:     5 * time.Minute,
		ReclaimCost:    0.25,
		HazardHalfLife: 6 * time.Hour,
		SurplusHold:    5 * time.Minute,
		MinMoveSaving:  0.115,
		MaxMoves:       2,
	}
}

// Start is an order of one VM in a pool.
type Start struct{ Pool Pool }

// Decision holds the VMs to start and to stop now.
type Decision struct {
	Starts []Start
	// Stops are the IDs of the VMs to remove, by graceful shutdown of their runners.
	Stops []string
	// Shortfall is the number of runners that no pool can provide now.
	Shortfall int
	// CostPerHour is the cost of the target plan.
	CostPerHour float64
}

// poolState holds the refusals and reclaims recorded for a pool.
type poolState struct {
	consecutiveRefusals int
	backoffUntil        time.Duration
	// reclaims is the number of reclaims recorded for the pool, exposureHours the number
	// of VM hours in which they occurred. Older ones count less, with HazardHalfLife.
	reclaims      float64
	exposureHours float64
	decayedAt     time.Duration
}

// Planner plans the VMs of one service.
type Planner struct {
	limits       Limits
	pools        map[Pool]*poolState
	surplusSince time.Duration
	hasSurplus   bool
	movesSince   time.Duration
	hasMoves     bool
	// skipMoveHold lets the next moves start without waiting for SurplusHold. ResetBackoff
	// sets it when the pools that refused starts have VMs again. The current VMs were
	// started in other pools in place of VMs of those pools, and need not be kept for
	// longer.
	skipMoveHold bool
}

// New returns a planner without recorded refusals and reclaims.
func New(l Limits) *Planner { return &Planner{limits: l, pools: map[Pool]*poolState{}} }

func (p *Planner) pool(id Pool) *poolState {
	s, ok := p.pools[id]
	if !ok {
		s = &poolState{}
		p.pools[id] = s
	}
	return s
}

// RecordRefusal records that the cloud refused a start in the pool. Refusals during the
// pool's backoff are ignored, so that several refusals in one round, which have the same
// cause, count as one.
func (p *Planner) RecordRefusal(now time.Duration, id Pool) {
	s := p.pool(id)
	if now < s.backoffUntil {
		return
	}
	backoff := min(p.limits.FirstBackoff<<min(s.consecutiveRefusals, 16), p.limits.MaxBackoff)
	s.consecutiveRefusals++
	s.backoffUntil = now + backoff
}

// RecordStart records that the cloud started a VM in the pool, which ends the count of
// consecutive refusals.
func (p *Planner) RecordStart(id Pool) { p.pool(id).consecutiveRefusals = 0 }

// ResetBackoff must be called when pools that refused starts have VMs again. It clears the
// count of refusals and the backoff of every pool, and lets the next moves of VMs to
// cheaper pools start without waiting for Limits.SurplusHold.
func (p *Planner) ResetBackoff() {
	p.skipMoveHold = true
	for _, s := range p.pools {
		s.consecutiveRefusals, s.backoffUntil = 0, 0
	}
}

// RecordReclaims records that n VMs of the pool got notice of a reclaim.
func (p *Planner) RecordReclaims(now time.Duration, id Pool, n int) {
	s := p.pool(id)
	p.decay(now, s)
	s.reclaims += float64(n)
}

// RecordExposure records that n VMs of the pool ran for d without a notice of a reclaim.
func (p *Planner) RecordExposure(now time.Duration, id Pool, n int, d time.Duration) {
	s := p.pool(id)
	p.decay(now, s)
	s.exposureHours += float64(n) * d.Hours()
}

func (p *Planner) decay(now time.Duration, s *poolState) {
	elapsed := now - s.decayedAt
	if elapsed < time.Minute {
		return
	}
	factor := decayFactor(float64(elapsed) / float64(p.limits.HazardHalfLife))
	s.reclaims *= factor
	s.exposureHours *= factor
	s.decayedAt = now
}

// priorExposureHours, in VM hours, keeps a single reclaim in a new pool from ruling the pool
// out.
const priorExposureHours = 20

// Hazard returns the expected number of reclaims per VM of the pool and hour.
func (p *Planner) Hazard(id Pool) float64 {
	s, ok := p.pools[id]
	if !ok {
		return 0
	}
	return s.reclaims / (s.exposureHours + priorExposureHours)
}

// expectedPrice returns the hourly price of a VM of the offer, including the expected cost
// of reclaims.
func (p *Planner) expectedPrice(o Offer) float64 {
	if !o.Reclaimable {
		return o.PricePerHour
	}
	return o.PricePerHour * (1 + p.Hazard(o.Pool)*p.limits.ReclaimCost)
}

// Decide compares the VMs with the cheapest plan and returns the changes to make now.
func (p *Planner) Decide(now time.Duration, target Target, offers []Offer, vms []VM) Decision {
	current := countByPool(vms)
	plan, shortfall := cheapestPlan(target, p.listCandidates(now, offers, current))
	d := Decision{Shortfall: shortfall, CostPerHour: cost(plan, offers)}
	r := planningRound{p: p, now: now, target: target, offers: offers, vms: vms, current: current, plan: plan}
	r.planChanges(&d)
	return d
}

func countByPool(vms []VM) map[Pool]int {
	counts := map[Pool]int{}
	for _, v := range vms {
		if !v.Leaving {
			counts[v.Pool]++
		}
	}
	return counts
}

func cost(plan map[Pool]int, offers []Offer) float64 {
	sum := 0.0
	for _, o := range offers {
		sum += float64(plan[o.Pool]) * o.PricePerHour
	}
	return sum
}
