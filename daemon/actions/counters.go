package actions

import (
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/protocol/action"
)

// Counter names. Results are counted as actions.result.<executed>.<reason>.
const (
	dispatchedJournaled   = "actions.dispatched.journaled"
	dispatchedUnjournaled = "actions.dispatched.unjournaled"
	dispatchNextRunner    = "actions.dispatch.next_runner"
	ownerSealed           = "actions.owner.sealed"
	journalWrites         = "actions.journal.writes"
	journalUncertain      = "actions.journal.doubtful"
	journalConflict       = "actions.journal.conflict"
	journalDeletes        = "actions.journal.deletes"
	journalDeleteFailed   = "actions.journal.delete_failed"
	forwarded             = "actions.forward.calls"
	forwardRetried        = "actions.forward.retried"
	forwardNotOwner       = "actions.forward.not_owner"
	tokensFetched         = "actions.token.fetched"
	tokenFetchFailed      = "actions.token.fetch_failed"
	tokensServed          = "actions.token.served"
	ownTokenFallbacks     = "actions.token.own_instead"
	sealsAttempted        = "actions.seal.tried"
	sealsCreated          = "actions.seal.won"
	sealsFailed           = "actions.seal.failed"
	logEntriesDeleted     = "actions.seal.collected_entries"
	claimsCreated         = "actions.claim.made"
	claimsFound           = "actions.claim.found"
	claimsFailed          = "actions.claim.failed"
	handOffParts          = "actions.hand_off.parts"
	handOffRetried        = "actions.hand_off.retried"
	handOffRefused        = "actions.hand_off.refused"
	handOffAdopted        = "actions.hand_off.adopted"

	resultPrefix   = "actions.result."
	answeredReason = "answered"
)

type counters struct{ registry metrics.Registry }

func (c *counters) inc(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

func (c *counters) result(r action.Result) {
	reason := answeredReason
	if r.Refusal != nil {
		reason = string(r.Refusal.Reason)
	}
	c.inc(resultPrefix + string(r.Executed()) + "." + reason)
}
