package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// PutInForceWhile puts a configuration into force. It calls during, with e.mu held, before the
// former configuration is replaced.
func (e *Edge) PutInForceWhile(c route.Config, revision kv.Revision, during func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	during()
	e.fresh.RecordRead(uint64(c.Version), e.deps.Steady())
	e.activateConfig(route.NewTable(c), revision)
}

// EngineRate returns the estimated prompt tokens per second that a service's engines process.
func (e *Edge) EngineRate(service string) float64 {
	p := e.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.prefillModel.Rate()
}

// KnowsFleetWork reports whether the work of most of the fleet has been known for long enough
// for runners to be given back.
func (e *Edge) KnowsFleetWork() bool { return e.workKnownFor(e.deps.Steady(), workSettlePeriod) }

// Leaving returns the number of runners that the daemon knows to be leaving.
func (e *Edge) Leaving() int {
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	n := 0
	for _, r := range e.dir.runners {
		if r.State == view.Leaving {
			n++
		}
	}
	return n
}

// IsRelay reports whether the daemon claims to be a relay.
func (e *Edge) IsRelay() bool { return e.relayMode.Load() }

// Elects reports whether the other daemon is a relay according to this daemon's election.
func (e *Edge) Elects(other *Edge) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.elects(other.self)
}

// HoldsDuties reports whether the daemon holds the lease of the duties.
func (e *Edge) HoldsDuties() bool { return e.duties.holder.Token() != 0 }

// MayAct returns the fencing token if the daemon may perform a duty now.
func (e *Edge) MayAct() (uint64, bool) {
	duty, ok := e.permit()
	return duty.Token, ok
}

// FleetSize returns the number of daemons among which the daemon divides the retry budget.
func (e *Edge) FleetSize() int { return e.fleetSize() }

// AlivePeers returns the number of other daemons that the daemon considers alive.
func (e *Edge) AlivePeers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.alive)
}

// TellLeaving marks a runner as leaving, as an answer that says so does.
func (e *Edge) TellLeaving(id ident.RunnerID) { e.recordLeavingAnswer(id) }

// PublishRunners passes the runners to the pools.
func (e *Edge) PublishRunners() { e.publishRunners() }

// PublishRunnersWhile calls during between the copy of the runners and its use in the pools.
func (e *Edge) PublishRunnersWhile(during func()) {
	list, _ := e.dir.takePublication(e.deps.Steady())
	during()
	e.passRunners(list)
}

// Use says whether new requests may choose a runner, and whether a request that has chosen it may be sent.
type Use struct{ Chosen, Sent bool }

// UsesRunner returns how a daemon uses one of a service's runners.
func (e *Edge) UsesRunner(service string, id ident.RunnerID) Use {
	p := e.pool(service)
	p.mu.Lock()
	_, chosen := p.table.PickCandidate(id, &routing.Request{})
	p.mu.Unlock()
	state := p.entryOf(id).State
	return Use{Chosen: chosen, Sent: state != view.Leaving && state != ""}
}

// WatchesStore reports whether the daemon watches the key-value service for others.
func (e *Edge) WatchesStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayPlan.WatchesStore
}

// TakesFleetForNew waits until the daemon has found its fleet, and reports whether it considers this the fleet's first start.
func (e *Edge) TakesFleetForNew() bool {
	<-e.fleetFound
	return e.firstStart.Load()
}

// RetryBalance returns the number of retries that the budget of a service allows at present.
func (e *Edge) RetryBalance(service string) float64 {
	p := e.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retry.Balance()
}

// QuotaTaken returns what the daemon has taken out of a workspace's quota and not given back.
func (e *Edge) QuotaTaken(ws ident.Workspace) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limiter.Uses(e.deps.Steady())[ws].Taken
}

// SpeedFactor returns how many times as fast as the others a daemon takes a runner to be.
func (e *Edge) SpeedFactor(service string, id ident.RunnerID) float64 {
	p := e.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.factor(id)
}

