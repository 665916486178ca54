package kv

import "fmt"

// Revision is a version number of the whole store, which grows with each change. Zero stands for a
// missing key.
//
// A service that comes back from a copy of its data loses what it has acknowledged since and gives
// out the same numbers again, in a new history. So that numbers of two histories are never mistaken
// for each other, a Revision holds the number of the history in its upper bits: every revision of a
// later history is higher than all of an earlier one.
type Revision uint64

// numberBits is the number of the lower bits that hold the number of the change: enough for 3,000
// changes a second over ten years. Together with 13 bits of the history, revisions are exact as
// floating-point numbers, too.
const numberBits = 40

// MaxHistory is the highest number of a history.
const MaxHistory = 1<<(64-numberBits) - 1

// RevisionIn returns the revision with a number in a history. Number zero, which stands for a missing
// key, is the same in every history.
func RevisionIn(history, number uint64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(history<<numberBits | number)
}

// History returns the number of the history, which grows each time the service comes back from a copy.
func (r Revision) History() uint64 { return uint64(r) >> numberBits }

// Number returns the number within the history.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the revision in the form "history.number", or just the number in history zero.
func (r Revision) String() string {
	if r.History() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.History(), r.Number())
}
