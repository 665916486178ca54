package runnerspeed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/runnerspeed"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
)

const (
	playedRunners = 16
	nominalRate   = 20_000.0
	nominalStep   = 27 * time.Millisecond
	targetLatency = 400 * time.Millisecond
	// perSecond requests keep equal runners half busy.
	perSecond = 90
	maxPause  = 400 * time.Millisecond
)

// engine reads one prompt after the other, and its streams wait while it reads one. In 15% of the time it
// takes 2.5 times as long, in periods of 300 ms.
type engine struct {
	mu    sync.Mutex
	slow  float64
	index int
	start time.Time
	ends  []time.Time
}

func (e *engine) slowness() float64 {
	period := uint64(time.Since(e.start) / (300 * time.Millisecond))
	if rand.New(rand.NewPCG(period, uint64(e.index))).Float64() < 0.15 {
		return 2.5 * e.slow
	}
	return e.slow
}

func (e *engine) read(tokens int) {
	e.mu.Lock()
	begins := time.Now()
	if n := len(e.ends); n > 0 && e.ends[n-1].After(begins) {
		begins = e.ends[n-1]
	}
	end := begins.Add(time.Duration(float64(tokens) / nominalRate * e.slowness() * float64(time.Second)))
	e.ends = append(e.ends, end)
	e.mu.Unlock()
	time.Sleep(time.Until(end))
}

func (e *engine) step() {
	time.Sleep(time.Duration(float64(nominalStep) * e.slowness()))
	e.mu.Lock()
	i, _ := slices.BinarySearchFunc(e.ends, time.Now(), time.Time.Compare)
	wait := time.Duration(0)
	if i < len(e.ends) {
		wait = time.Until(e.ends[i])
	}
	e.mu.Unlock()
	time.Sleep(wait)
}

// outcome counts the late streams of a play. chosen are the runners of the requests in turn.
type outcome struct {
	lateFirst, latePause int
	chosen               []ident.RunnerID
	uneven               bool
}

// play serves the same draws of requests with or without learned speeds.
func play(t *testing.T, slow func(i int) float64, learn bool) (o outcome) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		cfg := routing.Default("d", "north")
		cfg.Samples, cfg.LoadBound, cfg.PrefillRate, cfg.DecodeRate, cfg.InitialBatchSize = 0, 0, nominalRate, 150, 64
		table, speeds, pauses := routing.New(cfg), runnerspeed.New(), runnerspeed.PauseRisk{}
		var list []view.Runner
		engines, hashes, live := map[ident.RunnerID]*engine{}, map[ident.RunnerID]runnerspeed.Runner{}, map[runnerspeed.Runner]bool{}
		for i := range playedRunners {
			id := ident.RunnerID(fmt.Sprintf("r%02d", i))
			list = append(list, view.Runner{ID: id, FailureDomain: "north", State: view.Live})
			engines[id], hashes[id], live[runnerspeed.Runner(i)] = &engine{slow: slow(i), index: i, start: start}, runnerspeed.Runner(i), true
		}
		table.SetRunners(start, list)
		speeds.SetRunners(live)
		report := func() {
			var reports []routing.RunnerReport
			for _, own := range table.OwnLoads(nil) {
				f := speeds.Factor(hashes[own.Runner])
				reports = append(reports, routing.RunnerReport{Runner: own.Runner, Report: load.Report{
					AsOf: time.Now(), Running: own.Requests, QueuedTokens: own.Prefill, MaxRunning: 64, PrefillRate: nominalRate * f, DecodeRate: 150 * f, Models: []load.Model{{}},
				}})
			}
			table.ReportAll(time.Now(), reports)
			table.SetPauseRisks(func(id ident.RunnerID) float64 {
				if !speeds.Uneven() {
					return 0
				}
				return pauses.Risk(now(), speeds.Factor(hashes[id]))
			})
		}
		report()
		var mu sync.Mutex
		var wg sync.WaitGroup
		serve := func(by runnerspeed.Observer, tokens int) {
			asked := time.Now()
			r := &routing.Request{PromptTokens: tokens, OutputTokens: 100, PauseWeight: targetLatency.Seconds()}
			mu.Lock()
			c, err := table.Pick(asked, r)
			if err != nil {
				t.Error(err)
			}
			k := table.Dispatch(asked, c, r)
			o.chosen = append(o.chosen, c.Runner)
			mu.Unlock()
			runner := engines[c.Runner]
			runner.read(tokens)
			var stream runnerspeed.Stream
			lateFirst := time.Since(asked) > targetLatency
			for i := range 100 {
				mu.Lock()
				if i == 0 {
					table.FirstToken(time.Now(), &k)
				}
				if interval, ok := stream.Arrived(now(), 1); ok && learn {
					speeds.Observe(now(), hashes[c.Runner], by, interval)
				}
				mu.Unlock()
				runner.step()
			}
			mu.Lock()
			defer mu.Unlock()
			table.Finished(time.Now(), &k)
			tooLong := stream.LongestPause() > maxPause
			if speeds.Uneven() {
				pauses.Observe(now(), speeds.Factor(hashes[c.Runner]), tooLong)
			}
			switch {
			case lateFirst:
				o.lateFirst++
			case tooLong:
				o.latePause++
			}
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for at, updated := time.Duration(0), time.Duration(0); at < 25*time.Second; at = now() {
			if learn && at-updated >= 400*time.Millisecond {
				mu.Lock()
				updated = at
				if speeds.Update(at) || speeds.Uneven() {
					report()
				}
				o.uneven = o.uneven || speeds.Uneven()
				mu.Unlock()
			}
			tokens := 300 + rng.IntN(2000)
			if rng.IntN(30) == 0 {
				tokens = 6_000
			}
			by := runnerspeed.Observer(rng.IntN(20))
			wg.Go(func() { serve(by, tokens) })
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
		}
		wg.Wait()
	})
	return o
}

// Guards against runners of unequal speed that get requests as if they were equal.
func TestUnequalRunnersServeFewerLate(t *testing.T) {
	is := is.New(t)
	slow := func(i int) float64 { return []float64{0.55, 1.2, 1.2, 1.2}[i%4] }
	without, with := play(t, slow, false), play(t, slow, true)
	t.Logf("of %d requests, late by first event and by pause: %d and %d without, %d and %d with the speeds", len(with.chosen), without.lateFirst, without.latePause, with.lateFirst, with.latePause)
	is.Equal(len(with.chosen), len(without.chosen))
	is.True(with.uneven)
	is.True(with.latePause < without.latePause)
	is.True(with.lateFirst+with.latePause < without.lateFirst+without.latePause)
}

// Guards against any effect on a service whose runners don't differ.
func TestEqualRunnersAreChosenAsBefore(t *testing.T) {
	is := is.New(t)
	slow := func(int) float64 { return 1 }
	without, with := play(t, slow, false), play(t, slow, true)
	is.True(!with.uneven)
	is.Equal(with.chosen, without.chosen)
}
