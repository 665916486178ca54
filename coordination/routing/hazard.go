package routing

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// HazardConfig sets how reclaims are counted.
type HazardConfig struct {
	// PriorRate is the reclaims per VM and hour taken for granted before any
	// was seen, PriorHours the VM hours that this belief weighs.
	PriorRate  float64
	PriorHours float64
	// HalfLife is how long a count takes to lose half of its weight.
	HalfLife time.Duration
}

// DefaultHazard fits VMs of which a few in a hundred go in an hour.
func DefaultHazard() HazardConfig {
	return HazardConfig{PriorRate: 0.05, PriorHours: 4, HalfLife: time.Hour}
}

type pool struct {
	domain ident.FailureDomain
	class  string
}

type exposure struct {
	vms       int
	reclaims  float64
	hours     float64
	updatedAt time.Time
}

// Hazard estimates the rate of reclaims of each failure domain and VM class:
// reclaims per VM hour with a prior (a Gamma-Poisson estimate) and exponential
// forgetting, so that a wave shows at once and is forgotten in hours.
type Hazard struct {
	cfg   HazardConfig
	pools map[pool]*exposure
	// tracked maps the reclaimable VMs that are not known to go to their pool.
	tracked map[ident.RunnerID]pool
}

// NewHazard returns an estimate that knows only its prior.
func NewHazard(cfg HazardConfig) *Hazard {
	return &Hazard{cfg: cfg, pools: map[pool]*exposure{}, tracked: map[ident.RunnerID]pool{}}
}

// SetVMCount tells how many VMs of a pool there are from now on.
func (h *Hazard) SetVMCount(now time.Time, d ident.FailureDomain, class string, vms int) {
	e := h.exposureAt(now, d, class)
	e.vms = vms
}

// CountReclaim counts the reclaim of one VM.
func (h *Hazard) CountReclaim(now time.Time, d ident.FailureDomain, class string) {
	h.exposureAt(now, d, class).reclaims++
}

// RatePerHour is the expected rate of reclaims of one VM of the pool.
func (h *Hazard) RatePerHour(now time.Time, d ident.FailureDomain, class string) float64 {
	e := h.exposureAt(now, d, class)
	return (h.cfg.PriorRate*h.cfg.PriorHours + e.reclaims) / (h.cfg.PriorHours + e.hours)
}

// observe counts the pools of a list of runners, and as reclaimed those that
// were on the list before and are now leaving, gone or not listed.
func (h *Hazard) observe(now time.Time, runners []view.Runner) {
	current := make(map[ident.RunnerID]pool, len(runners))
	counts := map[pool]int{}
	for p := range h.pools {
		counts[p] = 0
	}
	for i := range runners {
		r := &runners[i]
		if r.Reclaimable && (r.State == view.Live || r.State == view.Suspect) {
			p := pool{r.FailureDomain, r.VMClass}
			current[r.ID] = p
			counts[p]++
		}
	}
	for id, p := range h.tracked {
		if _, ok := current[id]; !ok {
			h.CountReclaim(now, p.domain, p.class)
		}
	}
	for p, n := range counts {
		h.SetVMCount(now, p.domain, p.class, n)
	}
	h.tracked = current
}

// exposureAt returns the pool's counts, aged up to now.
func (h *Hazard) exposureAt(now time.Time, d ident.FailureDomain, class string) *exposure {
	key := pool{d, class}
	e, ok := h.pools[key]
	if !ok {
		e = &exposure{updatedAt: now}
		h.pools[key] = e
	}
	elapsed := now.Sub(e.updatedAt)
	if elapsed <= 0 {
		return e
	}
	decay := math.Exp2(-elapsed.Hours() / h.cfg.HalfLife.Hours())
	e.reclaims *= decay
	e.hours = e.hours*decay + float64(e.vms)*elapsed.Hours()
	e.updatedAt = now
	return e
}
