package fairshare

import "time"

// Backlog estimates from a daemon's own requests which part of the work that waits at a service's engines is
// ahead of a request. The other daemons' work is not known by priority; callers of all daemons bring much the same.
type Backlog struct {
	// waiting are the tokens by priority that were sent and are not read yet, requests the number of their requests.
	waiting  [LastPriority + 1]float64
	requests int
}

func clampPriority(priority int) int { return min(max(0, priority), LastPriority) }

// Send records a request that was sent to an engine. Once it has been read, or has failed, Done must be called.
func (b *Backlog) Send(priority int, tokens float64) {
	b.waiting[clampPriority(priority)] += tokens
	b.requests++
}

// Done records that a request no longer waits.
func (b *Backlog) Done(priority int, tokens float64) {
	p := clampPriority(priority)
	b.waiting[p] = max(0, b.waiting[p]-tokens)
	b.requests--
}

// Wait returns how long a request of a priority waits at an engine that needs the time queue for all that waits there.
// What is less urgent is read later. The result is never longer than queue, so that no request is refused that would not
// be if engines read in the order of arrival.
func (b *Backlog) Wait(priority int, queue time.Duration) time.Duration {
	ahead, waiting := 0.0, 0.0
	for i, tokens := range b.waiting {
		waiting += tokens
		if i <= clampPriority(priority) {
			ahead += tokens
		}
	}
	if b.requests <= 0 || waiting <= 0 {
		return queue
	}
	// One more request of unknown priority keeps a daemon that has only few from being sure.
	mean := waiting / float64(b.requests)
	return time.Duration(float64(queue) * (ahead + mean) / (waiting + mean))
}
