// Package admission decides which requests of a service are sent to runners
// now, which are queued and which are refused.
//
// Classes are served by priority. Within a class, workspaces share the
// capacity by weight: start-time fair queuing over the cost in tokens.
// Capacity that one workspace doesn't use is available to the others. A
// request that can't meet its target is refused at once. The package performs
// no I/O and reads no clock: the time is passed to each call, and the
// resulting effects are returned.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// ID identifies an item within one controller, until the item is finished,
// refused or cancelled.
type ID uint64

// Item is a request that asks for admission.
type Item struct {
	ID        ID
	Workspace ident.Workspace
	Class     string
	// Cost is the cost in output tokens. A prompt token counts as the fraction
	// of an output token that its prefill takes.
	Cost float64
	// Bytes is the memory that the item occupies while it is queued.
	Bytes int
	// TimeToFirstToken is the expected time from admission to the first token.
	TimeToFirstToken time.Duration
	// ServiceTime is the expected time from admission to the last token.
	ServiceTime time.Duration
	// Deadline is the time after which the answer is useless to the caller. The
	// zero time means that there is none.
	Deadline time.Time
}

// Kind is the decision on an item.
type Kind string

// Decisions on items.
const (
	Admit  Kind = "admit"
	Refuse Kind = "refuse"
)

// Effect is the decision on an item that was offered.
type Effect struct {
	Kind Kind
	ID   ID
	// Refusal is set if Kind is Refuse. A refused item was never sent to a
	// runner.
	Refusal *refusal.Refusal
	// Waited is how long the item was queued before the decision.
	Waited time.Duration
}

// Config holds the policy of a controller.
type Config struct {
	Limiter LimiterConfig
	// MaxQueued and MaxQueuedBytes limit the number and the total size of the
	// queued items.
	MaxQueued      int
	MaxQueuedBytes int
	// MinClassShare is the share of the admitted cost that a class with queued
	// work gets regardless of the classes above it. Without it, an overload of
	// urgent work would block accepted long work indefinitely.
	MinClassShare float64
	// ReservedShare is the share of the concurrency limit that all classes but
	// the highest leave free, since requests are not distributed evenly over
	// the runners.
	ReservedShare float64
	// HeadroomDeviations sets how many concurrency slots lower classes leave
	// free for higher ones: the mean number that the higher classes need plus
	// this many standard deviations. See Controller.hasRoom.
	HeadroomDeviations float64
	// OverShareRatio and UnderShareRatio are multiples of a workspace's share
	// of what was recently admitted. In all classes but the highest, a
	// workspace above OverShareRatio yields its turn to work of a lower class
	// of a workspace below UnderShareRatio.
	OverShareRatio  float64
	UnderShareRatio float64
	// MaxVirtualLead limits how far the use in higher classes can delay a
	// workspace in a lower class. It is given as time at the full throughput.
	MaxVirtualLead time.Duration
	// RateBurst is how long a workspace may run ahead of its tokens-per-second
	// limit.
	RateBurst time.Duration
	// MaxRetryAfter is the longest retry delay that a refusal asks for.
	MaxRetryAfter time.Duration
	// Count is called with the reason, the workspace and the class of every
	// refusal. It may be nil.
	Count func(refusal.Reason, ident.Workspace, string)
}

// Default returns the policy used in production; docs/design/limits.md gives
// the reasons for it.
func Default() Config {
	return Config{
		Limiter:            DefaultLimiter(),
		MaxQueued:          4096,
		MaxQueuedBytes:     16 << 20,
		MinClassShare:      0.05,
		ReservedShare:      0.1,
		HeadroomDeviations: 1,
		OverShareRatio:     1.1,
		UnderShareRatio:    0.9,
		MaxVirtualLead:     10 * time.Second,
		RateBurst:          2 * time.Second,
		MaxRetryAfter:      30 * time.Second,
	}
}

// entry is an item that is queued or admitted.
type entry struct {
	Item
	flow       *flow
	offeredAt  time.Time
	admittedAt time.Time
	// admitBy is the latest time at which admission still lets the item meet its
	// target and its deadline. The zero time means that there is none.
	admitBy  time.Time
	admitted bool
}

// flow is the queue of one workspace in one class.
type flow struct {
	workspace  *workspace
	class      *class
	items      []*entry
	queuedCost float64
	// start is the virtual time at which the next item starts.
	start float64
}

