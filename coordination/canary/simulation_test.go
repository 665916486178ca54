package canary_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
)

// requestKind describes the requests of one route: how many arrive per second, and which fraction of
// them fails on a good version.
type requestKind struct {
	route             string
	requestsPerSecond float64
	failureRate       float64
}

// version describes how the runners of a version answer.
type version struct {
	// failureRate is the fraction of answers that fail. slowFraction is the fraction of
	// answers whose duration is multiplied by slowFactor. Both apply from badFrom on (time since
	// the start of the simulation), to requests of route (empty means all routes), and at runners
	// with at least minInFlight requests in progress.
	failureRate, slowFraction, slowFactor float64
	badFrom                               time.Duration
	route                                 string
	minInFlight                           int
}

// simulation runs one order of a service, with its daemons, runners, requests and messages.
type simulation struct {
	rng                    *rand.Rand
	requestKinds           []requestKind
	daemons                int
	oldRunners, newRunners int
	slotsPerRunner         int
	bootTime               time.Duration
	orderDuration          time.Duration
	newVersion             version
	messageLoss            float64
	// holderReplacementTimes are the times since the start of the simulation at which another
	// daemon takes over as the holder.
	holderReplacementTimes []time.Duration
	// daemonRestartRate is the fraction of the daemons that restart per second.
	daemonRestartRate float64
	compare           func() canary.Comparison

	now          time.Duration
	gates        []*canary.Gate
	oldInFlight  map[*canary.Gate]int
	incarnations []int
	holder       *canary.Holder
	// previousHolder is a holder that does not know yet that it has been replaced. It answers
	// reports until previousStopsAt.
	previousHolder          *canary.Holder
	previousStopsAt         time.Duration
	holders                 int
	record                  canary.Record
	runners                 map[bool][]*backend
	pendingAnswer           []pendingAnswer
	totalRequests           int
	newVersionRequests      int
	refused                 int
	newVersionFailures      int
	fiftiethFailureAt       time.Duration
	lastNewVersionRequestAt time.Duration
	completedAt             time.Duration
	verdictChanged          bool
	interruptedRequests     int
}

// backend is one simulated runner. slotFreeAt holds, for each slot, the time at which the slot's last
// request ends.
type backend struct{ slotFreeAt []time.Duration }

// inFlight returns the number of requests in progress at the runner.
func (b *backend) inFlight(now time.Duration) int {
	n := 0
	for _, at := range b.slotFreeAt {
		if at > now {
			n++
		}
	}
	return n
}

// pendingAnswer is an answer that will arrive at time at.
type pendingAnswer struct {
	at       time.Duration
	gate     *canary.Gate
	series   canary.Series
	isNew    bool
	duration time.Duration
	failed   bool
}

const (
	tick               = 10 * time.Millisecond
	reportInterval     = 250 * time.Millisecond
	holderTickInterval = 200 * time.Millisecond
	meanServiceTime    = 60 * time.Millisecond
	// replacedHolderRunsFor is how long a holder may go on granting allowances after another
	// daemon has taken over, because its lease has not expired by its own clock.
	replacedHolderRunsFor = 2 * time.Second
	serviceTimeSigma      = 0.5
	exposureSlack         = 50
	exposureShare         = 0.1
)

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rng:          rand.New(rand.NewPCG(seed, 0)),
		requestKinds: []requestKind{{"pledge", 134, 0.004}, {"lookup", 31, 0.14}},
		daemons:      33, oldRunners: 4, newRunners: 4, slotsPerRunner: 6, bootTime: 1500 * time.Millisecond, orderDuration: 12 * time.Second,
		compare:     func() canary.Comparison { return canary.NewCUSUM() },
		oldInFlight: map[*canary.Gate]int{},
	}
}

func (p *simulation) order() canary.Order {
	return canary.Order{Service: "app", Target: "v2", Duration: p.orderDuration, Revision: 7}
}

func (p *simulation) run() *simulation {
	p.runners = map[bool][]*backend{false: p.backends(p.oldRunners)}
	for range p.daemons {
		p.gates = append(p.gates, canary.NewGate(p.order()))
		p.incarnations = append(p.incarnations, 0)
	}
	p.newHolder()
	for ; p.now < p.orderDuration+2*time.Second; p.now += tick {
		if p.runners[true] == nil && p.now >= p.bootTime {
			p.runners[true] = p.backends(p.newRunners)
		}
		p.completeRequests()
		p.generateRequests()
		p.sendReports()
		if p.now%holderTickInterval == 0 {
			p.tickHolder()
		}
		p.replaceHoldersAndDaemons()
	}
	return p
}

func (p *simulation) backends(n int) []*backend {
	var list []*backend
	for range n {
		list = append(list, &backend{slotFreeAt: make([]time.Duration, p.slotsPerRunner)})
	}
	return list
}

func (p *simulation) newHolder() {
	p.holders++
	p.previousHolder, p.previousStopsAt = p.holder, p.now+replacedHolderRunsFor
	p.holder = canary.NewHolder(canary.Bounds{Share: exposureShare, Slack: exposureSlack}, p.order(), p.record, p.self(), p.now.Milliseconds())
	p.holder.SetComparison(p.compare())
}

func (p *simulation) self() string { return fmt.Sprint("holder-", p.holders) }

