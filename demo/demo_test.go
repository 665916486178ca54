package demo_test

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/demo"
	"geraniumstack.org/geraniumstack/standin/pipe"
)

// Callers of both example fleets send their load while the model runners of one
// failure domain and one gateway are reclaimed and the key-value service is down.
// Every accepted request must get its whole answer or a truthful refusal, and no
// action may run twice.
func TestPromisesHoldThroughReclaimsAndOutage(t *testing.T) {
	for _, fleet := range demo.Fleets {
		t.Run(fleet, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, err := demo.Run(t.Context(), demo.Options{Fleet: fleet, Seed: 1, Progress: io.Discard, Network: pipe.NewNetwork()})
				is.NoErr(err)
				for text, n := range s.Errors {
					t.Errorf("%d callers got %s", n, text)
				}
				is.Equal(s.LostAccepted, 0)
				is.Equal(s.AnswersMixed, 0)
				is.Equal(s.ActionsRunTwice, 0)
				is.Equal(s.FalseNotRun, 0)
				is.Equal(s.Errors, map[string]int{})
				is.True(s.AnsweredWhole > 900)
				is.True(s.PromisesKept)
			})
		})
	}
}
