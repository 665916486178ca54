package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
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

// losePower kills all daemons at the moment at which the store is lost. The store comes back from a copy of some seconds
// before, and the daemons start before it or after.
func losePower(rng *rand.Rand) fault {
	age, away, down := durationBetween(rng, 200*time.Millisecond, 6*time.Second), durationBetween(rng, 0, 2*time.Second), durationBetween(rng, 0, 2*time.Second)
	return fault{description: fmt.Sprintf("store and all daemons are lost, copy of %v before, away for %v and %v", age, away, down), apply: func(f *fleet) {
		copied := f.store.KV.Copy()
		time.Sleep(age)
		f.store.KV.SetFaults(kvserver.Faults{Outage: true})
		var all sync.WaitGroup
		all.Go(func() { f.killAll(down) })
		time.Sleep(away)
		f.store.ReturnFromCopy(copied)
		f.store.KV.SetFaults(kvserver.Faults{})
		all.Wait()
	}}
}
