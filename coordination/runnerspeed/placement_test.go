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
	nominalStep   = 0.027
	targetLatency = 400 * time.Millisecond
	// perSecond requests keep equal runners half busy.
	perSecond = 90
	maxPause  = 400 * time.Millisecond
)

// engine reads one prompt after the other, and its streams wait while it reads one. In 15% of the time it
// takes 2.5 times as long, in periods of 300 ms. ends are the times at which it has read its prompts.
type engine struct {
	slow float64
	hash runnerspeed.Runner
	ends []time.Time
}

// takes returns how long the engine takes now for what nominally takes d.
func (e *engine) takes(d float64) time.Duration {
	if rand.New(rand.NewPCG(uint64(time.Now().UnixMilli()/300), uint64(e.hash))).Float64() < 0.15 {
		d *= 2.5
	}
	return time.Duration(d * e.slow * float64(time.Second))
}

func (e *engine) read(tokens int, sleep func(time.Duration)) {
	begins := time.Now()
	if n := len(e.ends); n > 0 && e.ends[n-1].After(begins) {
		begins = e.ends[n-1]
	}
	e.ends = append(e.ends, begins.Add(e.takes(float64(tokens)/nominalRate)))
	sleep(time.Until(e.ends[len(e.ends)-1]))
}

func (e *engine) step(sleep func(time.Duration)) {
	sleep(e.takes(nominalStep))
	if i, _ := slices.BinarySearchFunc(e.ends, time.Now(), time.Time.Compare); i < len(e.ends) {
		sleep(time.Until(e.ends[i]))
	}
}

// outcome counts the late streams of a play. chosen are the runners of the requests in turn.
type outcome struct {
	lateFirst, latePause int
	chosen               []ident.RunnerID
	uneven               bool
}

// play serves the same draws of requests with or without learned speeds, as a daemon with all others'
// observations does.
func play(t *testing.T, slow func(i int) float64, learn bool) (o outcome) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		cfg := routing.Default("d", "north")
		cfg.Samples, cfg.LoadBound, cfg.InitialBatchSize = 0, 0, 64
		table, speeds, pauses := routing.New(cfg), runnerspeed.New(), runnerspeed.PauseRisk{}
		var list []view.Runner
		engines := map[ident.RunnerID]*engine{}
		var hashes []runnerspeed.Runner
		for i := range runnerspeed.Runner(playedRunners) {
			id := ident.RunnerID(fmt.Sprint(i))
			list = append(list, view.Runner{ID: id, FailureDomain: "north", State: view.Live})
			engines[id], hashes = &engine{slow: slow(int(i)), hash: i}, append(hashes, i)
		}
		table.SetRunners(start, list)
		speeds.SetRunners(listed(hashes...))
		factor := func(id ident.RunnerID) float64 { return speeds.Factor(engines[id].hash) }
		report := func() {
			for _, own := range table.OwnLoads(nil) {
				table.Report(time.Now(), own.Runner, load.Report{
					AsOf: time.Now(), Running: own.Requests, QueuedTokens: own.Prefill, MaxRunning: 64,
					PrefillRate: nominalRate * factor(own.Runner), DecodeRate: 150 * factor(own.Runner), Models: []load.Model{{}},
				})
			}
			if speeds.Uneven() {
				table.SetPauseRisks(func(id ident.RunnerID) float64 { return pauses.Risk(now(), factor(id)) })
			}
		}
		report()
		var mu sync.Mutex
		var wg sync.WaitGroup
		serve := func(by runnerspeed.Observer, tokens int) {
			mu.Lock()
			defer mu.Unlock()
			asked := time.Now()
			r := &routing.Request{PromptTokens: tokens, OutputTokens: 100, PauseWeight: targetLatency.Seconds()}
			c, _ := table.Pick(asked, r)
			k, runner := table.Dispatch(asked, c, r), engines[c.Runner]
			o.chosen = append(o.chosen, c.Runner)
			sleep := func(d time.Duration) { mu.Unlock(); time.Sleep(d); mu.Lock() }
			runner.read(tokens, sleep)
			table.FirstToken(time.Now(), &k)
			lateFirst, stream := time.Since(asked) > targetLatency, runnerspeed.Stream{}
			for range 100 {
				if interval, ok := stream.Arrived(now(), 1); ok && learn {
					speeds.Observe(now(), runner.hash, by, interval)
				}
				runner.step(sleep)
			}
			table.Finished(time.Now(), &k)
			tooLong := stream.LongestPause() > maxPause
			if speeds.Uneven() {
				pauses.Observe(now(), factor(c.Runner), tooLong)
			}
			if lateFirst {
				o.lateFirst++
			} else if tooLong {
				o.latePause++
			}
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for i := 0; now() < 25*time.Second; i++ {
			mu.Lock()
			if learn && i%(perSecond/3) == 0 && (speeds.Update(now()) || speeds.Uneven()) {
				report()
			}
			o.uneven = o.uneven || speeds.Uneven()
			mu.Unlock()
			tokens, by := 300+rng.IntN(2000), runnerspeed.Observer(rng.IntN(20))
			if rng.IntN(30) == 0 {
				tokens = 6_000
			}
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
