package admission

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// residenceWeight is the weight of the latest answer in a class's mean time in a
// place.
const residenceWeight = 0.05

func (c *Controller) enqueue(e *entry) {
	f := e.flow
	if len(f.items) == 0 {
		// A flow that comes back starts at the present virtual time: time in
		// which it asked for nothing is not saved up.
		f.start = max(f.start, f.class.virtualTime)
		f.class.active = append(f.class.active, f)
	}
	f.items = append(f.items, e)
	f.queuedCost += e.Cost
	f.class.queuedCost += e.Cost
	f.workspace.queued++
	c.entries[e.ID] = e
	c.queued++
	c.bytes += e.Bytes
}

// dequeue takes the entry at the place out of its flow's queue.
func (c *Controller) dequeue(f *flow, index int) *entry {
	e := f.items[index]
	f.items = slices.Delete(f.items, index, index+1)
	f.queuedCost -= e.Cost
	f.class.queuedCost -= e.Cost
	f.workspace.queued--
	c.queued--
	c.bytes -= e.Bytes
	if len(f.items) == 0 {
		f.queuedCost = 0
		f.class.active = slices.DeleteFunc(f.class.active, func(o *flow) bool { return o == f })
	}
	if len(f.class.active) == 0 {
		f.class.queuedCost, f.class.credit = 0, 0
	}
	return e
}

// admitEligible lets in what the limit has room for.
func (c *Controller) admitEligible(now time.Time, dst []Effect) []Effect {
	for {
		f := c.nextFlow(now)
		if f == nil {
			break
		}
		dst = append(dst, c.start(now, f))
	}
	if c.queued > 0 {
		c.limiter.MarkReached(now)
	}
	return dst
}

// nextFlow returns the flow to serve: that of a lower class whose credit is due,
// else that of the highest class with anything eligible, or what has its turn.
func (c *Controller) nextFlow(now time.Time) *flow {
	var first *flow
	for _, k := range c.byPriority {
		if !c.hasRoom(now, k) {
			continue
		}
		f := c.fairestFlow(now, k)
		if f == nil {
			continue
		}
		if first == nil {
			first = f
			continue
		}
		if k.credit >= f.items[0].Cost {
			k.credit -= f.items[0].Cost
			return f
		}
	}
	if first == nil {
		return nil
	}
	c.creditOtherClasses(first)
	return c.yieldIfOverShare(now, first)
}

// yieldIfOverShare returns the flow itself or, where its workspace is over its share,
// lower work of one that is under it. Without this a large workspace with work
// of a middle class for more than the whole capacity would hold up the lower
// classes of all others for ever.
func (c *Controller) yieldIfOverShare(now time.Time, f *flow) *flow {
	if f.class == c.byPriority[0] || c.usedShareRatio(now, f.workspace) <= c.cfg.OverShareRatio {
		return f
	}
	for _, k := range c.byPriority {
		if k.Priority >= f.class.Priority {
			continue
		}
		o := c.fairestFlow(now, k)
		if o != nil && c.usedShareRatio(now, o.workspace) < c.cfg.UnderShareRatio {
			return o
		}
	}
	return f
}

// usedShareRatio is what the workspace lately had as a multiple of its share of what
// all had.
func (c *Controller) usedShareRatio(now time.Time, w *workspace) float64 {
	all := c.recentUse.perSecond(now)
	if all == 0 {
		return 0
	}
	return w.recentUse.perSecond(now) / all * c.totalWeight / w.Weight
}

// creditOtherClasses pays the classes below the served one, where work waits, their
// share of the cost, and those of the same priority as much as it had itself.
func (c *Controller) creditOtherClasses(served *flow) {
	for _, k := range c.byPriority {
		switch {
		case k == served.class || len(k.active) == 0:
		case k.Priority < served.class.Priority:
			k.credit += c.cfg.MinClassShare * served.items[0].Cost
		case k.Priority == served.class.Priority:
			k.credit += served.items[0].Cost
		}
	}
}

// fairestFlow returns the eligible flow with the least virtual start, by name
// among equals.
func (c *Controller) fairestFlow(now time.Time, k *class) *flow {
	var best *flow
	for _, f := range k.active {
		if f.workspace.limitRefusal(now, c.cfg.RateBurst) != nil {
			continue
		}
		if best == nil || f.start < best.start || f.start == best.start && f.workspace.Name < best.workspace.Name {
			best = f
		}
	}
	return best
}

func (c *Controller) start(now time.Time, f *flow) Effect {
	e := c.dequeue(f, 0)
	f.class.virtualTime = max(f.class.virtualTime, f.start)
	f.start += e.Cost / f.workspace.Weight
	f.class.admitted.add(now, e.Cost)
	f.class.served.add(now, e.Cost)
	f.workspace.running++
	f.workspace.tokens.spend(e.Cost)
	f.workspace.recentUse.add(now, e.Cost)
	c.recentUse.add(now, e.Cost)
	c.delayLowerFlows(f, e.Cost)
	e.admitted = true
	e.started = now
	f.class.running++
	c.running++
	return Effect{Kind: Admit, ID: e.ID, Waited: now.Sub(e.offered)}
}

