// Package prefill estimates the prefill rate of a service's engines from observed times to first
// token.
//
// A time to first token consists of a fixed part (network and first step) and the prefill. It
// shows the prefill rate only if the engine had no other prompts to process: the number of tokens
// queued before a prompt is known only roughly, and after a failure or a restart not at all.
// Samples with a queue would make engines appear several times faster or slower than they are,
// and the fleet would get the wrong size for the next burst. So only prompts without others before
// them count. Even those may have waited for a prompt that another daemon sent a moment earlier,
// so the estimate follows a low quantile of the samples.
//
// The package does no I/O and reads no clock. A Model is not safe for concurrent use.
package prefill

import "time"

const (
	// The time to first token of a prompt of up to maxShortPrompt tokens consists mostly of the
	// fixed part, so it updates the estimate of that part. From minLongPrompt tokens on the time
	// consists mostly of the prefill, so it updates the estimate of the prefill rate.
	maxShortPrompt = 500
	minLongPrompt  = 2000
	// A sample counts only if Ahead is at most maxAheadFraction of Tokens: almost no other
	// prompt tokens were queued before the prompt.
	maxAheadFraction = 0.05
	// targetQuantile is the fraction of the samples that should lie below an estimate.
	targetQuantile = 0.3
	// maxRelativeStep scales the change of an estimate per sample: a higher sample raises the
	// estimate by the fraction maxRelativeStep*targetQuantile of itself, and a lower one divides it
	// by 1 + maxRelativeStep*(1-targetQuantile).
	maxRelativeStep = 0.06
	// initialFixedTime is the estimate of the fixed part until the first short prompt.
	initialFixedTime = 20 * time.Millisecond
)

// Sample is one observed time to first token.
type Sample struct {
	// Tokens is the number of uncached prompt tokens that the engine computed. Ahead is the number
	// of prompt tokens of other requests that were queued at the engine when this one was sent.
	Tokens, Ahead int
	TTFT          time.Duration
}

// Model estimates the prefill rate of a service's engines and the fixed part of their times to first
// token. fixedSeconds is that part, secondsPerToken the prefill time per token.
type Model struct {
	fixedSeconds    float64
	secondsPerToken float64
}

// New returns a model with an initial prefill rate in tokens per second.
func New(rate float64) *Model {
	return &Model{fixedSeconds: initialFixedTime.Seconds(), secondsPerToken: 1 / rate}
}

// Rate returns the prefill rate of an engine in tokens per second.
func (m *Model) Rate() float64 { return 1 / m.secondsPerToken }

// FixedTime returns the part of a time to first token that doesn't depend on the prompt.
func (m *Model) FixedTime() time.Duration {
	return time.Duration(m.fixedSeconds * float64(time.Second))
}

// Observe updates the estimates with a sample.
func (m *Model) Observe(s Sample) {
	if float64(s.Ahead) > maxAheadFraction*float64(s.Tokens) {
		return
	}
	took := s.TTFT.Seconds()
	switch {
	case s.Tokens <= maxShortPrompt:
		m.fixedSeconds = updateQuantile(m.fixedSeconds, took-float64(s.Tokens)*m.secondsPerToken)
	case s.Tokens >= minLongPrompt:
		m.secondsPerToken = updateQuantile(m.secondsPerToken, (took-m.fixedSeconds)/float64(s.Tokens))
	}
}

// updateQuantile moves an estimate up or down by steps that don't depend on its distance from the
// sample, so that it converges to the targetQuantile of the samples.
func updateQuantile(estimate, sample float64) float64 {
	if sample > estimate {
		return estimate * (1 + maxRelativeStep*targetQuantile)
	}
	return estimate / (1 + maxRelativeStep*(1-targetQuantile))
}
