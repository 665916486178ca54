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

// adviceFrom is how many runners a relay chooses from.
const adviceFrom = 4

// advised is a prompt that was sent to a runner by this relay's advice. It counts until
// the runner should have read it, or its daemon tells of it.
type advised struct {
	at, until time.Duration
	by        string
	runner    ident.RunnerID
	tokens    int
}

// advice is what was advised a moment ago.
type advice struct {
	mu     sync.Mutex
	recent []advised
}

func (a *advice) add(one advised) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent = append(a.recent, one)
}

// told drops what a daemon has told of itself by now.
func (a *advice) told(by string, before time.Duration) {
	a.keep(func(one advised) bool { return one.by != by || one.at > before })
}

func (a *advice) keep(keep func(advised) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.recent[:0]
	for _, one := range a.recent {
		if keep(one) {
			kept = append(kept, one)
		}
	}
	a.recent = kept
}

// loads is the prompts that the runners are still to read.
func (a *advice) loads(now time.Duration) []routing.OwnLoad {
	a.keep(func(one advised) bool { return one.until > now })
	a.mu.Lock()
	defer a.mu.Unlock()
	var loads []routing.OwnLoad
	for _, one := range a.recent {
		loads = append(loads, routing.OwnLoad{Runner: one.runner, Prefill: one.tokens, KV: one.tokens, Requests: 1})
	}
	return loads
}

// tokensAt is what one runner is still to read of the prompts advised after a time.
func (a *advice) tokensAt(runner ident.RunnerID, now, after time.Duration) int {
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

// advise chooses the candidate with the soonest first token; empty if there is none.
func (e *Edge) advise(now time.Duration, a *peersv1.Ask) string {
	p := e.pool(a.Service)
	if p == nil {
		return ""
	}
	best, soonest := -1, time.Duration(0)
	for i, c := range a.Candidates {
		runner := ident.RunnerID(c.Runner)
		wait, ok := p.wait(runner, e.advised.tokensAt(runner, now, p.lastTold()))
		if first := wait + time.Duration(c.AloneNs); ok && (best < 0 || first < soonest) {
			best, soonest = i, first
		}
	}
	if best < 0 {
		return ""
	}
	c := a.Candidates[best]
	e.advised.add(advised{at: now, until: now + soonest, by: a.PeerAddress, runner: ident.RunnerID(c.Runner), tokens: int(c.UncachedTokens)})
	return c.Runner
}

// wait is the expected time until a runner begins to read a prompt.
func (p *pool) wait(id ident.RunnerID, tokens int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.QueueWait(id, tokens)
}

// lastTold is when the table heard of the others' work last.
func (p *pool) lastTold() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.othersAt
}

// candidates implements whereTo.
func (s *serving) candidates() (string, []*peersv1.Candidate) {
	if s.pool == nil || !s.pool.hasEngine() {
		return "", nil
	}
	return s.pool.name, s.pool.candidates(&s.place)
}

func (p *pool) candidates(r *routing.Request) []*peersv1.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, err := p.table.Candidates(r, adviceFrom)
	if err != nil {
		// The request is refused when a runner is chosen.
		return nil
	}
	told := make([]*peersv1.Candidate, 0, len(best))
	for _, c := range best {
		told = append(told, &peersv1.Candidate{Runner: string(c.Runner), AloneNs: int64(c.IdleEstimate), UncachedTokens: uint32(c.Uncached)})
	}
	return told
}
