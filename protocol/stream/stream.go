// Package stream merges the output of a request's attempts into the single
// answer that its caller sees, which contains every token offset once and in
// order. It performs no I/O. Readers are served from the tokens that it
// stores.
package stream

import (
	"slices"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Event is one event of an attempt's output stream.
type Event struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	// Offset is the position of the token in the whole answer, starting at 0.
	// If Done is set, it is the total number of tokens.
	Offset       int
	Token        string
	Heartbeat    bool
	Done         bool
	FinishReason string
}

// Reason is the reason why an event was not added to the answer. Each
// reason has a counter in the metrics.
type Reason string

// Reasons for dropping an event.
const (
	// OtherRequest means that the event belongs to another request.
	OtherRequest Reason = "other_request"
	// OtherAttempt means that the event comes from an attempt that is not
	// current.
	OtherAttempt Reason = "other_attempt"
	// Duplicate means that the event repeats an offset that the answer already
	// has.
	Duplicate Reason = "duplicate"
	// Conflict means that the event repeats an offset with a different token.
	Conflict Reason = "conflict"
	// Gap means that the event skips an offset.
	Gap Reason = "gap"
	// AfterEnd means that the event follows the end of the answer.
	AfterEnd Reason = "after_end"
	// CountMismatch means that the event ends the answer at another offset than
	// the number of tokens received.
	CountMismatch Reason = "count_mismatch"
	// Overrun means that the event exceeds the maximum number of tokens of the
	// request.
	Overrun Reason = "overrun"
)

// ApplyResult describes the effect of an event on the answer.
type ApplyResult struct {
	// Emitted is set if the answer grew by one token.
	Emitted bool
	// Ended is set if the answer is now complete.
	Ended bool
	// Alive is set if the event shows that the connection of the current
	// attempt works.
	Alive bool
	// Dropped is the reason why the event was ignored. It is empty if the event
	// was used.
	Dropped Reason
	// Broken is set if the current attempt can't contribute any more. The
	// answer must be continued by a new attempt from its current offset.
	Broken bool
}

// SplicedAnswer is the growing answer to one request, merged from the output
// of its attempts. The zero value is not usable. It is not safe for concurrent
// use.
//
// All tokens are kept in memory while the request is live, because later
// attempts resume after them and readers may start at any offset. The maximum
// number of tokens of the request bounds the memory.
type SplicedAnswer struct {
	request      ident.RequestID
	limit        int
	attempt      ident.AttemptID
	tokens       []string
	done         bool
	finishReason string
	dropped      map[Reason]int
}

// New returns an empty answer of at most limit tokens.
func New(request ident.RequestID, limit int) *SplicedAnswer {
	return &SplicedAnswer{request: request, limit: limit, dropped: map[Reason]int{}}
}

// Restore returns an answer that already contains the tokens emitted by an
// earlier owner, which is the daemon that ran the request before.
func Restore(request ident.RequestID, limit int, tokens []string) *SplicedAnswer {
	s := New(request, limit)
	s.tokens = slices.Clone(tokens)
	return s
}

// Finish marks an answer as complete whose tokens were all restored.
func (s *SplicedAnswer) Finish(reason string) {
	s.done = true
	s.finishReason = reason
}

// BeginAttempt makes an attempt the current one. Events of all other attempts
// are dropped from now on.
func (s *SplicedAnswer) BeginAttempt(attempt ident.AttemptID) { s.attempt = attempt }

// EndAttempt leaves the answer without a current attempt.
func (s *SplicedAnswer) EndAttempt() { s.attempt = "" }

// Attempt returns the current attempt, or an empty ID if there is none.
func (s *SplicedAnswer) Attempt() ident.AttemptID { return s.attempt }

// Offset returns the number of tokens in the answer.
func (s *SplicedAnswer) Offset() int { return len(s.tokens) }

// Done reports whether the answer is complete.
func (s *SplicedAnswer) Done() bool { return s.done }

// FinishReason returns the reason that the engine gave for the end of the
// answer. It is empty until Done returns true.
func (s *SplicedAnswer) FinishReason() string { return s.finishReason }

// TokensFrom returns the tokens from an offset on, or nil if the offset is
// outside the answer. The slice is shared and remains valid, since stored
// tokens never change.
func (s *SplicedAnswer) TokensFrom(offset int) []string {
	if offset < 0 || offset >= len(s.tokens) {
		return nil
	}
	return s.tokens[offset:len(s.tokens):len(s.tokens)]
}

// Dropped returns the number of events dropped for a reason.
func (s *SplicedAnswer) Dropped(r Reason) int { return s.dropped[r] }

// Extend adds tokens that a reader is known to have received from an earlier
// owner. It returns false and changes nothing if they contradict the answer.
func (s *SplicedAnswer) Extend(offset int, tokens []string) bool {
	if offset < 0 || offset > len(s.tokens) || offset+len(tokens) > s.limit {
		return false
	}
	known := min(len(s.tokens)-offset, len(tokens))
	if !slices.Equal(s.tokens[offset:offset+known], tokens[:known]) {
		return false
	}
	if s.done {
		return known == len(tokens)
	}
	s.tokens = append(s.tokens, tokens[known:]...)
	return true
}

// Apply processes one event.
//
// A runner that answers late, twice or on the wrong connection must not add
// another caller's tokens, or the same tokens twice, to the answer. Therefore
// only the current attempt of this request may extend the answer, and only by
// the next offset.
func (s *SplicedAnswer) Apply(e Event) ApplyResult {
	if e.Request != s.request {
		return s.drop(OtherRequest)
	}
	if s.done {
		return s.drop(AfterEnd)
	}
	if s.attempt == "" || e.Attempt != s.attempt {
		return s.drop(OtherAttempt)
	}
	if e.Heartbeat {
		return ApplyResult{Alive: true}
	}
	if e.Done {
		return s.applyEnd(e)
	}
	return s.applyToken(e)
}

func (s *SplicedAnswer) applyToken(e Event) ApplyResult {
	switch {
	case e.Offset < 0 || e.Offset > len(s.tokens):
		return s.breakAttempt(Gap)
	case e.Offset < len(s.tokens) && s.tokens[e.Offset] != e.Token:
		return s.breakAttempt(Conflict)
	case e.Offset < len(s.tokens):
		v := s.drop(Duplicate)
		v.Alive = true
		return v
	case len(s.tokens) >= s.limit:
		return s.breakAttempt(Overrun)
	}
	s.tokens = append(s.tokens, e.Token)
	return ApplyResult{Emitted: true, Alive: true}
}

// applyEnd accepts the end of the answer only at the current offset. Otherwise
// a stream that lost tokens in transit would look like a complete answer.
func (s *SplicedAnswer) applyEnd(e Event) ApplyResult {
	if e.Offset != len(s.tokens) {
		return s.breakAttempt(CountMismatch)
	}
	s.done = true
	s.finishReason = e.FinishReason
	return ApplyResult{Ended: true, Alive: true}
}

func (s *SplicedAnswer) drop(r Reason) ApplyResult {
	s.dropped[r]++
	return ApplyResult{Dropped: r}
}

func (s *SplicedAnswer) breakAttempt(r Reason) ApplyResult {
	v := s.drop(r)
	v.Broken = true
	s.attempt = ""
	return v
}
