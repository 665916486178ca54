// Package servicetime learns how long the runners of a plain service work on a request, from
// the answers that did not wait for a place.
//
// How long a request will wait at a busy runner follows from it: taken for too long it has
// requests refused that would be answered in time, for too short it sends them to wait.
//
// The package does no I/O and reads no clock. A Mean is not safe for concurrent use.
package servicetime

import "time"

const (
	// weight is the weight of each answer.
	weight = 0.03
	// minMean and longest bound the mean.
	minMean = time.Millisecond
	maxMean = 10 * time.Second
)

// Mean is the mean service time of one service.
type Mean struct{ mean float64 }

// New returns a mean that begins with a guess.
func New(first time.Duration) *Mean { return &Mean{first.Seconds()} }

// Observe takes in how long an answer took. running is what its runner had in progress when it
// was sent there, places what it can work on at once: an answer that may have waited for a
// place does not count.
func (m *Mean) Observe(took time.Duration, running, slots int) {
	if running >= slots {
		return
	}
	m.mean += weight * (took.Seconds() - m.mean)
	m.mean = min(max(m.mean, minMean.Seconds()), maxMean.Seconds())
}

// Seconds is the mean.
func (m *Mean) Seconds() float64 { return m.mean }
