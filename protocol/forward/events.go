package forward

import (
	"bytes"
	"fmt"
	"strconv"
)

// MaxEventBytes is the maximum size of one event. Events hold a few tokens
// each; without a limit, a stream that never ends an event would exhaust the
// memory.
const MaxEventBytes = 1 << 20

// EventTooLargeError reports that an event of a stream exceeds MaxEventBytes.
type EventTooLargeError struct{ Size int }

func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("event of over %d bytes", e.Size)
}

// EventStream splits a runner's event stream into complete events and drops
// those that the caller has already received. A runner may stop in the middle
// of an event. Only complete events are passed on to the caller: after a part of
// an event, the events of another runner could not follow.
//
// After a resume, the events of the next runner pass through the same
// EventStream, so that an event sent by both runners reaches the caller once.
type EventStream struct {
	// pending are the bytes of the incomplete event. The first scanned of them hold no end of an event, so that each
	// byte is looked at once however the bytes of a long event arrive.
	pending    []byte
	scanned    int
	lastID     string
	lastNumber int64
	eventCount int
	ended      int
}

// NewEventStream returns a stream that continues after the event with the
// given ID, which is the last one that the caller received. An empty ID starts
// at the beginning.
func NewEventStream(lastID string) *EventStream {
	s := &EventStream{lastID: lastID}
	s.lastNumber, _ = parseEventNumber(lastID)
	return s
}

func parseEventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// LastID returns the ID of the last complete event.
func (s *EventStream) LastID() string { return s.lastID }

// Events returns the number of complete events that Push has returned.
func (s *EventStream) Events() int { return s.eventCount }

// Ended returns the number of complete events that have arrived, including those that the caller already had.
func (s *EventStream) Ended() int { return s.ended }

// InEvent reports whether an event has begun and not ended. Line ends between events begin none.
func (s *EventStream) InEvent() bool { return len(s.pending) > maxLineEnds }

// maxLineEnds is the number of bytes of a line end and the beginning of another one, after which an event may still
// begin.
const maxLineEnds = len("\n\r\n")

// DropPartialEvent discards the incomplete event that the previous runner
// left.
func (s *EventStream) DropPartialEvent() { s.keep(0) }

// keep keeps the last n of the pending bytes, as the beginning of an event.
func (s *EventStream) keep(n int) {
	rest := s.pending[len(s.pending)-n:]
	if cap(s.pending) > maxKeptBytes {
		// Otherwise each stream would keep the room of its largest event.
		s.pending = nil
	}
	s.pending = append(s.pending[:0], rest...)
	s.scanned = 0
}

// maxKeptBytes is how much room a stream keeps for its next event.
const maxKeptBytes = 32 << 10

// HasPartialEvent reports whether the stream ended within an event.
func (s *EventStream) HasPartialEvent() bool { return len(bytes.TrimSpace(s.pending)) > 0 }

// Push adds received data and appends the complete events that the caller does
// not have yet to dst.
func (s *EventStream) Push(dst, data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	begin := 0
	for {
		end := eventEnd(s.pending, begin, max(begin, s.scanned))
		if end < 0 {
			break
		}
		event := s.pending[begin:end]
		if s.markIfNew(event) {
			dst = append(dst, event...)
			s.eventCount++
		}
		begin = end
		s.ended++
	}
	if begin > 0 {
		s.keep(len(s.pending) - begin)
	}
	s.scanned = len(s.pending)
	if len(s.pending) > MaxEventBytes {
		return dst, &EventTooLargeError{Size: len(s.pending)}
	}
	return dst, nil
}

// eventEnd returns where the event ends that begins at begin, after the blank line that ends it, or -1 if the event is
// incomplete. Before from there is no end.
func eventEnd(data []byte, begin, from int) int {
	for {
		next := bytes.IndexByte(data[from:], '\n')
		if next < 0 {
			return -1
		}
		from += next + 1
		line := data[begin:from]
		if bytes.HasSuffix(line, []byte("\n\n")) || bytes.HasSuffix(line, []byte("\r\n\r\n")) {
			return from
		}
	}
}

// markIfNew records the event's ID. It returns false if the caller already has
// the event.
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
