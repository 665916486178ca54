package edge

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/routing"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// toldLoads is the work of the other daemons at the runners.
type toldLoads struct {
	mu      sync.Mutex
	daemons map[ident.Incarnation]toldLoad
	// offered is the prompt tokens that were brought to them, by service.
	offered map[string]*fleet.Tally
}

type toldLoad struct {
	at   time.Duration
	work []routing.OwnLoad
}

// heardLoads takes in one daemon's work. The pools hear of it with the next
// applyLoads: to work the sums out for each message would cost a large fleet's
// daemon more than its requests.
func (e *Edge) heardLoads(id ident.Incarnation, h *peersv1.Hello) {
	work := make([]routing.OwnLoad, 0, len(h.Loads))
	for _, l := range h.Loads {
		work = append(work, routing.OwnLoad{
			Runner: ident.RunnerID(l.Runner), Prefill: int(l.PrefillTokens), KV: int(l.KvTokens), Requests: int(l.Requests),
		})
	}
	now := e.deps.Steady()
	e.told.mu.Lock()
	defer e.told.mu.Unlock()
	if e.told.daemons == nil {
		e.told.daemons = map[ident.Incarnation]toldLoad{}
		e.told.offered = map[string]*fleet.Tally{}
	}
	for _, o := range h.Offered {
		tally, ok := e.told.offered[o.Service]
		if !ok {
			tally = &fleet.Tally{}
			e.told.offered[o.Service] = tally
		}
		tally.Heard(now, id, o.PromptTokens)
	}
	e.told.daemons[id] = toldLoad{at: now, work: work}
}

// applyLoads hands the sums of the other daemons' work to the pools.
func (e *Edge) applyLoads() {
	e.told.mu.Lock()
	sums := e.told.sums(e.deps.Steady())
	e.told.mu.Unlock()
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		p.setOthers(time.Now(), sums)
	}
}

// toldOffered is the prompt tokens that were brought to the other daemons.
func (e *Edge) toldOffered(service string) float64 {
	e.told.mu.Lock()
	defer e.told.mu.Unlock()
	if tally, ok := e.told.offered[service]; ok {
		return tally.Total()
	}
	return 0
}

// sums adds up the work of the daemons that are heard. A daemon that is not
// heard any more has most likely ended, and its work with it.
func (t *toldLoads) sums(now time.Duration) map[ident.RunnerID]routing.OwnLoad {
	sums := map[ident.RunnerID]routing.OwnLoad{}
	for id, told := range t.daemons {
		if now-told.at > peers.AliveFor {
			delete(t.daemons, id)
			for _, tally := range t.offered {
				tally.Gone(id)
			}
			continue
		}
		for _, w := range told.work {
			sum := sums[w.Runner]
			sum.Runner = w.Runner
			sum.Prefill += w.Prefill
			sum.KV += w.KV
			sum.Requests += w.Requests
			sums[w.Runner] = sum
		}
	}
	return sums
}
