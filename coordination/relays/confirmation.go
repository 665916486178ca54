package relays

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
)

const (
	// ConfirmedFor is how long another relay's word that it takes a daemon for one counts:
	// several messages.
	ConfirmedFor = peers.RelayedAliveFor
	// aloneAfter is how long a daemon that becomes a relay waits for the word of another
	// one before it takes itself for the only one: its quotas are out of date, and it may
	// be mistaken.
	aloneAfter = 1500 * time.Millisecond
)

// Confirmation is what other relays say of a daemon that takes itself for one.
//
// A daemon elects by what it knows, which may be a few daemons of many: then it finds
// nobody of its failure domain to follow and takes itself for a relay that none of the
// others counts. What the others share out among themselves is the whole, so it may not
// share in it until one of them takes it for a relay, too.
type Confirmation struct {
	// relaySince is when the daemon relaySince to take itself for a relay, confirmedAt when another
	// relay last did. doubted says that one which is heard does not, and none has since.
	relaySince, confirmedAt time.Duration
	doubted                 bool
}

// Start starts anew: the daemon takes itself for a relay from now on.
func (s *Confirmation) Start(now time.Duration) {
	*s = Confirmation{relaySince: now, confirmedAt: freshness.Never}
}

// RelaySince is since when the daemon takes itself for a relay.
func (s *Confirmation) RelaySince() time.Duration { return s.relaySince }

// Receive takes in whether another relay takes this daemon for one. It returns true if that
// is the first doubt since one did.
func (s *Confirmation) Receive(now time.Duration, elects bool) bool {
	switch {
	case elects:
		s.confirmedAt, s.doubted = now, false
	case !s.doubted && !s.Confirmed(now):
		s.doubted = true
		return true
	}
	return false
}

// Confirmed tells whether another relay takes this daemon for one.
func (s *Confirmation) Confirmed(now time.Duration) bool { return now-s.confirmedAt <= ConfirmedFor }

// MayShare tells whether this daemon may give out a part of what relays share. hearsRelay
// says that it hears any other relay; one that hears none may be the last.
func (s *Confirmation) MayShare(now time.Duration, hearsRelay bool) bool {
	return s.Confirmed(now) || !hearsRelay && now-s.relaySince >= aloneAfter
}
