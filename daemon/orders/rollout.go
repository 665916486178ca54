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

// rolloutDuty makes the runners in one shard of a service load the model versions
// and take the role that the manifest specifies.
type rolloutDuty struct {
	driver        *Driver
	service       string
	shards, shard int
	holder        *holder.Holder
	planner       *rollout.Planner
	tenure        uint64
	lastRound     shardInputs
}

// shardInputs is the input of a round, kept to detect changes in later ones.
type shardInputs struct {
	at      time.Duration
	models  []manifest.Model
	role    string
	runners []view.Runner
	// settled is true if the round found nothing to order and no order pending.
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
	// Without a permit no order could be sent, so polling the runners and
	// planning would be useless.
	if _, ok := r.holder.Permit(service.ChecksFencing); !ok {
		r.driver.count("orders.waiting")
		return nil
	}
	inputs := shardInputs{at: r.holder.Now(), models: modelsOf(m, r.service), role: service.Role, runners: r.runners()}
	if !r.roundNeeded(inputs) {
		return nil
	}
	inputs.settled = r.reconcile(ctx, service.ChecksFencing, inputs)
	r.lastRound = inputs
	return nil
}

// roundNeeded reports whether a round must be done now. If the last round found
// the shard settled, changes of the manifest or of runners are handled at once,
// and runners are polled only at settledRecheckInterval.
func (r *rolloutDuty) roundNeeded(inputs shardInputs) bool {
	if !r.lastRound.settled || inputs.at >= r.lastRound.at+settledRecheckInterval {
		return true
	}
	return inputs.role != r.lastRound.role || !reflect.DeepEqual(inputs.models, r.lastRound.models) || !slices.Equal(inputs.runners, r.lastRound.runners)
}

// reconcile sends the orders that bring the runners in line with the manifest. It
// returns true if the shard is settled.
func (r *rolloutDuty) reconcile(ctx context.Context, checksFencing bool, inputs shardInputs) bool {
	addresses, reports := r.reports(ctx, inputs.runners)
	r.planner.SetRole(inputs.role)
	orders := r.planner.Plan(inputs.at, inputs.models, reports)
	results := r.sendOrders(ctx, checksFencing, addresses, orders)
	for i, o := range orders {
		r.recordResult(o, results[i])
	}
	return len(orders) == 0 && len(reports) == len(inputs.runners) && !r.planner.Pending()
}

// runners returns the live runners in the shard.
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

// reports asks runners for their loaded models and roles. A runner that doesn't
// answer is left out and gets no orders in this round.
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

// report asks one runner. If the runner answers that it is leaving, report passes
// this on to the directory, which may not know it yet.
func (r *rolloutDuty) report(ctx context.Context, runner view.Runner) (engineapi.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.driver.Timing.MaxOrderLatency)
	defer cancel()
	load, err := r.driver.Engines.Load(ctx, runner.Address)
	if err != nil {
		r.driver.count("orders.report_failed")
		return load, false
	}
	if load.Leaving {
		r.driver.Directory.NoteRunnerLeaving(runner.Address, time.Duration(load.DeadlineMillis)*time.Millisecond)
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

// sendOrders sends orders in parallel, so that a runner that hangs doesn't delay
// the others. The results have the same sequence as the orders.
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
// leaving. The lease is checked last, directly before sending. If the process is
// paused between the check and the sending, a runner that checks fencing tokens
// rejects the order, and for other runners a new holder waits before it sends its
// own orders.
func (r *rolloutDuty) sendOrder(ctx context.Context, checksFencing bool, address string, o rollout.Order) error {
	if err := r.checkWeights(ctx, o); err != nil {
		return err
	}
	if !r.isLive(o.Runner) {
		return &RunnerLeavingError{Runner: o.Runner}
	}
	ctx, cancel := context.WithTimeout(ctx, r.driver.Timing.MaxOrderLatency)
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

// recordResult passes the result of an order to the planner and counts it.
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

// checkWeights returns an error if the weights of a version to load don't exist
// or the weight store's rate limit is exceeded. The load is then not ordered.
func (r *rolloutDuty) checkWeights(ctx context.Context, o rollout.Order) error {
	if o.Kind != rollout.Load || r.driver.Weights == nil {
		return nil
	}
	name, version := o.Model, o.Version
	if o.Adapter != "" {
		name, version = rollout.SplitAdapterID(o.Adapter)
	}
	if _, err := r.driver.Weights.Stat(ctx, name, version); err != nil {
		return fmt.Errorf("look up weights of %s version %s: %w", name, version, err)
	}
	return nil
}

func engineOrder(o rollout.Order, token uint64) engineapi.Order {
	kinds := map[rollout.Kind]engineapi.OrderKind{
		rollout.Load: engineapi.OrderLoad, rollout.Unload: engineapi.OrderUnload, rollout.ChangeRole: engineapi.OrderRole,
	}
	return engineapi.Order{
		Kind: kinds[o.Kind], Fencing: token, Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	}
}
