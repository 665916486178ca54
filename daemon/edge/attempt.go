package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

const (
	// maxBufferedBytes is the largest body that is read whole before it is passed on,
	// so that an answer that breaks off can still be replaced.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is read of a stream at a time; an event has a few hundred bytes.
	copyBufferBytes = 8 << 10
	// noRunnerRetryAfter is what a refusal for want of any runner asks for: one that
	// starts takes a few seconds, one whose entry has lapsed is back within two.
	noRunnerRetryAfter = time.Second
)

// bufferedAnswer is a whole answer of a runner that is held.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	runner ident.RunnerID
}

// attempt is one send and what belongs to it.
type attempt struct {
	s      *requestHandler
	choice routing.Choice
	ticket routing.Ticket
	sent   time.Time
	// firstEventAfter is the time to the firstEventAfter event, zero before it.
	firstEventAfter time.Duration
	// activity is the runner's; cancel gives the attempt up from our side, and
	// abandoned says that this was done because the runner is silent.
	activity  *activity
	cancel    context.CancelFunc
	abandoned atomic.Bool
	trial     trialSample
}

// run makes attempts until one answers, the exchange ends or the caller leaves.
func (s *requestHandler) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	for {
		a, r := s.chooseRunner(ctx)
		if r != nil {
			s.end(r)
			return
		}
		failure := a.execute(ctx)
		if failure == nil {
			return
		}
		if s.endIfCallerGone(ctx) {
			return
		}
		var wait time.Duration
		var end *refusal.Refusal
		s.pool.withRetryPolicy(func(p *retry.Policy) { wait, end = s.exchange.Next(time.Now(), p, *failure) })
		s.note("attempt_failed", decisions.F("runner", a.choice.Runner), decisions.F("reason", failure.Reason),
			decisions.F("may_have_run", failure.MayHaveRun), decisions.F("attempts", s.exchange.Sent()),
			decisions.F("again", end == nil), decisions.F("wait", wait))
		s.edge.log.Count("attempt_failed." + string(failure.Reason))
		if end != nil {
			s.end(s.withRetryAfter(end))
			return
		}
		if !pause.For(ctx, wait) && s.endIfCallerGone(ctx) {
			return
		}
		s.failedRunners = s.failedRunners.Or(s.pool.exclusionOf(a.choice.Runner))
		s.routingRequest.Exclude = s.failedRunners
	}
}

// endIfCallerGone ends a request whose caller has left or whose time is over.
func (s *requestHandler) endIfCallerGone(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.end(s.exchange.Expired().After(notReadyRetryAfter))
	default:
		s.note("caller_left", decisions.F("begun", s.exchange.Begun))
		s.reply.Abort()
	}
	return true
}

// withRetryAfter adds when to come back to a refusal.
func (s *requestHandler) withRetryAfter(r *refusal.Refusal) *refusal.Refusal {
	if r.RetryAfter == 0 {
		return r.After(notReadyRetryAfter / 2)
	}
	return r
}

// end gives the final answer: a runner's own failure that was held, or a refusal.
// A request whose answer has begun can only be broken off.
func (s *requestHandler) end(r *refusal.Refusal) {
	if s.exchange.Begun {
		s.note("broken_off", decisions.F("reason", r.Reason), decisions.F("detail", r.Detail), decisions.F("events", s.eventsSent()))
		s.edge.log.Count("broken_off." + string(r.Reason))
		s.reply.Abort()
		return
	}
	if s.buffered != nil {
		s.sendBuffered(s.buffered)
		return
	}
	s.refuse(r)
}

func (s *requestHandler) eventsSent() int {
	if s.events == nil {
		return 0
	}
	return s.events.Events()
}

// chooseRunner chooses a runner for the next attempt, or refuses at once what can't be
// served in time.
func (s *requestHandler) chooseRunner(ctx context.Context) (*attempt, *refusal.Refusal) {
	now := time.Now()
	if ctx.Err() != nil || !now.Before(s.deadline) {
		return nil, s.exchange.Expired().After(notReadyRetryAfter)
	}
	choice, err := s.pick(ctx, now)
	s.recommended = ""
	if err != nil {
		return nil, s.refuseWithoutRunner(err)
	}
	if late := choice.Estimate - s.maxFirstTokenWait(now); late > 0 && s.edge.settings.Policy.Uses(RefuseEarly) {
		return nil, s.refuseTooLate(late, choice)
	}
	a := &attempt{s: s, choice: choice, sent: now, trial: s.sampleFor(choice.Runner)}
	a.ticket = s.pool.dispatch(now, choice, &s.routingRequest, s.exchange.Sent() == 0)
	s.countTrialDispatch()
	s.note("dispatched", decisions.F("runner", choice.Runner), decisions.F("estimate", choice.Estimate),
		decisions.F("uncached", choice.Uncached), decisions.F("ahead", choice.Ahead), decisions.F("running", choice.Running), decisions.F("fetch_from", choice.FetchFrom), decisions.F("attempt", s.exchange.Sent()+1), decisions.F("cost", s.cost))
	return a, nil
}

