package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWorkThatMayHaveRunIsRetriedOnlyIfRepeatable(t *testing.T) {
	is := is.New(t)
	p := New(Default())
	is.Equal(p.Decide(start, Failure{Reason: Broken, MayHaveRun: true, Attempts: 1}).Verdict, StopMayHaveRun)
	is.Equal(p.Decide(start, Failure{Reason: Broken, MayHaveRun: true, Repeatable: true, Attempts: 1}).Verdict, Again)
	is.Equal(p.Decide(start, Failure{Reason: ConnectFailed, Attempts: 1}).Verdict, Again)
	is.Equal(p.Decide(start, Failure{Reason: ConnectFailed, Attempts: 4}).Verdict, StopAttempts)
	d := p.Decide(start, Failure{Reason: Busy, Attempts: 1, RetryAfter: 3 * time.Second, Deadline: start.Add(time.Second)})
	is.Equal(d.Verdict, StopDeadline)
	d = p.Decide(start, Failure{Reason: Busy, Attempts: 1, RetryAfter: 3 * time.Second})
	is.True(d.Delay >= 3*time.Second)
}

// Guards against a budget that refunds make larger than it may be.
func TestRefundReturnsWhatWasCharged(t *testing.T) {
	is := is.New(t)
	cfg := Default()
	cfg.Burst = 2
	p := New(cfg)
	is.Equal(p.Decide(start, Failure{Reason: Silent, Repeatable: true, Attempts: 1}).Verdict, Again)
	is.Equal(p.Balance(), 1.0)
	p.Refund()
	p.Refund()
	is.Equal(p.Balance(), 2.0)
}

// Guards against a large fleet whose daemons never retry, since none can hold a whole retry.
func TestDaemonOfLargeFleetCanRetry(t *testing.T) {
	for _, c := range []struct {
		daemons int
		slack   float64
	}{{5, 58}, {300, 630}, {985, 1040}} {
		cfg := Default()
		cfg.Ratio, cfg.PerSecond, cfg.Burst = 0, 0, 0
		p := New(cfg)
		perRequest, perSecond, burst := BudgetShare(0.2, c.slack, 0.85, 10*time.Second, c.daemons)
		p.SetBudget(start, perRequest, perSecond, burst)
		for range 10 {
			p.CountRequest(start)
		}
		d := p.Decide(start, Failure{Reason: Broken, Repeatable: true, Attempts: 1})
		is.New(t).Equal(d.Verdict, Again)
	}
}

// TestBudgetIsNeverExceeded makes a random sequence of first attempts and
// failures and checks that the retries stay within the budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Default()
		cfg.Ratio = rapid.Float64Range(0, 1).Draw(t, "ratio")
		cfg.Burst = float64(rapid.IntRange(0, 20).Draw(t, "burst"))
		p := New(cfg)
		firstAttempts, retries, now := 0, 0, start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				p.CountRequest(now)
				firstAttempts++
				continue
			}
			f := Failure{
				Reason:     rapid.SampledFrom([]Reason{ConnectFailed, Busy, Leaving, Broken, Silent}).Draw(t, "reason"),
				Accepted:   rapid.Bool().Draw(t, "accepted"),
				Repeatable: true,
				Attempts:   rapid.IntRange(1, 6).Draw(t, "attempts"),
			}
			if p.Decide(now, f).Verdict == Again {
				retries++
			}
			paid := cfg.Ratio*float64(firstAttempts) + cfg.PerSecond*now.Sub(start).Seconds()
			if float64(retries) > cfg.Burst+paid+1e-6 {
				t.Fatalf("%d retries after %d first attempts exceed the budget", retries, firstAttempts)
			}
		}
	})
}

// Guards against a retry storm: a failure domain with a quarter of the runners
// fails, every call to it fails at once, and the retries use up the capacity
// of the others, so that callers there time out although their own runners
// work.
func TestNoRetryStormWhenFailureDomainFails(t *testing.T) {
	is := is.New(t)
	p := New(Default())
	attempts, answered := 0, 0
	const firsts = 10000
	for i := range firsts {
		p.CountRequest(start)
		for n := 1; ; n++ {
			attempts++
			if (i+n)%4 != 0 {
				answered++
				break
			}
			d := p.Decide(start, Failure{Reason: ConnectFailed, Attempts: n})
			if d.Verdict != Again {
				break
			}
		}
	}
	is.True(float64(attempts) <= 1.1*firsts+Default().Burst)
	is.True(answered > firsts*3/4)
	t.Logf("attempts per first attempt %.3f, fraction answered %.3f", float64(attempts)/firsts, float64(answered)/firsts)
}
