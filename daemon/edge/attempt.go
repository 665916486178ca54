package edge

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
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

// attempt is a single send of the request to a runner.
type attempt struct {
	s      *requestHandler
	choice routing.Choice
	ticket routing.Ticket
	// entry is the runner's entry at the choice.
	entry Runner
	// priority is the request's priority at the runner, negative if it is told none.
	priority int
	// permit is the permission of a limited runner's owner. rejected says that the runner
	// rejected the request for lack of room, rests that it has asked for rest, after which it may be
	// chosen again.
	permit          permit
	rejected, rests bool
	sent            time.Time
	// begun says that the runner's answer has begun, events that it is an event stream. eventsBefore is the
	// number of events that earlier attempts have brought.
	begun, events bool
	eventsBefore  int
	// partsAnswered says that the answer has gone so far that the prompt's parts did not make the
	// runner fail.
	partsAnswered bool
	// firstEventAfter is the time from the send to the stream's first event, zero before it.
	firstEventAfter time.Duration
	// activity records when the last data was received from the runner. cancel ends the attempt
	// on this daemon's side, and abandoned says that it was ended, before there was a connection, because the
	// runner is silent or out of reach. dark says that the runner has answered no probe.
	activity        *activity
	cancel          context.CancelFunc
	abandoned, dark atomic.Bool
	trial           trialAttribution
	// parent is the context that the attempt was made with. onRelease is called at its end, and recordRead when the
	// runner has read the prompt, unless it is nil.
	parent     context.Context
	onRelease  []func()
	recordRead func()
	watch      watch
	// takenOver is what has taken the attempt over; nil if nothing has. counted says that the attempt counts as
	// a send already.
	takenOver *openAnswer
	counted   bool
	// handover records that the request was sent to the runner, or handed to the helper; nil before that.
	handover *forward.Handover
	// isRetry says that the retry budget was charged for the attempt, which reaches its runner.
	isRetry bool
	// helper is the daemon that serves the request in place of a runner, and helperBody its answer; empty
	// otherwise.
	helper      ident.DaemonID
	helperBody  *helperBody
	helperSends helperSends
	// connected says that there is a connection to the runner, so that the request may be sent. incarnation is the
	// one that the runner at the other end has said it is; empty if it wasn't asked or didn't say.
	connected   atomic.Bool
	incarnation ident.RunnerID
	// doesNotSay says that the runner has answered the question without saying which incarnation it is.
	doesNotSay bool
	// foundRestarted says that another incarnation than the one that was chosen has answered.
	foundRestarted bool
	// broke is the error with which the send or the answer has ended; nil if there was none.
	broke error
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
		return nil, forward.DeadlineRefusal().After(notReadyRetryAfter)
	}
	choice, permit, r := s.choosePermitted(ctx)
	if r != nil {
		return nil, r
	}
	now = time.Now()
	entry := s.pool.entryOf(choice.Runner)
	a := &attempt{s: s, choice: choice, eventsBefore: s.eventsSent(), entry: entry, permit: permit, sent: now, trial: s.trialAttributionOf(entry.Version)}
	a.ticket = s.pool.dispatch(now, choice, &s.routingRequest)
	paidIn := s.countDispatch(now)
	a.priority = s.enginePriority()
	a.recordShareDispatch()
	s.note("dispatched", decisions.F("runner", choice.Runner), decisions.F("version", a.entry.Version), decisions.F("estimate", choice.Estimate),
		decisions.F("failure_chance", choice.FailureChance), decisions.F("uncached", choice.Uncached), decisions.F("ahead", choice.QueuedAhead), decisions.F("running", choice.Running), decisions.F("fetch_from", choice.FetchFrom), decisions.F("attempt", s.exchange.Sent()+1), decisions.F("paid_in", paidIn), decisions.F("cost", s.cost), decisions.F("rank", a.priority),
		decisions.F("list_age", s.pool.listAge()))
	return a, nil
}

