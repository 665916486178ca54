package edge

import (
	"context"
	"errors"
	"io"
	"sync"

	"geraniumstack.org/geraniumstack/daemon/decisions"
)

// This file follows the waits for an attempt's runner, during which a suspicion starts a hedge (hedge.go).

// suspicion is why an attempt's runner is believed not to go on with it.
type suspicion string

const (
	// noProbeAnswered means that the runner has sent nothing and has answered no probe.
	noProbeAnswered suspicion = "no_probe_answered"
	// pathsLost means that this daemon seems to reach no runner of the service.
	pathsLost suspicion = "paths_lost"
)

// watch follows the wait for the next data of an attempt's runner.
type watch struct {
	mu      sync.Mutex
	waiting bool
	// failed says that the attempt has failed while it was waited for, so that no further hedge may start: the goroutine
	// that serves the request goes on once the last one has ended.
	failed bool
	// suspected is a suspicion that came while nothing was waited for; empty for none.
	suspected suspicion
	// hedge is that of the present wait; nil if none. won is what has taken the attempt over.
	hedge *hedge
	won   *openAnswer
}

// suspect starts a hedge of an attempt whose runner is silent, unless it has one.
func (a *attempt) suspect(why suspicion) {
	a.watch.mu.Lock()
	defer a.watch.mu.Unlock()
	if !a.watch.waiting {
		a.watch.suspected = why
		return
	}
	a.startHedgeLocked(why)
}

// startHedgeLocked starts a hedge unless there is one, or the attempt has failed. The caller must hold watch.mu.
func (a *attempt) startHedgeLocked(why suspicion) {
	if a.watch.hedge != nil || a.watch.failed {
		return
	}
	ctx, cancel := context.WithCancel(a.parent)
	h := &hedge{silent: a, why: why, cancel: cancel, done: make(chan struct{})}
	a.watch.hedge = h
	go h.run(ctx)
}

// beginWait is called before a wait for the runner's next data.
func (a *attempt) beginWait() {
	a.watch.mu.Lock()
	defer a.watch.mu.Unlock()
	a.watch.waiting = true
	if why := a.watch.suspected; why != "" {
		a.watch.suspected = ""
		a.startHedgeLocked(why)
	}
}

// endWait is called after such a wait; received says that something has arrived. It reports whether another
// answer has taken the attempt over. Otherwise no hedge runs on return.
func (a *attempt) endWait(received bool) (takenOver bool) {
	h, failed := a.watch.end(received)
	if h == nil {
		return false
	}
	if failed {
		// What the hedge finds goes on in the attempt's place.
		h.alone.Store(true)
		<-h.done
	}
	a.takenOver = a.watch.settle()
	if a.takenOver != nil {
		<-h.done
		return true
	}
	h.cancel()
	<-h.done
	if received {
		a.s.note("runner_went_on", decisions.F("runner", a.choice.Runner), decisions.F("events", a.eventCount()))
	}
	return false
}

// end ends a wait and returns its hedge, nil for none. failed says that the attempt has failed, so that the hedge alone may
// find an answer: the wait is over, and no further hedge may start, once settle is called.
func (w *watch) end(received bool) (h *hedge, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspected = ""
	if received || w.hedge == nil || w.won != nil {
		w.waiting = false
	}
	w.failed = w.waiting
	return w.hedge, w.failed
}

// settle ends a wait for good and returns what has taken the attempt over, nil for nothing.
func (w *watch) settle() *openAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.failed, w.hedge = false, false, nil
	return w.won
}

// takenOverError says that another attempt goes on in place of this one.
type takenOverError struct{}

func (*takenOverError) Error() string { return "another attempt has taken over" }

// watchedBody is the body of an answer whose runner may fall silent.
type watchedBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read returns a *takenOverError if another attempt has taken over while it waited.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.attempt.beginWait()
	n, err := b.ReadCloser.Read(p)
	received := n > 0 || errors.Is(err, io.EOF) || b.attempt.helperFailed()
	if n > 0 {
		b.attempt.recordHeard()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.attempt.broke = err
	}
	if b.attempt.endWait(received) {
		return 0, &takenOverError{}
	}
	return n, err
}
