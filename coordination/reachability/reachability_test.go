package reachability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/reachability"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Guards against a daemon that takes the failure of some runners for the loss of its own paths.
func TestRunnerThatAnswersShowsThatThePathsWork(t *testing.T) {
	is := is.New(t)
	var r reachability.Tracker
	r.Reached(0)
	for _, id := range []ident.RunnerID{"a", "b"} {
		is.True(!r.Failed(time.Second, id, 10))
		is.True(!r.Failed(time.Second, id, 10))
	}
	r.Reached(time.Second)
	is.True(!r.Failed(2*time.Second, "c", 10))
	is.True(!r.Failed(2*time.Second, "d", 10))
	is.True(r.Failed(2*time.Second, "a", 10))
	is.True(r.Unreachable())
	is.True(!r.Failed(2*time.Second, "b", 10)) // reported once
	is.True(r.Reached(3 * time.Second))
	is.True(!r.Unreachable())
	is.True(!r.Reached(3 * time.Second))
}

// Guards against a burst of failures beside answers of a moment ago that counts as a lost path.
func TestRecentAnswerOutweighsFailures(t *testing.T) {
	is := is.New(t)
	var r reachability.Tracker
	r.Reached(time.Second)
	for _, id := range []ident.RunnerID{"a", "b", "c", "d"} {
		is.True(!r.Failed(1100*time.Millisecond, id, 10))
	}
	is.True(r.Failed(1400*time.Millisecond, "a", 10))
}

// Guards against a service with few runners whose loss never counts.
func TestFewRunners(t *testing.T) {
	is := is.New(t)
	var r reachability.Tracker
	is.True(r.Failed(time.Second, "a", 1))
	is.True(!(&reachability.Tracker{}).Failed(time.Second, "a", 2))
}
