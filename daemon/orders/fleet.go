package orders

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/holder"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// maxUnlistedTime is how long a VM whose start the cloud has confirmed may be
// missing from the cloud's list, which lags behind, before it is considered gone.
const maxUnlistedTime = 10 * time.Minute

// fleetDuty keeps one service's VMs in line with the manifest.
type fleetDuty struct {
	driver  *Driver
	service string
	holder  *holder.Holder
	planner *fleet.Planner
	tenure  *fleetTenure
}

// fleetTenure is what the holder has learned since it acquired the lease. All
// times are of the holder's monotonic clock, because the clocks of daemons may
// differ.
type fleetTenure struct {
	fencingToken uint64
	ledger       *ledger
	lastListed   map[string]cloudapi.VM
	lastListedAt time.Duration
	// confirmedAt maps the token of a pending start to the time of the first
	// round in which this holder had the ID of the started VM, from the cloud's
	// answer or from the ledger.
	confirmedAt map[string]time.Duration
	// stopAt is when each VM whose stop was announced may be stopped.
	stopAt    map[string]time.Duration
	stopped   map[string]bool
	lastRound fleetInputs
}

// fleetInputs is the input of a round, kept to detect changes in later ones.
type fleetInputs struct {
	at      time.Duration
	service manifest.Service
	fleet   manifest.Fleet
	runners []view.Runner
	// settled is true if the round found nothing to change and no start or stop
	// pending.
	settled bool
}

func newFleetDuty(d *Driver, service string, h *holder.Holder) *fleetDuty {
	return &fleetDuty{driver: d, service: service, holder: h, planner: fleet.New(fleet.DefaultLimits())}
}

func (f *fleetDuty) run(ctx context.Context, m *manifest.Manifest, fencingToken uint64) error {
	service := m.ServiceNamed(f.service)
	if service == nil {
		return nil
	}
	if err := f.openTenure(ctx, fencingToken); err != nil {
		return err
	}
	inputs := fleetInputs{at: f.holder.Now(), service: *service, fleet: m.Fleet, runners: f.driver.Directory.Runners(f.service)}
	if !f.roundNeeded(inputs) {
		return nil
	}
	idle, err := f.round(ctx, m, service, inputs.runners)
	inputs.settled = idle && f.tenure.ledger.empty()
	f.tenure.lastRound = inputs
	var lost *LedgerLostError
	if errors.As(err, &lost) {
		f.tenure = nil
	}
	return err
}

// roundNeeded reports whether a round must be done now. If the last round found
// the fleet settled, changes of the manifest or of runners are handled at once,
// and the cloud's list is read only at settledRecheckInterval, because the list of
// a large fleet has megabytes.
func (f *fleetDuty) roundNeeded(inputs fleetInputs) bool {
	lastRound := &f.tenure.lastRound
	if !lastRound.settled || inputs.at >= lastRound.at+settledRecheckInterval {
		return true
	}
	return !reflect.DeepEqual(inputs.service, lastRound.service) || !reflect.DeepEqual(inputs.fleet, lastRound.fleet) ||
		!slices.Equal(inputs.runners, lastRound.runners)
}

// openTenure reads the ledger and resets the state if the lease was newly acquired.
func (f *fleetDuty) openTenure(ctx context.Context, fencingToken uint64) error {
	if f.tenure != nil && f.tenure.fencingToken == fencingToken {
		return nil
	}
	l, err := openLedger(ctx, f.driver.Store, f.service, fencingToken)
	if err != nil {
		return err
	}
	f.tenure = &fleetTenure{
		fencingToken: fencingToken, ledger: l, lastListed: map[string]cloudapi.VM{}, lastListedAt: f.holder.Now(),
		confirmedAt: map[string]time.Duration{}, stopAt: map[string]time.Duration{}, stopped: map[string]bool{},
	}
	return nil
}

