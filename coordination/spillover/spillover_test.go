package spillover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/spillover"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	roundTrip   = 4 * time.Millisecond
	price       = spillover.Price(50 * time.Millisecond)
	serviceTime = 50 * time.Millisecond
	servers     = 8.0
	capacity    = 1000.0
	daemons     = 4
)

// world is a service in several domains. Each domain's runners work through a queue; each of its
// daemons decides on its own by loads that are lag steps old.
type world struct {
	// demand is the work that each domain's callers bring, as a part of capacity.
	demand, backlog []float64
	lag             int
	withFlows       bool
	rng             *rand.Rand
	controllers     [][]*spillover.Controller
	history         []state
}

type state struct {
	loads map[ident.FailureDomain]spillover.Load
	flows spillover.Flows
	// sent[a][b] is the part of the requests of a that went to b, shares[a] the mean sum of the shares
	// of a's daemons.
	sent   [][]float64
	shares []float64
}

func domain(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("d%d", i)) }

func newWorld(t *rapid.T, demand []float64) *world {
	w := &world{
		demand: demand, backlog: make([]float64, len(demand)), lag: rapid.IntRange(0, 4).Draw(t, "lag"),
		withFlows: rapid.Bool().Draw(t, "flows"), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	for i := range demand {
		var of []*spillover.Controller
		for range daemons {
			of = append(of, spillover.New(domain(i), price))
		}
		w.controllers = append(w.controllers, of)
	}
	return w
}

// step lets a StepInterval pass.
func (w *world) step() state {
	const requests = 20
	n, dt, offered := len(w.demand), spillover.StepInterval.Seconds(), 0.0
	s := state{loads: map[ident.FailureDomain]spillover.Load{}, flows: spillover.Flows{}, sent: make([][]float64, n), shares: make([]float64, n)}
	arriving := make([]float64, n)
	for _, demand := range w.demand {
		offered += demand * capacity
	}
	for i := range n {
		s.sent[i], s.flows[domain(i)] = make([]float64, n), map[ident.FailureDomain]float64{}
		for _, c := range w.controllers[i] {
			if known := len(w.history) - 1 - w.lag; known >= 0 {
				flows := w.history[known].flows
				if !w.withFlows {
					flows = nil
				}
				now := time.Duration(len(w.history)) * spillover.StepInterval
				c.Step(now, w.history[known].loads, flows, offered, func(ident.FailureDomain) time.Duration { return roundTrip })
			}
			for to := range n {
				s.shares[i] += c.Share(domain(to)) / daemons
			}
			for range requests {
				to := w.choose(i, c)
				c.Record(domain(to), 1, 4000)
				s.sent[i][to] += 1.0 / (daemons * requests)
			}
		}
		for to, part := range s.sent[i] {
			arriving[to] += w.demand[i] * capacity * part
			s.flows[domain(i)][domain(to)] = w.demand[i] * part
		}
	}
	for i := range n {
		done := min(capacity*dt, w.backlog[i]+arriving[i]*dt)
		w.backlog[i] += arriving[i]*dt - done
		s.loads[domain(i)] = spillover.Load{
			Capacity: capacity, Busy: done / (capacity * dt), Backlog: w.backlog[i] + done/dt*serviceTime.Seconds(), Servers: servers,
			Wait: time.Duration(w.backlog[i] / capacity * float64(time.Second)), ServiceTime: serviceTime,
		}
	}
	w.history = append(w.history, s)
	return s
}

func (w *world) choose(from int, c *spillover.Controller) int {
	draw := w.rng.Float64()
	for to := range w.demand {
		if draw < c.Share(domain(to)) {
			return to
		}
		draw -= c.Share(domain(to))
	}
	return from
}

// Guards against daemons that decide on the same old loads and send to the same domain at once
// (a herd), against shares that swing, and against more traffic than another domain has free.
func TestIndependentDaemonsSettleWithinFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(2, 4).Draw(t, "domains")
		crowded := rapid.IntRange(1, n-1).Draw(t, "crowded")
		demand := make([]float64, n)
		for i := range demand {
			if demand[i] = rapid.Float64Range(0.1, 0.6).Draw(t, "demand"); i < crowded {
				demand[i] = rapid.Float64Range(1, 1.4).Draw(t, "crowded demand")
			}
		}
		w := newWorld(t, demand)
		// Daemons that all switch at the same time would swing by far more than three steps.
		const settle, measured, maxSwing = 75, 75, 3 * spillover.MaxStep
		for range settle {
			w.step()
		}
		high, mean, arriving, atHome := make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n)
		low := append([]float64{}, w.history[settle-1].shares...)
		for range measured {
			s := w.step()
			for i := range n {
				low[i], high[i], mean[i] = min(low[i], s.shares[i]), max(high[i], s.shares[i]), mean[i]+s.shares[i]/measured
				atHome[i] += demand[i] * s.sent[i][i] / measured
				for from := range n {
					if from != i {
						arriving[i] += demand[from] * s.sent[from][i] / measured
					}
				}
			}
		}
		for i := range n {
			if i < crowded {
				is.True(high[i]-low[i] < maxSwing)
				is.True(mean[i] > 0)
				continue
			}
			if w.withFlows {
				is.True(high[i] < 1e-9)
			}
			// Without flows a domain takes others' requests for its own callers' need. It may pass on
			// as many as it gets, no more.
			is.True(mean[i]*demand[i] <= arriving[i]+0.01)
			// A twentieth more is the error of the daemons' own samples.
			is.True(arriving[i] <= spillover.Free(atHome[i], servers)+0.05)
		}
	})
}

