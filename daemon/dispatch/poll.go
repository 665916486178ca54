package dispatch

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// follow starts and stops the reading of runners so that it fits the table.
func (d *Dispatcher) follow(s *service) {
	for _, r := range s.newlyFollowed() {
		d.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			if s.following(r.ID, cancel) {
				d.poll(ctx, s, r)
			}
		})
	}
}

// poll reads a runner's load and cache events until ctx ends. A read that
// fails changes nothing: only calls with work in them tell that a runner fails.
func (d *Dispatcher) poll(ctx context.Context, s *service, r view.Runner) {
	for {
		d.read(ctx, s, r)
		if !pause(ctx, s.pollEvery()) {
			return
		}
	}
}

func (d *Dispatcher) read(ctx context.Context, s *service, r view.Runner) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Timing.PollTimeout)
	defer cancel()
	l, err := d.cfg.Engines.Load(ctx, r.Address)
	if err != nil {
		d.cfg.count(s.name, "polls.failed")
		return
	}
	now := time.Now()
	if l.Leaving {
		d.cfg.Directory.NoteLeaving(r.Address, time.Duration(l.DeadlineMillis)*time.Millisecond)
	}
	s.reported(now, r.ID, reportOf(now, l), int(d.gateways.Load()))
	events, err := d.cfg.Engines.CacheEvents(ctx, r.Address, s.cursor(r.ID), d.cfg.Timing.EventLimit)
	if err != nil {
		d.cfg.count(s.name, "polls.failed")
		return
	}
	if err := s.cacheEvents(r.ID, pageOf(events)); err != nil {
		d.cfg.count(s.name, "prefix.resyncs")
	}
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
		Left:          time.Duration(l.DeadlineMillis) * time.Millisecond,
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

// newlyFollowed returns the runners of the table that are not read yet, and
// stops the reading of those that are no longer in it.
func (s *service) newlyFollowed() []view.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	runners := s.table.Runners(nil)
	listed := make(map[ident.RunnerID]bool, len(runners))
	var fresh []view.Runner
	for _, r := range runners {
		listed[r.ID] = true
		if _, ok := s.polls[r.ID]; !ok {
			s.polls[r.ID] = nil
			fresh = append(fresh, r)
		}
	}
	for id, cancel := range s.polls {
		if listed[id] {
			continue
		}
		if cancel != nil {
			cancel()
		}
		delete(s.polls, id)
	}
	return fresh
}

// following notes how to stop a runner's reading; false if it is not wanted
// any more.
func (s *service) following(id ident.RunnerID, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.polls[id]; !ok || s.stopped {
		return false
	}
	s.polls[id] = cancel
	return true
}

func (s *service) stopPolls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, cancel := range s.polls {
		if cancel != nil {
			cancel()
		}
	}
}

// pollEvery is the time between two reads of a runner: longer with more of
// them, so that the daemon's share of the network stays bounded.
func (s *service) pollEvery() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	bounded := time.Duration(float64(len(s.polls)) / s.cfg.Timing.PollsPerSecond * float64(time.Second))
	return max(s.cfg.Timing.Poll, bounded)
}