// replaceHoldersAndDaemons replaces the holder at holderReplacementTimes and restarts random daemons.
func (p *simulation) replaceHoldersAndDaemons() {
	if len(p.holderReplacementTimes) > 0 && p.now >= p.holderReplacementTimes[0] {
		p.holderReplacementTimes = p.holderReplacementTimes[1:]
		p.newHolder()
	}
	for i := range p.gates {
		if p.rng.Float64() < p.daemonRestartRate*tick.Seconds() {
			p.gates[i] = canary.NewGate(p.order())
			p.gates[i].SetRecord(p.now, p.record)
			p.incarnations[i]++
		}
	}
}

func (p *simulation) generateRequests() {
	for _, k := range p.requestKinds {
		for n := p.poisson(k.requestsPerSecond * tick.Seconds()); n > 0; n-- {
			p.serve(k)
		}
	}
}

func (p *simulation) poisson(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for product := p.rng.Float64(); product > limit; product *= p.rng.Float64() {
		n++
	}
	return n
}

// serve sends one request to the version that the gate of a random daemon chooses.
func (p *simulation) serve(k requestKind) {
	gate := p.gates[p.rng.IntN(len(p.gates))]
	if p.now <= p.orderDuration {
		p.totalRequests++
	}
	placement := gate.PlaceRequest(p.now, k.route, p.rng.Float64())
	isNew := placement == canary.Trial || placement == canary.NewPreferred && len(p.runners[true]) > 0
	list := p.runners[isNew]
	if placement == canary.Trial {
		list = list[:min(len(list), gate.TrialRunners())]
	}
	if p.record.State == canary.Completed && !isNew || len(list) == 0 {
		p.refused++
		return
	}
	b := slices.MinFunc(list, func(x, y *backend) int { return x.inFlight(p.now) - y.inFlight(p.now) })
	gate.Dispatched()
	p.dispatch(k, gate, b, isNew)
}

func (p *simulation) dispatch(k requestKind, gate *canary.Gate, b *backend, isNew bool) {
	work := time.Duration(float64(meanServiceTime) * math.Exp(serviceTimeSigma*p.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
	failureRate := k.failureRate
	if v := p.newVersion; isNew && p.now >= v.badFrom && (v.route == "" || v.route == k.route) && b.inFlight(p.now) >= v.minInFlight {
		failureRate = max(failureRate, v.failureRate)
		if p.rng.Float64() < v.slowFraction {
			work = time.Duration(v.slowFactor * float64(work))
		}
	}
	slot := slices.Index(b.slotFreeAt, slices.Min(b.slotFreeAt))
	b.slotFreeAt[slot] = max(b.slotFreeAt[slot], p.now) + work
	failed := p.rng.Float64() < failureRate
	if isNew {
		p.countNewVersionRequest(failed)
	} else {
		p.oldInFlight[gate]++
	}
	p.pendingAnswer = append(p.pendingAnswer, pendingAnswer{b.slotFreeAt[slot], gate, canary.Series{Route: k.route}, isNew, b.slotFreeAt[slot] - p.now, failed})
}

// countNewVersionRequest counts a request that went to the new version.
func (p *simulation) countNewVersionRequest(failed bool) {
	if p.now <= p.orderDuration {
		p.newVersionRequests++
	}
	p.lastNewVersionRequestAt = p.now
	if failed {
		p.newVersionFailures++
		if p.newVersionFailures == 50 {
			p.fiftiethFailureAt = p.now
		}
	}
}

func (p *simulation) completeRequests() {
	p.pendingAnswer = slices.DeleteFunc(p.pendingAnswer, func(e pendingAnswer) bool {
		if e.at > p.now {
			return false
		}
		if !e.isNew {
			p.oldInFlight[e.gate]--
		}
		c := e.gate.Tally().Of(e.series, e.isNew)
		if e.failed {
			c.CountFailure()
		} else {
			c.CountAnswer(e.duration)
		}
		return true
	})
}

// sendReports lets each daemon report to the holder once per reportEvery.
func (p *simulation) sendReports() {
	turn := int(p.now/tick) % int(reportInterval/tick)
	for i, g := range p.gates {
		if i%int(reportInterval/tick) != turn {
			continue
		}
		g.SetRecord(p.now, p.record)
		if p.record.Holder == "" || p.record.State.Final() {
			continue
		}
		r := g.Report(p.now, p.oldInFlight[g])
		if p.rng.Float64() < p.messageLoss {
			continue
		}
		holder := p.holder
		if p.previousHolder != nil && p.now < p.previousStopsAt && p.rng.Float64() < 0.5 {
			holder = p.previousHolder
		}
		a, ok := holder.HandleReport(p.now, fmt.Sprint(i, "~", p.incarnations[i]), r)
		if ok && p.rng.Float64() >= p.messageLoss {
			g.SetAllowance(a)
		}
	}
}

func (p *simulation) tickHolder() {
	r := p.holder.Tick(p.now, p.now.Milliseconds(), p.self(), canary.Fleet{Reporting: 1, OldRunners: p.oldRunners, NewRunners: len(p.runners[true])})
	if !p.holder.FirstRecordUnwritten() && r.Equal(p.holder.Record()) {
		return
	}
	if p.record.State.Final() && r.State != p.record.State {
		p.verdictChanged = true
	}
	if r.State.Final() && !p.record.State.Final() {
		p.completedAt = p.now
		if r.State == canary.Completed {
			p.interruptedRequests = len(slices.DeleteFunc(slices.Clone(p.pendingAnswer), func(e pendingAnswer) bool { return e.isNew }))
		}
	}
	p.record = r
	p.holder.SetWritten(r)
}
