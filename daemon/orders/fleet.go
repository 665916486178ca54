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

// slotLifetime is how long a start that the cloud has answered may be missing
// from the lagging list before its VM is taken for dead.
const slotLifetime = 10 * time.Minute

// fleetDuty holds one service's VMs at what the manifest asks for.
type fleetDuty struct {
	driver  *Driver
	service string
	holder  *holder.Holder
	planner *fleet.Planner
	tenure  *fleetTenure
}

// fleetTenure is what the holder knows since it has acquired the lease. Times
// are the holder's own monotonic ones; another daemon's clock may be off.
type fleetTenure struct {
	held   uint64
	ledger *ledger
	seen   map[string]cloudapi.VM
	looked time.Duration
	// answered is when each slot was first known to have its VM.
	answered map[string]time.Duration
	// due is when each announced VM may be stopped.
	due     map[string]time.Duration
	stopped map[string]bool
	last    fleetLook
}

// fleetLook is what the last look at the fleet was about.
type fleetLook struct {
	at      time.Duration
	service manifest.Service
	fleet   manifest.Fleet
	runners []view.Runner
	// settled says that it found nothing to change and nothing under way.
	settled bool
}

func newFleetDuty(d *Driver, service string, h *holder.Holder) *fleetDuty {
	return &fleetDuty{driver: d, service: service, holder: h, planner: fleet.New(fleet.DefaultLimits())}
}

func (f *fleetDuty) run(ctx context.Context, m *manifest.Manifest, held uint64) error {
	service := m.ServiceNamed(f.service)
	if service == nil {
		return nil
	}
	if err := f.open(ctx, held); err != nil {
		return err
	}
	l := fleetLook{at: f.holder.Now(), service: *service, fleet: m.Fleet, runners: f.driver.Directory.Runners(f.service)}
	if !f.due(l) {
		return nil
	}
	idle, err := f.round(ctx, m, service, l.runners)
	l.settled = idle && f.tenure.ledger.empty()
	f.tenure.last = l
	var lost *LedgerLostError
	if errors.As(err, &lost) {
		f.tenure = nil
	}
	return err
}

// due tells whether a look is needed. Of a settled fleet, a changed manifest or
// runner is seen at once, and anything else within settledEvery: the list of a
// large fleet is megabytes.
func (f *fleetDuty) due(l fleetLook) bool {
	last := &f.tenure.last
	if !last.settled || l.at >= last.at+settledEvery {
		return true
	}
	return !reflect.DeepEqual(l.service, last.service) || !reflect.DeepEqual(l.fleet, last.fleet) ||
		!slices.Equal(l.runners, last.runners)
}

func (f *fleetDuty) open(ctx context.Context, held uint64) error {
	if f.tenure != nil && f.tenure.held == held {
		return nil
	}
	l, err := openLedger(ctx, f.driver.Store, f.service, held)
	if err != nil {
		return err
	}
	f.tenure = &fleetTenure{
		held: held, ledger: l, seen: map[string]cloudapi.VM{}, looked: f.holder.Now(),
		answered: map[string]time.Duration{}, due: map[string]time.Duration{}, stopped: map[string]bool{},
	}
	return nil
}

// round mends what an earlier round or holder left open, decides, writes the
// decision down and carries it out. It is idle if there was nothing to decide.
func (f *fleetDuty) round(ctx context.Context, m *manifest.Manifest, service *manifest.Service, runners []view.Runner) (idle bool, err error) {
	listed, err := f.list(ctx)
	if err != nil {
		return false, err
	}
	f.learn(listed)
	f.settle(listed)
	if err := f.finish(ctx, listed); err != nil {
		return false, err
	}
	quotes, err := f.driver.Cloud.Quotes(ctx)
	if err != nil {
		return false, fmt.Errorf("quotes: %w", err)
	}
	wanted := fleet.Target{
		Runners: service.Runners, SurviveLoss: m.Fleet.SurviveDomainLoss, MaxCostPerHour: costShare(m, f.service),
	}
	d := f.planner.Decide(f.holder.Now(), wanted, offersFor(m, f.service, quotes), f.vms(listed, runners))
	f.note(d, listed)
	idle = len(d.Starts) == 0 && len(d.Stops) == 0 && d.Shortfall == 0
	return idle, f.finish(ctx, listed)
}

