package fairshare

import "time"

// maxOvertaken bounds the fraction of what runners read that is taken to come later and be read earlier.
const maxOvertaken = 0.9

// Backlog estimates from a daemon's own requests which part of the work that waits at a service's engines is
// ahead of a request. The other daemons' work is not known by priority; callers of all daemons bring much the same.
type Backlog struct {
	// waiting are the tokens that were sent by priority, and not read yet. sent are all that were sent lately.
	waiting [LastPriority + 1]float64
	sent    [LastPriority + 1]decayingSum
	// requests is the number of waiting requests.
	requests int
}

func clampPriority(priority int) int { return min(max(0, priority), LastPriority) }

// Send records a request that was sent to an engine. Once it has been read, or has failed, Done must be called.
func (b *Backlog) Send(now time.Duration, priority int, tokens float64) {
	p := clampPriority(priority)
	b.waiting[p] += tokens
	b.sent[p].add(now, tokens)
	b.requests++
}

// Done records that a request no longer waits.
func (b *Backlog) Done(priority int, tokens float64) {
	p := clampPriority(priority)
	b.waiting[p] = max(0, b.waiting[p]-tokens)
	b.requests--
}

// Wait returns how long a request of a priority waits for its first token. queue is the time that the engine needs for
// all that waits there. What is less urgent is read later. What is more urgent and comes meanwhile is read earlier; the
// engine has less time for this request then. For lenient, the wait is no longer than if the engine served in the order
// of arrival: a demoted request isn't refused for being over the share, nor one that has returned at its time for what came later.
func (b *Backlog) Wait(now time.Duration, priority int, queue, own time.Duration, lenient bool) time.Duration {
	p := clampPriority(priority)
	ahead, waiting, urgent, sent := 0.0, 0.0, 0.0, 0.0
	for i := range b.waiting {
		waiting += b.waiting[i]
		sent += b.sent[i].value(now)
		if i <= p {
			ahead += b.waiting[i]
		}
		if i < p {
			urgent += b.sent[i].value(now)
		}
	}
	if b.requests <= 0 || waiting <= 0 || sent <= 0 {
		return queue + own
	}
	// One more request of unknown priority keeps a daemon that has only few from being sure.
	mean := waiting / float64(b.requests)
	before := time.Duration(float64(queue) * (ahead + mean) / (waiting + mean))
	before = time.Duration(float64(before) / (1 - min(maxOvertaken, urgent/sent)))
	if lenient {
		before = min(before, queue)
	}
	return before + own
}
