package health

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// failureWeight is the weight of the latest outcome in a runner's failure chance, successWeight that of a success: a
	// runner that serves again is soon used again.
	failureWeight = 0.5
	successWeight = 0.75
	// minChance is the least chance that counts. Below it a runner is like one that has never failed.
	minChance = 0.05
	// A chance falls by a factor e in firstForgetting without another outcome, since the runner may serve again. The
	// time doubles with each further failure in a row up to maxForgetting, so that the requests that find out are few.
	firstForgetting = time.Second
	maxForgetting   = 4 * time.Second
)

// outcomes is what is remembered of a runner's recent requests: the chance that the next one isn't served, as of a time,
// and the number of the latest ones in a row that were not.
type outcomes struct {
	chance float64
	streak int
	at     time.Time
}

// add takes up the outcome of a request.
func (o *outcomes) add(now time.Time, served bool) {
	chance := o.chanceAt(now)
	if served {
		chance -= successWeight * chance
		o.streak = 0
	} else {
		chance += failureWeight * (1 - chance)
		o.streak++
	}
	o.chance, o.at = chance, now
}

// chanceAt returns the chance that a request isn't served; zero if it is less than minChance.
func (o *outcomes) chanceAt(now time.Time) float64 {
	if o.chance == 0 {
		return 0
	}
	chance := o.chance * math.Exp(-now.Sub(o.at).Seconds()/o.forgetting().Seconds())
	if chance < minChance {
		return 0
	}
	return chance
}

func (o *outcomes) forgetting() time.Duration {
	forgetting := firstForgetting
	for i := 1; i < o.streak && forgetting < maxForgetting; i++ {
		forgetting *= 2
	}
	return min(forgetting, maxForgetting)
}

// FailureChance returns the chance that a runner doesn't serve its next request, from 0 to 1, by the outcomes of its latest
// ones. Unlike ejections, which are bounded, it tells sound runners from others however many fail.
func (t *Tracker) FailureChance(now time.Time, id ident.RunnerID) float64 {
	r, ok := t.runners[id]
	if !ok {
		return 0
	}
	return r.outcomes.chanceAt(now)
}

// FailureChances calls f for each runner of which failures are remembered.
func (t *Tracker) FailureChances(now time.Time, f func(ident.RunnerID, float64)) {
	for id, r := range t.runners {
		if r.outcomes.chance == 0 {
			continue
		}
		chance := r.outcomes.chanceAt(now)
		if chance == 0 {
			r.outcomes.chance = 0
		}
		f(id, chance)
	}
}
