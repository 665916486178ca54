// Package rollout brings models, adapters and versions on the runners to what
// the manifest says: a few runners at a time, so that capacity is kept, paced
// to the weight store, with a canary share where the manifest asks for one, and
// backing off where a load fails.
//
// Orders state what should be, so they can be repeated: the planner compares
// wanted with reported state on every call and keeps only what reports can't
// show yet. A new holder of the responsibility starts with an empty planner.
package rollout

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Loaded is one version of a model in a runner's memory, as the runner reports.
type Loaded struct {
	Model    string
	Version  string
	Adapters []string
	Loading  bool
}

// Runner is one runner's last report.
type Runner struct {
	ID     ident.RunnerID
	Loaded []Loaded
}

// Kind tells what an order does.
type Kind int

// Orders.
const (
	// Load a version of a model, or an adapter onto it.
	Load Kind = iota + 1
	// Unload it.
	Unload
)

// Order asks one runner for one change.
type Order struct {
	Runner  ident.RunnerID
	Kind    Kind
	Model   string
	Version string
	// Adapter is "name@version"; empty is the model itself.
	Adapter string
}

// Limits paces the orders.
type Limits struct {
	// MaxLoadingShare of the serving runners may load at once; at least one.
	MaxLoadingShare float64
	// MaxLoads bounds the loads at once, all runners together, to what the
	// weight store gives.
	MaxLoads int
	// Repeat is how long an order may stay without effect in the reports.
	Repeat time.Duration
	// FirstBackoff after a failed load; it doubles up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
}

// DefaultLimits suits loads of tens of seconds.
func DefaultLimits() Limits {
	return Limits{
		MaxLoadingShare: 0.25,
		MaxLoads:        8,
		Repeat:          30 * time.Second,
		FirstBackoff:    5 * time.Second,
		MaxBackoff:      5 * time.Minute,
	}
}

type sent struct {
	at       time.Duration
	failures int
	until    time.Duration
}

// Planner plans for the runners of one service. It is not safe for concurrent
// use.
type Planner struct {
	limits Limits
	orders map[Order]*sent
}

// New returns a planner that remembers no orders.
func New(l Limits) *Planner { return &Planner{limits: l, orders: map[Order]*sent{}} }

// AdapterID joins an adapter's name and version as runners report them.
func AdapterID(a manifest.Adapter) string { return a.Name + "@" + a.Version }

// TargetVersion is the version that a runner should serve: the canary's on its
// share of the runners, chosen by hash so that the choice stays put when other
// runners come and go.
func TargetVersion(m *manifest.Model, runners []ident.RunnerID, r ident.RunnerID) string {
	if m.Canary == nil || m.Canary.Share <= 0 {
		return m.Version
	}
	n := int(math.Ceil(m.Canary.Share * float64(len(runners))))
	own := canaryRank(m, r)
	before := 0
	for _, other := range runners {
		if canaryRank(m, other) < own {
			before++
		}
	}
	if before < n {
		return m.Canary.Version
	}
	return m.Version
}

func canaryRank(m *manifest.Model, r ident.RunnerID) uint64 {
	return xxhash.Sum64String(m.Name + "/" + m.Canary.Version + "/" + string(r))
}

// Failed tells that a runner refused an order or failed at it.
func (p *Planner) Failed(now time.Duration, o Order) {
	s, ok := p.orders[o]
	if !ok {
		s = &sent{}
		p.orders[o] = s
	}
	wait := p.limits.FirstBackoff << min(s.failures, 16)
	s.failures++
	s.until = now + min(wait, p.limits.MaxBackoff)
	s.at = 0
}

// Plan returns the orders to give now. models are those of the service and
// runners its live ones that have reported.
func (p *Planner) Plan(now time.Duration, models []manifest.Model, runners []Runner) []Order {
	t := newTurn(p, now, models, runners)
	t.forget()
	t.load()
	t.unload()
	for _, o := range t.out {
		p.note(now, o)
	}
	return t.out
}

func (p *Planner) note(now time.Duration, o Order) {
	s, ok := p.orders[o]
	if !ok {
		s = &sent{}
		p.orders[o] = s
	}
	s.at = now
	s.until = now + p.limits.Repeat
}

// turn is the work of one Plan.
type turn struct {
	p       *Planner
	now     time.Duration
	models  []manifest.Model
	runners []Runner
	ids     []ident.RunnerID
	busy    map[ident.RunnerID]bool
	out     []Order
}

