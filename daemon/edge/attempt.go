package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
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
	// maxBufferedBytes is the largest body that is read completely before it is passed on, so
	// that an answer that breaks off can still be replaced by another attempt's.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the buffer that streams are copied through; an event has a
	// few hundred bytes.
	copyBufferBytes = 8 << 10
	// noRunnerRetryAfter is the retry time given to callers if no runner is available. A runner
	// whose entry has expired registers again within two seconds, and a new one takes a few
	// seconds to start. One second is shorter than both, so that callers are served soon after a
	// runner appears.
	noRunnerRetryAfter = time.Second
	// slowConnect is how long after the choice of its runner a request that has just got a connection is logged,
	// since the runner may have left meanwhile.
	slowConnect = 100 * time.Millisecond
)

// bufferedAnswer is a runner's answer that has been read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	runner ident.RunnerID
}

// attempt is a single send of the request to a runner.
type attempt struct {
	s      *requestHandler
	choice routing.Choice
	ticket routing.Ticket
	// entry is the runner's entry at the choice.
	entry Runner
	// permit is the permission of a limited runner's owner. rejected says that the runner
	// rejected the request for lack of room, rests that it has asked for rest, after which it may be
	// chosen again.
	permit          permit
	rejected, rests bool
	sent            time.Time
	// begun says that the runner's answer has begun. eventsBefore is the number of events that earlier
	// attempts have brought.
	begun        bool
	eventsBefore int
	// partsAnswered says that the answer has gone so far that the prompt's parts did not make the
	// runner fail.
	partsAnswered bool
	// firstEventAfter is the time from the send to the stream's first event, zero before it.
	firstEventAfter time.Duration
	// activity records when the last data was received from the runner. cancel ends the attempt
	// on this daemon's side, and abandoned says that it was ended because the runner is silent or
	// out of reach. dark says that the runner has answered no probe.
	activity        *activity
	cancel          context.CancelFunc
	abandoned, dark atomic.Bool
	trial           trialAttribution
	// helper is the daemon that serves the request in place of a runner; empty otherwise.
	helper ident.DaemonID
	// connected says that there is a connection to the runner, so that the request may be sent.
	connected atomic.Bool
}

// run makes attempts until one succeeds, no further attempt is allowed or the caller
// disconnects.
func (s *requestHandler) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	for {
		failure, a := s.attempt(ctx)
		if failure == nil || s.endIfCanceled(ctx) {
			return
		}
		var wait time.Duration
		var end *refusal.Refusal
		s.pool.withRetryPolicy(func(p *retry.Policy) { wait, end = s.exchange.HandleFailure(time.Now(), p, *failure) })
		runner := a.runner()
		s.note("attempt_failed", decisions.F("runner", runner), decisions.F("reason", failure.Reason),
			decisions.F("begun", a != nil && a.begun), decisions.F("events", a.eventCount()), decisions.F("parts", fmt.Sprint(s.parts)),
			causeField(s.content()), decisions.F("may_have_run", failure.MayHaveRun), decisions.F("attempts", s.exchange.Sent()),
			decisions.F("again", end == nil), decisions.F("wait", wait))
		s.edge.log.Count("attempt_failed." + string(failure.Reason))
		if end != nil {
			s.end(s.withRetryAfter(end))
			return
		}
		if !pause.For(ctx, wait) && s.endIfCanceled(ctx) {
			return
		}
		if a == nil || !a.rests {
			s.failedRunners = s.failedRunners.Or(s.pool.exclusionOf(runner))
		}
	}
}

// attempt makes one attempt: at a runner or, if this daemon reaches none, at another daemon. It
// returns nil if the caller has received the final answer, otherwise what is known about the
// failure, and the attempt if it was made at a runner.
func (s *requestHandler) attempt(ctx context.Context) (*forward.FailedAttempt, *attempt) {
	if r := s.checkCauses(ctx); r != nil {
		s.end(r)
		return nil, nil
	}
	if s.delegates() {
		if failure, asked := s.delegate(ctx); asked {
			return failure, nil
		}
	}
	r := s.prepare(ctx)
	var a *attempt
	if r == nil {
		a, r = s.chooseRunner(ctx)
	}
	if r != nil && r.Reason == refusal.NoRunner && !s.delegated && s.pool.paths.doubtful.Load() {
		if failure, asked := s.delegate(ctx); asked {
			return failure, nil
		}
	}
	if r != nil {
		s.end(r)
		return nil, nil
	}
	failure := a.execute(ctx)
	if failure != nil && !failure.Sent && failure.Reason != retry.Withdrawn {
		s.connectFailures++
	}
	if failure != nil {
		a.recordRunnerFailure(failure)
	}
	return failure, a
}

