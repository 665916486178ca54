package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
)

// returnFromCopy makes the store come back from a copy of some seconds before, after it was away for a while or without
// that any call fails.
func returnFromCopy(rng *rand.Rand) fault {
	age, away := durationBetween(rng, 200*time.Millisecond, 6*time.Second), durationBetween(rng, 0, 2500*time.Millisecond)
	if rng.IntN(3) == 0 {
		away = 0
	}
	return fault{description: fmt.Sprintf("store comes back from a copy of %v before, away for %v", age, away), apply: func(f *fleet) {
		copied := f.store.KV.Copy()
		time.Sleep(age)
		if away > 0 {
			f.store.KV.SetFaults(kvserver.Faults{Outage: true})
			time.Sleep(away)
		}
		f.store.ReturnFromCopy(copied)
		f.store.KV.SetFaults(kvserver.Faults{})
	}}
}
