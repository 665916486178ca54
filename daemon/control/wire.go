package control

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	meshv1 "geraniumstack.org/geraniumstack/gen/geranium/mesh/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Times are sent as ages and remaining durations, never as clock readings,
// because the daemons' clocks may disagree.

func ageMillis(now, since time.Time) uint64 {
	return uint64(max(0, now.Sub(since).Milliseconds()))
}

func remainingMillis(now, leavesAt time.Time) *int64 {
	if leavesAt.IsZero() {
		return nil
	}
	remaining := leavesAt.Sub(now).Milliseconds()
	return &remaining
}

func timeFromAge(now time.Time, age uint64) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func timeFromRemaining(now time.Time, remaining *int64) time.Time {
	if remaining == nil {
		return time.Time{}
	}
	return now.Add(time.Duration(*remaining) * time.Millisecond)
}

func encodeMember(now time.Time, m membership.Member) *meshv1.Daemon {
	return &meshv1.Daemon{
		Id: string(m.ID), Incarnation: string(m.Incarnation), FailureDomain: string(m.FailureDomain),
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress, State: string(m.State),
		GenerationInForce: uint64(m.Generation), AgeMs: ageMillis(now, m.Since),
		Version: m.Version, Vm: m.VM, LeftMs: remainingMillis(now, m.LeavesAt),
	}
}

func decodeMember(now time.Time, d *meshv1.Daemon) membership.Member {
	return membership.Member{
		Daemon: view.Daemon{
			ID: ident.DaemonID(d.GetId()), Incarnation: ident.Incarnation(d.GetIncarnation()),
			FailureDomain: ident.FailureDomain(d.GetFailureDomain()),
			CallerAddress: d.GetCallerAddress(), PeerAddress: d.GetPeerAddress(),
			State: view.State(d.GetState()), LeavesAt: timeFromRemaining(now, d.LeftMs),
			Generation: ident.Generation(d.GetGenerationInForce()),
		},
		Version: d.GetVersion(), VM: d.GetVm(), Since: timeFromAge(now, d.GetAgeMs()),
	}
}

func encodeVM(now time.Time, vm membership.VM) *meshv1.VM {
	return &meshv1.VM{
		Id: vm.ID, Address: vm.Address, FailureDomain: string(vm.FailureDomain), Class: vm.Class,
		Reclaimable: vm.Reclaimable, PricePerHour: vm.PricePerHour, Service: vm.Service,
		State: int32(vm.State), AgeMs: ageMillis(now, vm.Since), LeftMs: remainingMillis(now, vm.LeavesAt),
	}
}

func decodeVM(now time.Time, vm *meshv1.VM) membership.VM {
	return membership.VM{
		ID: vm.GetId(), Address: vm.GetAddress(), FailureDomain: ident.FailureDomain(vm.GetFailureDomain()),
		Class: vm.GetClass(), Reclaimable: vm.GetReclaimable(), PricePerHour: vm.GetPricePerHour(),
		Service: vm.GetService(), State: membership.VMState(vm.GetState()),
		Since: timeFromAge(now, vm.GetAgeMs()), LeavesAt: timeFromRemaining(now, vm.LeftMs),
	}
}

func encodeExchange(now time.Time, m membership.Message, head *config.Accepted) *meshv1.Exchange {
	x := &meshv1.Exchange{
		From: encodeMember(now, m.From), Seq: m.Seq, Last: m.Last, Ack: m.Ack, Digest: m.Digest,
		InForce: make(map[string]uint64, len(m.InForce)), Head: encodeHead(head),
	}
	for _, change := range m.Changes {
		if change.Member != nil {
			x.Daemons = append(x.Daemons, encodeMember(now, *change.Member))
		}
		if change.VM != nil {
			x.Vms = append(x.Vms, encodeVM(now, *change.VM))
		}
	}
	for domain, g := range m.InForce {
		x.InForce[string(domain)] = uint64(g)
	}
	return x
}

func decodeExchange(now time.Time, x *meshv1.Exchange) membership.Message {
	m := membership.Message{
		From: decodeMember(now, x.GetFrom()), Seq: x.GetSeq(), Last: x.GetLast(), Ack: x.GetAck(),
		Digest: x.GetDigest(), InForce: make(map[ident.FailureDomain]ident.Generation, len(x.GetInForce())),
	}
	for _, d := range x.GetDaemons() {
		member := decodeMember(now, d)
		m.Changes = append(m.Changes, membership.Change{Member: &member})
	}
	for _, v := range x.GetVms() {
		vm := decodeVM(now, v)
		m.Changes = append(m.Changes, membership.Change{VM: &vm})
	}
	for domain, g := range x.GetInForce() {
		m.InForce[ident.FailureDomain(domain)] = ident.Generation(g)
	}
	return m
}

func encodeHead(a *config.Accepted) *meshv1.Head {
	if a == nil {
		return nil
	}
	head := &meshv1.Head{
		Generation: uint64(a.Generation), SubmissionId: a.SubmissionID,
		Author: a.Author, AcceptedUnixMs: a.AcceptedUnixMillis,
	}
	for _, hash := range a.Sections {
		head.SectionHashes = append(head.SectionHashes, string(hash))
	}
	return head
}

func decodeHead(h *meshv1.Head) config.Accepted {
	a := config.Accepted{
		Generation: ident.Generation(h.GetGeneration()), SubmissionID: h.GetSubmissionId(),
		Author: h.GetAuthor(), AcceptedUnixMillis: h.GetAcceptedUnixMs(),
	}
	for _, hash := range h.GetSectionHashes() {
		a.Sections = append(a.Sections, manifest.Hash(hash))
	}
	return a
}
