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
	// LowerShare is the share of admitted cost that a class with work waiting
	// gets whatever the classes above it have: without it an overload of
	// urgent work would hold accepted long work up for ever.
	LowerShare float64
	// Reserve is the share of the limit that all but the highest class leave
	// free, since places are not spread evenly over the runners.
	Reserve float64
	// Headroom is how many standard deviations above their mean need the
	// places are that lower classes leave to higher ones; see Controller.room.
	Headroom float64
	// OverShare and UnderShare are multiples of a workspace's share of what was
	// lately admitted. Below the highest class, a workspace over the one gives
	// its turn to lower work of a workspace under the other.
	OverShare  float64
	UnderShare float64
	// MaxLead bounds, in seconds of the whole rate, how far use in higher
	// classes can set a workspace back in a lower one.
	MaxLead time.Duration
	// RateBurst is how long a workspace may run ahead of its tokens per second.
	RateBurst time.Duration
	// MaxRetryAfter bounds what refusals ask for.
	MaxRetryAfter time.Duration
	// Count is called for every refusal; nil is allowed.
	Count func(refusal.Reason, ident.Workspace, string)
}

// Default returns the policy in use; docs/design/limits.md gives the reasons.
func Default() Config {
	return Config{
		Limiter:        DefaultLimiter(),
		MaxQueued:      4096,
		MaxQueuedBytes: 16 << 20,
		LowerShare:     0.05,
		Reserve:        0.1,
		Headroom:       1,
		OverShare:      1.1,
		UnderShare:     0.9,
		MaxLead:        10 * time.Second,
		RateBurst:      2 * time.Second,
		MaxRetryAfter:  30 * time.Second,
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
	workspace *workspace
	class     *class
	items     []*entry
	cost      float64
	// start is the virtual time at which the next item starts.
	start float64
}

type class struct {
	manifest.Class
	flows   map[ident.Workspace]*flow
	active  []*flow
	virtual float64
	cost    float64
	// credit is the cost to be admitted before higher classes.
	credit   float64
	admitted meter
	refused  meter
	offered  meter
	// served is the admitted cost over a longer time.
	served  meter
	running int
	// residence is the mean seconds from admission to the end.
	residence float64
}

type workspace struct {
	manifest.Workspace
	running int
	queued  int
	tokens  bucket
	used    meter
}

// Controller admits the requests of one service at one gateway. It is not safe
// for concurrent use.
type Controller struct {
	cfg        Config
	limiter    *Limiter
	classes    map[string]*class
	order      []*class
	workspaces map[ident.Workspace]*workspace
	weights    float64
	entries    map[ID]*entry
	running    int
	queued     int
	bytes      int
	rate       rate
	used       meter
}

// New returns a controller that knows no class and no workspace.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:        cfg,
		limiter:    NewLimiter(cfg.Limiter),
		classes:    map[string]*class{},
		workspaces: map[ident.Workspace]*workspace{},
		entries:    map[ID]*entry{},
		used:       meter{halfLife: useHalfLife},
	}
}

func newClass(k manifest.Class) *class {
	return &class{
		Class:    k,
		flows:    map[ident.Workspace]*flow{},
		admitted: meter{halfLife: rateHalfLife},
		refused:  meter{halfLife: rateHalfLife},
		offered:  meter{halfLife: rateHalfLife},
		served:   meter{halfLife: useHalfLife},
	}
}

