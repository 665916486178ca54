package orders

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/holder"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const (
	runnersPerShard = 64
	// candidatesPerResponsibility keeps the calls for one responsibility the
	// same however many daemons there are.
	candidatesPerResponsibility = 3
)

// candidateDuties are the responsibilities of the manifest that this daemon stands
// for, by name, with what makes their duties.
func (d *Driver) candidateDuties(m *manifest.Manifest) map[string]func(*holder.Holder) duty {
	wanted := map[string]func(*holder.Holder) duty{}
	e := newCandidateSelector(d.Directory)
	for i := range m.Services {
		s := &m.Services[i]
		if name := "fleet/" + s.Name; e.selectsSelf(name) {
			wanted[name] = func(h *holder.Holder) duty { return newFleetDuty(d, s.Name, h) }
		}
		for shard := range shardCount(s) {
			if name := shardResponsibility(s, shard); e.selectsSelf(name) {
				wanted[name] = func(h *holder.Holder) duty { return newRolloutDuty(d, s.Name, shardCount(s), shard, h) }
			}
		}
	}
	return wanted
}

// shardCount is the number of shards that a service's runners are ordered in.
func shardCount(s *manifest.Service) int {
	if s.Kind != manifest.KindModel {
		return 0
	}
	return (s.Runners + runnersPerShard - 1) / runnersPerShard
}

// shardResponsibility has the number of shards in it: when it changes, all shards are
// acquired anew, and a runner that moves to another shard never sees that
// shard's older, lower fencing token.
func shardResponsibility(s *manifest.Service, shard int) string {
	return fmt.Sprintf("rollout/%s/%d/%d", s.Name, shardCount(s), shard)
}

// candidateSelector chooses candidates by rendezvous hash among the live daemons.
type candidateSelector struct {
	self     uint64
	eligible bool
	others   []uint64
}

func newCandidateSelector(directory view.Directory) candidateSelector {
	self := directory.Self()
	e := candidateSelector{self: hashDaemon(self.ID), eligible: self.State != view.Leaving}
	for _, other := range directory.Daemons() {
		if other.State == view.Live && other.ID != self.ID {
			e.others = append(e.others, hashDaemon(other.ID))
		}
	}
	return e
}

func hashDaemon(id ident.DaemonID) uint64 { return xxhash.Sum64String(string(id)) }

// selectsSelf tells whether this daemon is one of the candidates.
func (e candidateSelector) selectsSelf(name string) bool {
	if !e.eligible {
		return false
	}
	n := xxhash.Sum64String(name)
	selfRank := combineHashes(n, e.self)
	higherRanked := 0
	for _, other := range e.others {
		if combineHashes(n, other) > selfRank {
			higherRanked++
		}
		if higherRanked >= candidatesPerResponsibility {
			return false
		}
	}
	return true
}

// combineHashes joins two hashes; it is the finalizer of MurmurHash3, whose output bits
// each depend on all input bits.
func combineHashes(a, b uint64) uint64 {
	h := a ^ b
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
