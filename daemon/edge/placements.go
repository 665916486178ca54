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
	// minFetchSpeedup is how many times faster than reading a copy must be: a copy is paid
	// for, too.
	minFetchSpeedup = 4
	// cacheLearningPeriod is how long after a restart a daemon knows too little of what the
	// runners have cached. Most of what is asked for again is so within seconds.
	cacheLearningPeriod = 20 * time.Second
	// placementSendPeriod is how long the others are told of a placement: about three messages
	// of a small fleet. relayedTold is the same in a large one, two messages of those
	// that are told most seldom.
	placementSendPeriod        = 350 * time.Millisecond
	relayedPlacementSendPeriod = 850 * time.Millisecond
	// maxPlacements bounds the placements in a message, the newest ones: after a crash of many
	// runners all prompts go to new ones, and messages grew until links lost them.
	maxPlacements = 80
	// placementRepeatInterval is how long a placement that has been told is not told again in a
	// large fleet. Most prompts go where their shared parts were before.
	placementRepeatInterval = 8 * time.Second
)

// placementOrigin says whose placements are told.
type placementOrigin int

const (
	originSelf placementOrigin = iota
	// originFollower are those of this daemon and its followers.
	originFollower
	originAny
)

// placementKey is a prompt's shared parts at a runner.
type placementKey struct {
	runner ident.RunnerID
	last   prefix.Hash
}

// placement is where a prompt's shared parts were sent.
type placement struct {
	at     time.Duration
	origin placementOrigin
	sent   *peersv1.Placed
}

// placements are those of the last seconds.
type placements struct {
	mu    sync.Mutex
	known map[placementKey]placement
}

// note takes in a placement, which is told unless it is known from a moment ago. It
// returns false if it is.
func (p *placements) note(now, quiet time.Duration, origin placementOrigin, message *peersv1.Placed) bool {
	if len(message.Prefix) == 0 {
		return false
	}
	key := placementKey{ident.RunnerID(message.Runner), message.Prefix[len(message.Prefix)-1]}
	p.mu.Lock()
	defer p.mu.Unlock()
	if before, known := p.known[key]; known && now-before.at < quiet {
		return false
	}
	if p.known == nil {
		p.known = map[placementKey]placement{}
	}
	p.known[key] = placement{now, origin, message}
	return true
}

// recent lists what was placed a moment ago, and forgets what is older than matters.
func (p *placements) recent(now, sent time.Duration, origin placementOrigin) []*peersv1.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var recent []placement
	for key, one := range p.known {
		switch age := now - one.at; {
		case age > placementRepeatInterval:
			delete(p.known, key)
		case age <= sent && one.origin <= origin:
			recent = append(recent, one)
		}
	}
	slices.SortFunc(recent, func(a, b placement) int { return cmp.Compare(b.at, a.at) })
	list := make([]*peersv1.Placed, 0, maxPlacements)
	for _, one := range recent[:min(maxPlacements, len(recent))] {
		list = append(list, one.sent)
	}
	return list
}

// placementSendTime is how long a placement is told.
func (e *Edge) placementSendTime() time.Duration {
	if e.directMode.Load() {
		return placementSendPeriod
	}
	return relayedPlacementSendPeriod
}

// placementRepeatTime is how long a placement that has been told need not be told again.
func (e *Edge) placementRepeatTime() time.Duration {
	if e.directMode.Load() {
		return 0
	}
	return placementRepeatInterval
}

// notePlacement tells the others where a prompt's shared parts were sent.
func (e *Edge) notePlacement(service string, runner ident.RunnerID, chain []prefix.Hash) {
	if !e.settings.Policy.Uses(TellPlacements) {
		return
	}
	e.placements.note(e.deps.Steady(), e.placementRepeatTime(), originSelf, &peersv1.Placed{Service: service, Runner: string(runner), Prefix: chain})
}

// receivePlacements takes in what other daemons placed. What is news is passed on.
func (e *Edge) receivePlacements(messages []*peersv1.Placed, follower bool) {
	if len(messages) == 0 {
		return
	}
	by := originAny
	if follower {
		by = originFollower
	}
	now, quiet := e.deps.Steady(), e.placementRepeatTime()
	for _, one := range messages {
		e.placements.note(now, quiet, by, one)
		if p := e.pool(one.Service); p != nil {
			p.assumeCached(ident.RunnerID(one.Runner), one.Prefix)
		}
	}
}

// canFetchPrefix tells whether a runner gets a cached prefix sooner from another runner
// than by reading it again. A copy is paid for, too, so it must be much sooner.
func (p *pool) canFetchPrefix() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.edge.settings.Policy.Uses(CopyParts) && p.service.Engine != nil && p.service.Engine.FetchRate > minFetchSpeedup*p.prefillModel.Rate()
}

// assumeCached takes in what another daemon placed.
func (p *pool) assumeCached(id ident.RunnerID, chain []prefix.Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Assume(id, chain)
}

// recentlyRestarted says that this daemon has restarted and knows too little yet of what the
// runners have cached.
func (p *pool) recentlyRestarted() bool {
	return p.edge.settings.Policy.Uses(TrustHomes) && !p.edge.settings.FirstStart && p.edge.deps.Steady()-p.edge.startedAt < cacheLearningPeriod
}
