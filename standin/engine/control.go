package engine

import (
	"slices"
	"sort"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// versionSeparator stands between an adapter's name and its version.
const versionSeparator = "@"

// control is what orders and notices change.
type control struct {
	models       []engineapi.LoadedModel
	pendingLoads []load
	role         string
	fencing      uint64
	leaving      bool
	noticeTime   time.Time
	deadline     time.Time
	dead         bool
}

// load is an order that takes until ready.
type load struct {
	model, version, adapter string
	ready                   time.Time
}

// Order carries out an order or refuses it. Loading goes on after it returns
// and shows in the load report.
func (c *Core) Order(now time.Time, o engineapi.Order) error {
	c.advance(now)
	if c.control.dead {
		return &DeadError{}
	}
	if o.Fencing < c.control.fencing {
		if c.cfg.CheckFencing {
			c.counters.RefusedOrders++
			return &StaleFencingError{Seen: c.control.fencing}
		}
		c.counters.StaleOrders++
	}
	c.control.fencing = max(c.control.fencing, o.Fencing)
	switch o.Kind {
	case engineapi.OrderLoad:
		c.load(now, o)
	case engineapi.OrderUnload:
		c.control.unload(o)
	case engineapi.OrderRole:
		c.control.role = o.Role
	default:
		return &UnknownOrderError{Kind: string(o.Kind)}
	}
	return nil
}

// Notice tells that the VM goes at deadline; the engine is gone then.
func (c *Core) Notice(now, deadline time.Time) {
	c.advance(now)
	if !c.control.leaving {
		c.control.noticeTime = now
	}
	c.control.leaving = true
	c.control.deadline = deadline
}

// Die ends the engine at once; it makes no line any more.
func (c *Core) Die(now time.Time) {
	c.control.dead = true
	c.iteration.active = false
}

// Dead reports whether the engine is gone.
func (c *Core) Dead() bool { return c.control.dead }

func (c *control) findModel(model, version string) *engineapi.LoadedModel {
	for i := range c.models {
		if c.models[i].Model == model && (version == "" || c.models[i].Version == version) {
			return &c.models[i]
		}
	}
	return nil
}

func (c *control) servesModel(model, adapter string) bool {
	for _, m := range c.models {
		if m.Model != model || m.Loading {
			continue
		}
		if adapter == "" || slices.ContainsFunc(m.Adapters, func(loaded string) bool { return matchesAdapter(adapter, loaded) }) {
			return true
		}
	}
	return false
}

// matchesAdapter reports whether a request's adapter means the loaded one: its whole
// name, or the part before its version.
func matchesAdapter(adapter, loaded string) bool {
	name, _, _ := strings.Cut(loaded, versionSeparator)
	return adapter == loaded || adapter == name
}

// load begins what an order asks for, unless it is there or has begun.
func (c *Core) load(now time.Time, o engineapi.Order) {
	if c.control.isLoadedOrLoading(o) {
		return
	}
	ready := now.Add(c.cfg.LoadTime)
	if c.cfg.WeightTransferTime != nil {
		ready = ready.Add(c.cfg.WeightTransferTime(now, o))
	}
	if c.control.findModel(o.Model, o.Version) == nil {
		c.control.models = append(c.control.models, engineapi.LoadedModel{Model: o.Model, Version: o.Version, Loading: true})
	}
	c.control.pendingLoads = append(c.control.pendingLoads, load{model: o.Model, version: o.Version, adapter: o.Adapter, ready: ready})
}

// isLoadedOrLoading reports whether an order asks for nothing that is not there or on its
// way.
func (c *control) isLoadedOrLoading(o engineapi.Order) bool {
	loaded := c.findModel(o.Model, o.Version)
	if loaded != nil && (o.Adapter == "" || slices.Contains(loaded.Adapters, o.Adapter)) {
		return true
	}
	return slices.ContainsFunc(c.pendingLoads, func(l load) bool {
		return l.model == o.Model && l.version == o.Version && l.adapter == o.Adapter
	})
}

func (c *control) unload(o engineapi.Order) {
	if o.Adapter != "" {
		if loaded := c.findModel(o.Model, o.Version); loaded != nil {
			loaded.Adapters = slices.DeleteFunc(slices.Clone(loaded.Adapters), func(a string) bool { return a == o.Adapter })
		}
	} else {
		c.models = slices.DeleteFunc(c.models, func(m engineapi.LoadedModel) bool {
			return m.Model == o.Model && m.Version == o.Version
		})
	}
	c.pendingLoads = slices.DeleteFunc(c.pendingLoads, func(l load) bool {
		return l.model == o.Model && l.version == o.Version && (o.Adapter == "" || l.adapter == o.Adapter)
	})
}

func (c *control) finishLoads(now time.Time) {
	c.pendingLoads = slices.DeleteFunc(c.pendingLoads, func(l load) bool {
		if l.ready.After(now) {
			return false
		}
		if m := c.findModel(l.model, l.version); m != nil {
			m.Loading = false
			if l.adapter != "" {
				m.Adapters = append(slices.Clone(m.Adapters), l.adapter)
			}
		}
		return true
	})
}

// nextEventTime is when the next order, or the engine itself, ends.
func (c *control) nextEventTime() (time.Time, bool) {
	var next time.Time
	if c.leaving && !c.dead {
		next = c.deadline
	}
	for _, l := range c.pendingLoads {
		if next.IsZero() || l.ready.Before(next) {
			next = l.ready
		}
	}
	return next, !next.IsZero()
}

// report is the load that was last published.
type report struct {
	load engineapi.Load
	at   time.Time
	next time.Time
}

// publishLoad takes a new load report if one is due. Nothing has changed since the
// last call, so the state now is what it was when the report was due.
func (c *Core) publishLoad(now time.Time) {
	if now.Before(c.report.next) {
		return
	}
	c.report.at = now
	if period := c.cfg.LoadPeriod; period > 0 {
		c.report.at = c.report.next.Add(now.Sub(c.report.next) / period * period)
		c.report.next = c.report.at.Add(period)
	}
	c.report.load = c.currentLoad()
}

func (c *Core) currentLoad() engineapi.Load {
	l := engineapi.Load{
		RunnerID:      c.cfg.RunnerID,
		Running:       len(c.running),
		Waiting:       len(c.queue),
		MaxRunning:    c.cfg.MaxBatch,
		KVBlocksTotal: c.cfg.KVBlocks,
		KVBlocksFree:  c.cache.free(),
		PrefillRate:   c.cfg.PrefillRate,
		DecodeRate:    float64(time.Second) / float64(max(c.cfg.StepTime, time.Microsecond)),
		Role:          c.control.role,
		Leaving:       c.control.leaving,
	}
	for _, s := range c.queue {
		l.QueuedTokens += s.knownTokens
	}
	for _, s := range c.running {
		l.RunningTokens += s.knownTokens
		l.QueuedTokens += s.knownTokens - s.computedTokens
	}
	for _, m := range c.control.models {
		m.Adapters = slices.Clone(m.Adapters)
		l.Models = append(l.Models, m)
	}
	return l
}

// Load returns the last published report. QueuedTokens are prompt tokens not
// yet computed, RunningTokens those in the batch with their output so far.
func (c *Core) Load(now time.Time) engineapi.Load {
	c.advance(now)
	l := c.report.load
	l.AgeMillis = now.Sub(c.report.at).Milliseconds()
	if l.Leaving {
		l.DeadlineMillis = max(c.control.deadline.Sub(now), 0).Milliseconds()
	}
	return l
}

// eventLog keeps the cache events until they are published and for a while
// after it.
type eventLog struct {
	delay        time.Duration
	dropEveryNth uint64
	maxRetained  int
	first        uint64
	next         uint64
	events       []loggedEvent
}

type loggedEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

func (l *eventLog) add(now time.Time, hash uint64, stored bool) {
	sequence := l.next
	l.next++
	if l.dropEveryNth > 0 && sequence%l.dropEveryNth == 0 {
		return
	}
	l.events = append(l.events, loggedEvent{at: now, event: engineapi.CacheEvent{Sequence: sequence, Block: hash, Stored: stored}})
	if excess := len(l.events) - 2*l.maxRetained; l.maxRetained > 0 && excess > 0 {
		l.events = append([]loggedEvent(nil), l.events[len(l.events)-l.maxRetained:]...)
		l.first = l.events[0].event.Sequence
	}
}

// CacheEvents returns the published events with a sequence number of at least
// from, at most limit (zero: no bound). A missing number among them is a gap.
func (c *Core) CacheEvents(now time.Time, from uint64, limit int) engineapi.CacheEvents {
	c.advance(now)
	page := engineapi.CacheEvents{RunnerID: c.cfg.RunnerID, First: c.events.first, Next: max(from, c.events.first)}
	retained := c.events.events
	start := sort.Search(len(retained), func(i int) bool { return retained[i].event.Sequence >= from })
	for _, e := range retained[start:] {
		if e.at.Add(c.events.delay).After(now) || (limit > 0 && len(page.Events) == limit) {
			break
		}
		page.Events = append(page.Events, e.event)
		page.Next = e.event.Sequence + 1
	}
	return page
}
