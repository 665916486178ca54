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
	"cmp"
	"math"
	"slices"
	"strings"
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
	// Role is what the runner's engine says it is.
	Role string
}

// Kind tells what an order does.
type Kind int

// Orders.
const (
	// Load a version of a model, or an adapter onto it.
	Load Kind = iota + 1
	// Unload it.
	Unload
	// Role changes what the runner's engine is.
	Role
)

// Order asks one runner for one change.
type Order struct {
	Runner  ident.RunnerID
	Kind    Kind
	Model   string
	Version string
	// Adapter is "name@version"; empty is the model itself.
	Adapter string
	// Role is set in orders of kind Role only.
	Role string
}

// Limits paces the orders.
type Limits struct {
	// MaxLoadingShare of the serving runners may load at once; at least one.
	MaxLoadingShare float64
	// MaxLoads bounds the loads at once of the planner's runners. The weight
	// store paces all planners together by its rate limit; see Defer.
	MaxLoads int
	// RepeatAfter is how long an order may stay without effect in the reports.
	RepeatAfter time.Duration
	// FirstBackoff after a failed load; it doubles up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
}

// DefaultLimits suits loads of tens of seconds.
func DefaultLimits() Limits {
	return Limits{
		MaxLoadingShare: 0.25,
		MaxLoads:        8,
		RepeatAfter:     30 * time.Second,
		FirstBackoff:    5 * time.Second,
		MaxBackoff:      5 * time.Minute,
	}
}

// orderState is what the reports can't show yet of an order.
type orderState struct {
	// acceptedAt is when the runner took it; zero if it did not.
	acceptedAt time.Duration
	failures   int
	// retryAt is when it may be given again.
	retryAt time.Duration
}

// Planner plans for the runners of one service. It is not safe for concurrent
// use.
type Planner struct {
	limits Limits
	orders map[Order]*orderState
	// role is what the runners should be; empty leaves them as they are.
	role string
}

// New returns a planner that remembers no orders.
func New(l Limits) *Planner { return &Planner{limits: l, orders: map[Order]*orderState{}} }

const adapterSeparator = "@"

// AdapterID joins an adapter's name and version as runners report them.
func AdapterID(a manifest.Adapter) string { return a.Name + adapterSeparator + a.Version }

// SplitAdapterID is the inverse of AdapterID.
func SplitAdapterID(id string) (name, version string) {
	name, version, _ = strings.Cut(id, adapterSeparator)
	return name, version
}

// Targets gives the version that each runner should serve: the canary's on its
// share of the runners, chosen by hash so that the choice stays put when other
// runners come and go.
func Targets(m *manifest.Model, runners []ident.RunnerID) map[ident.RunnerID]string {
	targets := make(map[ident.RunnerID]string, len(runners))
	for _, r := range runners {
		targets[r] = m.Version
	}
	if m.Canary == nil || m.Canary.Share <= 0 {
		return targets
	}
	n := int(math.Ceil(m.Canary.Share * float64(len(runners))))
	for _, r := range byCanaryRank(m, runners)[:min(n, len(runners))] {
		targets[r] = m.Canary.Version
	}
	return targets
}

func byCanaryRank(m *manifest.Model, runners []ident.RunnerID) []ident.RunnerID {
	type ranked struct {
		id   ident.RunnerID
		rank uint64
	}
	list := make([]ranked, len(runners))
	for i, r := range runners {
		list[i] = ranked{id: r, rank: xxhash.Sum64String(m.Name + "/" + m.Canary.Version + "/" + string(r))}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]ident.RunnerID, len(list))
	for i, r := range list {
		out[i] = r.id
	}
	return out
}

// HandleFailure tells that a runner refused an order or failed at it.
func (p *Planner) HandleFailure(now time.Duration, o Order) {
	s := p.stateOf(o)
	wait := p.limits.FirstBackoff << min(s.failures, 16)
	s.failures++
	s.retryAt = now + min(wait, p.limits.MaxBackoff)
	s.acceptedAt = 0
}

