package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/lease"
)

// store simulates the key-value service: one key under a lease that expires. lastLease is the lease
// granted last, keyLease the lease of the key (zero if there is no key).
type store struct {
	lastLease uint64
	keyLease  uint64
	expires   time.Duration
	revision  uint64
}

func (s *store) execute(now time.Duration, e lease.Effect, ttl time.Duration) lease.Result {
	if s.keyLease != 0 && now >= s.expires {
		s.keyLease = 0
	}
	r := lease.Result{Attempt: e.Attempt, Outcome: lease.Done}
	switch e.Kind {
	case lease.Grant:
		s.lastLease++
		r.Lease = s.lastLease
	case lease.Create:
		if s.keyLease != 0 {
			r.Outcome = lease.Refused
			return r
		}
		s.revision++
		s.keyLease, s.expires, r.Revision = e.Lease, now+ttl, s.revision
	case lease.ReadKey, lease.VerifyCreate:
		r.FoundLease, r.Revision = s.keyLease, s.revision
	case lease.Renew:
		if s.keyLease != e.Lease {
			r.Outcome = lease.Refused
			return r
		}
		s.expires = now + ttl
	case lease.Revoke:
		if s.keyLease == e.Lease {
			s.keyLease = 0
		}
	}
	return r
}

// order is an order that was sent with a fencing token, and the time at which it reaches the runner.
type order struct {
	token   uint64
	arrival time.Duration
}

// candidate is one daemon with its Machine. pendingToken is the token of an order that the
// daemon had decided on when its pause began.
type candidate struct {
	m            *lease.Machine
	pausedUntil  time.Duration
	pendingToken uint64
}

const step = 100 * time.Millisecond

// simulation runs the candidates for one responsibility. Without quarantine, they send orders as if
// the runner checked fencing tokens.
type simulation struct {
	rng        *rand.Rand
	timing     lease.Timing
	store      store
	candidates []*candidate
	orders     []order
	quarantine bool
}

// effects executes calls of a candidate and the calls that follow from their results. Some of the
// answers are lost.
func (r *simulation) effects(now time.Duration, c *candidate, effects []lease.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		result := r.store.execute(now, e, r.timing.TTL)
		if r.rng.IntN(20) == 0 {
			result = lease.Result{Attempt: e.Attempt, Outcome: lease.Lost}
		}
		effects = append(effects, c.m.Step(now, result)...)
	}
}

// stepCandidate lets a daemon send an order, or pause between the check of MayOrder and the
// sending. Fencing tokens exist because of such pauses: the order may be sent after another daemon
// has become the holder.
func (r *simulation) stepCandidate(now time.Duration, c *candidate) {
	if now < c.pausedUntil {
		return
	}
	if c.pendingToken != 0 {
		r.send(now, c.pendingToken)
		c.pendingToken = 0
	}
	r.effects(now, c, c.m.Tick(now, true))
	if !c.m.MayOrder(now, !r.quarantine) {
		return
	}
	if r.rng.IntN(40) == 0 {
		c.pendingToken = c.m.Token()
		c.pausedUntil = now + time.Duration(r.rng.Int64N(int64(r.timing.MaxPause)))
		return
	}
	r.send(now, c.m.Token())
}

func (r *simulation) send(now time.Duration, token uint64) {
	r.orders = append(r.orders, order{token: token, arrival: now + time.Duration(r.rng.Int64N(int64(r.timing.MaxOrderLatency)))})
}

// countStaleOrders counts the orders that reach a runner after an order of a later holder.
func (r *simulation) countStaleOrders() int {
	stale := 0
	for _, a := range r.orders {
		for _, b := range r.orders {
			if b.token > a.token && b.arrival < a.arrival {
				stale++
				break
			}
		}
	}
	return stale
}

func simulate(seed uint64, quarantine bool) *simulation {
	r := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), timing: lease.DefaultTiming(), quarantine: quarantine}
	for range 3 {
		r.candidates = append(r.candidates, &candidate{m: lease.New(r.timing)})
	}
	for now := time.Duration(0); now < 3*time.Minute; now += step {
		for _, c := range r.candidates {
			r.stepCandidate(now, c)
		}
	}
	return r
}