func (s *requestHandler) refuseWithoutRunner(err error) *refusal.Refusal {
	r := refusal.New(refusal.NoRunner, "%v", err).After(noRunnerRetryAfter)
	if s.exchange.MayHaveRun() {
		return r.Unknown()
	}
	return r
}

// maxFirstTokenWait is how long the first token may take from now for the request to be
// worth sending: callers leave a stream that is silent for patience, and nobody
// waits past the deadline.
func (s *requestHandler) maxFirstTokenWait(now time.Time) time.Duration {
	left := s.deadline.Sub(now)
	if s.route.Kind != route.Stream || s.exchange.Begun {
		return left
	}
	return min(left, abandonAfter(s.route)-now.Sub(s.req.Received))
}

// Callers give a silent stream up after the longest of these.
const (
	minFirstTokenWait   = 2 * time.Second
	targetLatencyFactor = 4
	maxPauseFactor      = 8
)

func abandonAfter(r *route.Route) time.Duration {
	return max(minFirstTokenWait, targetLatencyFactor*r.TargetLatency, maxPauseFactor*r.MaxPause)
}

// refuseTooLate refuses a request that would wait too long, with the time after which
// the queue will have fallen enough.
func (s *requestHandler) refuseTooLate(late time.Duration, c routing.Choice) *refusal.Refusal {
	r := refusal.New(refusal.DeadlineUnreachable, "first token expected in %v", c.Estimate).After(late + notReadyRetryAfter)
	if s.exchange.MayHaveRun() {
		return r.Unknown()
	}
	return r
}

// exclusionOf is the set of a runner that failed; see routing.Request.
func (p *pool) exclusionOf(id ident.RunnerID) prefix.Set {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Exclude(id)
}

// execute sends the request and passes the answer on. Nil means that the caller has
// its final answer; otherwise the failure says what is known of the attempt.
func (a *attempt) execute(ctx context.Context) *forward.Attempt {
	s := a.s
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.cancel = cancel
	s.pool.begin(a)
	defer s.pool.end(a)
	answer, err := s.edge.deps.Runners.Send(sendCtx, &Attempt{
		Request:     s.req,
		Runner:      a.choice.Runner,
		Address:     a.choice.Address,
		Workspace:   s.workspace,
		TimeLeft:    time.Until(s.deadline),
		Priority:    s.enginePriority(),
		FetchFrom:   a.choice.FetchFrom,
		LastEventID: s.lastEventID(),
	})
	if err != nil {
		return a.handleSendError(ctx, err)
	}
	defer answer.Body.Close()
	a.activity.note(time.Now())
	if answer.NotRun || answer.Misdirected {
		return a.handleNotRun(answer)
	}
	a.countStarted()
	if answer.Events {
		return a.stream(ctx, answer)
	}
	if s.exchange.Begun {
		return a.rejectNonStream()
	}
	return a.bufferAnswer(ctx, answer)
}

// rejectNonStream gives up an answer that is no stream where a stream that has begun should go on.
// Passed on, it would look like the end of a whole answer.
func (a *attempt) rejectNonStream() *forward.Attempt {
	a.finish()
	a.s.pool.observe(a.choice.Runner, health.Failure)
	a.recordFailure()
	return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
}

func (s *requestHandler) lastEventID() string {
	if s.events != nil && s.events.LastID() != "" {
		return s.events.LastID()
	}
	return s.req.LastEventID
}

// enginePriority is told to engines only.
func (s *requestHandler) enginePriority() int {
	if !s.pool.hasEngine() {
		return -1
	}
	return s.priority
}

