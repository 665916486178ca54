package edge

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A follower learns of other daemons' load up to a second late. During that second several
// followers may send prompts to a runner that looks idle to all of them. Therefore a follower that
// asks a relay for quota proposes the runners that it considers best, the candidates. The relay
// that grants the quota chooses one of them, which it recommends to the follower. A relay knows
// which runners its followers use immediately, since it chooses them, and receives the choices of
// the other relays several times a second.

// maxCandidatesPerAsk is the number of runners that a follower proposes in one request for quota.
const maxCandidatesPerAsk = 4

// recommended is a prompt for which this relay has recommended a runner to a follower. It counts
// as load until the runner should have read it or the follower reports it. daemonAddress is the
// peer address of the follower, tokens the number of uncached tokens of the prompt.
type recommended struct {
	recommendedAt, expectedReadAt time.Duration
	daemonAddress                 string
	runner                        ident.RunnerID
	tokens                        int
}

// recommendations holds the prompts for which this relay has recommended a runner and that the
// follower hasn't reported as its own load yet. A prompt is also dropped at its expectedReadAt.
type recommendations struct {
	mu     sync.Mutex
	recent []recommended
}

func (a *recommendations) add(prompt recommended) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent = append(a.recent, prompt)
}

// reported drops the prompts that are included in the load that a follower has now reported:
// those for which this relay recommended a runner to it up to the time before.
func (a *recommendations) reported(daemonAddress string, before time.Duration) {
	a.retain(func(prompt recommended) bool {
		return prompt.daemonAddress != daemonAddress || prompt.recommendedAt > before
	})
}

func (a *recommendations) retain(retain func(recommended) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := a.recent[:0]
	for _, prompt := range a.recent {
		if retain(prompt) {
			remaining = append(remaining, prompt)
		}
	}
	a.recent = remaining
}

// loads returns the load by recommended prompts that the runners have not read yet.
func (a *recommendations) loads(now time.Duration) []routing.OwnLoad {
	a.retain(func(prompt recommended) bool { return prompt.expectedReadAt > now })
	a.mu.Lock()
	defer a.mu.Unlock()
	var loads []routing.OwnLoad
	for _, prompt := range a.recent {
		loads = append(loads, routing.OwnLoad{Runner: prompt.runner, Prefill: prompt.tokens, KV: prompt.tokens, Requests: 1})
	}
	return loads
}

// unreadTokensAt returns the number of tokens that a runner has yet to read of the prompts
// recommended after a time.
func (a *recommendations) unreadTokensAt(runner ident.RunnerID, now, after time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	tokens := 0
	for _, prompt := range a.recent {
		if prompt.runner == runner && prompt.recommendedAt > after && prompt.expectedReadAt > now {
			tokens += prompt.tokens
		}
	}
	return tokens
}

// recommendRunner chooses the follower's candidate with the earliest expected first token, and
// counts the prompt as load there. It returns an empty string if no candidate is usable.
func (e *Edge) recommendRunner(now time.Duration, a *peersv1.Ask) string {
	p := e.pool(a.Service)
	if p == nil {
		return ""
	}
	best, soonest := -1, time.Duration(0)
	for i, c := range a.Candidates {
		runner := ident.RunnerID(c.Runner)
		expectedWait, ok := p.expectedWait(runner, e.recommended.unreadTokensAt(runner, now, p.peerLoadsTime()))
		if first := expectedWait + time.Duration(c.AloneNs); ok && (best < 0 || first < soonest) {
			best, soonest = i, first
		}
	}
	if best < 0 {
		return ""
	}
	c := a.Candidates[best]
	e.recommended.add(recommended{recommendedAt: now, expectedReadAt: now + soonest, daemonAddress: a.PeerAddress, runner: ident.RunnerID(c.Runner), tokens: int(c.UncachedTokens)})
	return c.Runner
}

// expectedWait returns the expected time until a runner begins to read a prompt that comes
// behind the given number of further tokens.
func (p *pool) expectedWait(id ident.RunnerID, tokens int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.QueueWait(id, tokens)
}

// peerLoadsTime returns when the routing table last received the other daemons' loads.
func (p *pool) peerLoadsTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerLoadsAt
}

// candidates returns the service of the request, and the best runners for it. It implements
// candidateLister. The service is empty for runners that are not model engines, since relays
// recommend only model engines.
func (s *requestHandler) candidates() (string, []*peersv1.Candidate) {
	if s.pool == nil || !s.pool.hasEngine() {
		return "", nil
	}
	return s.pool.name, s.pool.candidates(&s.routingRequest)
}

func (p *pool) candidates(r *routing.Request) []*peersv1.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, err := p.candidatesInDomain(r, maxCandidatesPerAsk)
	if err != nil {
		// Without a suitable runner the request is refused later, by chooseRunner.
		return nil
	}
	messages := make([]*peersv1.Candidate, 0, len(best))
	for _, c := range best {
		messages = append(messages, &peersv1.Candidate{Runner: string(c.Runner), AloneNs: int64(c.IdleEstimate), UncachedTokens: uint32(c.Uncached)})
	}
	return messages
}
