package admission

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// residenceWeight is the weight of the latest answer in the moving average of
// a class's residence time, which is the time from the admission of a request
// to its end.
const residenceWeight = 0.05

func (c *Controller) enqueue(e *entry) {
	f := e.flow
	if len(f.items) == 0 {
		// A flow that becomes active again starts at the current virtual time,
		// so that it gains no credit for the time in which it had no work.
		f.start = max(f.start, f.class.virtualTime)
		f.class.active = append(f.class.active, f)
	}
	f.items = append(f.items, e)
	f.queuedCost += e.Cost
	f.class.queuedCost += e.Cost
	f.workspace.queued++
	c.entries[e.ID] = e
	c.queued++
	c.queuedBytes += e.Bytes
}

// dequeue removes the entry at the index from the queue of its flow.
func (c *Controller) dequeue(f *flow, index int) *entry {
	e := f.items[index]
	f.items = slices.Delete(f.items, index, index+1)
	f.queuedCost -= e.Cost
	f.class.queuedCost -= e.Cost
	f.workspace.queued--
	c.queued--
	c.queuedBytes -= e.Bytes
	if len(f.items) == 0 {
		f.queuedCost = 0
		f.class.active = slices.DeleteFunc(f.class.active, func(o *flow) bool { return o == f })
	}
	if len(f.class.active) == 0 {
		f.class.queuedCost, f.class.costCredit = 0, 0
	}
	return e
}

// admitEligible admits queued items until the concurrency limit is reached or
// no item is eligible.
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

// nextFlow returns the flow to serve next, or nil if none is eligible. A lower
// class whose credit covers its next item goes first; otherwise the highest
// class with an eligible flow is served, unless yieldIfOverShare passes its
// turn on.
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
		if k.costCredit >= f.items[0].Cost {
			k.costCredit -= f.items[0].Cost
			return f
		}
	}
	if first == nil {
		return nil
	}
	c.creditOtherClasses(first)
	return c.yieldIfOverShare(now, first)
}

// yieldIfOverShare returns the given flow or, if the workspace of that flow is
// over its share, a flow of a lower class whose workspace is under its share.
// Without this rule, a large workspace with more work of a middle class than
// the whole capacity would starve the lower classes of all other workspaces.
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

// usedShareRatio returns the workspace's recent use divided by its weighted
// share of the recent use of all workspaces.
func (c *Controller) usedShareRatio(now time.Time, w *workspace) float64 {
	totalUse := c.recentUse.perSecond(now)
	if totalUse == 0 {
		return 0
	}
	return w.recentUse.perSecond(now) / totalUse * c.totalWeight / w.Weight
}

// creditOtherClasses credits the other classes that have work waiting: a class
// of lower priority gets MinClassShare of the cost of the item to be served,
// and a class of the same priority gets the full cost.
func (c *Controller) creditOtherClasses(served *flow) {
	for _, k := range c.byPriority {
		switch {
		case k == served.class || len(k.active) == 0:
		case k.Priority < served.class.Priority:
			k.costCredit += c.cfg.MinClassShare * served.items[0].Cost
		case k.Priority == served.class.Priority:
			k.costCredit += served.items[0].Cost
		}
	}
}

// fairestFlow returns the eligible flow of the class with the lowest virtual
// start time. Ties are broken by workspace name.
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

// start admits the item at the head of the flow and charges its cost to the
// flow, the class and the workspace.
func (c *Controller) start(now time.Time, f *flow) Effect {
	e := c.dequeue(f, 0)
	f.class.virtualTime = max(f.class.virtualTime, f.start)
	f.start += e.Cost / f.workspace.Weight
	f.class.admitted.add(now, e.Cost)
	f.class.longTermAdmitted.add(now, e.Cost)
	f.workspace.running++
	f.workspace.tokens.spend(e.Cost)
	f.workspace.recentUse.add(now, e.Cost)
	c.recentUse.add(now, e.Cost)
	c.delayLowerFlows(f, e.Cost)
	e.admitted = true
	e.admittedAt = now
	f.class.running++
	c.running++
	return Effect{Kind: Admit, ID: e.ID, Waited: now.Sub(e.offeredAt)}
}

