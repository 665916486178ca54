package runnerspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// resendInterval is the time between two sends of a runner's estimate to followers: a quarter of the time
// for which they keep it, so that lost messages don't end it.
const resendInterval = MaxAge / 4

// Estimate is the estimated time between events at a runner, from a number of observations.
type Estimate struct {
	Runner       Runner
	Interval     time.Duration
	Observations int
}

// valid reports whether a daemon may have made the estimate.
func (e Estimate) valid() bool {
	return Valid(e.Interval) && e.Observations > 0 && e.Observations <= MaxObservations
}

type observation struct {
	at       time.Duration
	by       Observer
	interval time.Duration
}

// entry is what a table knows of one runner.
type entry struct {
	live bool
	// list is the number of the last list that had the runner.
	list         uint64
	observations []observation
	own          Estimate
	// relayed is the estimate that a relay has sent, at relayedAt.
	relayed   Estimate
	relayedAt time.Duration
	// changed says that own must be recomputed. logInterval is the logarithm of the interval in use.
	changed     bool
	inUse       Estimate
	logInterval float64
	// sent says that own has been sent to followers, at sentAt.
	sent   bool
	sentAt time.Duration
}

// Table learns the speeds of the runners of one service.
type Table struct {
	entries map[Runner]*entry
	// list counts the lists of runners.
	list uint64
	// order holds the runners, for the rotation of the estimates that are sent; next is the position to
	// continue at.
	order  []Runner
	next   int
	uneven bool
	// differFor is the number of consecutive updates at which the runners differed.
	differFor int
	factors   map[Runner]float64
	summary   Summary
}

// Summary describes what a table knows of the live runners.
type Summary struct {
	// Known is the number of the Runners with an estimate.
	Runners, Known int
	// Fastest and Slowest are the least and the greatest estimate.
	Fastest, Slowest time.Duration
	Uneven           bool
	// Oldest is the age of the oldest observation.
	Oldest time.Duration
}

// New returns a table without runners.
func New() *Table { return &Table{entries: map[Runner]*entry{}} }

// Listed is a runner in the list of a service's runners. The speed of one that isn't live doesn't affect
// the reference.
type Listed struct {
	Runner Runner
	Live   bool
}

// SetRunners replaces the list of the service's runners. It returns the indexes of the runners that were not
// listed before, and the runners that no longer are.
func (t *Table) SetRunners(list []Listed) (added []int, removed []Runner) {
	t.list++
	listed := 0
	for i, r := range list {
		e, ok := t.entries[r.Runner]
		if !ok {
			e = &entry{}
			t.entries[r.Runner] = e
			t.order = append(t.order, r.Runner)
			added = append(added, i)
		}
		if e.list != t.list {
			listed++
		}
		e.live, e.list = r.Live, t.list
	}
	if len(t.entries) > listed {
		t.order = slices.DeleteFunc(t.order, func(r Runner) bool {
			gone := t.entries[r].list != t.list
			if gone {
				removed = append(removed, r)
				delete(t.entries, r)
			}
			return gone
		})
	}
	return added, removed
}

// Observe records the observation of one stream. It returns false if the runner is not one of the
// service's or the interval is out of range.
func (t *Table) Observe(now time.Duration, r Runner, by Observer, interval time.Duration) bool {
	e, ok := t.entries[r]
	if !ok || !Valid(interval) {
		return false
	}
	byObserver, oldest := 0, 0
	for i, o := range e.observations {
		if o.by == by {
			if byObserver == 0 {
				oldest = i
			}
			byObserver++
		}
	}
	switch {
	case byObserver >= maxPerObserver:
		e.observations = slices.Delete(e.observations, oldest, oldest+1)
	case len(e.observations) >= MaxObservations:
		e.thin()
	}
	e.observations = append(e.observations, observation{now, by, interval})
	e.changed = true
	return true
}

// thin removes the observation that leaves the smallest gap, so that the others remain spread over MaxAge.
// At a busy runner the latest ones are all of one moment, which a slow period or a long prompt covers.
func (e *entry) thin() {
	closest, smallest := 1, time.Duration(math.MaxInt64)
	for i := 1; i < len(e.observations)-1; i++ {
		if gap := e.observations[i+1].at - e.observations[i-1].at; gap < smallest {
			closest, smallest = i, gap
		}
	}
	e.observations = slices.Delete(e.observations, closest, closest+1)
}

// Receive records the estimate of a relay. It returns false if the runner is not one of the service's or
// the estimate is out of range.
func (t *Table) Receive(now time.Duration, relayed Estimate) bool {
	e, ok := t.entries[relayed.Runner]
	if !ok || !relayed.valid() {
		return false
	}
	e.relayed, e.relayedAt, e.changed = relayed, now, true
	return true
}

