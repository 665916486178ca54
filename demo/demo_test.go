package demo_test

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/demo"
	"geraniumstack.org/geraniumstack/standin/pipe"
)

// Callers of both users send their mix while a failure domain's model runners
// and a gateway are reclaimed and the key-value service is out. Every accepted
// request must be answered whole or truthfully refused, and no action may run
// twice.
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
