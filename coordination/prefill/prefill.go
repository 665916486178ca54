// Package prefill learns how fast a service's engines read prompts, from the times
// to first token that are seen.
//
// A time to first token is a fixed part, the way there and the first step, and the
// reading. It says how fast an engine reads only if the engine had nothing else to
// read: what waits before a prompt is known roughly, and after a failure or a restart
// not at all. Taken at its word it makes engines seem several times as fast as they
// are, or several times as slow, and the fleet is then made of the wrong size for the
// next burst. So only prompts without others before them count, and of those rather the
// quicker ones: some wait for what another daemon sent a moment ago.
//
// The package does no I/O and reads no clock. A Model is not safe for concurrent use.
package prefill

import "time"

const (
	// maxShortPrompt is the tokens up to which the time is mostly the fixed part,
	// longPrompt those from which it is mostly the reading.
	maxShortPrompt = 500
	minLongPrompt  = 2000
	// maxAheadShare is the tokens that others may have to read before a prompt that
	// counts, as a part of its own.
	maxAheadShare = 0.05
	// targetQuantile is the part of the times that lie below an estimate.
	targetQuantile = 0.3
	// stepSize is the part of itself that an estimate may move by for each time seen.
	stepSize = 0.06
	// initialFixed stands in until short prompts have been timed.
	initialFixed = 20 * time.Millisecond
)

// Sample is one time to first token.
type Sample struct {
	// Tokens were to be read, Ahead those of other requests before.
	Tokens, Ahead int
	TTFT          time.Duration
}

// Model is what is known of a service's engines.
type Model struct {
	fixedTime float64
	perToken  float64
}

// New returns a model that takes engines to read rate tokens a second until some
// have been timed.
func New(rate float64) *Model {
	return &Model{fixedTime: initialFixed.Seconds(), perToken: 1 / rate}
}

// Rate is the prompt tokens that an engine reads in a second.
func (m *Model) Rate() float64 { return 1 / m.perToken }

// FixedTime is the part of a time to first token that doesn't depend on the prompt.
func (m *Model) FixedTime() time.Duration { return time.Duration(m.fixedTime * float64(time.Second)) }

// Observe takes a time in.
func (m *Model) Observe(s Sample) {
	if float64(s.Ahead) > maxAheadShare*float64(s.Tokens) {
		return
	}
	took := s.TTFT.Seconds()
	switch {
	case s.Tokens <= maxShortPrompt:
		m.fixedTime = updateQuantile(m.fixedTime, took-float64(s.Tokens)*m.perToken)
	case s.Tokens >= minLongPrompt:
		m.perToken = updateQuantile(m.perToken, (took-m.fixedTime)/float64(s.Tokens))
	}
}

// updateQuantile moves an estimate by steps whose sizes don't depend on the distance, so that
// it rests where the quick part of the samples lies below it.
func updateQuantile(estimate, sample float64) float64 {
	if sample > estimate {
		return estimate * (1 + stepSize*targetQuantile)
	}
	return estimate / (1 + stepSize*(1-targetQuantile))
}
