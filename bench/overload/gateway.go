package overload

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/polling"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/admission"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// arm is a combination of admission control, routing and engine priorities.
type arm struct {
	name string
	// controlsAdmission enables admission control.
	controlsAdmission bool
	// roundRobin picks the engines in turn instead of through the routing table.
	roundRobin bool
	// priorities passes the classes' priorities on to the engines.
	priorities bool
	routing    func(*routing.Config)
	admission  func(*admission.Config)
	// budget limits reads from engines, in bytes per second; zero means
	// defaultReadBudget.
	budget float64
}

func arms() []arm {
	leastLoaded := func(c *routing.Config) { c.IgnorePrefix, c.IgnoreRisk, c.Samples, c.LoadBound = true, true, 0, 0 }
	return []arm{
		{name: "policy", controlsAdmission: true, priorities: true},
		{name: "fifo", roundRobin: true},
		{name: "least_loaded", priorities: true, routing: leastLoaded},
		{name: "policy_no_prefix", controlsAdmission: true, priorities: true, routing: func(c *routing.Config) { c.IgnorePrefix = true }},
		{name: "policy_best_of_all", controlsAdmission: true, priorities: true, routing: func(c *routing.Config) { c.Samples = 0 }},
		{name: "policy_3_kb", controlsAdmission: true, priorities: true, budget: 3000},
		{name: "policy_32_kb", controlsAdmission: true, priorities: true, budget: 32_000},
		{name: "policy_best_of_4", controlsAdmission: true, priorities: true, routing: func(c *routing.Config) { c.Samples = 4 }},
	}
}

// gateway holds the admission, routing and polling state of one gateway.
type gateway struct {
	arm       arm
	table     *routing.Table
	admission *admission.Controller
	tickets   map[int]*routing.Ticket
	turn      int
	effects   []admission.Effect
	planner   *polling.Planner
	// bytes counts the bytes of all reads.
	bytes int
}

func newGateway(a arm, self int, seed uint64) *gateway {
	g := &gateway{arm: a, tickets: map[int]*routing.Ticket{}, turn: self}
	cfg := routing.Default(ident.DaemonID(fmt.Sprint("gateway", self)), domain(self))
	cfg.Seed = seed*gateways + uint64(self)
	if a.routing != nil {
		a.routing(&cfg)
	}
	g.table = routing.New(cfg)
	g.table.SetModels([]manifest.Model{{Name: model, Version: version}})
	g.table.SetRunners(epoch, runners())
	g.admission = newAdmission(a)
	g.planner = polling.New(polling.Default())
	g.planner.SetTargets(service, runnerIDs())
	g.planner.SetBudget(epoch, cmp.Or(a.budget, defaultReadBudget))
	return g
}

func newAdmission(a arm) *admission.Controller {
	if !a.controlsAdmission {
		return nil
	}
	cfg := admission.Default()
	if a.admission != nil {
		a.admission(&cfg)
	}
	c := admission.New(cfg)
	var workspaces []manifest.Workspace
	for _, t := range tenants() {
		workspaces = append(workspaces, t.Workspace)
	}
	c.SetLimits(workspaces, classes)
	return c
}

func domain(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprint("domain", i%4)) }

func runners() []view.Runner {
	list := make([]view.Runner, engines)
	for i := range list {
		list[i] = view.Runner{
			ID:            runnerID(i),
			Address:       fmt.Sprint(i),
			FailureDomain: domain(i),
			VMClass:       "standard",
			Reclaimable:   true,
			PricePerHour:  1,
			State:         view.Live,
		}
	}
	return list
}

const service = "llm"

func runnerID(i int) ident.RunnerID { return ident.RunnerID(fmt.Sprint("runner", i)) }

func runnerIDs() []ident.RunnerID {
	ids := make([]ident.RunnerID, engines)
	for i := range ids {
		ids[i] = runnerID(i)
	}
	return ids
}

func engineOf(id ident.RunnerID) int { return slices.Index(runnerIDs(), id) }

// recordUse tells the polling planner that an attempt at an engine began or ended.
func (g *gateway) recordUse(engine int) {
	g.planner.RecordUse(polling.Target{Service: service, Runner: runnerID(engine)})
}

