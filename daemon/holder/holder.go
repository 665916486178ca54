// Package holder runs a daemon's candidacy for a responsibility that one daemon at a time may
// hold, such as the calls to the cloud provider. The responsibility is held by a lease in the
// key-value service. The time from getting the lease to losing it is a tenure; each tenure has a
// fencing token that is greater than all earlier ones. The messages that only the holder may send
// are called orders. The package drives the state machine of package lease and makes the calls to
// the key-value service that the machine asks for.
package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// KeyPrefix is the prefix of the keys of responsibilities.
const KeyPrefix = "lease/"

// Options are the parameters of a candidacy.
type Options struct {
	// Name is the name of the responsibility. Self identifies this candidate; a holder writes it
	// as the value of the responsibility's key.
	Name   string
	Self   string
	Store  kv.Store
	Timing lease.Timing
	// Clock returns the time since a fixed moment; it never goes back.
	Clock func() time.Duration
	// Changed is called when a tenure begins or ends.
	Changed func(held bool, token uint64)
}

// Holder is a candidacy. It is safe for concurrent use, and doesn't hold its lock during calls
// to the service.
type Holder struct {
	opts Options

	mu      sync.Mutex
	machine *lease.Machine
}

// New returns a candidacy that doesn't hold the responsibility.
func New(opts Options) *Holder { return &Holder{opts: opts, machine: lease.New(opts.Timing)} }

// Name returns the name of the responsibility.
func (h *Holder) Name() string { return h.opts.Name }

// Now returns the time by the candidacy's clock.
func (h *Holder) Now() time.Duration { return h.opts.Clock() }

// Permit returns the fencing token if an order may be sent now. It must be called right before
// sending: the result is valid for a single order that takes no longer than Timing.MaxOrderLatency.
// checked says that the receiver of the order refuses outdated fencing tokens.
func (h *Holder) Permit(checked bool) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.machine.MayOrder(h.Now(), checked) {
		return 0, false
	}
	return h.machine.Token(), true
}

// Token returns the fencing token; zero while the responsibility isn't held.
func (h *Holder) Token() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Token()
}

// Idle reports whether this candidate neither holds the responsibility nor tries to get or give up
// the lease.
func (h *Holder) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.State() == lease.Idle || h.machine.State() == lease.Stopped
}

// Tick advances the candidacy to the present time and makes the calls that are due. candidate says
// whether this daemon should get or keep the responsibility.
func (h *Holder) Tick(ctx context.Context, candidate bool) {
	h.runEffects(ctx, h.step(func(now time.Duration) []lease.Effect { return h.machine.Tick(now, candidate) }))
}

// Stop gives the responsibility up.
func (h *Holder) Stop(ctx context.Context) {
	h.runEffects(ctx, h.step(h.machine.Stop))
}

func (h *Holder) runEffects(ctx context.Context, effects []lease.Effect) {
	for len(effects) > 0 {
		result := h.call(ctx, effects[0])
		more := h.step(func(now time.Duration) []lease.Effect { return h.machine.Step(now, result) })
		effects = append(effects[1:], more...)
	}
}

// step runs one step of the state machine and calls Changed if a tenure has begun or ended.
func (h *Holder) step(f func(now time.Duration) []lease.Effect) []lease.Effect {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.machine.State() == lease.Holding
	effects := f(h.Now())
	after := h.machine.State() == lease.Holding
	if before == after {
		return effects
	}
	h.opts.Changed(after, h.machine.Token())
	return effects
}

// call makes one call to the service, with a timeout: a call that hangs would keep the machine
// from renewing, and the lease would expire without need.
func (h *Holder) call(ctx context.Context, e lease.Effect) lease.Result {
	ctx, cancel := context.WithTimeout(ctx, h.opts.Timing.Renew/2)
	defer cancel()
	r := lease.Result{Attempt: e.Attempt, Outcome: lease.Done}
	id := kv.LeaseID(e.Lease)
	var err error
	switch e.Kind {
	case lease.Grant:
		var granted kv.LeaseID
		granted, err = h.opts.Store.Grant(ctx, h.opts.Timing.TTL)
		r.Lease = uint64(granted)
	case lease.Create:
		var revision kv.Revision
		revision, err = h.opts.Store.CompareAndSwap(ctx, KeyPrefix+h.opts.Name, 0, []byte(h.opts.Self), id)
		r.Revision = uint64(revision)
	case lease.ReadKey, lease.VerifyCreate:
		var entry kv.Entry
		entry, err = h.opts.Store.Get(ctx, KeyPrefix+h.opts.Name)
		r.Revision, r.FoundLease = uint64(entry.Revision), uint64(entry.Lease)
	case lease.Renew:
		err = h.opts.Store.KeepAlive(ctx, id)
	case lease.Revoke:
		err = h.opts.Store.Revoke(ctx, id)
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
