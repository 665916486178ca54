package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/runnerrest"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// maxRestSpread bounds the random time by which the requests that wait for the end of a rest go on
	// later.
	maxRestSpread = 50 * time.Millisecond
	// restReturnSpread is the time over which callers who are refused for a rest are spread when they
	// come back.
	restReturnSpread = 500 * time.Millisecond
)

// rests holds the rests that runners have asked this daemon for.
type rests struct {
	mu    sync.Mutex
	table *runnerrest.Table
}

func (r *rests) init() { r.table = runnerrest.New() }

// take reports whether a runner may get a request as far as its rest goes.
func (r *rests) take(now time.Duration, runner ident.RunnerID) (runnerrest.Ticket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Take(now, runner)
}

func (r *rests) release(k runnerrest.Ticket, accepted bool) {
	if k == (runnerrest.Ticket{}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Release(k, accepted)
}

func (r *rests) waits(now time.Duration) map[ident.RunnerID]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Waits(now)
}

// resting reports whether a runner rests, rather than just having rested.
func (r *rests) resting(now time.Duration, runner ident.RunnerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Resting(now, runner)
}

// recordRest records that a runner has asked this daemon for rest.
func (e *Edge) recordRest(runner ident.RunnerID, duration time.Duration) {
	e.rests.mu.Lock()
	defer e.rests.mu.Unlock()
	e.rests.table.Rest(e.deps.Steady(), runner, duration)
}

func (e *Edge) expireRests() {
	e.rests.mu.Lock()
	defer e.rests.mu.Unlock()
	e.rests.table.Expire(e.deps.Steady(), e.knowsRunner)
}

// observeRest takes up what the runner's answer says about its rest.
func (a *attempt) observeRest(answer *Answer) {
	if answer.RetryAfter == 0 {
		a.permit.accepted = !answer.NotRun
		return
	}
	a.rests = answer.NotRun
	a.s.edge.recordRest(a.choice.Runner, answer.RetryAfter)
	a.s.note("runner_rest", decisions.F("runner", a.choice.Runner), decisions.F("rest", answer.RetryAfter), decisions.F("not_run", answer.NotRun))
}

// restingRunners returns the runners of a service that may get no request now for their rest, and the hold
// until the first of them may.
func (e *Edge) restingRunners(p *pool) (resting []ident.RunnerID, soonest hold) {
	for runner, wait := range e.rests.waits(e.deps.Steady()) {
		if !p.hasRunner(runner) {
			continue
		}
		resting = append(resting, runner)
		soonest = soonest.or(hold{until: wait, spread: min(wait, maxRestSpread), mayWait: true, resting: true})
	}
	return resting, soonest
}

// hold says for how long runners take no request, as far as this daemon knows.
type hold struct {
	// until is the time from now until the first of them does; zero if there is no hold. spread is the
	// random time by which a request that waits goes on later.
	until, spread time.Duration
	// mayWait says that a request may wait for the end of the hold. resting says that the runner has asked
	// for rest, rather than that the limits that it states are used up.
	mayWait, resting bool
}

// or returns the hold that ends sooner.
func (h hold) or(other hold) hold {
	if h.until == 0 || other.until > 0 && other.until < h.until {
		return other
	}
	return h
}

// retryAfter returns the time after which a caller that is refused for the hold may come back.
func (h hold) retryAfter() time.Duration {
	if h.resting {
		return h.until + rand.N(restReturnSpread)
	}
	return h.until
}
