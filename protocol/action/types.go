// Package action holds the life of actions: calls that run at most once. An
// Owner is a state machine without I/O and without a clock of its own; inputs
// are its methods, outputs are effects.
package action

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// State is how far an action has come.
type State string

// States of actions.
const (
	// Received ones wait for the journal; nothing has been sent.
	Received State = "received"
	// Dispatched ones may be running.
	Dispatched State = "dispatched"
	// Executed ones ran and their answer is known.
	Executed State = "executed"
	// NotExecuted ones never run, also when they are asked for again.
	NotExecuted State = "not_executed"
	// Unknown ones were dispatched and no answer came.
	Unknown State = "unknown"
)

func (s State) final() bool { return s == Executed || s == NotExecuted || s == Unknown }

// Result is the answer of a runner, or a refusal.
type Result struct {
	Answer  call.Answer
	Refusal *refusal.Refusal
}

// Executed tells what the result says of the execution.
func (r Result) Executed() refusal.Executed {
	if r.Refusal == nil {
		return refusal.ExecutedYes
	}
	return r.Refusal.Executed
}

// Waiter names a caller that waits for a result.
type Waiter uint64

// Request asks an owner for an action.
type Request struct {
	Waiter   Waiter
	ID       actionkey.ID
	BodyHash string
	Call     call.ServiceCall
	Policy   manifest.OutagePolicy
	// Inadmissible is why the call can't be dispatched, whatever its key.
	Inadmissible *refusal.Refusal
}

// Effect is what an Owner wants done: *Reply, *Dispatch, *Write, *Collect or
// *Ended.
type Effect interface{ effect() }

// Reply gives a waiter its result.
type Reply struct {
	Waiter Waiter
	Result Result
}

// Dispatch sends an action to a runner, once; its end goes to Owner.Finished.
type Dispatch struct {
	ID   actionkey.ID
	Call call.ServiceCall
	// Journaled says that the log holds the intent.
	Journaled bool
}

// Write writes a journal entry; its result goes to Owner.Written.
type Write struct{ journal.Write }

// Collect deletes a journal entry that is over.
type Collect struct{ journal.Collect }

// Ended says that the owner's log is sealed: it dispatches nothing any more.
type Ended struct{ Owner ident.Incarnation }

func (*Reply) effect()    {}
func (*Dispatch) effect() {}
func (*Write) effect()    {}
func (*Collect) effect()  {}
func (*Ended) effect()    {}

// Config sets an owner's bounds.
type Config struct {
	Owner   ident.Incarnation
	Journal journal.Config
	// TokenLifetime is how long a key may be used and repeated.
	TokenLifetime time.Duration
	// Grace is how long after its expiry a key's record is still kept.
	Grace time.Duration
	// MaxRecords bounds the table's actions.
	MaxRecords int
	// MaxBytes bounds the bodies and answers in the table.
	MaxBytes int
	// AnswerReserve is set aside for the answer when an action is accepted;
	// larger answers reach their callers and are then forgotten.
	AnswerReserve int
	// MaxTombstones bounds the refused keys that are remembered beyond
	// MaxRecords.
	MaxTombstones int

	// Fault breaks a guard on purpose, so that a test can show that its
	// checker sees it; empty in the product.
	Fault Fault
}

// Fault names a guard to break.
type Fault string

// Guards that tests break.
const (
	// FaultDispatchBeforeJournal dispatches before the intent is journaled.
	FaultDispatchBeforeJournal Fault = "dispatch_before_journal"
	// FaultExpiredNotExecuted tells the caller of an expired key "not executed".
	FaultExpiredNotExecuted Fault = "expired_is_no"
	// FaultUnjournaledPromise dispatches unjournaled what the token promises to
	// journal.
	FaultUnjournaledPromise Fault = "run_promised_unjournaled"
	// FaultNoTombstones remembers no refused keys.
	FaultNoTombstones Fault = "forget_refused"
)

// DefaultConfig suits an entry VM of today: 400 actions a second at about half
// a kilobyte each, and a window of three minutes for repetitions.
func DefaultConfig(owner ident.Incarnation) Config {
	return Config{
		Owner:         owner,
		Journal:       journal.DefaultConfig(owner),
		TokenLifetime: 3 * time.Minute,
		Grace:         30 * time.Second,
		MaxRecords:    100_000,
		MaxBytes:      16 << 20,
		AnswerReserve: 1 << 10,
		MaxTombstones: 20_000,
	}
}
