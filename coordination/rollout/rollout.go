// Package rollout brings the models, adapters and versions on the runners to the state in the
// manifest. It changes a few runners at a time to keep capacity, respects the rate limit of the
// weight store, loads a canary version on a fraction of the runners if the manifest has one, and
// backs off after failed loads.
//
// An order is a command to one runner. Orders describe the wanted state, so repeating them is safe.
// On every call the planner compares the wanted with the reported state, and it stores only what the
// reports don't show yet. A new holder of the responsibility starts with an empty planner.
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

// Loaded is one version of a model in a runner's memory, as reported by the runner.
type Loaded struct {
	Model   string
	Version string
	// Adapters holds the IDs of the loaded adapters, in the form of AdapterID.
	Adapters []string
	// Loading says that the version is still being loaded and can't serve requests yet.
	Loading bool
}

// Runner is the last report of one runner.
type Runner struct {
	ID     ident.RunnerID
	Loaded []Loaded
	// Role is the part of the work on a request that the runner's engine takes on, as the engine
	// itself names it. For example, an engine with the role "decode" generates the output tokens.
	Role string
}

// Kind says what an order changes at its runner.
type Kind int

// Kinds of orders.
const (
	// Load loads a version of a model, or an adapter for it.
	Load Kind = iota + 1
	// Unload unloads a version of a model, or an adapter.
	Unload
	// ChangeRole changes the role of the runner's engine.
	ChangeRole
)

// Order is a command to one runner: to load or unload a version of a model or one adapter, or to
// change the role of its engine.
type Order struct {
	Runner  ident.RunnerID
	Kind    Kind
	Model   string
	Version string
	// Adapter is "name@version"; empty means the model itself.
	Adapter string
	// Role is the role that the runner's engine should take. It is set only in orders of kind
	// ChangeRole.
	Role string
}

// Limits bounds how many runners change at the same time and how soon an order is given again.
type Limits struct {
	// MaxLoadingShare is the fraction of the service's runners up to which runners that already
	// serve the model may replace its version or change their role at the same time. The limit
	// is at least one runner and at most MaxLoads.
	MaxLoadingShare float64
	// MaxLoads is the most runners of the planner's service that may load weights or change
	// their role at the same time. It does not include other services: the weight store limits
	// the rate of the loads of all services, and orders that it delays are passed to Defer.
	MaxLoads int
	// RepeatAfter is the time after which an order is given again if the runner's reports still
	// don't show its effect.
	RepeatAfter time.Duration
	// FirstBackoff is the delay before an order is given again after its first failure. The delay
	// doubles with each further failure, up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
}

// DefaultLimits suits loads that take tens of seconds.
func DefaultLimits() Limits {
	return Limits{
		MaxLoadingShare: 0.25,
		MaxLoads:        8,
		RepeatAfter:     30 * time.Second,
		FirstBackoff:    5 * time.Second,
		MaxBackoff:      5 * time.Minute,
	}
}

// orderState holds what the planner remembers of an order until the reports show its effect.
type orderState struct {
	// plannedAt is the time of the call of Plan that last returned the order; zero after a call of
	// HandleFailure or Defer for it.
	plannedAt time.Duration
	failures  int
	// retryAt is when the order may be given again.
	retryAt time.Duration
}

// Planner plans the orders for the runners of one service. It is not safe for concurrent use.
type Planner struct {
	limits Limits
	orders map[Order]*orderState
	// role is the wanted role of the runners' engines; empty leaves their roles unchanged.
	role string
}

// New returns a planner without orders.
func New(l Limits) *Planner { return &Planner{limits: l, orders: map[Order]*orderState{}} }

const adapterSeparator = "@"

// AdapterID joins an adapter's name and version in the form in which runners report them.
func AdapterID(a manifest.Adapter) string { return a.Name + adapterSeparator + a.Version }

// SplitAdapterID is the inverse of AdapterID.
func SplitAdapterID(id string) (name, version string) {
	name, version, _ = strings.Cut(id, adapterSeparator)
	return name, version
}

// Targets returns the version that each runner should serve. The canary version goes to
// the fraction Canary.Share of the runners, rounded up. These runners are chosen by hash, so the
// choice remains stable when other runners are added or removed.
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

// byCanaryRank returns the runners in the order in which they get the canary version: by a hash of
// the model's name, the canary version and the runner's ID.
func byCanaryRank(m *manifest.Model, runners []ident.RunnerID) []ident.RunnerID {
	type ranked struct {
		id   ident.RunnerID
		hash uint64
	}
	list := make([]ranked, len(runners))
	for i, r := range runners {
		list[i] = ranked{id: r, hash: xxhash.Sum64String(m.Name + "/" + m.Canary.Version + "/" + string(r))}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]ident.RunnerID, len(list))
	for i, r := range list {
		out[i] = r.id
	}
	return out
}

