package request

import (
	"time"

	"geraniumstack.org/geraniumstack/protocol/stream"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Input is an event that the state machine of a request processes.
type Input interface{ input() }

// Start begins the processing of an accepted request.
type Start struct{}

// Picked answers the Pick effect with a runner.
type Picked struct{ Runner ident.RunnerID }

// PickRefused answers the Pick effect if no runner can take the request now.
type PickRefused struct{ Refusal *refusal.Refusal }

// EventArrived carries one event of an engine's output stream.
type EventArrived struct{ Event stream.Event }

// StreamClosed reports that the stream of an attempt closed before its end.
type StreamClosed struct {
	Attempt ident.AttemptID
	// NotStarted is set if no byte of the attempt can have reached the runner,
	// or if the runner refused to start it.
	NotStarted bool
	// Cause is the reason for the closure, which is counted in the metrics.
	Cause Cause
}

// Relocate moves the request to the runner that the plan for a reclaim chose.
type Relocate struct {
	// Attempt is the attempt that the plan was made for. The machine ignores
	// the input if a later attempt is current.
	Attempt ident.AttemptID
	Target  ident.RunnerID
	// Export moves the KV cache to the target. Without it, the target
	// recomputes the KV cache from the prompt and the emitted tokens.
	Export bool
}

// Evict removes the request from a leaving runner for which the plan has no
// target. The router picks another runner, or the request waits for capacity.
type Evict struct{ Attempt ident.AttemptID }

// CacheExported answers the ExportCache effect.
type CacheExported struct {
	Attempt ident.AttemptID
	Target  ident.RunnerID
	// Handle identifies the KV cache at the target. It is empty if the export
	// failed.
	Handle string
}

// RunnerLeaving reports that a runner accepts no new attempts.
type RunnerLeaving struct{ Runner ident.RunnerID }

// Tick reports that the time of the latest WakeAt effect has come.
type Tick struct{}

// Cancel ends the request because its caller no longer wants the answer.
type Cancel struct{}

// Superseded reports that another daemon runs the request with a higher epoch.
type Superseded struct{}

// Suspend ends the current attempt and prevents new ones until Resume, while
// the request is handed over to another daemon.
type Suspend struct{}

// Resume continues the request after Suspend, at the same runner if possible.
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

// Cause is the reason why an attempt was abandoned or a runner is requested
// again. Each cause has a counter in the metrics.
type Cause string

// Causes of abandoned attempts and repeated runner requests.
const (
	// Truncated means that the stream closed without an end event.
	Truncated Cause = "truncated"
	// Silent means that the connection carried neither tokens nor heartbeats
	// for too long.
	Silent Cause = "silent"
	// Malformed means that the token offsets in the stream were invalid.
	Malformed Cause = "malformed"
	// Unreachable means that no connection to the runner could be made.
	Unreachable Cause = "unreachable"
	// Refused means that the runner refused to start the attempt.
	Refused Cause = "refused"
	// EngineError means that the runner reported that the attempt failed.
	EngineError Cause = "engine_error"
	// Preempted means that the attempt was moved off a leaving runner.
	Preempted Cause = "preempted"
	// ExportFailed means that the attempt was moved without its KV cache
	// because the export of the cache failed.
	ExportFailed Cause = "export_failed"
	// NoCapacity is the cause with which a runner is requested again after a
	// wait, because no runner was available before the wait.
	NoCapacity Cause = "no_capacity"
)

// Effect is an operation that the caller of the state machine must carry out.
type Effect interface{ effect() }

// Pick asks the router for a runner.
type Pick struct {
	// Exclude lists the runners that failed this request and those that are
	// leaving.
	Exclude []ident.RunnerID
	// After is the cause for which another runner is needed. It is empty for
	// the first one.
	After Cause
}

// Generate starts an attempt at a runner that continues after the tokens
// emitted so far.
type Generate struct {
	Attempt ident.AttemptID
	Runner  ident.RunnerID
	// Handle names an imported KV cache; empty if there is none.
	Handle string
}

// AbandonAttempt closes the connection of an attempt and cancels the attempt
// at the runner.
type AbandonAttempt struct {
	Attempt ident.AttemptID
	Runner  ident.RunnerID
	Cause   Cause
}

// ExportCache copies the KV cache of an attempt to another runner while the
// attempt continues.
type ExportCache struct {
	Attempt  ident.AttemptID
	From, To ident.RunnerID
}

// Emitted reports that new output is available to readers.
type Emitted struct{}

// Dropped reports that an event of the stream was ignored, which is counted in
// the metrics.
type Dropped struct{ Reason stream.Reason }

// Answered ends the request with its complete answer.
type Answered struct{}

// Failed ends the request with a refusal.
type Failed struct{ Refusal *refusal.Refusal }

// Yielded ends the request at this daemon without an answer because another
// daemon runs it.
type Yielded struct{}

// WakeAt asks for a Tick at the given time. Each WakeAt replaces the previous
// one.
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
