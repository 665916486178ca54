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
	// heldBytes is the largest body that is read whole before it is passed on,
	// so that an answer that breaks off can still be replaced.
	heldBytes = 256 << 10
	// copyBytes is read of a stream at a time; an event has a few hundred bytes.
	copyBytes = 8 << 10
	// noRunnerAfter is what a refusal for want of any runner asks for: one that
	// starts takes a few seconds, one whose entry has lapsed is back within two.
	noRunnerAfter = time.Second
)

// keptAnswer is a whole answer of a runner that is held.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
	runner ident.RunnerID
}

// attempt is one send and what belongs to it.
type attempt struct {
	s      *serving
	choice routing.Choice
	ticket routing.Ticket
	sent   time.Time
	// first is the time to the first event, zero before it.
	first time.Duration
	// activity is the runner's; cancel gives the attempt up from our side, and
	// abandoned says that this was done because the runner is silent.
	activity  *activity
	cancel    context.CancelFunc
	abandoned atomic.Bool
	trial     judged
}

// run makes attempts until one answers, the exchange ends or the caller leaves.
func (s *serving) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	for {
		a, r := s.chooseRunner(ctx)
		if r != nil {
			s.end(r)
			return
		}
		failure := a.make(ctx)
		if failure == nil {
			return
		}
		if s.gone(ctx) {
			return
		}
		var wait time.Duration
		var end *refusal.Refusal
		s.pool.next(func(p *retry.Policy) { wait, end = s.exchange.Next(time.Now(), p, *failure) })
		s.note("attempt_failed", decisions.F("runner", a.choice.Runner), decisions.F("reason", failure.Reason),
			decisions.F("may_have_run", failure.MayHaveRun), decisions.F("attempts", s.exchange.Sent()),
			decisions.F("again", end == nil), decisions.F("wait", wait))
		s.edge.log.Count("attempt_failed." + string(failure.Reason))
		if end != nil {
			s.end(s.comeBack(end))
			return
		}
		if !pause.For(ctx, wait) && s.gone(ctx) {
			return
		}
		s.failed = s.failed.Or(s.pool.exclude(a.choice.Runner))
		s.place.Exclude = s.failed
	}
}

// gone ends a request whose caller has left or whose time is over.
func (s *serving) gone(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.end(s.exchange.Expired().After(notReadyAfter))
	default:
		s.note("caller_left", decisions.F("begun", s.exchange.Begun))
		s.reply.Abort()
	}
	return true
}

// comeBack adds when to come back to a refusal.
func (s *serving) comeBack(r *refusal.Refusal) *refusal.Refusal {
	if r.RetryAfter == 0 {
		return r.After(notReadyAfter / 2)
	}
	return r
}

// end gives the final answer: a runner's own failure that was held, or a refusal.
// A request whose answer has begun can only be broken off.
func (s *serving) end(r *refusal.Refusal) {
	if s.exchange.Begun {
		s.note("broken_off", decisions.F("reason", r.Reason), decisions.F("detail", r.Detail), decisions.F("events", s.passed()))
		s.edge.log.Count("broken_off." + string(r.Reason))
		s.reply.Abort()
		return
	}
	if s.kept != nil {
		s.pass(s.kept)
		return
	}
	s.refuse(r)
}

func (s *serving) passed() int {
	if s.events == nil {
		return 0
	}
	return s.events.Events()
}

// chooseRunner chooses a runner for the next attempt, or refuses at once what can't be
// served in time.
func (s *serving) chooseRunner(ctx context.Context) (*attempt, *refusal.Refusal) {
	now := time.Now()
	if ctx.Err() != nil || !now.Before(s.deadline) {
		return nil, s.exchange.Expired().After(notReadyAfter)
	}
	choice, err := s.pick(ctx, now)
	s.advised = ""
	if err != nil {
		return nil, s.withoutRunner(err)
	}
	if late := choice.Estimate - s.useful(now); late > 0 && s.edge.set.Policy.Uses(RefuseEarly) {
		return nil, s.tooLate(late, choice)
	}
	a := &attempt{s: s, choice: choice, sent: now, trial: s.trialOf(choice.Runner)}
	a.ticket = s.pool.dispatch(now, choice, &s.place, s.exchange.Sent() == 0)
	s.dispatched()
	s.note("dispatched", decisions.F("runner", choice.Runner), decisions.F("estimate", choice.Estimate),
		decisions.F("uncached", choice.Uncached), decisions.F("ahead", choice.QueuedAhead), decisions.F("running", choice.Running), decisions.F("fetch_from", choice.FetchFrom), decisions.F("attempt", s.exchange.Sent()+1), decisions.F("cost", s.cost))
	return a, nil
}

func (s *serving) withoutRunner(err error) *refusal.Refusal {
	r := refusal.New(refusal.NoRunner, "%v", err).After(noRunnerAfter)
	if s.exchange.MayHaveRun() {
		return r.Unknown()
	}
	return r
}

// useful is how long the first token may take from now for the request to be
// worth sending: callers leave a stream that is silent for patience, and nobody
// waits past the deadline.
func (s *serving) useful(now time.Time) time.Duration {
	left := s.deadline.Sub(now)
	if s.route.Kind != route.Stream || s.exchange.Begun {
		return left
	}
	return min(left, patience(s.route)-now.Sub(s.req.Received))
}

// Callers give a silent stream up after the longest of these.
const (
	leastPatience  = 2 * time.Second
	targetPatience = 4
	pausePatience  = 8
)

func patience(r *route.Route) time.Duration {
	return max(leastPatience, targetPatience*r.TargetLatency, pausePatience*r.MaxPause)
}

