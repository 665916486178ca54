package action

import (
	"container/heap"
	"time"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

type record struct {
	id              actionkey.ID
	bodyHash        string
	state           State
	expires         time.Time
	journalPromised bool // the token's promise
	durable         bool
	policy          manifest.OutagePolicy
	// call is dropped once it has been dispatched.
	call          *call.ServiceCall
	result        Result
	answerDropped bool
	bytes         int
	waiters       []Waiter
}

// Owner is the table of the actions that one incarnation alone may dispatch.
// It is not safe for concurrent use.
type Owner struct {
	cfg     Config
	writer  *journal.Writer
	records map[actionkey.ID]*record
	expiry  expiryQueue
	// received lists actions that wait for the journal, oldest first.
	received   []*record
	dispatched int
	bytes      int
	tombstones tombstones
	draining   bool
	ended      bool
	effects    []Effect
}

// NewOwner returns an owner with an empty table.
func NewOwner(now time.Time, cfg Config) *Owner {
	return &Owner{
		cfg:        cfg,
		writer:     journal.NewWriter(now, cfg.Journal),
		records:    map[actionkey.ID]*record{},
		tombstones: newTombstones(cfg.MaxTombstones),
	}
}

// Incarnation names the owner.
func (o *Owner) Incarnation() ident.Incarnation { return o.cfg.Owner }

// Token returns a token of this owner. While the journal can't be written it
// doesn't promise that its keys are journaled before they are dispatched.
func (o *Owner) Token(now time.Time) actionkey.Token {
	return actionkey.Token{
		Owner:     o.cfg.Owner,
		Issued:    now.Truncate(time.Millisecond),
		Lifetime:  o.cfg.TokenLifetime,
		Journaled: !o.writer.Unavailable(now),
	}
}

// Ended tells whether the owner dispatches nothing any more.
func (o *Owner) Ended() bool { return o.ended }

// DispatchedCount tells how many actions are dispatched without a result.
func (o *Owner) DispatchedCount() int { return o.dispatched }

// Len tells how many actions the table holds.
func (o *Owner) Len() int { return len(o.records) }

// Submit takes a caller's request in.
func (o *Owner) Submit(now time.Time, r Request) []Effect {
	if rec, ok := o.records[r.ID]; ok {
		o.attachDuplicate(rec, r)
		return o.flush(now)
	}
	if refused := o.refusalForNewKey(now, r); refused != nil {
		o.reply(r.Waiter, Result{Refusal: refused})
		return o.flush(now)
	}
	o.accept(r)
	return o.flush(now)
}

// attachDuplicate attaches a duplicate to the one execution.
func (o *Owner) attachDuplicate(rec *record, r Request) {
	if rec.bodyHash != r.BodyHash {
		// Unknown, not "no": its caller may take it for a repetition of the
		// call that holds the key, and that one may have run.
		o.reply(r.Waiter, Result{Refusal: refusal.New(refusal.KeyReused,
			"another call holds this key; use a new suffix").Unknown()})
		return
	}
	if rec.state.final() {
		o.reply(r.Waiter, rec.retainedResult())
		return
	}
	rec.waiters = append(rec.waiters, r.Waiter)
}

// retainedResult is the result as far as it was retainedResult.
func (r *record) retainedResult() Result {
	if r.answerDropped {
		refused := refusal.New(refusal.AnswerNotKept, "it ran; its answer was too large to keep")
		refused.Executed = refusal.ExecutedYes
		return Result{Refusal: refused}
	}
	return r.result
}

// refusalForNewKey returns why a key that is not in the table can't be accepted, or nil.
// Whatever is refused with executed "no" is remembered or can never be
// accepted later: a copy of the same request may still be under way through
// another gateway, and it must not run after this one's caller was told "no".
func (o *Owner) refusalForNewKey(now time.Time, r Request) *refusal.Refusal {
	key, err := actionkey.Parse(r.ID.Key)
	if err != nil {
		return refusal.New(refusal.KeyMalformed, "%v", err)
	}
	if key.Owner != o.cfg.Owner {
		return refusal.New(refusal.OwnerGone, "not the key's owner").Unknown()
	}
	if key.Issued.After(now) || key.Lifetime > o.cfg.TokenLifetime {
		// Not "no": time could make the same key good.
		return refusal.New(refusal.KeyMalformed, "token was not issued here").Unknown()
	}
	if !now.Before(key.Expires()) {
		return o.expiredRefusal()
	}
	if o.tombstones.has(r.ID) {
		return refusal.New(refusal.ActionTableFull, "refused before").After(newKeyRetryAfter)
	}
	if o.atCapacity(r) {
		return o.tableFullRefusal(r.ID, key)
	}
	return nil
}

// expiredRefusal doesn't say "no": an expired key's record may have been
// dropped after the action ran.
func (o *Owner) expiredRefusal() *refusal.Refusal {
	expired := refusal.New(refusal.KeyExpired, "key is over; nothing is known of it")
	if o.cfg.Fault == FaultExpiredNotExecuted {
		return expired
	}
	return expired.Unknown()
}

func (o *Owner) atCapacity(r Request) bool {
	return len(o.records) >= o.cfg.MaxRecords ||
		o.bytes+len(r.Call.Body)+o.cfg.AnswerReserve > o.cfg.MaxBytes
}

// newKeyRetryAfter is when a caller may come back with a new key.
const newKeyRetryAfter = time.Second

func (o *Owner) tableFullRefusal(id actionkey.ID, key actionkey.Key) *refusal.Refusal {
	refused := refusal.New(refusal.ActionTableFull, "too many actions").After(newKeyRetryAfter)
	if o.cfg.Fault == FaultNoTombstones || o.tombstones.add(id, key.Expires()) {
		return refused
	}
	return refused.Unknown()
}

func (o *Owner) accept(r Request) {
	key, err := actionkey.Parse(r.ID.Key)
	if err != nil {
		return // refuse has looked at it
	}
	rec := &record{
		id:              r.ID,
		bodyHash:        r.BodyHash,
		state:           Received,
		expires:         key.Expires(),
		journalPromised: key.Journaled,
		policy:          r.Policy,
		call:            &r.Call,
		bytes:           len(r.Call.Body) + o.cfg.AnswerReserve,
		waiters:         []Waiter{r.Waiter},
	}
	o.bytes += rec.bytes
	o.records[r.ID] = rec
	heap.Push(&o.expiry, expiryEntry{rec: rec, at: rec.expires.Add(o.cfg.Grace).UnixMilli()})
	if refused := o.admissionRefusal(r); refused != nil {
		o.settle(rec, NotExecuted, Result{Refusal: refused})
		return
	}
	o.received = append(o.received, rec)
	o.writer.Intend(journal.Intent{ID: rec.id, BodyHash: rec.bodyHash})
	if o.cfg.Fault == FaultDispatchBeforeJournal {
		o.dispatch(rec)
	}
}

func (o *Owner) admissionRefusal(r Request) *refusal.Refusal {
	switch {
	case r.Inadmissible != nil:
		return r.Inadmissible
	case o.ended:
		return refusal.New(refusal.OwnerGone, "owner has ended; take a new token").After(newKeyRetryAfter)
	case o.draining:
		return refusal.New(refusal.Draining, "VM is leaving; take a new token").After(newKeyRetryAfter)
	}
	return nil
}

// HandleFinished takes the end of a dispatch in.
func (o *Owner) HandleFinished(now time.Time, id actionkey.ID, r Result) []Effect {
	rec, ok := o.records[id]
	if !ok || rec.state != Dispatched {
		return nil
	}
	o.dispatched--
	o.settle(rec, stateForResult(r), r)
	o.writer.Record(now, journalOutcome(rec))
	o.retainAnswer(rec)
	return o.flush(now)
}

// AbandonWait ends the wait of a caller. An action that was not dispatched and
// that nobody else waits for never runs.
func (o *Owner) AbandonWait(now time.Time, id actionkey.ID, w Waiter) []Effect {
	rec, ok := o.records[id]
	if !ok || rec.state.final() {
		return nil
	}
	rec.removeWaiter(w)
	if rec.state != Received || len(rec.waiters) > 0 {
		o.reply(w, Result{Refusal: refusal.New(refusal.DeadlineExceeded,
			"still in progress; ask for its outcome").Unknown()})
		return o.flush(now)
	}
	rec.waiters = append(rec.waiters, w)
	o.settle(rec, NotExecuted, Result{Refusal: refusal.New(refusal.DeadlineExceeded,
		"not dispatched in time")})
	return o.flush(now)
}

func (r *record) removeWaiter(w Waiter) {
	for i := range r.waiters {
		if r.waiters[i] == w {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// Lookup tells what is known of an action, without running it.
func (o *Owner) Lookup(id actionkey.ID) (r Result, pending bool) {
	if rec, ok := o.records[id]; ok {
		return rec.retainedResult(), !rec.state.final()
	}
	if o.tombstones.has(id) {
		return Result{Refusal: refusal.New(refusal.ActionTableFull, "refused before")}, false
	}
	// A key that is not in the table may still be on its way here.
	return Result{Refusal: refusal.New(refusal.UnknownRequest, "nothing is known of this key").Unknown()}, false
}

// HandleWritten takes the result of a journal write in.
func (o *Owner) HandleWritten(now time.Time, w journal.Written) []Effect {
	progress := o.writer.Done(now, w)
	for _, id := range progress.Durable {
		if rec, ok := o.records[id]; ok {
			rec.durable = true
			o.dispatchUnlessExpired(now, rec)
		}
	}
	if progress.Sealed {
		o.markEnded()
	}
	o.pruneReceived()
	return o.flush(now)
}

// Tick lets time pass.
func (o *Owner) Tick(now time.Time) []Effect {
	o.expire(now)
	return o.flush(now)
}

// StopAccepting stops the acceptance of new actions. End follows when Busy is zero or
// time is short.
func (o *Owner) StopAccepting() { o.draining = true }

// Seal seals the log, naming the successor that will get the table; Ended
// follows when the seal stands.
func (o *Owner) Seal(now time.Time, successor ident.Incarnation) []Effect {
	o.draining = true
	o.writer.End(successor)
	return o.flush(now)
}

// Due returns when Tick is to be called next; zero is never.
func (o *Owner) Due(now time.Time) time.Time {
	due := o.writer.Due(now)
	if len(o.received) > 0 && !o.writer.Unavailable(now) {
		due = earliest(due, o.writer.UnavailableAt())
	}
	if len(o.expiry) > 0 {
		due = earliest(due, time.UnixMilli(o.expiry[0].at))
	}
	return due
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// EndUnsealed ends the owner without its seal, when the service is down or time is
// over: it dispatches nothing any more.
func (o *Owner) EndUnsealed(now time.Time) []Effect {
	o.markEnded()
	return o.flush(now)
}

// DetachWaiter drops a waiter that asks again later; the action goes on.
func (o *Owner) DetachWaiter(id actionkey.ID, w Waiter) {
	if rec, ok := o.records[id]; ok {
		rec.removeWaiter(w)
	}
}

// JournalUnavailable tells whether the journal can't be written for the time being.
func (o *Owner) JournalUnavailable(now time.Time) bool { return o.writer.Unavailable(now) }

// flush applies the outage policies, then hands out the effects.
func (o *Owner) flush(now time.Time) []Effect {
	if !o.ended && o.writer.Unavailable(now) {
		o.applyOutagePolicies(now)
	}
	if write, ok := o.writer.Flush(now); ok {
		o.effects = append(o.effects, &Write{write})
	}
	if collect, ok := o.writer.CollectNext(now); ok {
		o.effects = append(o.effects, &Collect{collect})
	}
	effects := o.effects
	o.effects = nil
	return effects
}

// applyOutagePolicies ends the wait of every received action while the
// journal can't be written. What carries the token's promise never runs
// unjournaled: a gateway that seals the log would tell its caller "no". If the
// entry in flight takes effect after all, its keys are intents without an
// outcome, and the gateway says "unknown".
func (o *Owner) applyOutagePolicies(now time.Time) {
	for _, rec := range o.received {
		if rec.state != Received {
			continue
		}
		promised := rec.journalPromised && o.cfg.Fault != FaultUnjournaledPromise
		if rec.policy == manifest.OutageRun && !promised {
			o.dispatch(rec)
			continue
		}
		o.settle(rec, NotExecuted, Result{Refusal: refusal.New(refusal.JournalUnavailable,
			"journal is unavailable; take a new token").After(newKeyRetryAfter)})
	}
	clear(o.received)
	o.received = o.received[:0]
	o.writer.Withdraw()
}

// dispatchUnlessExpired doesn't dispatch an expired key. The seal that would have kept
// it out of the log may have been collected while this owner was paused, and
// the key's caller been told "not executed".
func (o *Owner) dispatchUnlessExpired(now time.Time, rec *record) {
	if rec.state == Received && !now.Before(rec.expires) {
		o.settle(rec, NotExecuted, Result{Refusal: refusal.New(refusal.KeyExpired, "key was over before its dispatch")})
		return
	}
	o.dispatch(rec)
}

func (o *Owner) dispatch(rec *record) {
	if rec.state != Received || o.ended {
		return
	}
	rec.state = Dispatched
	o.dispatched++
	o.effects = append(o.effects, &Dispatch{ID: rec.id, Call: *rec.call, Journaled: rec.durable})
	o.releaseCall(rec)
}

func (o *Owner) releaseCall(rec *record) {
	if rec.call == nil {
		return
	}
	o.bytes -= len(rec.call.Body)
	rec.bytes -= len(rec.call.Body)
	rec.call = nil
}

// markEnded settles what was not dispatched: nobody else can dispatch it.
func (o *Owner) markEnded() {
	if o.ended {
		return
	}
	o.ended = true
	for _, rec := range o.received {
		if rec.state == Received {
			o.settle(rec, NotExecuted, Result{Refusal: refusal.New(refusal.OwnerGone,
				"owner was sealed; take a new token").After(newKeyRetryAfter)})
		}
	}
	o.received = nil
	o.effects = append(o.effects, &Ended{Owner: o.cfg.Owner})
}

func (o *Owner) settle(rec *record, s State, r Result) {
	rec.state = s
	rec.result = r
	for _, w := range rec.waiters {
		o.reply(w, r)
	}
	rec.waiters = nil
	o.releaseCall(rec)
}

// retainAnswer accounts for the answer, or drops one over the reserve.
func (o *Owner) retainAnswer(rec *record) {
	size := answerSize(rec.result.Answer)
	if size > o.cfg.AnswerReserve && o.bytes+size-rec.bytes > o.cfg.MaxBytes {
		rec.result = Result{}
		rec.answerDropped = true
		size = 0
	}
	o.bytes += size - rec.bytes
	rec.bytes = size
}

func (o *Owner) reply(w Waiter, r Result) {
	o.effects = append(o.effects, &Reply{Waiter: w, Result: r})
}

// pruneReceived drops what no longer waits for the journal from the list.
func (o *Owner) pruneReceived() {
	waiting := o.received[:0]
	for _, rec := range o.received {
		if rec.state == Received {
			waiting = append(waiting, rec)
		}
	}
	clear(o.received[len(waiting):])
	o.received = waiting
}

func (o *Owner) expire(now time.Time) {
	o.tombstones.expire(now)
	ms := now.UnixMilli()
	for len(o.expiry) > 0 && o.expiry[0].at <= ms {
		rec := heap.Pop(&o.expiry).(expiryEntry).rec
		if !rec.state.final() {
			heap.Push(&o.expiry, expiryEntry{rec: rec, at: now.Add(o.cfg.Grace).UnixMilli()})
			continue
		}
		o.bytes -= rec.bytes
		delete(o.records, rec.id)
	}
}
