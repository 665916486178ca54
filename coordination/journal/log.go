package journal

import (
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Log is an owner's log as a reader knows it.
type Log struct {
	owner    ident.Incarnation
	next     uint64
	floor    int64
	seal     *Seal
	intents  map[actionkey.ID]string
	outcomes map[actionkey.ID]Outcome
}

// NewLog returns a log of which nothing has been read.
func NewLog(owner ident.Incarnation) *Log {
	return &Log{
		owner:    owner,
		intents:  map[actionkey.ID]string{},
		outcomes: map[actionkey.ID]Outcome{},
	}
}

// Add takes one entry in; entries must come in the order of their indexes.
//
// Only a seal in the last entry counts: a reader that was paused between
// listing the log and sealing it can win an index that the owner had written
// and collected meanwhile. The owner never collects its last entry, so a seal
// with entries after it ended nothing.
func (l *Log) Add(index uint64, e Entry) {
	l.next = index + 1
	l.seal = e.Seal
	l.floor = max(l.floor, e.Floor)
	for _, i := range e.Intents {
		l.intents[i.ID] = i.BodyHash
	}
	for _, o := range e.Outcomes {
		l.outcomes[o.ID] = o
	}
}

// Next is the index of the entry that would end the log.
func (l *Log) Next() uint64 { return l.next }

// Seal returns how the log ended, or nil while it is open.
func (l *Log) Seal() *Seal { return l.seal }

// Verdict is what a log tells of an action.
type Verdict struct {
	Executed refusal.Executed
	Reason   refusal.Reason
	// Outcome is the journaled one, or nil.
	Outcome *Outcome
}

// Verdict judges an action by a sealed log at wall-clock time now.
//
// "Not executed" is said only of a key that the owner can't dispatch any more:
// its token promises that the key is journaled before, it is not in the log,
// and the seal keeps it out for ever. A paused owner that wakes up loses its
// next append to the seal. An expired key may have been collected.
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

// outcomeVerdict hides the outcome of another body under the same key; an
// empty hash asks by key alone.
func outcomeVerdict(o Outcome, bodyHash string) Verdict {
	if bodyHash != "" && o.BodyHash != bodyHash {
		return Verdict{Executed: refusal.ExecutedUnknown, Reason: refusal.KeyReused}
	}
	return Verdict{Executed: o.Executed, Reason: o.Reason, Outcome: &o}
}