// round completes the calls that an earlier round or holder left pending, plans
// starts and stops, writes them to the ledger and executes them. It returns idle
// as true if the plan has no starts or stops and no runners are lacking.
func (f *fleetDuty) round(ctx context.Context, m *manifest.Manifest, service *manifest.Service, runners []view.Runner) (idle bool, err error) {
	listed, err := f.listVMs(ctx)
	if err != nil {
		return false, err
	}
	f.recordObservations(listed)
	f.pruneLedger(listed)
	if err := f.executeLedger(ctx, listed); err != nil {
		return false, err
	}
	quotes, err := f.driver.Cloud.Quotes(ctx)
	if err != nil {
		return false, fmt.Errorf("get price quotes: %w", err)
	}
	target := fleet.Target{
		Runners: service.Runners, SurviveLoss: m.Fleet.SurviveDomainLoss, MaxCostPerHour: costShare(m, f.service),
	}
	d := f.planner.Decide(f.holder.Now(), target, offersFor(m, f.service, quotes), f.plannerVMs(listed, runners))
	f.recordDecision(d, listed)
	idle = len(d.Starts) == 0 && len(d.Stops) == 0 && d.Shortfall == 0
	return idle, f.executeLedger(ctx, listed)
}

func (f *fleetDuty) listVMs(ctx context.Context) (map[string]cloudapi.VM, error) {
	all, err := f.driver.Lister.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	listed := map[string]cloudapi.VM{}
	for _, vm := range all {
		if vm.Service == f.service {
			listed[vm.ID] = vm
		}
	}
	return listed, nil
}

// recordObservations gives the planner the running time of VMs and the number of
// VMs that the cloud reclaimed, from which it estimates reclaim rates.
func (f *fleetDuty) recordObservations(listed map[string]cloudapi.VM) {
	now := f.holder.Now()
	for id, vm := range listed {
		before, known := f.tenure.lastListed[id]
		pool := fleet.Pool{FailureDomain: vm.FailureDomain, Class: vm.Class}
		switch {
		case vm.State != cloudapi.VMLeaving:
			f.planner.RecordExposure(now, pool, 1, now-f.tenure.lastListedAt)
		case known && before.State != cloudapi.VMLeaving && !f.tenure.ledger.isStopping(id):
			f.planner.RecordReclaims(now, pool, 1)
		}
	}
	f.tenure.lastListed = listed
	f.tenure.lastListedAt = now
}

// pruneLedger removes pending starts whose VM is in the list or was missing from
// it for maxUnlistedTime, and stops whose VM is no longer in the list.
func (f *fleetDuty) pruneLedger(listed map[string]cloudapi.VM) {
	now := f.holder.Now()
	state := &f.tenure.ledger.state
	state.PendingStarts = slices.DeleteFunc(state.PendingStarts, func(s pendingStart) bool {
		if s.VM == "" {
			return false
		}
		if _, ok := f.tenure.confirmedAt[s.Token]; !ok {
			f.tenure.confirmedAt[s.Token] = now
		}
		_, ok := listed[s.VM]
		return ok || now >= f.tenure.confirmedAt[s.Token]+maxUnlistedTime
	})
	state.Stops = slices.DeleteFunc(state.Stops, func(s stop) bool {
		_, ok := listed[s.VM]
		return !ok
	})
}

// plannerVMs returns the listed VMs and the pending starts that are not listed
// yet. Without these the planner would start the same VMs again, because the list
// lags behind. The runners of the directory are included because the directory
// learns of a reclaim notice before the list does.
func (f *fleetDuty) plannerVMs(listed map[string]cloudapi.VM, runners []view.Runner) []fleet.VM {
	leaving := map[string]bool{}
	for _, r := range runners {
		if r.State == view.Leaving {
			leaving[r.Address] = true
		}
	}
	var out []fleet.VM
	for id, vm := range listed {
		out = append(out, fleet.VM{
			ID: id, Pool: fleet.Pool{FailureDomain: vm.FailureDomain, Class: vm.Class},
			Leaving:  vm.State == cloudapi.VMLeaving || leaving[vm.Address] || f.tenure.ledger.isStopping(id),
			Starting: vm.State == cloudapi.VMStarting,
		})
	}
	for _, s := range f.tenure.ledger.state.PendingStarts {
		if _, ok := listed[s.VM]; !ok {
			out = append(out, fleet.VM{Token: s.Token, Pool: s.Pool, Starting: true})
		}
	}
	return out
}

