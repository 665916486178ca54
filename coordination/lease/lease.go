// Package lease elects one daemon at a time as the holder of a responsibility: a task, such as the
// rollout of models, for which only one daemon at a time may send commands. The holder has created
// a key in the key-value service under a lease, and the key's revision is the fencing token on each
// of its orders. An order is a command that the holder sends to a runner or to the cloud provider.
//
// A holder that is paused past the end of its lease does not know that another daemon has taken
// over. Runners that check fencing tokens refuse its late orders. For runners that don't check,
// two waits ensure that the last order of the old holder arrives before the first order of the
// new one. First, MayOrder counts from when the last successful renewal was sent, so it returns
// false before the lease can expire at the service. Second, a new holder sends no order for
// Timing.Quarantine after it has acquired the key. This covers an order that the old holder had
// already decided on and sends after a pause of up to Timing.MaxPause. Longer pauses are safe
// only with runners that check.
//
// Machine does no I/O and reads no clock: times are offsets on a monotonic clock, and Tick and
// Step return the calls to make. It is not safe for concurrent use.
package lease

import "time"

// Timing holds the time bounds that the mutual exclusion depends on.
type Timing struct {
	// TTL is the duration of the lease at the key-value service.
	TTL time.Duration
	// Renew is the time between renewals. It must be a small part of TTL, so that a lost
	// renewal can be repeated in time.
	Renew time.Duration
	// MaxOrderLatency bounds the time from a true result of MayOrder to the arrival of the order
	// at its recipient, if the holder's process isn't paused meanwhile. The holder stops sending
	// orders this long before its lease can expire. Callers must enforce the bound with a
	// timeout on each order; otherwise an order could arrive after a new holder's first one.
	MaxOrderLatency time.Duration
	// MaxPause is the longest pause of the holder's process, between MayOrder and the sending
	// of the order, that is safe with runners that don't check fencing tokens. A new holder
	// waits this long plus MaxOrderLatency before it sends orders to such runners; see
	// Quarantine.
	MaxPause time.Duration
	// Drift is the largest difference between the rates of two clocks, as a fraction from 0 to 1.
	// 0.01 means that a clock may gain or lose a second in 100.
	Drift float64
	// RetryDelay is the delay after a failed call to the key-value service before the next call.
	RetryDelay time.Duration
	// ReadKey is the time between reads of the key by a daemon that waits to become the holder.
	ReadKey time.Duration
}

// DefaultTiming suits a key-value service that answers within milliseconds.
func DefaultTiming() Timing {
	return Timing{
		TTL:             9 * time.Second,
		Renew:           3 * time.Second,
		MaxOrderLatency: 2 * time.Second,
		MaxPause:        20 * time.Second,
		Drift:           0.01,
		RetryDelay:      time.Second,
		ReadKey:         2 * time.Second,
	}
}

// Quarantine returns how long a new holder must wait before its first order to runners that
// don't check fencing tokens.
func (t Timing) Quarantine() time.Duration {
	return withDrift(t.MaxPause+t.MaxOrderLatency, t.Drift)
}

// MaxTakeover returns the longest time from the end of a holder to its successor's first order
// to runners that don't check fencing tokens, not counting the calls to the key-value service.
func (t Timing) MaxTakeover() time.Duration {
	return withDrift(t.TTL, t.Drift) + max(t.ReadKey, t.RetryDelay) + t.Quarantine()
}

func withDrift(d time.Duration, drift float64) time.Duration {
	return d + time.Duration(float64(d)*drift)
}

// renewalUsableFor returns how long after sending a successful renewal the holder may still send
// orders. An order sent up to then arrives before the lease expires, even if the holder's clock is
// slow by Drift.
func (t Timing) renewalUsableFor() time.Duration {
	return t.TTL - time.Duration(float64(t.TTL)*t.Drift) - t.MaxOrderLatency
}

// Kind is the call that an Effect asks for.
type Kind int

