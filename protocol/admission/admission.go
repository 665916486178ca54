// Package admission decides which requests of one service go to runners now,
// which wait and which are refused.
//
// Classes go by priority. Within a class the workspaces share by weight
// (start-time fair queuing over the cost in tokens); what one doesn't use, the
// others borrow. Work that can't meet its target is refused at once. The
// package is pure: time comes with each call and effects are returned.
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

// ID names an item for its life in one controller.
type ID uint64

// Item is a request for admission.
type Item struct {
	ID        ID
	Workspace ident.Workspace
	Class     string
	// Cost is in output tokens; prompt tokens count as the part of one that
	// their prefill takes. See Cost.
	Cost float64
	// Bytes is the memory that the item holds while it waits.
	Bytes int
	// FirstToken is the expected time to first token once admitted, Service
	// the expected time to the last one.
	FirstToken time.Duration
	Service    time.Duration
	// Deadline is when the answer is of no more use; zero is never.
	Deadline time.Time
}

// Kind is what became of an item.
type Kind string

// Kinds of effects.
const (
	Admit  Kind = "admit"
	Refuse Kind = "refuse"
)

// Effect tells what became of an item that was offered.
type Effect struct {
	Kind Kind
	ID   ID
	// Refusal is set for Refuse; nothing ran.
	Refusal *refusal.Refusal
	// Waited is how long the item was queued.
	Waited time.Duration
}

// Config sets a controller's policy.
type Config struct {
	Limiter LimiterConfig
	// MaxQueued and MaxQueuedBytes bound the items that wait.
	MaxQueued      int
	MaxQueuedBytes int
	// MinClassShare is the share of admitted cost that a class with work waiting
	// gets whatever the classes above it have: without it an overload of
	// urgent work would hold accepted long work up for ever.
	MinClassShare float64
	// ReservedShare is the share of the limit that all but the highest class leave
	// free, since places are not spread evenly over the runners.
	ReservedShare float64
	// HeadroomDeviations is how many standard deviations above their mean need the
	// places are that lower classes leave to higher ones; see Controller.room.
	HeadroomDeviations float64
	// OverShareRatio and UnderShare are multiples of a workspace's share of what was
	// lately admitted. Below the highest class, a workspace over the one gives
	// its turn to lower work of a workspace under the other.
	OverShareRatio  float64
	UnderShareRatio float64
	// MaxVirtualLead bounds, in seconds of the whole rate, how far use in higher
	// classes can set a workspace back in a lower one.
	MaxVirtualLead time.Duration
	// RateBurst is how long a workspace may run ahead of its tokens per second.
	RateBurst time.Duration
	// MaxRetryAfter bounds what refusals ask for.
	MaxRetryAfter time.Duration
	// OnRefusal is called for every refusal; nil is allowed.
	OnRefusal func(refusal.Reason, ident.Workspace, string)
}

// Default returns the policy in use; docs/design/limits.md gives the reasons.
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

type entry struct {
	Item
	flow    *flow
	offered time.Time
	started time.Time
	// expires is when it is too late to admit it; zero is never.
	expires  time.Time
	admitted bool
}

// flow is the work of one workspace in one class.
type flow struct {
	workspace  *workspace
	class      *class
	items      []*entry
	queuedCost float64
	// start is the virtual time at which the next item starts.
	start float64
}

type class struct {
	manifest.Class
	flows       map[ident.Workspace]*flow
	active      []*flow
	virtualTime float64
	queuedCost  float64
	// credit is the cost to be admitted before higher classes.
	credit   float64
	admitted decayingRate
	refused  decayingRate
	offered  decayingRate
	// served is the admitted cost over a longer time.
	served  decayingRate
	running int
	// residence is the mean seconds from admission to the end.
	residence float64
}

type workspace struct {
	manifest.Workspace
	running   int
	queued    int
	tokens    bucket
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
	bytes       int
	throughput  throughput
	recentUse   decayingRate
}

// New returns a controller that knows no class and no workspace.
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
		Class:    k,
		flows:    map[ident.Workspace]*flow{},
		admitted: decayingRate{halfLife: rateHalfLife},
		refused:  decayingRate{halfLife: rateHalfLife},
		offered:  decayingRate{halfLife: rateHalfLife},
		served:   decayingRate{halfLife: useHalfLife},
	}
}