// Guards against a part that has an effect where it has no business: domains with even load that
// their runners can serve.
func TestEvenLoadStaysAtHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0, 0.75).Draw(t, "load")
		w := newWorld(t, []float64{load, load, load})
		for range 100 {
			for i, share := range w.step().shares {
				if share > 0 {
					t.Fatal("traffic may leave", i)
				}
			}
		}
	})
}

// Guards against a request that leaves though that doesn't pay off, or beyond the share, and against
// callers of the other domain who lose their room.
func TestRequestLeavesIfThatPaysOff(t *testing.T) {
	is := is.New(t)
	cost := price.Cost(roundTrip, 2e6)
	is.Equal(cost, 104*time.Millisecond)
	is.Equal(spillover.Decide(cost, 0, cost, 1, 0), spillover.Stay)
	is.Equal(spillover.Decide(cost+1, 0, cost, 0.5, 0.5), spillover.Kept)
	is.Equal(spillover.Decide(cost+1, 0, cost, 0.5, 0.4), spillover.Leave)
	is.Equal(spillover.Free(0.95, 8), 0.0)
	is.True(spillover.Free(0.3, 100) > 0.5) // many runners
	is.True(spillover.Free(0.5, 1) < 0.06)  // one runner: each further request delays the others
}

// Guards against a share that jumps, against one by loads that are too old, against requests that go
// on to be sent over a cut link, and against a single failed runner that counts as one.
func TestShareFollowsLoadsAndLinkInSteps(t *testing.T) {
	is := is.New(t)
	c, now := spillover.New(domain(0), price), time.Duration(0)
	step := func(steps int, age time.Duration) {
		for range steps {
			before := c.Share(domain(1))
			now += spillover.StepInterval
			c.Step(now, map[ident.FailureDomain]spillover.Load{
				domain(0): {Capacity: capacity, Busy: 1, Backlog: capacity, Servers: servers, Wait: time.Second, ServiceTime: serviceTime},
				domain(1): {Capacity: capacity, Busy: 0.1, Servers: servers, ServiceTime: serviceTime, Age: age},
			}, nil, 0, func(ident.FailureDomain) time.Duration { return roundTrip })
			change := c.Share(domain(1)) - before
			is.True(change <= spillover.MaxStep+1e-9 && -change <= spillover.MaxStep+1e-9)
		}
	}
	step(spillover.StartSteps-1, 0)
	is.Equal(c.Share(domain(1)), 0.0)
	step(8, 0)
	is.True(c.Share(domain(1)) > 0.3)
	step(10, spillover.MaxAge+time.Millisecond)
	is.Equal(c.Share(domain(1)), 0.0)
	step(10, 0)
	is.True(!c.LinkFailed(now, domain(1), "a", 8))
	is.True(!c.LinkFailed(now, domain(1), "a", 8))
	is.True(c.Share(domain(1)) > 0)
	is.True(c.LinkFailed(now, domain(1), "b", 8))
	for range 9 { // two seconds from the cut on
		is.Equal(c.Share(domain(1)), 0.0)
		step(1, 0)
	}
	step(5, 0)
	is.True(c.Share(domain(1)) > 0)
	c.LinkWorks(domain(1), 0) // sent before the failure
	is.True(c.LinkFailed(now, domain(1), "a", 8))
	now += time.Minute
	c.LinkWorks(domain(1), now)
	is.True(!c.LinkFailed(now, domain(1), "b", 8))
}
