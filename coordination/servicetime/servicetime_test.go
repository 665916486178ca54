package servicetime_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/servicetime"
)

// Guards against a mean that stays at the initial guess, and against waiting time that is counted
// as service time.
func TestMeanFollowsAnswersThatDidNotWait(t *testing.T) {
	is := is.New(t)
	m := servicetime.New(20 * time.Millisecond)
	for range 200 {
		m.Observe(60*time.Millisecond, 2, 6)
		m.Observe(900*time.Millisecond, 6, 6)
	}
	is.True(math.Abs(m.Seconds()-0.06) < 0.001)
}
