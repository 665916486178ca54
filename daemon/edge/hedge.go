package edge

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A runner that is silent may go on a moment later or never. The connection on which its answer comes can't be
// opened again, so it is kept while the request is sent to a second runner (a hedge): the one that sends
// something first goes on, and the other's connection is closed then. If there is no second runner at the moment,
// nothing is lost by waiting for the first.
//
// While a hedge runs, it alone uses the request's state: the goroutine that serves the request is blocked until the
// first runner sends something, and then ends the hedge before it goes on.

// hedge looks for another answer to a request whose runner is silent. outer is the hedge whose own attempt this one
// is for; nil if it is for the request's first.
type hedge struct {
	silent *attempt
	why    suspicion
	outer  *hedge
	cancel context.CancelFunc
	// done is closed when the hedge has ended.
	done chan struct{}
	// alone is set once the silent attempt has failed, so that nothing else may answer the request.
	alone atomic.Bool
}

// claim lets an answer take the silent attempt over, unless that has gone on. It reports whether it does.
func (h *hedge) claim(open *openAnswer) bool {
	a := h.silent
	a.watch.mu.Lock()
	defer a.watch.mu.Unlock()
	if !a.watch.waiting {
		return false
	}
	a.watch.waiting = false
	a.watch.won = open
	a.cancel()
	return true
}

// run looks for another answer until there is one, none may follow, or the silent attempt goes on.
func (h *hedge) run(ctx context.Context) {
	defer h.end()
	a, s := h.silent, h.silent.s
	h.outer, s.hedge = s.hedge, h
	s.note("hedged", decisions.F("runner", a.choice.Runner), decisions.F("why", h.why), decisions.F("begun", a.begun),
		decisions.F("events", a.eventCount()), decisions.F("heard", time.Since(time.Unix(0, a.activity.lastHeard.Load()))))
	s.edge.log.Count("hedged." + string(h.why))
	a.countHelperSends()
	failed := &failedAttempt{FailedAttempt: forward.FailedAttempt{Reason: retry.Silent, Sent: true, Counted: a.counted}, attempt: a}
	if h.why == noProbeAnswered {
		a.recordRunnerFailure(ctx, &failed.FailedAttempt)
	}
	open := s.openInstead(ctx, failed)
	switch {
	case open == nil:
		h.cancel()
	case h.claim(open):
		open.attempt.onRelease = append(open.attempt.onRelease, h.cancel)
		s.note("taken_over", decisions.F("runner", a.choice.Runner), decisions.F("by", open.attempt.choice.Runner),
			decisions.F("helper", open.attempt.helper), decisions.F("events", a.eventCount()))
	default:
		open.attempt.endInterrupted(true)
		open.close()
		h.cancel()
	}
}

func (h *hedge) end() {
	h.giveBack()
	close(h.done)
}

// giveBack gives the request's state back. A hedge that nothing came of may be followed by another one in the same wait.
func (h *hedge) giveBack() {
	a := h.silent
	a.s.hedge = h.outer
	a.watch.mu.Lock()
	if a.watch.won == nil && a.watch.hedge == h {
		a.watch.hedge = nil
	}
	a.watch.mu.Unlock()
}

// stands reports whether what the hedge was begun for is still believed, or its attempt has failed meanwhile.
func (h *hedge) stands() bool {
	if h.alone.Load() {
		return true
	}
	if h.why == pathsLost {
		return h.silent.s.pool.paths.lost.Load()
	}
	return h.silent.activity.silent.Load()
}

// keptRunners lists the runners of the attempts that are kept while others are tried.
func (h *hedge) keptRunners() []ident.RunnerID {
	var ids []ident.RunnerID
	for ; h != nil; h = h.outer {
		if h.silent.helper == "" && !h.alone.Load() {
			ids = append(ids, h.silent.choice.Runner)
		}
	}
	return ids
}

// openInstead looks for another answer to a request whose attempt is silent. It returns nil if none may follow or
// the context ends.
func (s *requestHandler) openInstead(ctx context.Context, failed *failedAttempt) *openAnswer {
	defer s.refundRetry()
	for failed != nil && s.awaitPlace(ctx) {
		end := s.prepareRetry(ctx, failed)
		if end != nil {
			return nil
		}
		failed = nil
		var open *openAnswer
		if s.goesOnLooking(ctx) {
			open, failed, end = s.open(ctx)
		}
		if open != nil {
			open, failed = open.peek(ctx)
		}
		if open != nil {
			return open
		}
		if end != nil {
			s.note("hedge_ended", decisions.F("reason", end.Reason), decisions.F("detail", end.Detail))
		}
	}
	return nil
}

// awaitPlace waits as long as this daemon reaches no runner and no helper does, so that the retry budget isn't charged
// for nothing. It reports whether the request is still to be sent.
func (s *requestHandler) awaitPlace(ctx context.Context) bool {
	for s.patient() && s.pool.paths.lost.Load() && (s.delegated || len(s.edge.helpers(s.pool.name)) == 0) {
		if !pause.For(ctx, lookAgainInterval) || !s.goesOnLooking(ctx) {
			return false
		}
	}
	return s.goesOnLooking(ctx)
}

// goesOnLooking reports whether the request is still to be sent, and for a hedge, whether its reason stands.
func (s *requestHandler) goesOnLooking(ctx context.Context) bool {
	return ctx.Err() == nil && (s.hedge == nil || s.hedge.stands())
}

// peek waits until something of the body can be passed on, or of that of the attempt that has taken over. Otherwise it
// returns what is known about the failure.
func (o *openAnswer) peek(ctx context.Context) (*openAnswer, *failedAttempt) {
	a := o.attempt
	if o.answer.isPlainError() {
		// An error is no reason to close the silent attempt's connection.
		a.finish()
		a.recordBroken()
		o.close()
		return nil, a.failed(&forward.FailedAttempt{Reason: retry.ServerError, Sent: true})
	}
	first, err := o.readBeginning()
	if err != nil && !errors.Is(err, io.EOF) && len(first) == 0 {
		failure := a.bodyFailed(ctx, err)
		o.close()
		if next := a.takenOver; next != nil {
			return next, nil
		}
		return nil, a.failed(failure)
	}
	if versionErr := a.checkVersion(); versionErr != nil {
		failure := a.bodyFailed(ctx, versionErr)
		o.close()
		return nil, a.failed(failure)
	}
	o.answer.Body = &peekedBody{ReadCloser: o.answer.Body, first: first, err: err}
	return o, nil
}

// peekedBody is a body of which a part has been read.
type peekedBody struct {
	io.ReadCloser
	first []byte
	err   error
}

// Read implements io.Reader.
func (b *peekedBody) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}
