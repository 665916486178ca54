package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
)

// A request whose connection breaks says little of its runner: the connection alone may have broken, or this
// daemon may be cut off. So a runner counts as failed only if it doesn't accept a new connection while
// another one does.

// failureCheckTimeout is the time that a runner has to accept a connection or refuse it.
const failureCheckTimeout = 100 * time.Millisecond

// connectionState is what came of a new connection to a runner.
type connectionState int

const (
	connectionAccepted connectionState = iota
	connectionRefused
	// connectionUnanswered means that it was neither accepted nor refused in time: the runner or the path to it is
	// without power, cut off or busy.
	connectionUnanswered
)

// tryConnection opens a new connection to a runner and closes it.
func (p *pool) tryConnection(r Runner) connectionState {
	ctx, cancel := context.WithTimeout(p.edge.probing, failureCheckTimeout)
	defer cancel()
	switch {
	case p.edge.deps.Runners.CheckHealth(ctx, r.Address, "", r.ID).Health != NoAnswer:
		return connectionAccepted
	case ctx.Err() == nil:
		return connectionRefused
	}
	return connectionUnanswered
}

// runnerHasFallen reports whether the attempt's runner refuses connections, as one does that has failed until
// it starts again, while another runner doesn't. A daemon that is cut off from the runners may find no new
// connection to any of them, while the open ones go on.
func (a *attempt) runnerHasFallen(ctx context.Context) bool {
	p := a.s.pool
	return a.checkRunnerOnce(ctx, "fallen", func(r Runner, others []Runner) bool {
		if p.tryConnection(r) != connectionRefused {
			return false
		}
		for _, other := range others {
			if p.tryConnection(other) != connectionRefused {
				return true
			}
		}
		return len(others) == 0 && !p.paths.lost.Load()
	})
}

// runnerIsDark reports whether the attempt's runner has answered no probe, while another runner of its failure
// domain accepts a connection: otherwise the path to the whole domain may be cut.
func (a *attempt) runnerIsDark(ctx context.Context) bool {
	p := a.s.pool
	return a.dark.Load() && a.checkRunnerOnce(ctx, "dark", func(r Runner, others []Runner) bool {
		for _, other := range others {
			if other.FailureDomain == r.FailureDomain && p.tryConnection(other) == connectionAccepted {
				return true
			}
		}
		return false
	})
}

// checkRunnerOnce checks the attempt's runner with a few others to compare it with. The entry of a failed runner
// lapses while requests still wait for it. All requests that it had ask at the same moment; one check answers them. It
// reports false if the context ends before.
func (a *attempt) checkRunnerOnce(ctx context.Context, name string, check func(r Runner, others []Runner) bool) bool {
	p := a.s.pool
	if a.entry.ID == "" {
		return false
	}
	result := p.failureChecks.DoChan(name+" "+string(a.entry.ID), func() (any, error) {
		return check(a.entry, p.othersThan(a.entry)), nil
	})
	select {
	case failed := <-result:
		return failed.Val.(bool)
	case <-ctx.Done():
		return false
	}
}

// othersThan returns a few runners that may be asked in comparison with one, those of its failure domain first.
func (p *pool) othersThan(r Runner) []Runner {
	p.mu.Lock()
	var near, far []Runner
	for id, other := range p.runners {
		switch {
		case id == r.ID || other.State != view.Live:
		case other.FailureDomain == r.FailureDomain:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	p.mu.Unlock()
	return append(p.edge.pathProbeTargets(near), p.edge.pathProbeTargets(far)...)
}
