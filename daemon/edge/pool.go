package edge

import (
	"slices"
	"strings"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/prefill"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/servicetime"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/route"
)

const (
	// firstPrefillRate, in tokens per second, stands in until first tokens have
	// been timed. It is what a 70B model's engine reads on eight accelerators.
	firstPrefillRate = 40_000
	// engineDecodeRate is tokens per second of one request in a half-full batch.
	engineDecodeRate = 150
	// plainServiceTime stands in for the mean time that a plain service's request
	// takes.
	plainServiceTime = 20 * time.Millisecond
	// spreadRate times faster than they work plain runners are taken to be for the sake of
	// those with free places: the less busy one is chosen then, though none would wait.
	spreadRate = 2
	// defaultSlots is used for a service whose runners don't tell theirs.
	defaultSlots = 16
	// remotePenalty is what another failure domain costs at the least: its way
	// there and back. Bytes between failure domains are paid for, too.
	remotePenalty = 5 * time.Millisecond
	// largeSamples is how many random runners the daemons of a large fleet choose from.
	largeSamples = 2
	// budgetKept is the part of the shared retry budget that is used; the rest
	// covers daemons that started anew.
	budgetKept = 0.85
)

// pool is one service's runners as one daemon uses them.
type pool struct {
	edge *Edge
	// name is the service's.
	name string

	mu      sync.Mutex
	service route.Service
	table   *routing.Table
	tracker *health.Tracker
	retry   *retry.Policy
	runners map[ident.RunnerID]Runner
	// others is the work of the other daemons at each runner, as it was known at othersAt.
	others   map[ident.RunnerID]routing.OwnLoad
	othersAt time.Duration
	// active is what is in progress at each runner.
	active map[ident.RunnerID]*activity
	// engines is what is known of the speed of model engines, plain that of other runners.
	engines *prefill.Model
	plain   *servicetime.Mean
	// offered is the prompt tokens that callers brought here and that had to be
	// read.
	offered float64
	daemons int
	// demand is measured from work, which was looked at last. counted is the part of
	// offered that nobody else counted, up to where offered was seen last.
	demand  *fleet.Demand
	work    fleet.Work
	counted float64
	seen    float64
}

func newPool(e *Edge, s route.Service) *pool {
	return &pool{
		edge:    e,
		name:    s.Name,
		service: s,
		table:   routing.New(tableConfig(e, s)),
		tracker: health.New(healthConfig()),
		retry:   retry.New(retryConfig(0, 0, 0)),
		runners: map[ident.RunnerID]Runner{},
		others:  map[ident.RunnerID]routing.OwnLoad{},
		active:  map[ident.RunnerID]*activity{},
		engines: prefill.New(firstPrefillRate),
		plain:   servicetime.New(plainServiceTime),
		demand:  fleet.NewDemand(demandConfig(e.set.Policy), e.set.FirstStart),
	}
}

func tableConfig(e *Edge, s route.Service) routing.Config {
	c := routing.Default(e.set.ID, e.set.FailureDomain)
	c.RemotePenalty = remotePenalty
	c.IgnorePrefix = !e.set.Policy.Uses(PlaceByPrefix)
	// The daemons tell each other their load several times a second, so the best
	// of all runners is not the same one for all of them for long.
	c.Samples = 0
	// What is known of a runner's load is the daemons' own counts, which neither
	// lag for long nor lie. A bound on the number of requests at one runner would
	// send prompts away from where they are cached: where runners are mostly idle
	// the second request of one is already far above the mean.
	c.LoadBound = 0
	if s.Engine == nil {
		c.PrefillRate = defaultSlots / plainServiceTime.Seconds()
		c.DecodeRate = 1 / plainServiceTime.Seconds()
		// A plain service's request is one token of output.
		c.Output = 1
		c.Batch = defaultSlots
		return c
	}
	c.PrefillRate = firstPrefillRate
	c.DecodeRate = engineDecodeRate
	c.Batch = s.Engine.Slots
	return c
}

// retryConfig has short waits: the next attempt goes to another runner, which
// has not asked for any.
func retryConfig(perFirst, perSecond, burst float64) retry.Config {
	c := retry.Default()
	c.Backoff = retry.Backoff{Base: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	c.Backoffs = nil
	c.Ratio, c.PerSecond, c.Burst = perFirst, perSecond, burst
	return c
}

func (p *pool) setService(s route.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service = s
}

// share sets this daemon's part of the shared retry budget.
func (p *pool) share(b Bounds, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if daemons == p.daemons {
		return
	}
	p.table.SetSamples(samplesFor(daemons))
	perFirst, perSecond, burst := retry.Share(b.RetryRatio, b.RetrySlack, budgetKept, b.RetryWindow, daemons)
	if p.daemons == 0 {
		// A new pool starts with its savings; without them the first failures
		// after a start could not be answered by another runner.
		p.retry = retry.New(retryConfig(perFirst, perSecond, burst))
	}
	p.daemons = daemons
	p.retry.Limit(perFirst, perSecond, burst)
}

// samplesFor is how many random runners a choice looks at beside those that hold the
// longest part of the prompt; zero is all. A large fleet's daemons know each other's work
// up to a second late, and would all send to the runner that had the least then.
func samplesFor(daemons int) int {
	if daemons <= relays.AllWatchFleet {
		return 0
	}
	return largeSamples
}

func (p *pool) setRunners(now time.Time, runners []Runner) {
	slices.SortFunc(runners, func(a, b Runner) int { return strings.Compare(string(a.ID), string(b.ID)) })
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]view.Runner, 0, len(runners))
	ids := make([]ident.RunnerID, 0, len(runners))
	p.runners = make(map[ident.RunnerID]Runner, len(runners))
	for _, r := range runners {
		list = append(list, r.Runner)
		ids = append(ids, r.ID)
		p.runners[r.ID] = r
	}
	p.table.SetRunners(now, list)
	p.tracker.SetRunners(ids)
	p.reportLocked(now)
}

