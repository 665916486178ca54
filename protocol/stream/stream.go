// Package stream splices the output of a request's attempts into the one
// answer that its caller sees: every offset once, in order. It is a pure state
// machine; readers are served from the tokens that it keeps.
package stream

import (
	"slices"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Event is one line of an attempt's stream.
type Event struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	// Offset numbers the token in the whole answer, from 0; with Done it is
	// the number of tokens in all.
	Offset       int
	Token        string
	Heartbeat    bool
	Done         bool
	FinishReason string
}

// Reason says why an event was not taken into the answer; each has a counter.
type Reason string

// Reasons for dropping an event.
const (
	// OtherRequest events belong to another caller's request.
	OtherRequest Reason = "other_request"
	// OtherAttempt events come from an attempt that is no longer current.
	OtherAttempt Reason = "other_attempt"
	// Duplicate events repeat an offset that the answer has.
	Duplicate Reason = "duplicate"
	// Conflict events repeat an offset with another token.
	Conflict Reason = "conflict"
	// Gap events skip an offset.
	Gap Reason = "gap"
	// AfterEnd events follow the end of the answer.
	AfterEnd Reason = "after_end"
	// CountMismatch ends the stream at another offset than was reached.
	CountMismatch Reason = "count_mismatch"
	// Overrun events go past the request's limit of tokens.
	Overrun Reason = "overrun"
)

// Verdict is what became of an event.
type Verdict struct {
	// Emitted says that the answer grew by one token.
	Emitted bool
	// Ended says that the answer is whole.
	Ended bool
	// Alive says that the event shows the current attempt's connection to work.
	Alive bool
	// Dropped is why the event was not used; empty if it was.
	Dropped Reason
	// Broken says that nothing more can come of the current attempt: go on in
	// a new one from the answer's offset.
	Broken bool
}

// Splice is the answer to one request as it grows. The zero value is not
// usable; it is not safe for concurrent use.
//
// All tokens are kept while the request is live: a later attempt resumes after
// them and late readers start anywhere. The limit of tokens bounds them.
type Splice struct {
	request ident.RequestID
	limit   int
	attempt ident.AttemptID
	tokens  []string
	done    bool
	finish  string
	dropped map[Reason]int
}

// New returns an empty answer of at most limit tokens.
func New(request ident.RequestID, limit int) *Splice {
	return &Splice{request: request, limit: limit, dropped: map[Reason]int{}}
}

// Restore returns an answer that already has tokens from an earlier owner.
func Restore(request ident.RequestID, limit int, tokens []string) *Splice {
	s := New(request, limit)
	s.tokens = slices.Clone(tokens)
	return s
}

// Finish ends an answer whose tokens were restored whole.
func (s *Splice) Finish(reason string) {
	s.done = true
	s.finish = reason
}

// Begin makes an attempt the current one; events of all others are dropped
// from now on.
func (s *Splice) Begin(attempt ident.AttemptID) { s.attempt = attempt }

// Stop leaves no attempt current.
func (s *Splice) Stop() { s.attempt = "" }

// Attempt returns the current attempt; empty if there is none.
func (s *Splice) Attempt() ident.AttemptID { return s.attempt }

// Offset is the number of tokens that the answer has.
func (s *Splice) Offset() int { return len(s.tokens) }

// Done tells whether the answer is whole.
func (s *Splice) Done() bool { return s.done }

// FinishReason is the engine's word for why it ended; empty until Done.
func (s *Splice) FinishReason() string { return s.finish }

// From returns the tokens from an offset on. The slice is shared and stays
// valid: kept tokens never change. It is empty past the end.
func (s *Splice) From(offset int) []string {
	if offset < 0 || offset >= len(s.tokens) {
		return nil
	}
	return s.tokens[offset:len(s.tokens):len(s.tokens)]
}

// Dropped counts the dropped events of a reason.
func (s *Splice) Dropped(r Reason) int { return s.dropped[r] }

// Extend takes tokens that a reader is known to have from an earlier owner.
// It reports false, and changes nothing, where they contradict the answer.
func (s *Splice) Extend(offset int, tokens []string) bool {
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

// Apply takes one event.
//
// A runner that answers late, twice or on the wrong connection would otherwise
// put another caller's words, or the same words twice, into the answer. Only
// the current attempt of this very request may extend it, and only by the next
// offset, so neither can.
func (s *Splice) Apply(e Event) Verdict {
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
		return Verdict{Alive: true}
	}
	if e.Done {
		return s.end(e)
	}
	return s.extend(e)
}

func (s *Splice) extend(e Event) Verdict {
	switch {
	case e.Offset < 0 || e.Offset > len(s.tokens):
		return s.broken(Gap)
	case e.Offset < len(s.tokens) && s.tokens[e.Offset] != e.Token:
		return s.broken(Conflict)
	case e.Offset < len(s.tokens):
		v := s.drop(Duplicate)
		v.Alive = true
		return v
	case len(s.tokens) >= s.limit:
		return s.broken(Overrun)
	}
	s.tokens = append(s.tokens, e.Token)
	return Verdict{Emitted: true, Alive: true}
}

// end accepts the end only at the offset that was reached: a stream that lost
// tokens on its way would otherwise pass for a whole answer.
func (s *Splice) end(e Event) Verdict {
	if e.Offset != len(s.tokens) {
		return s.broken(CountMismatch)
	}
	s.done = true
	s.finish = e.FinishReason
	return Verdict{Ended: true, Alive: true}
}

func (s *Splice) drop(r Reason) Verdict {
	s.dropped[r]++
	return Verdict{Dropped: r}
}

func (s *Splice) broken(r Reason) Verdict {
	v := s.drop(r)
	v.Broken = true
	s.attempt = ""
	return v
}