// tooLate refuses a request that would wait too long, with the time after which
// the queue will have fallen enough.
func (s *serving) tooLate(late time.Duration, c routing.Choice) *refusal.Refusal {
	r := refusal.New(refusal.DeadlineUnreachable, "first token expected in %v", c.Estimate).After(late + notReadyAfter)
	if s.exchange.MayHaveRun() {
		return r.Unknown()
	}
	return r
}

// exclude is the set of a runner that failed; see routing.Request.
func (p *pool) exclude(id ident.RunnerID) prefix.Set {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Exclude(id)
}

// make sends the request and passes the answer on. Nil means that the caller has
// its final answer; otherwise the failure says what is known of the attempt.
func (a *attempt) make(ctx context.Context) *forward.Attempt {
	s := a.s
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.cancel = cancel
	s.pool.beginAttempt(a)
	defer s.pool.endAttempt(a)
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
		return a.failedToSend(ctx, err)
	}
	defer answer.Body.Close()
	a.activity.recordHeard(time.Now())
	if answer.NotRun || answer.Misdirected {
		return a.notRun(answer)
	}
	a.began()
	if answer.Events {
		return a.stream(ctx, answer)
	}
	if s.exchange.Begun {
		return a.unfit()
	}
	return a.hold(ctx, answer)
}

// unfit gives up an answer that is no stream where a stream that has begun should go on.
// Passed on, it would look like the end of a whole answer.
func (a *attempt) unfit() *forward.Attempt {
	a.finish()
	a.s.pool.observe(a.choice.Runner, health.Failure)
	a.failed()
	return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
}

func (s *serving) lastEventID() string {
	if s.events != nil && s.events.LastID() != "" {
		return s.events.LastID()
	}
	return s.req.LastEventID
}

// enginePriority is told to engines only.
func (s *serving) enginePriority() int {
	if !s.pool.hasEngine() {
		return -1
	}
	return s.priority
}

func (a *attempt) failedToSend(ctx context.Context, err error) *forward.Attempt {
	failure := &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
	var send *SendError
	if errors.As(err, &send) {
		failure.Reason, failure.Sent, failure.MayHaveRun = send.Reason, send.Sent, send.Sent
	}
	if ctx.Err() != nil {
		a.cut(failure.Sent)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.failed()
		}
		return failure
	}
	if a.abandoned.Load() {
		failure.Reason = retry.Silent
	}
	if failure.MayHaveRun {
		a.began()
		a.finish()
		a.failed()
	} else {
		a.s.pool.notStarted(&a.ticket, &a.s.place)
	}
	a.s.pool.observe(a.choice.Runner, health.Failure)
	return failure
}

// cut ends an attempt from our side: the caller has left or the time is over.
func (a *attempt) cut(sent bool) {
	if sent {
		a.s.exchange.Interrupted()
	}
	a.finish()
}

func (a *attempt) finish() { a.s.pool.finished(&a.ticket, 0) }

// notRun takes in the runner's word that it did not run the request.
func (a *attempt) notRun(answer *Answer) *forward.Attempt {
	a.s.pool.notStarted(&a.ticket, &a.s.place)
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

// began notes that the runner began to run the request, for usage.
func (a *attempt) began() {
	s := a.s
	if s.counted || s.workspace == "" {
		return
	}
	s.counted = true
	s.edge.mu.Lock()
	s.edge.book.RecordStart(s.edge.wall.At(s.edge.deps.Steady()), s.workspace)
	s.edge.mu.Unlock()
}

// hold reads a body whole before it is passed on. What breaks off can then be
// asked for again, or be told as the failure that it is.
func (a *attempt) hold(ctx context.Context, answer *Answer) *forward.Attempt {
	s := a.s
	body, err := io.ReadAll(io.LimitReader(answer.Body, heldBytes+1))
	took := time.Since(a.sent)
	if err != nil {
		a.finish()
		if ctx.Err() != nil {
			s.exchange.Interrupted()
			return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true}
		}
		s.pool.observe(a.choice.Runner, health.Failure)
		a.failed()
		return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: true}
	}
	if len(body) > heldBytes {
		return a.passLong(ctx, answer, body)
	}
	a.finish()
	kept := &keptAnswer{answer.Status, answer.Header, body, a.choice.Runner}
	if answer.Status >= http.StatusInternalServerError {
		s.pool.observe(a.choice.Runner, health.Failure)
		a.failed()
		s.kept = kept
		return &forward.Attempt{Reason: retry.ServerError, MayHaveRun: true, Sent: true}
	}
	s.pool.observe(a.choice.Runner, health.Success)
	s.edge.log.Time("answer_us", took)
	s.pool.answered(a.choice, took)
	a.took(took, false)
	s.pass(kept)
	return nil
}

// pass sends a held answer on.
func (s *serving) pass(k *keptAnswer) {
	s.note("answered", decisions.F("runner", k.runner), decisions.F("status", k.status), decisions.F("bytes", len(k.body)))
	s.reply.Start(k.status, k.header, int64(len(k.body)), s.closing())
	if err := s.reply.Write(k.body); err != nil {
		s.reply.Abort()
		return
	}
	s.reply.Finish()
}

// passLong sends a body on that is too long to be held.
func (a *attempt) passLong(ctx context.Context, answer *Answer, first []byte) *forward.Attempt {
	s := a.s
	defer a.finish()
	s.exchange.Begun = true
	s.reply.Start(answer.Status, answer.Header, answer.Length, s.closing())
	chunk := first
	buffer := make([]byte, copyBytes)
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
				a.failed()
			}
			return &forward.Attempt{Reason: retry.Broken, MayHaveRun: true, Sent: ctx.Err() == nil}
		}
	}
}
