package admission

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// residenceGain is the weight of the latest answer in a class's mean time in a
// place.
const residenceGain = 0.05

func (c *Controller) enqueue(e *entry) {
	f := e.flow
	if len(f.items) == 0 {
		// A flow that comes back starts at the present virtual time: time in
		// which it asked for nothing is not saved up.
		f.start = max(f.start, f.class.virtual)
		f.class.active = append(f.class.active, f)
	}
	f.items = append(f.items, e)
	f.cost += e.Cost
	f.class.cost += e.Cost
	f.workspace.queued++
	c.entries[e.ID] = e
	c.queued++
	c.bytes += e.Bytes
}

// dequeue takes the entry at the place out of its flow's queue.
func (c *Controller) dequeue(f *flow, place int) *entry {
	e := f.items[place]
	f.items = slices.Delete(f.items, place, place+1)
	f.cost -= e.Cost
	f.class.cost -= e.Cost
	f.workspace.queued--
	c.queued--
	c.bytes -= e.Bytes
	if len(f.items) == 0 {
		f.cost = 0
		f.class.active = slices.DeleteFunc(f.class.active, func(o *flow) bool { return o == f })
	}
	if len(f.class.active) == 0 {
		f.class.cost, f.class.credit = 0, 0
	}
	return e
}

// admit lets in what the limit has room for.
func (c *Controller) admit(now time.Time, dst []Effect) []Effect {
	for {
		f := c.next(now)
		if f == nil {
			break
		}
		dst = append(dst, c.start(now, f))
	}
	if c.queued > 0 {
		c.limiter.Reached(now)
	}
	return dst
}

// next returns the flow to serve: that of a lower class whose credit is due,
// else that of the highest class with anything eligible, or what has its turn.
func (c *Controller) next(now time.Time) *flow {
	var first *flow
	for _, k := range c.order {
		if !c.room(now, k) {
			continue
		}
		f := c.fairest(now, k)
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
	c.payLower(first)
	return c.giveTurn(now, first)
}

// giveTurn returns the flow itself or, where its workspace is over its share,
// lower work of one that is under it. Without this a large workspace with work
// of a middle class for more than the whole capacity would hold up the lower
// classes of all others for ever.
func (c *Controller) giveTurn(now time.Time, f *flow) *flow {
	if f.class == c.order[0] || c.shareUsed(now, f.workspace) <= c.cfg.OverShare {
		return f
	}
	for _, k := range c.order {
		if k.Priority >= f.class.Priority {
			continue
		}
		o := c.fairest(now, k)
		if o != nil && c.shareUsed(now, o.workspace) < c.cfg.UnderShare {
			return o
		}
	}
	return f
}

// shareUsed is what the workspace lately had as a multiple of its share of what
// all had.
func (c *Controller) shareUsed(now time.Time, w *workspace) float64 {
	all := c.used.perSecond(now)
	if all == 0 {
		return 0
	}
	return w.used.perSecond(now) / all * c.weights / w.Weight
}

// payLower pays the classes below the served one, where work waits, their
// share of the cost, and those of the same priority as much as it had itself.
func (c *Controller) payLower(served *flow) {
	for _, k := range c.order {
		switch {
		case k == served.class || len(k.active) == 0:
		case k.Priority < served.class.Priority:
			k.credit += c.cfg.LowerShare * served.items[0].Cost
		case k.Priority == served.class.Priority:
			k.credit += served.items[0].Cost
		}
	}
}

// fairest returns the eligible flow with the least virtual start, by name
// among equals.
func (c *Controller) fairest(now time.Time, k *class) *flow {
	var best *flow
	for _, f := range k.active {
		if f.workspace.over(now, c.cfg.RateBurst) != nil {
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
	f.class.virtual = max(f.class.virtual, f.start)
	f.start += e.Cost / f.workspace.Weight
	f.class.admitted.add(now, e.Cost)
	f.class.served.add(now, e.Cost)
	f.workspace.running++
	f.workspace.tokens.take(e.Cost)
	f.workspace.used.add(now, e.Cost)
	c.used.add(now, e.Cost)
	c.setBack(f, e.Cost)
	e.admitted = true
	e.started = now
	f.class.running++
	c.running++
	return Effect{Kind: Admit, ID: e.ID, Waited: now.Sub(e.offered)}
}

// setBack lets what a workspace uses in one class count in the classes below,
// so that its use in all of them together nears its share: a large workspace's
// urgent work would come on top of its full share of the rest otherwise.
func (c *Controller) setBack(f *flow, cost float64) {
	w := f.workspace
	for _, k := range c.order {
		if k.Priority >= f.class.Priority {
			continue
		}
		o := c.flowOf(k, w)
		most := k.virtual + c.cfg.MaxLead.Seconds()*c.rate.perSecond/w.Weight
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
	e.flow.class.residence += residenceGain * (now.Sub(e.started).Seconds() - e.flow.class.residence)
	w.tokens.take(cost - e.Cost)
	e.flow.start += (cost - e.Cost) / w.Weight
	c.rate.finish(now, cost, c.queued > 0)
	return c.admit(now, dst)
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
	return c.admit(now, dst)
}

// Tick refuses what can no longer keep its target and admits what may go.
func (c *Controller) Tick(now time.Time, dst []Effect) []Effect {
	for _, k := range c.order {
		for _, f := range slices.Clone(k.active) {
			dst = c.expire(now, f, dst)
		}
	}
	return c.admit(now, dst)
}

func (c *Controller) expire(now time.Time, f *flow, dst []Effect) []Effect {
	for i := 0; i < len(f.items); {
		e := f.items[i]
		if e.expires.IsZero() || now.Before(e.expires) {
			i++
			continue
		}
		c.dequeue(f, i)
		delete(c.entries, e.ID)
		f.class.refused.add(now, e.Cost)
		dst = c.refuse(dst, e.Item, now.Sub(e.offered), c.late(now, e))
	}
	return dst
}

func (c *Controller) late(now time.Time, e *entry) *refusal.Refusal {
	k := e.flow.class
	reason := refusal.Overloaded
	if !e.Deadline.IsZero() && now.Add(e.Service).After(e.Deadline) {
		reason = refusal.DeadlineUnreachable
	}
	return refusal.New(reason, "waited %s in vain", now.Sub(e.offered).Round(time.Millisecond)).After(c.retryAfter(now, k, 0))
}

// over returns the refusal of a workspace that is at one of its own limits.
func (w *workspace) over(now time.Time, burst time.Duration) *refusal.Refusal {
	if w.MaxConcurrent > 0 && w.running >= w.MaxConcurrent {
		return refusal.New(refusal.WorkspaceLimit, "%d requests in progress", w.running).After(time.Second)
	}
	if left := w.tokens.empty(now, w.TokensPerSecond, burst); left > 0 {
		return refusal.New(refusal.WorkspaceLimit, "over %g tokens per second", w.TokensPerSecond).After(left)
	}
	return nil
}
