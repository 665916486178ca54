package orders

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"geraniumstack.org/geraniumstack/coordination/rollout"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/holder"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

const (
	reportParallelism = 8
	orderParallelism  = 8
)

// rolloutDuty brings one shard of a service's runners to the manifest.
type rolloutDuty struct {
	driver        *Driver
	service       string
	shards, shard int
	holder        *holder.Holder
	planner       *rollout.Planner
	tenure        uint64
	lastRound     shardInputs
}

// shardInputs is what the last shardInputs at the shard was about.
type shardInputs struct {
	at      time.Duration
	models  []manifest.Model
	role    string
	runners []view.Runner
	// settled says that it found nothing to order and nothing under way.
	settled bool
}

func newRolloutDuty(d *Driver, service string, shards, shard int, h *holder.Holder) *rolloutDuty {
	return &rolloutDuty{driver: d, service: service, shards: shards, shard: shard, holder: h}
}

func (r *rolloutDuty) run(ctx context.Context, m *manifest.Manifest, fencingToken uint64) error {
	service := m.ServiceNamed(r.service)
	if service == nil {
		return nil
	}
	if r.tenure != fencingToken {
		r.tenure = fencingToken
		r.planner = rollout.New(rollout.DefaultLimits())
		r.lastRound = shardInputs{}
	}
	// Without a permit the orders would only be planned to be dropped, and the
	// runners polled for nothing.
	if _, ok := r.holder.Permit(service.ChecksFencing); !ok {
		r.driver.count("orders.waiting")
		return nil
	}
	l := shardInputs{at: r.holder.Now(), models: modelsOf(m, r.service), role: service.Role, runners: r.runners()}
	if !r.roundNeeded(l) {
		return nil
	}
	l.settled = r.reconcile(ctx, service.ChecksFencing, l)
	r.lastRound = l
	return nil
}

// roundNeeded tells whether a look is needed. Of a settled shard, a changed manifest
// or runner is seen at once, and anything else within settledEvery.
func (r *rolloutDuty) roundNeeded(l shardInputs) bool {
	if !r.lastRound.settled || l.at >= r.lastRound.at+settledRecheckInterval {
		return true
	}
	return l.role != r.lastRound.role || !reflect.DeepEqual(l.models, r.lastRound.models) || !slices.Equal(l.runners, r.lastRound.runners)
}

// reconcile orders what is missing and tells whether the shard is settled.
func (r *rolloutDuty) reconcile(ctx context.Context, checksFencing bool, l shardInputs) bool {
	addresses, reports := r.reports(ctx, l.runners)
	r.planner.SetRole(l.role)
	orders := r.planner.Plan(l.at, l.models, reports)
	results := r.sendOrders(ctx, checksFencing, addresses, orders)
	for i, o := range orders {
		r.recordResult(o, results[i])
	}
	return len(orders) == 0 && len(reports) == len(l.runners) && !r.planner.Pending()
}

// runners lists the shard's live ones.
func (r *rolloutDuty) runners() []view.Runner {
	var out []view.Runner
	for _, runner := range r.driver.Directory.Runners(r.service) {
		if runner.State == view.Live && r.inShard(runner.ID) {
			out = append(out, runner)
		}
	}
	return out
}

func modelsOf(m *manifest.Manifest, service string) []manifest.Model {
	var out []manifest.Model
	for _, model := range m.Models {
		if model.Service == service {
			out = append(out, model)
		}
	}
	return out
}

func (r *rolloutDuty) inShard(id ident.RunnerID) bool {
	return xxhash.Sum64String(string(id))%uint64(r.shards) == uint64(r.shard)
}

