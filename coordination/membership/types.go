// Package membership determines the states of daemons and VMs from the reports about them.
// It does no I/O. The sources of information have these effects:
//
//   - Addresses in the settings are only tried; they change no state.
//   - A registration in the key-value service makes a daemon known as live. The end of a
//     registration changes nothing, because a lease may also lapse during an outage of the
//     service.
//   - A heartbeat of a daemon reports its own state, live or leaving, with a version that
//     only that daemon raises.
//   - Consecutive failed calls to a daemon, both from here and from every other daemon
//     that was asked to try, make it suspect. A suspect daemon that learns of the
//     suspicion raises its version, which ends the suspicion everywhere.
//   - An answer of another incarnation from a daemon's address makes the former
//     incarnation gone, because its process can't be listening there any more.
//   - The cloud's notice, the state "leaving" in the VM list, a runner's own report or
//     refusal, or a peer's report makes a VM leaving at once, whichever comes first.
//   - A VM is gone if it is missing from two consecutive lists, provided that it was on a
//     list that this daemon read or has been known for longer than lists lag.
//
// A generation is the number of an accepted configuration; it is in force at a daemon once
// the daemon applies that configuration. The table also keeps the highest generation in
// force in each failure domain.
//
// The states leaving and gone are final for an incarnation; between live and suspect the
// version decides. So merging reports gives the same result in any order and by any path.
package membership

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Member is one incarnation of a daemon with the fields that decide which of two reports is
// newer.
type Member struct {
	view.Daemon
	// Version is raised only by the daemon itself.
	Version uint64
	// VM is the ID of the VM that the daemon runs on; empty if not known.
	VM string
	// Since is when the state was set, at whichever daemon that was.
	Since time.Time
}

// VMState is the state of a VM. A VM never returns to a smaller state.
type VMState int

// The states of a VM, in the order in which it passes through them.
const (
	VMStarting VMState = iota
	VMLive
	VMLeaving
	VMGone
)

// VM is a machine that hosts a runner, or an entry VM.
type VM struct {
	ID            string
	Address       string
	FailureDomain ident.FailureDomain
	Class         string
	Reclaimable   bool
	PricePerHour  float64
	// Service is the service of the VM's runner. It is empty if there is no runner or if
	// the VM is known only from a notice.
	Service  string
	State    VMState
	LeavesAt time.Time
	Since    time.Time
}

// Notice announces that a VM is leaving, e.g. because the cloud reclaims it.
type Notice struct {
	// VM is the VM's ID. It may be empty if only the address is known.
	VM      string
	Address string
	// TimeLeft is the time left until the VM ends. It is zero or negative once the VM's time is
	// over.
	TimeLeft time.Duration
}

// Change is one changed record of the table; exactly one field is set.
type Change struct {
	Member *Member
	VM     *VM
}

// Message is what two daemons send each other. Seq and Last are positions in the sender's
// change log, Ack is a position in the receiver's.
type Message struct {
	From    Member
	Changes []Change
	// Seq is the position in the sender's log up to which the receiver has all changes once
	// it has applied this message. If Seq is less than Last, further messages are needed.
	Seq uint64
	// Last is the newest position in the sender's log.
	Last uint64
	// Ack is the position in the receiver's log up to which the sender has the changes.
	Ack uint64
	// Digest is the sender's table digest. Equal tables have equal digests.
	Digest uint64
	// InForce holds the highest generation in force in each failure domain that the sender
	// knows of.
	InForce map[ident.FailureDomain]ident.Generation
}

const (
	// ProbeFailures is the number of consecutive failed calls after which a daemon may
	// become suspect.
	ProbeFailures = 3
	// ForgetAfter is the time in its state after which the record of a suspect daemon, or
	// of a gone daemon or VM, is dropped, and after which a leaving VM is marked as gone.
	// It is longer than the lease of any registration, so that a daemon is not added again
	// from a registration that is left over.
	ForgetAfter = 10 * time.Minute
	// goneAfterLeaving is when a leaving daemon becomes gone: this long after its announced
	// end, or after this long without contact if its end is not known.
	goneAfterLeaving = 30 * time.Second
	// listLag is the longest time by which a VM may appear later in one daemon's VM list
	// than in another's.
	listLag = 2 * time.Minute
	// maxMissedLists is the number of consecutive lists without a VM after which it is
	// gone.
	maxMissedLists = 2
	// resyncAfter is how long two tables may differ although all changes are acknowledged,
	// before all records are sent again.
	resyncAfter = 30 * time.Second
	// MaxChanges is the maximum number of records in one message.
	MaxChanges = 512
)
