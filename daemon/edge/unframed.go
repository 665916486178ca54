package edge

import (
	"context"
	"errors"
	"io"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// An answer with neither a length nor chunks ends with its connection. The kernel of a runner that has
// failed ends its connections in the same way, so at such an end the runner is asked for a new
// connection. A runner that has failed refuses it, since it starts again after seconds only.

// fallCheckTimeout is the time that a runner has to accept a connection or refuse it. One that does
// neither is cut off or busy, which doesn't show that it has failed.
const fallCheckTimeout = 100 * time.Millisecond

// unframedBody is the body of an answer that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context
	attempt *attempt
	// needsData says that an answer without any byte is never whole.
	needsData bool
	read      bool
}

// fallenRunnerError says that an answer ended because its runner has failed.
type fallenRunnerError struct{ Runner ident.RunnerID }

func (e *fallenRunnerError) Error() string { return "runner " + string(e.Runner) + " has failed" }

// Read returns io.EOF only if the answer is whole.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read = b.read || n > 0
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.needsData && !b.read || b.attempt.runnerHasFallen(b.ctx) {
		return n, &fallenRunnerError{b.attempt.choice.Runner}
	}
	return n, err
}

// runnerHasFallen reports whether the attempt's runner has failed: it refuses a new connection while
// another runner accepts one. A daemon that is cut off from the runners may find no new connection to
// any of them, while the open ones go on.
func (a *attempt) runnerHasFallen(ctx context.Context) bool {
	p := a.s.pool
	r, others, known := p.runnerAndOthers(a.choice.Runner)
	if !known || r.State == view.Leaving || !p.refusesConnection(ctx, r) {
		return false
	}
	for _, other := range others {
		if !p.refusesConnection(ctx, other) {
			return true
		}
	}
	return len(others) == 0 && !p.paths.lost.Load()
}

// refusesConnection reports whether a runner refuses a new connection. It returns false if the runner
// does nothing.
func (p *pool) refusesConnection(ctx context.Context, r Runner) bool {
	ctx, cancel := context.WithTimeout(ctx, fallCheckTimeout)
	defer cancel()
	return p.edge.deps.Runners.CheckHealth(ctx, r.Address, "", r.ID) == NoAnswer && ctx.Err() == nil
}

// runnerAndOthers returns a runner, and a few others that may be asked in comparison.
func (p *pool) runnerAndOthers(id ident.RunnerID) (r Runner, others []Runner, known bool) {
	p.mu.Lock()
	r, known = p.runners[id]
	for other, entry := range p.runners {
		if other != id && entry.State == view.Live {
			others = append(others, entry)
		}
	}
	p.mu.Unlock()
	return r, p.edge.pathProbeTargets(others), known
}
