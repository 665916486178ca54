// Package lease decides who may give orders. One daemon at a time holds a
// responsibility: it has created a key of the key-value service under a lease,
// and the key's revision is the fencing token on each of its orders.
//
// A holder that is paused past its lease does not know that another has taken
// over. Runners that check fencing tokens refuse its late orders. For those
// that don't, two waits keep its last order before the next holder's first:
// MayOrder counts from when the last successful renewal was sent, so it turns
// false before the service can let the lease lapse; and a new holder orders
// nothing for Timing.Quarantine after it has acquired, which covers an order
// that the old one had already decided on and sends after a pause of up to
// Timing.MaxPause. Longer pauses than that need runners that check.
//
// The machine does no I/O and reads no clock: times are monotonic offsets, and
// each Step returns what to do. It is not safe for concurrent use.
package lease

import "time"

// Timing holds the bounds that the guard rests on.
type Timing struct {
	// TTL is the lease's length at the key-value service.
	TTL time.Duration
	// Renew is the time between renewals; several fit into TTL.
	Renew time.Duration
	// MaxOrder bounds one order from the decision to its last byte's arrival.
	MaxOrder time.Duration
	// MaxPause bounds a process's pause that non-checking runners survive.
	MaxPause time.Duration
	// Drift is the share by which clocks may run apart, 0 to 1.
	Drift float64
	// Retry is the wait after a failed call.
	Retry time.Duration
	// ReadKey is the time between a standby's reads of the key.
	ReadKey time.Duration
}

// DefaultTiming suits a key-value service that answers in milliseconds.
func DefaultTiming() Timing {
	return Timing{
		TTL:      9 * time.Second,
		Renew:    3 * time.Second,
		MaxOrder: 2 * time.Second,
		MaxPause: 20 * time.Second,
		Drift:    0.01,
		Retry:    time.Second,
		ReadKey:  2 * time.Second,
	}
}

// Quarantine is how long a new holder waits before its first order to runners
// that don't check fencing tokens.
func (t Timing) Quarantine() time.Duration {
	return withDrift(t.MaxPause+t.MaxOrder, t.Drift)
}

// MaxTakeover bounds the time from a holder's death to its successor's first order
// to runners that don't check fencing tokens, without the time of the calls.
func (t Timing) MaxTakeover() time.Duration {
	return withDrift(t.TTL, t.Drift) + max(t.ReadKey, t.Retry) + t.Quarantine()
}

func withDrift(d time.Duration, drift float64) time.Duration {
	return d + time.Duration(float64(d)*drift)
}

// usableFor is how long after sending a renewal the holder may rely on it.
func (t Timing) usableFor() time.Duration {
	return t.TTL - time.Duration(float64(t.TTL)*t.Drift) - t.MaxOrder
}

// Kind tells what an Effect asks for or a Result reports.
type Kind int

// Calls to the key-value service, in the order of a holder's life.
const (
	// ReadKey reads the key. A standby writes nothing while another holds it: the
	// service takes far fewer writes than reads, and there are two standbys to
	// each holder.
	ReadKey Kind = iota + 1
	// Grant a lease of Timing.TTL.
	Grant
	// Create the responsibility's key under the lease, if absent.
	Create
	// VerifyCreate reads the key after a Create whose answer was lost.
	VerifyCreate
	// Renew the lease.
	Renew
	// Revoke the lease, at a graceful shutdown or after losing the race.
	Revoke
)

// Effect is a call to make. At most one is outstanding at a time.
type Effect struct {
	Kind  Kind
	Lease uint64
	// Attempt must come back in the Result.
	Attempt uint64
}

// Outcome is how a call ended.
type Outcome int

// Outcomes of a call.
const (
	// Done took effect.
	Done Outcome = iota + 1
	// Refused did not: the key stands already, or the lease is over.
	Refused
	// Lost may or may not have taken effect.
	Lost
)

