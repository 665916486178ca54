package membership

import (
	"sort"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Table is one daemon's knowledge of all daemons and VMs. It is not safe for
// concurrent use.
type Table struct {
	self    *Member
	log     *changeLog
	peers   map[ident.Incarnation]*peerState
	inForce map[ident.FailureDomain]ident.Generation
	// firstSeen is when an incarnation was first heard of here.
	firstSeen map[ident.Incarnation]time.Time
	revision  Revision
	refuted   uint64
	// sortedKeys holds the daemons' keys by ID, if it is not nil.
	sortedKeys []string
}

// Revision grows with every change of what the table returns; its parts tell
// what changed.
type Revision struct {
	Members uint64
	VMs     uint64
	InForce uint64
}

// peerState is how far the logs of two daemons have been exchanged.
type peerState struct {
	acked       uint64
	received    uint64
	differSince time.Time
}

const (
	memberPrefix = "d/"
	vmPrefix     = "v/"
)

func memberKey(i ident.Incarnation) string { return memberPrefix + string(i) }
func vmKey(id string) string               { return vmPrefix + id }

// New returns a table that knows its own daemon only.
func New(now time.Time, self Member) *Table {
	t := &Table{
		log:       newChangeLog(),
		peers:     map[ident.Incarnation]*peerState{},
		inForce:   map[ident.FailureDomain]ident.Generation{},
		firstSeen: map[ident.Incarnation]time.Time{},
	}
	self.State = view.Live
	self.Version = 1
	self.Since = now
	t.self = &self
	t.log.records[memberKey(self.Incarnation)] = &record{member: t.self}
	t.markChanged(memberKey(self.Incarnation), "")
	return t
}

// Revision tells whether anything changed.
func (t *Table) Revision() Revision { return t.revision }

// Digest changes with the states of daemons and VMs.
func (t *Table) Digest() uint64 { return t.log.digest }

// Size is the number of records.
func (t *Table) Size() int { return len(t.log.records) }

// Refuted counts the false suspicions of this daemon that it ended.
func (t *Table) Refuted() uint64 { return t.refuted }

// Self is this daemon as it tells others.
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

// SetGeneration notes the generation in force here.
func (t *Table) SetGeneration(g ident.Generation) {
	if g <= t.self.Generation {
		return
	}
	t.self.Generation = g
	t.revision.Members++
	t.raiseInForce(t.self.FailureDomain, g)
}

// GenerationOf returns what a daemon last said to have in force.
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

// InForce returns the highest generation that some daemon of each failure
// domain has in force.
func (t *Table) InForce() map[ident.FailureDomain]ident.Generation {
	all := make(map[ident.FailureDomain]ident.Generation, len(t.inForce))
	for domain, g := range t.inForce {
		all[domain] = g
	}
	return all
}

// Drain makes this daemon leaving, for good.
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

// MarkLeaving makes another daemon leaving on an operator's word. The daemon hears of
// it through the others. It returns false for one that is not known.
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

// MarkVMLeaving makes a VM leaving on an operator's word; when it ends is not known.
// It returns false for one that is not known.
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

// MarkGone makes this daemon gone: its last word before the process ends.
func (t *Table) MarkGone(now time.Time) {
	t.self.State = view.Gone
	t.self.Since = now
	t.self.Version++
	t.markChanged(memberKey(t.self.Incarnation), "")
}

// Members lists all daemons but the gone, this one included, by ID.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.sortedKeys))
	for _, key := range t.sortedMemberKeys() {
		m := t.log.records[key].member
		if m.State != view.Gone {
			all = append(all, *m)
		}
	}
	return all
}

// sortedMemberKeys returns the daemons' keys by ID; the order is kept until a record
// comes or goes.
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

// VMs lists all VMs but the gone, by ID.
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

// Runners lists a service's runners that have started and are not gone, by ID.
func (t *Table) Runners(service string) []view.Runner {
	return FilterRunners(t.VMs(), service)
}

// FilterRunners picks a service's runners out of VMs.
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

// Tick drops what is too old and ends leaving daemons whose time is over.
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
			delete(t.firstSeen, m.Incarnation)
			t.revision.Members++
		}
	}
}

// expireVM ends a leaving VM that the list never dropped, and forgets a gone one.
func (t *Table) expireVM(now time.Time, key string, r *record) {
	if r.vm.State == VMGone {
		t.log.remove(key)
		return
	}
	r.vm.State = VMGone
	r.vm.Since = now
	t.markChanged(key, "")
}

// setState sets the state of another daemon from evidence found here.
func (t *Table) setState(now time.Time, key string, state view.State) {
	m := t.log.records[key].member
	m.State = state
	m.Since = now
	t.markChanged(key, "")
}
