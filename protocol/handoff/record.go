// Package handoff preserves accepted requests when their daemon stops or
// fails. Keeper holds copies of the records of other daemons' requests.
// RecordTracker tracks which records of a daemon's own requests must be sent to
// keepers. Drain decides in which order a leaving daemon passes its requests
// on. The package performs no I/O and reads no clock.
//
// The owner of a request is the daemon that runs it. The epoch of a request
// increases with each change of its owner. A keeper is a daemon that holds a
// copy of the record of another daemon's request.
package handoff

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Record holds what another daemon must know to continue a request in place of
// its owner.
type Record struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Class     string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Async     bool
	Deadline  time.Time

	Owner ident.Incarnation
	// Epoch is incremented with each change of the owner.
	Epoch uint64
	// EmittedFrom is the offset of the first token in Emitted. A renewal holds
	// only the tokens that the keeper lacks, and no prompt.
	EmittedFrom int
	Emitted     []string
	Runner      ident.RunnerID
	// MayHaveRun is set if an attempt may have reached a runner.
	MayHaveRun   bool
	Done         bool
	FinishReason string
}

// supersedes reports whether a claim on a request takes precedence over
// another. If both have the same epoch, the name of the owner decides, so that
// all daemons reach the same result.
func supersedes(epoch uint64, owner ident.Incarnation, thanEpoch uint64, thanOwner ident.Incarnation) bool {
	if epoch != thanEpoch {
		return epoch > thanEpoch
	}
	return owner > thanOwner
}

// RankKeepers returns the live daemons that may keep the record of a request
// for its owner, best first. Daemons in other failure domains rank before
// those in the owner's. Within each group the order is by rendezvous hashing,
// so that any gateway can locate the record from the ID of the request and its
// owner.
func RankKeepers(id ident.RequestID, owner view.Daemon, daemons []view.Daemon) []view.Daemon {
	var ranked []view.Daemon
	for _, d := range daemons {
		if d.State == view.Live && d.Incarnation != owner.Incarnation {
			ranked = append(ranked, d)
		}
	}
	slices.SortFunc(ranked, func(a, b view.Daemon) int {
		aSameDomain, bSameDomain := a.FailureDomain == owner.FailureDomain, b.FailureDomain == owner.FailureDomain
		if aSameDomain != bSameDomain && bSameDomain {
			return -1
		}
		if aSameDomain != bSameDomain {
			return 1
		}
		return cmp.Compare(rendezvousWeight(id, b), rendezvousWeight(id, a))
	})
	return ranked
}

func rendezvousWeight(id ident.RequestID, d view.Daemon) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(d.ID))
}
