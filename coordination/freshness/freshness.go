// Package freshness bounds how old this daemon's configuration may be.
//
// A key that an operator has taken away must stop working everywhere within a
// bound, also at a VM that can't reach the key-value service. So a daemon keeps
// the latest moment at which its configuration is known to have been the newest
// one, and refuses keyed requests once that is too long ago. There are two
// proofs: its own read of the service, current as of when it was sent; and the
// word of a peer with no newer configuration that has read the service itself.
//
// A peer's word may have been under way for any time: it waits in a socket's
// buffer while the receiver is frozen. It is therefore dated by an echo. The peer
// returns the stamp that it last received from this daemon and how long before
// that receipt its own proof was; the proof is then no older than the stamp less
// that lag, on this daemon's own clock.
//
// Times are offsets of a clock that runs on while the VM is suspended. The
// package does no I/O and is not safe for concurrent use.
package freshness

import "time"

// Never is the time of what has not happened, such as a proof.
const Never = time.Duration(-1 << 62)

// Tracker keeps the latest proof.
type Tracker struct {
	revision uint64
	provedAt time.Duration
}

// New returns a tracker without any proof.
func New() *Tracker { return &Tracker{provedAt: Never} }

// RecordRead takes in an own read of the service, sent at the given time, that found
// the configuration at the revision. It reports whether the revision is new.
func (t *Tracker) RecordRead(revision uint64, sent time.Duration) bool {
	if revision < t.revision {
		// A stale answer; it proves nothing about the newer one.
		return false
	}
	changed := revision > t.revision
	t.revision = revision
	t.provedAt = max(t.provedAt, sent)
	return changed
}

// Statement is a peer's statement about its configuration.
type Statement struct {
	Revision uint64
	// Echo is this daemon's stamp that the peer received last.
	Echo time.Duration
	// Lag is how long before it received the stamp the peer's proof was; zero if
	// the proof came after.
	Lag time.Duration
	// Proved is false if the peer has no proof or has received no stamp.
	Proved bool
}

// Receive takes in a peer's word. It reports whether the peer has a newer
// configuration than this daemon.
func (t *Tracker) Receive(w Statement) bool {
	if w.Revision > t.revision {
		return true
	}
	// With an older one than ours the peer proves less than we know already.
	if w.Proved && w.Revision == t.revision {
		t.provedAt = max(t.provedAt, w.Echo-w.Lag)
	}
	return false
}

// Stamp is what to remember of a received message for the answer.
type Stamp struct {
	// Sent is the sender's own time, Received this daemon's.
	Sent     time.Duration
	Received time.Duration
}

// StatementFor makes the word for the peer that sent the stamp; nil is none yet.
func (t *Tracker) StatementFor(s *Stamp) Statement {
	w := Statement{Revision: t.revision}
	if s == nil || t.provedAt == Never {
		return w
	}
	w.Proved = true
	w.Echo = s.Sent
	w.Lag = max(0, s.Received-t.provedAt)
	return w
}

// Age is how long ago the configuration was proved to be the newest; very long
// without a proof.
func (t *Tracker) Age(now time.Duration) time.Duration {
	if t.provedAt == Never {
		return -Never
	}
	return max(0, now-t.provedAt)
}

// Revision of the configuration; zero if there is none.
func (t *Tracker) Revision() uint64 { return t.revision }
