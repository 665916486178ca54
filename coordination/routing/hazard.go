package routing

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// HazardConfig sets how reclaim rates are estimated.
type HazardConfig struct {
	// PriorRate is the reclaim rate per VM and hour that is assumed before any
	// reclaim has been observed. PriorHours is the weight of that prior in VM hours.
	PriorRate  float64
	PriorHours float64
	// HalfLife is the time after which a reclaim or VM hour counts only half.
	HalfLife time.Duration
}

// DefaultHazard suits VMs of which about five in a hundred are reclaimed per hour.
func DefaultHazard() HazardConfig {
	return HazardConfig{PriorRate: 0.05, PriorHours: 4, HalfLife: time.Hour}
}

// pool identifies the VMs of one class in one failure domain.
type pool struct {
	domain ident.FailureDomain
	class  string
}

// exposure holds the current number of VMs in a pool, and the pool's numbers of reclaims and of VM
// hours, both with exponential decay.
type exposure struct {
	vmCount   int
	reclaims  float64
	vmHours   float64
	updatedAt time.Time
}

// Hazard estimates the reclaim rate of each failure domain and VM class: reclaims
// per VM hour with a Gamma-Poisson prior and exponential decay, so that a wave of
// reclaims raises the estimate at once and stops counting after a few hours.
type Hazard struct {
	cfg   HazardConfig
	pools map[pool]*exposure
	// tracked maps each reclaimable VM that is live or suspect to its pool.
	tracked map[ident.RunnerID]pool
}

// NewHazard returns an estimator that starts from its prior.
func NewHazard(cfg HazardConfig) *Hazard {
	return &Hazard{cfg: cfg, pools: map[pool]*exposure{}, tracked: map[ident.RunnerID]pool{}}
}

// SetVMCount sets the number of VMs in a pool from now on.
func (h *Hazard) SetVMCount(now time.Time, d ident.FailureDomain, class string, vmCount int) {
	e := h.exposureAt(now, d, class)
	e.vmCount = vmCount
}

// CountReclaim counts the reclaim of one VM.
func (h *Hazard) CountReclaim(now time.Time, d ident.FailureDomain, class string) {
	h.exposureAt(now, d, class).reclaims++
}

// RatePerHour returns the expected reclaims per hour for one VM of the pool.
func (h *Hazard) RatePerHour(now time.Time, d ident.FailureDomain, class string) float64 {
	e := h.exposureAt(now, d, class)
	return (h.cfg.PriorRate*h.cfg.PriorHours + e.reclaims) / (h.cfg.PriorHours + e.vmHours)
}

// observe sets the VM counts of the pools from a runner list. It counts a reclaim for
// each tracked VM that is now leaving, gone or missing from the list.
func (h *Hazard) observe(now time.Time, runners []view.Runner) {
	tracked := make(map[ident.RunnerID]pool, len(runners))
	counts := map[pool]int{}
	for p := range h.pools {
		counts[p] = 0
	}
	for i := range runners {
		r := &runners[i]
		if r.Reclaimable && (r.State == view.Live || r.State == view.Suspect) {
			p := pool{r.FailureDomain, r.VMClass}
			tracked[r.ID] = p
			counts[p]++
		}
	}
	for id, p := range h.tracked {
		if _, ok := tracked[id]; !ok {
			h.CountReclaim(now, p.domain, p.class)
		}
	}
	for p, n := range counts {
		h.SetVMCount(now, p.domain, p.class, n)
	}
	h.tracked = tracked
}

// exposureAt returns the pool's counts, decayed up to now.
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
	e.vmHours = e.vmHours*decay + float64(e.vmCount)*elapsed.Hours()
	e.updatedAt = now
	return e
}