// Calls to the key-value service, in the order in which a daemon makes them. A daemon makes
// the calls from ReadKey to VerifyCreate before it becomes the holder, and Renew as the holder.
const (
	// ReadKey reads the key. A standby writes nothing while another daemon holds the key,
	// because the service handles far fewer writes than reads and there are two standbys per
	// holder.
	ReadKey Kind = iota + 1
	// Grant requests a lease of Timing.TTL.
	Grant
	// Create creates the responsibility's key under the lease if the key is absent.
	Create
	// VerifyCreate reads the key after a Create whose answer was lost.
	VerifyCreate
	// Renew renews the lease.
	Renew
	// Revoke revokes the lease at a graceful shutdown or after another daemon has created the
	// key first.
	Revoke
)

// Effect is a call to make. At most one call that has a Result is outstanding at a time.
type Effect struct {
	Kind  Kind
	Lease uint64
	// Attempt is the number of the call. The caller copies it into the Result, so that Step can
	// ignore results of earlier calls.
	Attempt uint64
}

// Outcome is the outcome of a call.
type Outcome int

// Outcomes of a call.
const (
	// Done means that the call took effect.
	Done Outcome = iota + 1
	// Refused means that the call did not take effect: the key exists or the lease is over.
	Refused
	// Lost means that it is unknown whether the call took effect.
	Lost
)

// Result is the result of a call.
type Result struct {
	Attempt uint64
	Outcome Outcome
	// Lease is the lease that Grant returned.
	Lease uint64
	// Revision is the revision of the key that Create created or VerifyCreate found.
	Revision uint64
	// FoundLease is the lease of the key that ReadKey or VerifyCreate found; zero if there is
	// no key.
	FoundLease uint64
}

// State is the state of a Machine.
type State int

// States of a Machine.
const (
	// Idle holds nothing and reads the key again later.
	Idle State = iota
	// Acquiring has a ReadKey, Grant, Create or VerifyCreate call outstanding.
	Acquiring
	// Holding holds the key.
	Holding
	// Stopped will never try again.
	Stopped
)

// Machine is the state machine by which one daemon competes for one responsibility. callSentAt is
// when the pending call was sent, renewedAt when the last successful Grant or Renew was sent.
type Machine struct {
	timing Timing
	state  State
	// pending is the outstanding call; its Kind is zero if there is none.
	pending      Effect
	callSentAt   time.Duration
	lastAttempt  uint64
	lease        uint64
	fencingToken uint64
	renewedAt    time.Duration
	heldSince    time.Duration
	nextCallAt   time.Duration
	stopping     bool
}

