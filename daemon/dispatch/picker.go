package dispatch

import (
	"context"
	"errors"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/daemon/models"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/state/refusal"
)

var _ models.Picker = (*Dispatcher)(nil)

// Pick implements models.Picker. After a failed attempt it first waits for the
// retry budget and the backoff.
func (d *Dispatcher) Pick(ctx context.Context, j models.Job) (models.Choice, error) {
	s := d.service(j.Service)
	if s == nil {
		return models.Choice{}, refusal.New(refusal.UnknownModel, "no service %q", j.Service)
	}
	g := s.grantFor(d, j)
	if j.After != "" {
		if err := s.waitForRetry(ctx, j, g); err != nil {
			return models.Choice{}, err
		}
	}
	return s.pick(time.Now(), j, g)
}

// grantFor returns the request's grant. A request that this daemon adopted from
// another daemon has no grant and is routed without admission, because it was
// admitted when it was accepted.
func (s *service) grantFor(d *Dispatcher, j models.Job) *grant {
	s.mu.Lock()
	g, ok := s.grants[j.Request.ID]
	s.mu.Unlock()
	if ok {
		return g
	}
	class := &manifest.Class{Name: j.Request.Class, Deferrable: true}
	if _, configuredClass, err := d.resolve(j.Request.Model, j.Request.Class); err == nil {
		class = configuredClass
	}
	return newGrant(j.Request, class)
}

// waitForRetry waits until a failed attempt may be retried, or returns why it
// may not.
func (s *service) waitForRetry(ctx context.Context, j models.Job, g *grant) error {
	reason := retryReason(j.After)
	for {
		s.mu.Lock()
		decision := s.retry.Decide(time.Now(), retry.Failure{
			Reason:     reason,
			MayHaveRun: mayHaveRun(j),
			Repeatable: true, // a reader receives each offset only once, even if it is computed repeatedly
			Accepted:   g.accepted || reason == retry.Reclaimed,
			Attempts:   max(1, g.attempts),
			Deadline:   g.deadline,
		})
		s.mu.Unlock()
		if decision.Verdict != retry.Again && decision.Verdict != retry.Postpone {
			return retryRefusal(j, decision)
		}
		if !pause.For(ctx, decision.Delay) {
			return refusal.New(refusal.Cancelled, "given up").Unknown()
		}
		if decision.Verdict == retry.Again {
			return nil
		}
	}
}

func mayHaveRun(j models.Job) bool {
	return j.Offset > 0 || j.After != request.Unreachable && j.After != request.Refused && j.After != request.NoCapacity
}

func retryRefusal(j models.Job, decision retry.Decision) error {
	reason := refusal.RetryBudgetExhausted
	switch decision.Verdict {
	case retry.StopDeadline:
		reason = refusal.DeadlineExceeded
	case retry.StopAttempts:
		reason = refusal.RunnerFailed
	}
	r := refusal.New(reason, "attempt failed (%s), %s", j.After, decision.Verdict)
	if reason != refusal.DeadlineExceeded {
		r = r.After(defaultRetryAfter)
	}
	if mayHaveRun(j) {
		return r.Unknown()
	}
	return r
}

// retryReason maps the cause of a failed attempt to a reason of the retry
// policy.
func retryReason(c request.Cause) retry.Reason {
	switch c {
	case request.Unreachable:
		return retry.ConnectFailed
	case request.Refused, request.NoCapacity:
		return retry.Busy
	case request.Silent:
		return retry.Silent
	case request.EngineError:
		return retry.ServerError
	case request.Preempted, request.ExportFailed:
		return retry.Reclaimed
	}
	return retry.Broken
}

func (s *service) pick(now time.Time, j models.Job, g *grant) (models.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routingRequest(j, g)
	c, err := s.table.Pick(now, &r)
	var none *routing.NoRunnerError
	if errors.As(err, &none) && none.Cause == routing.AllTried {
		// Every runner has already been tried for this request. One of them may
		// have recovered, so all of them are allowed again.
		r.Exclude = prefix.Set{}
		c, err = s.table.Pick(now, &r)
	}
	if err != nil {
		return models.Choice{}, s.noRunnerRefusal(err)
	}
	s.cfg.incCounter(s.name, "picked")
	return models.Choice{Runner: c.Runner, Address: c.Address}, nil
}

