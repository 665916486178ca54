// Package cloudapi is a stand-in for the cloud provider: the cloud API with
// reclaim notices and refused starts, the VM list, which shows an earlier
// state, and the rate-limited weight store. docs/protocols/cloudapi.md
// describes the protocols.
package cloudapi

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// Class is a VM class, which the cloud offers in every failure domain.
type Class struct {
	Name         string
	Reclaimable  bool
	PricePerHour float64
}

// Settings set the capacity, prices and delays of a cloud.
type Settings struct {
	FailureDomains []ident.FailureDomain
	Classes        []Class
	// Seed determines the prices.
	Seed uint64
	// PriceSpread is the largest deviation of a price from the list price, as
	// a fraction of the list price: 0.3 means up to 30 percent higher or
	// lower.
	PriceSpread float64
	// PricePeriod is how long a price stays the same; zero means forever.
	PricePeriod time.Duration
	// StartTime is the time from the start of a VM until it is live.
	StartTime time.Duration
	// ListLag is the age of the state that the VM list shows.
	ListLag time.Duration
	// RefuseAfterReclaim is how long after a reclaim notice the cloud refuses
	// starts of reclaimable classes in the same failure domain.
	RefuseAfterReclaim time.Duration
	// ChecksFencing makes the cloud refuse starts and stops whose fencing
	// number is lower than the highest one seen.
	ChecksFencing bool
	// Hooks start and stop the processes of the VMs.
	Hooks Hooks
}

// Hooks are called when the state of a VM changes; nil hooks are skipped. The
// cloud does not hold its lock during a call.
type Hooks struct {
	// Launch starts the process of a VM and returns the process's address.
	Launch func(cloudapi.VM) (address string, err error)
	// Noticed is called when a VM gets a reclaim notice, with the time that
	// is left until the VM is removed.
	Noticed func(vm cloudapi.VM, left time.Duration)
	// Removed is called when a VM has been removed.
	Removed func(cloudapi.VM)
}

// Cloud is the state behind the cloud API and the VM list. It is safe for
// concurrent use, implements cloudapi.Cloud and cloudapi.VMLister, and works
// inside a testing/synctest bubble.
type Cloud struct {
	settings Settings
	started  time.Time

	mu              sync.Mutex
	vms             map[string]*vm
	vmsInOrder      []*vm
	vmsByStartToken map[string]*vm
	lastID          int
	fencing         uint64
	notices         []notice
	changed         chan struct{} // closed and replaced at every notice or change of faults
	faults          Faults
	refusedStarts   int
	// lastReclaim is the time of the last reclaim notice in each failure
	// domain.
	lastReclaim map[ident.FailureDomain]time.Time
	killTimers  []*time.Timer
	closed      bool
}

// vm keeps the times of a VM's state changes, so that its state at an earlier
// time can be reconstructed for the VM list.
type vm struct {
	cloudapi.VM
	createdAt, liveAt, noticed, deadline, goneAt time.Time
}

type notice struct {
	cloudapi.Notice
	deadline time.Time
}

var (
	_ cloudapi.Cloud    = (*Cloud)(nil)
	_ cloudapi.VMLister = (*Cloud)(nil)
)

// New returns a cloud without VMs.
func New(s Settings) *Cloud {
	return &Cloud{
		settings:        s,
		started:         time.Now(),
		vms:             map[string]*vm{},
		vmsByStartToken: map[string]*vm{},
		changed:         make(chan struct{}),

		lastReclaim: map[ident.FailureDomain]time.Time{},
	}
}

// Start implements cloudapi.Cloud.
func (c *Cloud) Start(ctx context.Context, r cloudapi.StartRequest) (cloudapi.VM, error) {
	if err := c.beforeCall(ctx); err != nil {
		return cloudapi.VM{}, err
	}
	v, created, err := c.start(r)
	if err != nil {
		return cloudapi.VM{}, err
	}
	if created && c.settings.Hooks.Launch != nil {
		if err := c.launch(v); err != nil {
			return cloudapi.VM{}, err
		}
	}
	if c.takeLostAnswer() {
		return cloudapi.VM{}, &cloudapi.UnavailableError{Err: &LostAnswerError{}}
	}
	return c.Describe(v.ID)
}