// reports asks runners for what they hold. One that does not answer is left
// out: it gets no orders this time.
func (r *rolloutDuty) reports(ctx context.Context, runners []view.Runner) (map[ident.RunnerID]string, []rollout.Runner) {
	var mu sync.Mutex
	addresses := map[ident.RunnerID]string{}
	var out []rollout.Runner
	var g errgroup.Group
	g.SetLimit(reportParallelism)
	for _, runner := range runners {
		g.Go(func() error {
			load, ok := r.report(ctx, runner)
			if !ok {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			addresses[runner.ID] = runner.Address
			out = append(out, newReport(runner.ID, load))
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
	slices.SortFunc(out, func(a, b rollout.Runner) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return addresses, out
}

// report asks one runner. One that says itself that it is leaving is passed on
// to the directory, which may not know yet.
func (r *rolloutDuty) report(ctx context.Context, runner view.Runner) (engineapi.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.driver.Timing.MaxOrder)
	defer cancel()
	load, err := r.driver.Engines.Load(ctx, runner.Address)
	if err != nil {
		r.driver.count("orders.report_failed")
		return load, false
	}
	if load.Leaving {
		r.driver.Directory.NoteLeaving(runner.Address, time.Duration(load.DeadlineMillis)*time.Millisecond)
		return load, false
	}
	return load, true
}

func newReport(id ident.RunnerID, load engineapi.Load) rollout.Runner {
	report := rollout.Runner{ID: id, Role: load.Role}
	for _, l := range load.Models {
		report.Loaded = append(report.Loaded, rollout.Loaded{Model: l.Model, Version: l.Version, Adapters: l.Adapters, Loading: l.Loading})
	}
	return report
}

// sendOrders sends orders side by side: a runner that hangs must not hold up the
// others. The results are in the orders' sequence.
func (r *rolloutDuty) sendOrders(ctx context.Context, checksFencing bool, addresses map[ident.RunnerID]string, orders []rollout.Order) []error {
	results := make([]error, len(orders))
	var g errgroup.Group
	g.SetLimit(orderParallelism)
	for i, o := range orders {
		g.Go(func() error {
			results[i] = r.sendOrder(ctx, checksFencing, addresses[o.Runner], o)
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
	return results
}

// sendOrder sends one order if the lease still allows it and the runner is not
// leaving. The lease comes last before sending; see package lease for what a
// pause after it does.
func (r *rolloutDuty) sendOrder(ctx context.Context, checksFencing bool, address string, o rollout.Order) error {
	if err := r.checkWeights(ctx, o); err != nil {
		return err
	}
	if !r.isLive(o.Runner) {
		return &RunnerLeavingError{Runner: o.Runner}
	}
	ctx, cancel := context.WithTimeout(ctx, r.driver.Timing.MaxOrder)
	defer cancel()
	token, ok := r.holder.Permit(checksFencing)
	if !ok {
		return &NotHeldError{Responsibility: r.holder.Name()}
	}
	if err := r.driver.Engines.Order(ctx, address, engineOrder(o, token)); err != nil {
		return &OrderFailedError{Order: o, Err: err}
	}
	return nil
}

func (r *rolloutDuty) isLive(id ident.RunnerID) bool {
	return slices.ContainsFunc(r.driver.Directory.Runners(r.service), func(runner view.Runner) bool {
		return runner.ID == id && runner.State == view.Live
	})
}

// recordResult tells the planner how an order ended.
func (r *rolloutDuty) recordResult(o rollout.Order, err error) {
	now := r.holder.Now()
	if err == nil {
		r.driver.count("orders.given")
		return
	}
	r.driver.recordFailure(r.holder.Name(), err)
	var limited *cloudapi.RateLimitedError
	var notHeld *NotHeldError
	switch {
	case errors.As(err, &limited):
		r.planner.Defer(now, o, limited.RetryAfter)
	case errors.As(err, &notHeld):
		r.planner.Defer(now, o, 0)
	default:
		r.planner.HandleFailure(now, o)
	}
}

// checkWeights keeps a version that does not exist from being ordered, and a
// load from being ordered while the weight store asks for a pause.
func (r *rolloutDuty) checkWeights(ctx context.Context, o rollout.Order) error {
	if o.Kind != rollout.Load || r.driver.Weights == nil {
		return nil
	}
	name, version := o.Model, o.Version
	if o.Adapter != "" {
		name, version = rollout.SplitAdapterID(o.Adapter)
	}
	if _, err := r.driver.Weights.Stat(ctx, name, version); err != nil {
		return fmt.Errorf("weights of %s version %s: %w", name, version, err)
	}
	return nil
}

func engineOrder(o rollout.Order, token uint64) engineapi.Order {
	kinds := map[rollout.Kind]engineapi.OrderKind{
		rollout.Load: engineapi.OrderLoad, rollout.Unload: engineapi.OrderUnload, rollout.Role: engineapi.OrderRole,
	}
	return engineapi.Order{
		Kind: kinds[o.Kind], Fencing: token, Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	}
}