// routingRequest returns the request in its current state: the tokens emitted
// so far count as part of the prompt, because the next runner has to compute
// them too.
func (s *service) routingRequest(j models.Job, g *grant) routing.Request {
	r := g.request
	r.PromptTokens += j.Offset
	r.OutputTokens = max(1, r.OutputTokens-j.Offset)
	r.Exclude = s.table.Exclude(j.Exclude...)
	return r
}

// Started implements models.Picker.
func (d *Dispatcher) Started(j models.Job, c models.Choice) {
	s := d.service(j.Service)
	if s == nil {
		return
	}
	g := s.grantFor(d, j)
	defer d.recordUse(s, c.Runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.routingRequest(j, g)
	choice, ok := s.table.ChoiceFor(c.Runner, &r)
	if !ok {
		return
	}
	g.attempts++
	key := attemptKey{j.Request.ID, c.Address}
	if old := s.attempts[key]; old != nil {
		s.table.Finished(now, &old.ticket)
	}
	s.attempts[key] = &attempt{
		ticket:         s.table.Dispatch(now, choice, &r),
		grant:          g,
		started:        now,
		prefixHashes:   r.Prefix,
		expectedCached: choice.CachedBlocks * prefixhash.BlockTokens,
	}
}

// firstToken records the arrival of the first token of an attempt.
func (s *service) firstToken(now time.Time, key attemptKey, cachedTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[key]
	if a == nil || !a.firstTokenAt.IsZero() {
		return
	}
	a.firstTokenAt = now
	s.table.FirstToken(now, &a.ticket)
	s.admission.FirstToken(now, a.grant.id, now.Sub(a.started))
	a.grant.cachedTokens = cachedTokens
	s.cfg.addToCounter(s.name, "prefix.cached_tokens", cachedTokens)
	s.cfg.addToCounter(s.name, "prefix.overestimated_tokens", max(0, a.expectedCached-cachedTokens))
}

// Ended implements models.Picker.
func (d *Dispatcher) Ended(j models.Job, a models.AttemptResult) {
	s := d.service(j.Service)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.endAttempt(now, attemptKey{j.Request.ID, a.Address}, j, a)
	var effects []health.Effect
	if outcome, known := healthOutcome(a); known {
		effects = s.health.HandleOutcome(now, a.Runner, outcome, nil)
		s.applyHealthEffects(effects)
	}
	s.mu.Unlock()
	d.recordUse(s, a.Runner)
	d.startProbes(s, effects)
}

// healthOutcome returns what the result of an attempt implies for the health of
// its runner. It returns false if it implies nothing.
func healthOutcome(a models.AttemptResult) (health.Outcome, bool) {
	if a.Answered {
		return health.Success, true
	}
	switch a.Cause {
	case request.Unreachable, request.Truncated, request.Malformed, request.EngineError:
		return health.Failure, true
	case request.Silent:
		return health.SilentConnection, true
	}
	return "", false
}

func (s *service) endAttempt(now time.Time, key attemptKey, j models.Job, a models.AttemptResult) {
	ended := s.attempts[key]
	if ended == nil {
		return
	}
	delete(s.attempts, key)
	if a.Cause == request.Unreachable || a.Cause == request.Refused {
		s.table.NotStarted(now, &ended.ticket, ended.prefixHashes)
		return
	}
	s.table.Finished(now, &ended.ticket)
	ended.grant.outputTokens += a.Tokens
	if a.Tokens > 1 && !ended.firstTokenAt.IsZero() {
		ended.grant.tokenInterval = now.Sub(ended.firstTokenAt) / time.Duration(a.Tokens-1)
	}
	if a.Answered {
		s.table.RecordOutputLength(j.Offset)
		s.recordOutput(ended.grant.class, j.Offset, ended.grant.tokenInterval)
	}
}