// Guards against conflicting orders: a holder decides on an order, is paused past the end of its
// lease while another daemon takes over and sends orders, and then sends its own. A runner that
// doesn't check fencing tokens would obey both. The new holder's quarantine ensures that the
// late order arrives before its own first one.
func TestStaleOrderNeverFollowsNewHoldersOrder(t *testing.T) {
	is := is.New(t)
	takeovers := uint64(0)
	for seed := range uint64(60) {
		r := simulate(seed, true)
		is.Equal(r.countStaleOrders(), 0) // if this fails, the seed is the number of the iteration
		takeovers += r.store.revision
	}
	// The sum counts every creation of the key, including the first one in each of the 60 runs.
	is.True(takeovers > 120) // the simulation must include takeovers
}

// Shows that the simulation produces stale orders without the quarantine, so that the test
// above can fail.
func TestMissingQuarantineIsDetected(t *testing.T) {
	is := is.New(t)
	stale := 0
	for seed := range uint64(60) {
		stale += simulate(seed, false).countStaleOrders()
	}
	is.True(stale > 0)
}

// The key-value service is unreachable for longer than the lease. The holder must stop by its
// own clock, because it can't learn that the lease has expired.
func TestHolderStopsWhenServiceIsAway(t *testing.T) {
	is := is.New(t)
	timing := lease.DefaultTiming()
	m := lease.New(timing)
	var s store
	for effects := m.Tick(0, true); len(effects) > 0; {
		effects = m.Step(0, s.execute(0, effects[0], timing.TTL))
	}
	is.Equal(m.State(), lease.Holding)
	is.True(m.MayOrder(time.Second, true))
	for now := timing.Renew; now < timing.TTL; now += step {
		for _, e := range m.Tick(now, true) {
			m.Step(now, lease.Result{Attempt: e.Attempt, Outcome: lease.Lost})
		}
	}
	is.True(!m.MayOrder(timing.TTL-timing.MaxOrderLatency, true))
	m.Tick(timing.TTL, true)
	is.True(m.State() != lease.Holding)
}

// The answer to a Create is lost after the Create took effect. If the daemon did not read the
// key, nobody would hold the responsibility until the lease expires.
func TestLostCreateIsResolvedByReadingKey(t *testing.T) {
	is := is.New(t)
	timing := lease.DefaultTiming()
	m := lease.New(timing)
	var s store
	readCall := m.Tick(0, true)[0]
	grant := m.Step(0, s.execute(0, readCall, timing.TTL))[0]
	create := m.Step(0, s.execute(0, grant, timing.TTL))[0]
	s.execute(0, create, timing.TTL)
	readBack := m.Step(0, lease.Result{Attempt: create.Attempt, Outcome: lease.Lost})[0]
	is.Equal(readBack.Kind, lease.VerifyCreate)
	m.Step(0, s.execute(0, readBack, timing.TTL))
	is.Equal(m.State(), lease.Holding)
}

// Two standbys wait per holder. If they tried to write each time, a hundred responsibilities
// would use up the write capacity of the key-value service.
func TestStandbyOnlyReads(t *testing.T) {
	is := is.New(t)
	timing := lease.DefaultTiming()
	s := store{keyLease: 7, expires: time.Hour}
	m := lease.New(timing)
	calls := 0
	for now := time.Duration(0); now < time.Minute; now += step {
		for _, e := range m.Tick(now, true) {
			is.Equal(e.Kind, lease.ReadKey)
			calls++
			is.Equal(len(m.Step(now, s.execute(now, e, timing.TTL))), 0)
		}
	}
	is.Equal(calls, int(time.Minute/timing.ReadKey))
}

func BenchmarkHoldOneSecond(b *testing.B) {
	timing := lease.DefaultTiming()
	m := lease.New(timing)
	var s store
	now := time.Duration(0)
	for b.Loop() {
		for range 4 {
			for effects := m.Tick(now, true); len(effects) > 0; {
				effects = m.Step(now, s.execute(now, effects[0], timing.TTL))
			}
			now += time.Second / 4
		}
	}
}
