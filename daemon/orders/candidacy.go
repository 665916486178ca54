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
	// candidatesPerResponsibility limits the key-value service's calls for one
	// responsibility, so that they don't grow with the number of daemons.
	candidatesPerResponsibility = 3
)

// candidateDuties returns the names of the manifest's responsibilities for which
// this daemon is a candidate, each with a function that creates its duty.
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

// shardCount returns the number of shards into which a service's runners are
// divided. Runners of services without models get no orders and have no shards.
func shardCount(s *manifest.Service) int {
	if s.Kind != manifest.KindModel {
		return 0
	}
	return (s.Runners + runnersPerShard - 1) / runnersPerShard
}

// shardResponsibility returns the name of a shard's responsibility. The name
// contains the number of shards: when the number changes, all shards have new
// leases, and a runner that moves to another shard never gets an older, lower
// fencing token of that shard.
func shardResponsibility(s *manifest.Service, shard int) string {
	return fmt.Sprintf("rollout/%s/%d/%d", s.Name, shardCount(s), shard)
}

// candidateSelector selects candidates among the live daemons by rendezvous
// hashing.
type candidateSelector struct {
	self uint64 // hash of this daemon's ID
	// eligible is false if this daemon is leaving.
	eligible bool
	others   []uint64 // hashes of the other live daemons' IDs
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

// selectsSelf reports whether this daemon is one of the candidates for the named
// responsibility.
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

// combineHashes combines two hashes with the finalizer of MurmurHash3, in which
// each output bit depends on all input bits.
func combineHashes(a, b uint64) uint64 {
	h := a ^ b
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
