package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// callAtOnce lets a number of callers send the same request at the same moment, in rounds, while others send
// sound ones. In each round, during is called after the request has reached the runners.
func callAtOnce(w *testFleet, callers int, c repeatingCaller, during func()) (refused, asked, served int) {
	const rounds = 6
	stop := w.askOthers(100, func(i int) *repeatingCaller {
		return &repeatingCaller{path: "/read/1", body: fmt.Sprintf("sound %d", i)}
	})
	reasons := make(chan refusal.Reason, callers*rounds)
	for range rounds {
		for i := range callers {
			go func() {
				own := c
				a, _ := own.try(w.daemons[i%len(w.daemons)])
				reasons <- a.reason()
			}()
		}
		time.Sleep(10 * time.Millisecond)
		during()
		time.Sleep(390 * time.Millisecond)
	}
	for range callers * rounds {
		if <-reasons == reasonFailingRequest {
			refused++
		}
	}
	asked, served = stop()
	return refused, asked, served
}

// withSixteenRunners runs a test with five daemons and sixteen runners that fail under the request with fatalBody.
func withSixteenRunners(t *testing.T, f func(w *testFleet, r *fragileRunners)) {
	withFatalRequest(t, 5, false, func(w *testFleet, r *fragileRunners) {
		r.failsUnanswered = true
		for i := range 8 {
			r.start(fmt.Sprintf("s%d", i))
		}
		time.Sleep(time.Second)
		f(w, r)
	})
}

// Guards against a failing request that many callers send at the same moment, and that goes on being sent since
// its first failures count as one.
func TestFailingRequestOfManyCallersIsKeptAway(t *testing.T) {
	for _, callers := range []int{10, 4, 3} {
		t.Run(fmt.Sprint(callers), func(t *testing.T) {
			withSixteenRunners(t, func(w *testFleet, r *fragileRunners) {
				_, asked, served := callAtOnce(w, callers, readCaller, func() {})
				failures, later := r.sendsAfterFailure(maxFailures, 200*time.Millisecond)
				t.Logf("%d failures, %d sent later, %d of %d others served", failures, later, served, asked)
				w.Equal(later, 0)
				w.True(10*served >= 8*asked)
			})
		})
	}
}

// Guards against a sound request that many callers send at the same moment, and that is refused because runners
// that have it fail together.
func TestSoundRequestOfManyCallersIsServedWhileRunnersFail(t *testing.T) {
	withSixteenRunners(t, func(w *testFleet, r *fragileRunners) {
		random := newRandom()
		round := 0
		refused, asked, served := callAtOnce(w, 10, repeatingCaller{path: "/read/1", body: "popular"}, func() {
			if round++; round%3 == 1 {
				for range 5 {
					r.failOne(random)
				}
			}
		})
		t.Logf("%d refused, %d of %d others served", refused, served, asked)
		w.Equal(refused, 0)
		w.True(10*served >= 8*asked)
	})
}

// sendsAfterFailure returns how many runners have failed, and how many requests that make them fail were sent
// later than a time after the nth failure.
func (f *fragileRunners) sendsAfterFailure(n int, later time.Duration) (failures, sends int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) < n {
		return len(f.failures), 0
	}
	return len(f.failures), f.sendsAfterLocked(f.failures[n-1].Add(later))
}
