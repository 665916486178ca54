// Package servicetime estimates the mean service time of a plain service's runners from answers to
// requests that did not wait for a slot. A plain service is one that does not serve models; its
// runners answer a fixed number of requests at a time, one per slot.
//
// The expected wait at a busy runner is derived from this mean. If the mean is too long, requests
// are refused that would be answered in time; if it is too short, requests are sent to runners
// where they wait too long.
//
// The package does no I/O and reads no clock. A Mean is not safe for concurrent use.
package servicetime

import "time"

const (
	// newAnswerWeight is the weight of each new answer in the moving average.
	newAnswerWeight = 0.03
	// minMean and maxMean bound the mean.
	minMean = time.Millisecond
	maxMean = 10 * time.Second
)

// Mean is the mean service time of one service.
type Mean struct{ seconds float64 }

// New returns a Mean with an initial guess.
func New(first time.Duration) *Mean { return &Mean{first.Seconds()} }

// Observe updates the mean with the time from sending a request to its answer. running is the number
// of requests in progress at the runner when the request was sent, slots the number that the runner
// can process at once. An answer that may have waited for a slot does not count.
func (m *Mean) Observe(serviceTime time.Duration, running, slots int) {
	if running >= slots {
		return
	}
	m.seconds += newAnswerWeight * (serviceTime.Seconds() - m.seconds)
	m.seconds = min(max(m.seconds, minMean.Seconds()), maxMean.Seconds())
}

// Seconds returns the mean in seconds.
func (m *Mean) Seconds() float64 { return m.seconds }
