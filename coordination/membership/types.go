// Package membership draws the conclusions about daemons and VMs, as one pure
// module. Who is believed about what:
//
//   - Settings name addresses to try; they conclude nothing.
//   - A registration in the key-value service makes a daemon known as live. It
//     never ends one: a lease that lapsed may only mean an outage.
//   - A heartbeat from a daemon itself is its own word: live or leaving, with a
//     version that only it raises.
//   - Calls to a daemon that fail in a row, here and for every other daemon that
//     was asked to try, make it suspect. A suspect that hears of it raises its
//     version, which ends the suspicion everywhere.
//   - An answer of another incarnation from a daemon's address makes the former
//     one gone, for its process cannot be listening there any more.
//   - The cloud's notice, the VM list's "leaving", a runner's own word or refusal
//     and a peer's report make a VM leaving at once, whichever comes first.
//   - A VM that was on a daemon's list, or is known for longer than lists lag, and
//     is missing from two lists in a row is gone.
//
// Leaving and gone are final for an incarnation; live and suspect follow the
// version. So states merge the same in any order and by any path.
package membership

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Member is one incarnation of a daemon with what decides between reports.
type Member struct {
	view.Daemon
	// Version is raised by the daemon itself only.
	Version uint64
	// VM names the machine that it runs on; empty if it was not told.
	VM string
	// Since is when the state was concluded, wherever that was.
	Since time.Time
}

// VMState is what is concluded of a VM; later ones are final.
type VMState int

// States of VMs, in the order in which a VM goes through them.
const (
	VMStarting VMState = iota
	VMLive
	VMLeaving
	VMGone
)

// VM is one machine that holds a runner, or an entry VM.
type VM struct {
	ID            string
	Address       string
	FailureDomain ident.FailureDomain
	Class         string
	Reclaimable   bool
	PricePerHour  float64
	// Service is the service of the VM's runner; empty if there is none or if
	// the VM is known by a notice only.
	Service  string
	State    VMState
	LeavesAt time.Time
	Since    time.Time
}

// Notice says that a VM is leaving.
type Notice struct {
	// VM may be empty where only the address is known.
	VM      string
	Address string
	// Left is the time left; not positive once it is over.
	Left time.Duration
}

// Change is one record of the table: exactly one field is set.
type Change struct {
	Member *Member
	VM     *VM
}

// Message is what two daemons exchange. Seq, Last and Ack number the sender's
// and the receiver's logs of changes.
type Message struct {
	From    Member
	Changes []Change
	// Seq is the position in the sender's log that Changes reach.
	Seq uint64
	// Last is the newest position of the sender's log.
	Last uint64
	// Ack is the position of the receiver's log that the sender has.
	Ack uint64
	// Digest is equal for equal tables.
	Digest uint64
	// InForce holds the highest generation in force in each failure domain.
	InForce map[ident.FailureDomain]ident.Generation
}

const (
	// ProbeFailures is the number of failed calls in a row that make a daemon
	// suspect.
	ProbeFailures = 3
	// ForgetAfter is the age at which a record of a suspect or gone one is
	// dropped. It is longer than any registration's lease.
	ForgetAfter = 10 * time.Minute
	// goneAfterLeaving is how long after its end, or of silence without a known
	// end, a leaving daemon is gone.
	goneAfterLeaving = 30 * time.Second
	// listLag is how much later one daemon's list may show a VM than another's.
	listLag = 2 * time.Minute
	// maxMissedLists is the number of lists without a VM after which it is gone.
	maxMissedLists = 2
	// resyncAfter is how long two tables may differ with no change on its way
	// before everything is sent again.
	resyncAfter = 30 * time.Second
	// MaxChanges bounds the records in one message.
	MaxChanges = 512
)
