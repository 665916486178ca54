package membership

import (
	"sort"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Table holds what one daemon knows of all daemons and VMs. It is not safe for concurrent
// use.
type Table struct {
	self    *Member
	log     *changeLog
	peers   map[ident.Incarnation]*peerState
	inForce map[ident.FailureDomain]ident.Generation
	// firstLearnedAt is when this daemon first learned of an incarnation.
	firstLearnedAt map[ident.Incarnation]time.Time
	revision       Revision
	refuted        uint64
	// sortedKeys caches the keys of the daemons' records sorted by ID. It is nil if it must
	// be rebuilt.
	sortedKeys []string
}

// Revision counts the changes to what the table returns, separately for its parts.
type Revision struct {
	Members uint64
	VMs     uint64
	InForce uint64
}

// peerState is the progress of the log exchange with one peer: the position in this
// daemon's log that the peer has acknowledged, the position in the peer's log up to which
// this daemon has the changes, and the time since when the two tables have differed
// although the peer has acknowledged everything.
type peerState struct {
	ackedByPeer      uint64
	receivedFromPeer uint64
	differSince      time.Time
}

const (
	memberPrefix = "d/"
	vmPrefix     = "v/"
)

func memberKey(i ident.Incarnation) string { return memberPrefix + string(i) }
func vmKey(id string) string               { return vmPrefix + id }

// New returns a table that contains only this daemon.
func New(now time.Time, self Member) *Table {
	t := &Table{
		log:            newChangeLog(),
		peers:          map[ident.Incarnation]*peerState{},
		inForce:        map[ident.FailureDomain]ident.Generation{},
		firstLearnedAt: map[ident.Incarnation]time.Time{},
	}
	self.State = view.Live
	self.Version = 1
	self.Since = now
	t.self = &self
	t.log.records[memberKey(self.Incarnation)] = &record{member: t.self}
	t.markChanged(memberKey(self.Incarnation), "")
	return t
}

// Revision returns the current revision. It differs from an earlier one if anything changed
// in between.
func (t *Table) Revision() Revision { return t.revision }

// Digest returns a hash over the states of all daemons and VMs.
func (t *Table) Digest() uint64 { return t.log.digest }

// Size returns the number of records.
func (t *Table) Size() int { return len(t.log.records) }

// Refuted returns how many false suspicions of itself this daemon has ended.
func (t *Table) Refuted() uint64 { return t.refuted }

// Self returns this daemon's own record as sent to others.
func (t *Table) Self() Member { return *t.self }

func (t *Table) markChanged(key string, from ident.Incarnation) {
	isVM := t.log.records[key].vm != nil
	t.log.touch(key, from)
	t.bumpRevision(isVM)
}

func (t *Table) bumpRevision(isVM bool) {
	if isVM {
		t.revision.VMs++
		return
	}
	t.revision.Members++
}

// SetGeneration sets the configuration generation in force at this daemon.
func (t *Table) SetGeneration(g ident.Generation) {
	if g <= t.self.Generation {
		return
	}
	t.self.Generation = g
	t.revision.Members++
	t.raiseInForce(t.self.FailureDomain, g)
}

// GenerationOf returns the generation that a daemon last reported to have in force, or zero
// if the daemon is not known.
func (t *Table) GenerationOf(i ident.Incarnation) ident.Generation {
	r, ok := t.log.records[memberKey(i)]
	if !ok {
		return 0
	}
	return r.member.Generation
}

func (t *Table) raiseInForce(domain ident.FailureDomain, g ident.Generation) {
	if g > t.inForce[domain] {
		t.inForce[domain] = g
		t.revision.InForce++
	}
}

// InForce returns, for each failure domain, the highest generation that any daemon in it
// has in force.
func (t *Table) InForce() map[ident.FailureDomain]ident.Generation {
	all := make(map[ident.FailureDomain]ident.Generation, len(t.inForce))
	for domain, g := range t.inForce {
		all[domain] = g
	}
	return all
}

// Drain marks this daemon as leaving. This can't be undone.
func (t *Table) Drain(now, leavesAt time.Time) {
	if t.self.State != view.Live {
		return
	}
	t.self.State = view.Leaving
	t.self.LeavesAt = leavesAt
	t.self.Since = now
	t.self.Version++
	t.markChanged(memberKey(t.self.Incarnation), "")
}

// MarkLeaving marks a daemon as leaving at an operator's request. Another daemon learns of
// it through the exchange of messages. MarkLeaving returns false if the daemon is not
// known.
func (t *Table) MarkLeaving(now, leavesAt time.Time, i ident.Incarnation) bool {
	key := memberKey(i)
	r, ok := t.log.records[key]
	if !ok {
		return false
	}
	if r.member == t.self {
		t.Drain(now, leavesAt)
		return true
	}
	if stateRank(r.member.State) == 0 {
		r.member.LeavesAt = leavesAt
		t.setState(now, key, view.Leaving)
	}
	return true
}

// MarkVMLeaving marks a VM as leaving at an operator's request, without a known end. It
// returns false if the VM is not known.
func (t *Table) MarkVMLeaving(now time.Time, id string) bool {
	r, ok := t.log.records[vmKey(id)]
	if !ok {
		return false
	}
	leaving := *r.vm
	leaving.State = VMLeaving
	leaving.Since = now
	t.mergeVM(now, leaving, "")
	return true
}

// MarkGone marks this daemon as gone. The caller then sends this record a last time before
// the process ends.
func (t *Table) MarkGone(now time.Time) {
	t.self.State = view.Gone
	t.self.Since = now
	t.self.Version++
	t.markChanged(memberKey(t.self.Incarnation), "")
}

// Members returns all daemons that are not gone, including this one, sorted by ID.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.sortedKeys))
	for _, key := range t.sortedMemberKeys() {
		m := t.log.records[key].member
		if m.State != view.Gone {
			members = append(members, *m)
		}
	}
	return members
}

