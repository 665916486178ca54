// Package orders gives runners and the cloud their orders. Each service's fleet
// and each shard of its runners is a responsibility that one daemon at a time
// holds by lease; the rest of the daemons only stand by.
//
// The failure story: a holder that dies is replaced when its lease has lapsed;
// one that is paused stops by its own clock, see package lease. What it had
// asked the cloud for stands in a ledger in the key-value service, written
// before each call, so that the next holder repeats the call with the same
// token instead of making a second VM. While the key-value service is away
// nobody orders anything and requests go on with the runners that there are.
package orders

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"
	"geraniumstack.org/geraniumstack/transport/kv"
	"geraniumstack.org/geraniumstack/transport/platform"
)

// Engines reaches the control side of model engines.
type Engines interface {
	Load(ctx context.Context, address string) (engineapi.Load, error)
	Order(ctx context.Context, address string, o engineapi.Order) error
}

// Config holds what the driver works with. All fields but Weights are required.
type Config struct {
	Self          ident.Incarnation
	Configuration view.Config
	Directory     view.Directory
	Store         kv.Store
	Cloud         platform.Cloud
	Lister        platform.Lister
	// Weights is asked before a load; nil is no weight store to ask.
	Weights platform.Weights
	Engines Engines
	Timing  lease.Timing
	Metrics metrics.Registry
	// Every is the time between two looks at a responsibility.
	Every time.Duration
	// StopGrace is how long a runner that is to be stopped finishes its work.
	StopGrace time.Duration
}

// Bounds of the work of one responsibility.
const (
	runnersPerShard       = 64
	candidatesPerResponse = 3
	reportParallelism     = 8
)

// duty is the work of one responsibility, done while its lease is held.
type duty interface {
	// run does one round. held is the fencing token of this tenure.
	run(ctx context.Context, m *manifest.Manifest, held uint64) error
}

type responsibility struct {
	holder *holder
	duty   duty
	next   time.Time
}

// Driver holds responsibilities and gives orders. Run it once.
type Driver struct {
	Config
	start time.Time
	held  map[string]*responsibility
}

// New makes a driver that holds nothing.
func New(c Config) *Driver {
	return &Driver{Config: c, start: time.Now(), held: map[string]*responsibility{}}
}

// Run competes for responsibilities and does their work until ctx ends; then it
// gives them back at once.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.release()
			return nil
		case <-ticker.C:
			d.round(ctx)
		}
	}
}

func (d *Driver) release() {
	// ctx is over; the leases are still to be given back, briefly.
	ctx, cancel := context.WithTimeout(context.Background(), d.Timing.Retry)
	defer cancel()
	d.each(func(r *responsibility) { r.holder.stop(ctx) })
}

func (d *Driver) each(f func(*responsibility)) {
	var g errgroup.Group
	for _, r := range d.held {
		g.Go(func() error {
			f(r)
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
}

func (d *Driver) round(ctx context.Context) {
	m, _ := d.Configuration.Current()
	if m == nil {
		return
	}
	wanted := d.responsibilities(m)
	d.each(func(r *responsibility) {
		r.holder.tick(ctx, wanted[r.holder.name])
		d.work(ctx, m, r)
	})
}

// responsibilities makes holders for what the manifest needs and tells which
// of them this daemon should stand for.
func (d *Driver) responsibilities(m *manifest.Manifest) map[string]bool {
	wanted := map[string]bool{}
	for i := range m.Services {
		s := &m.Services[i]
		d.ensure(wanted, "fleet/"+s.Name, func(h *holder) duty { return newFleetDuty(d, s.Name, h) })
		if s.Kind != manifest.KindModel {
			continue
		}
		// The number of shards is part of the name: when it changes, all shards
		// are acquired anew, and a runner that moves to another shard never
		// sees that shard's older, lower fencing token.
		shards := (s.Runners + runnersPerShard - 1) / runnersPerShard
		for shard := range shards {
			name := fmt.Sprintf("rollout/%s/%d/%d", s.Name, shards, shard)
			d.ensure(wanted, name, func(h *holder) duty { return newRolloutDuty(d, s.Name, shards, shard, h) })
		}
	}
	return wanted
}

func (d *Driver) ensure(wanted map[string]bool, name string, make func(*holder) duty) {
	wanted[name] = d.isCandidate(name)
	if _, ok := d.held[name]; ok || !wanted[name] {
		return
	}
	h := newHolder(name, string(d.Self), d.Store, d.Timing, d.start)
	d.held[name] = &responsibility{holder: h, duty: make(h)}
}

// isCandidate keeps the number of calls for one responsibility the same however
// many daemons there are: only the first few by rendezvous hash stand for it.
func (d *Driver) isCandidate(name string) bool {
	self := d.Directory.Self()
	if self.State == view.Leaving {
		return false
	}
	own := candidacy(name, self.ID)
	before := 0
	for _, other := range d.Directory.Daemons() {
		if other.State == view.Live && candidacy(name, other.ID) > own {
			before++
		}
	}
	return before < candidatesPerResponse
}

func candidacy(name string, id ident.DaemonID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(id))
}

func (d *Driver) work(ctx context.Context, m *manifest.Manifest, r *responsibility) {
	held := r.holder.token()
	if held == 0 || time.Now().Before(r.next) {
		return
	}
	r.next = time.Now().Add(d.Every)
	// A round must not hold up the renewal of its own lease.
	ctx, cancel := context.WithTimeout(ctx, d.Timing.Renew)
	defer cancel()
	if err := r.duty.run(ctx, m, held); err != nil {
		d.count("orders.failed." + failureName(err))
	}
}

func (d *Driver) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}

func sortedRunners(list []view.Runner) []view.Runner {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b view.Runner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