func (f *fleetDuty) list(ctx context.Context) (map[string]cloudapi.VM, error) {
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

// learn feeds the planner's hazard from VMs that began to leave unasked.
func (f *fleetDuty) learn(listed map[string]cloudapi.VM) {
	now := f.holder.Now()
	for id, vm := range listed {
		before, known := f.tenure.seen[id]
		pool := fleet.Pool{FailureDomain: vm.FailureDomain, Class: vm.Class}
		switch {
		case vm.State != cloudapi.VMLeaving:
			f.planner.RecordExposure(now, pool, 1, now-f.tenure.looked)
		case known && before.State != cloudapi.VMLeaving && !f.tenure.ledger.stopping(id):
			f.planner.RecordReclaims(now, pool, 1)
		}
	}
	f.tenure.seen = listed
	f.tenure.looked = now
}

// settle drops slots whose VM the list shows or that were too long without, and
// stops whose VM the list no longer has.
func (f *fleetDuty) settle(listed map[string]cloudapi.VM) {
	now := f.holder.Now()
	state := &f.tenure.ledger.state
	state.Slots = slices.DeleteFunc(state.Slots, func(s slot) bool {
		if s.VM == "" {
			return false
		}
		if _, ok := f.tenure.answered[s.Token]; !ok {
			f.tenure.answered[s.Token] = now
		}
		_, ok := listed[s.VM]
		return ok || now >= f.tenure.answered[s.Token]+slotLifetime
	})
	state.Stops = slices.DeleteFunc(state.Stops, func(s stop) bool {
		_, ok := listed[s.VM]
		return !ok
	})
}

// vms joins the list with the starts that it does not show yet: without them a
// lagging list would make the planner start the same VMs again. A notice is
// known to the directory before the list has it.
func (f *fleetDuty) vms(listed map[string]cloudapi.VM, runners []view.Runner) []fleet.VM {
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
			Leaving:  vm.State == cloudapi.VMLeaving || leaving[vm.Address] || f.tenure.ledger.stopping(id),
			Starting: vm.State == cloudapi.VMStarting,
		})
	}
	for _, s := range f.tenure.ledger.state.Slots {
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

// costShare is the service's part of the manifest's cost bound, by what its
// runners cost at list prices: each service's fleet is planned by itself, and
// all of them together must stay under the bound.
func costShare(m *manifest.Manifest, service string) float64 {
	own, all := 0.0, 0.0
	for i := range m.Services {
		s := &m.Services[i]
		cost := float64(s.Runners) * cheapestClass(m, s.Name)
		all += cost
		if s.Name == service {
			own = cost
		}
	}
	if all == 0 {
		return 0
	}
	return m.Fleet.MaxCostPerHour * own / all
}

func cheapestClass(m *manifest.Manifest, service string) float64 {
	price := 0.0
	for _, o := range offersFor(m, service, nil) {
		if price == 0 || o.PricePerHour < price {
			price = o.PricePerHour
		}
	}
	return price
}

// note enters a decision in the ledger. finish saves it before it acts.
func (f *fleetDuty) note(d fleet.Decision, listed map[string]cloudapi.VM) {
	for _, id := range d.Stops {
		f.tenure.ledger.state.Stops = append(f.tenure.ledger.state.Stops, stop{VM: id, Address: listed[id].Address})
	}
	f.tenure.ledger.addSlots(d.Starts)
}

// finish carries out what stands in the ledger. It is saved first, so that the
// next holder knows of every call that may have been made, and again with what
// the cloud answered.
func (f *fleetDuty) finish(ctx context.Context, listed map[string]cloudapi.VM) error {
	if err := f.tenure.ledger.save(ctx); err != nil {
		return err
	}
	if err := f.finishStarts(ctx); err != nil {
		return err
	}
	if err := f.finishStops(ctx, listed); err != nil {
		return err
	}
	return f.tenure.ledger.save(ctx)
}

// finishStarts asks the cloud for every slot that has no answer yet. The token
// makes the call repeatable, also by a later holder. A slot whose answer was
// lost stays, and the others go on.
func (f *fleetDuty) finishStarts(ctx context.Context) error {
	slots := f.tenure.ledger.state.Slots
	results := f.startAll(ctx, slots)
	var over []string
	var ended error
	for i := range slots {
		s := &slots[i]
		err := results[i].err
		switch {
		case endsRound(err):
			ended = err
		case f.isOver(s, err):
			over = append(over, s.Token)
		case err != nil:
			f.driver.failed(f.holder.Name(), err)
		case s.VM == "":
			f.planner.RecordStart(s.Pool)
			s.VM = results[i].vm.ID
		}
	}
	f.tenure.ledger.dropSlots(over)
	return ended
}

// startResult is empty for a slot that has its VM.
type startResult struct {
	vm  cloudapi.VM
	err error
}

func (f *fleetDuty) startAll(ctx context.Context, slots []slot) []startResult {
	results := make([]startResult, len(slots))
	var g errgroup.Group
	g.SetLimit(orderParallelism)
	for i, s := range slots {
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

// isOver tells that a start's token has no VM and never will: it was refused,
// or the VM that it had started is gone again.
func (f *fleetDuty) isOver(s *slot, err error) bool {
	var refused *cloudapi.StartRefusedError
	if errors.As(err, &refused) {
		f.driver.count("fleet.start_refused")
		f.planner.RecordRefusal(f.holder.Now(), s.Pool)
		return true
	}
	var gone *cloudapi.NotFoundError
	return errors.As(err, &gone)
}

// endsRound tells that this daemon is not, or no longer, the one to give orders.
func endsRound(err error) bool {
	var notHeld *NotHeldError
	var stale *cloudapi.StaleFencingError
	return errors.As(err, &notHeld) || errors.As(err, &stale)
}

func (f *fleetDuty) start(ctx context.Context, s slot) (cloudapi.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, f.driver.Timing.MaxOrder)
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

// finishStops makes every planned stop a graceful shutdown: the runner is
// announced as leaving to all daemons first, and stopped when its grace is over.
func (f *fleetDuty) finishStops(ctx context.Context, listed map[string]cloudapi.VM) error {
	for _, s := range f.tenure.ledger.state.Stops {
		if _, ok := listed[s.VM]; !ok || f.tenure.stopped[s.VM] || !f.announce(s) {
			continue
		}
		err := f.stop(ctx, s)
		if endsRound(err) {
			return err
		}
		if err != nil {
			f.driver.failed(f.holder.Name(), err)
			continue
		}
		f.tenure.stopped[s.VM] = true
	}
	return nil
}

// announce tells all daemons that the VM leaves, and reports whether its grace
// is over.
func (f *fleetDuty) announce(s stop) bool {
	now := f.holder.Now()
	if _, ok := f.tenure.due[s.VM]; !ok {
		f.tenure.due[s.VM] = now + f.driver.StopGrace
		klog.InfoS("VM is going to be stopped", "service", f.service, "vm", s.VM, "grace", f.driver.StopGrace)
	}
	left := f.tenure.due[s.VM] - now
	f.driver.Directory.NoteLeaving(s.Address, max(left, 0))
	return left <= 0
}

func (f *fleetDuty) stop(ctx context.Context, s stop) error {
	ctx, cancel := context.WithTimeout(ctx, f.driver.Timing.MaxOrder)
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