// delayLowerFlows lets what a workspace uses in one class count in the classes below,
// so that its use in all of them together nears its share: a large workspace's
// urgent work would come on top of its full share of the rest otherwise.
func (c *Controller) delayLowerFlows(f *flow, cost float64) {
	w := f.workspace
	for _, k := range c.byPriority {
		if k.Priority >= f.class.Priority {
			continue
		}
		o := c.flowOf(k, w)
		most := k.virtualTime + c.cfg.MaxVirtualLead.Seconds()*c.throughput.perSecond/w.Weight
		o.start = max(o.start, min(o.start+cost/w.Weight, most))
	}
}

// FirstToken takes in the time from admission to the first token.
func (c *Controller) FirstToken(now time.Time, id ID, took time.Duration) {
	if e, ok := c.entries[id]; ok && !e.flow.class.Deferrable {
		c.limiter.Sample(now, took.Seconds()/e.flow.class.target().Seconds())
	}
}

// BetweenTokens takes in the mean time between an answer's tokens.
func (c *Controller) BetweenTokens(now time.Time, id ID, mean time.Duration) {
	if e, ok := c.entries[id]; ok && e.flow.class.TBTMillis > 0 {
		target := time.Duration(e.flow.class.TBTMillis) * time.Millisecond
		c.limiter.Sample(now, mean.Seconds()/target.Seconds())
	}
}

// Finish takes an admitted item out with what it really cost, and appends what
// may go now.
func (c *Controller) Finish(now time.Time, id ID, cost float64, dst []Effect) []Effect {
	e, ok := c.entries[id]
	if !ok || !e.admitted {
		return dst
	}
	delete(c.entries, id)
	w := e.flow.workspace
	w.running--
	c.running--
	e.flow.class.running--
	e.flow.class.residence += residenceWeight * (now.Sub(e.started).Seconds() - e.flow.class.residence)
	w.tokens.spend(cost - e.Cost)
	e.flow.start += (cost - e.Cost) / w.Weight
	c.throughput.finish(now, cost, c.queued > 0)
	return c.admitEligible(now, dst)
}

// Cancel takes out an item whose caller gave it up.
func (c *Controller) Cancel(now time.Time, id ID, dst []Effect) []Effect {
	e, ok := c.entries[id]
	if !ok {
		return dst
	}
	if e.admitted {
		return c.Finish(now, id, 0, dst)
	}
	c.dequeue(e.flow, slices.Index(e.flow.items, e))
	delete(c.entries, id)
	return c.admitEligible(now, dst)
}

// Tick refuses what can no longer keep its target and admits what may go.
func (c *Controller) Tick(now time.Time, dst []Effect) []Effect {
	for _, k := range c.byPriority {
		for _, f := range slices.Clone(k.active) {
			dst = c.refuseExpired(now, f, dst)
		}
	}
	return c.admitEligible(now, dst)
}

func (c *Controller) refuseExpired(now time.Time, f *flow, dst []Effect) []Effect {
	for i := 0; i < len(f.items); {
		e := f.items[i]
		if e.expires.IsZero() || now.Before(e.expires) {
			i++
			continue
		}
		c.dequeue(f, i)
		delete(c.entries, e.ID)
		f.class.refused.add(now, e.Cost)
		dst = c.refuse(dst, e.Item, now.Sub(e.offered), c.expiredRefusal(now, e))
	}
	return dst
}

func (c *Controller) expiredRefusal(now time.Time, e *entry) *refusal.Refusal {
	k := e.flow.class
	reason := refusal.Overloaded
	if !e.Deadline.IsZero() && now.Add(e.Service).After(e.Deadline) {
		reason = refusal.DeadlineUnreachable
	}
	return refusal.New(reason, "waited %s in vain", now.Sub(e.offered).Round(time.Millisecond)).After(c.retryAfter(now, k, 0))
}

// limitRefusal returns the refusal of a workspace that is at one of its own limits.
func (w *workspace) limitRefusal(now time.Time, burst time.Duration) *refusal.Refusal {
	if w.MaxConcurrent > 0 && w.running >= w.MaxConcurrent {
		return refusal.New(refusal.WorkspaceLimit, "%d requests in progress", w.running).After(time.Second)
	}
	if left := w.tokens.timeUntilTokens(now, w.TokensPerSecond, burst); left > 0 {
		return refusal.New(refusal.WorkspaceLimit, "over %g tokens per second", w.TokensPerSecond).After(left)
	}
	return nil
}
