package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	leastSilence = 300 * time.Millisecond
	// mostSilence is longer than a daemon needs to probe a silent runner and to try a second one.
	mostSilence = 2500 * time.Millisecond
	// firstSilence leaves the first streams the time to begin.
	firstSilence = 500 * time.Millisecond
	// mostSilenceGap is the longest time between the beginnings of two silences, so that several fall into the
	// shortest soak.
	mostSilenceGap = 2500 * time.Millisecond
)

// drawSilences returns the silences of runners for a seed. They have a generator of their own, so that the other
// faults of a seed don't depend on them.
func drawSilences(seed int64, length time.Duration) []fault {
	rng := generator(seed, silenceDraws)
	var silences []fault
	for at := firstSilence; at < length; at += durationBetween(rng, 0, mostSilenceGap) {
		f := silence(rng)
		f.at = at
		silences = append(silences, f)
	}
	return silences
}

// silence makes one, some or all runners silent for a while: their connections stay open, and everything goes on
// afterwards.
func silence(rng *rand.Rand) fault {
	span := durationBetween(rng, leastSilence, mostSilence)
	first := rng.IntN(1000)
	share := []string{"one runner", "half of the runners", "all runners"}[rng.IntN(3)]
	return fault{description: fmt.Sprintf("%s silent for %v, from %d on", share, span, first), apply: func(f *fleet) {
		var silent sync.WaitGroup
		for _, r := range f.runnersFrom(first, share) {
			silent.Go(func() { r.beSilent(span) })
		}
		silent.Wait()
	}}
}

// runnersFrom returns a share of the runners that haven't been removed.
func (f *fleet) runnersFrom(first int, share string) []*proxiedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.runners)
	count := map[string]int{"one runner": 1, "half of the runners": (n + 1) / 2, "all runners": n}[share]
	var chosen []*proxiedRunner
	for i := range count {
		chosen = append(chosen, f.runners[(first+i)%n])
	}
	return chosen
}

// beSilent makes the runner silent for a time. Of two silences that overlap, the first end ends both, so that none
// is longer than drawn.
func (r *proxiedRunner) beSilent(span time.Duration) {
	r.silent.begin()
	r.Sleep()
	time.Sleep(span)
	r.wake()
}

func (r *proxiedRunner) wake() {
	r.Wake()
	r.silent.end()
}
