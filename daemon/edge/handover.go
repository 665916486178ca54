package edge

import (
	"errors"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// This file records what each attempt does to the knowledge of whether its request may have run (forward.Executions): it is
// handed on before the attempt sends or delegates it, and a proof that it has not run there takes that back.

// beginHandover records that the request is about to be handed on, unless that is recorded already. It reports whether it
// may be.
func (a *attempt) beginHandover() bool {
	if a.handover == nil {
		a.handover = a.s.exchange.Executions.Begin()
	}
	return a.handover != nil
}

// settleHandover records what the end of a send or of a call to a helper proves: nothing was sent, or the helper says that the
// request has not run. What a runner's answer proves is recorded when the answer is taken up (handleNotRun).
func (a *attempt) settleHandover(err error) {
	var send *SendError
	var refusedBy *helperRefusalError
	var notHandedOver *notHandedOverError
	switch {
	case errors.As(err, &send) && !send.Sent, errors.As(err, &refusedBy) && refusedBy.Executed == refusal.ExecutedNo, errors.As(err, &notHandedOver):
		a.handover.ProveNotRun()
	default:
		a.beginHandover()
	}
}
