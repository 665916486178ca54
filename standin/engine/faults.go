package engine

import "geraniumstack.org/geraniumstack/transport/engineapi"

// StreamFault selects a fault of a response stream.
type StreamFault string

// Faults of a stream.
const (
	// StreamStall stops all lines, including heartbeats. The connection stays
	// open and the engine continues to compute.
	StreamStall StreamFault = "stall"
	// StreamTruncate ends the HTTP response properly, but before the final
	// line.
	StreamTruncate StreamFault = "truncate"
	// StreamBreak closes the connection.
	StreamBreak StreamFault = "break"
	// StreamDuplicate writes every following line twice.
	StreamDuplicate StreamFault = "duplicate"
	// StreamCross inserts one line of another attempt with that attempt's
	// identifiers, or with StrayRequestID and StrayAttemptID if no other
	// attempt has a line.
	StreamCross StreamFault = "cross"
	// StreamGap leaves one token out.
	StreamGap StreamFault = "gap"
)

// notCancelled is the value of stream.lateLines before a cancellation.
const notCancelled = -1

// Identifiers of the line that StreamCross inserts if no other attempt has a
// line.
const (
	StrayRequestID = "stray-request"
	StrayAttemptID = "stray-attempt"
)

// Faults are the injected faults of an engine; the zero value injects none.
type Faults struct {
	// Refuse responds to every new attempt with status 503.
	Refuse bool `json:"refuse,omitempty"`
	// Hang stops all responses, including open streams. Connections that hang
	// stay open without a response even after Hang is set to false.
	Hang bool `json:"hang,omitempty"`
	// Stream is the fault of the next Streams streams, including open ones.
	// It occurs once a stream has written AfterTokens tokens.
	Stream      StreamFault `json:"stream,omitempty"`
	Streams     int         `json:"streams,omitempty"`
	AfterTokens int         `json:"after_tokens,omitempty"`
	// LateLines is how many token lines a stream still sends after its
	// cancellation.
	LateLines int `json:"late_lines,omitempty"`
	// FailExports is how many of the next transfers of exported caches fail
	// halfway.
	FailExports int `json:"fail_exports,omitempty"`
}

// SetFaults replaces all injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the injected faults. Streams and FailExports count down as
// the faults occur.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeStreamFault returns the fault that applies to a stream with this many
// written tokens, and decrements the number of streams that the fault still
// applies to.
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

// lineOfOtherAttempt returns the last line of an attempt other than that of
// own.
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
