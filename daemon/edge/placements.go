package edge

import (
	"slices"
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
	// placedTold is how long the others are told of a placement: about three
	// messages.
	placedTold = 350 * time.Millisecond
)

// placed is a prompt's shared parts and where they were sent.
type placed struct {
	at     time.Time
	runner ident.RunnerID
	prefix []prefix.Hash
}

// fetches tells whether a runner gets a cached prefix sooner from another runner
// than by reading it again. A copy is paid for, too, so it must be much sooner.
func (p *pool) fetches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.edge.set.Policy.Uses(CopyParts) && p.service.Engine != nil && p.service.Engine.FetchRate > fetchGain*p.engines.Rate()
}

// recent appends what was placed a moment ago, for the other daemons.
func (p *pool) recent(now time.Time, dst []*peersv1.Placed) []*peersv1.Placed {
	if !p.edge.set.Policy.Uses(TellPlacements) {
		return dst
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed = slices.DeleteFunc(p.placed, func(one placed) bool { return now.Sub(one.at) > placedTold })
	for _, one := range p.placed {
		dst = append(dst, &peersv1.Placed{Service: p.name, Runner: string(one.runner), Prefix: one.prefix})
	}
	return dst
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