// Result reports the end of a call.
type Result struct {
	Attempt uint64
	Outcome Outcome
	// Lease is the granted one.
	Lease uint64
	// Revision of the key that was created, or that ReadBack found.
	Revision uint64
	// FoundLease is the lease that Look or ReadBack found on the key; zero if
	// there is no key.
	FoundLease uint64
}

// State is where the machine stands.
type State int

// States of a candidate.
const (
	// Idle holds nothing and asks again later.
	Idle State = iota
	// Acquiring has a call of Look, Grant, Create or ReadBack outstanding.
	Acquiring
	// Holding has the key.
	Holding
	// Stopped has given up for good.
	Stopped
)

// Machine is one daemon's candidacy for one responsibility.
type Machine struct {
	timing Timing
	state  State
	// pending is the outstanding call; zero Kind is none.
	pending   Effect
	sentAt    time.Duration
	attempts  uint64
	lease     uint64
	token     uint64
	renewedAt time.Duration
	heldSince time.Duration
	nextCall  time.Duration
	stopping  bool
}

// New returns a candidate that holds nothing.
func New(t Timing) *Machine { return &Machine{timing: t} }

// State tells where the candidate stands.
func (m *Machine) State() State { return m.state }

// Token returns the fencing token for orders; zero if nothing is held.
func (m *Machine) Token() uint64 {
	if m.state != Holding {
		return 0
	}
	return m.token
}

// MayOrder tells whether an order may be sent at now. checked says that the
// runner refuses old fencing tokens.
func (m *Machine) MayOrder(now time.Duration, checked bool) bool {
	if m.state != Holding || m.stopping {
		return false
	}
	if now >= m.renewedAt+m.timing.usableFor() {
		return false
	}
	return checked || now >= m.heldSince+m.timing.Quarantine()
}

// Tick moves time on. candidate says whether this daemon should try to hold
// the responsibility at all.
func (m *Machine) Tick(now time.Duration, candidate bool) []Effect {
	m.expire(now)
	if m.pending.Kind != 0 || now < m.nextCall {
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

// expire gives the responsibility up by the holder's own clock. The service may
// have been unreachable for all of the lease; another may hold it by now.
func (m *Machine) expire(now time.Duration) {
	if m.state == Holding && now >= m.renewedAt+m.timing.TTL {
		m.reset(now)
	}
}

func (m *Machine) reset(now time.Duration) {
	m.state = Idle
	if m.stopping {
		m.state = Stopped
	}
	m.pending = Effect{}
	m.lease = 0
	m.token = 0
	m.nextCall = now + m.timing.Retry
}

func (m *Machine) call(now time.Duration, k Kind) []Effect {
	m.attempts++
	m.pending = Effect{Kind: k, Lease: m.lease, Attempt: m.attempts}
	m.sentAt = now
	return []Effect{m.pending}
}

func (m *Machine) release(now time.Duration) []Effect {
	lease := m.lease
	m.reset(now)
	m.attempts++
	// The answer is not waited for: the lease lapses by itself if it is lost.
	return []Effect{{Kind: Revoke, Lease: lease, Attempt: m.attempts}}
}

// Stop begins a graceful shutdown: no order from now on, and the key is given
// back at once so that the next holder need not wait for the lease to lapse.
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

// Step takes the result of a call. A result of a call that is no longer
// outstanding, as after a pause, is passed over.
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
		m.nextCall = now + m.timing.ReadKey
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
	// The lease runs from when it was asked for at the latest.
	m.renewedAt = m.sentAt
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

// handleVerifyCreate settles a Create whose answer was lost: the key stands under this
// candidate's own lease, which no other ever had, only if it took effect.
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
	m.token = revision
	m.heldSince = now
}

func (m *Machine) handleRenew(now time.Duration, r Result) []Effect {
	switch r.Outcome {
	case Done:
		m.renewedAt = m.sentAt
	case Refused:
		m.reset(now)
	case Lost:
		m.nextCall = now + m.timing.Retry
	}
	return nil
}
