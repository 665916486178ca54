package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/fleet"
)

const sampleEvery = 200 * time.Millisecond

// load feeds work into a Demand. Prompts arrive at random; their mean length is meanPrompt.
type load struct {
	*fleet.Demand
	rng        *rand.Rand
	now        time.Duration
	work       fleet.Work
	meanPrompt float64
}

func newLoad(neverServed bool) *load {
	return &load{
		Demand: fleet.NewDemand(fleet.DefaultDemand(), neverServed), rng: rand.New(rand.NewPCG(7, 1)), meanPrompt: 2000,
		work: fleet.Work{Runners: 12, PrefillRate: 50_000, SlotsPerRunner: 64, MaxPromptWait: 500 * time.Millisecond},
	}
}

// run samples the work every sampleEvery for the given span and returns the estimate at
// its end. It adds tokensPerSecond prompt tokens per second, in prompts that arrive
// independently.
func (l *load) run(span time.Duration, tokensPerSecond float64, requests int) fleet.Estimate {
	l.work.Requests = requests
	for end := l.now + span; l.now < end; l.now += sampleEvery {
		for expectedPrompts := tokensPerSecond * sampleEvery.Seconds() / l.meanPrompt; expectedPrompts > 0; expectedPrompts-- {
			if l.rng.Float64() < expectedPrompts {
				l.work.PromptTokens += 2 * l.meanPrompt * l.rng.Float64()
			}
		}
		l.Sample(l.now, l.work)
	}
	return l.Estimate()
}

// A wave of work rises, holds and ends. The estimate must follow it within seconds and must
// not fall at the first lull.
func TestDemandFollowsWave(t *testing.T) {
	is := is.New(t)
	l := newLoad(true)
	is.Equal(l.run(5*time.Second, 0, 0).Runners, 6) // no load has been measured yet
	steady := l.run(30*time.Second, 70_000, 20)
	is.True(steady.Runners >= 2 && steady.Runners <= 3) // 1.4 runners are kept busy
	is.True(steady.Comfortable >= steady.Runners)
	is.True(l.run(4*time.Second, 250_000, 60).Runners >= 5)
	is.True(l.run(2*time.Second, 70_000, 20).Runners >= 5)
	is.True(l.run(40*time.Second, 70_000, 20).Runners <= 3)
}

// Guards against headroom proportional to the mean: ten times the load got ten times the
// headroom, and long prompts got no more than short ones. Variations even out over many
// prompts, and longer prompts make the work more uneven.
func TestHeadroomFollowsVarianceNotSize(t *testing.T) {
	is := is.New(t)
	relativeDeviation := func(tokensPerSecond, meanPrompt float64, wait time.Duration) float64 {
		l := newLoad(false)
		l.meanPrompt, l.work.MaxPromptWait = meanPrompt, wait
		sum := 0.0
		for range 40 {
			e := l.run(2*time.Second, tokensPerSecond, 20)
			sum += e.Deviation / e.Busy
		}
		return sum / 40
	}
	small := relativeDeviation(100_000, 2000, 500*time.Millisecond)
	is.True(relativeDeviation(1_000_000, 2000, 500*time.Millisecond) < 0.5*small)
	is.True(relativeDeviation(100_000, 8000, 500*time.Millisecond) > 1.5*small)
	is.True(relativeDeviation(100_000, 2000, 2*time.Second) < 0.7*small)
}

// Requests with few prompt tokens and many output tokens fill the batches without taking
// time for prefill.
func TestDemandCountsBatchSlots(t *testing.T) {
	is := is.New(t)
	l := newLoad(false)
	l.work.SlotsPerRunner = 16
	is.True(l.run(20*time.Second, 10_000, 160).Runners >= 10)
	l.work.SlotsPerRunner = 6 // together with a PrefillRate of zero: a service without prefill
	l.work.PrefillRate = 0
	is.True(l.run(20*time.Second, 0, 30).Runners >= 6)
}