// update recomputes the estimate in use of a runner.
func (e *entry) update(now time.Duration, r Runner) {
	if n := len(e.observations); n > 0 && now-e.observations[0].at > MaxAge {
		e.observations = slices.DeleteFunc(e.observations, func(o observation) bool { return now-o.at > MaxAge })
		e.changed = true
	}
	if e.relayed.Observations > 0 && now-e.relayedAt > MaxAge {
		e.relayed, e.changed = Estimate{}, true
	}
	if !e.changed {
		return
	}
	e.changed, e.own = false, Estimate{}
	if n := len(e.observations); n > 0 {
		e.own = Estimate{r, e.quantile(), n}
	}
	e.inUse = e.own
	if e.relayed.Observations > e.own.Observations {
		e.inUse = e.relayed
	}
	if e.inUse.Observations > 0 {
		e.logInterval = math.Log(e.inUse.Interval.Seconds())
	}
}

// quantile returns the quantile of the runner's observations.
func (e *entry) quantile() time.Duration {
	var intervals [MaxObservations]time.Duration
	for i, o := range e.observations {
		intervals[i] = o.interval
	}
	sorted := intervals[:len(e.observations)]
	slices.Sort(sorted)
	return quantile(sorted, estimateQuantile)
}

// comparable reports whether enough is known of a runner to compare it with others. The estimate of a
// relay always is.
func (e *entry) comparable() bool {
	n := len(e.observations)
	return e.inUse != e.own || n >= minObservations && e.observations[n-1].at-e.observations[0].at >= minSpan
}

// oldestAge returns the age of the oldest information in use.
func (e *entry) oldestAge(now time.Duration) time.Duration {
	if e.inUse == e.own && len(e.observations) > 0 {
		return now - e.observations[0].at
	}
	return now - e.relayedAt
}

// Update recomputes the estimates, whether the runners differ, and the factors. It reports whether a
// factor has changed.
func (t *Table) Update(now time.Duration) bool {
	s := Summary{}
	sum := 0.0
	var compared []time.Duration
	for r, e := range t.entries {
		e.update(now, r)
		if !e.live {
			continue
		}
		s.Runners++
		if e.inUse.Observations == 0 {
			continue
		}
		s.Known++
		sum += e.logInterval
		s.Slowest, s.Oldest = max(s.Slowest, e.inUse.Interval), max(s.Oldest, e.oldestAge(now))
		if s.Fastest == 0 || e.inUse.Interval < s.Fastest {
			s.Fastest = e.inUse.Interval
		}
		if e.comparable() {
			compared = append(compared, e.inUse.Interval)
		}
	}
	if !differ(compared, s.Runners, t.uneven) {
		t.differFor, t.uneven = 0, false
	} else if t.differFor++; t.differFor >= startUpdates {
		t.uneven = true
	}
	s.Uneven = t.uneven
	t.summary = s
	return t.setFactors(math.Exp(sum / float64(max(1, s.Known))))
}

// differ reports whether runners differ by their estimates. before says whether they did so far; then a
// new runner of a small service, of which nothing is known yet, doesn't end that.
func differ(estimates []time.Duration, runners int, before bool) bool {
	if len(estimates) < 2 || !before && len(estimates) < min(minRunners, runners) {
		return false
	}
	slices.Sort(estimates)
	ratio := float64(quantile(estimates, slowQuantile)) / float64(quantile(estimates, fastQuantile))
	return ratio >= startRatio || before && ratio >= endRatio
}

// setFactors computes the factors by the interval that is the reference, in seconds.
func (t *Table) setFactors(reference float64) bool {
	if !t.uneven {
		changed := len(t.factors) > 0
		t.factors = nil
		return changed
	}
	before := t.factors
	t.factors = make(map[Runner]float64, len(before))
	changed := false
	for r, e := range t.entries {
		factor := 1.0
		if e.inUse.Observations > 0 {
			factor = factorOf(reference, e.inUse.Interval.Seconds(), e.inUse.Observations)
		}
		if factor != 1 {
			t.factors[r] = factor
		}
		changed = changed || factor != cmp.Or(before[r], 1)
	}
	return changed || len(t.factors) < len(before)
}

// Uneven reports whether the service's runners differ.
func (t *Table) Uneven() bool { return t.uneven }

// Factor returns how many times as fast as the reference a runner is: one while the runners don't differ,
// and for a runner of which nothing is known.
func (t *Table) Factor(r Runner) float64 { return cmp.Or(t.factors[r], 1) }

// Summary returns what the last Update has found.
func (t *Table) Summary() Summary { return t.summary }

// ForFollowers returns at most limit estimates to send to followers: first those of runners that have not
// been sent yet, then the others in rotation. There are none while the runners don't differ. They are sent
// from the first Update at which the runners differ, so that followers judge at the same time as their
// relay. The estimates are those of the last Update.
func (t *Table) ForFollowers(now time.Duration, limit int) []Estimate {
	if t.differFor == 0 {
		return nil
	}
	var list []Estimate
	add := func(r Runner) {
		e := t.entries[r]
		e.sent, e.sentAt = true, now
		list = append(list, e.own)
	}
	for _, r := range t.order {
		if e := t.entries[r]; len(list) < limit && e.own.Observations > 0 && !e.sent {
			add(r)
		}
	}
	for range t.order {
		if len(list) >= limit {
			break
		}
		t.next = (t.next + 1) % len(t.order)
		r := t.order[t.next]
		if e := t.entries[r]; e.own.Observations > 0 && now-e.sentAt >= resendInterval {
			add(r)
		}
	}
	return list
}
