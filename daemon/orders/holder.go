package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	leasePrefix = "lease/"
	tickEvery   = 250 * time.Millisecond
)

// holder runs one candidacy: the lease machine against the key-value service.
// Its machine is guarded by mu; calls to the service are made without it.
type holder struct {
	name   string
	self   string
	store  kv.Store
	timing lease.Timing
	start  time.Time
	// count adds one to a counter.
	count func(name string)

	mu      sync.Mutex
	machine *lease.Machine
}

func newHolder(name, self string, store kv.Store, timing lease.Timing, start time.Time) *holder {
	return &holder{name: name, self: self, store: store, timing: timing, start: start, machine: lease.New(timing)}
}

func (h *holder) now() time.Duration { return time.Since(h.start) }

// permit returns the fencing token if an order may go out now. Ask right
// before sending: an answer is good for one order within Timing.MaxOrder.
func (h *holder) permit(checked bool) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.machine.MayOrder(h.now(), checked) {
		return 0, false
	}
	return h.machine.Token(), true
}

// token returns the fencing token; zero while nothing is held.
func (h *holder) token() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Token()
}

// idle tells that nothing is held and no call is under way.
func (h *holder) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.State() == lease.Idle || h.machine.State() == lease.Stopped
}

func (h *holder) tick(ctx context.Context, candidate bool) {
	h.perform(ctx, h.step(func(now time.Duration) []lease.Effect { return h.machine.Tick(now, candidate) }))
}

func (h *holder) stop(ctx context.Context) {
	h.perform(ctx, h.step(h.machine.Stop))
}

func (h *holder) perform(ctx context.Context, effects []lease.Effect) {
	for len(effects) > 0 {
		result := h.call(ctx, effects[0])
		more := h.step(func(now time.Duration) []lease.Effect { return h.machine.Step(now, result) })
		effects = append(effects[1:], more...)
	}
}

// step runs one step of the machine and tells of a tenure's begin or end.
func (h *holder) step(f func(now time.Duration) []lease.Effect) []lease.Effect {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.machine.State() == lease.Holding
	effects := f(h.now())
	after := h.machine.State() == lease.Holding
	if before == after {
		return effects
	}
	change := "ended"
	if after {
		change = "acquired"
	}
	h.count("orders.lease_" + change)
	klog.V(1).InfoS("Lease "+change, "responsibility", h.name, "token", h.machine.Token())
	return effects
}

// call bounds each call to the service: a call that hangs would keep the
// machine from renewing, and its lease would lapse for nothing.
func (h *holder) call(ctx context.Context, e lease.Effect) lease.Result {
	ctx, cancel := context.WithTimeout(ctx, h.timing.Renew/2)
	defer cancel()
	r := lease.Result{Attempt: e.Attempt, Outcome: lease.Done}
	id := kv.LeaseID(e.Lease)
	var err error
	switch e.Kind {
	case lease.Grant:
		var granted kv.LeaseID
		granted, err = h.store.Grant(ctx, h.timing.TTL)
		r.Lease = uint64(granted)
	case lease.Create:
		var revision kv.Revision
		revision, err = h.store.CompareAndSwap(ctx, leasePrefix+h.name, 0, []byte(h.self), id)
		r.Revision = uint64(revision)
	case lease.Look, lease.ReadBack:
		var entry kv.Entry
		entry, err = h.store.Get(ctx, leasePrefix+h.name)
		r.Revision, r.FoundLease = uint64(entry.Revision), uint64(entry.Lease)
	case lease.Renew:
		err = h.store.KeepAlive(ctx, id)
	case lease.Revoke:
		err = h.store.Revoke(ctx, id)
	}
	r.Outcome = outcomeOf(err)
	return r
}

func outcomeOf(err error) lease.Outcome {
	if err == nil {
		return lease.Done
	}
	var conflict *kv.ConflictError
	var expired *kv.LeaseExpiredError
	if errors.As(err, &conflict) || errors.As(err, &expired) {
		return lease.Refused
	}
	return lease.Lost
}
