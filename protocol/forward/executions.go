package forward

import "sync"

// Executions knows of one request whether it may have run, from the moment at which it is handed on: to a runner, or to
// another daemon, which may send it to one. Only a proof takes that back. It is safe for concurrent use, since a request
// may be handed on while an earlier attempt is still in progress.
type Executions struct {
	mu sync.Mutex
	// unproven is the number of times that the request was handed on without a proof since that it has not run there.
	unproven int
	// promised says that the caller was promised that the request has not run and never will.
	promised bool
}

// Handover is one time that a request is handed on. A nil Handover stands for none.
type Handover struct {
	to     *Executions
	proved bool
}

// Begin records that the request is about to be handed on. It returns nil if it must not be any more, because its caller
// was promised that it never runs.
func (e *Executions) Begin() *Handover {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.promised {
		return nil
	}
	e.unproven++
	return &Handover{to: e}
}

// ProveNotRun records a proof that the request has not run where it was handed to and never will: nothing of it was sent, or
// the other side says so.
func (h *Handover) ProveNotRun() {
	if h == nil {
		return
	}
	h.to.mu.Lock()
	defer h.to.mu.Unlock()
	if !h.proved {
		h.proved = true
		h.to.unproven--
	}
}

// MayHaveRun reports whether the request may have run.
func (e *Executions) MayHaveRun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unproven > 0
}

// promiseNotRun reports whether the caller may be promised that the request has not run. If so, it is handed on no more.
func (e *Executions) promiseNotRun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promised = e.unproven == 0
	return e.promised
}
