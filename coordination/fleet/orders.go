package fleet

import (
	"fmt"
	"slices"
	"time"
)

// Orders tracks the ordered number of VMs in each pool, for clouds that take a number per
// pool instead of single starts and stops and choose themselves which VM to stop. VMs that
// were ordered but are not present yet count as starting. VMs that were given back but are
// still present count as leaving. Each order counts only until its timeout, because an
// order may be lost or silently refused.
type Orders struct {
	pools map[Pool]*poolOrders
	// timeout is how long an order may take to take effect.
	timeout time.Duration
}

// poolOrders holds the pending orders of one pool, oldest first. The elements of
// startExpiries and stopExpiries are the times at which the orders of one VM expire.
type poolOrders struct {
	present       int
	startExpiries []time.Duration
	stopExpiries  []time.Duration
}

// NewOrders returns Orders without pools. An order that has no effect within timeout is
// dropped.
func NewOrders(timeout time.Duration) *Orders {
	return &Orders{pools: map[Pool]*poolOrders{}, timeout: timeout}
}

func (o *Orders) pool(id Pool) *poolOrders {
	p, ok := o.pools[id]
	if !ok {
		p = &poolOrders{}
		o.pools[id] = p
	}
	return p
}

// Sync sets how many VMs of each pool are present and not leaving. For each VM more or
// less than at the last call, the oldest pending start or stop is completed.
func (o *Orders) Sync(now time.Duration, present map[Pool]int) {
	for id := range present {
		o.pool(id)
	}
	for id, p := range o.pools {
		presentNow := present[id]
		p.startExpiries = dropCompleted(p.startExpiries, presentNow-p.present, now)
		p.stopExpiries = dropCompleted(p.stopExpiries, p.present-presentNow, now)
		p.present = presentNow
	}
}

// dropCompleted removes the oldest completed orders, which have taken effect, and the
// orders whose expiry time has passed.
func dropCompleted(expiries []time.Duration, completed int, now time.Duration) []time.Duration {
	expiries = expiries[min(max(completed, 0), len(expiries)):]
	return slices.DeleteFunc(expiries, func(until time.Duration) bool { return now >= until })
}

// RecordReclaims records that VMs of the pool got notice of a reclaim. Pending starts in
// the pool are dropped: those VMs won't come and would prevent orders in other pools.
func (o *Orders) RecordReclaims(id Pool) { o.pool(id).startExpiries = nil }

// VMs returns the present and the starting VMs for Planner.Decide. The IDs are made up and
// don't identify actual VMs.
func (o *Orders) VMs() []VM {
	var vms []VM
	for id, p := range o.pools {
		notStopping := max(0, p.present-len(p.stopExpiries))
		for i := range notStopping {
			vms = append(vms, VM{ID: fmt.Sprintf("%s/%s/%d", id.FailureDomain, id.Class, i), Pool: id})
		}
		for range p.startExpiries {
			vms = append(vms, VM{Pool: id, Starting: true})
		}
	}
	slices.SortFunc(vms, func(a, b VM) int { return compareByPoolAndID(&a, &b) })
	return vms
}

// Target returns the number of VMs of a pool that the cloud should run: those that are
// present and not given back, and those that are starting.
func (o *Orders) Target(id Pool) int {
	p := o.pool(id)
	return max(0, p.present-len(p.stopExpiries)) + len(p.startExpiries)
}

// Change orders more VMs of a pool if change is positive, or gives back -change VMs if
// change is negative.
func (o *Orders) Change(now time.Duration, id Pool, change int) {
	p := o.pool(id)
	for range max(change, 0) {
		p.startExpiries = append(p.startExpiries, now+o.timeout)
	}
	for range max(-change, 0) {
		p.stopExpiries = append(p.stopExpiries, now+o.timeout)
	}
}

// Undo reverts the newest orders of a pool, e.g. after a refusal. It drops the newest
// change starts if change is positive, and the newest -change stops if change is negative.
func (o *Orders) Undo(id Pool, change int) {
	p := o.pool(id)
	p.startExpiries = p.startExpiries[:max(0, len(p.startExpiries)-max(change, 0))]
	p.stopExpiries = p.stopExpiries[:max(0, len(p.stopExpiries)-max(-change, 0))]
}
