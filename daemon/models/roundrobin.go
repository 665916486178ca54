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

// RoundRobin is a Picker that admits every request and uses live runners in
// turn. Daemons without a routing policy use it, and it is the baseline of the
// benchmarks.
type RoundRobin struct {
	Directory view.Directory
	next      atomic.Uint64
}

const roundRobinRetryAfter = time.Second

// Acquire admits every request.
func (r *RoundRobin) Acquire(context.Context, call.ModelRequest) (func(), error) {
	return func() {}, nil
}

// Pick returns the next live runner. It returns an excluded or suspect runner
// only if there is no other.
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

// Started does nothing.
func (r *RoundRobin) Started(Job, Choice) {}

// Ended does nothing.
func (r *RoundRobin) Ended(Job, AttemptResult) {}
