package callerlimit

import (
	"time"

	"geraniumstack.org/geraniumstack/state/refusal"
)

// noRoomRetryAfter is the retry time given to callers whose requests don't fit into the budget of all callers.
const noRoomRetryAfter = time.Second

// NoRoom returns the refusal of a request for which there is no room beside those of other callers.
func NoRoom() *refusal.Refusal {
	return refusal.New(refusal.Overloaded, "the requests of all callers together are too large").After(noRoomRetryAfter)
}
