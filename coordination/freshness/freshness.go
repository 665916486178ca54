// Package freshness limits how old this daemon's configuration may be.
//
// A key that an operator has revoked must stop working everywhere within a time limit, even
// at a VM that can't reach the key-value service. So a daemon keeps the latest time at
// which its configuration is known to have been the newest one, and refuses requests with
// keys once that time is too long ago. There are two proofs: a read of the service by the
// daemon itself, which is valid as of the time when the read was sent; and the statement of
// a peer that has the same configuration and a proof of its own.
//
// A peer's statement may be delayed by any time, e.g. in a socket's buffer while the
// receiver is suspended. It is therefore dated by an echo: the peer returns the stamp that
// it last received from this daemon, and the time by which its own proof precedes that
// receipt. The proof is then no older than the stamp minus that time, on this daemon's own
// clock.
//
// Configurations are told apart by the operator's version numbers, which only grow. The
// service's revisions don't order them: a service that has come back from a copy shows an
// older configuration at a later revision until the operator has written again. A daemon that
// starts meanwhile takes that one, and learns from its peers' statements that it isn't the newest.
//
// Times are offsets of a monotonic clock that keeps running while the VM is suspended. The
// package does no I/O. A Tracker is not safe for concurrent use.
package freshness

import "time"

// Never is the time of an event that has not happened, such as a missing proof.
const Never = time.Duration(-1 << 62)

// Tracker keeps the version of the configuration and the time of its latest proof.
type Tracker struct {
	version  uint64
	provedAt time.Duration
	// newest is the newest version that exists as far as this daemon knows, stated by a peer
	// first at newestAt. lost says that the service has shown an older one since.
	newest   uint64
	newestAt time.Duration
	lost     bool
}

// New returns a Tracker without a proof.
func New() *Tracker { return &Tracker{provedAt: Never} }

// RecordRead records a read of the service that this daemon sent at the given time and that
// found the given version. It reports whether the version is new.
func (t *Tracker) RecordRead(version uint64, sent time.Duration) bool {
	if version < t.version {
		// A stale answer proves nothing about the newer version.
		return false
	}
	changed := version > t.version
	t.version = version
	if version < t.newest && sent > t.newestAt {
		t.lost = true
	}
	if version >= t.newest {
		t.newest, t.lost = version, false
	}
	t.provedAt = max(t.provedAt, sent)
	if t.lost {
		t.provedAt = Never
	}
	return changed
}

// Statement is what a peer reports about its configuration.
type Statement struct {
	Version uint64
	// Echo is the time at which the receiver of the statement sent the last stamp that
	// reached the peer, on the receiver's clock.
	Echo time.Duration
	// Lag is the time from the peer's proof to the peer's receipt of that stamp, on the
	// peer's clock; zero if the proof is later than the receipt. The stamp was sent no
	// later than it was received, so Echo minus Lag is no later than the proof, on the
	// receiver's clock.
	Lag time.Duration
	// Proved is false if the peer has no proof or has received no stamp.
	Proved bool
}

// Receive applies a peer's statement. It reports whether the peer has a newer configuration
// than this daemon.
func (t *Tracker) Receive(now time.Duration, statement Statement) bool {
	if statement.Version > t.newest {
		t.newest, t.newestAt = statement.Version, now
	}
	if statement.Version > t.version {
		return true
	}
	// A peer with an older configuration proves nothing about this daemon's.
	if statement.Proved && statement.Version == t.version && !t.lost {
		t.provedAt = max(t.provedAt, statement.Echo-statement.Lag)
	}
	return false
}

// Stamp records when a message was sent and received, for the echo in the answer.
type Stamp struct {
	// Sent is the time of sending on the sender's clock, Received that of receipt on this
	// daemon's clock.
	Sent     time.Duration
	Received time.Duration
}

// StatementFor returns the statement for the peer whose last stamp is s; s is nil if none
// was received.
func (t *Tracker) StatementFor(s *Stamp) Statement {
	statement := Statement{Version: t.version}
	if s == nil || t.provedAt == Never {
		return statement
	}
	statement.Proved = true
	statement.Echo = s.Sent
	statement.Lag = max(0, s.Received-t.provedAt)
	return statement
}

// Age returns how long ago the configuration was last proved to be the newest one. Without
// a proof it returns -Never, which exceeds any limit.
func (t *Tracker) Age(now time.Duration) time.Duration {
	if t.provedAt == Never {
		return -Never
	}
	return max(0, now-t.provedAt)
}

// Lost reports whether the service shows an older version than one that a peer has, so that only
// peers can provide the newest one.
func (t *Tracker) Lost() bool { return t.lost }

// Version returns the version of the configuration, or zero if there is none.
func (t *Tracker) Version() uint64 { return t.version }