// New returns a Machine that holds nothing.
func New(t Timing) *Machine { return &Machine{timing: t} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Token returns the fencing token for orders; zero if the responsibility is not held.
func (m *Machine) Token() uint64 {
	if m.state != Holding {
		return 0
	}
	return m.fencingToken
}

// MayOrder reports whether an order may be sent at time now. checked says that the runner
// refuses orders with old fencing tokens.
func (m *Machine) MayOrder(now time.Duration, checked bool) bool {
	if m.state != Holding || m.stopping {
		return false
	}
	if now >= m.renewedAt+m.timing.renewalUsableFor() {
		return false
	}
	return checked || now >= m.heldSince+m.timing.Quarantine()
}

// Tick advances the time and returns the call that is due. candidate says whether this daemon
// should try to hold the responsibility.
func (m *Machine) Tick(now time.Duration, candidate bool) []Effect {
	m.expire(now)
	if m.pending.Kind != 0 || now < m.nextCallAt {
		return nil
	}
	switch {
	case m.state == Holding && (m.stopping || !candidate):
		return m.release(now)
	case m.state == Holding && now >= m.renewedAt+m.timing.Renew:
		return m.call(now, Renew)
	case m.state == Idle && candidate && !m.stopping:
		m.state = Acquiring
		return m.call(now, ReadKey)
	}
	return nil
}

// expire makes a holder give up the responsibility once its lease has expired by its own clock. The
// key-value service may have been unreachable since the last renewal, and another daemon may hold
// the key by now.
func (m *Machine) expire(now time.Duration) {
	if m.state == Holding && now >= m.renewedAt+m.timing.TTL {
		m.reset(now)
	}
}

// reset gives up the responsibility, or the attempt to acquire it, without a call to the service.
func (m *Machine) reset(now time.Duration) {
	m.state = Idle
	if m.stopping {
		m.state = Stopped
	}
	m.pending = Effect{}
	m.lease = 0
	m.fencingToken = 0
	m.nextCallAt = now + m.timing.RetryDelay
}

func (m *Machine) call(now time.Duration, k Kind) []Effect {
	m.lastAttempt++
	m.pending = Effect{Kind: k, Lease: m.lease, Attempt: m.lastAttempt}
	m.callSentAt = now
	return []Effect{m.pending}
}

func (m *Machine) release(now time.Duration) []Effect {
	lease := m.lease
	m.reset(now)
	m.lastAttempt++
	// The answer is not awaited: if the call is lost, the lease expires by itself.
	return []Effect{{Kind: Revoke, Lease: lease, Attempt: m.lastAttempt}}
}

// Stop begins a graceful shutdown. It allows no more orders and revokes the lease at once, so
// that the next holder need not wait for the lease to expire.
func (m *Machine) Stop(now time.Duration) []Effect {
	m.stopping = true
	if m.state == Holding {
		return m.release(now)
	}
	if m.state == Idle {
		m.state = Stopped
	}
	return nil
}

// Step processes the result of a call and returns the next call. It ignores the result of a
// call that is no longer outstanding, as can happen after a pause.
func (m *Machine) Step(now time.Duration, r Result) []Effect {
	m.expire(now)
	if m.pending.Kind == 0 || r.Attempt != m.pending.Attempt {
		return nil
	}
	kind := m.pending.Kind
	m.pending = Effect{}
	switch kind {
	case ReadKey:
		return m.handleReadKey(now, r)
	case Grant:
		return m.handleGrant(now, r)
	case Create:
		return m.handleCreate(now, r)
	case VerifyCreate:
		return m.handleVerifyCreate(now, r)
	case Renew:
		return m.handleRenew(now, r)
	}
	return nil
}

func (m *Machine) handleReadKey(now time.Duration, r Result) []Effect {
	if r.Outcome != Done || m.stopping {
		m.reset(now)
		return nil
	}
	if r.FoundLease != 0 {
		m.reset(now)
		m.nextCallAt = now + m.timing.ReadKey
		return nil
	}
	return m.call(now, Grant)
}

func (m *Machine) handleGrant(now time.Duration, r Result) []Effect {
	if r.Outcome != Done || m.stopping {
		m.reset(now)
		return nil
	}
	m.lease = r.Lease
	// The service may have started the lease as early as when the request was sent.
	m.renewedAt = m.callSentAt
	return m.call(now, Create)
}

func (m *Machine) handleCreate(now time.Duration, r Result) []Effect {
	switch r.Outcome {
	case Done:
		m.acquire(now, r.Revision)
		return nil
	case Lost:
		return m.call(now, VerifyCreate)
	}
	return m.release(now)
}

// handleVerifyCreate resolves a Create whose answer was lost. The key has this daemon's lease
// only if the Create took effect, because no other daemon has ever used that lease.
func (m *Machine) handleVerifyCreate(now time.Duration, r Result) []Effect {
	if r.Outcome == Done && r.FoundLease == m.lease {
		m.acquire(now, r.Revision)
		return nil
	}
	return m.release(now)
}

func (m *Machine) acquire(now time.Duration, revision uint64) {
	if m.stopping || now >= m.renewedAt+m.timing.TTL {
		m.reset(now)
		return
	}
	m.state = Holding
	m.fencingToken = revision
	m.heldSince = now
}

func (m *Machine) handleRenew(now time.Duration, r Result) []Effect {
	switch r.Outcome {
	case Done:
		m.renewedAt = m.callSentAt
	case Refused:
		m.reset(now)
	case Lost:
		m.nextCallAt = now + m.timing.RetryDelay
	}
	return nil
}
