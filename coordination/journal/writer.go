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
	// WritesPerSecond is the owner's share of the service's rate, for entries
	// and deletions together.
	WritesPerSecond float64
	// Burst is how many writes may follow each other at once after a pause.
	Burst float64
	// MaxBytes bounds an entry; the service holds values up to a megabyte.
	MaxBytes int
	// MaxAnswerBytes bounds an answer's body in the journal. Larger ones are
	// journaled as executed without their body.
	MaxAnswerBytes int
	// OutcomeDelay is how long outcomes may wait for intents to be written with.
	OutcomeDelay time.Duration
	// Timeout is how long an entry may wait for its answer, or be retried,
	// before the journal counts as unavailable.
	Timeout time.Duration
	// RetryDelay is the pause before an entry without an answer is sent again.
	RetryDelay time.Duration
	// KeyRetention is how long after their expiry keys stay in the log.
	KeyRetention time.Duration
	// MaxQueuedBytes bounds the outcomes that wait for the end of an outage;
	// the oldest are dropped, so that a crash leaves them unknown.
	MaxQueuedBytes int
}

// DefaultConfig suits five owners on a service of several hundred writes a
// second: together they use at most 150 of them.
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

// Write asks for the creation of an entry if there is none at its index.
type Write struct {
	Index uint64
	Value []byte
}

// Collect asks for the deletion of an entry whose keys are all over.
type Collect struct {
	Index uint64
	// Revision is the one that the service gave to the entry.
	Revision uint64
}

// Status is what came of a write.
type Status int

// What can come of a write.
const (
	// Created says that the entry stands.
	Created Status = iota
	// Unknown says that no answer came: the entry may stand or come to stand.
	Unknown
	// Conflict says that an entry stood there already.
	Conflict
)

// Written tells the writer what came of a write.
type Written struct {
	Index  uint64
	Status Status
	// Existing is the entry that stands there on a Conflict.
	Existing Entry
	// Revision of the entry that stands there.
	Revision uint64
}

// Progress is what a result means for the actions.
type Progress struct {
	// Durable lists the actions whose intents are now in the log.
	Durable []actionkey.ID
	// Sealed says that the log has ended, by this owner or another.
	Sealed bool
}

// retained is an entry that stands in the log until its last key is over.
type retained struct {
	Collect
	lastExpiry time.Time
}

// Writer groups intents and outcomes into entries: one write in flight, paced
// to the owner's budget. It is not safe for concurrent use.
type Writer struct {
	cfg      Config
	next     uint64
	intents  []Intent
	outcomes []Outcome
	// outcomeBytes is the size of the queued outcomes.
	outcomeBytes int
	// outcomesSince is when the oldest waiting outcome came.
	outcomesSince time.Time
	seal          *Seal

	inFlight       *Entry
	value          []byte
	awaitingAnswer bool
	retryAt        time.Time
	inFlightSince  time.Time
	inFlightExpiry time.Time

	tokens   float64
	tokensAt time.Time
	floor    int64
	retained []retained
	sealed   bool
}

// NewWriter starts an empty log.
func NewWriter(now time.Time, cfg Config) *Writer {
	return &Writer{cfg: cfg, tokens: cfg.Burst, tokensAt: now}
}

// AddIntent queues an action that may be dispatched once it is durable.
func (w *Writer) AddIntent(i Intent) { w.intents = append(w.intents, i) }

// AddOutcome queues an outcome.
func (w *Writer) AddOutcome(now time.Time, o Outcome) {
	if len(o.Body) > w.cfg.MaxAnswerBytes {
		o.Body, o.Headers, o.NotKept = nil, nil, true
	}
	if len(w.outcomes) == 0 {
		w.outcomesSince = now
	}
	w.outcomes = append(w.outcomes, o)
	w.outcomeBytes += outcomeSize(o)
	for w.outcomeBytes > w.cfg.MaxQueuedBytes {
		w.outcomeBytes -= outcomeSize(w.outcomes[0])
		w.outcomes = w.outcomes[1:]
	}
}

// DropIntents drops the intents that are not in flight: their actions don't wait
// for the journal any more.
func (w *Writer) DropIntents() { w.intents = nil }

// End queues the seal by which the owner ends its own log.
func (w *Writer) End(successor ident.Incarnation) {
	if w.seal == nil {
		w.seal = &Seal{By: w.cfg.Owner, Successor: successor}
	}
}

// Sealed tells whether the log has ended.
func (w *Writer) Sealed() bool { return w.sealed }

// Unavailable tells whether an entry has been without an answer for longer
// than the patience.
func (w *Writer) Unavailable(now time.Time) bool {
	return w.inFlight != nil && now.Sub(w.inFlightSince) >= w.cfg.Timeout
}

