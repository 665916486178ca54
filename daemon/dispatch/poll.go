package dispatch

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/polling"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// follow makes the planner read the runners of the service's table.
func (d *Dispatcher) follow(s *service) {
	ids := s.followed()
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.SetTargets(s.name, ids)
	d.planner.SetBudget(time.Now(), d.cfg.Timing.budget(int(d.gateways.Load())))
	select {
	case d.pollWake <- struct{}{}:
	default:
	}
}

// unfollow ends the reading of a service's runners.
func (d *Dispatcher) unfollow(s *service) {
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.SetTargets(s.name, nil)
}

// used tells the planner that what is known of a runner's load has aged.
func (d *Dispatcher) used(s *service, id ident.RunnerID) {
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.RecordUse(polling.Target{Service: s.name, Runner: id})
}

// poll makes the planner's reads until ctx ends. A slow read holds up no other.
func (d *Dispatcher) poll(ctx context.Context) {
	for {
		d.pollMu.Lock()
		read, wait, ok := d.planner.Next(time.Now())
		d.pollMu.Unlock()
		if ok {
			d.spawn(func(ctx context.Context) { d.carryOut(ctx, read) })
			continue
		}
		timer := time.NewTimer(max(wait, leastWait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-d.pollWake: // there may be a runner that was never read
		}
		timer.Stop()
	}
}

// leastWait keeps reads that are due by turns from waking the loop for each.
const leastWait = 5 * time.Millisecond

func (d *Dispatcher) carryOut(ctx context.Context, read polling.Read) {
	var result polling.Result
	if s := d.service(read.Target.Service); s != nil {
		result = d.read(ctx, s, read)
	}
	d.cfg.countBy(read.Target.Service, "polls.load_bytes", result.LoadBytes)
	d.cfg.countBy(read.Target.Service, "polls.event_bytes", result.EventBytes)
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.HandleResult(time.Now(), read, result)
}

// read reads a runner's load, and its cache events if the budget has room for
// them. A read that fails changes nothing: only calls with work in them tell
// that a runner fails.
func (d *Dispatcher) read(ctx context.Context, s *service, read polling.Read) (result polling.Result) {
	id := read.Target.Runner
	address := s.address(id)
	if address == "" {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Timing.PollTimeout)
	defer cancel()
	traffic := &engine.Traffic{}
	ctx = engine.WithTraffic(ctx, traffic)
	l, err := d.cfg.Engines.Load(ctx, address)
	result.LoadBytes = traffic.Bytes()
	if err != nil {
		d.cfg.count(s.name, "polls.failed")
		return result
	}
	now := time.Now()
	if l.Leaving {
		d.cfg.Directory.NoteLeaving(address, time.Duration(l.DeadlineMillis)*time.Millisecond)
	}
	s.reported(now, id, reportOf(now, l), int(d.gateways.Load()))
	if !read.Events {
		return result
	}
	events, err := d.cfg.Engines.CacheEvents(ctx, address, s.cursor(id), d.cfg.Timing.EventLimit)
	result.EventBytes = traffic.Bytes() - result.LoadBytes
	if err != nil {
		d.cfg.count(s.name, "polls.failed")
		return result
	}
	if err := s.cacheEvents(id, pageOf(events)); err != nil {
		d.cfg.count(s.name, "prefix.resyncs")
		result.Gap = true
	}
	return result
}

func reportOf(now time.Time, l engineapi.Load) load.Report {
	r := load.Report{
		AsOf:          now.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
		Running:       l.Running,
		Waiting:       l.Waiting,
		MaxRunning:    l.MaxRunning,
		QueuedTokens:  l.QueuedTokens,
		RunningTokens: l.RunningTokens,
		KVBlocksTotal: l.KVBlocksTotal,
		KVBlocksFree:  l.KVBlocksFree,
		PrefillRate:   l.PrefillRate,
		DecodeRate:    l.DecodeRate,
		Leaving:       l.Leaving,
		TimeLeft:      time.Duration(l.DeadlineMillis) * time.Millisecond,
	}
	for _, m := range l.Models {
		r.Models = append(r.Models, load.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
	}
	return r
}

func pageOf(events engineapi.CacheEvents) prefix.Page {
	p := prefix.Page{First: events.First, Next: events.Next, Events: make([]prefix.Event, len(events.Events))}
	for i, e := range events.Events {
		p.Events[i] = prefix.Event{Sequence: e.Sequence, Block: e.Block, Stored: e.Stored}
	}
	return p
}

// followed lists the runners of the table.
func (s *service) followed() []ident.RunnerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return runnerIDs(s.table.Runners(nil))
}
