package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// A runner that is silent may go on a moment later or never. The connection on which its answer comes can't be
// opened again, so it is kept while the request is sent to a second runner (a hedge): the one that sends
// something first goes on, and the other's connection is closed then. If there is no second runner at the moment,
// nothing is lost by waiting for the first.
//
// While a hedge runs, it alone uses the request's state: the goroutine that serves the request is blocked until the
// first runner sends something, and then ends the hedge before it goes on.

// suspicion is why an attempt's runner is believed not to go on with it.
type suspicion string

const (
	// noProbeAnswered means that the runner has sent nothing and has answered no probe.
	noProbeAnswered suspicion = "no_probe_answered"
	// pathsLost means that this daemon seems to reach no runner of the service.
	pathsLost suspicion = "paths_lost"
)

// takeover is what becomes of a request in place of its silent attempt: another answer that has begun, or
// the final refusal.
type takeover struct {
	open *openAnswer
	end  *refusal.Refusal
}

// watch follows the wait for the next data of an attempt's runner.
type watch struct {
	mu      sync.Mutex
	waiting bool
	// suspected is a suspicion that came while nothing was waited for; empty for none.
	suspected suspicion
	// hedge is that of the present wait; nil if none. won is what has taken the attempt over.
	hedge *hedge
	won   *takeover
}

// hedge looks for another answer to a request whose runner is silent.
type hedge struct {
	silent *attempt
	cancel context.CancelFunc
	// done is closed when the hedge has ended.
	done chan struct{}
	// alone is set once the silent attempt has failed, so that nothing else may answer the request.
	alone atomic.Bool
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

// startHedgeLocked starts a hedge unless there is one. The caller must hold watch.mu.
func (a *attempt) startHedgeLocked(why suspicion) {
	if a.watch.hedge != nil {
		return
	}
	ctx, cancel := context.WithCancel(a.parent)
	h := &hedge{silent: a, cancel: cancel, done: make(chan struct{})}
	a.watch.hedge = h
	go h.run(ctx, why)
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
	a.watch.mu.Lock()
	a.watch.suspected = ""
	h := a.watch.hedge
	if received || h == nil || a.watch.won != nil {
		a.watch.waiting = false
	}
	waiting := a.watch.waiting
	a.watch.mu.Unlock()
	if h == nil {
		return false
	}
	if waiting {
		// The attempt has failed. What the hedge finds goes on in its place.
		h.alone.Store(true)
		<-h.done
	}
	a.watch.mu.Lock()
	a.watch.waiting = false
	a.takenOver = a.watch.won
	a.watch.hedge = nil
	a.watch.mu.Unlock()
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

// claim lets an outcome take the silent attempt over, unless that has gone on. It reports whether it does.
func (h *hedge) claim(t *takeover) bool {
	a := h.silent
	a.watch.mu.Lock()
	defer a.watch.mu.Unlock()
	if !a.watch.waiting {
		return false
	}
	a.watch.waiting = false
	a.watch.won = t
	a.cancel()
	return true
}

// run looks for another answer until there is one, none may follow, or the silent attempt goes on.
func (h *hedge) run(ctx context.Context, why suspicion) {
	defer close(h.done)
	a, s := h.silent, h.silent.s
	outer := s.hedge
	s.hedge = h
	defer func() { s.hedge = outer }()
	s.note("hedged", decisions.F("runner", a.choice.Runner), decisions.F("why", why), decisions.F("begun", a.begun),
		decisions.F("events", a.eventCount()), decisions.F("heard", time.Since(time.Unix(0, a.activity.lastHeard.Load()))))
	s.edge.log.Count("hedged." + string(why))
	failed := &failedAttempt{forward.FailedAttempt{Reason: retry.Silent, MayHaveRun: true, Sent: true, Counted: a.counted}, a}
	a.counted = true
	if why == noProbeAnswered {
		a.recordRunnerFailure(ctx, &failed.FailedAttempt)
	}
	t := s.openInstead(ctx, failed)
	switch {
	case t == nil:
		h.cancel()
	case t.end != nil:
		h.claim(t)
		h.cancel()
	case h.claim(t):
		t.open.attempt.onRelease = append(t.open.attempt.onRelease, h.cancel)
		s.note("taken_over", decisions.F("runner", a.choice.Runner), decisions.F("by", t.open.attempt.choice.Runner),
			decisions.F("helper", t.open.attempt.helper), decisions.F("events", a.eventCount()))
	default:
		t.open.attempt.endInterrupted(true)
		t.open.close()
		h.cancel()
	}
}

// openInstead looks for another answer to a request whose attempt is silent. It returns nil if none may follow or
// the context ends.
func (s *requestHandler) openInstead(ctx context.Context, failed *failedAttempt) *takeover {
	for {
		if s.prepareRetry(ctx, failed) != nil || ctx.Err() != nil {
			return nil
		}
		sent := s.exchange.Sent()
		open, next, end := s.open(ctx)
		if open == nil && next == nil && s.exchange.Sent() == sent && failed.Sent {
			s.pool.withRetryPolicy(func(p *retry.Policy) { p.Refund() })
		}
		if open != nil {
			open, next, end = open.peek(ctx)
		}
		switch {
		case open != nil:
			return &takeover{open: open}
		case ctx.Err() != nil:
			return nil
		case end != nil && s.exchange.AnswerBegun:
			s.note("hedge_ended", decisions.F("reason", end.Reason), decisions.F("detail", end.Detail))
			return nil
		case end != nil:
			return &takeover{end: end}
		}
		failed = next
	}
}

// peek waits until something of the body has arrived. Like open, it returns the answer, what is known about the
// failure, or the refusal.
func (o *openAnswer) peek(ctx context.Context) (*openAnswer, *failedAttempt, *refusal.Refusal) {
	a := o.attempt
	if !o.answer.Events && o.answer.Status >= http.StatusInternalServerError {
		// An error is no reason to close the silent attempt's connection.
		a.finish()
		a.recordBroken()
		o.close()
		return nil, a.failed(&forward.FailedAttempt{Reason: retry.ServerError, MayHaveRun: true, Sent: true}), nil
	}
	first := make([]byte, copyBufferBytes)
	n, err := o.answer.Body.Read(first)
	if err != nil && !errors.Is(err, io.EOF) && n == 0 {
		failure := a.bodyFailed(ctx, err)
		o.close()
		if t := a.takenOver; t != nil {
			return t.open, nil, t.end
		}
		return nil, a.failed(failure), nil
	}
	if versionErr := a.checkVersion(); versionErr != nil {
		failure := a.bodyFailed(ctx, versionErr)
		o.close()
		return nil, a.failed(failure), nil
	}
	o.answer.Body = &peekedBody{ReadCloser: o.answer.Body, first: first[:n], err: err}
	return o, nil, nil
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
	if b.attempt.endWait(received) {
		return 0, &takenOverError{}
	}
	return n, err
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
