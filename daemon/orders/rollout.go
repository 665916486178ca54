package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/rollout"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"
	"geraniumstack.org/geraniumstack/transport/platform"
)

// rolloutDuty brings one shard of a service's runners to the manifest.
type rolloutDuty struct {
	driver        *Driver
	service       string
	shards, shard int
	holder        *holder
	planner       *rollout.Planner
	tenure        uint64
}

func newRolloutDuty(d *Driver, service string, shards, shard int, h *holder) *rolloutDuty {
	return &rolloutDuty{driver: d, service: service, shards: shards, shard: shard, holder: h}
}

func (r *rolloutDuty) run(ctx context.Context, m *manifest.Manifest, held uint64) error {
	service := m.ServiceNamed(r.service)
	if service == nil {
		return nil
	}
	if r.tenure != held {
		r.tenure = held
		r.planner = rollout.New(rollout.DefaultLimits())
	}
	addresses, reports := r.reports(ctx)
	orders := r.planner.Plan(r.holder.now(), modelsOf(m, r.service), reports)
	for _, o := range orders {
		if err := r.give(ctx, service.ChecksFencing, addresses[o.Runner], o); err != nil {
			return err
		}
	}
	return nil
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

func (r *rolloutDuty) mine(id ident.RunnerID) bool {
	return xxhash.Sum64String(string(id))%uint64(r.shards) == uint64(r.shard)
}

// reports asks the shard's live runners for what they hold. One that does not
// answer is left out: it gets no orders this time.
func (r *rolloutDuty) reports(ctx context.Context) (map[ident.RunnerID]string, []rollout.Runner) {
	var mu sync.Mutex
	addresses := map[ident.RunnerID]string{}
	var out []rollout.Runner
	var g errgroup.Group
	g.SetLimit(reportParallelism)
	for _, runner := range sortedRunners(r.driver.Directory.Runners(r.service)) {
		if runner.State != view.Live || !r.mine(runner.ID) {
			continue
		}
		g.Go(func() error {
			load, err := r.driver.Engines.Load(ctx, runner.Address)
			if err != nil {
				r.driver.count("orders.report_failed")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			addresses[runner.ID] = runner.Address
			out = append(out, reportOf(runner.ID, load))
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
	slices.SortFunc(out, func(a, b rollout.Runner) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return addresses, out
}

func reportOf(id ident.RunnerID, load engineapi.Load) rollout.Runner {
	report := rollout.Runner{ID: id}
	for _, l := range load.Models {
		report.Loaded = append(report.Loaded, rollout.Loaded{Model: l.Model, Version: l.Version, Adapters: l.Adapters, Loading: l.Loading})
	}
	return report
}

// give sends one order if the lease still allows it. The check comes last
// before sending; see package lease for what a pause after it does.
func (r *rolloutDuty) give(ctx context.Context, checked bool, address string, o rollout.Order) error {
	if err := r.weightsThere(ctx, o); err != nil {
		r.planner.Failed(r.holder.now(), o)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.driver.Timing.MaxOrder)
	defer cancel()
	token, ok := r.holder.permit(checked)
	if !ok {
		r.driver.count("orders.not_held")
		return &NotHeldError{Responsibility: r.holder.name}
	}
	err := r.driver.Engines.Order(ctx, address, engineOrder(o, token))
	if err != nil {
		r.driver.count("orders.refused")
		r.planner.Failed(r.holder.now(), o)
		klog.InfoS("Order failed", "runner", o.Runner, "model", o.Model, "version", o.Version, "err", err)
		return nil
	}
	r.driver.count("orders.given")
	return nil
}

// weightsThere keeps a version that does not exist from being ordered, and a
// load from being ordered while the weight store asks for a pause.
func (r *rolloutDuty) weightsThere(ctx context.Context, o rollout.Order) error {
	if o.Kind != rollout.Load || r.driver.Weights == nil {
		return nil
	}
	name, version := o.Model, o.Version
	if o.Adapter != "" {
		name, version, _ = strings.Cut(o.Adapter, "@")
	}
	if _, err := r.driver.Weights.Stat(ctx, name, version); err != nil {
		return fmt.Errorf("weights of %s version %s: %w", name, version, err)
	}
	return nil
}

func engineOrder(o rollout.Order, token uint64) engineapi.Order {
	kind := engineapi.OrderLoad
	if o.Kind == rollout.Unload {
		kind = engineapi.OrderUnload
	}
	return engineapi.Order{Kind: kind, Fencing: token, Model: o.Model, Version: o.Version, Adapter: o.Adapter}
}

func failureName(err error) string {
	var notHeld *NotHeldError
	var missing *platform.NotFoundError
	var limited *platform.RateLimitedError
	var lost *LedgerLostError
	switch {
	case errors.As(err, &notHeld):
		return "not_held"
	case errors.As(err, &missing):
		return "weights_missing"
	case errors.As(err, &limited):
		return "weights_rate_limited"
	case errors.As(err, &lost):
		return "ledger_lost"
	}
	return "platform"
}
