package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// In a large fleet a daemon's part of a workspace's quota would be smaller than one
// prompt. There the relays share the quotas among themselves, and every other daemon
// asks one that it follows for each request, which costs it a message each way within
// its failure domain. Whose part is used up asks another one, too, also in a small fleet.
// A relay that has ended takes no more, so nothing is given out twice; what was granted
// and not used, or not heard of, is only lost to the workspace.

const (
	// grantTimeout is how long the primary may take to answer before the other relay is
	// asked, too; a relay answers in a millisecond, or after a pause of its VM.
	grantTimeout = 40 * time.Millisecond
	// lastGrantTimeout is how long the answers may take after that.
	lastGrantTimeout = 80 * time.Millisecond
	// maxAskedRelays bounds the relays that are asked for one request. The part of one may be
	// used up while another's is not; while relays change, some of those that are known
	// have ended and others don't know yet that they are ones.
	maxAskedRelays = 5
	// lateGrantPeriod is how long an answer that nobody waits for is recognised, so that it
	// is given back.
	lateGrantPeriod = 5 * time.Second
	// quotaUnknownRetryAfter is when to come back where no relay answered: by then another
	// one has taken over.
	quotaUnknownRetryAfter = 300 * time.Millisecond
)

// pendingGrant is a request that waits for a relay's word.
type pendingGrant struct {
	askedAt   time.Duration
	workspace ident.Workspace
	cost      float64
	relay     string
	// answer is taken by the first of the relays that grants; it is nil once nobody
	// waits any more.
	answer chan<- grantAnswer
}

type grantAnswer struct {
	*peersv1.Grant
	pendingGrant
}

// pendingGrants keeps what was asked of relays.
type pendingGrants struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]pendingGrant
}

func (a *pendingGrants) init() {
	// Not the numbers of a former run at this address, whose answers may be on their way.
	a.lastID = rand.Uint64()
	a.pending = map[uint64]pendingGrant{}
}

func (a *pendingGrants) add(g pendingGrant) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	a.pending[a.lastID] = g
	return a.lastID
}

// abandon says that nobody waits for the answers any more.
func (a *pendingGrants) abandon(ids []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if g, ok := a.pending[id]; ok {
			g.answer = nil
			a.pending[id] = g
		}
	}
}

// remove removes an asker and returns it; false if it isn't known.
func (a *pendingGrants) remove(id uint64) (pendingGrant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.pending[id]
	delete(a.pending, id)
	return g, ok
}

func (a *pendingGrants) expire(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, g := range a.pending {
		if now-g.askedAt > lateGrantPeriod {
			delete(a.pending, id)
		}
	}
}

// candidateLister tells of the runners that a request may go to. A relay knows better than its
// followers what has just been sent to them, and is asked anyway.
type candidateLister interface {
	candidates() (service string, runners []*peersv1.Candidate)
}

// takeQuota takes a request's cost out of its workspace's quota. It returns the answer
// of the relay that granted it, an empty one for this daemon itself, or a refusal.
func (e *Edge) takeQuota(ctx context.Context, ws ident.Workspace, cost float64, lister candidateLister) (grantAnswer, *refusal.Refusal) {
	own, elsewhere, ask := e.takeLocally(ws, cost)
	if own != nil && (own.Taken || !elsewhere) {
		return grantAnswer{}, quotaRefusal(own, cost)
	}
	service, candidates := lister.candidates()
	answers := make(chan grantAnswer, maxAskedRelays)
	var ids []uint64
	defer func() { e.abandonGrants(ids, answers) }()
	refused := own
	for i := 0; i < len(ask) && i < maxAskedRelays && ctx.Err() == nil; i++ {
		id := e.asks.add(pendingGrant{askedAt: e.deps.Steady(), workspace: ws, cost: cost, relay: ask[i], answer: answers})
		ids = append(ids, id)
		e.sendTo(ask[i], &peersv1.Datagram{Ask: &peersv1.Ask{
			Id: id, Workspace: string(ws), Cost: cost, PeerAddress: e.set.PeerAddress, Service: service, Candidates: candidates,
		}})
		wait := grantTimeout
		if i == len(ask)-1 {
			wait = lastGrantTimeout
		}
		g, ok := awaitGrant(ctx, answers, wait)
		switch {
		case !ok:
		case g.Unable:
			ask = e.addReferredRelays(ask, g.Ask)
		case g.Taken || !g.Elsewhere:
			return g, quotaRefusal(g.Grant, cost)
		default:
			refused = g.Grant
		}
	}
	if refused != nil {
		return grantAnswer{}, quotaRefusal(refused, cost)
	}
	return grantAnswer{}, refusal.New(refusal.QuotaUnknown, "none of %d relays can tell", len(ids)).After(quotaUnknownRetryAfter)
}

// addReferredRelays adds relays that another daemon knows.
func (e *Edge) addReferredRelays(ask, to []string) []string {
	for _, address := range to {
		if address != e.set.PeerAddress && !slices.Contains(ask, address) {
			ask = append(ask, address)
		}
	}
	return ask
}

