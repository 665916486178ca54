package edge

import (
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/prefill"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/servicetime"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

const (
	// firstPrefillRate, in tokens per second, is the assumed prefill rate until first tokens
	// have been timed. It is the rate of a 70B model's engine on eight accelerators.
	firstPrefillRate = 40_000
	// engineDecodeRate is the assumed number of tokens per second that an engine generates for each
	// request while half of its batch is in use.
	engineDecodeRate = 150
	// initialServiceTime is the assumed mean duration of a plain service's request until
	// answers have been timed. A plain service is one whose runners are not model engines.
	initialServiceTime = 20 * time.Millisecond
	// plainPrefillFactor makes the reported prefill rate of a plain runner higher than the rate
	// at which it works. The choice then prefers runners with more free slots even if a request
	// would not wait at any of them.
	plainPrefillFactor = 2
	// defaultSlots is used for runners that don't report their number of slots.
	defaultSlots = 16
	// remotePenalty is the least cost of choosing a runner in another failure domain: the
	// network round trip. Traffic between failure domains also costs money.
	remotePenalty = 5 * time.Millisecond
	// largeFleetSamples is the number of random runners from which a daemon of a large fleet
	// chooses, in addition to the runners that have the longest part of the prompt cached.
	largeFleetSamples = 2
	// retryBudgetShare is the part of the shared retry budget that is used. The rest covers
	// retries that reach a runner later than they were decided on.
	retryBudgetShare = 0.85
)

// pool holds the runners of one service as this daemon uses them.
type pool struct {
	edge *Edge
	// name is the service's name.
	name string

	paths paths
	// failureChecks joins the checks of one runner that are made at the same time.
	failureChecks singleflight.Group

	// mu guards the fields below.
	mu      sync.Mutex
	service route.Service
	table   *routing.Table
	tracker *health.Tracker
	retry   *retry.Policy
	runners map[ident.RunnerID]Runner
	// listed is the number of the list that runners is from, copied at listedAt. withdrawn holds the
	// runners that were withdrawn after that list was copied, with the numbers of their withdrawals.
	listed    publication
	listedAt  time.Duration
	withdrawn map[ident.RunnerID]publication
	// versions are the software versions that the runners have.
	versions []canary.Version
	// peerLoads is the load at each runner that the other daemons' requests cause, as known at
	// peerLoadsAt, a time of Deps.Steady.
	peerLoads   map[ident.RunnerID]routing.OwnLoad
	peerLoadsAt time.Duration
	// reportedIdle holds the runners that the routing table already knows to be idle, with the
	// prefill rate that it was told.
	reportedIdle map[ident.RunnerID]float64
	// activities records for each runner the attempts in progress there.
	activities map[ident.RunnerID]*activity
	// prefillModel estimates the speed of model engines, serviceTime the duration of requests
	// at plain runners.
	prefillModel *prefill.Model
	serviceTime  *servicetime.Mean
	// offeredTokens counts the uncached prompt tokens that callers of this service brought to
	// this daemon since it started.
	offeredTokens float64
	// budgetDaemons is the number of daemons among which the retry budget is divided. budgetFilled says that it was
	// filled, which is done once at most.
	budgetDaemons int
	budgetFilled  bool
	// demand estimates the number of runners needed from samples of work; work is the latest
	// sample. countedOfferedTokens is the part of offeredTokens that came while this daemon was
	// a relay. The part that came while it was a follower is left out because it is included in
	// the total that the primary relay sends, to which the sample adds countedOfferedTokens.
	// sampledOfferedTokens is the value of offeredTokens at the latest sample.
	demand               *fleet.Demand
	work                 fleet.Work
	countedOfferedTokens float64
	sampledOfferedTokens float64
	// speeds is what is used of the runners' learned speeds.
	speeds poolSpeeds
	// spill decides which requests leave the failure domain; nil if none of that is decided.
	spill *poolSpillover
}

func newPool(e *Edge, s route.Service) *pool {
	return &pool{
		edge:         e,
		name:         s.Name,
		service:      s,
		table:        routing.New(tableConfig(e, s)),
		tracker:      health.New(healthConfig()),
		retry:        retry.New(retryConfig()),
		runners:      map[ident.RunnerID]Runner{},
		withdrawn:    map[ident.RunnerID]publication{},
		peerLoads:    map[ident.RunnerID]routing.OwnLoad{},
		reportedIdle: map[ident.RunnerID]float64{},
		activities:   map[ident.RunnerID]*activity{},
		prefillModel: prefill.New(firstPrefillRate),
		serviceTime:  servicetime.New(initialServiceTime),
		demand:       fleet.NewDemand(demandConfig(e.settings.Policy), e.firstStart.Load()),
		spill:        newPoolSpillover(e),
	}
}

func tableConfig(e *Edge, s route.Service) routing.Config {
	c := routing.Default(e.settings.ID, e.settings.FailureDomain)
	c.RemotePenalty = remotePenalty
	c.IgnorePrefix = !e.settings.Policy.Uses(PlaceByPrefix)
	// The daemons report their load to each other several times a second, so the best of all
	// runners isn't the same for all daemons for long.
	c.Samples = 0
	// The load of a runner is computed from the daemons' own counts, which are correct and only
	// briefly out of date. A bound on the number of requests per runner would send prompts away
	// from runners that have them cached: where runners are mostly idle, a runner's second
	// request is already far above the mean.
	c.LoadBound = 0
	if s.Engine == nil {
		c.PrefillRate = defaultSlots / initialServiceTime.Seconds()
		c.DecodeRate = 1 / initialServiceTime.Seconds()
		// A request to a plain service counts as one token of output.
		c.InitialMeanOutput = 1
		c.InitialBatchSize = defaultSlots
		return c
	}
	c.PrefillRate = firstPrefillRate
	c.DecodeRate = engineDecodeRate
	c.InitialBatchSize = s.Engine.Slots
	return c
}

// retryConfig uses short waits, since the next attempt goes to a different runner, which hasn't
// asked for any wait. The budget is empty and doesn't grow until setRetryShare.
func retryConfig() retry.Config {
	c := retry.Default()
	c.Backoff = retry.Backoff{Base: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	c.Backoffs = nil
	c.Ratio, c.PerSecond, c.Burst = 0, 0, 0
	return c
}

func (p *pool) setService(s route.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service = s
}

// setRetryShare sets this daemon's part of the retry budget, which the given number of daemons
// divide equally. The budget is empty at first if a former process may have spent its part.
func (p *pool) setRetryShare(b Bounds, budgetDaemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A pool that is new to a daemon which has run for a window hasn't spent anything in it either.
	fills := !p.budgetFilled && (p.edge.nothingSpent.Load() || p.budgetDaemons == 0 && p.edge.deps.Steady()-p.edge.startedAt >= b.RetryWindow)
	if budgetDaemons == p.budgetDaemons && !fills {
		return
	}
	perFirst, perSecond, burst := retry.BudgetShare(b.RetryRatio, b.RetrySlack, retryBudgetShare, b.RetryWindow, budgetDaemons)
	p.budgetDaemons = budgetDaemons
	p.retry.SetBudget(time.Now(), perFirst, perSecond, burst)
	if fills {
		p.budgetFilled = true
		p.retry.Fill()
	}
	p.edge.log.Note("retry_share", decisions.F("service", p.name), decisions.F("daemons", budgetDaemons), decisions.F("per_request", perFirst),
		decisions.F("per_second", perSecond), decisions.F("most", burst), decisions.F("balance", p.retry.Balance()),
		decisions.F("filled", fills))
}

// setSamples sets how many random runners a choice considers in a fleet of the given size.
func (p *pool) setSamples(daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetSamples(samplesFor(daemons))
}

// samplesFor returns how many random runners a choice considers in addition to those that hold
// the longest part of the prompt; zero means all. In a large fleet the daemons' knowledge of
// each other's load is up to a second old. If they considered all runners, all daemons would
// send to the one that had the least load at that time.
func samplesFor(daemons int) int {
	if daemons <= relays.AllWatchFleet {
		return 0
	}
	return largeFleetSamples
}

// pick chooses a runner: the one that a relay has recommended if it still accepts new work,
// otherwise the best one by this daemon's own routing table.
func (p *pool) pick(now time.Time, r *routing.Request, recommendedRunner ident.RunnerID) (routing.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.TrustHomes(p.recentlyRestarted())
	if c, ok := p.table.PickCandidate(recommendedRunner, r); ok {
		return c, nil
	}
	return p.pickInDomain(now, r)
}

// recordOffered records uncached prompt tokens that a request brings.
func (p *pool) recordOffered(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offeredTokens += float64(tokens)
}

func (p *pool) dispatch(now time.Time, c routing.Choice, r *routing.Request) routing.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(r.Prefix); n > 1 {
		p.edge.notePlacement(p.name, c.Runner, r.Prefix[:n-1])
	}
	p.recordCrossing(c, r)
	return p.table.Dispatch(now, c, r)
}

// isScaled reports whether the duty holder orders this service's runners from the cloud.
func (p *pool) isScaled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service.Scaling != nil
}