// delayLowerFlows advances the virtual start times of the workspace's flows in
// all classes below the class of the given flow, so that the total use of the
// workspace over all classes approaches its share. Otherwise the urgent work
// of a large workspace would come on top of its full share of the lower
// classes.
func (c *Controller) delayLowerFlows(f *flow, cost float64) {
	w := f.workspace
	for _, k := range c.byPriority {
		if k.Priority >= f.class.Priority {
			continue
		}
		o := c.flowOf(k, w)
		maxStart := k.virtualTime + c.cfg.MaxVirtualLead.Seconds()*c.throughput.perSecond/w.Weight
		o.start = max(o.start, min(o.start+cost/w.Weight, maxStart))
	}
}

// FirstToken records the time from admission to the first token of an item.
// The limiter compares it to the target of the item's class.
func (c *Controller) FirstToken(now time.Time, id ID, took time.Duration) {
	if e, ok := c.entries[id]; ok && !e.flow.class.Deferrable {
		c.limiter.Sample(now, took.Seconds()/e.flow.class.target().Seconds())
	}
}

// BetweenTokens records the mean time between the tokens of an answer. The
// limiter compares it to the target of the item's class.
func (c *Controller) BetweenTokens(now time.Time, id ID, mean time.Duration) {
	if e, ok := c.entries[id]; ok && e.flow.class.TBTMillis > 0 {
		target := time.Duration(e.flow.class.TBTMillis) * time.Millisecond
		c.limiter.Sample(now, mean.Seconds()/target.Seconds())
	}
}

// Finish removes an admitted item, corrects the charges by its actual cost,
// and appends the effects for items that can be admitted now.
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
	e.flow.class.meanResidence += residenceWeight * (now.Sub(e.admittedAt).Seconds() - e.flow.class.meanResidence)
	w.tokens.spend(cost - e.Cost)
	e.flow.start += (cost - e.Cost) / w.Weight
	c.throughput.finish(now, cost, c.queued > 0)
	return c.admitEligible(now, dst)
}

// Cancel removes an item that its caller no longer wants and appends the
// effects for items that can be admitted now.
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

// Tick refuses the queued items that can no longer meet their target and
// admits those that have become eligible.
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
		if e.admitBy.IsZero() || now.Before(e.admitBy) {
			i++
			continue
		}
		c.dequeue(f, i)
		delete(c.entries, e.ID)
		f.class.refused.add(now, e.Cost)
		dst = c.refuse(dst, e.Item, now.Sub(e.offeredAt), c.expiredRefusal(now, e))
	}
	return dst
}

func (c *Controller) expiredRefusal(now time.Time, e *entry) *refusal.Refusal {
	k := e.flow.class
	reason := refusal.Overloaded
	if !e.Deadline.IsZero() && now.Add(e.ServiceTime).After(e.Deadline) {
		reason = refusal.DeadlineUnreachable
	}
	return refusal.New(reason, "waited %s in vain", now.Sub(e.offeredAt).Round(time.Millisecond)).After(c.retryAfter(now, k, 0))
}

// limitRefusal returns a refusal if the workspace has reached one of its own
// limits, or nil.
func (w *workspace) limitRefusal(now time.Time, burst time.Duration) *refusal.Refusal {
	if w.MaxConcurrent > 0 && w.running >= w.MaxConcurrent {
		return refusal.New(refusal.WorkspaceLimit, "%d requests in progress", w.running).After(time.Second)
	}
	if left := w.tokens.timeUntilTokens(now, w.TokensPerSecond, burst); left > 0 {
		return refusal.New(refusal.WorkspaceLimit, "over %g tokens per second", w.TokensPerSecond).After(left)
	}
	return nil
}
