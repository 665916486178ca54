package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
)

// bufferedAnswer is a runner's answer that has been read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	runner ident.RunnerID
}

// bufferAnswer reads a body completely before it is passed on. If the body breaks off, the
// request can be repeated, or the caller can be told of the failure.
func (a *attempt) bufferAnswer(ctx context.Context, answer *Answer) *forward.FailedAttempt {
	s := a.s
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	took := time.Since(a.sent)
	if err != nil {
		return a.bodyFailed(ctx, err)
	}
	if len(body) > maxBufferedBytes {
		if answer.Status >= http.StatusInternalServerError && answer.Length < 0 {
			// Errors are short; this one may have no end.
			return a.rejectAnswer()
		}
		return a.streamBody(ctx, answer, body)
	}
	a.finish()
	buffered := &bufferedAnswer{answer.Status, answer.Header, body, a.choice.Runner}
	if answer.Status >= http.StatusInternalServerError {
		s.pool.observe(a.choice.Runner, health.Failure)
		a.recordFailure()
		s.buffered = buffered
		return &forward.FailedAttempt{Reason: retry.ServerError, Sent: true}
	}
	a.recordAnswered()
	s.pool.observe(a.choice.Runner, health.Success)
	s.edge.log.Time("answer_us", took)
	s.pool.observeServiceTime(a.choice, took)
	a.took(took, false)
	s.sendBuffered(buffered)
	return nil
}

// sendBuffered sends a buffered answer to the caller.
func (s *requestHandler) sendBuffered(k *bufferedAnswer) {
	s.note("answered", decisions.F("runner", k.runner), decisions.F("status", k.status), decisions.F("bytes", len(k.body)))
	s.reply.Start(k.status, k.header, int64(len(k.body)), s.connectionClosing())
	if err := s.reply.Write(k.body); err != nil {
		s.abortForLeftCaller()
		return
	}
	s.reply.Finish()
}

// streamBody passes a body on that is too long to be buffered.
func (a *attempt) streamBody(ctx context.Context, answer *Answer, first []byte) *forward.FailedAttempt {
	s := a.s
	defer a.finish()
	// What was passed on can't be continued by another answer.
	s.exchange.AnswerBegun, s.exchange.Terms.Resumable = true, false
	s.reply.Start(answer.Status, answer.Header, answer.Length, s.connectionClosing())
	chunk := first
	buffer := make([]byte, copyBufferBytes)
	for {
		if err := s.reply.Write(chunk); err != nil {
			s.abortForLeftCaller()
			return nil
		}
		n, err := answer.Body.Read(buffer)
		chunk = buffer[:n]
		if errors.Is(err, io.EOF) {
			if s.reply.Write(chunk) != nil {
				s.abortForLeftCaller()
				return nil
			}
			a.recordAnswered()
			if a.helper == "" {
				s.pool.observe(a.choice.Runner, health.Success)
			}
			a.took(time.Since(a.sent), false)
			s.note("answered", decisions.F("runner", a.choice.Runner), decisions.F("status", answer.Status))
			s.reply.Finish()
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				a.recordInterrupted()
			} else {
				a.recordBroken()
			}
			return &forward.FailedAttempt{Reason: retry.Broken, Sent: ctx.Err() == nil}
		}
	}
}
