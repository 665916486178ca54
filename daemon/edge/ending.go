package edge

import (
	"context"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// EndRequests ends all requests, because the process is about to end. An answer that has begun is broken off; the other
// requests are refused. It doesn't wait for them.
func (e *Edge) EndRequests() { e.endRequests() }

// untilEnd returns a context that also ends with EndRequests.
func (e *Edge) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// isEnding reports whether this daemon has ended the request.
func (s *requestHandler) isEnding() bool { return s.edge.ending.Err() != nil }

// endingRefusal is the final answer to a request that this daemon has ended.
func endingRefusal() *refusal.Refusal {
	return refusal.New(refusal.Draining, "this daemon ends").After(notReadyRetryAfter)
}