func (c *Cloud) start(r cloudapi.StartRequest) (started *vm, created bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkFencing(r.Fencing); err != nil {
		return nil, false, err
	}
	if v := c.vmsByStartToken[r.Token]; v != nil {
		return v, false, nil
	}
	class, ok := c.class(r.Class)
	if !ok || !c.hasFailureDomain(r.FailureDomain) {
		return nil, false, &cloudapi.NotFoundError{Resource: fmt.Sprintf("class %q in %q", r.Class, r.FailureDomain)}
	}
	if reason := c.refusalReason(r, class); reason != "" {
		c.refusedStarts++
		return nil, false, &cloudapi.StartRefusedError{Reason: reason}
	}
	now := time.Now()
	v := c.add(cloudapi.VM{
		FailureDomain: r.FailureDomain,
		Class:         r.Class,
		Reclaimable:   class.Reclaimable,
		PricePerHour:  c.price(r.FailureDomain, class, now),
		Service:       r.Service,
	}, now, now.Add(c.settings.StartTime))
	c.vmsByStartToken[r.Token] = v
	return v, true, nil
}

// launch starts the VM's process. If that fails, the VM counts as removed.
func (c *Cloud) launch(v *vm) error {
	address, err := c.settings.Hooks.Launch(v.VM)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		v.goneAt = time.Now()
		return &cloudapi.UnavailableError{Err: fmt.Errorf("launch %s: %w", v.ID, err)}
	}
	v.Address = address
	return nil
}

func (c *Cloud) checkFencing(fencing uint64) error {
	if c.settings.ChecksFencing && fencing < c.fencing {
		return &cloudapi.StaleFencingError{Seen: c.fencing}
	}
	c.fencing = max(c.fencing, fencing)
	return nil
}

func (c *Cloud) add(description cloudapi.VM, createdAt, liveAt time.Time) *vm {
	c.lastID++
	if description.ID == "" {
		description.ID = fmt.Sprintf("vm-%s-%d", description.FailureDomain, c.lastID)
	}
	v := &vm{VM: description, createdAt: createdAt, liveAt: liveAt}
	c.vms[v.ID] = v
	c.vmsInOrder = append(c.vmsInOrder, v)
	return v
}

// Register adds a VM that is already running, such as an entry VM or a runner
// of the initial fleet. If its ID is empty, the cloud chooses one.
func (c *Cloud) Register(description cloudapi.VM) cloudapi.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	v := c.add(description, now.Add(-c.settings.ListLag), now.Add(-c.settings.ListLag))
	return v.stateAt(now)
}

// Stop implements cloudapi.Cloud. Stopping a VM that was removed earlier
// succeeds.
func (c *Cloud) Stop(ctx context.Context, id string, fencing uint64) error {
	if err := c.beforeCall(ctx); err != nil {
		return err
	}
	if err := c.checkStop(id, fencing); err != nil {
		return err
	}
	c.Kill(id)
	return nil
}

func (c *Cloud) checkStop(id string, fencing uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkFencing(fencing); err != nil {
		return err
	}
	if c.vms[id] == nil {
		return &cloudapi.NotFoundError{Resource: id}
	}
	return nil
}

// Kill removes a VM at once without a reclaim notice, and reports whether the
// VM existed.
func (c *Cloud) Kill(id string) bool {
	c.mu.Lock()
	v := c.vms[id]
	if v == nil || !v.goneAt.IsZero() {
		c.mu.Unlock()
		return false
	}
	v.goneAt = time.Now()
	description := v.VM
	c.mu.Unlock()
	if removed := c.settings.Hooks.Removed; removed != nil {
		removed(description)
	}
	return true
}

// Reclaim gives a reclaim notice to one VM, which is removed after remaining.
// It reports whether the VM existed and had no earlier notice.
func (c *Cloud) Reclaim(id string, remaining time.Duration) bool {
	c.mu.Lock()
	v := c.vms[id]
	if v == nil || !v.goneAt.IsZero() || !v.noticed.IsZero() {
		c.mu.Unlock()
		return false
	}
	v.noticed = time.Now()
	v.deadline = v.noticed.Add(remaining)
	c.lastReclaim[v.FailureDomain] = v.noticed
	if !c.faults.DropNotices {
		c.notices = append(c.notices, notice{
			Notice:   cloudapi.Notice{Sequence: uint64(len(c.notices) + 1), VM: id, Address: v.Address},
			deadline: v.deadline,
		})
		c.notifyWaiters()
	}
	described := v.VM
	c.mu.Unlock()
	if noticed := c.settings.Hooks.Noticed; noticed != nil {
		noticed(described, remaining)
	}
	c.killAfter(id, remaining)
	return true
}

func (c *Cloud) killAfter(id string, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.killTimers = append(c.killTimers, time.AfterFunc(remaining, func() { c.Kill(id) }))
}

// Close cancels the pending removals of VMs that have a reclaim notice.
func (c *Cloud) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, timer := range c.killTimers {
		timer.Stop()
	}
}

