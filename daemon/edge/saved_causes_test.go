package edge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// Guards against a failing prompt part, or a failing request, for which runners have to fail again, since all daemons that
// knew it were lost at once.
func TestFailingCausesOutliveTheLossOfAllDaemons(t *testing.T) {
	for name, storeAway := range map[string]bool{"store there": false, "store away at the loss": true} {
		t.Run(name, func(t *testing.T) {
			withFragileRunners(t, 3, func(w *testFleet, f *fragileRunners) {
				w.playPrompts(rand.New(rand.NewPCG(1, 0)), failingLoad, 12*time.Second)
				failures, _ := f.counts()
				w.True(failures > 0)
				for _, d := range w.daemons {
					d.store.setFaults(storeAway, false)
				}
				w.loseAll(func() { time.Sleep(time.Second) })
				for _, d := range w.daemons {
					d.store.setFaults(false, false)
				}
				time.Sleep(time.Second)
				for _, d := range w.daemons {
					a, _ := w.askWithPart(d)
					w.Equal(a.reason(), refusal.FailingPart)
					w.Equal(a.refusal.Executed, refusal.ExecutedNo)
				}
				after, _ := f.counts()
				w.Equal(after, failures)
			})
		})
	}
	t.Run("request", func(t *testing.T) {
		withFatalRequest(t, 3, false, func(w *testFleet, r *fragileRunners) {
			r.failsUnanswered = true
			c := readCaller
			c.tries(w, r, 6)
			time.Sleep(2 * time.Second)
			failures, _ := r.counts()
			w.loseAll(func() {})
			w.Equal(c.tries(w, r, 3), 3)
			after, _ := r.counts()
			w.Equal(after, failures)
		})
	})
}

// Guards against a failing prompt part that is forgotten with all daemons since the key-value service, which came back from an
// older copy, had lost it before.
func TestFailingCausesAreSavedAgainAfterReturnFromCopy(t *testing.T) {
	withFragileRunners(t, 3, func(w *testFleet, f *fragileRunners) {
		copied := w.store.Copy()
		w.playPrompts(rand.New(rand.NewPCG(1, 0)), failingLoad, 12*time.Second)
		w.store.Restore(copied)
		time.Sleep(5 * time.Second)
		failures, _ := f.counts()
		w.loseAll(func() {})
		a, _ := w.askWithPart(w.daemons[0])
		w.Equal(a.reason(), refusal.FailingPart)
		after, _ := f.counts()
		w.Equal(after, failures)
	})
}

// Guards against a part that is refused after a loss of all daemons though it made no runner fail any more before.
func TestClearedCauseIsNotTakenUpAgain(t *testing.T) {
	withFragileRunners(t, 3, func(w *testFleet, f *fragileRunners) {
		w.clearFailingPart(f)
		w.loseAll(func() {})
		w.checkPartIsServed()
	})
}
