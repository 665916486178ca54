// Package actionhistory records the history of actions in a test and checks it
// with a linearizability checker: no action may run more than once, and the
// results returned to callers must be true.
package actionhistory

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// History records concurrent operations on actions. It is safe for concurrent
// use.
type History struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	// Yes, No and Unknown count the results returned to callers, by their
	// execution status.
	Yes, No, Unknown int
	// Runs counts the executions at runners.
	Runs int
}

// event is one operation in an action's history: an execution at a runner, or a
// result returned to a caller.
type event struct {
	id       actionkey.ID
	run      bool
	body     string
	executed refusal.Executed
	answer   string
}

// RecordRun records an execution. Each execution must have a different answer.
func (h *History) RecordRun(at time.Time, id actionkey.ID, body, answer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs++
	h.add(at, at, event{id: id, run: true, body: body, answer: answer})
}

// RecordResult records a result returned to a caller. An empty body means that
// the caller asked by key alone. A result with status unknown makes no claim
// and is only counted.
func (h *History) RecordResult(from, to time.Time, id actionkey.ID, body string, r action.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch r.Executed() {
	case refusal.ExecutedYes:
		h.Yes++
	case refusal.ExecutedNo:
		h.No++
	default:
		h.Unknown++
		return
	}
	h.add(from, to, event{id: id, body: body, executed: r.Executed(), answer: string(r.Answer.Body)})
}

func (h *History) add(from, to time.Time, o event) {
	h.operations = append(h.operations, porcupine.Operation{
		Input: o, Call: from.UnixNano(), Return: to.UnixNano(),
	})
}

// Len returns the number of recorded operations.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// IsValid reports whether the history is linearizable, that is, whether each
// action has a sequence of states that explains all recorded operations.
func (h *History) IsValid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(atMostOnceModel, h.operations)
}

// actionState is the state of an action in the model: undecided, run once, or
// never to run.
type actionState struct {
	ran       bool
	neverRuns bool
	body      string
	answer    string
}

func (r actionState) step(o event) (bool, actionState) {
	switch {
	case o.run:
		return !r.ran && !r.neverRuns, actionState{ran: true, body: o.body, answer: o.answer}
	case o.executed == refusal.ExecutedYes:
		return r.ran && r.answer == o.answer && (o.body == "" || r.body == o.body), r
	default:
		return !r.ran, actionState{neverRuns: true}
	}
}

var atMostOnceModel = porcupine.Model{
	Partition: partition,
	Init:      func() any { return actionState{} },
	Step: func(state, in, _ any) (bool, any) {
		return state.(actionState).step(in.(event))
	},
}

// partition splits a history by action, because actions are independent of each
// other.
func partition(operations []porcupine.Operation) [][]porcupine.Operation {
	byID := map[actionkey.ID]int{}
	var parts [][]porcupine.Operation
	for _, op := range operations {
		id := op.Input.(event).id
		i, ok := byID[id]
		if !ok {
			i = len(parts)
			byID[id] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}
