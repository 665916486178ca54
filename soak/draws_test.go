package soak_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"
)

// Guards against changes of the draws that make kept seeds play something else than what they were kept for.
func TestKeptSeedsDrawTheSameFaults(t *testing.T) {
	digest := sha256.New()
	for _, seed := range []int64{136, 401, 424} {
		fmt.Fprintln(digest, describe(drawFaults(seed, 10*time.Second, 4)))
	}
	const want = "46a6fc7d1de0c21d"
	if got := fmt.Sprintf("%x", digest.Sum(nil)[:8]); got != want {
		t.Errorf("the kept seeds draw other faults than before: digest %s, want %s", got, want)
	}
}

// Guards against silences that are shorter or longer than the docs say, or that don't come in the shortest soak.
func TestSilencesComeInEachSoak(t *testing.T) {
	for seed := range int64(200) {
		silences := drawSilences(seed, 6*time.Second)
		if len(silences) < 3 {
			t.Errorf("seed %d draws %d silences, want at least 3", seed, len(silences))
		}
	}
}