// HandleFailure records that a runner refused an order or failed to execute it. The order is given
// again after a delay that doubles with each failure.
func (p *Planner) HandleFailure(now time.Duration, o Order) {
	s := p.stateOf(o)
	wait := p.limits.FirstBackoff << min(s.failures, 16)
	s.failures++
	s.retryAt = now + min(wait, p.limits.MaxBackoff)
	s.plannedAt = 0
}

// Defer records that an order was not sent and must wait, for example for the weight store's
// rate limit. It does not count as a failure.
func (p *Planner) Defer(now time.Duration, o Order, wait time.Duration) {
	s := p.stateOf(o)
	s.retryAt = now + wait
	s.plannedAt = 0
}

// Pending reports whether the planner has given orders whose effect the runners' reports did not show
// at the last call of Plan.
func (p *Planner) Pending() bool { return len(p.orders) > 0 }

// Plan returns the orders to give now. models are the models of the service; runners are its
// live runners that have reported.
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

// SetRole sets the wanted role of the runners' engines. The initial empty role leaves them
// unchanged.
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
	s.plannedAt = now
	s.retryAt = now + p.limits.RepeatAfter
}

// planning is the state of one call of Plan.
type planning struct {
	planner *Planner
	now     time.Duration
	models  []manifest.Model
	runners []Runner
	// targets holds the result of Targets for each of models.
	targets []map[ident.RunnerID]string
	// changing holds the runners that are loading or changing their role, and those with a load or
	// role order that Plan has returned and that the reports don't show as done.
	changing map[ident.RunnerID]bool
	orders   []Order
}

func newPlanning(planner *Planner, now time.Duration, models []manifest.Model, runners []Runner) *planning {
	t := &planning{planner: planner, now: now, runners: runners, changing: map[ident.RunnerID]bool{}}
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

// dropObsoleteOrders drops the orders that the reports show as done and those whose runner is
// gone. A runner with a remaining load or role order counts as changing until the order may be
// repeated.
func (t *planning) dropObsoleteOrders() {
	reported := map[ident.RunnerID]Runner{}
	for _, r := range t.runners {
		reported[r.ID] = r
	}
	for o, s := range t.planner.orders {
		r, ok := reported[o.Runner]
		if !ok || o.Kind == Load && hasLoaded(r, o.Model, o.Version, o.Adapter) {
			delete(t.planner.orders, o)
			continue
		}
		if o.Kind == Unload && !hasLoaded(r, o.Model, o.Version, o.Adapter) {
			delete(t.planner.orders, o)
			continue
		}
		if o.Kind == ChangeRole && (r.Role == o.Role || o.Role != t.planner.role) {
			delete(t.planner.orders, o)
			continue
		}
		if o.Kind != Unload && s.plannedAt != 0 && t.now < s.retryAt {
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

// loadModel first orders loads on runners that serve no version yet, which adds capacity. Then
// it replaces versions on a few runners at a time, which temporarily costs capacity.
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
		t.addIfAllowed(o, t.planner.limits.MaxLoads)
	}
	for _, o := range replacing {
		t.addIfAllowed(o, t.maxConcurrentChanges())
	}
}

// maxConcurrentChanges returns how many serving runners may change at once.
func (t *planning) maxConcurrentChanges() int {
	share := int(t.planner.limits.MaxLoadingShare * float64(len(t.runners)))
	return min(t.planner.limits.MaxLoads, max(share, 1))
}

// changeRoles changes a few runners at a time, because an engine may accept no requests during
// the change.
func (t *planning) changeRoles() {
	if t.planner.role == "" {
		return
	}
	for _, r := range t.runners {
		if r.Role != t.planner.role {
			t.addIfAllowed(Order{Runner: r.ID, Kind: ChangeRole, Role: t.planner.role}, t.maxConcurrentChanges())
		}
	}
}

// firstMissing returns a load order for the first part of the model that the runner lacks.
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

// addIfAllowed adds an order unless its runner is changing, limit runners are changing, or the
// order must not be repeated yet.
func (t *planning) addIfAllowed(o Order, limit int) {
	if t.changing[o.Runner] || len(t.changing) >= limit || t.delayed(o) {
		return
	}
	t.changing[o.Runner] = true
	t.orders = append(t.orders, o)
}

// delayed reports whether an order must not be given or repeated yet.
func (t *planning) delayed(o Order) bool {
	s, ok := t.planner.orders[o]
	return ok && t.now < s.retryAt
}

// unload unloads what the manifest does not want. An old version of a wanted model or adapter is
// unloaded only after the runner serves the new one, so that a failed load never leaves a runner
// with nothing to serve.
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
		// While adapters are missing, the new version can't serve all requests.
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

// adapterNeeded reports whether an adapter is wanted, or is the old version of a wanted adapter
// whose new version is not loaded yet.
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
