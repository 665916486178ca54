package action

import (
	"container/heap"
	"time"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// stateForResult returns the final state of an action with the given result.
func stateForResult(r Result) State {
	switch r.Executed() {
	case refusal.ExecutedYes:
		return Executed
	case refusal.ExecutedNo:
		return NotExecuted
	default:
		return Unknown
	}
}

// journalOutcome converts the result of an action to the outcome that is
// written to the journal.
func journalOutcome(rec *record) journal.Outcome {
	out := journal.Outcome{ID: rec.id, BodyHash: rec.bodyHash, Executed: rec.result.Executed()}
	if refused := rec.result.Refusal; refused != nil {
		out.Reason = refused.Reason
		out.Detail = refused.Detail
		return out
	}
	out.Status = rec.result.Answer.Status
	out.Body = rec.result.Answer.Body
	for _, h := range rec.result.Answer.Headers {
		out.Headers = append(out.Headers, journal.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

// ResultFromVerdict converts the verdict of a sealed journal to the result that
// the caller receives.
func ResultFromVerdict(v journal.Verdict) Result {
	o := v.Outcome
	if o == nil {
		return Result{Refusal: &refusal.Refusal{Reason: v.Reason, Executed: v.Executed,
			Detail: "owner has ended; by its journal"}}
	}
	if o.Executed != refusal.ExecutedYes {
		return Result{Refusal: &refusal.Refusal{Reason: o.Reason, Executed: o.Executed, Detail: o.Detail}}
	}
	if o.NotKept {
		return Result{Refusal: &refusal.Refusal{Reason: refusal.AnswerNotKept, Executed: refusal.ExecutedYes,
			Detail: "it ran; its answer was too large for the journal"}}
	}
	answer := call.Answer{Status: o.Status, Body: o.Body}
	for _, h := range o.Headers {
		answer.Headers = append(answer.Headers, call.Header{Name: h.Name, Value: h.Value})
	}
	return Result{Answer: answer}
}

// answerSize returns the size of the body and the headers of an answer in
// bytes.
func answerSize(a call.Answer) int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// expiryEntry holds a record and the time, in Unix milliseconds, at which it
// may be dropped. The record of a tombstone holds only the ID.
type expiryEntry struct {
	rec *record
	at  int64
}

// expiryQueue is a min-heap ordered by expiry time.
type expiryQueue []expiryEntry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiryEntry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// tombstones remembers the keys refused because the table was full. A tombstone
// takes much less memory than a record, and their number is bounded.
type tombstones struct {
	limit  int
	ids    map[actionkey.ID]struct{}
	expiry expiryQueue
}

func newTombstones(limit int) tombstones {
	return tombstones{limit: limit, ids: map[actionkey.ID]struct{}{}}
}

func (t *tombstones) has(id actionkey.ID) bool {
	_, ok := t.ids[id]
	return ok
}

// add remembers the key until it expires. It returns false if the limit is
// reached.
func (t *tombstones) add(id actionkey.ID, expires time.Time) bool {
	if len(t.ids) >= t.limit {
		return false
	}
	t.ids[id] = struct{}{}
	heap.Push(&t.expiry, expiryEntry{rec: &record{id: id}, at: expires.UnixMilli()})
	return true
}

// expire drops the keys that have expired: Submit refuses these anyway.
func (t *tombstones) expire(now time.Time) {
	for len(t.expiry) > 0 && t.expiry[0].at <= now.UnixMilli() {
		e := heap.Pop(&t.expiry).(expiryEntry)
		delete(t.ids, e.rec.id)
	}
}