func (a *attempt) handleSendError(ctx context.Context, err error) *forward.Attempt {
	failure := &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
	var send *SendError
	if errors.As(err, &send) {
		failure.Reason, failure.Sent, failure.MayHaveRun = send.Reason, send.Sent, send.Sent
	}
	if ctx.Err() != nil {
		a.interrupted(failure.Sent)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.recordFailure()
		}
		return failure
	}
	if a.abandoned.Load() {
		failure.Reason = retry.Silent
	}
	if failure.MayHaveRun {
		a.countStarted()
		a.finish()
		a.recordFailure()
	} else {
		a.s.pool.notStarted(&a.ticket, &a.s.routingRequest)
	}
	a.s.pool.observe(a.choice.Runner, health.Failure)
	return failure
}

// interrupted ends an attempt from our side: the caller has left or the time is over.
func (a *attempt) interrupted(sent bool) {
	if sent {
		a.s.exchange.Interrupted()
	}
	a.finish()
}

func (a *attempt) finish() { a.s.pool.finished(&a.ticket, 0) }

// handleNotRun takes in the runner's word that it did not run the request.
func (a *attempt) handleNotRun(answer *Answer) *forward.Attempt {
	a.s.pool.notStarted(&a.ticket, &a.s.routingRequest)
	failure := &forward.Attempt{Reason: retry.Busy, Sent: true, RetryAfter: 0}
	if answer.Misdirected {
		failure.Reason = retry.NotLoaded
		a.s.pool.observe(a.choice.Runner, health.Failure)
		return failure
	}
	if answer.Leaving {
		failure.Reason = retry.Leaving
	}
	a.s.pool.observe(a.choice.Runner, health.Success)
	return failure
}

// countStarted notes that the runner countStarted to run the request, for usage.
func (a *attempt) countStarted() {
	s := a.s
	if s.usageCounted || s.workspace == "" {
		return
	}
	s.usageCounted = true
	s.edge.mu.Lock()
	s.edge.usageBook.Began(s.edge.wallClock.At(s.edge.deps.Steady()), s.workspace)
	s.edge.mu.Unlock()
}

// bufferAnswer reads a body whole before it is passed on. What breaks off can then be
// asked for again, or be told as the failure that it is.
func (a *attempt) bufferAnswer(ctx context.Context, answer *Answer) *forward.Attempt {
	s := a.s
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	took := time.Since(a.sent)
	if err != nil {
		a.finish()
		if ctx.Err() != nil {
			s.exchange.Interrupted()
			return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true}
		}
		s.pool.observe(a.choice.Runner, health.Failure)
		a.recordFailure()
		return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
	}
	if len(body) > maxBufferedBytes {
		return a.streamBody(ctx, answer, body)
	}
	a.finish()
	buffered := &bufferedAnswer{answer.Status, answer.Header, body, a.choice.Runner}
	if answer.Status >= http.StatusInternalServerError {
		s.pool.observe(a.choice.Runner, health.Failure)
		a.recordFailure()
		s.buffered = buffered
		return &forward.Attempt{Reason: retry.ServerError, MayHaveRun: true, Sent: true}
	}
	s.pool.observe(a.choice.Runner, health.Success)
	s.edge.log.Time("answer_us", took)
	s.pool.observeServiceTime(a.choice, took)
	a.took(took, false)
	s.sendBuffered(buffered)
	return nil
}

// sendBuffered sends a held answer on.
func (s *requestHandler) sendBuffered(k *bufferedAnswer) {
	s.note("answered", decisions.F("runner", k.runner), decisions.F("status", k.status), decisions.F("bytes", len(k.body)))
	s.reply.Start(k.status, k.header, int64(len(k.body)), s.connectionClosing())
	if err := s.reply.Write(k.body); err != nil {
		s.reply.Abort()
		return
	}
	s.reply.Finish()
}

// streamBody sends a body on that is too long to be held.
func (a *attempt) streamBody(ctx context.Context, answer *Answer, first []byte) *forward.Attempt {
	s := a.s
	defer a.finish()
	s.exchange.Begun = true
	s.reply.Start(answer.Status, answer.Header, answer.Length, s.connectionClosing())
	chunk := first
	buffer := make([]byte, copyBufferBytes)
	for {
		if err := s.reply.Write(chunk); err != nil {
			s.reply.Abort()
			return nil
		}
		n, err := answer.Body.Read(buffer)
		chunk = buffer[:n]
		if errors.Is(err, io.EOF) {
			if s.reply.Write(chunk) != nil {
				s.reply.Abort()
				return nil
			}
			a.took(time.Since(a.sent), false)
			s.note("answered", decisions.F("runner", a.choice.Runner), decisions.F("status", answer.Status))
			s.reply.Finish()
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				s.exchange.Interrupted()
			} else {
				a.recordFailure()
			}
			return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: ctx.Err() == nil}
		}
	}
}
