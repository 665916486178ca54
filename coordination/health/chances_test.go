package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Guards against runners that fail and count as sound since too many others are ejected already.
func TestFailureChanceHasNoBoundOnRunners(t *testing.T) {
	is := is.New(t)
	tr, ids := newTracker(10)
	now := start
	for range 20 {
		for i, id := range ids {
			o := Failure
			if i == 0 {
				o = Success
			}
			tr.HandleOutcome(now, id, o, nil)
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.Equal(tr.Ejected(), 3)
	is.Equal(tr.FailureChance(now, ids[0]), 0.0)
	for _, id := range ids[1:] {
		is.True(tr.FailureChance(now, id) > 0.9)
	}
}

// Guards against runners that are never used again after failures, though they serve.
func TestFailureChanceIsForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		failures  int
		successes int
		within    time.Duration
	}{
		"one failure":                     {1, 0, 3 * time.Second},
		"many failures":                   {50, 0, 13 * time.Second},
		"serves after one":                {1, 1, 2 * time.Second},
		"serves after many":               {50, 1, 2 * time.Second},
		"serves twice after many at once": {50, 2, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr, ids := newTracker(1)
			for range c.failures {
				tr.HandleOutcome(start, ids[0], Rejection, nil)
			}
			is.True(tr.FailureChance(start, ids[0]) >= 0.5)
			for range c.successes {
				tr.HandleOutcome(start, ids[0], Success, nil)
			}
			is.Equal(tr.FailureChance(start.Add(c.within), ids[0]), 0.0)
			told := 0
			tr.FailureChances(start.Add(c.within), true, func(_ ident.RunnerID, chance float64) {
				is.Equal(chance, 0.0)
				told++
			})
			is.Equal(told, 1)
			tr.FailureChances(start.Add(c.within), true, func(ident.RunnerID, float64) { told++ })
			is.Equal(told, 1) // that it is zero is told once
		})
	}
}

// Guards against requests that fail at all runners whose failures are forgotten, one after the other, while a sound one is known.
func TestUnprovenRunnersAreTriedInTurn(t *testing.T) {
	const failing = 9
	for name, c := range map[string]struct {
		mayTry         bool
		avoided, tried int
	}{
		// Those without any request are avoided, too, as most fail.
		"one at a time":        {true, 10, failing},
		"none without a retry": {false, 11, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr, ids := newTracker(12)
			tr.HandleOutcome(start, ids[0], Success, nil)
			for _, id := range ids[1 : 1+failing] {
				tr.HandleOutcome(start, id, Failure, nil)
			}
			now := start.Add(20 * time.Second)
			tried := map[ident.RunnerID]bool{}
			for range failing {
				avoided := 0
				tr.FailureChances(now, c.mayTry, func(id ident.RunnerID, chance float64) {
					if chance == unprovenChance {
						avoided++
					} else if id != ids[0] {
						tried[id] = true
					}
				})
				is.Equal(avoided, c.avoided)
				now = now.Add(turnLength)
			}
			is.Equal(len(tried), c.tried)
		})
	}
}

// Guards against rejections that eject a runner, which is sound.
func TestRejectionsDontEject(t *testing.T) {
	is := is.New(t)
	tr, ids := newTracker(2)
	for range 50 {
		is.Equal(len(tr.HandleOutcome(start, ids[0], Rejection, nil)), 0)
	}
}