func offersFor(m *manifest.Manifest, service string, quotes []cloudapi.Quote) []fleet.Offer {
	var out []fleet.Offer
	for _, c := range m.Fleet.VMClasses {
		if len(c.Services) > 0 && !slices.Contains(c.Services, service) {
			continue
		}
		for _, d := range m.Fleet.FailureDomains {
			price := c.PricePerHour
			for _, q := range quotes {
				if q.FailureDomain == d && q.Class == c.Name {
					price = q.PricePerHour
				}
			}
			out = append(out, fleet.Offer{Pool: fleet.Pool{FailureDomain: d, Class: c.Name}, Reclaimable: c.Reclaimable, PricePerHour: price})
		}
	}
	return out
}

// costShare returns the service's share of the manifest's cost limit, in
// proportion to the cost of its runners at list prices. Each service's VMs are
// planned separately, and all of them together must stay within the limit.
func costShare(m *manifest.Manifest, service string) float64 {
	serviceCost, totalCost := 0.0, 0.0
	for i := range m.Services {
		s := &m.Services[i]
		cost := float64(s.Runners) * cheapestPrice(m, s.Name)
		totalCost += cost
		if s.Name == service {
			serviceCost = cost
		}
	}
	if totalCost == 0 {
		return 0
	}
	return m.Fleet.MaxCostPerHour * serviceCost / totalCost
}

func cheapestPrice(m *manifest.Manifest, service string) float64 {
	price := 0.0
	for _, o := range offersFor(m, service, nil) {
		if price == 0 || o.PricePerHour < price {
			price = o.PricePerHour
		}
	}
	return price
}

// recordDecision adds the planned starts and stops to the ledger. executeLedger
// saves the ledger before it executes them.
func (f *fleetDuty) recordDecision(d fleet.Decision, listed map[string]cloudapi.VM) {
	for _, id := range d.Stops {
		f.tenure.ledger.state.Stops = append(f.tenure.ledger.state.Stops, stop{VM: id, Address: listed[id].Address})
	}
	f.tenure.ledger.addPendingStarts(d.Starts)
}

// executeLedger executes the pending starts and stops. It saves the ledger first,
// so that the next holder knows of every call that may have been made, and again
// afterwards with the cloud's answers.
func (f *fleetDuty) executeLedger(ctx context.Context, listed map[string]cloudapi.VM) error {
	if err := f.tenure.ledger.save(ctx); err != nil {
		return err
	}
	if err := f.executeStarts(ctx); err != nil {
		return err
	}
	if err := f.executeStops(ctx, listed); err != nil {
		return err
	}
	return f.tenure.ledger.save(ctx)
}

// executeStarts calls the cloud for every pending start without a VM. The start's
// token makes the call idempotent, so that a later holder can repeat it too. If a
// call fails, its start stays pending and the other starts continue.
func (f *fleetDuty) executeStarts(ctx context.Context) error {
	pending := f.tenure.ledger.state.PendingStarts
	results := f.startAll(ctx, pending)
	var obsolete []string
	var ended error
	for i := range pending {
		s := &pending[i]
		err := results[i].err
		switch {
		case endsTenure(err):
			ended = err
		case f.isObsolete(s, err):
			obsolete = append(obsolete, s.Token)
		case err != nil:
			f.driver.recordFailure(f.holder.Name(), err)
		case s.VM == "":
			f.planner.RecordStart(s.Pool)
			s.VM = results[i].vm.ID
		}
	}
	f.tenure.ledger.removePendingStarts(obsolete)
	return ended
}

// startResult is the result of a cloud call. It is empty for a pending start whose
// VM was already known.
type startResult struct {
	vm  cloudapi.VM
	err error
}

