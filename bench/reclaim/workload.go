package reclaim

import (
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/bench/enginemodel"
)

// class is a kind of request, after the users' own: chat and sightings are
// read by a waiting caller, bulletins and reviews may wait.
type class struct {
	name   string
	urgent bool
	// share of all requests.
	share float64
	// shared is the prefix that requests of one group begin with, groups how
	// many there are; own is the prompt after it.
	groups, shared, own int
	// output is the mean length of an answer.
	output int
	// first and between are the latency targets.
	first, between time.Duration
}

const (
	priorityUrgent = 10
	priorityLong   = 1
)

func (c class) priority() int {
	if c.urgent {
		return priorityUrgent
	}
	return priorityLong
}

var classes = []class{
	{name: "chat", urgent: true, share: 0.60, groups: 5, shared: 1200, own: 300, output: 150, first: time.Second, between: 60 * time.Millisecond},
	{name: "sighting", urgent: true, share: 0.28, groups: 5, shared: 600, own: 100, output: 20, first: time.Second, between: 60 * time.Millisecond},
	{name: "bulletin", share: 0.07, groups: 60, shared: 4000, own: 400, output: 900, first: time.Minute, between: 200 * time.Millisecond},
	{name: "review", share: 0.05, groups: 60, shared: 6000, own: 1500, output: 2500, first: time.Minute, between: 200 * time.Millisecond},
}

// arrival is one request of a workload.
type arrival struct {
	at     time.Duration
	class  *class
	shared enginemodel.Key
	own    int
	output int
	// limit is the most tokens that the request allows; the answer is shorter.
	limit int
}

// fault is what else goes wrong in a wave.
type fault struct {
	// earlyDeath is the runner of the wave that dies half way through its notice;
	// negative is none.
	earlyDeath int
	// exportFailure is the probability that a transfer fails half way.
	exportFailure float64
}

// scenario is what a wave takes.
type scenario struct {
	name string
	// runners tells whether a runner gets notice; the domains are in the order
	// in which the wave draws them.
	reclaims func(domain, index int) bool
	// second domain gets its notice this long after the first; zero is never.
	second time.Duration
}

var scenarios = []scenario{
	{name: "domain", reclaims: func(domain, _ int) bool { return domain == 0 }},
	{name: "half", reclaims: func(_, index int) bool { return index%2 == 0 }},
	{name: "second", reclaims: func(domain, _ int) bool { return domain == 0 }, second: 8 * time.Second},
}

// wave is one run's input, the same for every arm.
type wave struct {
	arrivals []arrival
	// order is the failure domains in the order in which waves take them.
	order []int
	fault fault
	seed  uint64
}

// hazards are the reclaims of a VM per hour by failure domain; prices are lower
// where they are higher.
var (
	hazards = []float64{0.6, 0.2, 0.1, 0.1}
	prices  = []float64{1.8, 2.0, 2.1, 2.1}
)

const (
	requestsPerSecond = 20.0
	arrivalsEnd       = 150 * time.Second
	noticeAt          = 60 * time.Second
	notice            = 30 * time.Second
	replacedAt        = 150 * time.Second
	earlyDeathShare   = 0.2
	exportFailures    = 0.05
	limitFactor       = 1.5
	// longSkew makes some groups of the long classes more popular.
	longSkew = 2.0
)

func newWave(seed uint64, perSecond float64) wave {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	w := wave{seed: seed, order: drawOrder(rng)}
	w.fault = fault{earlyDeath: -1, exportFailure: exportFailures}
	if rng.Float64() < earlyDeathShare {
		w.fault.earlyDeath = rng.IntN(runnersPerDomain)
	}
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= arrivalsEnd {
			return w
		}
		w.arrivals = append(w.arrivals, drawArrival(rng, at))
	}
}

// drawOrder draws the domains one after the other, each by its hazard.
func drawOrder(rng *rand.Rand) []int {
	left := []int{0, 1, 2, 3}
	var order []int
	for len(left) > 0 {
		total := 0.0
		for _, d := range left {
			total += hazards[d]
		}
		x := rng.Float64() * total
		i := 0
		for ; i < len(left)-1 && x >= hazards[left[i]]; i++ {
			x -= hazards[left[i]]
		}
		order = append(order, left[i])
		left = append(left[:i:i], left[i+1:]...)
	}
	return order
}

func drawArrival(rng *rand.Rand, at time.Duration) arrival {
	x := rng.Float64()
	i := 0
	for ; i < len(classes)-1 && x >= classes[i].share; i++ {
		x -= classes[i].share
	}
	c := &classes[i]
	group := rng.IntN(c.groups)
	if !c.urgent {
		u := rng.Float64()
		for range int(longSkew) - 1 {
			u *= rng.Float64()
		}
		group = int(u * float64(c.groups))
	}
	output := max(int(float64(c.output)*(0.4+1.2*rng.Float64())), 1)
	return arrival{
		at:     at,
		class:  c,
		shared: enginemodel.Key(1 + 1000*i + group),
		own:    max(int(float64(c.own)*(0.5+rng.Float64())), 1),
		output: output,
		limit:  int(float64(output) * limitFactor),
	}
}
