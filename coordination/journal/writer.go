package journal

import (
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Config sets how an owner writes its log.
type Config struct {
	Owner ident.Incarnation
	// WritesPerSecond is the most writes per second that this owner makes to the key-value
	// service, entries and deletions together.
	WritesPerSecond float64
	// Burst is the size of the token bucket that limits writes: how many writes may be made in a
	// row after an idle period.
	Burst float64
	// MaxBytes bounds the size of an entry; the service stores values of up to a megabyte.
	MaxBytes int
	// MaxAnswerBytes bounds the size of an answer's body in the journal. A larger answer is
	// journaled as executed, without its body.
	MaxAnswerBytes int
	// OutcomeDelay is how long outcomes may wait to be written in the same entry as intents.
	OutcomeDelay time.Duration
	// Timeout is how long a write of an entry may remain without an answer, retries
	// included, before the journal counts as unavailable.
	Timeout time.Duration
	// RetryDelay is the delay before a write without an answer is repeated.
	RetryDelay time.Duration
	// KeyRetention is how long an action key stays in the log after it has expired.
	KeyRetention time.Duration
	// MaxQueuedBytes bounds the outcomes queued during an outage of the service. The oldest
	// are dropped; after a crash of the owner their actions count as unknown.
	MaxQueuedBytes int
}

// DefaultConfig suits five owners on a service that handles several hundred writes per second:
// together they make at most 150 of them.
func DefaultConfig(owner ident.Incarnation) Config {
	return Config{
		Owner:           owner,
		WritesPerSecond: 30,
		Burst:           10,
		MaxBytes:        512 << 10,
		MaxAnswerBytes:  16 << 10,
		OutcomeDelay:    250 * time.Millisecond,
		Timeout:         time.Second,
		RetryDelay:      200 * time.Millisecond,
		KeyRetention:    30 * time.Second,
		MaxQueuedBytes:  8 << 20,
	}
}

// Write is a request to create an entry if none exists at its index.
type Write struct {
	Index uint64
	Value []byte
}

// Collect is a request to delete an entry whose action keys have all expired.
type Collect struct {
	Index uint64
	// Revision is the revision of the entry in the key-value service.
	Revision uint64
}

// Status is the result of a write.
type Status int

// Results of a write.
const (
	// Created means that the entry was written.
	Created Status = iota
	// Unknown means that no answer arrived: the entry may exist or may still be created.
	Unknown
	// Conflict means that an entry already exists at the index.
	Conflict
)

// Written reports the result of a write to the Writer.
type Written struct {
	Index  uint64
	Status Status
	// Existing is the entry found at the index, for a Conflict.
	Existing Entry
	// Revision is the revision of the entry at the index.
	Revision uint64
}

// Progress describes the effect of a write on the actions.
type Progress struct {
	// Durable lists the actions whose intents are now in the log.
	Durable []actionkey.ID
	// Sealed says that the log has been ended, by this owner or another daemon.
	Sealed bool
}

// retained is an entry that stays in the log until its last key has expired.
type retained struct {
	Collect
	lastExpiry time.Time
}

// Writer groups intents and outcomes into entries. It keeps at most one write in flight and
// limits its rate of writes with a token bucket. It is not safe for concurrent use.
type Writer struct {
	cfg       Config
	nextIndex uint64
	intents   []Intent
	outcomes  []Outcome
	// outcomeBytes is the total size of the queued outcomes.
	outcomeBytes int
	// oldestOutcomeAt is when the oldest queued outcome was added. After an entry has taken some of
	// the outcomes, it is the time of that entry.
	oldestOutcomeAt time.Time
	seal            *Seal

	// inFlightEntry is the entry that is being written, or nil; the next fields belong to it.
	inFlightEntry      *Entry
	inFlightValue      []byte
	awaitingAnswer     bool
	retryAt            time.Time
	inFlightSince      time.Time
	inFlightLastExpiry time.Time

	// writeTokens is the content of the token bucket at time writeTokensAt.
	writeTokens   float64
	writeTokensAt time.Time
	floor         int64
	retained      []retained
	sealed        bool
}

// NewWriter returns a Writer for an empty log.
func NewWriter(now time.Time, cfg Config) *Writer {
	return &Writer{cfg: cfg, writeTokens: cfg.Burst, writeTokensAt: now}
}

// AddIntent queues an intent. The action may be dispatched once the intent is durable.
func (w *Writer) AddIntent(i Intent) { w.intents = append(w.intents, i) }

// AddOutcome queues an outcome.
func (w *Writer) AddOutcome(now time.Time, o Outcome) {
	if len(o.Body) > w.cfg.MaxAnswerBytes {
		o.Body, o.Headers, o.NotKept = nil, nil, true
	}
	if len(w.outcomes) == 0 {
		w.oldestOutcomeAt = now
	}
	w.outcomes = append(w.outcomes, o)
	w.outcomeBytes += outcomeSize(o)
	for w.outcomeBytes > w.cfg.MaxQueuedBytes {
		w.outcomeBytes -= outcomeSize(w.outcomes[0])
		w.outcomes = w.outcomes[1:]
	}
}

// DropIntents drops the intents that are not in flight. Their actions no longer wait for the
// journal.
func (w *Writer) DropIntents() { w.intents = nil }

// QueueSeal queues the seal with which the owner ends its own log.
func (w *Writer) QueueSeal(successor ident.Incarnation) {
	if w.seal == nil {
		w.seal = &Seal{By: w.cfg.Owner, Successor: successor}
	}
}

// Sealed reports whether the log has ended.
func (w *Writer) Sealed() bool { return w.sealed }

// Unavailable reports whether the write in flight has been without an answer for longer than
// Config.Timeout.
func (w *Writer) Unavailable(now time.Time) bool {
	return w.inFlightEntry != nil && now.Sub(w.inFlightSince) >= w.cfg.Timeout
}

// UnavailableAt returns when the write in flight will reach Config.Timeout; zero if there is
// none.
func (w *Writer) UnavailableAt() time.Time {
	if w.inFlightEntry == nil {
		return time.Time{}
	}
	return w.inFlightSince.Add(w.cfg.Timeout)
}

// Flush returns the write that is due, if any. A write without an answer is repeated unchanged
// under the same index, so that it can take effect only once.
func (w *Writer) Flush(now time.Time) (Write, bool) {
	if w.sealed || w.awaitingAnswer {
		return Write{}, false
	}
	w.refill(now)
	if w.writeTokens < 1 {
		return Write{}, false
	}
	if w.inFlightEntry == nil {
		if !w.entryDue(now) {
			return Write{}, false
		}
		w.prepareEntry(now)
	} else if now.Before(w.retryAt) {
		return Write{}, false
	}
	w.writeTokens--
	w.awaitingAnswer = true
	return Write{Index: w.nextIndex, Value: w.inFlightValue}, true
}

// CollectNext returns an entry to delete if one has expired and the rate limit allows it.
func (w *Writer) CollectNext(now time.Time) (Collect, bool) {
	w.refill(now)
	// A deletion takes a token from the same bucket as the write of an entry. Callers call Flush
	// first, so an entry that is due gets the token and does not wait for deletions. While the
	// write of an entry has no answer, nothing is deleted, because the key-value service may be
	// down.
	if w.sealed || w.inFlightEntry != nil || w.writeTokens < 1 || len(w.retained) < 2 {
		return Collect{}, false
	}
	oldest := w.retained[0]
	if millis(oldest.lastExpiry) >= w.floor {
		return Collect{}, false
	}
	w.retained = w.retained[1:]
	w.writeTokens--
	return oldest.Collect, true
}

// HandleWritten processes the result of a write.
func (w *Writer) HandleWritten(now time.Time, r Written) Progress {
	if w.inFlightEntry == nil || r.Index != w.nextIndex || w.sealed {
		return Progress{}
	}
	w.awaitingAnswer = false
	if r.Status == Unknown {
		w.retryAt = now.Add(w.cfg.RetryDelay)
		return Progress{}
	}
	if r.Status == Conflict && r.Existing.Nonce != w.inFlightEntry.Nonce {
		w.sealed = true
		return Progress{Sealed: true}
	}
	return w.advance(r.Revision)
}

func (w *Writer) advance(revision uint64) Progress {
	e := w.inFlightEntry
	p := Progress{Sealed: e.Seal != nil}
	for _, i := range e.Intents {
		p.Durable = append(p.Durable, i.ID)
	}
	w.sealed = p.Sealed
	w.retained = append(w.retained, retained{Collect: Collect{Index: w.nextIndex, Revision: revision}, lastExpiry: w.inFlightLastExpiry})
	w.floor = max(w.floor, e.Floor)
	w.inFlightEntry, w.inFlightValue = nil, nil
	w.nextIndex++
	return p
}

// NextDue returns when Flush or CollectNext may next return something without new input; zero
// means never.
func (w *Writer) NextDue(now time.Time) time.Time {
	if w.sealed || w.awaitingAnswer {
		return time.Time{}
	}
	var due time.Time
	switch {
	case w.inFlightEntry != nil:
		due = w.retryAt
	case len(w.intents) > 0 || w.seal != nil:
		due = now
	case len(w.outcomes) > 0:
		due = w.oldestOutcomeAt.Add(w.cfg.OutcomeDelay)
	case len(w.retained) > 1 && millis(w.retained[0].lastExpiry) < w.floor:
		due = now
	default:
		return time.Time{}
	}
	if available := w.tokenAvailableAt(now); available.After(due) {
		return available
	}
	return due
}

func (w *Writer) entryDue(now time.Time) bool {
	if len(w.intents) > 0 || w.seal != nil {
		return true
	}
	return len(w.outcomes) > 0 && !now.Before(w.oldestOutcomeAt.Add(w.cfg.OutcomeDelay))
}

// prepareEntry builds the next entry from the queued items. The seal gets an entry of its own
// after all of them.
func (w *Writer) prepareEntry(now time.Time) {
	e := &Entry{
		Nonce: fmt.Sprintf("%s/%d", w.cfg.Owner, w.nextIndex),
		Floor: millis(now.Add(-w.cfg.KeyRetention)),
	}
	size := 0
	n := 0
	for ; n < len(w.intents) && size < w.cfg.MaxBytes; n++ {
		size += intentSize(w.intents[n])
	}
	e.Intents, w.intents = w.intents[:n:n], w.intents[n:]
	n = 0
	for ; n < len(w.outcomes) && size < w.cfg.MaxBytes; n++ {
		size += outcomeSize(w.outcomes[n])
		w.outcomeBytes -= outcomeSize(w.outcomes[n])
	}
	e.Outcomes, w.outcomes = w.outcomes[:n:n], w.outcomes[n:]
	w.oldestOutcomeAt = now
	if n == 0 && len(e.Intents) == 0 {
		e.Seal, w.seal = w.seal, nil
	}
	w.inFlightEntry = e
	w.inFlightSince = now
	w.inFlightLastExpiry = latestExpiry(e)
	w.inFlightValue = mustEncode(e)
}

// refill adds the tokens for the time since the last call to the token bucket.
func (w *Writer) refill(now time.Time) {
	added := now.Sub(w.writeTokensAt).Seconds() * w.cfg.WritesPerSecond
	if added <= 0 {
		return
	}
	w.writeTokens = min(w.cfg.Burst, w.writeTokens+added)
	w.writeTokensAt = now
}

func (w *Writer) tokenAvailableAt(now time.Time) time.Time {
	w.refill(now)
	if w.writeTokens >= 1 {
		return now
	}
	missing := (1 - w.writeTokens) / w.cfg.WritesPerSecond
	// One nanosecond is added so that rounding down can't leave less than one token.
	return now.Add(time.Duration(missing*float64(time.Second)) + 1)
}

const (
	itemOverhead = 160
	// base64GrowthThirds is the size of a body in an encoded entry, in thirds of its length.
	base64GrowthThirds = 4
)

func intentSize(i Intent) int { return itemOverhead + len(i.ID.Key) + len(i.ID.Workspace) }

func outcomeSize(o Outcome) int {
	size := itemOverhead + len(o.ID.Key) + len(o.ID.Workspace) + len(o.Detail)
	size += len(o.Body) * base64GrowthThirds / 3
	for _, h := range o.Headers {
		size += len(h.Name) + len(h.Value) + itemOverhead
	}
	return size
}

func latestExpiry(e *Entry) time.Time {
	var last time.Time
	for _, i := range e.Intents {
		last = laterExpiry(last, i.ID)
	}
	for _, o := range e.Outcomes {
		last = laterExpiry(last, o.ID)
	}
	return last
}

func laterExpiry(last time.Time, id actionkey.ID) time.Time {
	key, err := actionkey.Parse(id.Key)
	if err == nil && key.Expires().After(last) {
		return key.Expires()
	}
	return last
}

// mustEncode panics if the encoding fails, which can't happen: an entry contains only strings,
// numbers and bytes.
func mustEncode(e *Entry) []byte {
	value, err := Encode(*e)
	if err != nil {
		panic(err)
	}
	return value
}
