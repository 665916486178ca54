package forward

import (
	"bytes"
	"fmt"
	"strconv"
)

// MaxEventBytes bounds one event. Events hold a few tokens each; a stream
// without an end of event would otherwise fill the memory.
const MaxEventBytes = 1 << 20

// EventTooLargeError says that a stream holds no end of event for MaxEventBytes.
type EventTooLargeError struct{ Size int }

func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("event of over %d bytes", e.Size)
}

// EventStream cuts a runner's event stream into whole events and drops those
// that the caller has already. A runner may stop in the middle of an event; what
// went to the caller must end with a whole one, or nothing can follow it.
//
// After a resume the next runner's events go through the same EventStream, so
// an event that both runners sent goes out once.
type EventStream struct {
	pending    []byte
	lastID     string
	lastNumber int64
	eventCount int
}

// NewEventStream starts after the event that the caller had last; empty is none.
func NewEventStream(lastID string) *EventStream {
	s := &EventStream{lastID: lastID}
	s.lastNumber, _ = parseEventNumber(lastID)
	return s
}

func parseEventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// LastID is the id of the last whole event.
func (s *EventStream) LastID() string { return s.lastID }

// Events is the number of whole events that went out.
func (s *EventStream) Events() int { return s.eventCount }

// DropPartialEvent drops the part of an event that the former runner left.
func (s *EventStream) DropPartialEvent() { s.pending = s.pending[:0] }

// HasPartialEvent tells whether the stream ended within an event.
func (s *EventStream) HasPartialEvent() bool { return len(bytes.TrimSpace(s.pending)) > 0 }

// Push takes in what arrived and appends the whole events that are new to dst.
func (s *EventStream) Push(dst, data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			break
		}
		event := s.pending[:end]
		if s.markIfNew(event) {
			dst = append(dst, event...)
			s.eventCount++
		}
		s.pending = append(s.pending[:0], s.pending[end:]...)
	}
	if len(s.pending) > MaxEventBytes {
		return dst, &EventTooLargeError{Size: len(s.pending)}
	}
	return dst, nil
}

// eventEnd is the length of the first event with the blank line that ends it;
// negative if it is not whole yet.
func eventEnd(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf + len("\r\n\r\n")
	}
	if lf >= 0 {
		return lf + len("\n\n")
	}
	return -1
}

// markIfNew notes the event's id; false means that the caller has it already.
func (s *EventStream) markIfNew(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return true
	}
	n, numeric := parseEventNumber(id)
	if numeric && s.lastID != "" && n <= s.lastNumber {
		return false
	}
	s.lastID, s.lastNumber = id, n
	return true
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
