package edge

import (
	"context"
	"errors"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/daemon/decisions"
)

// Classes of runners that can be ordered.
const (
	onDemand    = "on_demand"
	reclaimable = "reclaimable"
)

func poolOf(r *Runner) fleet.Pool {
	class := onDemand
	if r.Reclaimable {
		class = reclaimable
	}
	return fleet.Pool{FailureDomain: r.FailureDomain, Class: class}
}

func (f *fleetScaler) offers(reclaimableOnly bool) []fleet.Offer {
	var offers []fleet.Offer
	s := f.service.Scaling
	for domain, price := range s.Prices {
		if !reclaimableOnly {
			offers = append(offers, fleet.Offer{Pool: fleet.Pool{FailureDomain: domain, Class: onDemand}, PricePerHour: price})
		}
		if s.ReclaimablePriceRatio > 0 {
			offers = append(offers, fleet.Offer{
				Pool: fleet.Pool{FailureDomain: domain, Class: reclaimable}, Reclaimable: true, PricePerHour: price * s.ReclaimablePriceRatio,
			})
		}
	}
	return f.withTrafficPrice(offers)
}

// applyDecision converts a decision into one order for each class and failure domain. If the
// cloud has none to give, it is asked again later, and the next round plans without them.
func (f *fleetScaler) applyDecision(ctx context.Context, now time.Duration, d fleet.Decision, w fleet.Target) {
	changes := map[fleet.Pool]int{}
	for _, s := range d.Starts {
		changes[s.Pool]++
	}
	byID := map[string]fleet.Pool{}
	for _, v := range f.orders.VMs() {
		byID[v.ID] = v.Pool
	}
	for _, id := range d.Stops {
		changes[byID[id]]--
	}
	for pool, n := range changes {
		if n == 0 {
			continue
		}
		f.orderChange(ctx, now, pool, n, w)
	}
}

func (f *fleetScaler) orderChange(ctx context.Context, now time.Duration, pool fleet.Pool, n int, w fleet.Target) {
	duty, ok := f.edge.permit()
	if !ok {
		return
	}
	f.orders.Change(now, pool, n)
	order := Order{
		Service:       f.service.Name,
		FailureDomain: pool.FailureDomain,
		Reclaimable:   pool.Class == reclaimable,
		Runners:       f.orders.Target(pool),
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	err := f.edge.deps.Cloud.Order(callCtx, duty, order)
	cancel()
	outcome := "ordered"
	var none *NoRunnersAvailableError
	switch {
	case err == nil:
		f.planner.RecordStart(pool)
		if order.Reclaimable && n > 0 {
			// Reclaimable runners are available again. More expensive ones are given back once
			// these serve.
			f.scarceUntil = now
			f.planner.ResetBackoff()
		}
	case errors.As(err, &none):
		outcome = "none_available"
		f.orders.Undo(pool, n)
		f.planner.RecordRefusal(now, pool)
		f.scarceUntil = now + scarcityPeriod
	default:
		// The order may have been accepted. The same number is ordered again if the runners
		// don't appear.
		outcome = err.Error()
		f.orders.Undo(pool, n)
	}
	f.edge.log.Note("order", decisions.F("service", order.Service), decisions.F("failure_domain", order.FailureDomain),
		decisions.F("reclaimable", order.Reclaimable), decisions.F("runners", order.Runners), decisions.F("change", n),
		decisions.F("needed", w.Runners), decisions.F("token", duty.Token), decisions.F("outcome", outcome))
}
