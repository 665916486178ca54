package edge

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
	"geraniumstack.org/geraniumstack/daemon/decisions"
)

// runnerLimits holds the request rates that runners state.
type runnerLimits struct {
	mu    sync.Mutex
	known *runnerlimit.Known
}

func (l *runnerLimits) init() { l.known = runnerlimit.NewKnown() }

// observeLimit records whether a runner's answer states a limit on its request rate.
func (a *attempt) observeLimit(answer *Answer) {
	e := a.s.edge
	now := e.deps.Steady()
	sent := now - time.Since(a.sent)
	e.runnerLimits.mu.Lock()
	before := e.runnerLimits.known.PerSecond(a.choice.Runner)
	changed := e.runnerLimits.known.Observe(now, sent, a.choice.Runner, answer.RateLimit)
	e.runnerLimits.mu.Unlock()
	if changed {
		a.s.note("runner_limit", decisions.F("runner", a.choice.Runner), decisions.F("per_second", answer.RateLimit),
			decisions.F("before", before), decisions.F("sent", time.Since(a.sent)))
	}
	if answer.RateLimit > 0 {
		e.log.Count("limited_answers")
	}
}