// class is the state of one service class.
type class struct {
	manifest.Class
	flows       map[ident.Workspace]*flow
	active      []*flow
	virtualTime float64
	queuedCost  float64
	// costCredit is the cost in output tokens that this class may have admitted
	// ahead of other classes of the same or a higher priority. It accrues while
	// those classes are served.
	costCredit float64
	admitted   decayingRate
	refused    decayingRate
	offered    decayingRate
	// longTermAdmitted is the rate of admitted cost like admitted, but with the
	// half-life useHalfLife instead of rateHalfLife.
	longTermAdmitted decayingRate
	running          int
	// meanResidence is the mean time in seconds from admission to the end of a
	// request.
	meanResidence float64
}

// workspace is the state of one workspace over all classes.
type workspace struct {
	manifest.Workspace
	running   int
	queued    int
	tokens    tokenBucket
	recentUse decayingRate
}

// Controller admits the requests of one service at one gateway. It is not safe
// for concurrent use.
type Controller struct {
	cfg         Config
	limiter     *Limiter
	classes     map[string]*class
	byPriority  []*class
	workspaces  map[ident.Workspace]*workspace
	totalWeight float64
	entries     map[ID]*entry
	running     int
	queued      int
	queuedBytes int
	throughput  throughput
	recentUse   decayingRate
}

// New returns a controller without classes and workspaces.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:        cfg,
		limiter:    NewLimiter(cfg.Limiter),
		classes:    map[string]*class{},
		workspaces: map[ident.Workspace]*workspace{},
		entries:    map[ID]*entry{},
		recentUse:  decayingRate{halfLife: useHalfLife},
	}
}

func newClass(k manifest.Class) *class {
	return &class{
		Class:            k,
		flows:            map[ident.Workspace]*flow{},
		admitted:         decayingRate{halfLife: rateHalfLife},
		refused:          decayingRate{halfLife: rateHalfLife},
		offered:          decayingRate{halfLife: rateHalfLife},
		longTermAdmitted: decayingRate{halfLife: useHalfLife},
	}
}

// SetLimits sets the workspaces and classes in force. A workspace that is no
// longer listed keeps its old limits until its work has ended; then it is
// removed.
func (c *Controller) SetLimits(workspaces []manifest.Workspace, classes []manifest.Class) {
	c.totalWeight = 0
	for _, w := range workspaces {
		c.totalWeight += w.Weight
		if known, ok := c.workspaces[w.Name]; ok {
			known.Workspace = w
			continue
		}
		c.workspaces[w.Name] = &workspace{Workspace: w, recentUse: decayingRate{halfLife: useHalfLife}}
	}
	for _, k := range classes {
		if known, ok := c.classes[k.Name]; ok {
			known.Class = k
			continue
		}
		c.classes[k.Name] = newClass(k)
	}
	c.removeUnlisted(workspaces)
	c.byPriority = c.byPriority[:0]
	for _, k := range c.classes {
		c.byPriority = append(c.byPriority, k)
	}
	slices.SortFunc(c.byPriority, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
}

func (c *Controller) removeUnlisted(listed []manifest.Workspace) {
	for name, w := range c.workspaces {
		if w.running > 0 || w.queued > 0 || slices.ContainsFunc(listed, func(l manifest.Workspace) bool { return l.Name == name }) {
			continue
		}
		delete(c.workspaces, name)
		for _, k := range c.classes {
			delete(k.flows, name)
		}
	}
}

// SetCapacity sets the capacity of this gateway's share of the runners, as
// they report it: the number of concurrent requests and the cost per second.
func (c *Controller) SetCapacity(requests, costPerSecond float64) {
	c.limiter.SetReportedConcurrency(requests)
	c.throughput.setReportedRate(costPerSecond)
}

// Limit returns the number of requests that may be in progress at once.
func (c *Controller) Limit() int { return c.limiter.Limit() }

// Running returns the number of requests that were admitted and have not
// ended.
func (c *Controller) Running() int { return c.running }

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queued }

// Offer asks for the admission of an item. It appends the decision on this
// item, and on others that the call affects, to dst. An item without an effect
// is queued.
func (c *Controller) Offer(now time.Time, it Item, dst []Effect) []Effect {
	k, ok := c.classes[it.Class]
	w, known := c.workspaces[it.Workspace]
	if !ok || !known {
		return c.refuse(dst, it, 0, refusal.New(refusal.BadRequest, "unknown class %q or workspace", it.Class))
	}
	e := &entry{Item: it, flow: c.flowOf(k, w), offeredAt: now, admitBy: admissionDeadline(now, k, it)}
	k.recordOffer(now, it)
	if r := c.offerRefusal(now, e); r != nil {
		k.refused.add(now, it.Cost)
		return c.admitEligible(now, c.refuse(dst, it, 0, r))
	}
	c.enqueue(e)
	return c.admitEligible(now, dst)
}