// sortedMemberKeys returns the keys of the daemons' records sorted by ID. The result is
// cached until a record is added or removed.
func (t *Table) sortedMemberKeys() []string {
	if t.sortedKeys != nil {
		return t.sortedKeys
	}
	for key, r := range t.log.records {
		if r.member != nil {
			t.sortedKeys = append(t.sortedKeys, key)
		}
	}
	sort.Slice(t.sortedKeys, func(i, j int) bool {
		a, b := t.log.records[t.sortedKeys[i]].member, t.log.records[t.sortedKeys[j]].member
		if a.ID != b.ID {
			return a.ID < b.ID
		}
		return a.Incarnation < b.Incarnation
	})
	return t.sortedKeys
}

// VMs returns all VMs that are not gone, sorted by ID.
func (t *Table) VMs() []VM {
	var all []VM
	for _, r := range t.log.records {
		if r.vm != nil && r.vm.State != VMGone {
			all = append(all, *r.vm)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Runners returns a service's runners that have started and are not gone, sorted by ID.
func (t *Table) Runners(service string) []view.Runner {
	return FilterRunners(t.VMs(), service)
}

// FilterRunners returns the runners of a service among the VMs, without those that are
// still starting.
func FilterRunners(vms []VM, service string) []view.Runner {
	var runners []view.Runner
	for _, vm := range vms {
		if vm.Service != service || vm.State == VMStarting {
			continue
		}
		runner := view.Runner{
			ID: ident.RunnerID(vm.ID), Address: vm.Address, Service: vm.Service,
			FailureDomain: vm.FailureDomain, VMClass: vm.Class, Reclaimable: vm.Reclaimable,
			PricePerHour: vm.PricePerHour, State: view.Live, LeavesAt: vm.LeavesAt,
		}
		if vm.State == VMLeaving {
			runner.State = view.Leaving
		}
		runners = append(runners, runner)
	}
	return runners
}

// Tick marks a leaving daemon as gone once goneAfterLeaving has passed since its LeavesAt,
// if that is known, and a VM as gone once it has been leaving for ForgetAfter, whatever
// its LeavesAt. It removes suspect and gone daemons and gone VMs whose state is older than
// ForgetAfter.
func (t *Table) Tick(now time.Time) {
	for key, r := range t.log.records {
		switch {
		case r.member != nil && r.member != t.self:
			t.expireMember(now, key, r.member)
		case r.vm != nil && r.vm.State >= VMLeaving && now.Sub(r.vm.Since) > ForgetAfter:
			t.expireVM(now, key, r)
		}
	}
}

func (t *Table) expireMember(now time.Time, key string, m *Member) {
	switch m.State {
	case view.Leaving:
		if !m.LeavesAt.IsZero() && now.Sub(m.LeavesAt) > goneAfterLeaving {
			t.setState(now, key, view.Gone)
		}
	case view.Suspect, view.Gone:
		if now.Sub(m.Since) > ForgetAfter {
			t.log.remove(key)
			t.sortedKeys = nil
			delete(t.peers, m.Incarnation)
			delete(t.firstLearnedAt, m.Incarnation)
			t.revision.Members++
		}
	}
}

// expireVM marks a leaving VM that stayed on the list as gone, and removes a VM that is
// already gone.
func (t *Table) expireVM(now time.Time, key string, r *record) {
	if r.vm.State == VMGone {
		t.log.remove(key)
		return
	}
	r.vm.State = VMGone
	r.vm.Since = now
	t.markChanged(key, "")
}

// setState sets the state of another daemon from an observation of this daemon, not from a
// report of a peer.
func (t *Table) setState(now time.Time, key string, state view.State) {
	m := t.log.records[key].member
	m.State = state
	m.Since = now
	t.markChanged(key, "")
}
