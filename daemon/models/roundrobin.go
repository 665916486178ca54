package models

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// RoundRobin admits everything and takes live runners in turn. It is what
// daemons without a routing policy use, and the baseline of measurements.
type RoundRobin struct {
	Directory view.Directory
	next      atomic.Uint64
}

const roundRobinRetryAfter = time.Second

// Acquire admits the request.
func (r *RoundRobin) Acquire(context.Context, call.ModelRequest) (func(), error) {
	return func() {}, nil
}

// Pick takes the next live runner; excluded ones only if there is no other.
func (r *RoundRobin) Pick(_ context.Context, j Job) (Choice, error) {
	var preferred, fallback []view.Runner
	for _, runner := range r.Directory.Runners(j.Service) {
		switch {
		case runner.State == view.Leaving || runner.State == view.Gone:
		case slices.Contains(j.Exclude, runner.ID) || runner.State == view.Suspect:
			fallback = append(fallback, runner)
		default:
			preferred = append(preferred, runner)
		}
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	if len(preferred) == 0 {
		return Choice{}, refusal.New(refusal.NoRunner, "no live runner of %s", j.Service).After(roundRobinRetryAfter)
	}
	chosen := preferred[(r.next.Add(1)-1)%uint64(len(preferred))]
	return Choice{Runner: chosen.ID, Address: chosen.Address}, nil
}

// Started is not used.
func (r *RoundRobin) Started(Job, Choice) {}

// Ended is not used.
func (r *RoundRobin) Ended(Job, AttemptResult) {}
