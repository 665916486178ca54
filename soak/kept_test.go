package soak_test

import (
	"testing"
	"time"
)

// TestKeptSeeds replays the seeds that have exposed a fault before.
func TestKeptSeeds(t *testing.T) {
	for _, one := range []struct {
		seed   int64
		length time.Duration
		// silences is set for seeds that were kept for what they play with silences of runners.
		silences bool
		cause    string
	}{
		{136, 10 * time.Second, false, "race detector: a service's settings were read while a configuration replaced them"},
		{401, 10 * time.Second, false, "a key was looked up in the former configuration and admitted by the age of the next"},
		{424, 10 * time.Second, false, "a stream went on at a runner that answered with a body that is no stream, which was appended"},
		{5606, 4 * time.Second, true, "streams were cut while their runners were silent, which went on a moment later"},
	} {
		t.Run(one.cause, func(t *testing.T) { runSeed(t, one.seed, one.length, 4, one.silences) })
	}
}