func (f *fleetDuty) startAll(ctx context.Context, pending []pendingStart) []startResult {
	results := make([]startResult, len(pending))
	var g errgroup.Group
	g.SetLimit(orderParallelism)
	for i, s := range pending {
		if s.VM != "" {
			continue
		}
		g.Go(func() error {
			results[i].vm, results[i].err = f.start(ctx, s)
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
	return results
}

// isObsolete reports whether a start will never result in a VM: the cloud refused
// it, or the VM that it started is already gone.
func (f *fleetDuty) isObsolete(s *pendingStart, err error) bool {
	var refused *cloudapi.StartRefusedError
	if errors.As(err, &refused) {
		f.driver.count("fleet.start_refused")
		f.planner.RecordRefusal(f.holder.Now(), s.Pool)
		return true
	}
	var gone *cloudapi.NotFoundError
	return errors.As(err, &gone)
}

// endsTenure reports whether an error means that this daemon doesn't hold the
// lease and must not give orders.
func endsTenure(err error) bool {
	var notHeld *NotHeldError
	var stale *cloudapi.StaleFencingError
	return errors.As(err, &notHeld) || errors.As(err, &stale)
}

func (f *fleetDuty) start(ctx context.Context, s pendingStart) (cloudapi.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, f.driver.Timing.MaxOrderLatency)
	defer cancel()
	token, ok := f.holder.Permit(true)
	if !ok {
		return cloudapi.VM{}, &NotHeldError{Responsibility: f.holder.Name()}
	}
	vm, err := f.driver.Cloud.Start(ctx, cloudapi.StartRequest{
		Token: s.Token, Fencing: token, FailureDomain: s.Pool.FailureDomain, Class: s.Pool.Class, Service: f.service,
	})
	if err != nil {
		return cloudapi.VM{}, fmt.Errorf("start VM: %w", err)
	}
	f.driver.count("fleet.started")
	klog.InfoS("VM started", "service", f.service, "vm", vm.ID, "failureDomain", vm.FailureDomain, "class", vm.Class)
	return vm, nil
}

// executeStops executes the step of each graceful stop that is due in this round,
// and doesn't wait. It announces to all daemons that the VM's runner is leaving,
// and stops the VM in the first round after StopGrace has passed.
func (f *fleetDuty) executeStops(ctx context.Context, listed map[string]cloudapi.VM) error {
	for _, s := range f.tenure.ledger.state.Stops {
		if _, ok := listed[s.VM]; !ok || f.tenure.stopped[s.VM] || !f.announceStop(s) {
			continue
		}
		err := f.stop(ctx, s)
		if endsTenure(err) {
			return err
		}
		if err != nil {
			f.driver.recordFailure(f.holder.Name(), err)
			continue
		}
		f.tenure.stopped[s.VM] = true
	}
	return nil
}

// announceStop announces to all daemons that the VM is leaving, and reports
// whether its grace period has ended.
func (f *fleetDuty) announceStop(s stop) bool {
	now := f.holder.Now()
	if _, ok := f.tenure.stopAt[s.VM]; !ok {
		f.tenure.stopAt[s.VM] = now + f.driver.StopGrace
		klog.InfoS("VM will be stopped after its grace period", "service", f.service, "vm", s.VM, "grace", f.driver.StopGrace)
	}
	remaining := f.tenure.stopAt[s.VM] - now
	f.driver.Directory.NoteRunnerLeaving(s.Address, max(remaining, 0))
	return remaining <= 0
}

func (f *fleetDuty) stop(ctx context.Context, s stop) error {
	ctx, cancel := context.WithTimeout(ctx, f.driver.Timing.MaxOrderLatency)
	defer cancel()
	token, ok := f.holder.Permit(true)
	if !ok {
		return &NotHeldError{Responsibility: f.holder.Name()}
	}
	err := f.driver.Cloud.Stop(ctx, s.VM, token)
	var gone *cloudapi.NotFoundError
	if err != nil && !errors.As(err, &gone) {
		return fmt.Errorf("stop VM %s: %w", s.VM, err)
	}
	f.driver.count("fleet.stopped")
	return nil
}
