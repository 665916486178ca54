package request

import (
	"time"

	"geraniumstack.org/geraniumstack/protocol/stream"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Input is something that happened to a request.
type Input interface{ input() }

// Start begins an accepted request.
type Start struct{}

// Picked answers Pick with a runner.
type Picked struct{ Runner ident.RunnerID }

// PickRefused answers Pick where there is no runner for the request now.
type PickRefused struct{ Refusal *refusal.Refusal }

// EventArrived is one event of an engine's stream.
type EventArrived struct{ Event stream.Event }

// StreamClosed says that an attempt's stream is over without its end.
type StreamClosed struct {
	Attempt ident.AttemptID
	// NotStarted says that no byte of the attempt can have reached the runner,
	// or that the runner itself refused to start it.
	NotStarted bool
	// Cause is counted.
	Cause Cause
}

// Relocate moves the request off its runner as the reclaim's plan decided.
type Relocate struct {
	// Attempt is the one that the plan was made for; a later one stays.
	Attempt ident.AttemptID
	Target  ident.RunnerID
	// Export takes the KV cache along; without it the target computes the
	// prompt and the emitted tokens anew.
	Export bool
}

// Evict takes the request off its leaving runner without a target: routing
// picks one, or the request waits.
type Evict struct{ Attempt ident.AttemptID }

// CacheExported answers ExportCache.
type CacheExported struct {
	Attempt ident.AttemptID
	Target  ident.RunnerID
	// Handle names the cache at the target; empty if the move failed.
	Handle string
}

// RunnerLeaving says that a runner takes no new attempt.
type RunnerLeaving struct{ Runner ident.RunnerID }

// Tick lets time pass.
type Tick struct{}

// Cancel is the caller's wish to end the request.
type Cancel struct{}

// Superseded says that a daemon with a higher epoch runs the request.
type Superseded struct{}

// Suspend ends the current attempt and starts no other until Resume: the
// request is being passed to another daemon.
type Suspend struct{}

// Resume goes on after Suspend, at the same runner if it can.
type Resume struct{}

func (Start) input()         {}
func (Picked) input()        {}
func (PickRefused) input()   {}
func (EventArrived) input()  {}
func (StreamClosed) input()  {}
func (Relocate) input()      {}
func (Evict) input()         {}
func (CacheExported) input() {}
func (RunnerLeaving) input() {}
func (Tick) input()          {}
func (Cancel) input()        {}
func (Superseded) input()    {}
func (Suspend) input()       {}
func (Resume) input()        {}

// Cause is why an attempt was given up or a runner is asked anew; each has a
// counter.
type Cause string

// Causes.
const (
	// Truncated streams were closed without their end.
	Truncated Cause = "truncated"
	// Silent connections carried neither tokens nor heartbeats for too long.
	Silent Cause = "silent"
	// Malformed streams broke the numbering of offsets.
	Malformed Cause = "malformed"
	// Unreachable runners could not be connected to.
	Unreachable Cause = "unreachable"
	// Refused attempts were not started by the runner.
	Refused Cause = "refused"
	// EngineError is the runner's own word that the attempt failed.
	EngineError Cause = "engine_error"
	// Preempted attempts were moved off a leaving runner.
	Preempted Cause = "preempted"
	// ExportFailed moves go on without the KV cache.
	ExportFailed Cause = "export_failed"
	// NoCapacity means that no runner could be had for now.
	NoCapacity Cause = "no_capacity"
)

// Effect is something that the driver must do.
type Effect interface{ effect() }

// Pick asks the routing for a runner.
type Pick struct {
	// Exclude lists runners that failed this request.
	Exclude []ident.RunnerID
	// After is why another runner is needed; empty for the first.
	After Cause
}

// Generate opens an attempt at a runner, after the tokens emitted so far.
type Generate struct {
	Attempt ident.AttemptID
	Runner  ident.RunnerID
	// Handle names an imported KV cache; empty if there is none.
	Handle string
}

// AbandonAttempt closes an attempt's connection and cancels it at the runner.
type AbandonAttempt struct {
	Attempt ident.AttemptID
	Runner  ident.RunnerID
	Cause   Cause
}

// ExportCache moves an attempt's KV cache to another runner while the attempt
// goes on.
type ExportCache struct {
	Attempt  ident.AttemptID
	From, To ident.RunnerID
}

// Emitted says that readers have something to read.
type Emitted struct{}

// Dropped counts an event that was not used.
type Dropped struct{ Reason stream.Reason }

// Answered ends the request with its whole answer.
type Answered struct{}

// Failed ends the request with a refusal.
type Failed struct{ Refusal *refusal.Refusal }

// Yielded ends the request here without an answer: another daemon has it.
type Yielded struct{}

// WakeAt asks for a Tick at that time; the latest one holds.
type WakeAt struct{ Time time.Time }

func (Pick) effect()           {}
func (Generate) effect()       {}
func (AbandonAttempt) effect() {}
func (ExportCache) effect()    {}
func (Emitted) effect()        {}
func (Dropped) effect()        {}
func (Answered) effect()       {}
func (Failed) effect()         {}
func (Yielded) effect()        {}
func (WakeAt) effect()         {}
