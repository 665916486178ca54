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

// In a large fleet, a daemon's share of a workspace's quota would be smaller than the cost of
// one prompt. Therefore only a few relays of each failure domain, the granters, share the quotas
// there, and every other daemon asks one of them for each request, at the cost of one message
// each way within its failure domain. A granter whose share is used up asks another one; the
// daemons of a small fleet do the same.
//
// Quota is never granted twice, since a relay that has ended grants nothing more. Quota that
// was granted but not used, or whose grant was lost, is lost to the workspace.

const (
	// grantTimeout is the time that the primary relay has to answer before the next relay is
	// asked as well. A relay answers within a millisecond unless its VM is paused.
	grantTimeout = 40 * time.Millisecond
	// lastGrantTimeout is the time allowed for answers after the last relay was asked.
	lastGrantTimeout = 80 * time.Millisecond
	// maxAskedRelays bounds the number of relays asked for one request. One relay's share may
	// be used up while another's is not. While the elected relays change, some known relays
	// have ended and others don't know yet that they are relays.
	maxAskedRelays = 5
	// lateGrantPeriod is the time for which an answer is still recognised after its request
	// stopped waiting, so that the granted quota can be returned.
	lateGrantPeriod = 5 * time.Second
	// quotaUnknownRetryAfter is the retry delay sent to the caller if no relay answered. By then
	// other relays have been elected in place of relays that have ended.
	quotaUnknownRetryAfter = 300 * time.Millisecond
)

// pendingGrant is an Ask for quota that was sent to a relay and has not been answered.
type pendingGrant struct {
	askedAt   time.Duration
	workspace ident.Workspace
	cost      float64
	relay     string
	// answer receives the relay's Grant. It is nil once the request no longer waits.
	answer chan<- grantAnswer
}

// grantAnswer is a relay's Grant together with the Ask that it answers.
type grantAnswer struct {
	*peersv1.Grant
	pendingGrant
}

// pendingGrants holds the unanswered Asks by ID.
type pendingGrants struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]pendingGrant
}

func (p *pendingGrants) init() {
	p.lastID = firstAskID()
	p.pending = map[uint64]pendingGrant{}
}

func (p *pendingGrants) add(g pendingGrant) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.pending[p.lastID] = g
	return p.lastID
}

// abandonGrants marks Asks whose request no longer waits. They are kept until lateGrantPeriod
// has passed.
func (p *pendingGrants) abandonGrants(ids []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if g, ok := p.pending[id]; ok {
			g.answer = nil
			p.pending[id] = g
		}
	}
}

// remove removes an Ask and returns it, or false if the ID is unknown.
func (p *pendingGrants) remove(id uint64) (pendingGrant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.pending[id]
	delete(p.pending, id)
	return g, ok
}

func (p *pendingGrants) expire(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, g := range p.pending {
		if now-g.askedAt > lateGrantPeriod {
			delete(p.pending, id)
		}
	}
}

// candidateLister lists the runners that are best for a request. They are sent along with the Ask
// for quota, and the relay that grants the quota recommends one of them: a relay knows at once
// which runners its followers use, and a follower learns later which ones other followers use.
type candidateLister interface {
	candidates() (service string, runners []*peersv1.Candidate)
}

// takeQuota takes the cost of a request out of its workspace's quota. It returns the answer of
// the relay that granted it, one without a relay if this daemon granted it itself, or a refusal.
func (e *Edge) takeQuota(ctx context.Context, ws ident.Workspace, cost float64, lister candidateLister) (grantAnswer, *refusal.Refusal) {
	own, elsewhere, addresses := e.takeFromOwnShare(ws, cost)
	if own != nil && (own.Taken || !elsewhere) {
		return grantAnswer{Grant: own}, quotaRefusal(own, cost)
	}
	service, candidates := lister.candidates()
	answers := make(chan grantAnswer, maxAskedRelays)
	var ids []uint64
	defer func() { e.abandonGrants(ids, answers) }()
	lastRefused := own
	for i := 0; i < len(addresses) && i < maxAskedRelays && ctx.Err() == nil; i++ {
		id := e.grantRequests.add(pendingGrant{askedAt: e.deps.Steady(), workspace: ws, cost: cost, relay: addresses[i], answer: answers})
		ids = append(ids, id)
		e.sendTo(addresses[i], &peersv1.Datagram{Ask: &peersv1.Ask{
			Id: id, Workspace: string(ws), Cost: cost, PeerAddress: e.settings.PeerAddress, Service: service, Candidates: candidates,
		}})
		wait := grantTimeout
		if i == len(addresses)-1 {
			wait = lastGrantTimeout
		}
		g, ok := awaitAnswer(ctx, answers, wait)
		switch {
		case !ok:
		case g.Unable:
			addresses = e.addReferredRelays(addresses, g.Ask)
		case g.Taken || !g.Elsewhere:
			return g, quotaRefusal(g.Grant, cost)
		default:
			lastRefused = g.Grant
		}
	}
	if lastRefused != nil {
		return grantAnswer{}, quotaRefusal(lastRefused, cost)
	}
	return grantAnswer{}, refusal.New(refusal.QuotaUnknown, "none of %d relays can tell", len(ids)).After(quotaUnknownRetryAfter)
}