// takeLocally takes a cost out of what this daemon gives out itself; nil if it gives out
// nothing. It returns whether another one may grant it, and whom to ask.
func (e *Edge) takeLocally(ws ident.Workspace, cost float64) (own *peersv1.Grant, elsewhere bool, ask []string) {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sharesQuotas(now) {
		own = e.takeFromLimiter(now, ws, cost)
		if own.Taken || !own.Elsewhere {
			return own, false, nil
		}
	}
	return own, true, e.relaysToAsk()
}

// takeFromLimiter takes a cost out of what this daemon gives out; called with mu held.
func (e *Edge) takeFromLimiter(now time.Duration, ws ident.Workspace, cost float64) *peersv1.Grant {
	wait, ok := e.limiter.Take(now, ws, cost)
	return &peersv1.Grant{Taken: ok, WaitNs: int64(wait), Elsewhere: !ok && e.limiter.Covers(now, ws, cost)}
}

// relaysToAsk are the addresses of relays to ask: the followed ones, then others of this
// failure domain, then others. Called with mu held.
func (e *Edge) relaysToAsk() []string {
	var ask, remote []string
	for _, r := range e.plan.Followed {
		ask = append(ask, r.PeerAddress)
	}
	for _, r := range e.plan.OtherRelays {
		switch {
		case slices.Contains(ask, r.PeerAddress):
		case r.FailureDomain == e.set.FailureDomain:
			ask = append(ask, r.PeerAddress)
		default:
			remote = append(remote, r.PeerAddress)
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	ask = append(ask, remote...)
	return ask[:min(maxAskedRelays, len(ask))]
}

// sharesQuotas tells whether this daemon gives out quotas: it does so only as a relay that another
// one takes for one, too, or that is the last. Called with mu held.
func (e *Edge) sharesQuotas(now time.Duration) bool {
	return e.plan.Relay && (e.plan.Direct || e.standing.MayShare(now, e.hearsRelay(now)))
}

// abandonGrants ends the wait for relays' answers and gives back what was granted beside the one
// that counted.
func (e *Edge) abandonGrants(ids []uint64, answers <-chan grantAnswer) {
	e.asks.abandon(ids)
	for {
		select {
		case g := <-answers:
			if g.Taken {
				e.returnQuota(g.relay, g.workspace, g.cost)
			}
		default:
			return
		}
	}
}

// awaitGrant waits for a relay's word.
func awaitGrant(ctx context.Context, answers <-chan grantAnswer, wait time.Duration) (grantAnswer, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case g := <-answers:
		return g, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return grantAnswer{}, false
}

// quotaRefusal is the refusal of what was not granted; nil if it was.
func quotaRefusal(g *peersv1.Grant, cost float64) *refusal.Refusal {
	if g.Taken {
		return nil
	}
	return refusal.New(refusal.WorkspaceLimit, "quota of the workspace is used up, the request costs %.0f", cost).After(time.Duration(g.WaitNs))
}

// handleAsk answers a daemon that asks for a part of a quota.
func (e *Edge) handleAsk(a *peersv1.Ask) {
	now := e.deps.Steady()
	var g *peersv1.Grant
	e.mu.Lock()
	if e.sharesQuotas(now) && e.table.Load() != nil {
		g = e.takeFromLimiter(now, ident.Workspace(a.Workspace), a.Cost)
	} else {
		g = &peersv1.Grant{Unable: true, Ask: e.relaysToAsk()}
	}
	e.mu.Unlock()
	g.Id = a.Id
	if g.Taken {
		g.Runner = e.advise(now, a)
	}
	e.sendTo(a.PeerAddress, &peersv1.Datagram{Grant: g})
}

// handleGrant hands a relay's answer to the request that waits for it. What comes too late
// is given back.
func (e *Edge) handleGrant(g *peersv1.Grant) {
	asked, ok := e.asks.remove(g.Id)
	if !ok {
		e.log.Count("quota.unknown_grant")
		return
	}
	if asked.answer != nil {
		asked.answer <- grantAnswer{g, asked}
		return
	}
	e.log.Count("quota.late_grant")
	if g.Taken {
		e.returnQuota(asked.relay, asked.workspace, asked.cost)
	}
}

// returnQuota gives back what a request took that has not run and never will.
func (e *Edge) returnQuota(relay string, ws ident.Workspace, cost float64) {
	if relay == "" {
		e.mu.Lock()
		e.limiter.Release(ws, cost)
		e.mu.Unlock()
		return
	}
	e.sendTo(relay, &peersv1.Datagram{Refund: &peersv1.Refund{Workspace: string(ws), Cost: cost}})
}

func (e *Edge) handleRefund(r *peersv1.Refund) {
	if r.Cost <= 0 {
		e.log.Note("message_ignored", decisions.F("reason", "refund of nothing"))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plan.Relay {
		e.limiter.Release(ident.Workspace(r.Workspace), r.Cost)
	}
}
