// Package runnerspeed learns how fast each runner of a service is, for services whose runners differ.
//
// The load that it handles: runners of one service on VMs of unequal size. A choice by queue length
// alone gives a slow runner as many requests as a fast one, so its requests wait longer, and its running
// streams pause longer while it reads a prompt.
//
// The speed is learned from the time between the events of streams, which doesn't depend on the prompt
// or the queue. One daemon sends a runner too few streams for an estimate of its own, so daemons tell
// each other their observations. Stream makes an observation, Table turns those of all daemons into a
// factor for each runner, and PauseRisk learns how many streams pause for too long.
//
// Promises: while the runners of a service don't differ, every factor is exactly one. An observation
// counts for MaxAge. One daemon contributes at most maxPerObserver of the MaxObservations of a runner, so
// its false observations move the estimate by less than their share of ranks. Nothing is known of a
// runner that the table isn't told to be one of the service's.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock. Its types are not
// safe for concurrent use.
package runnerspeed

import (
	"math"
	"time"
)

// Runner is the hash of a runner's ID. The ID differs for each run of the runner.
type Runner uint64

// Observer is the hash of the incarnation of a daemon that tells of observations: its own or, if it is a
// relay, those of its followers.
type Observer uint64

const (
	// MaxAge is how long an observation or a received estimate counts.
	MaxAge = 10 * time.Second
	// MaxObservations is the number of a runner's observations that count, spread over MaxAge.
	MaxObservations = 16
	// maxPerObserver is less than 0.3 of MaxObservations, so that the quantile of a runner's observations
	// remains one that another daemon has made.
	maxPerObserver = 4
	// MinInterval and MaxInterval bound the time between two events. Events that come faster were waiting
	// to be received; no engine has steps that short.
	MinInterval = 500 * time.Microsecond
	MaxInterval = MaxAge
)

const (
	// estimateQuantile is the quantile of a runner's observations that is its estimate. Half of a runner's
	// streams may begin while it is slow or reads a prompt.
	estimateQuantile = 0.3
	// The runners differ when the slowQuantile of their estimates is at least startRatio times the
	// fastQuantile, until the ratio is under endRatio. Differences below result from the load of the batch.
	slowQuantile, fastQuantile = 0.9, 0.1
	startRatio, endRatio       = 1.75, 1.5
	// minRunners is the number of runners with estimates that the comparison needs; all if the service has
	// fewer. Only runners with minObservations over minSpan count, and the runners must differ at
	// startUpdates updates in turn: single streams differ by more than startRatio without a difference of
	// the runners, since a slow period of some hundred milliseconds covers all the intervals of one.
	minRunners      = 8
	minObservations = 4
	minSpan         = MaxAge / 5
	startUpdates    = 5
	// maxFactor bounds the effect of an estimate. factorStep is the ratio of two adjacent factors.
	maxFactor  = 4
	factorStep = 1.05
)

// Valid reports whether an interval may be that between two events of a stream.
func Valid(interval time.Duration) bool { return interval >= MinInterval && interval <= MaxInterval }

// quantile returns the given quantile of sorted values by the nearest rank.
func quantile[T any](sorted []T, q float64) T {
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// factorOf returns the factor of a runner: how many times as fast as the reference it is. The fewer
// observations there are, the nearer to one it is.
func factorOf(reference, interval float64, observations int) float64 {
	weight := float64(observations) / float64(observations+1)
	maxSteps := math.Floor(math.Log(maxFactor) / math.Log(factorStep))
	steps := math.Round(weight * math.Log(reference/interval) / math.Log(factorStep))
	return math.Pow(factorStep, max(-maxSteps, min(maxSteps, steps)))
}
