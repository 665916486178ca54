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

// updatePolling replaces the set of runners that the poll planner polls for the
// service and updates the polling budget. Each
// refresh of the dispatcher calls it.
func (d *Dispatcher) updatePolling(s *service) {
	ids := s.polledRunners()
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.SetTargets(s.name, ids)
	d.planner.SetBudget(time.Now(), d.cfg.Timing.pollBudget(int(d.gateways.Load())))
	select {
	case d.pollWakeup <- struct{}{}:
	default:
	}
}

// stopPolling removes the runners of a service from the poll planner.
func (d *Dispatcher) stopPolling(s *service) {
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.SetTargets(s.name, nil)
}

// recordUse reports to the poll planner that an attempt started or ended at a
// runner, which makes the last load report of the runner less accurate.
func (d *Dispatcher) recordUse(s *service, id ident.RunnerID) {
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.RecordUse(polling.Target{Service: s.name, Runner: id})
}

// runPolls executes the polls that the planner schedules until ctx is done.
// Each poll has its own goroutine, so a slow poll does not delay the others.
func (d *Dispatcher) runPolls(ctx context.Context) {
	for {
		d.pollMu.Lock()
		read, wait, ok := d.planner.Next(time.Now())
		d.pollMu.Unlock()
		if ok {
			d.spawn(func(ctx context.Context) { d.executeRead(ctx, read) })
			continue
		}
		timer := time.NewTimer(max(wait, minPollWait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-d.pollWakeup: // a new runner may have to be polled for the first time
		}
		timer.Stop()
	}
}

// minPollWait is the minimum wait of the polling loop, so that polls that are
// due shortly after each other share one wakeup.
const minPollWait = 5 * time.Millisecond

func (d *Dispatcher) executeRead(ctx context.Context, read polling.Read) {
	var result polling.Result
	if s := d.service(read.Target.Service); s != nil {
		result = d.read(ctx, s, read)
	}
	d.cfg.addToCounter(read.Target.Service, "polls.load_bytes", result.LoadBytes)
	d.cfg.addToCounter(read.Target.Service, "polls.event_bytes", result.EventBytes)
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	d.planner.HandleResult(time.Now(), read, result)
}

// read polls the load report of a runner, and its cache events if the planner's
// budget allows it. A failed poll does not affect the health of the runner,
// which depends only on attempts and probes.
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
		d.cfg.incCounter(s.name, "polls.failed")
		return result
	}
	now := time.Now()
	if l.Leaving {
		d.cfg.Directory.NoteRunnerLeaving(address, time.Duration(l.DeadlineMillis)*time.Millisecond)
	}
	s.handleReport(now, id, loadReport(now, l), int(d.gateways.Load()))
	if !read.Events {
		return result
	}
	events, err := d.cfg.Engines.CacheEvents(ctx, address, s.eventCursor(id), d.cfg.Timing.EventLimit)
	result.EventBytes = traffic.Bytes() - result.LoadBytes
	if err != nil {
		d.cfg.incCounter(s.name, "polls.failed")
		return result
	}
	if err := s.applyCacheEvents(id, eventPage(events)); err != nil {
		d.cfg.incCounter(s.name, "prefix.resyncs")
		result.Gap = true
	}
	return result
}

func loadReport(now time.Time, l engineapi.Load) load.Report {
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
		TimeUntilStop: time.Duration(l.DeadlineMillis) * time.Millisecond,
	}
	for _, m := range l.Models {
		r.Models = append(r.Models, load.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
	}
	return r
}

func eventPage(events engineapi.CacheEvents) prefix.Page {
	p := prefix.Page{First: events.First, Next: events.Next, Events: make([]prefix.Event, len(events.Events))}
	for i, e := range events.Events {
		p.Events[i] = prefix.Event{Sequence: e.Sequence, Block: e.Block, Stored: e.Stored}
	}
	return p
}

// polledRunners returns the runners in the routing table of the service.
func (s *service) polledRunners() []ident.RunnerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return runnerIDs(s.table.AppendRemaining(nil))
}
