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
	vms      int
	reclaims float64
	hours    float64
	counted  time.Time
}

// Hazard estimates the rate of reclaims of each failure domain and VM class:
// reclaims per VM hour with a prior (a Gamma-Poisson estimate) and exponential
// forgetting, so that a wave shows at once and is forgotten in hours.
type Hazard struct {
	cfg   HazardConfig
	pools map[pool]*exposure
	// staying maps the reclaimable VMs that are not known to go to their pool.
	staying map[ident.RunnerID]pool
}

// NewHazard returns an estimate that knows only its prior.
func NewHazard(cfg HazardConfig) *Hazard {
	return &Hazard{cfg: cfg, pools: map[pool]*exposure{}, staying: map[ident.RunnerID]pool{}}
}

// Present tells how many VMs of a pool there are from now on.
func (h *Hazard) Present(now time.Time, d ident.FailureDomain, class string, vms int) {
	e := h.at(now, d, class)
	e.vms = vms
}

// Reclaimed counts the reclaim of one VM.
func (h *Hazard) Reclaimed(now time.Time, d ident.FailureDomain, class string) {
	h.at(now, d, class).reclaims++
}

// PerHour is the expected rate of reclaims of one VM of the pool.
func (h *Hazard) PerHour(now time.Time, d ident.FailureDomain, class string) float64 {
	e := h.at(now, d, class)
	return (h.cfg.PriorRate*h.cfg.PriorHours + e.reclaims) / (h.cfg.PriorHours + e.hours)
}

// observe counts the pools of a list of runners, and as reclaimed those that
// were on the list before and are now leaving, gone or not listed.
func (h *Hazard) observe(now time.Time, runners []view.Runner) {
	staying := make(map[ident.RunnerID]pool, len(runners))
	counts := map[pool]int{}
	for p := range h.pools {
		counts[p] = 0
	}
	for i := range runners {
		r := &runners[i]
		if r.Reclaimable && (r.State == view.Live || r.State == view.Suspect) {
			p := pool{r.FailureDomain, r.VMClass}
			staying[r.ID] = p
			counts[p]++
		}
	}
	for id, p := range h.staying {
		if _, ok := staying[id]; !ok {
			h.Reclaimed(now, p.domain, p.class)
		}
	}
	for p, n := range counts {
		h.Present(now, p.domain, p.class, n)
	}
	h.staying = staying
}

// at returns the pool's counts, aged up to now.
func (h *Hazard) at(now time.Time, d ident.FailureDomain, class string) *exposure {
	key := pool{d, class}
	e, ok := h.pools[key]
	if !ok {
		e = &exposure{counted: now}
		h.pools[key] = e
	}
	passed := now.Sub(e.counted)
	if passed <= 0 {
		return e
	}
	keep := math.Exp2(-passed.Hours() / h.cfg.HalfLife.Hours())
	e.reclaims *= keep
	e.hours = e.hours*keep + float64(e.vms)*passed.Hours()
	e.counted = now
	return e
}
