// Package actionhistory records what befell actions in a test and checks it:
// no action runs twice, and what callers were told is true.
package actionhistory

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// History is a concurrent run. It is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	// Yes, No and Unknown count what callers were told.
	Yes, No, Unknown int
	// Runs counts executions at runners.
	Runs int
}

// event is one step of an action's history: a run at a runner, or what a
// caller was told.
type event struct {
	id       actionkey.ID
	run      bool
	body     string
	executed refusal.Executed
	answer   string
}

// RecordRun records an execution; each has an answer of its own.
func (h *History) RecordRun(at time.Time, id actionkey.ID, body, answer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs++
	h.add(at, at, event{id: id, run: true, body: body, answer: answer})
}

// RecordResult records what a caller was told; an empty body asked by key alone.
// "Unknown" claims nothing and is only counted.
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

// Len is the number of steps that were recorded.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// IsValid tells whether every action has a life that explains all that was seen.
func (h *History) IsValid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(atMostOnceModel, h.operations)
}

// actionState is an action's true life: undecided, then run once or never.
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

// partition splits a history by actions, which have nothing to do with each
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