func (s *requestHandler) refuseWithoutRunner(err error) *refusal.Refusal {
	if s.bound.known {
		return refusal.New(refusal.VersionUnavailable, "of version %q: %v", s.bound.version, err).After(noRunnerRetryAfter)
	}
	return refusal.New(refusal.NoRunner, "%v", err).After(noRunnerRetryAfter)
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

// open sends the request and waits until the answer begins, or that of the attempt that has taken over. Without an
// answer it returns what is known about the failure.
func (a *attempt) open(ctx context.Context) (*openAnswer, *forward.FailedAttempt) {
	answer, err := a.send(ctx)
	if next := a.takenOver; next != nil {
		if err == nil {
			answer.Body.Close()
		}
		a.endTakenOver()
		a.release()
		return next, nil
	}
	var failure *forward.FailedAttempt
	if err != nil {
		failure = a.handleSendError(ctx, err)
	} else {
		failure = a.begin(answer)
	}
	if failure != nil {
		if err == nil {
			answer.Body.Close()
		}
		a.release()
		return nil, failure
	}
	return &openAnswer{a, answer}, nil
}

// send sends the request to the runner. If it fails, another attempt may have taken over.
func (a *attempt) send(ctx context.Context) (*Answer, error) {
	s := a.s
	a.parent = ctx
	sendCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	s.pool.beginAttempt(a)
	answer, err := s.edge.deps.Runners.Send(sendCtx, &Attempt{
		Request:     s.req,
		Runner:      a.choice.Runner,
		Address:     a.choice.Address,
		Workspace:   s.workspace,
		Deadline:    s.deadline,
		Priority:    a.priority,
		FetchFrom:   a.choice.FetchFrom,
		LastEventID: s.lastEventID(),
		Identified:  a.onIdentified(),
		Connected:   a.handleConnected,
	})
	a.settleHandover(err)
	if err == nil {
		a.connected.Store(true)
		a.recordHeard()
	}
	a.meterCrossing(answer, err)
	// An answer that the caller won't get is no reason to end a hedge.
	a.endWait(err == nil && !answer.NotRun && !answer.Misdirected && !answer.isPlainError())
	return answer, err
}

// begin takes up the beginning of an answer. It returns a failure if the answer isn't one that the caller may
// get.
func (a *attempt) begin(answer *Answer) *forward.FailedAttempt {
	a.observeConnectionUse(answer)
	a.observeStatements(answer)
	if answer.NotRun || answer.Misdirected {
		return a.handleNotRun(answer)
	}
	a.begun, a.events = true, answer.Events
	a.countStarted()
	if a.s.exchange.AnswerBegun && !answer.Events {
		// Passed on, this body would look like the end of a complete stream.
		return a.rejectAnswer()
	}
	if answer.Length > MaxAnswerBytes {
		return a.rejectAnswer()
	}
	answer.Body = &sizedBody{ReadCloser: answer.Body, left: MaxAnswerBytes}
	if answer.Unframed {
		answer.Body = &unframedBody{ReadCloser: answer.Body, attempt: a, needsData: answer.Events, connectionEnd: answer.ConnectionEnd}
	}
	answer.Body = &watchedBody{ReadCloser: answer.Body, attempt: a}
	return nil
}

// release gives back what the attempt holds.
func (a *attempt) release() {
	for _, f := range a.onRelease {
		f()
	}
	a.cancel()
	if a.helper != "" {
		a.s.edge.helperCalls.end(a)
		return
	}
	a.s.pool.endAttempt(a)
	a.s.edge.returnPermit(a.permit, a.rejected)
}

// passOn passes the answer on to the caller. It returns nil if the caller has received the final answer or
// another attempt has taken over, otherwise what is known about the failure.
func (a *attempt) passOn(ctx context.Context, answer *Answer) *forward.FailedAttempt {
	switch {
	case a.helper != "":
		return a.passOnHelper(ctx, answer)
	case answer.Events:
		return a.stream(ctx, answer)
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

// observeConnectionUse records what the attempt's connection has carried beside its request and answer.
func (a *attempt) observeConnectionUse(answer *Answer) {
	log := a.s.edge.log
	if answer.LateAnswers > 0 {
		a.s.note("late_answers", decisions.F("runner", a.choice.Runner), decisions.F("number", answer.LateAnswers))
		log.Add("late_answers", answer.LateAnswers)
	}
	if answer.PassedOver > 0 {
		log.Add("connections_passed_over", answer.PassedOver)
	}
}

// handleConnected records that there is a connection to the runner, and reports whether the request may still
// be sent: while the connection was being opened, runners may have failed under it, or this one may have
// left or asked for rest, or is another incarnation than the one that was chosen.
func (a *attempt) handleConnected() bool {
	e := a.s.edge
	state := a.s.pool.entryOf(a.choice.Runner).State
	a.observeConnection(time.Since(a.sent))
	if took := time.Since(a.sent); took >= slowConnect {
		a.s.note("connected_late", decisions.F("runner", a.choice.Runner), decisions.F("after", took), decisions.F("state", state),
			decisions.F("list_age", a.s.pool.listAge()))
	}
	if !a.mayBegin() || len(a.s.blockingCauses()) > 0 || state == view.Leaving || state == "" || e.rests.resting(e.deps.Steady(), a.choice.Runner) {
		return false
	}
	if !a.beginHandover() {
		return false
	}
	a.useRetry()
	a.s.tellAttempt()
	// From here on a hedge may use the request's state.
	a.connected.Store(true)
	a.beginWait()
	return true
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
	return s.sharePriority()
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
