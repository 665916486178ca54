package engine

import "geraniumstack.org/geraniumstack/transport/engineapi"

// StreamFault is what goes wrong with a stream.
type StreamFault string

// Faults of a stream.
const (
	// StreamStall ends the lines, heartbeats too; the connection stays open
	// and the engine goes on computing.
	StreamStall StreamFault = "stall"
	// StreamTruncate ends the answer in good order but before its last line.
	StreamTruncate StreamFault = "truncate"
	// StreamBreak breaks the connection.
	StreamBreak StreamFault = "break"
	// StreamDuplicate writes every line twice from there on.
	StreamDuplicate StreamFault = "duplicate"
	// StreamCross writes one line of another attempt in between, with the
	// other's identifiers, or with invented ones if no other runs.
	StreamCross StreamFault = "cross"
	// StreamGap leaves one token out.
	StreamGap StreamFault = "gap"
)

const notCancelled = -1

// Identifiers of a crossed line that belongs to no running attempt.
const (
	StrayRequestID = "stray-request"
	StrayAttemptID = "stray-attempt"
)

// Faults are the switches of an engine; the zero value is a healthy one.
type Faults struct {
	// Refuse answers 503 to every attempt before it starts.
	Refuse bool `json:"refuse,omitempty"`
	// Hang answers nothing more, on open streams neither; connections stay
	// open, also after the switch is off.
	Hang bool `json:"hang,omitempty"`
	// Stream is what happens to the next Streams streams, open ones too, once
	// they have written AfterTokens tokens.
	Stream      StreamFault `json:"stream,omitempty"`
	Streams     int         `json:"streams,omitempty"`
	AfterTokens int         `json:"after_tokens,omitempty"`
	// LateLines is how many token lines still come after a cancel.
	LateLines int `json:"late_lines,omitempty"`
	// FailExports breaks the next transfers of exported caches half way.
	FailExports int `json:"fail_exports,omitempty"`
}

// SetFaults replaces all switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the switches as they stand.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeStreamFault returns the fault that befalls a stream after its first tokens, and
// takes it off the number of streams that are to meet it.
func (e *Engine) takeStreamFault(written int) StreamFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		return StreamStall
	}
	if e.faults.Streams <= 0 || written < e.faults.AfterTokens {
		return ""
	}
	e.faults.Streams--
	return e.faults.Stream
}

// lineOfOtherAttempt returns a line of another attempt than the given one.
func (e *Engine) lineOfOtherAttempt(own *stream) engineapi.GenerateEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.streams {
		if other != own && other.last.Token != "" {
			return other.last
		}
	}
	return engineapi.GenerateEvent{RequestID: StrayRequestID, AttemptID: StrayAttemptID, Token: "stray", Offset: own.last.Offset}
}
