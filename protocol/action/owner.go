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

// record is one action in the table of an owner.
type record struct {
	id       actionkey.ID
	bodyHash string
	state    State
	expires  time.Time
	// journalPromised is set if the token promises that the action is journaled
	// before it is dispatched.
	journalPromised bool
	// durable is set once the journal holds the intent.
	durable bool
	policy  manifest.OutagePolicy
	// call is set to nil once the action has been dispatched or has its final
	// state.
	call          *call.ServiceCall
	result        Result
	answerDropped bool
	bytes         int
	waiters       []Waiter
}

// Owner holds the table of actions that only one daemon incarnation may
// dispatch. It is not safe for concurrent use.
type Owner struct {
	cfg     Config
	writer  *journal.Writer
	records map[actionkey.ID]*record
	expiry  expiryQueue
	// awaitingJournal lists the actions that wait for the journal, oldest first.
	awaitingJournal []*record
	dispatched      int
	bytes           int
	tombstones      tombstones
	draining        bool
	ended           bool
	effects         []Effect
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

// Incarnation returns the daemon incarnation that owns the actions.
func (o *Owner) Incarnation() ident.Incarnation { return o.cfg.Owner }

// Token issues a token from which callers make keys for this owner. While the
// journal can't be written, the token doesn't promise that actions are journaled
// before they are dispatched.
func (o *Owner) Token(now time.Time) actionkey.Token {
	return actionkey.Token{
		Owner:     o.cfg.Owner,
		Issued:    now.Truncate(time.Millisecond),
		Lifetime:  o.cfg.TokenLifetime,
		Journaled: !o.writer.Unavailable(now),
	}
}

// Ended reports whether the owner has stopped dispatching for good.
func (o *Owner) Ended() bool { return o.ended }

// DispatchedCount returns the number of dispatched actions whose result is not
// known yet.
func (o *Owner) DispatchedCount() int { return o.dispatched }

// Len returns the number of actions in the table.
func (o *Owner) Len() int { return len(o.records) }

// Submit accepts a request, attaches it to the action that already has its key,
// or refuses it.
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

// attachDuplicate handles a request whose key is already in the table: it
// replies with the final result or waits for the running execution.
func (o *Owner) attachDuplicate(rec *record, r Request) {
	if rec.bodyHash != r.BodyHash {
		// The reply must not say "not executed": the caller may regard this
		// request as a repetition of the call that holds the key, and that
		// call may have run.
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

// retainedResult returns the stored result. If the answer was too large to
// store, it returns a refusal that says that the action was executed.
func (r *record) retainedResult() Result {
	if r.answerDropped {
		refused := refusal.New(refusal.AnswerNotKept, "it ran; its answer was too large to keep")
		refused.Executed = refusal.ExecutedYes
		return Result{Refusal: refused}
	}
	return r.result
}

// refusalForNewKey returns the refusal of a key that is not in the table, or nil
// if the key can be accepted. A key refused as "not executed" must either be
// remembered or never become acceptable later: a copy of the same request may
// still arrive through another gateway, and that copy must not run after a
// caller was told that the action was not executed.
func (o *Owner) refusalForNewKey(now time.Time, r Request) *refusal.Refusal {
	key, err := actionkey.Parse(r.ID.Key)
	if err != nil {
		return refusal.New(refusal.KeyMalformed, "%v", err)
	}
	if key.Owner != o.cfg.Owner {
		return refusal.New(refusal.OwnerGone, "not the key's owner").Unknown()
	}
	if key.Issued.After(now) || key.Lifetime > o.cfg.TokenLifetime {
		// The refusal must not say "not executed": the same key may become
		// valid later, for example when a clock that runs behind catches up.
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

// expiredRefusal leaves open whether the action ran: the record of an expired
// key may have been dropped after its action ran.
func (o *Owner) expiredRefusal() *refusal.Refusal {
	expired := refusal.New(refusal.KeyExpired, "key is over; nothing is known of it")
	if o.cfg.Fault == FaultExpiredIsNotExecuted {
		return expired
	}
	return expired.Unknown()
}

// atCapacity reports whether the table has no room for the request and the
// reserve for its answer.
func (o *Owner) atCapacity(r Request) bool {
	return len(o.records) >= o.cfg.MaxRecords ||
		o.bytes+len(r.Call.Body)+o.cfg.AnswerReserve > o.cfg.MaxBytes
}

// newKeyRetryAfter is how long a refused caller should wait before it submits
// the call again with a new key.
const newKeyRetryAfter = time.Second

// tableFullRefusal refuses a key because the table is full. The refusal says
// "not executed" only if a tombstone keeps the key from being accepted later.
func (o *Owner) tableFullRefusal(id actionkey.ID, key actionkey.Key) *refusal.Refusal {
	refused := refusal.New(refusal.ActionTableFull, "too many actions").After(newKeyRetryAfter)
	if o.cfg.Fault == FaultForgetRefused || o.tombstones.add(id, key.Expires()) {
		return refused
	}
	return refused.Unknown()
}

// accept adds the action to the table and starts its journal entry. An action
// that must not run becomes NotExecuted at once.
func (o *Owner) accept(r Request) {
	key, err := actionkey.Parse(r.ID.Key)
	if err != nil {
		return // can't happen: refusalForNewKey has parsed the same key
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
	heap.Push(&o.expiry, expiryEntry{rec: rec, at: rec.expires.Add(o.cfg.KeyRetention).UnixMilli()})
	if refused := o.admissionRefusal(r); refused != nil {
		o.finalize(rec, NotExecuted, Result{Refusal: refused})
		return
	}
	o.awaitingJournal = append(o.awaitingJournal, rec)
	o.writer.AddIntent(journal.Intent{ID: rec.id, BodyHash: rec.bodyHash})
	if o.cfg.Fault == FaultDispatchBeforeJournal {
		o.dispatch(rec)
	}
}

// admissionRefusal returns the reason why the action must not run although its
// key is valid, or nil.
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

// Finished processes the result of a Dispatch effect.
func (o *Owner) Finished(now time.Time, id actionkey.ID, r Result) []Effect {
	rec, ok := o.records[id]
	if !ok || rec.state != Dispatched {
		return nil
	}
	o.dispatched--
	o.finalize(rec, stateForResult(r), r)
	o.writer.AddOutcome(now, journalOutcome(rec))
	o.retainAnswer(rec)
	return o.flush(now)
}

// AbandonWait ends the wait of a caller whose deadline has passed. An action
// that has not been dispatched and has no other waiter becomes NotExecuted.
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
	o.finalize(rec, NotExecuted, Result{Refusal: refusal.New(refusal.DeadlineExceeded,
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

// Lookup returns what is known about an action without running it. If pending is
// true, the action has no result yet.
func (o *Owner) Lookup(id actionkey.ID) (r Result, pending bool) {
	if rec, ok := o.records[id]; ok {
		return rec.retainedResult(), !rec.state.final()
	}
	if o.tombstones.has(id) {
		return Result{Refusal: refusal.New(refusal.ActionTableFull, "refused before")}, false
	}
	// The result must not say "not executed": a request with this key may still
	// arrive.
	return Result{Refusal: refusal.New(refusal.UnknownRequest, "nothing is known of this key").Unknown()}, false
}

// Written processes the result of a Write effect.
func (o *Owner) Written(now time.Time, w journal.Written) []Effect {
	progress := o.writer.HandleWritten(now, w)
	for _, id := range progress.Durable {
		if rec, ok := o.records[id]; ok {
			rec.durable = true
			o.dispatchUnlessExpired(now, rec)
		}
	}
	if progress.Sealed {
		o.markEnded()
	}
	o.pruneAwaitingJournal()
	return o.flush(now)
}

// Tick drops expired records and performs other work that has become due.
func (o *Owner) Tick(now time.Time) []Effect {
	o.expire(now)
	return o.flush(now)
}

// StopAccepting makes the owner refuse new actions. The caller should call End
// once DispatchedCount is zero or little time is left.
func (o *Owner) StopAccepting() { o.draining = true }

// End starts to seal the journal with the name of the successor that will
// receive the table. The Ended effect follows once the seal has been written.
func (o *Owner) End(now time.Time, successor ident.Incarnation) []Effect {
	o.draining = true
	o.writer.QueueSeal(successor)
	return o.flush(now)
}

// NextDue returns when Tick must be called next. The zero time means never.
func (o *Owner) NextDue(now time.Time) time.Time {
	due := o.writer.NextDue(now)
	if len(o.awaitingJournal) > 0 && !o.writer.Unavailable(now) {
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

// EndUnsealed stops the owner for good without a seal in the journal, for use
// when the key-value service is down or no time is left.
func (o *Owner) EndUnsealed(now time.Time) []Effect {
	o.markEnded()
	return o.flush(now)
}

// DetachWaiter removes a waiter that will ask again later. The action continues.
func (o *Owner) DetachWaiter(id actionkey.ID, w Waiter) {
	if rec, ok := o.records[id]; ok {
		rec.removeWaiter(w)
	}
}

// Unavailable reports whether the journal currently can't be written.
func (o *Owner) Unavailable(now time.Time) bool { return o.writer.Unavailable(now) }

// flush applies the outage policies if the journal is unavailable, collects due
// journal operations, and returns all pending effects.
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

// applyOutagePolicies dispatches or refuses every received action while the
// journal can't be written. An action whose token promises journaling is never
// dispatched unjournaled: a gateway that seals the journal would find no intent
// and answer "not executed". If the journal write in flight takes effect after
// all, its keys become intents without an outcome, and such a gateway answers
// "unknown".
func (o *Owner) applyOutagePolicies(now time.Time) {
	for _, rec := range o.awaitingJournal {
		if rec.state != Received {
			continue
		}
		promised := rec.journalPromised && o.cfg.Fault != FaultRunPromisedUnjournaled
		if rec.policy == manifest.OutageRun && !promised {
			o.dispatch(rec)
			continue
		}
		o.finalize(rec, NotExecuted, Result{Refusal: refusal.New(refusal.JournalUnavailable,
			"journal is unavailable; take a new token").After(newKeyRetryAfter)})
	}
	clear(o.awaitingJournal)
	o.awaitingJournal = o.awaitingJournal[:0]
	o.writer.DropIntents()
}

// dispatchUnlessExpired dispatches a journaled action unless its key has expired.
// If this owner was paused, another gateway may have sealed the journal, told
// the caller "not executed", and then deleted the seal that would have made this
// owner's journal write fail.
func (o *Owner) dispatchUnlessExpired(now time.Time, rec *record) {
	if rec.state == Received && !now.Before(rec.expires) {
		o.finalize(rec, NotExecuted, Result{Refusal: refusal.New(refusal.KeyExpired, "key was over before its dispatch")})
		return
	}
	o.dispatch(rec)
}

// dispatch hands the action over to a runner, unless the action has left the
// state Received or the owner has ended.
func (o *Owner) dispatch(rec *record) {
	if rec.state != Received || o.ended {
		return
	}
	rec.state = Dispatched
	o.dispatched++
	o.effects = append(o.effects, &Dispatch{ID: rec.id, Call: *rec.call, Journaled: rec.durable})
	o.releaseCall(rec)
}

// releaseCall frees the memory of the call, which is not needed after the
// dispatch.
func (o *Owner) releaseCall(rec *record) {
	if rec.call == nil {
		return
	}
	o.bytes -= len(rec.call.Body)
	rec.bytes -= len(rec.call.Body)
	rec.call = nil
}

// markEnded stops the owner and makes every action that has not been dispatched
// NotExecuted, since no other daemon can dispatch it.
func (o *Owner) markEnded() {
	if o.ended {
		return
	}
	o.ended = true
	for _, rec := range o.awaitingJournal {
		if rec.state == Received {
			o.finalize(rec, NotExecuted, Result{Refusal: refusal.New(refusal.OwnerGone,
				"owner was sealed; take a new token").After(newKeyRetryAfter)})
		}
	}
	o.awaitingJournal = nil
	o.effects = append(o.effects, &Ended{Owner: o.cfg.Owner})
}

// finalize gives the action its final state and replies to all waiters.
func (o *Owner) finalize(rec *record, s State, r Result) {
	rec.state = s
	rec.result = r
	for _, w := range rec.waiters {
		o.reply(w, r)
	}
	rec.waiters = nil
	o.releaseCall(rec)
}

// retainAnswer accounts for the size of the answer. An answer over AnswerReserve
// is dropped if it would exceed MaxBytes.
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

// pruneAwaitingJournal removes the actions that no longer wait for the journal from the
// received list.
func (o *Owner) pruneAwaitingJournal() {
	waiting := o.awaitingJournal[:0]
	for _, rec := range o.awaitingJournal {
		if rec.state == Received {
			waiting = append(waiting, rec)
		}
	}
	clear(o.awaitingJournal[len(waiting):])
	o.awaitingJournal = waiting
}

// expire drops the records whose retention has ended. The record of an action
// that has no result yet is kept for another KeyRetention.
func (o *Owner) expire(now time.Time) {
	o.tombstones.expire(now)
	ms := now.UnixMilli()
	for len(o.expiry) > 0 && o.expiry[0].at <= ms {
		rec := heap.Pop(&o.expiry).(expiryEntry).rec
		if !rec.state.final() {
			heap.Push(&o.expiry, expiryEntry{rec: rec, at: now.Add(o.cfg.KeyRetention).UnixMilli()})
			continue
		}
		o.bytes -= rec.bytes
		delete(o.records, rec.id)
	}
}
