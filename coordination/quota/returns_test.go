package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/quota"
)

// overload is a workspace that asks for a multiple of its quota for a while. Its callers return once,
// when they are told to, within a third of the time that they wait.
type overload struct {
	limiter *quota.Limiter
	rng     *rand.Rand
	// returning holds the costs of the requests that return at a time.
	returning map[time.Duration][]float64
	// served counts requests, refusedTwice those that were refused when they returned, too.
	served, refusedTwice int
	taken                float64
}

const (
	overloadStep    = 10 * time.Millisecond
	overloadEnds    = 5 * time.Second
	longestHonoured = 4 * time.Second
	quotaRate       = 100_000.0
)

func playOverload(ordered bool, seed uint64) *overload {
	f := &overload{
		limiter: quota.New(0, window, quota.Tolerance{}, true), rng: rand.New(rand.NewPCG(seed, 1)),
		returning: map[time.Duration][]float64{},
	}
	f.limiter.SetOrderedReturns(ordered)
	f.limiter.SetLimits(0, limits(quotaRate, quotaRate))
	for now := time.Duration(0); now < 2*overloadEnds; now += overloadStep {
		for _, cost := range f.returning[now] {
			f.ask(now, cost, false)
		}
		// Three times the quota, then half of it.
		perStep := 0.5
		if now < overloadEnds {
			perStep = 3
		}
		for asked := f.rng.ExpFloat64(); asked < perStep; asked += f.rng.ExpFloat64() {
			f.ask(now, quotaRate*overloadStep.Seconds()*f.rng.ExpFloat64(), true)
		}
	}
	return f
}

func (f *overload) ask(now time.Duration, cost float64, first bool) {
	wait, ok := f.limiter.Take(now, ws, cost)
	switch {
	case ok:
		f.served++
		f.taken += cost
	case first:
		wait = f.limiter.ReturnAfter(now, ws, cost, wait)
		at := (now + min(wait, longestHonoured) + overloadStep).Truncate(overloadStep)
		f.returning[at] = append(f.returning[at], cost)
	default:
		f.refusedTwice++
	}
}

// Guards against callers of a workspace over its quota who are all told the same short time, return
// together and are refused again.
func TestRefusedRequestsReturnInOrder(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		together, ordered := playOverload(false, seed), playOverload(true, seed)
		is.True(ordered.refusedTwice < together.refusedTwice*3/4)
		is.True(ordered.served > together.served)
		// The quota of the whole time, and no more, is granted.
		is.True(ordered.taken <= quotaRate*(2*overloadEnds).Seconds()+2*quotaRate)
	}
}

func TestLaterRefusalReturnsLater(t *testing.T) {
	is := is.New(t)
	l := quota.New(0, window, quota.Tolerance{}, true)
	l.SetOrderedReturns(true)
	l.SetLimits(0, limits(100, 200))
	_, ok := l.Take(0, ws, 100)
	is.True(ok)
	last := time.Duration(0)
	for i := range 20 {
		wait, ok := l.Take(0, ws, 45)
		is.True(!ok)
		wait = l.ReturnAfter(0, ws, 45, wait)
		if i == 0 {
			is.Equal(wait, 400*time.Millisecond) // as without the order
		}
		is.True(wait >= last)
		is.True(wait <= 5*time.Second)
		last = wait
	}
	is.Equal(last, 5*time.Second)
	// Later, when all have returned, the wait is that of the bucket again.
	wait, ok := l.Take(20*time.Second, ws, 1000)
	is.True(ok || wait < time.Second)
}
