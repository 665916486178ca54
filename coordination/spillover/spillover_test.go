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
	daemons     = 4
)

// world is a service in several domains. Each domain's runners work through a queue; each of its
// daemons decides on its own by loads that are lag steps old.
type world struct {
	demand, backlog []float64
	capacity        float64
	lag             int
	withFlows       bool
	rng             *rand.Rand
	controllers     [][]*spillover.Controller
	history         []state
	now             time.Duration
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

func newWorld(demand []float64, lag int, withFlows bool, seed uint64) *world {
	w := &world{demand: demand, backlog: make([]float64, len(demand)), capacity: 1000, lag: lag, withFlows: withFlows, rng: rand.New(rand.NewPCG(seed, 1))}
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
	w.now += spillover.StepInterval
	n, dt := len(w.demand), spillover.StepInterval.Seconds()
	s := state{loads: map[ident.FailureDomain]spillover.Load{}, flows: spillover.Flows{}, sent: make([][]float64, n), shares: make([]float64, n)}
	arriving := make([]float64, n)
	for i := range n {
		s.sent[i], s.flows[domain(i)] = make([]float64, n), map[ident.FailureDomain]float64{}
		for _, c := range w.controllers[i] {
			if known := len(w.history) - 1 - w.lag; known >= 0 {
				flows := w.history[known].flows
				if !w.withFlows {
					flows = nil
				}
				c.Step(w.now, w.history[known].loads, flows, w.offered(), func(ident.FailureDomain) time.Duration { return roundTrip })
			}
			for _, status := range c.Statuses() {
				s.shares[i] += status.Share / daemons
			}
			for range requests {
				to := w.choose(i, c)
				c.Record(domain(to), 1, 4000)
				s.sent[i][to] += 1.0 / (daemons * requests)
			}
		}
		for to, part := range s.sent[i] {
			arriving[to] += w.demand[i] * w.capacity * part
			s.flows[domain(i)][domain(to)] = w.demand[i] * part
		}
	}
	for i := range n {
		done := min(w.capacity*dt, w.backlog[i]+arriving[i]*dt)
		w.backlog[i] += arriving[i]*dt - done
		s.loads[domain(i)] = spillover.Load{
			Capacity: w.capacity, Busy: done / (w.capacity * dt), Backlog: w.backlog[i] + done/dt*serviceTime.Seconds(), Servers: servers,
			Wait: time.Duration(w.backlog[i] / w.capacity * float64(time.Second)), ServiceTime: serviceTime,
		}
	}
	w.history = append(w.history, s)
	return s
}

func (w *world) offered() float64 {
	sum := 0.0
	for _, demand := range w.demand {
		sum += demand * w.capacity
	}
	return sum
}

// choose decides about one request: each other domain, in random order, may take it.
func (w *world) choose(from int, c *spillover.Controller) int {
	draw := w.rng.Float64()
	for to := range w.demand {
		if share := c.Share(domain(to)); to != from && draw < share {
			return to
		} else if to != from {
			draw -= share
		}
	}
	return from
}

// Guards against daemons that decide on the same old loads and send to the same domain at once
// (a herd), against shares that swing, and against more traffic than another domain has free.
func TestIndependentDaemonsSettleWithinFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(2, 4).Draw(t, "domains")
		demand := make([]float64, n)
		for i := range demand {
			demand[i] = rapid.Float64Range(0.1, 0.6).Draw(t, "demand")
		}
		crowded := rapid.IntRange(1, n-1).Draw(t, "crowded")
		for i := range crowded {
			demand[i] = rapid.Float64Range(1, 1.4).Draw(t, "crowded demand")
		}
		withFlows := rapid.Bool().Draw(t, "flows")
		w := newWorld(demand, rapid.IntRange(0, 4).Draw(t, "lag"), withFlows, rapid.Uint64().Draw(t, "seed"))
		// Daemons that all switch at the same time would swing by far more than three steps.
		const settle, measured, maxSwing = 75, 75, 3 * spillover.MaxStep
		for range settle {
			w.step()
		}
		low, high, mean := make([]float64, n), make([]float64, n), make([]float64, n)
		arriving, atHome := make([]float64, n), make([]float64, n)
		for i := range low {
			low[i] = 1
		}
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
			if withFlows {
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
		w := newWorld([]float64{load, load, load}, rapid.IntRange(0, 4).Draw(t, "lag"), rapid.Bool().Draw(t, "flows"), 1)
		for range 100 {
			for i, sent := range w.step().sent {
				if sent[i] < 0.999 {
					t.Fatal("traffic has left", i)
				}
			}
		}
	})
}

