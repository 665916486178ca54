package prefill_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/prefill"
)

// engine simulates times to first token: a fixed part, the prefill, and random variation.
type engine struct {
	rng             *rand.Rand
	fixedSeconds    float64
	tokensPerSecond float64
}

func (e *engine) time(tokens int) time.Duration {
	seconds := (e.fixedSeconds + float64(tokens)/e.tokensPerSecond) * (0.9 + 0.2*e.rng.Float64())
	return time.Duration(seconds * float64(time.Second))
}

func (e *engine) observe(m *prefill.Model, prompts int) {
	for range prompts {
		tokens := 1 + e.rng.IntN(8000)
		m.Observe(prefill.Sample{Tokens: tokens, TTFT: e.time(tokens)})
	}
}

// isWithin fails the test if got differs from want by more than the fraction tolerance of want.
func isWithin(is *is.I, got, want, tolerance float64) {
	is.Helper()
	if got < want*(1-tolerance) || got > want*(1+tolerance) {
		is.Equal(got, want)
	}
}

func TestRateConvergesForAnyEngineSpeed(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{8_000, 50_000, 200_000} {
		e := &engine{rand.New(rand.NewPCG(1, 1)), 0.04, rate}
		m := prefill.New(40_000)
		e.observe(m, 600)
		isWithin(is, m.Rate(), rate, 0.15)
		isWithin(is, m.FixedTime().Seconds(), 0.04, 0.25)
	}
}

// Runners fail some of their requests for a few seconds, and retries make the counts of queued
// tokens wrong. Samples with wrong counts would make engines appear half or twice as fast as they
// are, and the fleet would get the wrong size for the next burst. Samples with a queue must be
// ignored, and a third of extreme samples must not change the estimate by much.
func TestWrongQueueCountsDoNotChangeRate(t *testing.T) {
	is := is.New(t)
	e := &engine{rand.New(rand.NewPCG(2, 1)), 0.03, 60_000}
	m := prefill.New(40_000)
	e.observe(m, 600)
	for i := range 600 {
		tokens := 2000 + e.rng.IntN(6000)
		m.Observe(prefill.Sample{Tokens: tokens, Ahead: 50_000, TTFT: e.time(tokens + 25_000)})
		m.Observe(prefill.Sample{Tokens: tokens, Ahead: tokens, TTFT: e.time(2 * tokens)})
		sample := prefill.Sample{Tokens: tokens, TTFT: e.time(tokens)}
		if i%3 == 0 {
			sample.TTFT *= time.Duration(10)
		}
		m.Observe(sample)
	}
	isWithin(is, m.Rate(), 60_000, 0.25)
}
