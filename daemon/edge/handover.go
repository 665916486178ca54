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

// settleSend records what the end of a send says of it: nothing was sent, or the runner had the request.
func (a *attempt) settleSend(err error) {
	var send *SendError
	if errors.As(err, &send) && !send.Sent {
		a.handover.ProveNotRun()
		return
	}
	a.beginHandover()
}

// settleHelperRefusal records what a helper's refusal says of the request.
func (a *attempt) settleHelperRefusal(r *helperRefusalError) {
	if r.Executed == refusal.ExecutedNo {
		a.handover.ProveNotRun()
	}
}
