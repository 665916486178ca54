package edge

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A follower hears of the others' work up to a second late, and in that time a runner
// that seems idle to all is sent a prompt by several of them. So the relay that grants a
// request's quota also chooses among the runners that the follower finds best: it hears of
// its followers' choices at once, since it makes them, and of the other relays' several
// times a second.

// maxCandidates is how many runners a relay chooses from.
const maxCandidates = 4

// recommended is a prompt that was sent to a runner by this relay's advice. It counts until
// the runner should have read it, or its daemon tells of it.
type recommended struct {
	at, until     time.Duration
	daemonAddress string
	runner        ident.RunnerID
	tokens        int
}

// recommendations is what was advised a moment ago.
type recommendations struct {
	mu     sync.Mutex
	recent []recommended
}

func (a *recommendations) add(one recommended) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent = append(a.recent, one)
}

// reported drops what a daemon has reported of itself by now.
func (a *recommendations) reported(daemonAddress string, before time.Duration) {
	a.retain(func(one recommended) bool { return one.daemonAddress != daemonAddress || one.at > before })
}

func (a *recommendations) retain(retain func(recommended) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.recent[:0]
	for _, one := range a.recent {
		if retain(one) {
			kept = append(kept, one)
		}
	}
	a.recent = kept
}

// loads is the prompts that the runners are still to read.
func (a *recommendations) loads(now time.Duration) []routing.OwnLoad {
	a.retain(func(one recommended) bool { return one.until > now })
	a.mu.Lock()
	defer a.mu.Unlock()
	var loads []routing.OwnLoad
	for _, one := range a.recent {
		loads = append(loads, routing.OwnLoad{Runner: one.runner, Prefill: one.tokens, KV: one.tokens, Requests: 1})
	}
	return loads
}

// tokensAt is what one runner is still to read of the prompts advised after a time.
func (a *recommendations) tokensAt(runner ident.RunnerID, now, after time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	tokens := 0
	for _, one := range a.recent {
		if one.runner == runner && one.at > after && one.until > now {
			tokens += one.tokens
		}
	}
	return tokens
}

// recommendRunner chooses the candidate with the soonest first token; empty if there is none.
func (e *Edge) recommendRunner(now time.Duration, a *peersv1.Ask) string {
	p := e.pool(a.Service)
	if p == nil {
		return ""
	}
	best, soonest := -1, time.Duration(0)
	for i, c := range a.Candidates {
		runner := ident.RunnerID(c.Runner)
		expectedWait, ok := p.expectedWait(runner, e.recommended.tokensAt(runner, now, p.peerLoadsTime()))
		if first := expectedWait + time.Duration(c.AloneNs); ok && (best < 0 || first < soonest) {
			best, soonest = i, first
		}
	}
	if best < 0 {
		return ""
	}
	c := a.Candidates[best]
	e.recommended.add(recommended{at: now, until: now + soonest, daemonAddress: a.PeerAddress, runner: ident.RunnerID(c.Runner), tokens: int(c.UncachedTokens)})
	return c.Runner
}

// expectedWait is the expected time until a runner begins to read a prompt.
func (p *pool) expectedWait(id ident.RunnerID, tokens int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Wait(id, tokens)
}

// peerLoadsTime is when the table heard of the others' work last.
func (p *pool) peerLoadsTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerLoadsAt
}

// candidates implements whereTo.
func (s *requestHandler) candidates() (string, []*peersv1.Candidate) {
	if s.pool == nil || !s.pool.hasEngine() {
		return "", nil
	}
	return s.pool.name, s.pool.candidates(&s.routingRequest)
}

func (p *pool) candidates(r *routing.Request) []*peersv1.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, err := p.table.Candidates(r, maxCandidates)
	if err != nil {
		// The request is refused when a runner is chosen.
		return nil
	}
	told := make([]*peersv1.Candidate, 0, len(best))
	for _, c := range best {
		told = append(told, &peersv1.Candidate{Runner: string(c.Runner), AloneNs: int64(c.Alone), UncachedTokens: uint32(c.Uncached)})
	}
	return told
}
