// Package fleet decides which VMs to ask the cloud for: in which failure
// domain and class, so that the cost is least while the target holds with any
// one failure domain lost; what to do where starts are refused; and when to
// let a VM go.
//
// The choice is exact for one service. With at most m VMs in any failure domain
// the service needs wanted+m of them to keep wanted after the worst loss. For
// each m the cheapest filling takes the cheapest failure domains first, m each;
// the planner tries every m. On-demand VMs count as lost with their failure
// domain too, since a failure takes all of it.
//
// A planner does no I/O and reads no clock. It is not safe for concurrent use.
package fleet

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Pool is where a VM can be had: a failure domain and a VM class.
type Pool struct {
	FailureDomain ident.FailureDomain
	Class         string
}

// Offer is a pool with its price now.
type Offer struct {
	Pool
	Reclaimable  bool
	PricePerHour float64
}

// VM is one VM of the service, as the list and the ledger know it.
type VM struct {
	ID   string
	Pool Pool
	// Token is the start's token where the VM is not in the list yet.
	Token string
	// Leaving ones count for nothing any more.
	Leaving bool
	// Starting ones are paid for but don't serve yet.
	Starting bool
}

// Target is what a service needs.
type Target struct {
	// Runners that must serve at the target.
	Runners int
	// SurviveLoss asks for Runners to be left when any one failure domain goes.
	SurviveLoss bool
	// ReclaimsOnly says that the loss to survive takes the failure domain's
	// reclaimable VMs and leaves the others.
	ReclaimsOnly bool
	// MaxCostPerHour bounds the price; zero is no bound. Spare VMs for the loss
	// of a failure domain go first, then runners.
	MaxCostPerHour float64
	// MinPerDomain and MaxPerDomain bound the VMs of any failure domain; a zero
	// MaxPerDomain is no bound.
	MinPerDomain, MaxPerDomain int
}

// Limits tunes the planner.
type Limits struct {
	// FirstBackoff of a pool after a refused start; it doubles to MaxBackoff.
	FirstBackoff, MaxBackoff time.Duration
	// ReclaimCost is the price, in hours of the VM, of one reclaim: a new start,
	// weights loaded, work computed again.
	ReclaimCost float64
	// HazardHalfLife is how fast a pool's past reclaims lose weight.
	HazardHalfLife time.Duration
	// SurplusHold is how long a VM must be superfluous before it is let go.
	SurplusHold time.Duration
	// MinMoveSaving is the share of the cost that a cheaper plan must save before
	// running VMs are moved to it.
	MinMoveSaving float64
	// MaxMoves bounds the VMs that are replaced for their price at once.
	MaxMoves int
}

// DefaultLimits suits starts of a minute or two.
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

// Start asks for one VM in a pool.
type Start struct{ Pool Pool }

// Decision is what to do now.
type Decision struct {
	Starts []Start
	// Stops are VMs to be let go, by graceful shutdown of their runners.
	Stops []string
	// Shortfall is the number of runners that no pool gives now.
	Shortfall int
	// CostPerHour of the plan aimed at.
	CostPerHour float64
}

type poolState struct {
	refusals     int
	backoffUntil time.Duration
	// hazard is reclaims seen, decayed; per VM hours in exposure.
	reclaims  float64
	exposure  float64
	decayedAt time.Duration
}

// Planner plans for one service.
type Planner struct {
	limits       Limits
	pools        map[Pool]*poolState
	surplusSince time.Duration
	hasSurplus   bool
	movesSince   time.Duration
	hasMoves     bool
	// skipMoveHold says that the next move need not wait: what runs stood in for VMs
	// that are to be had again.
	skipMoveHold bool
}

// New returns a planner that knows of no refusals or reclaims.
func New(l Limits) *Planner { return &Planner{limits: l, pools: map[Pool]*poolState{}} }

func (p *Planner) pool(id Pool) *poolState {
	s, ok := p.pools[id]
	if !ok {
		s = &poolState{}
		p.pools[id] = s
	}
	return s
}

// RecordRefusal tells that the cloud refused a start in the pool. Several refusals of
// one turn count as one: they say the same thing.
func (p *Planner) RecordRefusal(now time.Duration, id Pool) {
	s := p.pool(id)
	if now < s.backoffUntil {
		return
	}
	wait := min(p.limits.FirstBackoff<<min(s.refusals, 16), p.limits.MaxBackoff)
	s.refusals++
	s.backoffUntil = now + wait
}

// RecordStart tells that the cloud gave a VM in the pool.
func (p *Planner) RecordStart(id Pool) { p.pool(id).refusals = 0 }

// ResetBackoff tells that VMs which were hard to get in all pools are to be had again, so
// that earlier refusals say nothing any more and moving to them need not wait.
func (p *Planner) ResetBackoff() {
	p.skipMoveHold = true
	for _, s := range p.pools {
		s.refusals, s.backoffUntil = 0, 0
	}
}

// RecordReclaims tells that n VMs of the pool were given notice.
func (p *Planner) RecordReclaims(now time.Duration, id Pool, n int) {
	s := p.pool(id)
	p.decay(now, s)
	s.reclaims += float64(n)
}

// RecordExposure tells that n VMs of the pool have run for d without notice.
func (p *Planner) RecordExposure(now time.Duration, id Pool, n int, d time.Duration) {
	s := p.pool(id)
	p.decay(now, s)
	s.exposure += float64(n) * d.Hours()
}

func (p *Planner) decay(now time.Duration, s *poolState) {
	elapsed := now - s.decayedAt
	if elapsed < time.Minute {
		return
	}
	factor := decayFactor(float64(elapsed) / float64(p.limits.HazardHalfLife))
	s.reclaims *= factor
	s.exposure *= factor
	s.decayedAt = now
}

// priorExposure in VM hours keeps one reclaim in a new pool from ruling it out.
const priorExposure = 20

// Hazard is the expected number of reclaims of one VM of the pool in an hour.
func (p *Planner) Hazard(id Pool) float64 {
	s, ok := p.pools[id]
	if !ok {
		return 0
	}
	return s.reclaims / (s.exposure + priorExposure)
}

// expectedPrice is what a VM of the offer costs in an hour, reclaims included.
func (p *Planner) expectedPrice(o Offer) float64 {
	if !o.Reclaimable {
		return o.PricePerHour
	}
	return o.PricePerHour * (1 + p.Hazard(o.Pool)*p.limits.ReclaimCost)
}

// Decide compares the VMs with the cheapest plan and returns the changes to
// make now.
func (p *Planner) Decide(now time.Duration, w Target, offers []Offer, vms []VM) Decision {
	current := countByPool(vms)
	plan, shortfall := cheapestPlan(w, p.listCandidates(now, offers, current))
	d := Decision{Shortfall: shortfall, CostPerHour: cost(plan, offers)}
	r := planningRound{p: p, now: now, target: w, offers: offers, vms: vms, current: current, plan: plan}
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
