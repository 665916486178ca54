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
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/holder"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
	"geraniumstack.org/geraniumstack/transport/engineapi"
	"geraniumstack.org/geraniumstack/transport/kv"
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
	Cloud         cloudapi.Cloud
	Lister        cloudapi.VMLister
	// Weights is asked before a load; nil is no weight store to ask.
	Weights cloudapi.WeightStore
	Engines Engines
	Timing  lease.Timing
	Metrics metrics.Registry
	// Every is the time between two looks at a responsibility.
	Every time.Duration
	// StopGrace is how long a runner that is to be stopped finishes its work.
	StopGrace time.Duration
}

// tickEvery is the time between two looks at what is held.
const tickEvery = 250 * time.Millisecond

// roundLimit bounds one round of a duty, so that one call that hangs does not
// keep the others of the next round waiting.
const roundLimit = 10 * time.Second

// settledEvery is the time between two looks at what is as it should be. A look
// each round would cost its holder more bytes than all its other control.
const settledEvery = 10 * time.Second

// duty is the work of one responsibility, done while its lease is held.
type duty interface {
	// run does one round. held is the fencing token of this tenure.
	run(ctx context.Context, m *manifest.Manifest, held uint64) error
}

// Driver holds responsibilities and gives orders. Run it once.
type Driver struct {
	Config
	start time.Time
	held  map[string]*responsibility
	// generation and directoryChanged tell when candidacies are to be worked
	// out again.
	generation       ident.Generation
	directoryChanged <-chan struct{}
}

// New makes a driver that holds nothing.
func New(c Config) *Driver {
	return &Driver{Config: c, start: time.Now(), held: map[string]*responsibility{}}
}

// Run competes for responsibilities and does their work until ctx ends; then it
// gives them back at once.
func (d *Driver) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.refresh(ctx, &running)
		}
	}
}

// refresh starts what this daemon newly stands for and gives back the rest,
// also what the manifest no longer has.
func (d *Driver) refresh(ctx context.Context, running *sync.WaitGroup) {
	m, generation := d.Configuration.Current()
	if m == nil {
		return
	}
	removed := d.removeDone()
	if !d.outdated(generation) && !removed {
		return
	}
	wanted := d.candidacies(m)
	for name, r := range d.held {
		_, ok := wanted[name]
		r.candidate.Store(ok)
	}
	for name, newDuty := range wanted {
		if d.held[name] == nil {
			d.begin(ctx, running, name, newDuty)
		}
	}
}

func (d *Driver) begin(ctx context.Context, running *sync.WaitGroup, name string, newDuty func(*holder.Holder) duty) {
	h := holder.New(holder.Options{
		Name:   name,
		Self:   string(d.Self),
		Store:  d.Store,
		Timing: d.Timing,
		Clock:  func() time.Duration { return time.Since(d.start) },
		Changed: func(held bool, token uint64) {
			change := "ended"
			if held {
				change = "acquired"
			}
			d.count("orders.lease_" + change)
			klog.V(1).InfoS("Lease "+change, "responsibility", name, "token", token)
		},
	})
	r := &responsibility{driver: d, holder: h, duty: newDuty(h), done: make(chan struct{})}
	r.candidate.Store(true)
	d.held[name] = r
	running.Go(func() { r.run(ctx) })
}

func (d *Driver) removeDone() bool {
	removed := false
	for name, r := range d.held {
		select {
		case <-r.done:
			delete(d.held, name)
			removed = true
		default:
		}
	}
	return removed
}

// outdated tells whether the configuration or the directory has changed since
// candidacies were worked out. Doing so each time would cost a large fleet's
// daemon more than all its orders.
func (d *Driver) outdated(generation ident.Generation) bool {
	changed := d.directoryChanged == nil || generation != d.generation
	select {
	case <-d.directoryChanged:
		changed = true
	default:
	}
	if !changed {
		return false
	}
	d.generation = generation
	// Asked for before the lists are read: a change in between shows next time.
	d.directoryChanged = d.Directory.Changed()
	return true
}

func (d *Driver) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}

// failed counts a failure that the next round mends.
func (d *Driver) failed(responsibility string, err error) {
	d.count("orders.failed." + failureName(err))
	klog.V(1).InfoS("Orders failed", "responsibility", responsibility, "err", err)
}

// responsibility is one that this daemon stands for. Its lease is renewed apart
// from its work, so that slow work can't lose the lease.
type responsibility struct {
	driver    *Driver
	holder    *holder.Holder
	duty      duty
	candidate atomic.Bool
	// done is closed when it has been given back.
	done chan struct{}
}

func (r *responsibility) run(ctx context.Context) {
	defer close(r.done)
	work, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var working sync.WaitGroup
	working.Go(func() { r.work(work) })
	r.hold(ctx)
	stopWork()
	working.Wait()
	r.release()
}

// hold keeps the lease until ctx ends or the responsibility is given back.
func (r *responsibility) hold(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		candidate := r.candidate.Load()
		r.holder.Tick(ctx, candidate)
		if !candidate && r.holder.Idle() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// release gives the lease back when no order can be under way any more.
func (r *responsibility) release() {
	ctx, cancel := context.WithTimeout(context.Background(), r.driver.Timing.Retry)
	defer cancel()
	r.holder.Stop(ctx)
}

func (r *responsibility) work(ctx context.Context) {
	ticker := time.NewTicker(r.driver.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.round(ctx)
		}
	}
}

func (r *responsibility) round(ctx context.Context) {
	m, _ := r.driver.Configuration.Current()
	held := r.holder.Token()
	if m == nil || held == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundLimit)
	defer cancel()
	if err := r.duty.run(ctx, m, held); err != nil {
		r.driver.failed(r.holder.Name(), err)
	}
}
