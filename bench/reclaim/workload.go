package reclaim

import (
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/bench/enginemodel"
)

// class is a kind of request, modeled on those of the example fleets. A caller waits
// for the answers of the classes chat and sighting, while bulletins and reviews are
// not urgent.
type class struct {
	name   string
	urgent bool
	// share is the fraction of all requests.
	share float64
	// groups is the number of groups whose requests share a prefix, shared the length
	// of that prefix, and own the mean length of the rest of the prompt, in tokens.
	groups, shared, own int
	// output is the mean length of an answer, in tokens.
	output int
	// first is the target for the time to the first token, between for the time
	// between tokens.
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

// arrival is a request and its arrival time.
type arrival struct {
	at     time.Duration
	class  *class
	shared enginemodel.Key
	own    int
	output int
	// limit is the maximum number of tokens that the request asks for; the answer is
	// shorter.
	limit int
}

// fault describes the additional faults of a wave.
type fault struct {
	// earlyDeath is the index, among the runners of a notice, of the one that
	// terminates half way through the notice; -1 for none.
	earlyDeath int
	// exportFailure is the probability that a transfer fails.
	exportFailure float64
}

// scenario determines the runners that a wave reclaims.
type scenario struct {
	name string
	// reclaims reports whether a runner gets notice. Domains are numbered in the order
	// in which the wave draws them.
	reclaims func(domain, index int) bool
	// second is the delay after which a second domain gets its notice; zero for never.
	second time.Duration
}

var scenarios = []scenario{
	{name: "domain", reclaims: func(domain, _ int) bool { return domain == 0 }},
	{name: "half", reclaims: func(_, index int) bool { return index%2 == 0 }},
	{name: "second", reclaims: func(domain, _ int) bool { return domain == 0 }, second: 8 * time.Second},
}

// wave is the input of a run, the same for every arm.
type wave struct {
	arrivals []arrival
	// order lists the failure domains in the order in which the wave takes them.
	order []int
	fault fault
	seed  uint64
}

// hazards are the reclaims per VM and hour in each failure domain. Prices are lower
// where hazards are higher.
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
	// longSkew makes some prefix groups of the long classes more popular than others.
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

// drawOrder draws the domains without replacement, weighted by hazard.
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