// runner returns the attempt's runner, empty if there is none.
func (a *attempt) runner() ident.RunnerID {
	if a == nil {
		return ""
	}
	return a.choice.Runner
}

// eventCount returns the number of whole events that the attempt has brought.
func (a *attempt) eventCount() int {
	if a == nil {
		return 0
	}
	return a.s.eventsSent() - a.eventsBefore
}

// endIfCanceled ends a request whose caller has disconnected or whose deadline has passed, and
// reports whether it did.
func (s *requestHandler) endIfCanceled(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.end(s.exchange.DeadlineRefusal().After(notReadyRetryAfter))
	default:
		s.note("caller_left", decisions.F("begun", s.exchange.AnswerBegun))
		s.reply.Abort()
	}
	return true
}

// withRetryAfter adds a retry time to a refusal that has none.
func (s *requestHandler) withRetryAfter(r *refusal.Refusal) *refusal.Refusal {
	if r.RetryAfter == 0 {
		return r.After(notReadyRetryAfter / 2)
	}
	return r
}

// end gives the final answer: the buffered server error of a runner if there is one, otherwise
// the refusal. If a part of the answer has already been sent, the answer can only be aborted.
func (s *requestHandler) end(r *refusal.Refusal) {
	if s.exchange.AnswerBegun {
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

// chooseRunner chooses a runner for the next attempt, or refuses a request that can't be served
// in time.
func (s *requestHandler) chooseRunner(ctx context.Context) (*attempt, *refusal.Refusal) {
	now := time.Now()
	if ctx.Err() != nil || !now.Before(s.deadline) {
		return nil, s.exchange.DeadlineRefusal().After(notReadyRetryAfter)
	}
	choice, permit, r := s.choosePermitted(ctx)
	if r != nil {
		return nil, r
	}
	now = time.Now()
	entry := s.pool.entryOf(choice.Runner)
	a := &attempt{s: s, choice: choice, eventsBefore: s.eventsSent(), entry: entry, permit: permit, sent: now, trial: s.trialAttributionOf(entry.Version)}
	a.ticket = s.pool.dispatch(now, choice, &s.routingRequest, s.exchange.Sent() == 0)
	s.countTrialDispatch()
	s.note("dispatched", decisions.F("runner", choice.Runner), decisions.F("version", a.entry.Version), decisions.F("estimate", choice.Estimate),
		decisions.F("uncached", choice.Uncached), decisions.F("ahead", choice.QueuedAhead), decisions.F("running", choice.Running), decisions.F("fetch_from", choice.FetchFrom), decisions.F("attempt", s.exchange.Sent()+1), decisions.F("cost", s.cost),
		decisions.F("list_age", s.pool.listAge()))
	return a, nil
}

func (s *requestHandler) refuseWithoutRunner(err error) *refusal.Refusal {
	if s.bound.known {
		return s.orUnknown(refusal.New(refusal.VersionUnavailable, "of version %q: %v", s.bound.version, err).After(noRunnerRetryAfter))
	}
	return s.orUnknown(refusal.New(refusal.NoRunner, "%v", err).After(noRunnerRetryAfter))
}

// orUnknown marks a refusal if an attempt may have run the request.
func (s *requestHandler) orUnknown(r *refusal.Refusal) *refusal.Refusal {
	if s.exchange.MayHaveRun() {
		return r.Unknown()
	}
	return r
}

// maxFirstTokenWait is how long the first token may take from now for the request to be worth
// sending. Callers abandon a stream that stays silent for longer than abandonAfter, and nobody
// waits past the deadline.
func (s *requestHandler) maxFirstTokenWait(now time.Time) time.Duration {
	left := s.deadline.Sub(now)
	if s.route.Kind != route.Stream || s.exchange.AnswerBegun {
		return left
	}
	return min(left, abandonAfter(s.route)-now.Sub(s.req.Received))
}

// Callers abandon a silent stream after the longest of minFirstTokenWait, targetLatencyFactor
// times the route's target latency, and maxPauseFactor times its longest allowed pause.
const (
	minFirstTokenWait   = 2 * time.Second
	targetLatencyFactor = 4
	maxPauseFactor      = 8
)

func abandonAfter(r *route.Route) time.Duration {
	return max(minFirstTokenWait, targetLatencyFactor*r.TargetLatency, maxPauseFactor*r.MaxPause)
}

// refuseTooLate refuses a request that would wait too long. The retry time is how long the
// queue will take to become short enough.
func (s *requestHandler) refuseTooLate(late time.Duration, c routing.Choice) *refusal.Refusal {
	return s.orUnknown(refusal.New(refusal.DeadlineUnreachable, "first token expected in %v", c.Estimate).After(late + notReadyRetryAfter))
}

// exclusionOf returns the set that excludes runners from a choice; see routing.Request.Exclude.
func (p *pool) exclusionOf(ids ...ident.RunnerID) prefix.Set {
	if len(ids) == 0 {
		return prefix.Set{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Exclude(ids...)
}

// execute sends the request and passes the answer on. It returns nil if the caller has received
// the final answer, otherwise what is known about the failure.
func (a *attempt) execute(ctx context.Context) *forward.FailedAttempt {
	s := a.s
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.cancel = cancel
	s.pool.beginAttempt(a)
	defer s.pool.endAttempt(a)
	defer func() { s.edge.returnPermit(a.permit, a.rejected) }()
	answer, err := s.edge.deps.Runners.Send(sendCtx, &Attempt{
		Request:     s.req,
		Runner:      a.choice.Runner,
		Address:     a.choice.Address,
		Workspace:   s.workspace,
		TimeLeft:    time.Until(s.deadline),
		Priority:    s.enginePriority(),
		FetchFrom:   a.choice.FetchFrom,
		LastEventID: s.lastEventID(),
		Connected:   a.handleConnected,
	})
	if err != nil {
		return a.handleSendError(ctx, err)
	}
	defer answer.Body.Close()
	a.recordHeard()
	a.observeStatements(answer)
	if answer.NotRun || answer.Misdirected {
		return a.handleNotRun(answer)
	}
	a.begun = true
	a.countStarted()
	if answer.Unframed {
		answer.Body = &unframedBody{ReadCloser: answer.Body, attempt: a, needsData: answer.Events}
	}
	if answer.Events {
		return a.stream(ctx, answer)
	}
	if s.exchange.AnswerBegun {
		return a.rejectNonStream()
	}
	return a.bufferAnswer(ctx, answer)
}

// observeStatements takes up what the runner says of itself in an answer, whatever became of the request. An
// answer of another runner at the same address says nothing of this one.
func (a *attempt) observeStatements(answer *Answer) {
	if answer.Misdirected {
		return
	}
	a.observeLimits(answer)
	a.observeLeaving(answer)
	a.observeRest(answer)
}

// rejectNonStream fails an attempt that should resume a stream but was answered with something
// other than an event stream. Passed on, that body would look like the end of a complete
// answer.
func (a *attempt) rejectNonStream() *forward.FailedAttempt {
	a.finish()
	a.s.pool.observe(a.choice.Runner, health.Failure)
	a.recordFailure()
	return &forward.FailedAttempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
}

// handleConnected records that there is a connection to the runner, and reports whether the request may still
// be sent: while the connection was being opened, runners may have failed under it, or this one may have
// left or asked for rest.
func (a *attempt) handleConnected() bool {
	a.connected.Store(true)
	e := a.s.edge
	state := a.s.pool.entryOf(a.choice.Runner).State
	if took := time.Since(a.sent); took >= slowConnect {
		a.s.note("connected_late", decisions.F("runner", a.choice.Runner), decisions.F("after", took), decisions.F("state", state),
			decisions.F("list_age", a.s.pool.listAge()))
	}
	return len(a.s.blockingCauses()) == 0 && state != view.Leaving && state != "" && !e.rests.resting(e.deps.Steady(), a.choice.Runner)
}

func (s *requestHandler) lastEventID() string {
	if s.events != nil && s.events.LastID() != "" {
		return s.events.LastID()
	}
	return s.req.LastEventID
}

// enginePriority returns the request's priority for model engines; other runners are not told
// any.
func (s *requestHandler) enginePriority() int {
	if !s.pool.hasEngine() {
		return -1
	}
	return s.priority
}

func (a *attempt) handleSendError(ctx context.Context, err error) *forward.FailedAttempt {
	failure := &forward.FailedAttempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
	var send *SendError
	if errors.As(err, &send) {
		failure.Reason, failure.Sent, failure.MayHaveRun = send.Reason, send.Sent, send.Sent
	}
	if ctx.Err() != nil {
		a.endInterrupted(failure.Sent)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.recordFailure()
			a.s.pool.recordPathFailure(a.choice.Runner)
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
		a.s.pool.recordNotStarted(&a.ticket, &a.s.routingRequest)
	}
	if failure.Reason == retry.Withdrawn {
		return failure
	}
	a.s.pool.observe(a.choice.Runner, health.Failure)
	a.s.pool.recordPathFailure(a.choice.Runner)
	return failure
}

// endInterrupted ends an attempt because the caller has disconnected or the deadline has passed.
func (a *attempt) endInterrupted(sent bool) {
	if sent {
		a.s.exchange.RecordInterrupted()
	}
	a.finish()
}

func (a *attempt) finish() { a.s.pool.recordFinished(&a.ticket, 0) }

// handleNotRun handles a runner's statement that it did not run the request.
func (a *attempt) handleNotRun(answer *Answer) *forward.FailedAttempt {
	a.s.pool.recordNotStarted(&a.ticket, &a.s.routingRequest)
	failure := &forward.FailedAttempt{Reason: retry.Busy, Sent: true, RetryAfter: 0}
	if answer.Misdirected {
		failure.Reason = retry.NotLoaded
		a.s.pool.observe(a.choice.Runner, health.Failure)
		return failure
	}
	a.rejected = true
	if answer.Leaving {
		failure.Reason = retry.Leaving
	}
	a.s.pool.observe(a.choice.Runner, health.Success)
	return failure
}

// countStarted counts the request for the usage report once a runner has begun to run it.
func (a *attempt) countStarted() {
	s := a.s
	if s.usageCounted || s.workspace == "" {
		return
	}
	s.usageCounted = true
	s.edge.mu.Lock()
	s.edge.usageLedger.RecordStart(s.edge.wallClock.At(s.edge.deps.Steady()), s.workspace)
	s.edge.mu.Unlock()
}

// bufferAnswer reads a body completely before it is passed on. If the body breaks off, the
// request can be repeated, or the caller can be told of the failure.
func (a *attempt) bufferAnswer(ctx context.Context, answer *Answer) *forward.FailedAttempt {
	s := a.s
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	took := time.Since(a.sent)
	if err != nil {
		a.finish()
		if ctx.Err() != nil {
			s.exchange.RecordInterrupted()
			return &forward.FailedAttempt{Reason: retry.Broken, MayHaveRun: true}
		}
		s.pool.observe(a.choice.Runner, health.Failure)
		a.recordFailure()
		return &forward.FailedAttempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
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
		return &forward.FailedAttempt{Reason: retry.ServerError, MayHaveRun: true, Sent: true}
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
		s.reply.Abort()
		return
	}
	s.reply.Finish()
}

// streamBody passes a body on that is too long to be buffered.
func (a *attempt) streamBody(ctx context.Context, answer *Answer, first []byte) *forward.FailedAttempt {
	s := a.s
	defer a.finish()
	s.exchange.AnswerBegun = true
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
			a.recordAnswered()
			a.took(time.Since(a.sent), false)
			s.note("answered", decisions.F("runner", a.choice.Runner), decisions.F("status", answer.Status))
			s.reply.Finish()
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				s.exchange.RecordInterrupted()
			} else {
				a.recordFailure()
			}
			return &forward.FailedAttempt{Reason: retry.Broken, MayHaveRun: true, Sent: ctx.Err() == nil}
		}
	}
}
