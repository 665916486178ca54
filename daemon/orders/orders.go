// Package orders starts and stops VMs through the cloud API and tells runners
// which model versions to load. The VMs of each service and each shard of a
// service's runners are a responsibility. One daemon at a time holds a
// responsibility by a lease in the key-value service and does its work; the other
// candidates compete for the lease.
//
// If a holder crashes, another daemon takes over when the lease has expired. If
// it is paused, its own clock tells it afterwards that the lease no longer allows
// orders; orders already being sent are rejected by runners that check fencing
// tokens, and a new holder waits for them before it orders other runners. The
// holder writes each cloud call to a ledger in the key-value service before it
// makes the call, so that the next holder repeats the call with the same
// idempotency token instead of starting a second VM. While the key-value service
// is down, no orders are given and requests are served by the existing runners.
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

// Engines calls the control API of model engines.
type Engines interface {
	Load(ctx context.Context, address string) (engineapi.Load, error)
	Order(ctx context.Context, address string, o engineapi.Order) error
}

// Config holds the dependencies and settings of a Driver. All fields but Weights
// are required.
type Config struct {
	Self          ident.Incarnation
	Configuration view.Config
	Directory     view.Directory
	Store         kv.Store
	Cloud         cloudapi.Cloud
	Lister        cloudapi.VMLister
	// Weights is queried before a load is ordered. If it is nil, there is no
	// weight store to query.
	Weights cloudapi.WeightStore
	Engines Engines
	Timing  lease.Timing
	Metrics metrics.Registry
	// RoundInterval is the time between two rounds of work on a responsibility.
	RoundInterval time.Duration
	// StopGrace is the time between the announcement of a planned stop and the
	// stop, in which the runner finishes its work.
	StopGrace time.Duration
}

// leaseTickInterval is the interval at which leases are acquired or renewed and
// the set of responsibilities is checked.
const leaseTickInterval = 250 * time.Millisecond

// roundTimeout limits one round of a duty, so that a call that hangs doesn't
// delay the next round indefinitely.
const roundTimeout = 10 * time.Second

// settledRecheckInterval is the time between two checks of runners or VMs whose
// last check found nothing to do. Checking in each round would use more network
// traffic than all other control messages of the holder.
const settledRecheckInterval = 10 * time.Second

// duty does the work of one responsibility while its lease is held.
type duty interface {
	// run does one round of work. fencingToken is that of the current tenure,
	// the period for which this daemon holds the lease without interruption.
	run(ctx context.Context, m *manifest.Manifest, fencingToken uint64) error
}

// Driver competes for responsibilities and does the work of those it holds. Run
// must be called only once.
type Driver struct {
	Config
	start time.Time
	// active holds the responsibilities for which this daemon is a candidate,
	// or which it has not released yet.
	active map[string]*responsibility
	// generation and directoryChanged show when candidacies must be computed
	// again.
	generation       ident.Generation
	directoryChanged <-chan struct{}
}

// New returns a driver that holds no responsibilities.
func New(c Config) *Driver {
	return &Driver{Config: c, start: time.Now(), active: map[string]*responsibility{}}
}

// Run competes for responsibilities and does their work until ctx ends. Then it
// releases the leases, so that other daemons need not wait for their expiry.
func (d *Driver) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(leaseTickInterval)
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

// refresh starts responsibilities for which this daemon has become a candidate.
// It makes the others end, including those that the manifest no longer contains.
func (d *Driver) refresh(ctx context.Context, running *sync.WaitGroup) {
	m, generation := d.Configuration.Current()
	if m == nil {
		return
	}
	removed := d.removeReleased()
	if !d.noteChanges(generation) && !removed {
		return
	}
	wanted := d.candidateDuties(m)
	for name, r := range d.active {
		_, ok := wanted[name]
		r.candidate.Store(ok)
	}
	for name, newDuty := range wanted {
		if d.active[name] == nil {
			d.startResponsibility(ctx, running, name, newDuty)
		}
	}
}

func (d *Driver) startResponsibility(ctx context.Context, running *sync.WaitGroup, name string, newDuty func(*holder.Holder) duty) {
	h := holder.New(holder.Options{
		Name:   name,
		Self:   string(d.Self),
		Store:  d.Store,
		Timing: d.Timing,
		Clock:  func() time.Duration { return time.Since(d.start) },
		Changed: func(active bool, token uint64) {
			change := "ended"
			if active {
				change = "acquired"
			}
			d.count("orders.lease_" + change)
			klog.V(1).InfoS("Lease "+change, "responsibility", name, "token", token)
		},
	})
	r := &responsibility{driver: d, holder: h, duty: newDuty(h), done: make(chan struct{})}
	r.candidate.Store(true)
	d.active[name] = r
	running.Go(func() { r.run(ctx) })
}

// removeReleased removes the responsibilities whose goroutines have ended from
// the active ones, and reports whether there were any. If this daemon is still a
// candidate for one of them, refresh starts it again.
func (d *Driver) removeReleased() bool {
	removed := false
	for name, r := range d.active {
		select {
		case <-r.done:
			delete(d.active, name)
			removed = true
		default:
		}
	}
	return removed
}

// noteChanges reports whether the directory or the generation of the
// configuration has changed since the previous call, so that the candidacies must
// be computed again. It remembers the new state: a second call returns false. In a
// large fleet, computing the candidacies at each tick would cost a daemon more
// than all its orders.
func (d *Driver) noteChanges(generation ident.Generation) bool {
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
	// The channel is obtained before the lists are read, so that a change in
	// between is noticed at the next tick.
	d.directoryChanged = d.Directory.Changed()
	return true
}

func (d *Driver) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}

// recordFailure counts and logs an error. The next round tries again.
func (d *Driver) recordFailure(responsibility string, err error) {
	d.count("orders.failed." + failureName(err))
	klog.V(1).InfoS("Work on responsibility failed, will retry", "responsibility", responsibility, "err", err)
}

// responsibility is a responsibility for which this daemon is a candidate. Its
// lease is renewed in another goroutine than its work is done, so that slow work
// can't cause the loss of the lease.
type responsibility struct {
	driver    *Driver
	holder    *holder.Holder
	duty      duty
	candidate atomic.Bool
	// done is closed after the lease has been released.
	done chan struct{}
}

func (r *responsibility) run(ctx context.Context) {
	defer close(r.done)
	work, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var working sync.WaitGroup
	working.Go(func() { r.work(work) })
	r.keepLease(ctx)
	stopWork()
	working.Wait()
	r.release()
}

// keepLease acquires and renews the lease until ctx ends, or until this daemon is
// no longer a candidate and doesn't hold the lease any more.
func (r *responsibility) keepLease(ctx context.Context) {
	ticker := time.NewTicker(leaseTickInterval)
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

// release releases the lease. It must be called when no order can be in progress
// any more.
func (r *responsibility) release() {
	ctx, cancel := context.WithTimeout(context.Background(), r.driver.Timing.RetryDelay)
	defer cancel()
	r.holder.Stop(ctx)
}

func (r *responsibility) work(ctx context.Context) {
	ticker := time.NewTicker(r.driver.RoundInterval)
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
	fencingToken := r.holder.Token()
	if m == nil || fencingToken == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if err := r.duty.run(ctx, m, fencingToken); err != nil {
		r.driver.recordFailure(r.holder.Name(), err)
	}
}
