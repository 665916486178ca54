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

// DropReason says why an event was not taken into the answer; each has a counter.
type DropReason string

// Reasons for dropping an event.
const (
	// OtherRequest events belong to another caller's request.
	OtherRequest DropReason = "other_request"
	// OtherAttempt events come from an attempt that is no longer current.
	OtherAttempt DropReason = "other_attempt"
	// Duplicate events repeat an offset that the answer has.
	Duplicate DropReason = "duplicate"
	// Conflict events repeat an offset with another token.
	Conflict DropReason = "conflict"
	// Gap events skip an offset.
	Gap DropReason = "gap"
	// AfterEnd events follow the end of the answer.
	AfterEnd DropReason = "after_end"
	// CountMismatch ends the stream at another offset than was reached.
	CountMismatch DropReason = "count_mismatch"
	// Overrun events go past the request's limit of tokens.
	Overrun DropReason = "overrun"
)

// ApplyResult is what became of an event.
type ApplyResult struct {
	// Emitted says that the answer grew by one token.
	Emitted bool
	// Ended says that the answer is whole.
	Ended bool
	// Alive says that the event shows the current attempt's connection to work.
	Alive bool
	// Dropped is why the event was not used; empty if it was.
	Dropped DropReason
	// Broken says that nothing more can come of the current attempt: go on in
	// a new one from the answer's offset.
	Broken bool
}

// SplicedAnswer is the answer to one request as it grows. The zero value is not
// usable; it is not safe for concurrent use.
//
// All tokens are kept while the request is live: a later attempt resumes after
// them and late readers start anywhere. The limit of tokens bounds them.
type SplicedAnswer struct {
	request      ident.RequestID
	limit        int
	attempt      ident.AttemptID
	tokens       []string
	done         bool
	finishReason string
	dropped      map[DropReason]int
}

// New returns an empty answer of at most limit tokens.
func New(request ident.RequestID, limit int) *SplicedAnswer {
	return &SplicedAnswer{request: request, limit: limit, dropped: map[DropReason]int{}}
}

// Restore returns an answer that already has tokens from an earlier owner.
func Restore(request ident.RequestID, limit int, tokens []string) *SplicedAnswer {
	s := New(request, limit)
	s.tokens = slices.Clone(tokens)
	return s
}

// Finish ends an answer whose tokens were restored whole.
func (s *SplicedAnswer) Finish(reason string) {
	s.done = true
	s.finishReason = reason
}

// BeginAttempt makes an attempt the current one; events of all others are dropped
// from now on.
func (s *SplicedAnswer) BeginAttempt(attempt ident.AttemptID) { s.attempt = attempt }

// EndAttempt leaves no attempt current.
func (s *SplicedAnswer) EndAttempt() { s.attempt = "" }

// Attempt returns the current attempt; empty if there is none.
func (s *SplicedAnswer) Attempt() ident.AttemptID { return s.attempt }

// Offset is the number of tokens that the answer has.
func (s *SplicedAnswer) Offset() int { return len(s.tokens) }

// Done tells whether the answer is whole.
func (s *SplicedAnswer) Done() bool { return s.done }

// FinishReason is the engine's word for why it ended; empty until Done.
func (s *SplicedAnswer) FinishReason() string { return s.finishReason }

// TokensFrom returns the tokens from an offset on. The slice is shared and stays
// valid: kept tokens never change. It is empty past the end.
func (s *SplicedAnswer) TokensFrom(offset int) []string {
	if offset < 0 || offset >= len(s.tokens) {
		return nil
	}
	return s.tokens[offset:len(s.tokens):len(s.tokens)]
}

// Dropped counts the dropped events of a reason.
func (s *SplicedAnswer) Dropped(r DropReason) int { return s.dropped[r] }

// Extend takes tokens that a reader is known to have from an earlier owner.
// It reports false, and changes nothing, where they contradict the answer.
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

// Apply takes one event.
//
// A runner that answers late, twice or on the wrong connection would otherwise
// put another caller's words, or the same words twice, into the answer. Only
// the current attempt of this very request may extend it, and only by the next
// offset, so neither can.
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

// applyEnd accepts the applyEnd only at the offset that was reached: a stream that lost
// tokens on its way would otherwise pass for a whole answer.
func (s *SplicedAnswer) applyEnd(e Event) ApplyResult {
	if e.Offset != len(s.tokens) {
		return s.breakAttempt(CountMismatch)
	}
	s.done = true
	s.finishReason = e.FinishReason
	return ApplyResult{Ended: true, Alive: true}
}

func (s *SplicedAnswer) drop(r DropReason) ApplyResult {
	s.dropped[r]++
	return ApplyResult{Dropped: r}
}

func (s *SplicedAnswer) breakAttempt(r DropReason) ApplyResult {
	v := s.drop(r)
	v.Broken = true
	s.attempt = ""
	return v
}
