package membership

import (
	"net/netip"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// stateRank orders states by how final they are: gone is above leaving, and leaving is
// above live and suspect.
func stateRank(s view.State) int {
	switch s {
	case view.Gone:
		return 2
	case view.Leaving:
		return 1
	}
	return 0
}

// mergeMember merges a report about a daemon into the table. The report was sent by the
// peer from; it is read from a registration in the key-value service if from is empty.
func (t *Table) mergeMember(now time.Time, m Member, from ident.Incarnation) {
	if m.Incarnation == t.self.Incarnation {
		t.mergeSelfReport(now, m)
		return
	}
	key := memberKey(m.Incarnation)
	r, known := t.log.records[key]
	if !known {
		t.addMember(now, m, from)
		return
	}
	if !supersedes(m, *r.member) {
		r.member.Generation = max(r.member.Generation, m.Generation)
		return
	}
	merged := m
	merged.Version = max(m.Version, r.member.Version)
	merged.Generation = max(m.Generation, r.member.Generation)
	if r.member.LastHeard.After(m.LastHeard) {
		merged.LastHeard = r.member.LastHeard
	}
	*r.member = merged
	t.markChanged(key, from)
}

func (t *Table) addMember(now time.Time, m Member, from ident.Incarnation) {
	tooOld := now.Sub(m.Since) > ForgetAfter
	if tooOld && (m.State == view.Suspect || m.State == view.Gone) {
		return
	}
	key := memberKey(m.Incarnation)
	t.log.records[key] = &record{member: &m}
	t.sortedKeys = nil
	t.firstLearnedAt[m.Incarnation] = now
	t.markChanged(key, from)
}

// supersedes reports whether a report takes precedence over what is known of the same
// incarnation. The order is the same at every daemon: the more final state first, then the
// higher version, then suspect before live.
func supersedes(report, known Member) bool {
	a, b := stateRank(report.State), stateRank(known.State)
	if a != b {
		return a > b
	}
	if report.State == view.Leaving {
		return known.LeavesAt.IsZero() && !report.LeavesAt.IsZero()
	}
	if report.Version != known.Version {
		return report.Version > known.Version
	}
	return report.State == view.Suspect && known.State == view.Live
}

// mergeSelfReport handles a report about this daemon itself. It answers a false suspicion,
// caused by a pause or a broken link, with a version above the suspected one. The suspicion
// ends at every daemon that the new version reaches, in whatever order messages arrive.
func (t *Table) mergeSelfReport(now time.Time, m Member) {
	if stateRank(m.State) > 0 {
		t.Drain(now, m.LeavesAt)
		return
	}
	if m.State == view.Suspect && m.Version >= t.self.Version && t.self.State != view.Gone {
		t.self.Version = m.Version + 1
		t.refuted++
		t.markChanged(memberKey(t.self.Incarnation), "")
	}
}

// recordContact merges what a daemon reported about itself in a message received now.
func (t *Table) recordContact(now time.Time, m Member) {
	m.LastHeard = now
	t.mergeMember(now, m, m.Incarnation)
	r, ok := t.log.records[memberKey(m.Incarnation)]
	if !ok || r.member == t.self {
		return
	}
	r.failedCalls = 0
	r.member.LastHeard = now
	if m.Generation > r.member.Generation {
		r.member.Generation = m.Generation
		t.revision.Members++
	}
	t.raiseInForce(m.FailureDomain, m.Generation)
}

// ProbeFailed records that a call to a daemon was not answered. It returns true once
// ProbeFailures calls in a row have failed. The caller should then ask other daemons to
// try, and call MarkUnreachable if they fail, too.
func (t *Table) ProbeFailed(i ident.Incarnation) bool {
	r, ok := t.log.records[memberKey(i)]
	if !ok || r.member == t.self {
		return false
	}
	r.failedCalls++
	return r.member.State != view.Suspect && r.failedCalls >= ProbeFailures
}

// ReachedByPeer records that another daemon could call a daemon that this one could not.
// Without it, two daemons whose link is broken but that both reach the rest would take each
// other out of service everywhere.
func (t *Table) ReachedByPeer(i ident.Incarnation) {
	if r, ok := t.log.records[memberKey(i)]; ok {
		r.failedCalls = 0
	}
}

// MarkUnreachable records that neither this daemon nor any daemon that it asked could call
// a daemon. A live daemon becomes suspect; a leaving one that has been silent for longer
// than goneAfterLeaving becomes gone.
func (t *Table) MarkUnreachable(now time.Time, i ident.Incarnation) {
	key := memberKey(i)
	r, ok := t.log.records[key]
	if !ok || r.member == t.self || r.failedCalls < ProbeFailures {
		return
	}
	switch {
	case r.member.State == view.Live:
		t.setState(now, key, view.Suspect)
	case r.member.State == view.Leaving && now.Sub(r.member.LastHeard) > goneAfterLeaving:
		t.setState(now, key, view.Gone)
	}
}

// retireReplaced marks all other incarnations at an address as gone, because another
// incarnation answered a call to that address made at askedAt. Otherwise, after an entry VM
// is replaced, its former incarnation would stay suspect, and be tried, until it is
// forgotten. An incarnation that was first seen after the call was made is kept, because
// the answer may be older than that incarnation.
func (t *Table) retireReplaced(now, askedAt time.Time, by Member) {
	for key, r := range t.log.records {
		m := r.member
		if m == nil || m == t.self || m.Incarnation == by.Incarnation || m.State == view.Gone {
			continue
		}
		if m.PeerAddress == by.PeerAddress && t.firstLearnedAt[m.Incarnation].Before(askedAt) {
			t.setState(now, key, view.Gone)
		}
	}
}

// MergeRegistrations merges the daemons that are registered in the key-value service.
func (t *Table) MergeRegistrations(now time.Time, members []Member) {
	for _, m := range members {
		m.State = view.Live
		m.Since = now
		m.LastHeard = time.Time{}
		t.mergeMember(now, m, "")
	}
}

// ApplyVMList merges a complete VM list that this daemon has read. It returns true if a VM
// is missing from this list but another list is needed to decide whether the VM is gone.
// The list should then be read again soon.
func (t *Table) ApplyVMList(now time.Time, vms []VM) bool {
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vmKey(vm.ID)] = true
		vm.Since = now
		t.mergeVM(now, vm, "")
		if r, ok := t.log.records[vmKey(vm.ID)]; ok {
			r.missedLists = 0
		}
	}
	needsRecheck := false
	for key, r := range t.log.records {
		if r.vm != nil && r.vm.State != VMGone && !present[key] {
			needsRecheck = t.recordMissing(now, key, r) || needsRecheck
		}
	}
	return needsRecheck
}