// Defer tells that an order was not sent and is to wait, as for the weight
// store's rate limit. It counts as no failure.
func (p *Planner) Defer(now time.Duration, o Order, wait time.Duration) {
	s := p.stateOf(o)
	s.retryAt = now + wait
	s.acceptedAt = 0
}

// Pending tells whether the reports don't show all orders as done yet.
func (p *Planner) Pending() bool { return len(p.orders) > 0 }

// Plan returns the orders to give now. models are those of the service and
// runners its live ones that have reported.
func (p *Planner) Plan(now time.Duration, models []manifest.Model, runners []Runner) []Order {
	t := newPlanning(p, now, models, runners)
	t.dropObsoleteOrders()
	t.changeRoles()
	t.load()
	t.unload()
	for _, o := range t.orders {
		p.recordSent(now, o)
	}
	return t.orders
}

// SetRole says what the runners' engines should be; empty, as at the start,
// leaves them as they are.
func (p *Planner) SetRole(role string) { p.role = role }

func (p *Planner) stateOf(o Order) *orderState {
	s, ok := p.orders[o]
	if !ok {
		s = &orderState{}
		p.orders[o] = s
	}
	return s
}

func (p *Planner) recordSent(now time.Duration, o Order) {
	s := p.stateOf(o)
	s.acceptedAt = now
	s.retryAt = now + p.limits.RepeatAfter
}

// planning is the work of one Plan.
type planning struct {
	p       *Planner
	now     time.Duration
	models  []manifest.Model
	runners []Runner
	// targets holds a map for each of models.
	targets  []map[ident.RunnerID]string
	changing map[ident.RunnerID]bool
	orders   []Order
}

func newPlanning(p *Planner, now time.Duration, models []manifest.Model, runners []Runner) *planning {
	t := &planning{p: p, now: now, runners: runners, changing: map[ident.RunnerID]bool{}}
	t.models = slices.Clone(models)
	slices.SortStableFunc(t.models, func(a, b manifest.Model) int { return cmp.Compare(b.Priority, a.Priority) })
	ids := make([]ident.RunnerID, 0, len(runners))
	for _, r := range runners {
		ids = append(ids, r.ID)
		if anyLoading(r) {
			t.changing[r.ID] = true
		}
	}
	for i := range t.models {
		t.targets = append(t.targets, Targets(&t.models[i], ids))
	}
	return t
}

func anyLoading(r Runner) bool {
	return slices.ContainsFunc(r.Loaded, func(l Loaded) bool { return l.Loading })
}

// dropObsoleteOrders drops orders that the reports show as done, or whose runner has gone;
// the others keep their runner busy until they are due again.
func (t *planning) dropObsoleteOrders() {
	reported := map[ident.RunnerID]Runner{}
	for _, r := range t.runners {
		reported[r.ID] = r
	}
	for o, s := range t.p.orders {
		r, ok := reported[o.Runner]
		if !ok || o.Kind == Load && hasLoaded(r, o.Model, o.Version, o.Adapter) {
			delete(t.p.orders, o)
			continue
		}
		if o.Kind == Unload && !hasLoaded(r, o.Model, o.Version, o.Adapter) {
			delete(t.p.orders, o)
			continue
		}
		if o.Kind == Role && (r.Role == o.Role || o.Role != t.p.role) {
			delete(t.p.orders, o)
			continue
		}
		if o.Kind != Unload && s.acceptedAt != 0 && t.now < s.retryAt {
			t.changing[o.Runner] = true
		}
	}
}