// maxWaitFraction is the fraction of the time until an item expires that its
// expected wait may take up. Under overload the queue grows until the expected
// wait reaches this bound. With 1, many items would expire in the queue, since
// the wait is only an estimate.
const maxWaitFraction = 0.85

// minWaitDivisor sets the shortest wait allowed to an item: its target divided
// by minWaitDivisor, even if the prefill of its prompt takes longer than the
// target. Otherwise such an item would always be refused.
const minWaitDivisor = 4

// recordOffer updates the arrival rate of the class. The first item also
// provides the initial estimate of the residence time.
func (k *class) recordOffer(now time.Time, it Item) {
	if k.meanResidence == 0 {
		k.meanResidence = it.ServiceTime.Seconds()
	}
	k.offered.add(now, 1)
}

// admissionDeadline returns the latest time of admission at which the item can
// still meet its target and its deadline. The zero time means that there is
// none.
func admissionDeadline(now time.Time, k *class, it Item) time.Time {
	var at time.Time
	if !k.Deferrable {
		at = now.Add(max(k.target()/minWaitDivisor, k.target()-it.TimeToFirstToken))
	}
	if it.Deadline.IsZero() {
		return at
	}
	if last := it.Deadline.Add(-it.ServiceTime); at.IsZero() || last.Before(at) {
		return last
	}
	return at
}

func (k *class) target() time.Duration { return time.Duration(k.TTFTMillis) * time.Millisecond }

func (c *Controller) flowOf(k *class, w *workspace) *flow {
	f, ok := k.flows[w.Name]
	if !ok {
		f = &flow{workspace: w, class: k}
		k.flows[w.Name] = f
	}
	return f
}

// offerRefusal returns the refusal of an item that can't be served in time or
// exceeds a limit, or nil.
func (c *Controller) offerRefusal(now time.Time, e *entry) *refusal.Refusal {
	k, w := e.flow.class, e.flow.workspace
	if !k.Deferrable {
		if r := w.limitRefusal(now, c.cfg.RateBurst); r != nil {
			return r
		}
	}
	if c.queued >= c.queueLimit(w) || c.queuedBytes+e.Bytes > c.cfg.MaxQueuedBytes {
		return refusal.New(refusal.Overloaded, "too much work waits").After(c.retryAfter(now, k, 0))
	}
	expectedWait := c.expectedWait(now, e)
	at := now.Add(expectedWait)
	if !e.Deadline.IsZero() && at.Add(e.ServiceTime).After(e.Deadline) {
		return refusal.New(refusal.DeadlineUnreachable, "the answer would take %s", (expectedWait + e.ServiceTime).Round(time.Millisecond)).After(c.retryAfter(now, k, expectedWait))
	}
	if !e.admitBy.IsZero() && expectedWait > time.Duration(maxWaitFraction*float64(e.admitBy.Sub(now))) {
		return refusal.New(refusal.Overloaded, "the first token would take %s", (expectedWait + e.TimeToFirstToken).Round(time.Millisecond)).After(c.retryAfter(now, k, at.Sub(e.admitBy)))
	}
	return nil
}

// queueLimit returns the queue length at which items of the workspace are
// refused. The first half of the queue is open to every workspace. The second
// half is closed to a workspace that already has more than its share queued.
func (c *Controller) queueLimit(w *workspace) int {
	if float64(w.queued) < float64(c.cfg.MaxQueued)*w.Weight/c.totalWeight {
		return c.cfg.MaxQueued
	}
	return c.cfg.MaxQueued / 2
}

// retryAfter estimates when a request like the refused one may be accepted:
// the excess wait plus a multiple of the target that grows with the ratio of
// refused to admitted work, so that returning callers don't sustain the
// overload.
func (c *Controller) retryAfter(now time.Time, k *class, excess time.Duration) time.Duration {
	admitted, refused := k.admitted.perSecond(now), k.refused.perSecond(now)
	targetMultiple := 1.0
	if refused > 0 {
		targetMultiple += min(10, refused/max(admitted, 1))
	}
	after := excess + time.Duration(targetMultiple*float64(k.target()))
	return min(max(after, 100*time.Millisecond), c.cfg.MaxRetryAfter)
}

