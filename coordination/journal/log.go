package journal

import (
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Log is the content of an owner's log as read so far. nextIndex is the index after the last entry
// read. floor is the highest Entry.Floor. intents maps the key of each action to the hash of its
// request body.
type Log struct {
	owner     ident.Incarnation
	nextIndex uint64
	floor     int64
	seal      *Seal
	intents   map[actionkey.ID]string
	outcomes  map[actionkey.ID]Outcome
}

// NewLog returns a log without entries.
func NewLog(owner ident.Incarnation) *Log {
	return &Log{
		owner:    owner,
		intents:  map[actionkey.ID]string{},
		outcomes: map[actionkey.ID]Outcome{},
	}
}

// Add adds one entry. Entries must be added in the order of their indexes.
//
// Only a seal in the last entry ends the log. A reader that was paused between listing the log
// and sealing it can create its seal at an index that the owner had used and deleted meanwhile.
// The owner never deletes its last entry, so a seal that is followed by entries is invalid.
func (l *Log) Add(index uint64, e Entry) {
	l.nextIndex = index + 1
	l.seal = e.Seal
	l.floor = max(l.floor, e.Floor)
	for _, i := range e.Intents {
		l.intents[i.ID] = i.BodyHash
	}
	for _, o := range e.Outcomes {
		l.outcomes[o.ID] = o
	}
}

// Next returns the index of the next entry, at which a seal would end the log.
func (l *Log) Next() uint64 { return l.nextIndex }

// Seal returns the seal that ended the log, or nil while the log is open.
func (l *Log) Seal() *Seal { return l.seal }

// Verdict is the result of an action as far as a log shows it.
type Verdict struct {
	Executed refusal.Executed
	Reason   refusal.Reason
	// Outcome is the outcome recorded in the journal, or nil if there is none.
	Outcome *Outcome
}

// Verdict returns the result of an action according to a sealed log; now is the wall-clock time.
//
// It returns ExecutedNo only for an action that the owner can no longer dispatch. The key's token
// promises that an intent is journaled before the dispatch, the log contains no intent, and the
// seal prevents further entries: an owner that resumes after a pause fails to write its next
// entry. For an expired key the result is unknown, because its entries may have been deleted.
func (l *Log) Verdict(now time.Time, id actionkey.ID, bodyHash string) Verdict {
	unknown := Verdict{Executed: refusal.ExecutedUnknown, Reason: refusal.OutcomeUnknown}
	if l.seal == nil {
		return unknown
	}
	if o, ok := l.outcomes[id]; ok {
		return outcomeVerdict(o, bodyHash)
	}
	if _, ok := l.intents[id]; ok {
		return unknown
	}
	key, err := actionkey.Parse(id.Key)
	if err != nil || key.Owner != l.owner || !key.Journaled {
		return unknown
	}
	expires := key.Expires()
	if millis(expires) < l.floor || !now.Before(expires) {
		return Verdict{Executed: refusal.ExecutedUnknown, Reason: refusal.KeyExpired}
	}
	return Verdict{Executed: refusal.ExecutedNo, Reason: refusal.OwnerGone}
}

// outcomeVerdict returns the outcome of an action unless it belongs to another body under the
// same key. An empty hash matches any body.
func outcomeVerdict(o Outcome, bodyHash string) Verdict {
	if bodyHash != "" && o.BodyHash != bodyHash {
		return Verdict{Executed: refusal.ExecutedUnknown, Reason: refusal.KeyReused}
	}
	return Verdict{Executed: o.Executed, Reason: o.Reason, Outcome: &o}
}
