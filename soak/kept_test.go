package soak_test

import (
	"testing"
	"time"
)

// TestKeptSeeds replays the seeds that have exposed a fault before.
func TestKeptSeeds(t *testing.T) {
	t.Parallel()
	for _, one := range []struct {
		seed   int64
		length time.Duration
		// with are the conditions under which the seed was kept.
		with  conditions
		cause string
	}{
		{136, 10 * time.Second, conditions{firstStarts: true}, "race detector: a service's settings were read while a configuration replaced them"},
		{401, 10 * time.Second, conditions{firstStarts: true}, "a key was looked up in the former configuration and admitted by the age of the next"},
		{424, 10 * time.Second, conditions{firstStarts: true}, "a stream went on at a runner that answered with a body that is no stream, which was appended"},
		{5606, 4 * time.Second, conditions{silences: true, firstStarts: true}, "streams were cut while their runners were silent, which went on a moment later"},
	} {
		t.Run(one.cause, func(t *testing.T) { runSeed(t, one.seed, one.length, 4, one.with) })
	}
}
