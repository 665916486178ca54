package dispatch

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/admission"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// attemptKey identifies an attempt by the request and the address of the runner.
// The code that calls an engine knows both, but not the attempt's ticket.
type attemptKey struct {
	request ident.RequestID
	address string
}

// attempt is one try to answer a request at a runner. It lasts from the routing
// decision until the try ends, with or without a complete answer.
type attempt struct {
	ticket       routing.Ticket
	grant        *grant
	started      time.Time
	firstTokenAt time.Time
	prefixHashes []prefix.Hash
	// expectedCached is the number of prompt tokens that the prefix index
	// expected to be cached at the runner.
	expectedCached int
}

// service holds the scheduling state of one model service. The mutex mu guards
// the fields below it. Code that holds mu must not make a call that blocks.
type service struct {
	name string
	cfg  Config

	mu                 sync.Mutex
	table              *routing.Table
	admission          *admission.Controller
	retry              *retry.Policy
	health             *health.Tracker
	outputStatsByClass map[string]*outputStats
	attempts           map[attemptKey]*attempt
	grants             map[ident.RequestID]*grant
	waiting            map[admission.ID]*grant
	lastID             admission.ID
	gaugesSetAt        time.Time
	effects            []admission.Effect
}

// gaugeInterval is the minimum time between two updates of the gauges of a
// service.
const gaugeInterval = time.Second

func newService(cfg Config, name string) *service {
	s := &service{
		name:               name,
		cfg:                cfg,
		health:             health.New(cfg.Policy.Health),
		outputStatsByClass: map[string]*outputStats{},
		attempts:           map[attemptKey]*attempt{},
		grants:             map[ident.RequestID]*grant{},
		waiting:            map[admission.ID]*grant{},
	}
	self := cfg.Directory.Self()
	r := routing.Default(self.ID, self.FailureDomain)
	r.Seed = cfg.Seed
	if cfg.Policy.Routing != nil {
		cfg.Policy.Routing(&r)
	}
	s.table = routing.New(r)
	a := cfg.Policy.Admission
	a.Count = func(reason refusal.Reason, ws ident.Workspace, class string) {
		cfg.incCounter(name, "refused."+string(reason)+"."+class)
		cfg.incCounter(name, "refused_by_workspace."+string(ws))
	}
	s.admission = admission.New(a)
	t := cfg.Policy.Retry
	t.Seed = cfg.Seed
	t.Count = func(reason retry.Reason, v retry.Verdict) {
		cfg.incCounter(name, "retry."+string(reason)+"."+string(v))
	}
	s.retry = retry.New(t)
	return s
}

// configure applies a new configuration.
func (s *service) configure(m *manifest.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var own []manifest.Model
	for _, model := range m.Models {
		if model.Service == s.name {
			own = append(own, model)
		}
	}
	s.table.SetModels(own)
	s.admission.SetLimits(m.Workspaces, m.Classes)
}

// setRunners applies a new list of runners.
func (s *service) setRunners(now time.Time, runners []view.Runner, gateways int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetRunners(now, runners)
	s.health.SetRunners(runnerIDs(s.table.AppendRemaining(nil)))
	s.updateCapacity(gateways)
}

// handleReport processes the load report of a runner.
func (s *service) handleReport(now time.Time, id ident.RunnerID, r load.Report, gateways int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Report(now, id, r)
	s.updateCapacity(gateways)
	s.deliverOutcomes(s.admission.Tick(now, s.effects[:0]))
}

// updateCapacity sets the capacity that admission may use to the share of this
// gateway.
func (s *service) updateCapacity(gateways int) {
	s.admission.SetCapacity(s.table.Capacity().Share(gateways, s.admission.Running()))
}

func (s *service) eventCursor(id ident.RunnerID) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Cursor(id)
}

func (s *service) applyCacheEvents(id ident.RunnerID, p prefix.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CacheEvents(id, p)
}

func (s *service) address(id ident.RunnerID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := s.table.ChoiceFor(id, &routing.Request{})
	return c.Address
}

// tick advances the time of admission and health tracking and returns the
// effects that the health tracker requested. tick has already applied the
// ejections and readmissions among them; only the probes are left to the caller.
func (s *service) tick(now time.Time) []health.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverOutcomes(s.admission.Tick(now, s.effects[:0]))
	effects := s.health.Tick(now, nil)
	s.applyHealthEffects(effects)
	s.setGauges(now)
	return effects
}

// needsTick reports whether the passage of time may soon change a decision: for
// a queued request or for an ejected runner.
func (s *service) needsTick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) > 0 || s.health.Ejected() > 0
}

func (s *service) setGauges(now time.Time) {
	if now.Sub(s.gaugesSetAt) < gaugeInterval {
		return
	}
	s.gaugesSetAt = now
	s.cfg.setGauge(s.name, "limit", float64(s.admission.Limit()))
	s.cfg.setGauge(s.name, "running", float64(s.admission.Running()))
	s.cfg.setGauge(s.name, "queued", float64(s.admission.Queued()))
	s.cfg.setGauge(s.name, "ejected", float64(s.health.Ejected()))
	s.cfg.setGauge(s.name, "retry_budget", s.retry.Balance())
	s.cfg.setGauge(s.name, "prefix.blocks", float64(s.table.PrefixBlocks()))
	s.cfg.setGauge(s.name, "runners", float64(s.table.Capacity().Runners))
}

// applyHealthEffects updates the routing table with ejections and readmissions.
// The caller holds s.mu.
func (s *service) applyHealthEffects(effects []health.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case health.Eject:
			s.table.SetEjected(e.Runner, true)
			s.cfg.incCounter(s.name, "ejections")
		case health.Readmit:
			s.table.SetEjected(e.Runner, false)
			s.cfg.incCounter(s.name, "readmissions")
		}
	}
}

func (s *service) handleProbe(now time.Time, id ident.RunnerID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyHealthEffects(s.health.HandleProbe(now, id, ok, nil))
}

// deliverOutcomes sends the decisions of admission to the requests that wait
// for them. The caller holds s.mu.
func (s *service) deliverOutcomes(effects []admission.Effect) {
	for _, e := range effects {
		g, ok := s.waiting[e.ID]
		if !ok {
			continue
		}
		delete(s.waiting, e.ID)
		g.outcome <- e
	}
	s.effects = effects[:0]
}