// maxServedGrowth is the factor over its recent rate of admission at which a
// class is expected to be served at most.
const maxServedGrowth = 1.25

// expectedWait estimates the time until the item is admitted.
func (c *Controller) expectedWait(now time.Time, e *entry) time.Duration {
	k := e.flow.class
	if c.hasRoom(now, k) && !c.anyWaitsAtOrAbove(k) {
		return 0
	}
	perSecond := c.throughput.perSecond
	if perSecond <= 0 {
		return 0
	}
	queuedAbove, admittedAbove := 0.0, 0.0
	for _, o := range c.byPriority {
		if o.Priority > k.Priority {
			queuedAbove += o.queuedCost
			admittedAbove += o.admitted.perSecond(now)
		}
	}
	remainingRate := perSecond - admittedAbove
	if k != c.byPriority[0] && len(k.active) > 0 {
		// The recent rate of the class also reflects the turns that it yields to
		// lower classes.
		remainingRate = min(remainingRate, maxServedGrowth*k.longTermAdmitted.perSecond(now))
	}
	perSecond = max(remainingRate, c.cfg.MinClassShare*perSecond)
	seconds := (queuedAbove + k.costAhead(e.flow) + c.meanCost()) / perSecond
	expectedWait := time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
	if len(e.flow.items) == 0 {
		return expectedWait
	}
	// At a steady rate, a new item waits as long as the item at the head of the
	// queue has waited. This accounts for effects that the rates above don't
	// capture.
	return max(expectedWait, now.Sub(e.flow.items[0].offeredAt))
}

// meanCost returns the mean cost of the finished requests. Divided by the
// throughput, it is the mean time until the next request finishes.
func (c *Controller) meanCost() float64 {
	if c.throughput.finishedCount == 0 {
		return 0
	}
	return c.throughput.finishedCost / float64(c.throughput.finishedCount)
}

// anyWaitsAtOrAbove reports whether the class, or any class of the same or a
// higher priority, has queued items.
func (c *Controller) anyWaitsAtOrAbove(k *class) bool {
	for _, o := range c.byPriority {
		if o.Priority >= k.Priority && len(o.active) > 0 {
			return true
		}
	}
	return false
}

// costAhead returns the cost that is served before a new item of the flow: the
// queue of the flow itself and the items of other flows with an earlier
// virtual start time.
func (k *class) costAhead(f *flow) float64 {
	start := max(f.start, k.virtualTime) + f.queuedCost/f.workspace.Weight
	costAhead := f.queuedCost
	for _, o := range k.active {
		if o != f {
			costAhead += min(o.queuedCost, max(0, start-o.start)*o.workspace.Weight)
		}
	}
	return costAhead
}

// hasRoom reports whether the concurrency limit allows another item of the
// class. A lower class leaves free the concurrency slots that the higher
// classes need by Little's law (arrival rate times residence time). It must do
// so because answers take long compared to the target for the first token, so
// that urgent work can't wait until one of them ends. Each class may always
// use MinClassShare of the limit.
func (c *Controller) hasRoom(now time.Time, k *class) bool {
	limit := float64(c.limiter.Limit())
	if float64(c.running) >= limit {
		return false
	}
	if float64(k.running) < c.cfg.MinClassShare*limit {
		return true
	}
	if k == c.byPriority[0] {
		return true
	}
	reserved := c.cfg.ReservedShare * limit
	for _, o := range c.byPriority {
		if o.Priority > k.Priority {
			reserved += max(0, o.expectedSlots(now, c.cfg.HeadroomDeviations)-float64(o.running))
		}
	}
	return float64(c.running)+reserved < limit
}

// expectedSlots returns the number of concurrency slots that the class
// occupies if everything offered is admitted: the mean plus headroom standard
// deviations of a Poisson distribution.
func (k *class) expectedSlots(now time.Time, headroom float64) float64 {
	mean := k.offered.perSecond(now) * k.meanResidence
	return mean + headroom*math.Sqrt(mean)
}

func (c *Controller) refuse(dst []Effect, it Item, waited time.Duration, r *refusal.Refusal) []Effect {
	if c.cfg.Count != nil {
		c.cfg.Count(r.Reason, it.Workspace, it.Class)
	}
	return append(dst, Effect{Kind: Refuse, ID: it.ID, Refusal: r, Waited: waited})
}
