// Package retry decides whether and when a failed attempt is repeated. It
// reads no clock: the time is passed to each call, and random numbers are
// drawn from a seeded generator.
package retry

import (
	"math/rand/v2"
	"time"
)

// Reason is the way in which an attempt failed. Each reason has its own
// counters in the metrics.
type Reason string

// Reasons of failed attempts.
const (
	// ConnectFailed means that no connection could be made, so that nothing was
	// sent.
	ConnectFailed Reason = "connect_failed"
	// Busy means that the runner refused because it was at capacity.
	Busy Reason = "busy"
	// Leaving means that the runner refused because its VM is being shut down.
	Leaving Reason = "leaving"
	// NotLoaded means that the runner lacks the model, adapter or version.
	NotLoaded Reason = "not_loaded"
	// Broken means that the connection ended before the answer was complete.
	Broken Reason = "broken"
	// Silent means that the connection carried no data for too long.
	Silent Reason = "silent"
	// Withdrawn means that nothing was sent because what was known of the
	// request or of the runner changed while the connection was being opened.
	Withdrawn Reason = "withdrawn"
	// ServerError means that the runner answered with an error of its own.
	ServerError Reason = "server_error"
	// Reclaimed means that an announced reclaim of the VM ended the attempt.
	Reclaimed Reason = "reclaimed"
)

// Verdict is the decision on a failed attempt.
type Verdict string

// Verdicts on failed attempts.
const (
	// Again means to make another attempt after the wait.
	Again Verdict = "again"
	// Postpone means to ask for a decision again after the wait. It is given to
	// accepted work for which the budget does not suffice yet.
	Postpone Verdict = "postpone"
	// StopMayHaveRun ends a call that may have run and is not repeatable.
	StopMayHaveRun Verdict = "stop_may_have_run"
	// StopBudget ends a call because the retry budget is exhausted.
	StopBudget Verdict = "stop_budget"
	// StopAttempts ends a call that has reached its maximum number of attempts.
	StopAttempts Verdict = "stop_attempts"
	// StopDeadline ends a call because the next attempt would start after its
	// deadline.
	StopDeadline Verdict = "stop_deadline"
)

// Failure describes a failed attempt.
type Failure struct {
	Reason Reason
	// MayHaveRun is true unless no byte reached the runner or the runner
	// reported that it did not run the call.
	MayHaveRun bool
	// Repeatable work may run twice without harm.
	Repeatable bool
	// Accepted is set if the caller was promised an answer. Accepted work waits
	// for the retry budget instead of being ended.
	Accepted bool
	// Attempts is the number of attempts of this call so far, including the
	// failed one.
	Attempts int
	// MaxAttempts overrides the MaxAttempts of the policy unless it is zero.
	MaxAttempts int
	// NeverArrived means that nothing of the failed attempt reached a runner.
	// The attempt then put no load on a runner, so that the attempt in its
	// place is not charged to the budget and not limited by MaxAttempts.
	NeverArrived bool
	// RetryAfter is the delay that the runner asked for, or zero.
	RetryAfter time.Duration
	// Deadline is the time after which the answer is useless to the caller. The
	// zero time means that there is none.
	Deadline time.Time
}

// Decision is the response to a failure.
type Decision struct {
	Verdict Verdict
	// Delay is the time to wait before the next attempt (Again) or before the
	// next call of Decide (Postpone). It is zero for all other verdicts.
	Delay time.Duration
}

// Backoff holds the parameters of the exponential backoff for a reason.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Config holds the retry policy of one service.
type Config struct {
	// Ratio is the number of retries that each first attempt adds to the
	// budget.
	Ratio float64
	// PerSecond is the number of retries that each second adds to the budget,
	// so that accepted work makes progress when there are no first attempts.
	PerSecond float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
	// MaxAttempts is the maximum number of attempts for work that is not accepted.
	MaxAttempts int
	// Backoffs holds the backoff of individual reasons. Backoff applies to all
	// others.
	Backoffs map[Reason]Backoff
	Backoff  Backoff
	Seed     uint64
	// Count is called for every decision. It may be nil.
	Count func(Reason, Verdict)
}

// Default returns the policy used in production; docs/design/retries.md gives
// the reasons for it.
func Default() Config {
	return Config{
		Ratio:       0.1,
		PerSecond:   0.5,
		Burst:       10,
		MaxAttempts: 4,
		Backoff:     Backoff{Base: 50 * time.Millisecond, Max: 2 * time.Second},
		Backoffs: map[Reason]Backoff{
			Leaving:   {Base: time.Millisecond, Max: 100 * time.Millisecond},
			NotLoaded: {Base: time.Millisecond, Max: 100 * time.Millisecond},
			Reclaimed: {Base: time.Millisecond, Max: 250 * time.Millisecond},
			Busy:      {Base: 100 * time.Millisecond, Max: 5 * time.Second},
		},
	}
}

// Policy decides on the retries of one service. Its budget is a number of
// retries that grows with first attempts and with time and shrinks by one with
// each retry. It is not safe for concurrent use.
type Policy struct {
	cfg         Config
	rng         *rand.Rand
	balance     float64
	lastAccrual time.Time
}

// New returns a policy with a full budget.
func New(cfg Config) *Policy {
	return &Policy{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), balance: cfg.Burst}
}

