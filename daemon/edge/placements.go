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
	// fetchGain is how many times faster than reading a copy must be: a copy is paid
	// for, too.
	fetchGain = 4
	// forgetfulFor is how long after a restart a daemon knows too little of what the
	// runners have cached. Most of what is asked for again is so within seconds.
	forgetfulFor = 20 * time.Second
	// placedTold is how long the others are told of a placement: about three messages
	// of a small fleet. relayedTold is the same in a large one, two messages of those
	// that are told most seldom.
	placedTold  = 350 * time.Millisecond
	relayedTold = 850 * time.Millisecond
	// mostPlaced bounds the placements in a message, the newest ones: after a crash of many
	// runners all prompts go to new ones, and messages grew until links lost them.
	mostPlaced = 80
	// placedQuiet is how long a placement that has been told is not told again in a
	// large fleet. Most prompts go where their shared parts were before.
	placedQuiet = 8 * time.Second
)

// placedBy says whose placements are told.
type placedBy int

const (
	ownPlaced placedBy = iota
	// cellPlaced are those of this daemon and its followers.
	cellPlaced
	anyPlaced
)

// placedKey is a prompt's shared parts at a runner.
type placedKey struct {
	runner ident.RunnerID
	last   prefix.Hash
}

// placedAt is where a prompt's shared parts were sent.
type placedAt struct {
	at   time.Duration
	by   placedBy
	told *peersv1.Placed
}

// placements are those of the last seconds.
type placements struct {
	mu    sync.Mutex
	known map[placedKey]placedAt
}

// note takes in a placement, which is told unless it is known from a moment ago. It
// returns false if it is.
func (p *placements) note(now, quiet time.Duration, by placedBy, told *peersv1.Placed) bool {
	if len(told.Prefix) == 0 {
		return false
	}
	key := placedKey{ident.RunnerID(told.Runner), told.Prefix[len(told.Prefix)-1]}
	p.mu.Lock()
	defer p.mu.Unlock()
	if before, known := p.known[key]; known && now-before.at < quiet {
		return false
	}
	if p.known == nil {
		p.known = map[placedKey]placedAt{}
	}
	p.known[key] = placedAt{now, by, told}
	return true
}

// recent lists what was placed a moment ago, and forgets what is older than matters.
func (p *placements) recent(now, told time.Duration, by placedBy) []*peersv1.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var recent []placedAt
	for key, one := range p.known {
		switch age := now - one.at; {
		case age > placedQuiet:
			delete(p.known, key)
		case age <= told && one.by <= by:
			recent = append(recent, one)
		}
	}
	slices.SortFunc(recent, func(a, b placedAt) int { return cmp.Compare(b.at, a.at) })
	list := make([]*peersv1.Placed, 0, mostPlaced)
	for _, one := range recent[:min(mostPlaced, len(recent))] {
		list = append(list, one.told)
	}
	return list
}

// tellFor is how long a placement is told.
func (e *Edge) tellFor() time.Duration {
	if e.direct.Load() {
		return placedTold
	}
	return relayedTold
}

// quietFor is how long a placement that has been told need not be told again.
func (e *Edge) quietFor() time.Duration {
	if e.direct.Load() {
		return 0
	}
	return placedQuiet
}

// placed tells the others where a prompt's shared parts were sent.
func (e *Edge) placed(service string, runner ident.RunnerID, chain []prefix.Hash) {
	if !e.set.Policy.Uses(TellPlacements) {
		return
	}
	e.placements.note(e.deps.Steady(), e.quietFor(), ownPlaced, &peersv1.Placed{Service: service, Runner: string(runner), Prefix: chain})
}

// heardPlaced takes in what other daemons placed. What is news is passed on.
func (e *Edge) heardPlaced(told []*peersv1.Placed, follower bool) {
	if len(told) == 0 {
		return
	}
	by := anyPlaced
	if follower {
		by = cellPlaced
	}
	now, quiet := e.deps.Steady(), e.quietFor()
	for _, one := range told {
		e.placements.note(now, quiet, by, one)
		if p := e.pool(one.Service); p != nil {
			p.assume(ident.RunnerID(one.Runner), one.Prefix)
		}
	}
}

// fetches tells whether a runner gets a cached prefix sooner from another runner
// than by reading it again. A copy is paid for, too, so it must be much sooner.
func (p *pool) fetches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.edge.set.Policy.Uses(CopyParts) && p.service.Engine != nil && p.service.Engine.CacheFetchRate > fetchGain*p.engines.Rate()
}

// assume takes in what another daemon placed.
func (p *pool) assume(id ident.RunnerID, chain []prefix.Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Assume(id, chain)
}

// forgetful says that this daemon has restarted and knows too little yet of what the
// runners have cached.
func (p *pool) forgetful() bool {
	return p.edge.set.Policy.Uses(TrustHomes) && !p.edge.set.FirstStart && p.edge.deps.Steady()-p.edge.began < forgetfulFor
}
