package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/platform"
)

// slotLifetime is how long a start that the cloud has answered may be missing
// from the lagging list before its VM is taken for dead.
const slotLifetime = 10 * time.Minute

// fleetDuty holds one service's VMs at what the manifest asks for.
type fleetDuty struct {
	driver  *Driver
	service string
	holder  *holder
	planner *fleet.Planner
	ledger  *ledger
	tenure  uint64
	seen    map[string]platform.VM
	looked  time.Duration
}

func newFleetDuty(d *Driver, service string, h *holder) *fleetDuty {
	return &fleetDuty{driver: d, service: service, holder: h, planner: fleet.New(fleet.DefaultLimits()), seen: map[string]platform.VM{}}
}

func (f *fleetDuty) run(ctx context.Context, m *manifest.Manifest, held uint64) error {
	service := m.ServiceNamed(f.service)
	if service == nil {
		return nil
	}
	if err := f.open(ctx, held); err != nil {
		return err
	}
	err := f.round(ctx, m, service)
	var lost *LedgerLostError
	if errors.As(err, &lost) {
		f.ledger = nil
	}
	return err
}

func (f *fleetDuty) open(ctx context.Context, held uint64) error {
	if f.ledger != nil && f.tenure == held {
		return nil
	}
	l, err := openLedger(ctx, f.driver.Store, f.service, held)
	if err != nil {
		return err
	}
	f.ledger = l
	f.tenure = held
	return nil
}

func (f *fleetDuty) round(ctx context.Context, m *manifest.Manifest, service *manifest.Service) error {
	listed, err := f.list(ctx)
	if err != nil {
		return err
	}
	f.learn(listed)
	f.settle(listed)
	if err := f.finishStarts(ctx); err != nil {
		return err
	}
	if err := f.finishStops(ctx, listed); err != nil {
		return err
	}
	quotes, err := f.driver.Cloud.Quotes(ctx)
	if err != nil {
		return fmt.Errorf("quotes: %w", err)
	}
	wanted := fleet.Wanted{Runners: service.Runners, SurviveLoss: m.Fleet.SurviveDomainLoss, MaxCostPerHour: m.Fleet.MaxCostPerHour}
	decision := f.planner.Decide(f.holder.now(), wanted, offersFor(m, f.service, quotes), f.vms(listed))
	if err := f.begin(ctx, decision, listed); err != nil {
		return err
	}
	return f.finishStarts(ctx)
}

func (f *fleetDuty) list(ctx context.Context) (map[string]platform.VM, error) {
	all, err := f.driver.Lister.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	listed := map[string]platform.VM{}
	for _, vm := range all {
		if vm.Service == f.service {
			listed[vm.ID] = vm
		}
	}
	return listed, nil
}

// learn feeds the planner's hazard from VMs that began to leave unasked.
func (f *fleetDuty) learn(listed map[string]platform.VM) {
	now := f.holder.now()
	for id, vm := range listed {
		before, known := f.seen[id]
		pool := fleet.Pool{FailureDomain: vm.FailureDomain, Class: vm.Class}
		switch {
		case vm.State != platform.VMLeaving:
			f.planner.Exposed(now, pool, 1, now-f.looked)
		case known && before.State != platform.VMLeaving && !f.ledger.stopping(id):
			f.planner.Reclaimed(now, pool, 1)
		}
	}
	f.seen = listed
	f.looked = now
}

// settle drops slots whose VM the list shows or that were too long without,
// and stops whose VM the list no longer has.
func (f *fleetDuty) settle(listed map[string]platform.VM) {
	oldest := time.Now().Add(-slotLifetime).UnixMilli()
	f.ledger.state.Slots = slices.DeleteFunc(f.ledger.state.Slots, func(s slot) bool {
		_, ok := listed[s.VM]
		return ok || s.VM != "" && s.AddedUnixMS < oldest
	})
	f.ledger.state.Stops = slices.DeleteFunc(f.ledger.state.Stops, func(s stop) bool {
		_, ok := listed[s.VM]
		return s.Dispatched && !ok
	})
}