// Four reclaims in thirteen seconds left eight runners for a load that kept six and a half
// busy. Prompts were still read in time, but streams, which get their tokens between
// chunks of prompts, ran at a tenth of their speed. Requests took ten seconds instead of
// two, 600 instead of 140 were in progress, and time budgets were exceeded. So even a
// large fleet, whose load hardly varies, needs headroom for streams.
func TestStreamsAreNotStarvedByPrompts(t *testing.T) {
	is := is.New(t)
	l := newLoad(false)
	l.meanPrompt = 100
	for _, tokensPerSecond := range []float64{325_000, 3_250_000} {
		e := l.run(30*time.Second, tokensPerSecond, 100)
		is.True(e.Deviation < 0.1*e.Busy)
		is.True(float64(e.Runners) >= 1.4*e.Busy)
	}
}

// The load halves for ten seconds between two waves. Runners at the full price are given
// back in that time. Runners at a fraction of the price are kept for the next wave, which
// comes sooner than new runners could serve.
func TestComfortableEstimateOutlastsLull(t *testing.T) {
	is := is.New(t)
	l := newLoad(false)
	wave := l.run(30*time.Second, 400_000, 100)
	lull := l.run(10*time.Second, 200_000, 50)
	is.True(lull.Runners <= wave.Runners*3/4)
	is.True(float64(lull.Comfortable) >= wave.Busy)
}

// The daemon that orders runners is suspended for eight seconds. When it resumes it reads
// at once what the others sent meanwhile. Eight seconds' work used to look like a burst,
// and for half a minute 70 runners were ordered where 20 served.
func TestSuspensionIsNotTakenForBurst(t *testing.T) {
	is := is.New(t)
	l := newLoad(false)
	before := l.run(30*time.Second, 250_000, 60)
	l.now += 8 * time.Second
	l.Sample(l.now, l.work)
	l.work.PromptTokens += 8 * 250_000
	for range 20 {
		after := l.run(sampleEvery, 250_000, 60)
		is.True(after.Comfortable <= before.Comfortable+3)
	}
}

// A daemon is cut off from its peers for ten seconds and goes on serving. When it is heard
// again, its counter has grown by the work of ten seconds. The daemon that orders runners
// used to take this growth for a burst. The same happened with a daemon that was heard for
// the first time.
func TestTallyIgnoresGrowthDuringSilence(t *testing.T) {
	is := is.New(t)
	var tally fleet.Tally
	tally.Receive(0, "a", 500_000)
	is.Equal(tally.Total(), 0.0)
	for i := 1; i <= 10; i++ {
		tally.Receive(time.Duration(i)*100*time.Millisecond, "a", 500_000+float64(i)*1000)
	}
	is.Equal(tally.Total(), 10_000.0)
	tally.Receive(11*time.Second, "a", 800_000)
	is.Equal(tally.Total(), 10_000.0)
	tally.Receive(11*time.Second+100*time.Millisecond, "a", 801_000)
	is.Equal(tally.Total(), 11_000.0)
	tally.Receive(11*time.Second+200*time.Millisecond, "b", 70_000)
	is.Equal(tally.Total(), 11_000.0)
	tally.PeerEnded("a")
	tally.Receive(11*time.Second+300*time.Millisecond, "a", 805_000)
	is.Equal(tally.Total(), 11_000.0)
}

// Guards against a large fleet that orders too few runners: its daemons' counters arrive
// every 400 ms, and whenever one message was lost or late, the growth in that time was
// dropped.
func TestRelayedCountsTolerateLostMessages(t *testing.T) {
	is := is.New(t)
	var tally fleet.Tally
	tally.SetViaRelays(true)
	const every = 400 * time.Millisecond
	count := 0.0
	for i := range 100 {
		count += 10
		if i%4 != 3 { // one message in four is lost
			tally.Receive(time.Duration(i)*every, "d~1", count)
		}
	}
	is.Equal(tally.Total(), 980.0) // the first message only sets the starting value, the last one is lost
}

// Guards against a fleet's first start that gives back runners which register some seconds after their daemons have started,
// as they come too late to be counted.
func TestRunnersOfTheFirstStartAreCountedFromTheFirstOnes(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDemand(fleet.DefaultDemand(), true)
	const registered = 60
	for now := 100 * time.Millisecond; now < 8*time.Second; now += 100 * time.Millisecond {
		w := fleet.Work{PrefillRate: 40_000}
		switch {
		case now > 4500*time.Millisecond:
			w.Runners = registered
		case now > 2*time.Second:
			w.Runners = 28
		}
		d.Sample(now, w)
	}
	is.Equal(d.Estimate().Runners, registered/2)
}
