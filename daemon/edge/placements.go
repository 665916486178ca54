package edge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
)

const (
	// minFetchSpeedup is how many times faster than reading the prompt a copy must be, since
	// copying costs money, too.
	minFetchSpeedup = 4
	// cacheLearningPeriod is how long after a restart a daemon knows too little about what the
	// runners have cached. Most prompts that recur do so within seconds.
	cacheLearningPeriod = 20 * time.Second
	// placementSendPeriod is how long after it was recorded a placement is included in messages:
	// for about three messages of a small fleet. relayedPlacementSendPeriod is the same in a
	// large fleet: two messages to the daemons that are sent to least often.
	placementSendPeriod        = 350 * time.Millisecond
	relayedPlacementSendPeriod = 850 * time.Millisecond
	// maxPlacements bounds the placements in a message to the newest ones. After a crash of
	// many runners all prompts go to new ones, and without a bound the messages grew until the
	// network lost them.
	maxPlacements = 80
	// placementRepeatInterval is how long a placement that has been sent is not sent again in a
	// large fleet. Most prompts go where their shared parts were sent before.
	placementRepeatInterval = 8 * time.Second
)

// placementOrigin says which daemons' prompts a placement is about. Each value includes the
// ones before it.
type placementOrigin int

const (
	originSelf placementOrigin = iota
	// originFollower stands for this daemon's followers.
	originFollower
	originAny
)

// placementKey identifies the shared parts of a prompt, by the hash up to the last of them, at
// a runner.
type placementKey struct {
	runner ident.RunnerID
	last   prefix.Hash
}

// placement records that the shared parts of a prompt were sent to a runner.
type placement struct {
	at     time.Duration
	origin placementOrigin
	sent   *peersv1.Placed
}

// placements holds the placements of the last seconds.
type placements struct {
	mu    sync.Mutex
	known map[placementKey]placement
}

// record adds a placement so that it is sent to other daemons. It does nothing and returns
// false if the same placement was recorded less than quiet ago.
func (p *placements) record(now, repeatInterval time.Duration, origin placementOrigin, message *peersv1.Placed) bool {
	if len(message.Prefix) == 0 {
		return false
	}
	key := placementKey{ident.RunnerID(message.Runner), message.Prefix[len(message.Prefix)-1]}
	p.mu.Lock()
	defer p.mu.Unlock()
	if before, known := p.known[key]; known && now-before.at < repeatInterval {
		return false
	}
	if p.known == nil {
		p.known = map[placementKey]placement{}
	}
	p.known[key] = placement{now, origin, message}
	return true
}

// recent lists the newest placements of the given origin, or of an origin that it includes, that
// were recorded within the time sent before now. It drops placements that are older than
// placementRepeatInterval.
func (p *placements) recent(now, sent time.Duration, origin placementOrigin) []*peersv1.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var recent []placement
	for key, entry := range p.known {
		switch age := now - entry.at; {
		case age > placementRepeatInterval:
			delete(p.known, key)
		case age <= sent && entry.origin <= origin:
			recent = append(recent, entry)
		}
	}
	slices.SortFunc(recent, func(a, b placement) int { return cmp.Compare(b.at, a.at) })
	list := make([]*peersv1.Placed, 0, maxPlacements)
	for _, entry := range recent[:min(maxPlacements, len(recent))] {
		list = append(list, entry.sent)
	}
	return list
}

// placementSendTime returns how long a placement is included in messages.
func (e *Edge) placementSendTime() time.Duration {
	if e.directMode.Load() {
		return placementSendPeriod
	}
	return relayedPlacementSendPeriod
}

// placementRepeatTime returns how long a placement that has been sent isn't sent again.
func (e *Edge) placementRepeatTime() time.Duration {
	if e.directMode.Load() {
		return 0
	}
	return placementRepeatInterval
}

// notePlacement records where a prompt's shared parts were sent, for this daemon's messages.
func (e *Edge) notePlacement(service string, runner ident.RunnerID, chain []prefix.Hash) {
	if !e.settings.Policy.Uses(TellPlacements) {
		return
	}
	e.placements.record(e.deps.Steady(), e.placementRepeatTime(), originSelf, &peersv1.Placed{Service: service, Runner: string(runner), Prefix: chain})
}

// receivePlacements applies the placements that another daemon has sent, and passes on those
// that are new.
func (e *Edge) receivePlacements(messages []*peersv1.Placed, follower bool) {
	if len(messages) == 0 {
		return
	}
	by := originAny
	if follower {
		by = originFollower
	}
	now, quiet := e.deps.Steady(), e.placementRepeatTime()
	for _, message := range messages {
		e.placements.record(now, quiet, by, message)
		if p := e.pool(message.Service); p != nil {
			p.assumeCached(ident.RunnerID(message.Runner), message.Prefix)
		}
	}
}

// canFetchPrefix reports whether a runner gets a cached prefix from another runner much faster
// than by reading it again. Copying costs money, so it must be faster by a factor of
// minFetchSpeedup.
func (p *pool) canFetchPrefix() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.edge.settings.Policy.Uses(CopyParts) && p.service.Engine != nil && p.service.Engine.CacheFetchRate > minFetchSpeedup*p.prefillModel.Rate()
}

// assumeCached records that another daemon has sent a prompt's shared parts to a runner.
func (p *pool) assumeCached(id ident.RunnerID, chain []prefix.Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Assume(id, chain)
}

// recentlyRestarted reports whether this daemon has restarted so recently that it knows too
// little about what the runners have cached. Prompts are then assumed to be cached at their
// homes, the runners that a hash of their shared parts selects. It returns false if the policy
// doesn't use TrustHomes, and if the fleet has never served, since nothing is cached then.
func (p *pool) recentlyRestarted() bool {
	return p.edge.settings.Policy.Uses(TrustHomes) && !p.edge.firstStart.Load() && p.edge.deps.Steady()-p.edge.startedAt < cacheLearningPeriod
}
