package health

import (
	"cmp"
	"math"
	"slices"
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
	// unprovenChance is that of a runner that may serve again while others are known to serve. Each is tried in its turn, which
	// ends after turnLength if no request comes to it.
	unprovenChance = 0.1
	turnLength     = 500 * time.Millisecond
)

// outcomes is what is remembered of a runner's recent requests: the chance that the next one isn't served, as of a time,
// and the number of the latest ones in a row that were not. remembered says that the chance that was told last may not be zero. At
// turnEnd the runner's latest turn to be tried ends.
type outcomes struct {
	chance     float64
	streak     int
	at         time.Time
	remembered bool
	turnEnd    time.Time
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
	o.chance, o.at, o.remembered = chance, now, true
}

// unproven reports whether the runner hasn't served its latest request, or has had none while most of the others fail.
func (o *outcomes) unproven(mostFail bool) bool { return o.streak > 0 || mostFail && o.at.IsZero() }

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

// FailureChances calls f for each runner of which failures are remembered. A runner whose latest request wasn't served has
// unprovenChance at least, however long ago that was, and so has one without any if most of the others are such. With mayTry some
// have not, in turn, so that requests find out whether they serve: one at a time, more while those that are tried do.
func (t *Tracker) FailureChances(now time.Time, mayTry bool, f func(ident.RunnerID, float64)) {
	mostFail := t.mostFail()
	if mayTry {
		t.giveTurns(now, mostFail)
	}
	for id, r := range t.runners {
		o := &r.outcomes
		chance := o.chanceAt(now)
		if o.unproven(mostFail) && !(mayTry && now.Before(o.turnEnd)) {
			chance = max(chance, unprovenChance)
		}
		if chance == 0 && !o.remembered {
			continue
		}
		o.remembered = chance > 0
		f(id, chance)
	}
}

// giveTurns lets turns begin until as many unproven runners are tried as may be at a time: of those whose last turn is the longest
// ago.
func (t *Tracker) giveTurns(now time.Time, mostFail bool) {
	var waiting []ident.RunnerID
	left := max(1, t.triedAtATime)
	for id, r := range t.runners {
		o := &r.outcomes
		switch {
		case !o.unproven(mostFail) || o.chanceAt(now) >= unprovenChance:
		case now.Before(o.turnEnd):
			left--
		default:
			waiting = append(waiting, id)
		}
	}
	slices.SortFunc(waiting, func(a, b ident.RunnerID) int {
		return cmp.Or(t.runners[a].outcomes.turnEnd.Compare(t.runners[b].outcomes.turnEnd), cmp.Compare(a, b))
	})
	for _, id := range waiting[:max(0, min(left, len(waiting)))] {
		t.runners[id].outcomes.turnEnd = now.Add(turnLength)
	}
}

// recordOutcome takes up the outcome of a request. What became of one at an unproven runner says how many of these may be tried at
// a time: what has made runners fail may be over for all of them.
func (t *Tracker) recordOutcome(now time.Time, r *runner, served bool) {
	switch {
	case r.outcomes.streak == 0:
	case served:
		t.triedAtATime = min(2*max(1, t.triedAtATime), len(t.runners))
	default:
		t.triedAtATime = 1
	}
	r.outcomes.add(now, served)
}

// mostFail reports whether more of the runners that have been tried haven't served their latest request than have.
func (t *Tracker) mostFail() bool {
	served, failing := 0, 0
	for _, r := range t.runners {
		switch {
		case r.outcomes.streak > 0:
			failing++
		case !r.outcomes.at.IsZero():
			served++
		}
	}
	return failing > served
}