// setOthers takes in the other daemons' work at this pool's runners.
func (p *pool) setOthers(now time.Time, others map[ident.RunnerID]routing.OwnLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others, p.othersAt = others, p.edge.deps.Steady()
	p.reportLocked(now)
}

// reportLocked tells the table each runner's whole load, own work included. The
// runners' own reports are not asked for: all of their work comes from these daemons,
// whose word is younger.
func (p *pool) reportLocked(now time.Time) {
	for _, own := range p.table.OwnLoads(nil) {
		r, ok := p.runners[own.Runner]
		if !ok {
			continue
		}
		other := p.others[own.Runner]
		p.table.Report(now, own.Runner, p.report(now, r, own, other))
	}
}

func (p *pool) report(now time.Time, r Runner, own, other routing.OwnLoad) load.Report {
	rep := load.Report{
		AsOf:          now,
		Running:       own.Requests + other.Requests,
		MaxRunning:    r.Slots,
		QueuedTokens:  own.Prefill + other.Prefill,
		RunningTokens: own.KV + other.KV,
		Models:        r.Models,
	}
	if len(rep.Models) == 0 {
		// A plain service's requests name no model.
		rep.Models = []load.Model{{}}
	}
	if p.service.Engine == nil {
		rep.DecodeRate = 1 / p.plain.Seconds()
		rep.PrefillRate = spreadRate * float64(p.placesOf(r.ID)) * rep.DecodeRate
	} else {
		rep.KVBlocksTotal = p.service.Engine.KVTokens / prefix.BlockTokens
		rep.PrefillRate = p.engines.Rate()
	}
	return rep
}

// pick chooses a runner, the advised one if there is one and it still takes new work;
// first says that the request is new here.
func (p *pool) pick(now time.Time, r *routing.Request, advised ident.RunnerID, first bool) (routing.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.TrustHomes(p.forgetful())
	c, ok := p.table.PickCandidate(advised, r)
	var err error
	if !ok {
		c, err = p.table.Pick(now, r)
	}
	if first && err == nil {
		p.offered += float64(c.Uncached)
	}
	return c, err
}

func (p *pool) dispatch(now time.Time, c routing.Choice, r *routing.Request, first bool) routing.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first {
		p.retry.FirstAttempt(now)
	}
	if n := len(r.Prefix); n > 1 {
		p.edge.placed(p.name, c.Runner, r.Prefix[:n-1])
	}
	return p.table.Dispatch(now, c, r)
}

// scales tells whether the runners are the system's to order.
func (p *pool) scales() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service.Scaling != nil
}

// hasEngine tells whether the runners are model engines.
func (p *pool) hasEngine() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service.Engine != nil
}

func (p *pool) notStarted(k *routing.Ticket, r *routing.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.NotStarted(time.Now(), k, r.Prefix)
}

// firstToken counts the prefill as done and learns the rate from its time.
func (p *pool) firstToken(k *routing.Ticket, c routing.Choice, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.FirstToken(time.Now(), k)
	if p.service.Engine == nil {
		return
	}
	if c.FetchFrom == "" && p.edge.set.Policy.Uses(LearnSpeed) {
		p.engines.Observe(prefill.Sample{Tokens: c.Uncached, Ahead: c.QueuedAhead, Took: took})
	}
}

func (p *pool) finished(k *routing.Ticket, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finished(time.Now(), k)
	if tokens > 0 {
		p.table.RecordOutputLength(tokens)
	}
}

// placesOf is how many requests a runner works on at once; called with mu held.
func (p *pool) placesOf(id ident.RunnerID) int {
	if n := p.runners[id].Slots; n > 0 {
		return n
	}
	return defaultSlots
}

// answered learns from how long a plain service's answer took.
func (p *pool) answered(c routing.Choice, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.service.Engine == nil {
		p.plain.Observe(took, c.Running, p.placesOf(c.Runner))
	}
}

// next answers a failed attempt under the pool's lock; see forward.Exchange.
func (p *pool) next(decide func(*retry.Policy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decide(p.retry)
}

// ownOffered is the prompt tokens that callers brought here.
func (p *pool) ownOffered() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offered
}

// loads appends this daemon's own work at the pool's runners.
func (p *pool) loads(dst []routing.OwnLoad) []routing.OwnLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.OwnLoads(dst)
}

func (e *Edge) pool(service string) *pool {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	return e.pools[service]
}