// addReferredRelays appends the addresses of relays that another daemon named, except this
// daemon's own and those already listed.
func (e *Edge) addReferredRelays(addresses, referred []string) []string {
	for _, address := range referred {
		if address != e.settings.PeerAddress && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// takeFromOwnShare takes a cost out of this daemon's own share of the quota. own is nil if this
// daemon grants no quota. elsewhere says that another relay may grant the cost; addresses lists
// the relays to ask.
func (e *Edge) takeFromOwnShare(ws ident.Workspace, cost float64) (own *peersv1.Grant, elsewhere bool, addresses []string) {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.grantsQuota(now) {
		own = e.takeFromLimiter(now, ws, cost)
		if own.Taken || !own.Elsewhere {
			return own, false, nil
		}
	}
	return own, true, e.relaysToAsk()
}

// takeFromLimiter takes a cost out of this daemon's share of a workspace's quota. If the share is
// too small, the result says whether other relays' shares may suffice. The caller must hold e.mu.
func (e *Edge) takeFromLimiter(now time.Duration, ws ident.Workspace, cost float64) *peersv1.Grant {
	wait, ok := e.limiter.Take(now, ws, cost)
	return &peersv1.Grant{Taken: ok, WaitNs: int64(wait), Elsewhere: !ok && e.limiter.Covers(now, ws, cost), OverShare: ok && e.overShare(now, ws)}
}

// relaysToAsk returns the addresses of the relays to ask for quota: the granters of this
// daemon's failure domain, with those that it follows first, then those of other failure domains
// in random order. The caller must hold e.mu.
func (e *Edge) relaysToAsk() []string {
	var followed, local, remote []string
	for _, r := range e.relayPlan.OtherGranters {
		switch {
		case containsMember(e.relayPlan.Followed, r.Incarnation):
			followed = append(followed, r.PeerAddress)
		case r.FailureDomain == e.settings.FailureDomain:
			local = append(local, r.PeerAddress)
		default:
			remote = append(remote, r.PeerAddress)
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	addresses := slices.Concat(followed, local, remote)
	return addresses[:min(maxAskedRelays, len(addresses))]
}

// grantsQuota reports whether this daemon grants quota. It does if it is a granter and another
// granter elects it as one, or if it hears no other one for long enough to be the last. In a
// direct fleet every daemon does. The caller must hold e.mu.
func (e *Edge) grantsQuota(now time.Duration) bool {
	return e.relayPlan.Granter && (e.relayPlan.Direct || e.granterConfirmation.MayShare(now, e.hearsAny(now, e.relayPlan.OtherGranters)))
}

// isConfirmedRelay reports whether this daemon is a relay that another relay elects, or hears no
// other relay for long enough to be the last one. The caller must hold e.mu.
func (e *Edge) isConfirmedRelay(now time.Duration) bool {
	return e.relayPlan.Relay && (e.relayPlan.Direct || e.relayConfirmation.MayShare(now, e.hearsAny(now, e.relayPlan.OtherRelays)))
}

// abandonGrants stops waiting for relays' Grants and returns the quota of those that have
// arrived and are not used.
func (e *Edge) abandonGrants(ids []uint64, answers <-chan grantAnswer) {
	e.grantRequests.abandonGrants(ids)
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

// quotaRefusal returns the refusal for an answer that grants nothing, or nil if the quota was
// granted.
func quotaRefusal(g *peersv1.Grant, cost float64) *refusal.Refusal {
	if g.Taken {
		return nil
	}
	return refusal.New(refusal.WorkspaceLimit, "quota of the workspace is used up, the request costs %.0f", cost).After(time.Duration(g.WaitNs))
}

// handleAsk answers a daemon that asks for quota.
func (e *Edge) handleAsk(a *peersv1.Ask) {
	now := e.deps.Steady()
	var g *peersv1.Grant
	e.mu.Lock()
	if e.grantsQuota(now) && e.table.Load() != nil {
		g = e.takeFromLimiter(now, ident.Workspace(a.Workspace), a.Cost)
	} else {
		g = &peersv1.Grant{Unable: true, Ask: e.relaysToAsk()}
	}
	e.mu.Unlock()
	g.Id = a.Id
	if g.Taken {
		g.Runner = e.recommendRunner(now, a)
	}
	e.sendTo(a.PeerAddress, &peersv1.Datagram{Grant: g})
}

// handleGrant passes a relay's Grant to the request that waits for it. Quota granted too late
// is returned.
func (e *Edge) handleGrant(g *peersv1.Grant) {
	pending, ok := e.grantRequests.remove(g.Id)
	if !ok {
		e.log.Count("quota.unknown_grant")
		return
	}
	if pending.answer != nil {
		pending.answer <- grantAnswer{g, pending}
		return
	}
	e.log.Count("quota.late_grant")
	if g.Taken {
		e.returnQuota(pending.relay, pending.workspace, pending.cost)
	}
}

// returnQuota gives back the quota of a request that has not run and never will.
func (e *Edge) returnQuota(relay string, ws ident.Workspace, cost float64) {
	if relay == "" {
		e.mu.Lock()
		e.limiter.Release(ws, cost)
		e.mu.Unlock()
		return
	}
	e.sendTo(relay, &peersv1.Datagram{Refund: &peersv1.Refund{Workspace: string(ws), Cost: cost}})
}

// handleRefund adds quota that another daemon gives back, because its request never ran, to this
// relay's share again.
func (e *Edge) handleRefund(r *peersv1.Refund) {
	if r.Cost <= 0 {
		e.log.Note("message_ignored", decisions.F("reason", "refund of nothing"))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.relayPlan.Granter {
		e.limiter.Release(ident.Workspace(r.Workspace), r.Cost)
	}
}
