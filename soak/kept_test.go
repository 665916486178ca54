package soak_test

import (
	"testing"
	"time"
)

// TestKeptSeeds plays the seeds that ever failed.
func TestKeptSeeds(t *testing.T) {
	for _, one := range []struct {
		seed   int64
		length time.Duration
		cause  string
	}{
		{136, 10 * time.Second, "race detector: a service's settings were read while a configuration replaced them"},
	} {
		t.Run(one.cause, func(t *testing.T) { play(t, one.seed, one.length, 4) })
	}
}