// Guards against callers of the other domain who wait more than MaxLoss longer.
func TestOthersUseOnlyWhatIsFree(t *testing.T) {
	is := is.New(t)
	is.Equal(spillover.Free(0.95, 8), 0.0)
	is.True(spillover.Free(0, 8)+0.1 <= 1)
	is.True(spillover.Free(0.3, 100) > 0.5) // many runners
	is.True(spillover.Free(0.5, 1) < 0.06)  // one runner: each further request delays the others
	rapid.Check(t, func(t *rapid.T) {
		own, n := rapid.Float64Range(0, 1).Draw(t, "own"), rapid.Float64Range(1, 500).Draw(t, "servers")
		if f := spillover.Free(own, n); f < 0 || f > 0 && own+f > 1-spillover.Reserve+1e-9 {
			t.Fatal(f)
		}
	})
}

// Guards against a request that leaves though that doesn't pay off, or beyond the share.
func TestRequestLeavesIfThatPaysOff(t *testing.T) {
	is := is.New(t)
	cost := price.Cost(roundTrip, 2e6)
	is.Equal(cost, 104*time.Millisecond)
	is.Equal(spillover.Decide(cost, 0, cost, 1, 0), spillover.Stay)
	is.Equal(spillover.Decide(cost+1, 0, cost, 0.5, 0.5), spillover.Kept)
	is.Equal(spillover.Decide(cost+1, 0, cost, 0.5, 0.4), spillover.Leave)
}

// crowdedController returns a controller with a share for domain 1 by loads that say so.
func crowdedController() (*spillover.Controller, func(age time.Duration)) {
	c := spillover.New(domain(0), price)
	now := time.Duration(0)
	step := func(age time.Duration) {
		now += spillover.StepInterval
		c.Step(now, map[ident.FailureDomain]spillover.Load{
			domain(0): {Capacity: 1000, Busy: 1, Backlog: 1000, Servers: servers, Wait: time.Second, ServiceTime: serviceTime},
			domain(1): {Capacity: 1000, Busy: 0.1, Servers: servers, ServiceTime: serviceTime, Age: age},
		}, nil, 0, func(ident.FailureDomain) time.Duration { return roundTrip })
	}
	for range 10 {
		step(0)
	}
	return c, step
}

// Guards against a share that jumps, and against one by loads that are too old.
func TestShareMovesInStepsAndFallsWithOldLoads(t *testing.T) {
	is := is.New(t)
	c, step := crowdedController()
	before := c.Share(domain(1))
	is.True(before > 0.3)
	for before > 0 {
		step(spillover.MaxAge + time.Millisecond)
		share := c.Share(domain(1))
		is.True(share < before && before-share <= spillover.MaxStep+1e-9)
		before = share
	}
	for range spillover.StartSteps - 1 {
		step(0)
		is.Equal(c.Share(domain(1)), 0.0)
	}
	step(0)
	is.True(c.Share(domain(1)) > 0 && c.Share(domain(1)) <= spillover.MaxStep+1e-9)
}

// Guards against requests that go on to be sent over a link that is cut, and against a single
// failed runner that counts as a cut link.
func TestShareIsZeroWhileLinkIsCut(t *testing.T) {
	is := is.New(t)
	c, step := crowdedController()
	now := 10 * spillover.StepInterval
	is.True(!c.LinkFailed(now, domain(1), "a", 8))
	is.True(!c.LinkFailed(now, domain(1), "a", 8))
	is.True(c.Share(domain(1)) > 0)
	is.True(c.LinkFailed(now, domain(1), "b", 8))
	for range 9 { // two seconds from the cut on
		is.Equal(c.Share(domain(1)), 0.0)
		step(0)
	}
	for range 5 {
		step(0)
	}
	is.True(c.Share(domain(1)) > 0)
	c.LinkWorks(domain(1))
	is.True(!c.LinkFailed(now, domain(1), "a", 8))
}
