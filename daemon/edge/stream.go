package edge

import (
	"context"
	"errors"
	"io"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
)

// stream passes an event stream on as it arrives. If the stream may be resumed at another
// runner, only whole events are passed on, since a partial event could not be continued.
func (a *attempt) stream(ctx context.Context, answer *Answer) *forward.FailedAttempt {
	s := a.s
	if s.events == nil {
		s.events = forward.NewEventStream(s.req.LastEventID)
	}
	s.events.DropPartialEvent()
	if !s.exchange.AnswerBegun {
		s.reply.Start(answer.Status, answer.Header, -1, s.connectionClosing())
		s.exchange.AnswerBegun = true
	}
	err := a.copyEvents(answer)
	if err == nil {
		a.streamEnded()
		return nil
	}
	var left *callerLeftError
	if errors.As(err, &left) {
		a.finish()
		s.abortForLeftCaller()
		return nil
	}
	return a.bodyFailed(ctx, err)
}

// bodyFailed ends an attempt whose answer has begun and isn't whole. It returns nil if another attempt has taken
// over.
func (a *attempt) bodyFailed(ctx context.Context, err error) *forward.FailedAttempt {
	if a.takenOver != nil {
		a.endTakenOver()
		return nil
	}
	a.finish()
	var mismatch *versionMismatchError
	switch {
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.recordFailure()
		}
		a.recordInterrupted()
		return &forward.FailedAttempt{Reason: retry.Broken}
	case errors.As(err, &mismatch):
		return &forward.FailedAttempt{Reason: retry.NotLoaded, Sent: true}
	}
	a.recordBroken()
	return &forward.FailedAttempt{Reason: retry.Broken, Sent: true}
}

// recordBroken records that the answer of a runner broke off.
func (a *attempt) recordBroken() {
	if a.helper != "" {
		return
	}
	a.s.pool.observe(a.choice.Runner, health.Failure)
	a.recordMayHaveEnded()
	if a.events {
		a.s.pool.recordPathFailure(a.choice.Runner)
	}
	a.recordFailure()
}

// callerLeftError says that the answer could not be written because the caller has
// disconnected.
type callerLeftError struct{ Err error }

func (e *callerLeftError) Error() string { return "caller left: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *callerLeftError) Unwrap() error { return e.Err }

// truncatedEventError says that a stream ended in the middle of an event.
type truncatedEventError struct{}

func (*truncatedEventError) Error() string { return "stream ended within an event" }

// unfinishedEventError says that the bytes of an event have come for MaxPieceTime without ending it.
type unfinishedEventError struct{}

func (*unfinishedEventError) Error() string { return "event without an end" }

// eventTimer measures how long the bytes of one event have been coming.
type eventTimer struct {
	ended int
	began time.Time
}

// check returns an error if the event that the stream is in has come for too long. It must be called after bytes have
// been received.
func (t *eventTimer) check(events *forward.EventStream) error {
	switch {
	case !events.InEvent():
		t.began = time.Time{}
	case t.began.IsZero() || events.Ended() != t.ended:
		t.ended, t.began = events.Ended(), time.Now()
	case time.Since(t.began) > MaxPieceTime:
		return &unfinishedEventError{}
	}
	return nil
}

// maxKeptBytes is how much room a stream keeps for its next events.
const maxKeptBytes = 32 << 10

// copyEvents passes events on until the runner's stream ends. It returns nil if the stream
// ended after a whole event.
func (a *attempt) copyEvents(answer *Answer) error {
	s := a.s
	buffer := make([]byte, copyBufferBytes)
	var out []byte
	var timer eventTimer
	measured := a.measureSpeed()
	first := true
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && first {
			if versionErr := a.checkVersion(); versionErr != nil {
				return versionErr
			}
			first = false
			a.firstToken()
		}
		var pushErr error
		out, pushErr = s.events.Push(out[:0], buffer[:n])
		if pushErr != nil {
			return pushErr
		}
		measured.arrived(s.events.Events())
		if a.eventCount() > maxEventsAtFailure {
			a.recordPartsAnswered()
		}
		if len(out) > 0 {
			a.bindStream()
			if writeErr := s.reply.Write(out); writeErr != nil {
				return &callerLeftError{writeErr}
			}
			measured.waiting()
			if cap(out) > maxKeptBytes {
				out = nil
			}
		}
		if timerErr := timer.check(s.events); timerErr != nil {
			return timerErr
		}
		if errors.Is(err, io.EOF) {
			if s.events.HasPartialEvent() {
				return &truncatedEventError{}
			}
			measured.ended()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (a *attempt) firstToken() {
	took := time.Since(a.sent)
	a.firstEventAfter = took
	a.recordShareAnswer()
	if a.helper == "" {
		a.s.pool.firstToken(&a.ticket, a.choice, took)
	}
	a.s.edge.log.Time("first_event_us", took)
}

func (a *attempt) streamEnded() {
	s := a.s
	s.pool.recordFinished(&a.ticket, max(1, s.req.Prompt.ExpectedOutput))
	s.pool.observe(a.choice.Runner, health.Success)
	a.recordAnswered()
	a.recordStreamLatency()
	s.note("answered", decisions.F("runner", a.choice.Runner), decisions.F("events", s.events.Events()), decisions.F("first_event", a.firstEventAfter), decisions.F("attempts", s.exchange.Sent()+1))
	s.reply.Finish()
}