// SetLimits takes in the workspaces and classes in force. Work of a workspace
// that is no longer listed ends under its old limits; then it is forgotten.
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

// SetCapacity tells what this gateway's share of the runners carries by their
// own reports: requests at a time and cost per second.
func (c *Controller) SetCapacity(requests, costPerSecond float64) {
	c.limiter.SetHint(requests)
	c.throughput.setHint(costPerSecond)
}

// Limit is the number of requests that may be in progress now.
func (c *Controller) Limit() int { return c.limiter.Limit() }

// Running counts the requests that were admitted and have not ended.
func (c *Controller) Running() int { return c.running }

// Queued counts the requests that wait.
func (c *Controller) Queued() int { return c.queued }

// Offer asks for admission and appends what became of it and of others to dst.
// An item without an effect waits.
func (c *Controller) Offer(now time.Time, it Item, dst []Effect) []Effect {
	k, ok := c.classes[it.Class]
	w, known := c.workspaces[it.Workspace]
	if !ok || !known {
		return c.refuse(dst, it, 0, refusal.New(refusal.BadRequest, "unknown class %q or workspace", it.Class))
	}
	e := &entry{Item: it, flow: c.flowOf(k, w), offered: now, expires: admissionDeadline(now, k, it)}
	k.recordOffer(now, it)
	if r := c.offerRefusal(now, e); r != nil {
		k.refused.add(now, it.Cost)
		return c.admitEligible(now, c.refuse(dst, it, 0, r))
	}
	c.enqueue(e)
	return c.admitEligible(now, dst)
}

// maxWaitFraction is the part of the time until it expires that an item may be
// expected to wait. Under overload the queue grows until the expected wait meets
// this bound; at 1 many items would expire in the queue, since the wait is not
// known exactly.
const maxWaitFraction = 0.85

// minWaitDivisor is the part of its target that an item may wait even if its own
// prompt takes longer than the target: it would be refused for ever otherwise.
const minWaitDivisor = 4

// recordOffer counts an offered item.
func (k *class) recordOffer(now time.Time, it Item) {
	if k.residence == 0 {
		k.residence = it.Service.Seconds()
	}
	k.offered.add(now, 1)
}