// vms joins the list with the starts that it does not show yet: without them a
// lagging list would make the planner start the same VMs again.
func (f *fleetDuty) vms(listed map[string]platform.VM) []fleet.VM {
	var out []fleet.VM
	for id, vm := range listed {
		out = append(out, fleet.VM{
			ID: id, Pool: fleet.Pool{FailureDomain: vm.FailureDomain, Class: vm.Class},
			Leaving:  vm.State == platform.VMLeaving || f.ledger.stopping(id),
			Starting: vm.State == platform.VMStarting,
		})
	}
	for _, s := range f.ledger.state.Slots {
		out = append(out, fleet.VM{Token: s.Token, Pool: s.Pool, Starting: true})
	}
	return out
}

func offersFor(m *manifest.Manifest, service string, quotes []platform.Quote) []fleet.Offer {
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

// begin writes the decision down before anybody is told of it.
func (f *fleetDuty) begin(ctx context.Context, d fleet.Decision, listed map[string]platform.VM) error {
	due := time.Now().Add(f.driver.StopGrace).UnixMilli()
	for _, id := range d.Stops {
		f.ledger.state.Stops = append(f.ledger.state.Stops, stop{VM: id, Address: listed[id].Address, DueUnixMS: due})
	}
	if len(d.Starts) > 0 {
		return f.ledger.addSlots(ctx, d.Starts, time.Now())
	}
	if len(d.Stops) > 0 {
		return f.ledger.write(ctx)
	}
	return nil
}

// finishStarts asks the cloud for every slot that has no answer yet. The token
// makes the call repeatable, also by a later holder.
func (f *fleetDuty) finishStarts(ctx context.Context) error {
	var refused []string
	for i := range f.ledger.state.Slots {
		s := &f.ledger.state.Slots[i]
		if s.VM != "" {
			continue
		}
		gone, err := f.startOne(ctx, s)
		if err != nil {
			return err
		}
		if gone {
			refused = append(refused, s.Token)
		}
	}
	if len(refused) == 0 {
		return nil
	}
	f.ledger.dropSlots(refused)
	return f.ledger.write(ctx)
}

func (f *fleetDuty) startOne(ctx context.Context, s *slot) (refused bool, err error) {
	token, ok := f.holder.permit(true)
	if !ok {
		return false, &NotHeldError{Responsibility: f.holder.name}
	}
	vm, err := f.driver.Cloud.Start(ctx, platform.StartRequest{
		Token: s.Token, Fencing: token, FailureDomain: s.Pool.FailureDomain, Class: s.Pool.Class, Service: f.service,
	})
	var no *platform.StartRefusedError
	if errors.As(err, &no) {
		f.driver.count("fleet.start_refused")
		f.planner.Refused(f.holder.now(), s.Pool)
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("start VM: %w", err)
	}
	f.driver.count("fleet.started")
	f.planner.Started(s.Pool)
	s.VM = vm.ID
	klog.InfoS("VM started", "service", f.service, "vm", vm.ID, "failureDomain", vm.FailureDomain, "class", vm.Class)
	return false, nil
}

// finishStops makes every planned stop a graceful shutdown: the runner is
// announced as leaving to all daemons first, and stopped when its grace is over.
func (f *fleetDuty) finishStops(ctx context.Context, listed map[string]platform.VM) error {
	now := time.Now().UnixMilli()
	for i := range f.ledger.state.Stops {
		s := &f.ledger.state.Stops[i]
		if _, ok := listed[s.VM]; !ok || s.Dispatched {
			continue
		}
		f.driver.Directory.NoteLeaving(s.Address, time.Duration(max(s.DueUnixMS-now, 0))*time.Millisecond)
		if now < s.DueUnixMS {
			continue
		}
		token, ok := f.holder.permit(true)
		if !ok {
			return &NotHeldError{Responsibility: f.holder.name}
		}
		if err := f.driver.Cloud.Stop(ctx, s.VM, token); err != nil {
			return fmt.Errorf("stop VM %s: %w", s.VM, err)
		}
		f.driver.count("fleet.stopped")
		s.Dispatched = true
	}
	return nil
}
