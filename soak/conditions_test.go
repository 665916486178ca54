package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// conditions say what a seed plays beside the faults of drawFaults.
type conditions struct {
	// silences makes runners silent now and then, and adds callers that send requests for long streams.
	silences bool
	// returns makes refused callers come back when Retry-After says so, until their time is over.
	returns bool
	// unequalRunners makes every second runner twice as fast as the others, and restarts runners, each of which has
	// the other speed then.
	unequalRunners bool
	// surges makes the runners engines with few slots, adds workspaces with quotas in tokens, and multiplies the
	// requests of one of them for a while.
	surges bool
	// domains places the daemons in two failure domains with unequal numbers of runners, and cuts the links between
	// the domains now and then.
	domains bool
	// copies makes the store be away and come back from an older copy now and then.
	copies bool
	// powerLosses kills all daemons now and then at the moment at which the store is lost, which comes back from an
	// older copy.
	powerLosses bool
	// upgrades makes the events of streams name the software version of their runner, and lets runners start again at
	// their addresses with another version, before their entries say so.
	upgrades bool
	// storms makes runners refuse connections while others fail many requests now and then.
	storms bool
	// brokenAnswers makes runners answer many requests with bytes that are no answer now and then.
	brokenAnswers bool
	// firstStarts lets the settings say at each start of a daemon that it is the fleet's first, which is so on the
	// platform only once.
	firstStarts bool
	// attempts replaces the number of runners to which a request may be sent; zero for that of routes.
	attempts int
}

// The generators of a seed. Each list of draws has its own, so that one doesn't shift another.
const (
	faultDraws = 7 + iota
	silenceDraws
	conditionDraws
	restartDraws
	surgeDraws
	domainCutDraws
	copyDraws
	powerLossDraws
	upgradeDraws
	stormDraws
	brokenAnswerDraws
)

func generator(seed int64, draws uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), draws))
}

// drawConditions returns the conditions of a seed that TestSoak plays.
func drawConditions(seed int64) conditions {
	rng := generator(seed, conditionDraws)
	drawn := func() bool { return rng.IntN(2) == 0 }
	return conditions{silences: true, returns: true, unequalRunners: drawn(), surges: drawn(), domains: drawn()}
}

// draw returns the faults of a seed under the conditions, in the order of their times.
func (c conditions) draw(seed int64, length time.Duration, daemons int) []fault {
	faults := drawFaults(seed, length, daemons)
	if c.silences {
		faults = merge(faults, drawSilences(seed, length))
	}
	if c.unequalRunners {
		faults = merge(faults, drawRepeated(seed, restartDraws, length, restartRunner))
	}
	if c.surges {
		faults = merge(faults, drawRepeated(seed, surgeDraws, length, surge))
	}
	if c.domains {
		faults = merge(faults, drawRepeated(seed, domainCutDraws, length, cutDomains))
	}
	if c.copies {
		faults = merge(faults, drawRepeated(seed, copyDraws, length, returnFromCopy))
	}
	if c.powerLosses {
		faults = merge(faults, drawRepeated(seed, powerLossDraws, length, losePower))
	}
	if c.upgrades {
		faults = merge(faults, drawRepeated(seed, upgradeDraws, length, upgradeRunner))
	}
	if c.storms {
		faults = merge(faults, drawRepeated(seed, stormDraws, length, failAtManyRunners))
	}
	if c.brokenAnswers {
		faults = merge(faults, drawRepeated(seed, brokenAnswerDraws, length, breakAnswers))
	}
	return faults
}

const (
	firstRepeated = 500 * time.Millisecond
	// A fault of a condition follows the former one's beginning within these times, so that each comes at least
	// once in the shortest soak.
	leastRepeatedGap = time.Second
	mostRepeatedGap  = 4 * time.Second
)

func drawRepeated(seed int64, draws uint64, length time.Duration, kind func(*rand.Rand) fault) []fault {
	rng := generator(seed, draws)
	var faults []fault
	for at := firstRepeated; at < length; at += durationBetween(rng, leastRepeatedGap, mostRepeatedGap) {
		f := kind(rng)
		f.at = at
		faults = append(faults, f)
	}
	return faults
}

// fastRunnerFactor is the time of a request or an event at a fast runner, as a part of that at a slow one.
const fastRunnerFactor = 0.5

// timeFactor returns the time that requests and events take at a runner, as a part of what they take in fleets of equal
// runners. Of the runners that start one after the other, with the same name or not, every second one is fast.
func (f *fleet) timeFactor(number, starts int) float64 {
	if f.with.unequalRunners && (int64(number+starts)+f.seed)%2 == 0 {
		return fastRunnerFactor
	}
	return 1
}

// restartRunner ends a runner and starts another one with its name.
func restartRunner(rng *rand.Rand) fault {
	i, down := rng.IntN(1000), durationBetween(rng, 0, time.Second)
	return fault{description: fmt.Sprintf("runner %d starts anew after %v", i, down), apply: func(f *fleet) {
		b := f.removeRunner(i)
		if b == nil {
			return
		}
		b.end()
		time.Sleep(down)
		if err := f.startRunner(b.number, b.starts+1); err != nil {
			f.t.Errorf("start a runner anew: %v", err)
		}
	}}
}
