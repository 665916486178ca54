package runnerspeed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/runnerspeed"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
)

const fastStep, slowStep = 15 * time.Millisecond, 32 * time.Millisecond

// Guards against an observation that follows a prompt which the runner reads meanwhile, events that
// arrive together, or a caller that takes them slowly.
func TestObservationIsTheRunnersStep(t *testing.T) {
	is := is.New(t)
	var s runnerspeed.Stream
	now, observed := time.Duration(0), time.Duration(0)
	arrive := func(after time.Duration, n int) {
		now += after
		if interval, ok := s.Arrived(now, n); ok {
			is.Equal(observed, time.Duration(0)) // once
			observed = interval
		}
	}
	arrive(time.Second, 1)
	arrive(100*time.Millisecond, 1) // a prompt
	arrive(0, 2)
	for range 8 {
		arrive(fastStep, 1)
	}
	is.Equal(s.LongestPause(), 100*time.Millisecond)
	now += time.Second
	s.Waiting(now) // the caller took a second
	arrive(fastStep, 30)
	for range 20 {
		arrive(2*fastStep, 2)
	}
	is.Equal(observed, fastStep)
	is.Equal(s.LongestPause(), 100*time.Millisecond)
}

func listed(runners ...runnerspeed.Runner) (list []runnerspeed.Listed) {
	for _, r := range runners {
		list = append(list, runnerspeed.Listed{Runner: r, Live: true})
	}
	return list
}

// Guards against factors that don't follow the runners' steps, or outlive a runner or its observations.
func TestFactorsFollowTheRunnersSteps(t *testing.T) {
	is := is.New(t)
	table, last := runnerspeed.New(), 4*time.Second
	added, removed := table.SetRunners(listed(7, 6, 5, 4, 3, 2, 1, 0))
	is.Equal(len(added)+len(removed), 8)
	added, removed = table.SetRunners(listed(0, 1, 2, 3, 4, 5, 6, 7))
	is.Equal(len(added)+len(removed), 0)
	for at := time.Duration(0); at <= last; at += last / 10 {
		for r := range runnerspeed.Runner(8) {
			table.Observe(at, r, runnerspeed.Observer(at), []time.Duration{fastStep, slowStep, slowStep, slowStep}[r%4])
		}
		is.True(!table.Update(at) || at >= 3*time.Second) // single streams are not enough
	}
	is.True(table.Uneven())
	ratio := table.Factor(0) / table.Factor(1)
	is.True(ratio > 1.8 && ratio < 2.2)  // 2.13, shrunk
	for _, due := range []int{5, 3, 0} { // all in turn, then none again for a while
		is.Equal(len(table.ForFollowers(last, 5)), due)
	}
	added, removed = table.SetRunners(listed(0, 1, 9))
	is.Equal(added, []int{2})
	is.Equal(len(removed), 6)
	table.Update(last)
	is.Equal(table.Factor(9), 1.0)                            // nothing is known of it
	is.True(!table.Observe(last, 2, 1, slowStep))             // an earlier incarnation
	is.True(!table.Observe(last, 1, 1, 100*time.Microsecond)) // out of range
	is.True(!table.Receive(last, runnerspeed.Estimate{Runner: 1, Interval: slowStep, Observations: 17}))
	table.Update(last + runnerspeed.MaxAge/2)
	is.True(table.Uneven() && table.Factor(0) > 1)
	is.True(table.Update(last+runnerspeed.MaxAge+1) && !table.Uneven())
	is.Equal(table.Factor(0), 1.0)
}

// Guards against an estimate that false observations of one daemon move beyond those of the others,
// and against factors out of bounds.
func TestFalseObservationsOfOneDaemonAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		table := runnerspeed.New()
		table.SetRunners(listed(0))
		lowest, highest := time.Hour, time.Duration(0)
		step := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(10, 30).Draw(t, "ms")) * time.Millisecond
		})
		now := time.Duration(0)
		for by := range runnerspeed.Observer(rapid.IntRange(12, 40).Draw(t, "daemons")) {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			honest := step.Draw(t, "honest")
			lowest, highest = min(lowest, honest), max(highest, honest)
			table.Observe(now, 0, 1+by, honest)
			for range rapid.IntRange(0, 6).Draw(t, "false") {
				table.Observe(now, 0, 0, time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "interval")))
			}
		}
		table.Update(now)
		s := table.Summary()
		is.True(s.Slowest >= lowest && s.Slowest <= highest)
	})
}

func TestPauseRiskIsLearnedByBandAndForgotten(t *testing.T) {
	is := is.New(t)
	var p runnerspeed.PauseRisk
	is.Equal(p.Risk(0, 0.7), 0.0)
	for i := range 20 {
		p.Observe(0, 0.7, i%2 == 0)
		p.Observe(0, 1, false)
	}
	is.Equal(p.Risk(0, 0.7), 0.25) // 10 of 20, with 20 in time assumed
	is.Equal(p.Risk(0, 1), 0.0)
	is.Equal(p.Risk(0, 1.2), 0.0)
	is.True(p.Risk(2*time.Minute, 0.7) < 0.02)
}