// report passes an engine's load report to the routing table and updates the capacity
// for admission.
func (g *gateway) report(now time.Time, i int, l engineapi.Load) {
	r := load.Report{
		AsOf:          now.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
		Running:       l.Running,
		Waiting:       l.Waiting,
		MaxRunning:    l.MaxRunning,
		QueuedTokens:  l.QueuedTokens,
		RunningTokens: l.RunningTokens,
		KVBlocksTotal: l.KVBlocksTotal,
		KVBlocksFree:  l.KVBlocksFree,
		PrefillRate:   l.PrefillRate,
		DecodeRate:    l.DecodeRate,
		Models:        []load.Model{{Name: model, Version: version}},
	}
	g.table.Report(now, runnerID(i), r)
	if g.admission != nil {
		g.admission.SetCapacity(g.table.Capacity().Share(gateways, g.admission.Running()))
	}
}

func (g *gateway) cacheEvents(i int, events engineapi.CacheEvents) error {
	page := prefix.Page{First: events.First, Next: events.Next}
	for _, e := range events.Events {
		page.Events = append(page.Events, prefix.Event{Sequence: e.Sequence, Block: e.Block, Stored: e.Stored})
	}
	if err := g.table.CacheEvents(runnerID(i), page); err != nil {
		return fmt.Errorf("cache events: %w", err)
	}
	return nil
}

// slackShare divides the first-token target of non-urgent requests: they may wait up
// to a quarter of the target longer for a safer runner. The daemon uses the same
// share.
const slackShare = 4

func (g *gateway) request(r *request) routing.Request {
	long := r.kind.class != urgent
	return routing.Request{
		Model:        model,
		Prefix:       r.blocks,
		PromptTokens: r.promptTokens(),
		OutputTokens: r.output,
		Long:         long,
		Slack:        time.Duration(classNamed(r.kind.class).TTFTMillis) * time.Millisecond / slackShare,
	}
}

// offer asks admission control to admit a request.
func (g *gateway) offer(now time.Time, r *request) []admission.Effect {
	rr := g.request(r)
	choice, err := g.table.Pick(now, &rr)
	if err != nil {
		panic(fmt.Errorf("pick for an estimate: %w", err)) // cannot fail: no runner leaves in this experiment
	}
	it := admission.Item{
		ID:               admission.ID(r.id),
		Workspace:        tenants()[r.tenant].Name,
		Class:            r.kind.class,
		Cost:             g.cost(choice.Uncached, r.output),
		TimeToFirstToken: choice.Estimate,
		ServiceTime:      choice.Estimate + time.Duration(r.output)*2*step,
	}
	return g.admission.Offer(now, it, g.effects[:0])
}

func (g *gateway) cost(uncached, output int) float64 {
	return float64(output) + float64(uncached)*g.table.Capacity().PromptCost
}

// pick returns the engine for an admitted request.
func (g *gateway) pick(now time.Time, r *request) int {
	if g.arm.roundRobin {
		g.turn = (g.turn + 1) % engines
		return g.turn
	}
	rr := g.request(r)
	choice, err := g.table.Pick(now, &rr)
	if err != nil {
		panic(fmt.Errorf("pick: %w", err)) // cannot fail: no runner leaves in this experiment
	}
	ticket := g.table.Dispatch(now, choice, &rr)
	g.tickets[r.id] = &ticket
	chosen := engineOf(choice.Runner)
	g.recordUse(chosen)
	return chosen
}

func (g *gateway) firstToken(now time.Time, r *request) {
	if t, ok := g.tickets[r.id]; ok {
		g.table.FirstToken(now, t)
	}
	if g.admission != nil {
		g.admission.FirstToken(now, admission.ID(r.id), now.Sub(r.admitted))
	}
}

// finished records the end of a request and returns the admission decisions that it
// allows.
func (g *gateway) finished(now time.Time, r *request) []admission.Effect {
	if t, ok := g.tickets[r.id]; ok {
		g.table.Finished(now, t)
		g.table.RecordOutputLength(r.output)
		delete(g.tickets, r.id)
		g.recordUse(r.engine)
	}
	if g.admission == nil {
		return nil
	}
	id := admission.ID(r.id)
	if r.output > 1 {
		g.admission.BetweenTokens(now, id, now.Sub(r.first)/time.Duration(r.output-1))
	}
	return g.admission.Finish(now, id, g.cost(r.promptTokens()-r.cached, r.output), g.effects[:0])
}