// UnavailableAt is when the entry in flight will have waited too long; zero if
// there is none.
func (w *Writer) UnavailableAt() time.Time {
	if w.inFlight == nil {
		return time.Time{}
	}
	return w.inFlightSince.Add(w.cfg.Timeout)
}

// Flush returns the write that is due, if any. An entry without an answer is
// sent again unchanged, under the same index, so that it can take effect only
// once.
func (w *Writer) Flush(now time.Time) (Write, bool) {
	if w.sealed || w.awaitingAnswer {
		return Write{}, false
	}
	w.refill(now)
	if w.tokens < 1 {
		return Write{}, false
	}
	if w.inFlight == nil {
		if !w.entryDue(now) {
			return Write{}, false
		}
		w.prepareEntry(now)
	} else if now.Before(w.retryAt) {
		return Write{}, false
	}
	w.tokens--
	w.awaitingAnswer = true
	return Write{Index: w.next, Value: w.value}, true
}

// CollectNext returns an entry to delete, if one is over and the budget allows.
func (w *Writer) CollectNext(now time.Time) (Collect, bool) {
	w.refill(now)
	// Deletions take every second write at most, so that entries don't wait
	// for them; while an entry has no answer the service may be down.
	if w.sealed || w.inFlight != nil || w.tokens < 1 || len(w.retained) < 2 {
		return Collect{}, false
	}
	oldest := w.retained[0]
	if millis(oldest.lastExpiry) >= w.floor {
		return Collect{}, false
	}
	w.retained = w.retained[1:]
	w.tokens--
	return oldest.Collect, true
}

// HandleWritten takes the result of a write in.
func (w *Writer) HandleWritten(now time.Time, r Written) Progress {
	if w.inFlight == nil || r.Index != w.next || w.sealed {
		return Progress{}
	}
	w.awaitingAnswer = false
	if r.Status == Unknown {
		w.retryAt = now.Add(w.cfg.RetryDelay)
		return Progress{}
	}
	if r.Status == Conflict && r.Existing.Nonce != w.inFlight.Nonce {
		w.sealed = true
		return Progress{Sealed: true}
	}
	return w.advance(r.Revision)
}

func (w *Writer) advance(revision uint64) Progress {
	e := w.inFlight
	p := Progress{Sealed: e.Seal != nil}
	for _, i := range e.Intents {
		p.Durable = append(p.Durable, i.ID)
	}
	w.sealed = p.Sealed
	w.retained = append(w.retained, retained{Collect: Collect{Index: w.next, Revision: revision}, lastExpiry: w.inFlightExpiry})
	w.floor = max(w.floor, e.Floor)
	w.inFlight, w.value = nil, nil
	w.next++
	return p
}

// NextDue returns when Flush or CollectNext may next have something without a new
// input; zero is never.
func (w *Writer) NextDue(now time.Time) time.Time {
	if w.sealed || w.awaitingAnswer {
		return time.Time{}
	}
	var due time.Time
	switch {
	case w.inFlight != nil:
		due = w.retryAt
	case len(w.intents) > 0 || w.seal != nil:
		due = now
	case len(w.outcomes) > 0:
		due = w.outcomesSince.Add(w.cfg.OutcomeDelay)
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
	return len(w.outcomes) > 0 && !now.Before(w.outcomesSince.Add(w.cfg.OutcomeDelay))
}

// prepareEntry makes the next entry of what waits. The seal goes last, alone in
// the entry after all that waited.
func (w *Writer) prepareEntry(now time.Time) {
	e := &Entry{
		Nonce: fmt.Sprintf("%s/%d", w.cfg.Owner, w.next),
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
	w.outcomesSince = now
	if n == 0 && len(e.Intents) == 0 {
		e.Seal, w.seal = w.seal, nil
	}
	w.inFlight = e
	w.inFlightSince = now
	w.inFlightExpiry = latestExpiry(e)
	w.value = mustEncode(e)
}

func (w *Writer) refill(now time.Time) {
	added := now.Sub(w.tokensAt).Seconds() * w.cfg.WritesPerSecond
	if added <= 0 {
		return
	}
	w.tokens = min(w.cfg.Burst, w.tokens+added)
	w.tokensAt = now
}

func (w *Writer) tokenAvailableAt(now time.Time) time.Time {
	w.refill(now)
	if w.tokens >= 1 {
		return now
	}
	missing := (1 - w.tokens) / w.cfg.WritesPerSecond
	// A nanosecond more, so that rounding never leaves the credit short.
	return now.Add(time.Duration(missing*float64(time.Second)) + 1)
}

const (
	itemOverhead = 160
	// base64GrowthThirds is what a body grows to, in thirds, in an entry.
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

// mustEncode can't fail: an entry holds only texts, numbers and bytes.
func mustEncode(e *Entry) []byte {
	value, err := Encode(*e)
	if err != nil {
		panic(err)
	}
	return value
}
