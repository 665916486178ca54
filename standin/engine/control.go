package engine

import (
	"slices"
	"sort"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// versionSeparator separates an adapter's name from its version.
const versionSeparator = "@"

// control is the state that orders and reclaim notices change.
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

// load is an order to load a model or adapter that completes at ready.
type load struct {
	model, version, adapter string
	ready                   time.Time
}

// Order carries out an order or refuses it. Loading continues in the
// background; the load report shows its progress.
func (c *Core) Order(now time.Time, o engineapi.Order) error {
	c.advance(now)
	if c.control.dead {
		return &DeadError{}
	}
	if o.Fencing < c.control.fencing {
		if c.cfg.ChecksFencing {
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

// Notice announces that the VM will be reclaimed. The engine terminates at
// deadline.
func (c *Core) Notice(now, deadline time.Time) {
	c.advance(now)
	if !c.control.leaving {
		c.control.noticeTime = now
	}
	c.control.leaving = true
	c.control.deadline = deadline
}

// Die terminates the engine at once. It produces no more lines.
func (c *Core) Die(now time.Time) {
	c.control.dead = true
	c.iteration.active = false
}

// Dead reports whether the engine has terminated.
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

// matchesAdapter reports whether the adapter named in a request is the loaded
// one. A request may give the whole name or leave out the version.
func matchesAdapter(adapter, loaded string) bool {
	name, _, _ := strings.Cut(loaded, versionSeparator)
	return adapter == loaded || adapter == name
}

// load starts loading a model or adapter, unless it is loaded or loading
// already.
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

// isLoadedOrLoading reports whether the model or adapter of the order is
// loaded or is being loaded.
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

// nextEventTime returns the earliest time at which a load completes or the
// engine terminates.
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

// report is the last published load report.
type report struct {
	load engineapi.Load
	at   time.Time
	next time.Time
}

// publishLoad takes a new load report if one is due. No state has changed
// since the last call, so the present state is the state at the time when the
// report was due.
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

// Load returns the last published load report. QueuedTokens are the prompt
// tokens that are not computed yet, and RunningTokens the prompt and output
// tokens of the sequences in the batch.
func (c *Core) Load(now time.Time) engineapi.Load {
	c.advance(now)
	l := c.report.load
	l.AgeMillis = now.Sub(c.report.at).Milliseconds()
	if l.Leaving {
		l.DeadlineMillis = max(c.control.deadline.Sub(now), 0).Milliseconds()
	}
	return l
}

// eventLog holds the cache events that are not published yet, and the most
// recent published ones.
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

// CacheEvents returns the published events whose sequence number is at least
// from. It returns at most limit events; zero means no bound. A missing
// sequence number means that an event was lost.
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