// PauseRisk returns the share of streams that a daemon expects to pause for too long at a runner.
func (e *Edge) PauseRisk(service string, id ident.RunnerID) float64 {
	p := e.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.pauses.Risk(e.deps.Steady(), p.speeds.factor(id))
}

// ReceiveSpeeds handles the speeds in a message of each kind of sender, and returns how many
// observations wait to be sent.
func (e *Edge) ReceiveSpeeds(h *peersv1.Hello) int {
	for _, from := range []workSource{sourceIgnored, sourceFollower, sourceRelay, sourcePrimary} {
		e.receiveSpeeds(ident.Incarnation(h.Incarnation), h, from)
	}
	e.runnerSpeeds.mu.Lock()
	defer e.runnerSpeeds.mu.Unlock()
	return len(e.runnerSpeeds.fresh)
}

// TypicalFactor returns the factor of the runners in which the demand is counted.
func TypicalFactor(factors []float64) float64 { return typicalFactor(factors) }

// RunnerHash returns the hash that identifies a runner in messages.
func RunnerHash(id ident.RunnerID) uint64 { return runnerHash(id) }

// ReceiveReturns takes up the places in another daemon's message, and returns the number of places that the daemon knows.
func (e *Edge) ReceiveReturns(returns []*peersv1.Returning) int {
	e.receiveReturns(e.deps.Steady(), &peersv1.Hello{Returns: returns})
	e.fair.mu.Lock()
	defer e.fair.mu.Unlock()
	return e.fair.places.Len()
}

// DecidesSpillover reports whether the daemon decides which requests of a service leave its failure
// domain.
func (e *Edge) DecidesSpillover(service string) bool { return e.pool(service).spill != nil }

// OfferedTokens returns the number of uncached tokens that the daemon has counted for the demand of a service.
func (e *Edge) OfferedTokens(service string) float64 { return e.pool(service).ownOfferedTokens() }

// ServedShare returns the fraction of the tokens sent lately that was answered.
func (e *Edge) ServedShare() float64 {
	e.fair.mu.Lock()
	defer e.fair.mu.Unlock()
	return e.fair.throughput.Served(e.deps.Steady())
}

// EndAfterHelpersRefusal lets a helper refuse a request after a number of sends, and then ends the request's time, or the
// daemon.
func (e *Edge) EndAfterHelpersRefusal(req *Request, reply Reply, r *refusal.Refusal, attempts int, ending bool) {
	s := &requestHandler{edge: e, req: req, reply: reply}
	s.admit(context.Background())
	a := &attempt{s: s, helper: "helper"}
	a.beginHandover()
	refused := &helperRefusalError{Refusal: r, attempts: attempts}
	a.settleHandover(refused)
	a.handleRefusal(&peers.Member{}, refused)
	ctx, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	if ending {
		e.EndRequests()
		ctx, cancel = context.WithCancel(context.Background())
		cancel()
	}
	s.endIfCanceled(ctx)
}

// SuspectFailedAttempt lets an attempt fail whose hedge runs, and suspects its runner again when that hedge has given up but
// the request has not gone on yet. It reports whether a hedge runs when the request goes on.
func (e *Edge) SuspectFailedAttempt(ctx context.Context, req *Request) (hedged bool) {
	s := &requestHandler{edge: e, req: req}
	s.admit(ctx)
	a := &attempt{s: s, parent: ctx, activity: &activity{}}
	h := &hedge{silent: a, cancel: func() {}, done: make(chan struct{})}
	a.watch.waiting, a.watch.hedge, s.hedge = true, h, h
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.endWait(false)
	}()
	for !h.alone.Load() {
		time.Sleep(time.Millisecond)
	}
	h.giveBack()
	a.suspect(pathsLost)
	a.watch.mu.Lock()
	hedged = a.watch.hedge != nil
	a.watch.mu.Unlock()
	close(h.done)
	<-ended
	return hedged
}