func newTurn(p *Planner, now time.Duration, models []manifest.Model, runners []Runner) *turn {
	t := &turn{p: p, now: now, runners: runners, busy: map[ident.RunnerID]bool{}}
	t.models = slices.Clone(models)
	sort.SliceStable(t.models, func(i, j int) bool { return t.models[i].Priority > t.models[j].Priority })
	for _, r := range runners {
		t.ids = append(t.ids, r.ID)
		if anyLoading(r) {
			t.busy[r.ID] = true
		}
	}
	return t
}

func anyLoading(r Runner) bool {
	return slices.ContainsFunc(r.Loaded, func(l Loaded) bool { return l.Loading })
}

// forget drops orders that the reports show as done, or whose runner has gone;
// the others keep their runner busy until they are due again.
func (t *turn) forget() {
	reported := map[ident.RunnerID]Runner{}
	for _, r := range t.runners {
		reported[r.ID] = r
	}
	for o, s := range t.p.orders {
		r, ok := reported[o.Runner]
		if !ok || o.Kind == Load && holds(r, o.Model, o.Version, o.Adapter) {
			delete(t.p.orders, o)
			continue
		}
		if o.Kind == Unload && !holds(r, o.Model, o.Version, o.Adapter) {
			delete(t.p.orders, o)
			continue
		}
		if o.Kind == Load && s.at != 0 && t.now < s.until {
			t.busy[o.Runner] = true
		}
	}
}

func holds(r Runner, model, version, adapter string) bool {
	for _, l := range r.Loaded {
		if l.Model != model || l.Version != version || l.Loading {
			continue
		}
		if adapter == "" || slices.Contains(l.Adapters, adapter) {
			return true
		}
	}
	return false
}

func serves(r Runner, model string) bool {
	return slices.ContainsFunc(r.Loaded, func(l Loaded) bool { return l.Model == model && !l.Loading })
}

func (t *turn) load() {
	for i := range t.models {
		t.loadModel(&t.models[i])
	}
}

// loadModel starts with runners that serve no version yet, which adds capacity,
// then replaces versions on a few at a time, which costs some.
func (t *turn) loadModel(m *manifest.Model) {
	var fresh, stale []Order
	for _, r := range t.runners {
		o, needed := t.next(m, r)
		if !needed {
			continue
		}
		if serves(r, m.Name) {
			stale = append(stale, o)
			continue
		}
		fresh = append(fresh, o)
	}
	for _, o := range fresh {
		t.try(o, t.p.limits.MaxLoads)
	}
	replacing := int(t.p.limits.MaxLoadingShare * float64(len(t.runners)))
	for _, o := range stale {
		t.try(o, min(t.p.limits.MaxLoads, max(replacing, 1)))
	}
}

// next is the first thing that the runner lacks of the model.
func (t *turn) next(m *manifest.Model, r Runner) (Order, bool) {
	version := TargetVersion(m, t.ids, r.ID)
	o := Order{Runner: r.ID, Kind: Load, Model: m.Name, Version: version}
	if !holds(r, m.Name, version, "") {
		return o, true
	}
	for _, a := range m.Adapters {
		o.Adapter = AdapterID(a)
		if !holds(r, m.Name, version, o.Adapter) {
			return o, true
		}
	}
	return Order{}, false
}

func (t *turn) try(o Order, limit int) {
	if t.busy[o.Runner] || len(t.busy) >= limit || t.waiting(o) {
		return
	}
	t.busy[o.Runner] = true
	t.out = append(t.out, o)
}

func (t *turn) waiting(o Order) bool {
	s, ok := t.p.orders[o]
	return ok && t.now < s.until
}

// unload frees what no manifest wants, but an old version of a wanted model
// only after the runner serves the new one: a failed load must not leave a
// runner with nothing to serve.
func (t *turn) unload() {
	for _, r := range t.runners {
		for _, l := range r.Loaded {
			if l.Loading || t.wanted(r, l) {
				continue
			}
			o := Order{Runner: r.ID, Kind: Unload, Model: l.Model, Version: l.Version}
			if !t.waiting(o) {
				t.out = append(t.out, o)
			}
		}
	}
}

func (t *turn) wanted(r Runner, l Loaded) bool {
	for i := range t.models {
		m := &t.models[i]
		if m.Name != l.Model {
			continue
		}
		target := TargetVersion(m, t.ids, r.ID)
		return l.Version == target || !holds(r, m.Name, target, "")
	}
	return false
}
