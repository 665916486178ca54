package stream_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/protocol/stream"
	"geraniumstack.org/geraniumstack/state/ident"
)

const request = ident.RequestID("r1")

func word(offset int) string { return fmt.Sprintf("w%d", offset) }

func tokenEvent(attempt ident.AttemptID, offset int) stream.Event {
	return stream.Event{Request: request, Attempt: attempt, Offset: offset, Token: word(offset)}
}

// Guards against a truncated answer that looks complete: a token is lost in
// transit, and the end event is accepted without comparing the number of
// tokens.
func TestEndAfterMissingTokensIsRejected(t *testing.T) {
	is := is.New(t)
	s := stream.New(request, 8)
	s.BeginAttempt("a1")
	s.Apply(tokenEvent("a1", 0))
	v := s.Apply(stream.Event{Request: request, Attempt: "a1", Offset: 2, Done: true})
	is.Equal(v, stream.ApplyResult{Dropped: stream.CountMismatch, Broken: true})
	is.True(!s.Done())
	is.Equal(s.Offset(), 1)
}

// Guards against duplicate tokens and tokens of another request in an answer:
// a runner that was given up on resumes and sends the rest of its stream while
// a second attempt runs.
func TestEventsOfOtherAttemptsAndRequestsAreDropped(t *testing.T) {
	is := is.New(t)
	s := stream.New(request, 8)
	s.BeginAttempt("a1")
	s.Apply(tokenEvent("a1", 0))
	s.BeginAttempt("a2")
	is.Equal(s.Apply(tokenEvent("a1", 1)).Dropped, stream.OtherAttempt)
	crossed := tokenEvent("a2", 1)
	crossed.Request = "r2"
	is.Equal(s.Apply(crossed).Dropped, stream.OtherRequest)
	is.True(s.Apply(tokenEvent("a2", 1)).Emitted)
	is.Equal(s.TokensFrom(0), []string{"w0", "w1"})
}

// TestAnswerIsAlwaysAPrefixOfTheTrueAnswer loses, repeats, misdirects and
// reorders events at random. The answer must remain a prefix of the true
// answer and end only when it is complete.
func TestAnswerIsAlwaysAPrefixOfTheTrueAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 6
		s := stream.New(request, length)
		attempts := []ident.AttemptID{"a1", "a2", "a3"}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			a := rapid.SampledFrom(attempts).Draw(t, "attempt")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				s.BeginAttempt(a)
			case 1:
				s.Apply(stream.Event{Request: "r2", Attempt: a, Token: "foreign", Offset: s.Offset()})
			case 2:
				s.Apply(stream.Event{Request: request, Attempt: a, Offset: length, Done: true})
			default:
				s.Apply(tokenEvent(a, rapid.IntRange(0, length-1).Draw(t, "offset")))
			}
			for i, got := range s.TokensFrom(0) {
				if got != word(i) {
					t.Fatalf("the answer holds %[2]q at offset %[1]d", i, got)
				}
			}
			if s.Done() && s.Offset() != length {
				t.Fatalf("the answer ended with %d of %d tokens", s.Offset(), length)
			}
		}
	})
}

func TestExtendAcceptsOnlyConsistentTokens(t *testing.T) {
	is := is.New(t)
	s := stream.Restore(request, 8, []string{"w0", "w1"})
	is.True(!s.Extend(1, []string{"other", "w2"}))
	is.True(!s.Extend(3, []string{"w3"}))
	is.True(s.Extend(1, []string{"w1", "w2"}))
	is.Equal(s.TokensFrom(0), []string{"w0", "w1", "w2"})
}