// recordMissing counts a VM list that lacks a known VM, marks the VM as gone after
// maxMissedLists such lists in a row, and returns true if another list is needed to
// decide. A list doesn't count if this daemon knows the VM only from a peer, and for less
// than listLag: the list may simply not show the VM yet.
func (t *Table) recordMissing(now time.Time, key string, r *record) bool {
	if r.missedLists < 0 && now.Sub(r.learnedAt) < listLag {
		return false
	}
	r.missedLists = max(r.missedLists, 0) + 1
	if r.missedLists < maxMissedLists {
		return true
	}
	r.vm.State = VMGone
	r.vm.Since = now
	t.markChanged(key, "")
	return false
}

func (t *Table) mergeVM(now time.Time, vm VM, from ident.Incarnation) {
	key := vmKey(vm.ID)
	r, known := t.log.records[key]
	if !known {
		if vm.State >= VMLeaving && now.Sub(vm.Since) > ForgetAfter {
			return
		}
		t.log.records[key] = &record{vm: &vm, missedLists: -1, learnedAt: now}
		t.markChanged(key, from)
		return
	}
	old := *r.vm
	if vm.Service != "" || old.Service == "" {
		state, leavesAt, since := old.State, old.LeavesAt, old.Since
		*r.vm = vm
		r.vm.State, r.vm.LeavesAt, r.vm.Since = state, leavesAt, since
	}
	if vm.State > old.State {
		r.vm.State = vm.State
		r.vm.Since = vm.Since
	}
	if r.vm.LeavesAt.IsZero() {
		r.vm.LeavesAt = vm.LeavesAt
	}
	if r.vm.State != old.State || r.vm.Service != old.Service || r.vm.LeavesAt != old.LeavesAt {
		t.markChanged(key, from)
	}
}

// ApplyNotice applies a notice that a VM is leaving, from any source. It returns true if
// the notice concerns this daemon's own VM.
func (t *Table) ApplyNotice(now time.Time, n Notice) bool {
	leavesAt := now.Add(n.TimeLeft)
	for _, id := range t.matchingVMIDs(n) {
		t.mergeVM(now, VM{
			ID: id, Address: n.Address, State: VMLeaving, LeavesAt: leavesAt, Since: now,
		}, "")
	}
	for key, r := range t.log.records {
		m := r.member
		if m == nil || !n.matches(*m) {
			continue
		}
		if m == t.self {
			t.Drain(now, leavesAt)
			continue
		}
		if stateRank(m.State) == 0 {
			m.LeavesAt = leavesAt
			t.setState(now, key, view.Leaving)
		}
	}
	return t.self.State != view.Live && n.matches(*t.self)
}

// matchingVMIDs returns the IDs of the VMs that a notice applies to. A notice that has
// only an address applies to the VMs that the table lists at that address now, never to a
// VM that takes over the address later.
func (t *Table) matchingVMIDs(n Notice) []string {
	if n.VM != "" {
		return []string{n.VM}
	}
	var vmIDs []string
	for _, r := range t.log.records {
		if r.vm != nil && r.vm.State != VMGone && r.vm.Address == n.Address {
			vmIDs = append(vmIDs, r.vm.ID)
		}
	}
	return vmIDs
}

// matches reports whether the notice applies to the daemon m. If the VM IDs of both are
// known, the daemon is matched by VM ID only. Otherwise it is matched by address, but only
// until the time of the notice is over. A late notice would else match the VM that
// replaced the noticed one at the same address.
func (n Notice) matches(m Member) bool {
	if m.VM != "" && n.VM != "" {
		return m.VM == n.VM
	}
	if n.TimeLeft <= 0 || n.Address == "" {
		return false
	}
	return sameAddress(n.Address, m.PeerAddress) || sameAddress(n.Address, m.CallerAddress)
}

// sameAddress compares the address of a notice with the host and port of a daemon, or with
// the host alone if the notice has no port.
func sameAddress(notice, address string) bool {
	if notice == address {
		return true
	}
	at, err := netip.ParseAddrPort(address)
	return err == nil && notice == at.Addr().String()
}
