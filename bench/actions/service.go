package actions

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// clock runs events in the order of their times.
type clock struct {
	now   time.Duration
	queue eventQueue
	seq   int
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, do: do})
}

// runUntil runs all events up to a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// service models the key-value service: it handles calls one after the other at its
// rate, and each call then takes its latency.
type service struct {
	clock *clock
	rng   *rand.Rand
	// freeAt is the time at which the queue of calls will be empty.
	freeAt time.Duration
	// down is the start and end of the outage.
	down  [2]time.Duration
	calls int
	// entries holds the written values by key.
	entries map[string][]byte
}

// call performs a write. It calls done with true when the write has taken effect, or
// with false after the timeout.
func (s *service) call(effect func(), done func(ok bool)) {
	s.calls++
	now := s.clock.now
	if now >= s.down[0] && now < s.down[1] {
		s.clock.after(storeTimeout, func() { done(false) })
		return
	}
	start := max(now, s.freeAt)
	latency := writeLatencyMin + time.Duration(s.rng.Int64N(int64(writeLatencyMax-writeLatencyMin)))
	if start+latency-now > storeTimeout {
		// The call would be served after its timeout, so it is dropped.
		s.clock.after(storeTimeout, func() { done(false) })
		return
	}
	s.freeAt = start + time.Second/serviceRate
	s.clock.after(start-now+latency/2, effect)
	s.clock.after(start-now+latency, func() { done(true) })
}
