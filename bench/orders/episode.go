package orders

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
)

// Course of an episode.
const (
	step       = 100 * time.Millisecond
	orderEvery = time.Second
	candidates = 3
	// The holder is paused at its first order after pauseFrom and pauseSpread.
	pauseFrom   = 25 * time.Second
	pauseSpread = 10 * time.Second
	// after is how long the episode goes on when the pause is over.
	after = 40 * time.Second
	// lostShare of the answers of the service are lost.
	lostShare = 0.01
	// cutShare of the holders are cut off from the service around their pause,
	// up to cutBefore before it.
	cutShare  = 0.5
	cutBefore = 10 * time.Second
)

// service is the key-value service's part: one key under a lease that lapses.
type service struct {
	ttl      time.Duration
	leases   uint64
	holder   uint64
	expires  time.Duration
	revision uint64
	calls    int
}

func (s *service) do(now time.Duration, e lease.Effect) lease.Result {
	s.calls++
	if s.holder != 0 && now >= s.expires {
		s.holder = 0
	}
	r := lease.Result{Attempt: e.Attempt, Outcome: lease.Done}
	switch e.Kind {
	case lease.ReadKey, lease.VerifyCreate:
		r.FoundLease, r.Revision = s.holder, s.revision
	case lease.Grant:
		s.leases++
		r.Lease = s.leases
	case lease.Create:
		if s.holder != 0 {
			r.Outcome = lease.Refused
			return r
		}
		s.revision++
		s.holder, s.expires, r.Revision = e.Lease, now+s.ttl, s.revision
	case lease.Renew:
		if s.holder != e.Lease {
			r.Outcome = lease.Refused
			return r
		}
		s.expires = now + s.ttl
	case lease.Revoke:
		if s.holder == e.Lease {
			s.holder = 0
		}
	}
	return r
}

type order struct {
	token   uint64
	arrival time.Duration
}

// candidate is one daemon. decided is the token of an order that it had decided
// on when its pause began.
type candidate struct {
	machine   *lease.Machine
	rate      float64
	pausedTo  time.Duration
	decided   uint64
	nextOrder time.Duration
	cut       bool
}

// clock is the candidate's own.
func (c *candidate) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * c.rate)
}

// episode is one pause of one holder.
type episode struct {
	arm     arm
	rng     *rand.Rand
	service service
	all     []*candidate
	orders  []order
	now     time.Duration
	pauseAt time.Duration
	cutAt   time.Duration
	// cuts tells that the holder is still to be cut off at cutAt.
	cuts   bool
	paused *candidate
	began  time.Duration
}

func newEpisode(a arm, seed, index uint64) *episode {
	rng := rand.New(rand.NewPCG(seed, index))
	e := &episode{arm: a, rng: rng, service: service{ttl: lease.DefaultTiming().TTL}}
	for range candidates {
		// Two clocks that are each half of Drift off are Drift apart.
		rate := 1 + a.timing.Drift*(rng.Float64()-0.5)
		e.all = append(e.all, &candidate{machine: lease.New(a.timing), rate: rate})
	}
	e.pauseAt = pauseFrom + e.random(pauseSpread)
	e.cuts = rng.Float64() < cutShare
	e.cutAt = e.pauseAt - e.random(cutBefore)
	return e
}

func (e *episode) random(below time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(below)))
}

func (e *episode) run() {
	for e.paused == nil || e.now < e.paused.pausedTo+after {
		for _, c := range e.all {
			e.act(c)
		}
		e.now += step
	}
}

func (e *episode) act(c *candidate) {
	if e.now < c.pausedTo {
		return
	}
	if c.decided != 0 {
		e.send(c.decided)
		c.decided = 0
	}
	if e.cuts && e.now >= e.cutAt && c.machine.State() == lease.Holding {
		c.cut = true
		e.cuts = false
	}
	e.perform(c, c.machine.Tick(c.clock(e.now), true))
	if e.now < c.nextOrder || !c.machine.MayOrder(c.clock(e.now), e.arm.skipQuarantine) {
		return
	}
	c.nextOrder = e.now + orderEvery
	if e.paused == nil && e.now >= e.pauseAt {
		e.pause(c)
		return
	}
	e.send(c.machine.Token())
}

// pause stops the candidate between its decision and its order, which is the
// interleaving that a fencing token exists for.
func (e *episode) pause(c *candidate) {
	e.paused = c
	e.began = e.now
	c.decided = c.machine.Token()
	c.pausedTo = e.now + e.random(lease.DefaultTiming().MaxPause)
}

func (e *episode) perform(c *candidate, effects []lease.Effect) {
	for len(effects) > 0 {
		result := lease.Result{Attempt: effects[0].Attempt, Outcome: lease.Lost}
		if !c.cut {
			answered := e.service.do(e.now, effects[0])
			if e.rng.Float64() >= lostShare {
				result = answered
			}
		}
		effects = append(effects[1:], c.machine.Step(c.clock(e.now), result)...)
	}
}

func (e *episode) send(token uint64) {
	arrival := e.now + e.random(lease.DefaultTiming().MaxOrderLatency)
	e.orders = append(e.orders, order{token: token, arrival: arrival})
}

// staleAccepted counts the orders that reach the runner after one of a later
// holder; a runner that doesn't check carries them out.
func (e *episode) staleAccepted() int {
	slices.SortStableFunc(e.orders, func(a, b order) int { return cmp.Compare(a.arrival, b.arrival) })
	stale := 0
	newest := uint64(0)
	for _, o := range e.orders {
		if o.token < newest {
			stale++
		}
		newest = max(newest, o.token)
	}
	return stale
}

// takeover is the time from the pause to the next holder's first order.
func (e *episode) takeover() (time.Duration, bool) {
	first := slices.IndexFunc(e.orders, func(o order) bool { return o.arrival > e.began && o.token > e.orders[0].token })
	if first < 0 {
		return 0, false
	}
	return e.orders[first].arrival - e.began, true
}
