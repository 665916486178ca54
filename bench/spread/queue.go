package spread

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/spread"
)

type eventKind uint8

const (
	tick eventKind = iota
	deliver
	publish
	suspect
)

type event struct {
	at      time.Duration
	order   uint64
	kind    eventKind
	from    int
	to      int
	message spread.Message
}

// eventQueue is a binary heap by time, then by order of insertion. It is typed,
// for runs of millions of events.
type eventQueue []event

func (a event) before(b event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

func (s *simulation) push(e event) {
	s.order++
	e.order = s.order
	s.queue = append(s.queue, e)
	q := s.queue
	for i := len(q) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q[i].before(q[parent]) {
			return
		}
		q[i], q[parent] = q[parent], q[i]
		i = parent
	}
}

func (q *eventQueue) pop() event {
	heap := *q
	first := heap[0]
	last := len(heap) - 1
	heap[0] = heap[last]
	heap = heap[:last]
	*q = heap
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && heap[child+1].before(heap[child]) {
			child++
		}
		if !heap[child].before(heap[i]) {
			return first
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}