// SetLimits takes in the workspaces and classes in force. Work of a workspace
// that is no longer listed ends under its old limits; then it is forgotten.
func (c *Controller) SetLimits(workspaces []manifest.Workspace, classes []manifest.Class) {
	c.weights = 0
	for _, w := range workspaces {
		c.weights += w.Weight
		if known, ok := c.workspaces[w.Name]; ok {
			known.Workspace = w
			continue
		}
		c.workspaces[w.Name] = &workspace{Workspace: w, used: meter{halfLife: useHalfLife}}
	}
	for _, k := range classes {
		if known, ok := c.classes[k.Name]; ok {
			known.Class = k
			continue
		}
		c.classes[k.Name] = newClass(k)
	}
	c.forget(workspaces)
	c.order = c.order[:0]
	for _, k := range c.classes {
		c.order = append(c.order, k)
	}
	slices.SortFunc(c.order, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
}

func (c *Controller) forget(listed []manifest.Workspace) {
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
	c.rate.hint(costPerSecond)
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
	e := &entry{Item: it, flow: c.flowOf(k, w), offered: now, expires: expiry(now, k, it)}
	k.note(now, it)
	if r := c.check(now, e); r != nil {
		k.refused.add(now, it.Cost)
		return c.admit(now, c.refuse(dst, it, 0, r))
	}
	c.enqueue(e)
	return c.admit(now, dst)
}

// waitShare is the part of the time until it expires that an item may be
// expected to wait. Under overload the queue grows until the expected wait meets
// this bound; at 1 many items would expire in the queue, since the wait is not
// known exactly.
const waitShare = 0.85

// minSlack is the part of its target that an item may wait even if its own
// prompt takes longer than the target: it would be refused for ever otherwise.
const minSlack = 4

// note counts an offered item.
func (k *class) note(now time.Time, it Item) {
	if k.residence == 0 {
		k.residence = it.Service.Seconds()
	}
	k.offered.add(now, 1)
}

// expiry is when it is too late for the item to keep its target.
func expiry(now time.Time, k *class, it Item) time.Time {
	var at time.Time
	if !k.Deferrable {
		at = now.Add(max(k.target()/minSlack, k.target()-it.FirstToken))
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

// check returns the refusal of an item that can't be served, or nil.
func (c *Controller) check(now time.Time, e *entry) *refusal.Refusal {
	k, w := e.flow.class, e.flow.workspace
	if !k.Deferrable {
		if r := w.over(now, c.cfg.RateBurst); r != nil {
			return r
		}
	}
	if c.queued >= c.mayQueue(w) || c.bytes+e.Bytes > c.cfg.MaxQueuedBytes {
		return refusal.New(refusal.Overloaded, "too much work waits").After(c.retryAfter(now, k, 0))
	}
	wait := c.wait(now, e)
	at := now.Add(wait)
	if !e.Deadline.IsZero() && at.Add(e.Service).After(e.Deadline) {
		return refusal.New(refusal.DeadlineUnreachable, "the answer would take %s", (wait + e.Service).Round(time.Millisecond)).After(c.retryAfter(now, k, wait))
	}
	if !e.expires.IsZero() && wait > time.Duration(waitShare*float64(e.expires.Sub(now))) {
		return refusal.New(refusal.Overloaded, "the first token would take %s", (wait + e.FirstToken).Round(time.Millisecond)).After(c.retryAfter(now, k, at.Sub(e.expires)))
	}
	return nil
}

// mayQueue bounds what waits in all before an item of the workspace is
// refused. Up to half of the room is anyone's; of the rest a workspace that
// already has more than its share waiting gets nothing.
func (c *Controller) mayQueue(w *workspace) int {
	if float64(w.queued) < float64(c.cfg.MaxQueued)*w.Weight/c.weights {
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

// lateGrowth is how much faster than of late a class is expected to go on.
const lateGrowth = 1.25

// wait is the expected time until the item is admitted.
func (c *Controller) wait(now time.Time, e *entry) time.Duration {
	k := e.flow.class
	if c.room(now, k) && !c.anyWaits(k) {
		return 0
	}
	perSecond := c.rate.perSecond
	if perSecond <= 0 {
		return 0
	}
	higher, taken := 0.0, 0.0
	for _, o := range c.order {
		if o.Priority > k.Priority {
			higher += o.cost
			taken += o.admitted.perSecond(now)
		}
	}
	left := perSecond - taken
	if k != c.order[0] && len(k.active) > 0 {
		// What the class had of late tells of turns that it loses, too.
		left = min(left, lateGrowth*k.served.perSecond(now))
	}
	perSecond = max(left, c.cfg.LowerShare*perSecond)
	seconds := (higher + k.ahead(e.flow) + c.meanCost()) / perSecond
	wait := time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
	if len(e.flow.items) == 0 {
		return wait
	}
	// At a steady rate who comes now waits as long as the first in the queue
	// has waited. It shows what the rates above leave out.
	return max(wait, now.Sub(e.flow.items[0].offered))
}

// meanCost is the mean cost of the finished requests: over the rate, the time
// until the next one finishes.
func (c *Controller) meanCost() float64 {
	if c.rate.finished == 0 {
		return 0
	}
	return c.rate.total / float64(c.rate.finished)
}

func (c *Controller) anyWaits(k *class) bool {
	for _, o := range c.order {
		if o.Priority >= k.Priority && len(o.active) > 0 {
			return true
		}
	}
	return false
}

// ahead is the cost that goes before a new item of the flow: its own queue and
// what the other flows have with an earlier virtual start.
func (k *class) ahead(f *flow) float64 {
	start := max(f.start, k.virtual) + f.cost/f.workspace.Weight
	ahead := f.cost
	for _, o := range k.active {
		if o != f {
			ahead += min(o.cost, max(0, start-o.start)*o.workspace.Weight)
		}
	}
	return ahead
}

// room tells whether the limit lets an item of the class in. A lower class
// leaves the places free that the higher ones need by Little's law (their rate
// of arrival times their time in a place): answers are long beside the target
// for the first token, so that urgent work can't wait for one to end. A class
// always has LowerShare of the limit.
func (c *Controller) room(now time.Time, k *class) bool {
	limit := float64(c.limiter.Limit())
	if float64(c.running) >= limit {
		return false
	}
	if float64(k.running) < c.cfg.LowerShare*limit {
		return true
	}
	if k == c.order[0] {
		return true
	}
	kept := c.cfg.Reserve * limit
	for _, o := range c.order {
		if o.Priority > k.Priority {
			kept += max(0, o.need(now, c.cfg.Headroom)-float64(o.running))
		}
	}
	return float64(c.running)+kept < limit
}

// need is the places that the class takes if all that is offered gets one.
func (k *class) need(now time.Time, headroom float64) float64 {
	mean := k.offered.perSecond(now) * k.residence
	return mean + headroom*math.Sqrt(mean)
}

func (c *Controller) refuse(dst []Effect, it Item, waited time.Duration, r *refusal.Refusal) []Effect {
	if c.cfg.Count != nil {
		c.cfg.Count(r.Reason, it.Workspace, it.Class)
	}
	return append(dst, Effect{Kind: Refuse, ID: it.ID, Refusal: r, Waited: waited})
}