// CountRequest adds Ratio retries to the budget for one request of a caller. It is called once for each, whatever
// becomes of its attempts.
func (p *Policy) CountRequest(now time.Time) {
	p.accrue(now)
	p.balance = min(p.cfg.Burst, p.balance+p.cfg.Ratio)
}

// accrue adds the retries to the budget that the time since the last call has
// earned.
func (p *Policy) accrue(now time.Time) {
	if now.After(p.lastAccrual) && !p.lastAccrual.IsZero() {
		p.balance = min(p.cfg.Burst, p.balance+p.cfg.PerSecond*now.Sub(p.lastAccrual).Seconds())
	}
	if now.After(p.lastAccrual) {
		p.lastAccrual = now
	}
}

// Balance returns the number of retries that the budget still allows.
func (p *Policy) Balance() float64 { return p.balance }

// Affords reports whether the budget allows a retry now.
func (p *Policy) Affords(now time.Time) bool {
	p.accrue(now)
	return p.balance >= 1
}

// Decide decides on a failure and charges the budget if another attempt
// follows.
//
// Without a budget, the loss of a failure domain multiplies the load on the
// others by the number of attempts, so that they fail in turn: the number of
// attempts rises while the number of answers falls. The budget limits the
// attempts to 1+Ratio times the first attempts, plus Burst once and PerSecond
// retries per second, regardless of how many attempts fail.
//
// Accepted work that is interrupted by a reclaim is not charged. It is moved
// once per reclaim, and the number of reclaims does not grow with the load.
// Accepted work that fails for another reason waits, with backoff, until the
// budget allows a retry.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	p.accrue(now)
	d := p.decide(now, f)
	if p.cfg.Count != nil {
		p.cfg.Count(f.Reason, d.Verdict)
	}
	return d
}

func (p *Policy) decide(now time.Time, f Failure) Decision {
	if f.MayHaveRun && !f.Repeatable {
		return Decision{Verdict: StopMayHaveRun}
	}
	if f.Attempts >= p.maxAttempts(f) && !f.Accepted && !f.NeverArrived {
		return Decision{Verdict: StopAttempts}
	}
	delay := p.delay(f)
	if !f.Deadline.IsZero() && !now.Add(delay).Before(f.Deadline) {
		return Decision{Verdict: StopDeadline}
	}
	if f.Accepted && f.Reason == Reclaimed || f.NeverArrived {
		return Decision{Verdict: Again, Delay: delay}
	}
	if p.Affords(now) {
		p.balance--
		return Decision{Verdict: Again, Delay: delay}
	}
	if f.Accepted {
		return Decision{Verdict: Postpone, Delay: delay}
	}
	return Decision{Verdict: StopBudget}
}

// Refund returns one retry to the budget, for one that was decided on and not made.
func (p *Policy) Refund() { p.balance = min(p.cfg.Burst, p.balance+1) }

func (p *Policy) maxAttempts(f Failure) int {
	if f.MaxAttempts > 0 {
		return f.MaxAttempts
	}
	return p.cfg.MaxAttempts
}

// SetBudget changes how fast the budget grows from now on and how much it holds, for
// example when the number of daemons that share a budget changes. The balance doesn't grow by that.
func (p *Policy) SetBudget(now time.Time, ratio, perSecond, burst float64) {
	p.accrue(now)
	p.cfg.Ratio, p.cfg.PerSecond, p.cfg.Burst = ratio, perSecond, burst
	p.balance = min(p.balance, burst)
}

// Fill fills the budget, where nothing can have been spent of it lately.
func (p *Policy) Fill() { p.balance = p.cfg.Burst }

// BudgetShare returns one daemon's part of a budget shared by several daemons.
// In any window, all daemons together may make retries up to ratio times the
// callers' requests plus slack. Each daemon may hold half of its part of slack in
// reserve and earns the other half over the window, so that no window exceeds
// its part. Since the parts are fixed, daemons that can't communicate also
// keep to the shared budget, and so do daemons that restart, however often, if
// each that may have spent lately begins with an empty budget: at most one of its
// lives held a reserve when the window began. usedFraction is the fraction of the budget that is distributed;
// the rest covers retries that reach a runner later than they were decided on.
//
// A daemon must be able to hold one retry to make any. Where half of its part is
// less, it holds one and earns what is left of its part, as long as slack has one
// for each daemon.
func BudgetShare(ratio, slack, usedFraction float64, window time.Duration, daemons int) (perRequest, perSecond, burst float64) {
	whole := slack / float64(max(1, daemons))
	part := usedFraction * whole
	burst = part / 2
	if whole >= 1 {
		burst = max(1, burst)
	}
	return usedFraction * ratio, max(0, part-burst) / window.Seconds(), burst
}

// delay returns a random part of an exponentially growing interval, added to
// the delay that the runner asked for. The randomness keeps callers that
// failed at the same time from retrying at the same time.
func (p *Policy) delay(f Failure) time.Duration {
	b, ok := p.cfg.Backoffs[f.Reason]
	if !ok {
		b = p.cfg.Backoff
	}
	ceiling := b.Base
	for i := 1; i < f.Attempts && ceiling < b.Max; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, b.Max)
	jittered := ceiling/2 + time.Duration(p.rng.Int64N(int64(ceiling/2)+1))
	if f.RetryAfter <= 0 {
		return jittered
	}
	return f.RetryAfter + jittered
}
