package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// upgradeRunner ends a runner, which starts again at its address and under its name with the other version. Its entry
// follows later.
func upgradeRunner(rng *rand.Rand) fault {
	i, down, entryAfter := rng.IntN(1000), durationBetween(rng, 0, 300*time.Millisecond), durationBetween(rng, 0, 3*time.Second)
	return fault{description: fmt.Sprintf("runner %d has the other version after %v, and its entry %v later", i, down, entryAfter), apply: func(f *fleet) {
		former := f.removeRunner(i)
		if former == nil {
			return
		}
		former.ended.begin()
		former.Close()
		time.Sleep(down)
		b, err := f.newRunner(former.number, former.starts+1)
		if err != nil {
			f.t.Errorf("start a runner with the other version: %v", err)
			return
		}
		b.proxy = former.proxy
		b.proxy.target.Store(b.Address)
		f.mu.Lock()
		f.runners = append(f.runners, b)
		f.mu.Unlock()
		time.Sleep(entryAfter)
		f.mu.Lock()
		serves := slices.Contains(f.runners, b)
		f.mu.Unlock()
		if serves {
			f.announce(b, site.Ready)
		}
	}}
}
