// Package retry decides whether and when a failed attempt is made again. It is
// pure: time comes with each call and random numbers from a seed.
package retry

import (
	"math/rand/v2"
	"time"
)

// Reason says how an attempt failed; each has its own counters.
type Reason string

// Reasons of failed attempts.
const (
	// ConnectFailed means that no connection was made, so nothing was sent.
	ConnectFailed Reason = "connect_failed"
	// Busy means that the runner refused for want of room.
	Busy Reason = "busy"
	// Leaving means that the runner refused because its VM is going.
	Leaving Reason = "leaving"
	// NotLoaded means that the runner lacks the model, adapter or version.
	NotLoaded Reason = "not_loaded"
	// Broken means that the connection ended before the answer did.
	Broken Reason = "broken"
	// Silent means that the connection gave no sign of life for too long.
	Silent Reason = "silent"
	// ServerError means that the runner answered with a failure of its own.
	ServerError Reason = "server_error"
	// Reclaimed means that an announced reclaim ended the attempt.
	Reclaimed Reason = "reclaimed"
)

// Verdict is what becomes of a failed attempt.
type Verdict string

// Verdicts.
const (
	// Again makes another attempt after the wait.
	Again Verdict = "again"
	// Postpone asks to decide again after the wait: accepted work for which
	// there is no budget yet.
	Postpone Verdict = "postpone"
	// StopMayHaveRun ends a call that may have run and can't be repeated.
	StopMayHaveRun Verdict = "stop_may_have_run"
	// StopBudget ends it for want of budget.
	StopBudget Verdict = "stop_budget"
	// StopAttempts ends it after too many attempts.
	StopAttempts Verdict = "stop_attempts"
	// StopDeadline ends it because the next attempt would come too late.
	StopDeadline Verdict = "stop_deadline"
)

// Failure describes a failed attempt.
type Failure struct {
	Reason Reason
	// MayHaveRun is true unless no byte reached the runner or the runner said
	// that it did not run it.
	MayHaveRun bool
	// Repeatable work may run twice without harm.
	Repeatable bool
	// Accepted work has been promised an answer: it waits for the budget
	// instead of being given up.
	Accepted bool
	// Attempts counts the attempts made, this one included.
	Attempts int
	// MaxAttempts goes before the policy's where it is not zero.
	MaxAttempts int
	// NeverArrived means that nothing arrived at any runner. The next attempt is
	// then the first one to load a runner, and is not charged.
	NeverArrived bool
	// RetryAfter is what the runner asked for; zero is nothing.
	RetryAfter time.Duration
	// Deadline is when the answer is of no more use; zero is never.
	Deadline time.Time
}

// Decision is the answer to a failure.
type Decision struct {
	Verdict Verdict
	// Wait is the time to let pass before the next attempt.
	Wait time.Duration
}

// Backoff is the schedule of one reason.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Config sets the policy of one service.
type Config struct {
	// Ratio is how many retries each first attempt pays for.
	Ratio float64
	// PerSecond is how many retries time pays for, so that accepted work gets
	// on when no first attempts come.
	PerSecond float64
	// Burst is the most retries that are saved up.
	Burst float64
	// MaxAttempts bounds the attempts of work that is not accepted.
	MaxAttempts int
	// Backoffs differ by reason; Backoff is for the others.
	Backoffs map[Reason]Backoff
	Backoff  Backoff
	Seed     uint64
	// OnDecision is called for every decision; nil is allowed.
	OnDecision func(Reason, Verdict)
}

// Default returns the policy in use; docs/design/retries.md gives the reasons.
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

// Policy decides for one service. It is not safe for concurrent use.
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

// FirstAttempt pays the share of one first attempt into the budget.
func (p *Policy) FirstAttempt(now time.Time) {
	p.accrue(now)
	p.balance = min(p.cfg.Burst, p.balance+p.cfg.Ratio)
}

// accrue pays for the time since the last call.
func (p *Policy) accrue(now time.Time) {
	if now.After(p.lastAccrual) && !p.lastAccrual.IsZero() {
		p.balance = min(p.cfg.Burst, p.balance+p.cfg.PerSecond*now.Sub(p.lastAccrual).Seconds())
	}
	if now.After(p.lastAccrual) {
		p.lastAccrual = now
	}
}

// Balance is the number of retries that the budget still pays for.
func (p *Policy) Balance() float64 { return p.balance }

// Decide answers a failure and charges the budget if there is to be another
// attempt.
//
// Without the budget a failing failure domain multiplies the load on the rest
// by the number of attempts, which fails in turn; it shows as attempts growing
// while answers fall. The budget holds attempts to 1+Ratio of the first ones
// (and Burst once, and PerSecond), however many fail.
//
// Accepted work that a reclaim interrupts is not charged: it is moved once for
// each reclaim, whose number does not grow with the load on the rest. Accepted
// work that failed otherwise waits, with backoff, until the budget pays.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	p.accrue(now)
	d := p.decide(now, f)
	if p.cfg.OnDecision != nil {
		p.cfg.OnDecision(f.Reason, d.Verdict)
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
		return Decision{Verdict: Again, Wait: delay}
	}
	if p.balance >= 1 {
		p.balance--
		return Decision{Verdict: Again, Wait: delay}
	}
	if f.Accepted {
		return Decision{Verdict: Postpone, Wait: delay}
	}
	return Decision{Verdict: StopBudget}
}

func (p *Policy) maxAttempts(f Failure) int {
	if f.MaxAttempts > 0 {
		return f.MaxAttempts
	}
	return p.cfg.MaxAttempts
}

// SetBudget changes what the budget grows by and holds, as when the number of
// daemons that share one changes.
func (p *Policy) SetBudget(ratio, perSecond, burst float64) {
	p.cfg.Ratio, p.cfg.PerSecond, p.cfg.Burst = ratio, perSecond, burst
	p.balance = min(p.balance, burst)
}

// BudgetShare is one daemon's part of a budget that daemons hold together: in any
// window all of them may make ratio times the first attempts plus slack retries.
// Each may save up half of its part of the slack and earns the other half over
// the window, so that no window holds more than the part. The parts are fixed,
// so daemons that can't hear each other keep the budget, too. keep is the share
// of the whole that is used; the rest covers daemons that start anew with what
// their former selves have spent.
func BudgetShare(ratio, slack, usedFraction float64, window time.Duration, daemons int) (perFirst, perSecond, burst float64) {
	part := usedFraction * slack / float64(max(1, daemons))
	return usedFraction * ratio, part / 2 / window.Seconds(), part / 2
}

// delay is the runner's own word or, if longer, a random part of an
// exponentially growing span, so that callers that failed together do not come
// back together.
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
