// Package action implements the lifecycle of actions, which are calls that run
// at most once. An Owner is a deterministic state machine that performs no I/O
// and reads no clock: each method takes an input, with the current time where
// it matters, and returns the effects that the caller must carry out.
//
// The owner of an action is the daemon incarnation named by the action's key. It
// writes the intent to run an action to its journal before it dispatches the
// action. To seal the journal of an owner is to add a last entry that makes
// all later writes of the owner fail. A tombstone is a remembered key that was
// refused because the table was full.
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

// State is the stage that an action has reached in its lifecycle.
type State string

// States of actions.
const (
	// Received actions wait for their journal entry; nothing has been sent to a
	// runner.
	Received State = "received"
	// Dispatched actions have been sent to a runner and may be running.
	Dispatched State = "dispatched"
	// Executed actions ran and their answer is known.
	Executed State = "executed"
	// NotExecuted actions never run, even if the same key is submitted again.
	NotExecuted State = "not_executed"
	// Unknown actions were dispatched, but no answer arrived.
	Unknown State = "unknown"
)

func (s State) final() bool { return s == Executed || s == NotExecuted || s == Unknown }

// Result is either the answer of a runner or, if Refusal is set, a refusal.
type Result struct {
	Answer  call.Answer
	Refusal *refusal.Refusal
}

// Executed reports whether the action ran, did not run, or may have run.
func (r Result) Executed() refusal.Executed {
	if r.Refusal == nil {
		return refusal.ExecutedYes
	}
	return r.Refusal.Executed
}

// Waiter identifies a caller that waits for a result.
type Waiter uint64

// Request asks an Owner to run an action.
type Request struct {
	Waiter   Waiter
	ID       actionkey.ID
	BodyHash string
	Call     call.ServiceCall
	Policy   manifest.OutagePolicy
	// Inadmissible, if set, is the reason why the call must not be dispatched
	// even though its key may be valid.
	Inadmissible *refusal.Refusal
}

// Effect is an operation that an Owner asks its caller to carry out: *Reply,
// *Dispatch, *Write, *Collect or *Ended.
type Effect interface{ effect() }

// Reply delivers a result to a waiter.
type Reply struct {
	Waiter Waiter
	Result Result
}

// Dispatch sends an action to a runner exactly once, without retries. Its
// result must be passed to Owner.Finished.
type Dispatch struct {
	ID   actionkey.ID
	Call call.ServiceCall
	// Journaled reports whether the journal holds the intent to run the action.
	Journaled bool
}

// Write creates a journal entry. Its result must be passed to
// Owner.Written.
type Write struct{ journal.Write }

// Collect deletes a journal entry that is no longer needed.
type Collect struct{ journal.Collect }

// Ended reports that the owner has stopped for good and dispatches nothing any
// more. Its journal is sealed, except after EndUnsealed.
type Ended struct{ Owner ident.Incarnation }

func (*Reply) effect()    {}
func (*Dispatch) effect() {}
func (*Write) effect()    {}
func (*Collect) effect()  {}
func (*Ended) effect()    {}

// Config holds the identity, lifetimes and size limits of an Owner.
type Config struct {
	Owner   ident.Incarnation
	Journal journal.Config
	// TokenLifetime is how long a key may be submitted, for the first time or
	// as a repetition.
	TokenLifetime time.Duration
	// KeyRetention is how long the record of a key is kept after the key expired.
	KeyRetention time.Duration
	// MaxRecords is the maximum number of actions in the table.
	MaxRecords int
	// MaxBytes is the maximum total size of the bodies and answers in the table.
	MaxBytes int
	// AnswerReserve is the number of bytes reserved for the answer when an
	// action is accepted. A larger answer is delivered to its waiting callers,
	// but is kept in the table only if MaxBytes leaves room for it.
	AnswerReserve int
	// MaxTombstones is the maximum number of keys remembered as refused because
	// the table was full. They don't count towards MaxRecords.
	MaxTombstones int

	// Fault disables one safety check so that a test can show that its history
	// checker detects the violation. It is empty outside of tests.
	Fault Fault
}

// Fault names a safety check to disable in a test. The values name the
// behavior without the check; tests use them as the names of subtests.
type Fault string

// Faults that tests inject.
const (
	// FaultDispatchBeforeJournal dispatches before the intent is journaled.
	FaultDispatchBeforeJournal Fault = "dispatch_before_journal"
	// FaultExpiredIsNotExecuted answers "not executed" for an expired key, whose
	// action may have run.
	FaultExpiredIsNotExecuted Fault = "expired_is_no"
	// FaultRunPromisedUnjournaled dispatches without a journal entry an action whose
	// token promises that it is journaled first.
	FaultRunPromisedUnjournaled Fault = "run_promised_unjournaled"
	// FaultForgetRefused does not remember keys refused because the table was
	// full.
	FaultForgetRefused Fault = "forget_refused"
)

// DefaultConfig is sized for an entry VM that serves 400 actions per second of
// about half a kilobyte each, with three minutes in which a call may be
// repeated.
func DefaultConfig(owner ident.Incarnation) Config {
	return Config{
		Owner:         owner,
		Journal:       journal.DefaultConfig(owner),
		TokenLifetime: 3 * time.Minute,
		KeyRetention:  30 * time.Second,
		MaxRecords:    100_000,
		MaxBytes:      16 << 20,
		AnswerReserve: 1 << 10,
		MaxTombstones: 20_000,
	}
}
