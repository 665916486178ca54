package quota

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// While a workspace asks for a multiple of its quota, the bucket refills soon enough for any one
// refused request, but not for all of them. Callers that are all told this short time return
// together and are refused again. Refused requests are therefore told to return one after the
// other, at the rate at which the bucket can serve them.

const (
	// returnRateShare is the part of the refill that refused requests are told to return for.
	// The rest is for the requests that arrive for the first time meanwhile.
	returnRateShare = 0.5
	// maxReturnWait bounds the time after which a refused request is told to return. Callers wait
	// up to 15 s for an answer and honour a third of that; a return that is told to nobody in time
	// must not delay those of later requests.
	maxReturnWait = 5 * time.Second
)

// SetOrderedReturns sets whether requests that are refused because their workspace's quota is used
// up are told to return one after the other. Otherwise each is told when the quota would suffice
// if no other request came.
func (l *Limiter) SetOrderedReturns(ordered bool) { l.orderedReturns = ordered }

// ReturnAfter returns how long a request that no daemon can grant should wait before it returns. wait
// is the time that Take returned, which the first refused request is told; each later one returns
// after the ones before.
func (l *Limiter) ReturnAfter(now time.Duration, ws ident.Workspace, cost float64, wait time.Duration) time.Duration {
	b := l.bucket(ws)
	if !l.orderedReturns || b.limit.PerSecond <= 0 {
		return wait
	}
	// Each daemon schedules the requests that it refuses itself, so it may fill its own share of
	// the refill only.
	perSecond := returnRateShare * l.rate(b.limit) * l.budgetShare(now, ws, b)
	at := max(now+wait, min(b.returnsUntil, now+maxReturnWait))
	b.returnsUntil = at + secondsToDuration(cost/perSecond)
	return at - now
}
