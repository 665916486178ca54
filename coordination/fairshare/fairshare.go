// Package fairshare decides who is served first while a service has too little capacity for the load that all
// daemons together bring to it: bursts of the least urgent and of the most expensive requests, and a workspace
// at several times its usual load within its quota. It promises:
//
//   - A workspace that uses no more for its weight than the mean of all workspaces is never over its share.
//   - Only requests of workspaces over their share are demoted, and only while a service is short. They stay
//     ahead of the next class, and are not refused for it.
//   - Requests that aren't demoted keep their order, also beside daemons that judge otherwise. Unless all daemons
//     number priorities by rank, they keep the priorities that the configuration gives them.
//   - No request is refused that would not be if engines read in the order of arrival.
//   - The callers that are refused are asked to return at times of their own, in the order of their refusals, at
//     the rate at which their class is served. One that returns at its time is not refused again for its wait
//     while it can still be served.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock. Its types are not safe
// for concurrent use.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// overTolerance is the fraction of the level by which a workspace may exceed it.
	overTolerance = 0.1
	// maxServedInTime is the largest fraction of the use that counts as capacity. The queues of a service that is
	// short are too long even if it answers as much as it is sent. The rest is more than overTolerance/(1+overTolerance) of
	// the use, so that a workspace is found to be over its share however much of the use is its own.
	maxServedInTime = 0.9
	// minLevel is the use per weight up to which nobody is over its share. Weights are quotas' rates, and use decays with a time
	// constant of a second: four seconds after a workspace has used all of its quota, what remains says nothing.
	minLevel = 0.02
	// throughputDecay is the time constant of Throughput: a few times as long as callers wait for a first token.
	throughputDecay = 3 * time.Second
)

// Use is what a workspace uses over all daemons, in tokens per second, and the weight of its share.
type Use struct {
	PerSecond, Weight float64
}

// perWeight returns the use for each unit of weight; uses of unknown size have none.
func (u Use) perWeight() float64 {
	if !(u.Weight > 0 && u.PerSecond > 0) || math.IsInf(u.Weight, 1) {
		return 0
	}
	return u.PerSecond / u.Weight
}

// Level returns the use per weight up to which every workspace can be served in full with a capacity in tokens
// per second: the max-min fair level. It is infinite if the capacity covers all uses.
func Level(uses []Use, capacity float64) float64 {
	sorted := slices.DeleteFunc(slices.Clone(uses), func(u Use) bool { return u.perWeight() == 0 })
	slices.SortFunc(sorted, func(a, b Use) int { return cmp.Compare(a.perWeight(), b.perWeight()) })
	weight := 0.0
	for _, u := range sorted {
		weight += u.Weight
	}
	for _, u := range sorted {
		level := max(0, capacity) / weight
		if u.perWeight() > level {
			return level
		}
		capacity -= u.PerSecond
		weight -= u.Weight
	}
	return math.Inf(1)
}

// ShareLevel returns the level above which workspaces are over their share if only the fraction served of their use
// is served in time. It is at least the mean use per weight: if the capacity is too small even for the workspaces
// with little use, demoting them, too, would put them level with the others.
func ShareLevel(uses []Use, served float64) float64 {
	total, weight := 0.0, 0.0
	for _, u := range uses {
		if u.perWeight() > 0 {
			total += u.PerSecond
			weight += u.Weight
		}
	}
	if weight == 0 {
		return math.Inf(1)
	}
	return max(minLevel, total/weight, Level(uses, total*min(served, maxServedInTime)))
}

// Over reports whether a workspace's use is over its share.
func Over(u Use, level float64) bool { return u.perWeight() > level*(1+overTolerance) }

// Throughput estimates how much of what a daemon sends to runners they answer meanwhile.
type Throughput struct{ sent, answered decayingSum }

// Send records tokens that were sent to a runner, Answer those of a request whose answer has begun.
func (t *Throughput) Send(now time.Duration, tokens float64) { t.sent.add(now, tokens) }

// Answer is described at Send.
func (t *Throughput) Answer(now time.Duration, tokens float64) { t.answered.add(now, tokens) }

// Served returns the fraction of what was sent lately that was answered, at most one.
func (t *Throughput) Served(now time.Duration) float64 {
	if t.sent.value(now) <= 0 {
		return 1
	}
	return min(1, t.answered.value(now)/t.sent.value(now))
}

// decayingSum is an amount that decays with the time constant throughputDecay.
type decayingSum struct {
	amount float64
	at     time.Duration
}

func (s *decayingSum) add(now time.Duration, amount float64) {
	*s = decayingSum{s.value(now) + amount, now}
}

func (s *decayingSum) value(now time.Duration) float64 {
	return s.amount * math.Exp(-(now-s.at).Seconds()/throughputDecay.Seconds())
}

// perSecond returns the rate of a steady flow with the same sum.
func (s *decayingSum) perSecond(now time.Duration) float64 {
	return s.value(now) / throughputDecay.Seconds()
}