// hasEngine reports whether the runners are model engines.
func (p *pool) hasEngine() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service.Engine != nil
}

func (p *pool) recordNotStarted(k *routing.Ticket, r *routing.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.NotStarted(time.Now(), k, r.Prefix)
}

// firstToken marks the prefill as done and updates the estimated prefill rate.
func (p *pool) firstToken(k *routing.Ticket, c routing.Choice, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.FirstToken(time.Now(), k)
	if p.service.Engine == nil {
		return
	}
	if c.FetchFrom == "" && p.edge.settings.Policy.Uses(LearnSpeed) {
		p.prefillModel.Observe(prefill.Sample{Tokens: c.Uncached, Ahead: c.QueuedAhead, TTFT: p.speeds.normalise(c.Runner, took)})
	}
}

func (p *pool) recordFinished(k *routing.Ticket, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finished(time.Now(), k)
	if tokens > 0 {
		p.table.RecordOutputLength(tokens)
	}
}

// observeServiceTime updates the estimated service time of a plain service from one answer.
func (p *pool) observeServiceTime(c routing.Choice, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.service.Engine == nil {
		p.serviceTime.Observe(took, c.Running, p.slotsOf(c.Runner))
	}
}

// withRetryPolicy calls decide with the pool's retry policy while holding mu.
func (p *pool) withRetryPolicy(decide func(*retry.Policy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decide(p.retry)
}

// ownOfferedTokens returns the number of uncached prompt tokens that callers of this service
// brought to this daemon since it started.
func (p *pool) ownOfferedTokens() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offeredTokens
}

func (e *Edge) pool(service string) *pool {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	return e.pools[service]
}
