// Package handoff keeps accepted requests alive when their daemon goes: the
// records of other daemons' requests (Keeper), the renewal of a daemon's own
// records at their keepers (Outbox), and the order in which a leaving daemon
// passes its requests on (Drain). All of it is pure.
package handoff

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Record is what another daemon must know to answer in the owner's place.
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
	// Epoch grows with each change of the owner.
	Epoch uint64
	// EmittedFrom is the offset of the first token in Emitted: a renewal
	// carries only what the keeper lacks, and no prompt.
	EmittedFrom int
	Emitted     []string
	Runner      ident.RunnerID
	// MayHaveRun says that an attempt may have reached a runner.
	MayHaveRun   bool
	Done         bool
	FinishReason string
}

// supersedes tells whether a claim on a request beats another one. Two daemons that
// were given the same epoch are told apart by their names, so that both sides
// conclude the same.
func supersedes(epoch uint64, owner ident.Incarnation, thanEpoch uint64, thanOwner ident.Incarnation) bool {
	if epoch != thanEpoch {
		return epoch > thanEpoch
	}
	return owner > thanOwner
}

// RankKeepers ranks the live daemons that keep a request's record for its owner:
// those of other failure domains before those of its own, each by rendezvous
// hashing, so that any gateway finds the record by the request's ID alone.
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
