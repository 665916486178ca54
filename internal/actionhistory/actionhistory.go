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

// observed is one step of an action's history: a run at a runner, or what a
// caller was told.
type observed struct {
	id       actionkey.ID
	run      bool
	body     string
	executed refusal.Executed
	answer   string
}

// Ran records an execution; each has an answer of its own.
func (h *History) Ran(at time.Time, id actionkey.ID, body, answer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs++
	h.add(at, at, observed{id: id, run: true, body: body, answer: answer})
}

// Told records what a caller was told; an empty body asked by key alone.
// "Unknown" claims nothing and is only counted.
func (h *History) Told(from, to time.Time, id actionkey.ID, body string, r action.Result) {
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
	h.add(from, to, observed{id: id, body: body, executed: r.Executed(), answer: string(r.Answer.Body)})
}

func (h *History) add(from, to time.Time, o observed) {
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

// Legal tells whether every action has a life that explains all that was seen.
func (h *History) Legal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(atMostOnce, h.operations)
}

// register is an action's true life: undecided, then run once or never.
type register struct {
	ran    bool
	never  bool
	body   string
	answer string
}

func (r register) step(o observed) (bool, register) {
	switch {
	case o.run:
		return !r.ran && !r.never, register{ran: true, body: o.body, answer: o.answer}
	case o.executed == refusal.ExecutedYes:
		return r.ran && r.answer == o.answer && (o.body == "" || r.body == o.body), r
	default:
		return !r.ran, register{never: true}
	}
}

var atMostOnce = porcupine.Model{
	Partition: partition,
	Init:      func() any { return register{} },
	Step: func(state, in, _ any) (bool, any) {
		return state.(register).step(in.(observed))
	},
}

// partition splits a history by actions, which have nothing to do with each
// other.
func partition(operations []porcupine.Operation) [][]porcupine.Operation {
	byID := map[actionkey.ID]int{}
	var parts [][]porcupine.Operation
	for _, op := range operations {
		id := op.Input.(observed).id
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
