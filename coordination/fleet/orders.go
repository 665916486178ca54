package fleet

import (
	"fmt"
	"slices"
	"time"
)

// Orders keeps the numbers of VMs that were ordered where a cloud takes a number
// for each pool instead of single starts and stops, and chooses itself which VM
// goes. What was ordered and is not there yet counts as starting, what was given
// back and is still there as leaving, each for a while only: an order may be
// lost or refused without a word.
type Orders struct {
	pools map[Pool]*poolOrders
	// timeout is how long an order may take to show.
	timeout time.Duration
}

type poolOrders struct {
	present  int
	starting []time.Duration
	stopping []time.Duration
}

// NewOrders returns orders that forget what has not shown after patience.
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

// Sync takes in how many VMs of each pool are there and not leaving.
func (o *Orders) Sync(now time.Duration, present map[Pool]int) {
	for id := range present {
		o.pool(id)
	}
	for id, p := range o.pools {
		n := present[id]
		p.starting = dropCompleted(p.starting, n-p.present, now)
		p.stopping = dropCompleted(p.stopping, p.present-n, now)
		p.present = n
	}
}

// dropCompleted drops the n oldest orders, which have dropCompleted, and those that are over.
func dropCompleted(orders []time.Duration, n int, now time.Duration) []time.Duration {
	orders = orders[min(max(n, 0), len(orders)):]
	return slices.DeleteFunc(orders, func(until time.Duration) bool { return now >= until })
}

// RecordReclaims tells that the pool's VMs have been given notice. Those of it that were
// still to come won't, and would stand in for others that could be ordered.
func (o *Orders) RecordReclaims(id Pool) { o.pool(id).starting = nil }

// VMs lists what is there and what is on its way, for Planner.Decide. The names
// stand for numbers and say nothing of which VM it is.
func (o *Orders) VMs() []VM {
	var vms []VM
	for id, p := range o.pools {
		serving := max(0, p.present-len(p.stopping))
		for i := range serving {
			vms = append(vms, VM{ID: fmt.Sprintf("%s/%s/%d", id.FailureDomain, id.Class, i), Pool: id})
		}
		for range p.starting {
			vms = append(vms, VM{Pool: id, Starting: true})
		}
	}
	slices.SortFunc(vms, func(a, b VM) int { return compareVMs(&a, &b) })
	return vms
}

// Target is the number to order of a pool.
func (o *Orders) Target(id Pool) int {
	p := o.pool(id)
	return max(0, p.present-len(p.stopping)) + len(p.starting)
}

// Change orders n more of a pool, or fewer if n is negative.
func (o *Orders) Change(now time.Duration, id Pool, n int) {
	p := o.pool(id)
	for range max(n, 0) {
		p.starting = append(p.starting, now+o.timeout)
	}
	for range max(-n, 0) {
		p.stopping = append(p.stopping, now+o.timeout)
	}
}

// Undo takes the last Change of the pool back, as after a refusal.
func (o *Orders) Undo(id Pool, n int) {
	p := o.pool(id)
	p.starting = p.starting[:max(0, len(p.starting)-max(n, 0))]
	p.stopping = p.stopping[:max(0, len(p.stopping)-max(-n, 0))]
}