// admissionDeadline is when it is too late for the item to keep its target.
func admissionDeadline(now time.Time, k *class, it Item) time.Time {
	var at time.Time
	if !k.Deferrable {
		at = now.Add(max(k.target()/minWaitDivisor, k.target()-it.FirstToken))
	}
	if it.Deadline.IsZero() {
		return at
	}
	if last := it.Deadline.Add(-it.Service); at.IsZero() || last.Before(at) {
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

// offerRefusal returns the refusal of an item that can't be served, or nil.
func (c *Controller) offerRefusal(now time.Time, e *entry) *refusal.Refusal {
	k, w := e.flow.class, e.flow.workspace
	if !k.Deferrable {
		if r := w.limitRefusal(now, c.cfg.RateBurst); r != nil {
			return r
		}
	}
	if c.queued >= c.queueLimit(w) || c.bytes+e.Bytes > c.cfg.MaxQueuedBytes {
		return refusal.New(refusal.Overloaded, "too much work waits").After(c.retryAfter(now, k, 0))
	}
	expectedWait := c.expectedWait(now, e)
	at := now.Add(expectedWait)
	if !e.Deadline.IsZero() && at.Add(e.Service).After(e.Deadline) {
		return refusal.New(refusal.DeadlineUnreachable, "the answer would take %s", (expectedWait + e.Service).Round(time.Millisecond)).After(c.retryAfter(now, k, expectedWait))
	}
	if !e.expires.IsZero() && expectedWait > time.Duration(maxWaitFraction*float64(e.expires.Sub(now))) {
		return refusal.New(refusal.Overloaded, "the first token would take %s", (expectedWait + e.FirstToken).Round(time.Millisecond)).After(c.retryAfter(now, k, at.Sub(e.expires)))
	}
	return nil
}

// queueLimit bounds what waits in all before an item of the workspace is
// refused. Up to half of the room is anyone's; of the rest a workspace that
// already has more than its share waiting gets nothing.
func (c *Controller) queueLimit(w *workspace) int {
	if float64(w.queued) < float64(c.cfg.MaxQueued)*w.Weight/c.totalWeight {
		return c.cfg.MaxQueued
	}
	return c.cfg.MaxQueued / 2
}

// retryAfter is when a request like the refused one may find room: the excess
// and, as long as much is refused, a multiple of the target, so that callers
// that come back don't keep the overload up.
func (c *Controller) retryAfter(now time.Time, k *class, excess time.Duration) time.Duration {
	admitted, refused := k.admitted.perSecond(now), k.refused.perSecond(now)
	times := 1.0
	if refused > 0 {
		times += min(10, refused/max(admitted, 1))
	}
	after := excess + time.Duration(times*float64(k.target()))
	return min(max(after, 100*time.Millisecond), c.cfg.MaxRetryAfter)
}

// maxServedGrowth is how much faster than of late a class is expected to go on.
const maxServedGrowth = 1.25

// expectedWait is the expected time until the item is admitted.
func (c *Controller) expectedWait(now time.Time, e *entry) time.Duration {
	k := e.flow.class
	if c.hasRoom(now, k) && !c.anyWaitsAtOrAbove(k) {
		return 0
	}
	perSecond := c.throughput.perSecond
	if perSecond <= 0 {
		return 0
	}
	higher, taken := 0.0, 0.0
	for _, o := range c.byPriority {
		if o.Priority > k.Priority {
			higher += o.queuedCost
			taken += o.admitted.perSecond(now)
		}
	}
	left := perSecond - taken
	if k != c.byPriority[0] && len(k.active) > 0 {
		// What the class had of late tells of turns that it loses, too.
		left = min(left, maxServedGrowth*k.served.perSecond(now))
	}
	perSecond = max(left, c.cfg.MinClassShare*perSecond)
	seconds := (higher + k.costAhead(e.flow) + c.meanCost()) / perSecond
	expectedWait := time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
	if len(e.flow.items) == 0 {
		return expectedWait
	}
	// At a steady rate who comes now waits as long as the first in the queue
	// has waited. It shows what the rates above leave out.
	return max(expectedWait, now.Sub(e.flow.items[0].offered))
}

// meanCost is the mean cost of the finished requests: over the rate, the time
// until the next one finishes.
func (c *Controller) meanCost() float64 {
	if c.throughput.finishedCount == 0 {
		return 0
	}
	return c.throughput.finishedCost / float64(c.throughput.finishedCount)
}

func (c *Controller) anyWaitsAtOrAbove(k *class) bool {
	for _, o := range c.byPriority {
		if o.Priority >= k.Priority && len(o.active) > 0 {
			return true
		}
	}
	return false
}

// costAhead is the cost that goes before a new item of the flow: its own queue and
// what the other flows have with an earlier virtual start.
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

// hasRoom tells whether the limit lets an item of the class in. A lower class
// leaves the places free that the higher ones need by Little's law (their rate
// of arrival times their time in a place): answers are long beside the target
// for the first token, so that urgent work can't wait for one to end. A class
// always has LowerShare of the limit.
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
			reserved += max(0, o.expectedPlaces(now, c.cfg.HeadroomDeviations)-float64(o.running))
		}
	}
	return float64(c.running)+reserved < limit
}

// expectedPlaces is the places that the class takes if all that is offered gets one.
func (k *class) expectedPlaces(now time.Time, headroom float64) float64 {
	mean := k.offered.perSecond(now) * k.residence
	return mean + headroom*math.Sqrt(mean)
}

func (c *Controller) refuse(dst []Effect, it Item, waited time.Duration, r *refusal.Refusal) []Effect {
	if c.cfg.OnRefusal != nil {
		c.cfg.OnRefusal(r.Reason, it.Workspace, it.Class)
	}
	return append(dst, Effect{Kind: Refuse, ID: it.ID, Refusal: r, Waited: waited})
}