// ReclaimDomain gives a reclaim notice to all reclaimable VMs of a failure
// domain and returns their IDs.
func (c *Cloud) ReclaimDomain(domain ident.FailureDomain, remaining time.Duration) []string {
	var reclaimed []string
	for _, v := range c.VMs() {
		if v.FailureDomain == domain && v.Reclaimable && c.Reclaim(v.ID, remaining) {
			reclaimed = append(reclaimed, v.ID)
		}
	}
	return reclaimed
}

// Notices implements cloudapi.Cloud.
func (c *Cloud) Notices(ctx context.Context, after uint64, wait time.Duration) ([]cloudapi.Notice, error) {
	if err := c.beforeCall(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, changed, silent := c.noticesAfter(after)
		if silent {
			<-ctx.Done()
			return nil, &cloudapi.UnavailableError{Err: ctx.Err()}
		}
		if len(found) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, &cloudapi.UnavailableError{Err: ctx.Err()}
		}
	}
}

func (c *Cloud) noticesAfter(after uint64) (found []cloudapi.Notice, changed <-chan struct{}, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.notices[min(after, uint64(len(c.notices))):] {
		n.LeftMillis = max(time.Until(n.deadline), 0).Milliseconds()
		found = append(found, n.Notice)
	}
	return found, c.changed, c.faults.SilentNotices
}

// Quotes implements cloudapi.Cloud.
func (c *Cloud) Quotes(ctx context.Context) ([]cloudapi.Quote, error) {
	if err := c.beforeCall(ctx); err != nil {
		return nil, err
	}
	now := time.Now()
	var quotes []cloudapi.Quote
	for _, domain := range c.settings.FailureDomains {
		for _, class := range c.settings.Classes {
			quotes = append(quotes, cloudapi.Quote{FailureDomain: domain, Class: class.Name, PricePerHour: c.price(domain, class, now)})
		}
	}
	return quotes, nil
}

// price depends only on the seed, the failure domain, the class and the price
// period.
func (c *Cloud) price(domain ident.FailureDomain, class Class, now time.Time) float64 {
	period := uint64(0)
	if c.settings.PricePeriod > 0 {
		period = uint64(now.Sub(c.started) / c.settings.PricePeriod)
	}
	random := rand.New(rand.NewPCG(c.settings.Seed^period, hash(string(domain)+"/"+class.Name)))
	return class.PricePerHour * (1 + c.settings.PriceSpread*(2*random.Float64()-1))
}

func (c *Cloud) class(name string) (Class, bool) {
	for _, class := range c.settings.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

func (c *Cloud) hasFailureDomain(domain ident.FailureDomain) bool {
	for _, d := range c.settings.FailureDomains {
		if d == domain {
			return true
		}
	}
	return false
}

// List implements cloudapi.VMLister. It returns the VMs in the state that
// they had ListLag ago.
func (c *Cloud) List(ctx context.Context) ([]cloudapi.VM, error) {
	if err := c.beforeCall(ctx); err != nil {
		return nil, err
	}
	return c.vmsAt(time.Now().Add(-c.settings.ListLag)), nil
}

// VMs returns the VMs in their present state, sorted by ID.
func (c *Cloud) VMs() []cloudapi.VM { return c.vmsAt(time.Now()) }

func (c *Cloud) vmsAt(t time.Time) []cloudapi.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var listed []cloudapi.VM
	for _, v := range c.vmsInOrder {
		if description := v.stateAt(t); description.State != "" {
			listed = append(listed, description)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	return listed
}

// Describe returns the present state of a VM that has not been removed.
func (c *Cloud) Describe(id string) (cloudapi.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.vms[id]; v != nil {
		if description := v.stateAt(time.Now()); description.State != "" {
			return description, nil
		}
	}
	return cloudapi.VM{}, &cloudapi.NotFoundError{Resource: id}
}

// stateAt returns the VM in its state at time t. The state is empty if the VM
// did not exist at that time.
func (v *vm) stateAt(t time.Time) cloudapi.VM {
	described := v.VM
	switch {
	case t.Before(v.createdAt), !v.goneAt.IsZero() && !t.Before(v.goneAt):
		described.State = ""
	case !v.noticed.IsZero() && !t.Before(v.noticed):
		described.State = cloudapi.VMLeaving
	case t.Before(v.liveAt):
		described.State = cloudapi.VMStarting
	default:
		described.State = cloudapi.VMLive
	}
	return described
}

// Cost returns the cost of all VMs until now, each at the price at the time
// of its start.
func (c *Cloud) Cost() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	cost := 0.0
	for _, v := range c.vmsInOrder {
		end := now
		if !v.goneAt.IsZero() {
			end = v.goneAt
		}
		cost += v.PricePerHour * end.Sub(v.createdAt).Hours()
	}
	return cost
}