func hasLoaded(r Runner, model, version, adapter string) bool {
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

func (t *planning) load() {
	for i := range t.models {
		t.loadModel(&t.models[i], t.targets[i])
	}
}

// loadModel starts with runners that serve no version yet, which adds capacity,
// then replaces versions on a few at a time, which costs some.
func (t *planning) loadModel(m *manifest.Model, targets map[ident.RunnerID]string) {
	var adding, replacing []Order
	for _, r := range t.runners {
		o, needed := firstMissing(m, targets[r.ID], r)
		if !needed {
			continue
		}
		if serves(r, m.Name) {
			replacing = append(replacing, o)
			continue
		}
		adding = append(adding, o)
	}
	for _, o := range adding {
		t.addIfAllowed(o, t.p.limits.MaxLoads)
	}
	for _, o := range replacing {
		t.addIfAllowed(o, t.maxConcurrentChanges())
	}
}

// maxConcurrentChanges is how many runners may change at once what they serve by.
func (t *planning) maxConcurrentChanges() int {
	share := int(t.p.limits.MaxLoadingShare * float64(len(t.runners)))
	return min(t.p.limits.MaxLoads, max(share, 1))
}

// changeRoles changes a few runners at a time: an engine may take no work while it
// changes.
func (t *planning) changeRoles() {
	if t.p.role == "" {
		return
	}
	for _, r := range t.runners {
		if r.Role != t.p.role {
			t.addIfAllowed(Order{Runner: r.ID, Kind: Role, Role: t.p.role}, t.maxConcurrentChanges())
		}
	}
}

// firstMissing is the first thing that the runner lacks of the model.
func firstMissing(m *manifest.Model, version string, r Runner) (Order, bool) {
	o := Order{Runner: r.ID, Kind: Load, Model: m.Name, Version: version}
	if !hasLoaded(r, m.Name, version, "") {
		return o, true
	}
	for _, a := range m.Adapters {
		o.Adapter = AdapterID(a)
		if !hasLoaded(r, m.Name, version, o.Adapter) {
			return o, true
		}
	}
	return Order{}, false
}

func (t *planning) addIfAllowed(o Order, limit int) {
	if t.changing[o.Runner] || len(t.changing) >= limit || t.delayed(o) {
		return
	}
	t.changing[o.Runner] = true
	t.orders = append(t.orders, o)
}

func (t *planning) delayed(o Order) bool {
	s, ok := t.p.orders[o]
	return ok && t.now < s.retryAt
}

// unload frees what no manifest wants, but an old version of a wanted model or
// adapter only after the runner serves the new one: a failed load must not
// leave a runner with nothing to serve.
func (t *planning) unload() {
	for _, r := range t.runners {
		for _, l := range r.Loaded {
			if l.Loading {
				continue
			}
			t.unloadUnwanted(r, l)
		}
	}
}

func (t *planning) unloadUnwanted(r Runner, l Loaded) {
	o := Order{Runner: r.ID, Kind: Unload, Model: l.Model, Version: l.Version}
	i := slices.IndexFunc(t.models, func(m manifest.Model) bool { return m.Name == l.Model })
	if i < 0 {
		t.addOrder(o)
		return
	}
	m := &t.models[i]
	target := t.targets[i][r.ID]
	if l.Version != target {
		// With adapters missing, the new version can't take over all requests.
		if _, lacks := firstMissing(m, target, r); !lacks {
			t.addOrder(o)
		}
		return
	}
	for _, adapter := range l.Adapters {
		if !adapterNeeded(m, l, adapter) {
			o.Adapter = adapter
			t.addOrder(o)
		}
	}
}

// adapterNeeded tells whether an adapter is wanted, or serves its name until the
// wanted version of it does.
func adapterNeeded(m *manifest.Model, l Loaded, adapter string) bool {
	name, _ := SplitAdapterID(adapter)
	for _, a := range m.Adapters {
		if a.Name == name {
			return adapter == AdapterID(a) || !slices.Contains(l.Adapters, AdapterID(a))
		}
	}
	return false
}

func (t *planning) addOrder(o Order) {
	if !t.delayed(o) {
		t.orders = append(t.orders, o)
	}
}
